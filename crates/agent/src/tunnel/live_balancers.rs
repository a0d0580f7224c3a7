//! Balancers that answers can be sent through.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use units::Millis;

/// How far behind the latest datagram a balancer's latest one may be while it counts as live.
const LIVE_WINDOW_MS: Millis = Millis::new(1000);

/// Most balancers remembered.
const LINKS_MAX: usize = 2048;

/// Balancers that sent datagrams lately, and those known from elsewhere.
///
/// Any live balancer can send an answer to the caller. One that delivers is live, so answers rotate
/// over those heard last; silence takes a balancer out as soon as others are heard.
#[derive(Debug)]
pub struct LiveBalancers {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Sorted by address, at most `LINKS_MAX`.
    heard: Vec<Link>,
    /// Latest moment in `heard`.
    latest: Millis,
    /// Used while `heard` is empty.
    known: Vec<SocketAddr>,
    /// Position of the next one in turn.
    turn: usize,
}

#[derive(Debug, Clone, Copy)]
struct Link {
    address: SocketAddr,
    heard: Millis,
}

impl LiveBalancers {
    /// Creates the table with balancers known from settings.
    #[must_use]
    pub fn new(known: Vec<SocketAddr>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                heard: Vec::new(),
                latest: Millis::new(0),
                known,
                turn: 0,
            }),
        }
    }

    /// Replaces the balancers known from elsewhere, used until one is heard.
    pub fn set_fallback(&self, known: Vec<SocketAddr>) {
        self.with(|it| it.known = known);
    }

    /// Returns the balancers heard lately, those known from elsewhere if there are none.
    #[must_use]
    pub fn live(&self) -> Vec<SocketAddr> {
        self.with(|it| {
            if it.heard.is_empty() {
                return it.known.clone();
            }
            let live = it.heard.iter().filter(|link| it.is_live(link));
            live.map(|link| link.address).collect()
        })
    }

    /// Takes in that a valid datagram came from `address`.
    pub(crate) fn hear(&self, now: Millis, address: SocketAddr) {
        self.with(|it| it.hear(now, address));
    }

    /// Returns the next balancer in turn, `None` if none is known.
    pub(crate) fn next(&self) -> Option<SocketAddr> {
        self.with(Inner::next)
    }

    /// Returns the next balancer in turn on another instance than `first`, `None` if there is none.
    ///
    /// One balancer may be heard on several ports.
    #[must_use]
    pub fn next_on_other_instance(&self, first: SocketAddr) -> Option<SocketAddr> {
        self.with(|it| {
            let turns = it.heard.len().max(it.known.len());
            (0..turns)
                .filter_map(|_| it.next())
                .find(|other| other.ip() != first.ip())
        })
    }

    fn with<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    fn hear(&mut self, now: Millis, address: SocketAddr) {
        self.latest = self.latest.max(now);
        match self.heard.binary_search_by_key(&address, |it| it.address) {
            Ok(idx) => self.heard[idx].heard = now,
            Err(idx) => {
                let heard = now;
                self.heard.insert(idx, Link { address, heard });
                self.forget_oldest();
            }
        }
    }

    fn forget_oldest(&mut self) {
        if self.heard.len() <= LINKS_MAX {
            return;
        }
        let oldest = (0..self.heard.len()).min_by_key(|&it| self.heard[it].heard);
        self.heard.remove(oldest.expect("the table is not empty"));
    }

    fn next(&mut self) -> Option<SocketAddr> {
        self.turn = self.turn.wrapping_add(1);
        if self.heard.is_empty() {
            let idx = self.turn.checked_rem(self.known.len())?;
            return Some(self.known[idx]);
        }
        let len = self.heard.len();
        let turns = (0..len).map(|it| (self.turn.wrapping_add(it)) % len);
        let idx = turns
            .into_iter()
            .find(|&it| self.is_live(&self.heard[it]))
            .expect("the latest link is live");
        self.turn = idx;
        Some(self.heard[idx].address)
    }

    fn is_live(&self, link: &Link) -> bool {
        self.latest.since(link.heard) <= LIVE_WINDOW_MS
    }
}
