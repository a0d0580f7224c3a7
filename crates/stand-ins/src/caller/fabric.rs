//! The fabric between callers and balancers: any datagram may reach any balancer.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Spreads datagrams over balancers, as the platform's network fabric does.
#[derive(Debug)]
pub struct Fabric {
    inner: Mutex<Inner>,
}

/// What goes wrong on the way, in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Share of datagrams dropped, in percent.
    pub drop_percent: u8,
    /// Share of datagrams sent twice, in percent.
    pub duplicate_percent: u8,
    /// Longest delay of a datagram on its way to a balancer, in milliseconds.
    pub delay_max_ms: u16,
    /// Share of datagrams delayed, in percent.
    pub delay_percent: u8,
}

/// What becomes of one datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Passage {
    Dropped,
    Sent {
        to: SocketAddr,
        copies: u8,
        delay: Duration,
    },
}

#[derive(Debug)]
struct Inner {
    rng: StdRng,
    /// Service address and where its balancers listen; sorted by service address.
    routes: Vec<(SocketAddr, Vec<SocketAddr>)>,
    /// Address a balancer answers from and the service it answers for; sorted.
    sources: Vec<(SocketAddr, SocketAddr)>,
    faults: Faults,
}

impl Fabric {
    /// Creates a fabric without routes whose choices follow from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Mutex::new(Inner {
                rng: StdRng::seed_from_u64(seed),
                routes: Vec::new(),
                sources: Vec::new(),
                faults: Faults::default(),
            }),
        }
    }

    /// Spreads datagrams for `service` over `balancers` from now on.
    ///
    /// Answers from balancers of earlier calls are still taken.
    pub fn route(&self, service: SocketAddr, balancers: &[SocketAddr]) {
        let mut inner = self.lock();
        match inner.routes.binary_search_by_key(&service, |it| it.0) {
            Ok(idx) => inner.routes[idx].1 = balancers.to_vec(),
            Err(idx) => inner.routes.insert(idx, (service, balancers.to_vec())),
        }
        for &source in balancers {
            match inner.sources.binary_search_by_key(&source, |it| it.0) {
                Ok(idx) => inner.sources[idx].1 = service,
                Err(idx) => inner.sources.insert(idx, (source, service)),
            }
        }
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Decides about a datagram to `service`.
    pub(super) fn outbound(&self, service: SocketAddr) -> Passage {
        let mut inner = self.lock();
        let inner = &mut *inner;
        let Ok(idx) = inner.routes.binary_search_by_key(&service, |it| it.0) else {
            return Passage::Dropped;
        };
        let balancers = &inner.routes[idx].1;
        let faults = inner.faults;
        if balancers.is_empty() || percent(&mut inner.rng) < faults.drop_percent {
            return Passage::Dropped;
        }
        let to = balancers[inner.rng.random_range(0..balancers.len())];
        let is_twice = percent(&mut inner.rng) < faults.duplicate_percent;
        let is_late = percent(&mut inner.rng) < faults.delay_percent;
        let delay_ms = if is_late {
            inner.rng.random_range(0..=faults.delay_max_ms)
        } else {
            0
        };
        Passage::Sent {
            to,
            copies: if is_twice { 2 } else { 1 },
            delay: Duration::from_millis(delay_ms.into()),
        }
    }

    /// Returns the service a datagram from `source` comes from, `None` if it is lost or unknown.
    pub(super) fn inbound(&self, source: SocketAddr) -> Option<SocketAddr> {
        let mut inner = self.lock();
        let drop_percent = inner.faults.drop_percent;
        if drop_percent > 0 && percent(&mut inner.rng) < drop_percent {
            return None;
        }
        let idx = inner
            .sources
            .binary_search_by_key(&source, |it| it.0)
            .ok()?;
        Some(inner.sources[idx].1)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn percent(rng: &mut StdRng) -> u8 {
    rng.random_range(0..100)
}
