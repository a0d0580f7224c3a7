//! Balancers through which datagrams can be sent to callers.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use units::Millis;

/// A balancer counts as live if its last datagram arrived at most this long before the latest
/// datagram of any balancer.
const LIVE_WINDOW_MS: Millis = Millis::new(1000);

/// Maximum number of balancers in the table.
const BALANCERS_MAX: usize = 2048;

/// Balancers that recently sent datagrams to the agent, and the fallback balancers for when there
/// are none.
///
/// Any live balancer can forward a datagram to its caller. A balancer that sends datagrams is live,
/// so outgoing datagrams rotate over the balancers seen last. A silent balancer is left out as soon
/// as others send datagrams.
#[derive(Debug)]
pub struct LiveBalancers {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Balancers that sent datagrams, sorted by address, at most `BALANCERS_MAX`.
    recent: Vec<Balancer>,
    /// Latest `last_seen` in `recent`.
    latest: Millis,
    /// Balancers used while `recent` is empty.
    fallback: Vec<SocketAddr>,
    /// Position in the rotation of the balancer used last.
    cursor: usize,
}

#[derive(Debug, Clone, Copy)]
struct Balancer {
    address: SocketAddr,
    last_seen: Millis,
}

impl LiveBalancers {
    /// Creates a table without live balancers.
    #[must_use]
    pub fn new(fallback: Vec<SocketAddr>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                recent: Vec::new(),
                latest: Millis::new(0),
                fallback,
                cursor: 0,
            }),
        }
    }

    /// Replaces the balancers that are used until a datagram from a balancer arrives.
    pub fn set_fallback_balancers(&self, fallback: Vec<SocketAddr>) {
        self.with_inner(|it| it.fallback = fallback);
    }

    /// Returns the live balancers, or the fallback balancers if no balancer sent a datagram yet.
    #[must_use]
    pub fn live_balancers(&self) -> Vec<SocketAddr> {
        self.with_inner(|it| {
            if it.recent.is_empty() {
                return it.fallback.clone();
            }
            let live = it.recent.iter().filter(|balancer| it.is_live(balancer));
            live.map(|balancer| balancer.address).collect()
        })
    }

    /// Records that a valid datagram came from the balancer at `address`.
    pub(crate) fn record_datagram(&self, now: Millis, address: SocketAddr) {
        self.with_inner(|it| it.record_datagram(now, address));
    }

    /// Returns the next balancer in the rotation, `None` if none is known.
    pub(crate) fn next_balancer(&self) -> Option<SocketAddr> {
        self.with_inner(Inner::next_balancer)
    }

    /// Returns the next balancer in the rotation on another instance than `first`, `None` if there
    /// is none.
    ///
    /// Compares IPs only, because one balancer may send from several ports.
    #[must_use]
    pub fn next_on_other_instance(&self, first: SocketAddr) -> Option<SocketAddr> {
        self.with_inner(|it| {
            let entries = it.recent.len().max(it.fallback.len());
            (0..entries)
                .filter_map(|_| it.next_balancer())
                .find(|other| other.ip() != first.ip())
        })
    }

    fn with_inner<T>(&self, access: impl FnOnce(&mut Inner) -> T) -> T {
        access(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    fn record_datagram(&mut self, now: Millis, address: SocketAddr) {
        self.latest = self.latest.max(now);
        match self.recent.binary_search_by_key(&address, |it| it.address) {
            Ok(idx) => self.recent[idx].last_seen = now,
            Err(idx) => {
                let last_seen = now;
                self.recent.insert(idx, Balancer { address, last_seen });
                self.evict_oldest();
            }
        }
    }

    fn evict_oldest(&mut self) {
        if self.recent.len() <= BALANCERS_MAX {
            return;
        }
        let oldest = (0..self.recent.len()).min_by_key(|&it| self.recent[it].last_seen);
        self.recent.remove(oldest.expect("the table is not empty"));
    }

    fn next_balancer(&mut self) -> Option<SocketAddr> {
        self.cursor = self.cursor.wrapping_add(1);
        if self.recent.is_empty() {
            let idx = self.cursor.checked_rem(self.fallback.len())?;
            return Some(self.fallback[idx]);
        }
        let len = self.recent.len();
        let indices = (0..len).map(|it| (self.cursor.wrapping_add(it)) % len);
        let idx = indices
            .into_iter()
            .find(|&it| self.is_live(&self.recent[it]))
            .expect("the balancer seen last is live");
        self.cursor = idx;
        Some(self.recent[idx].address)
    }

    fn is_live(&self, balancer: &Balancer) -> bool {
        self.latest.since(balancer.last_seen) <= LIVE_WINDOW_MS
    }
}
