//! Test double of the network fabric, which may send any datagram to any balancer.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Network fabric that sends each datagram to a random balancer, as the platform's fabric may do.
#[derive(Debug)]
pub struct Fabric {
    inner: Mutex<Inner>,
}

/// Packet loss, duplication and delay between callers and balancers.
///
/// Loss applies in both directions, duplication and delay only on the way to a balancer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Share of datagrams that the fabric drops in either direction, in percent.
    pub drop_percent: u8,
    /// Share of datagrams that are duplicated on their way to a balancer, in percent.
    pub duplicate_percent: u8,
    /// Longest delay of a datagram on its way to a balancer, in milliseconds.
    pub delay_max_ms: u16,
    /// Share of datagrams that are delayed on their way to a balancer, in percent.
    pub delay_percent: u8,
}

/// The fabric's decision about one outbound datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
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
    /// Each service address with the addresses of the balancers that serve it, sorted by service
    /// address.
    routes: Vec<(SocketAddr, Vec<SocketAddr>)>,
    /// Each address from which a balancer sends, with the service address that it sends for,
    /// sorted.
    sources: Vec<(SocketAddr, SocketAddr)>,
    faults: Faults,
}

impl Fabric {
    /// Creates a fabric without routes, whose random decisions are determined by `seed`.
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

    /// Routes datagrams for `service` to random ones of `balancers` from now on.
    ///
    /// Datagrams from the service's earlier balancers still reach the callers.
    pub fn route_to_balancers(&self, service: SocketAddr, balancers: &[SocketAddr]) {
        let mut inner = self.lock_state();
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

    /// Sets the faults that apply to datagrams from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock_state().faults = faults;
    }

    /// Decides whether, when and to which balancer a datagram for `service` is sent.
    pub(super) fn decide_outbound(&self, service: SocketAddr) -> Delivery {
        let mut inner = self.lock_state();
        let inner = &mut *inner;
        let Ok(idx) = inner.routes.binary_search_by_key(&service, |it| it.0) else {
            return Delivery::Dropped;
        };
        let balancers = &inner.routes[idx].1;
        let faults = inner.faults;
        if balancers.is_empty() || draw_percent(&mut inner.rng) < faults.drop_percent {
            return Delivery::Dropped;
        }
        let to = balancers[inner.rng.random_range(0..balancers.len())];
        let is_duplicated = draw_percent(&mut inner.rng) < faults.duplicate_percent;
        let is_delayed = draw_percent(&mut inner.rng) < faults.delay_percent;
        let delay_ms = if is_delayed {
            inner.rng.random_range(0..=faults.delay_max_ms)
        } else {
            0
        };
        Delivery::Sent {
            to,
            copies: if is_duplicated { 2 } else { 1 },
            delay: Duration::from_millis(delay_ms.into()),
        }
    }

    /// Returns the address of the service that balancer address `source` sends for. `None` means
    /// that the datagram is lost or the source is unknown.
    pub(super) fn inbound_service(&self, source: SocketAddr) -> Option<SocketAddr> {
        let mut inner = self.lock_state();
        let drop_percent = inner.faults.drop_percent;
        if drop_percent > 0 && draw_percent(&mut inner.rng) < drop_percent {
            return None;
        }
        let idx = inner
            .sources
            .binary_search_by_key(&source, |it| it.0)
            .ok()?;
        Some(inner.sources[idx].1)
    }

    fn lock_state(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Draws a uniform random number from 0 to 99.
fn draw_percent(rng: &mut StdRng) -> u8 {
    rng.random_range(0..100)
}
