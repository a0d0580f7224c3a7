//! Fenced hand-off of requests not yet started to another agent of the service.
//!
//! One side at most ever starts a request: the origin gives it up before it offers it, and takes
//! it back only after the callee said that it never starts it. The callee decides on an offer
//! once; a duplicate changes nothing.

use bundle::RetrySafety;
use units::{EndpointId, Incarnation, Millis};

use crate::{Load, at_most_once::Agent};

/// Offers from one origin that the callee tells apart; older ones are refused.
const WINDOW: u64 = 64;

/// Origins remembered, a bound on memory; offers of more are refused.
const ORIGINS_MAX: usize = 1024;

/// Age from which a peer's load says nothing any more.
const LOAD_AGE_MAX_MS: Millis = Millis::new(1000);

/// Time after which a peer without a free slot is tried again; it doubles with each refusal.
const PROBE_FIRST_MS: Millis = Millis::new(15);

/// Longest time between two tries of a peer without a free slot.
const PROBE_MAX_MS: Millis = Millis::new(240);

/// Number of an offer, higher for each later one of the same run of an agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId(u64);

impl OfferId {
    /// Wraps a raw number.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// What came of an offer, as the origin sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfferReply {
    /// The callee took it and answers it.
    Taken,
    /// The callee never starts it.
    Refused,
    /// No reply, or a broken one: the callee may or may not have started it.
    Unknown,
}

/// What the origin does next with a request that it offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OriginAction {
    /// Forget it and pass on the callee's answer.
    Forget,
    /// Take it back: it arrives anew.
    Requeue,
    /// Answer that the outcome is unknown, and never start it.
    OutcomeUnknown,
}

/// Decides what the origin does after an offer.
#[must_use]
pub const fn origin_action(reply: OfferReply, retry: RetrySafety) -> OriginAction {
    match (reply, retry) {
        (OfferReply::Taken, _) => OriginAction::Forget,
        (OfferReply::Refused, _) | (OfferReply::Unknown, RetrySafety::Idempotent) => {
            OriginAction::Requeue
        }
        (OfferReply::Unknown, RetrySafety::AtMostOnce) => OriginAction::OutcomeUnknown,
    }
}

/// Offers decided on by the callee.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SeenOffers {
    /// Sorted by origin, at most [`ORIGINS_MAX`], one of each endpoint.
    origins: Vec<(Agent, Window)>,
}

impl SeenOffers {
    /// Returns whether the offer is new and the callee may take it; any later one with the same
    /// id is not. An offer that is not new is refused.
    ///
    /// An offer made to an earlier run of this agent must be refused before.
    pub fn insert(&mut self, origin: Agent, offer: OfferId) -> bool {
        match self
            .origins
            .binary_search_by_key(&origin.endpoint, |(it, _)| it.endpoint)
        {
            Ok(idx) => self.is_new_from(idx, origin, offer),
            Err(_) if self.origins.len() >= ORIGINS_MAX => false,
            Err(idx) => {
                self.origins
                    .insert(idx, (origin, Window::starting_at(offer)));
                true
            }
        }
    }

    fn is_new_from(&mut self, idx: usize, origin: Agent, offer: OfferId) -> bool {
        let (known, window) = &mut self.origins[idx];
        if origin.incarnation < known.incarnation {
            return false;
        }
        if origin.incarnation > known.incarnation {
            *known = origin;
            *window = Window::starting_at(offer);
            return true;
        }
        window.insert(offer)
    }
}

/// Offers of one origin seen: the newest and which of those shortly before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Window {
    newest: OfferId,
    /// Bit `n` is set if offer `newest - n` was seen; bit 0 always is.
    seen: u64,
}

impl Window {
    const fn starting_at(offer: OfferId) -> Self {
        Self {
            newest: offer,
            seen: 1,
        }
    }

    fn insert(&mut self, offer: OfferId) -> bool {
        if offer > self.newest {
            let ahead = offer.get() - self.newest.get();
            self.seen = if ahead < WINDOW {
                self.seen << ahead
            } else {
                0
            } | 1;
            self.newest = offer;
            return true;
        }
        let behind = self.newest.get() - offer.get();
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

/// Loads of peers from recent exchanges.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// Sorted by endpoint.
    peers: Vec<Peer>,
}

/// A peer and its load when last heard of.
#[derive(Debug, Clone, Copy)]
struct Peer {
    endpoint: EndpointId,
    incarnation: Incarnation,
    free: u32,
    heard_ms: Millis,
    /// Last time it was chosen or refused.
    tried_ms: Millis,
    /// Between [`PROBE_FIRST_MS`] and [`PROBE_MAX_MS`].
    probe_after_ms: Millis,
}

impl PeerLoads {
    /// Takes in a load that a peer told.
    pub fn record_load(&mut self, now_ms: Millis, agent: Agent, load: Load) {
        let peer = Peer {
            endpoint: agent.endpoint,
            incarnation: agent.incarnation,
            // While a slot is free for a class, nothing of that class waits.
            free: load.free_short,
            heard_ms: now_ms,
            tried_ms: now_ms,
            probe_after_ms: PROBE_FIRST_MS,
        };
        match self
            .peers
            .binary_search_by_key(&agent.endpoint, |it| it.endpoint)
        {
            Ok(idx) if peer.free == 0 => {
                let probe_after_ms = self.peers[idx].probe_after_ms;
                self.peers[idx] = Peer {
                    probe_after_ms,
                    ..peer
                };
            }
            Ok(idx) => self.peers[idx] = peer,
            Err(idx) => self.peers.insert(idx, peer),
        }
    }

    /// Notes that a peer refused an offer or gave no answer.
    pub fn mark_full(&mut self, now_ms: Millis, endpoint: EndpointId) {
        if let Ok(idx) = self.peers.binary_search_by_key(&endpoint, |it| it.endpoint) {
            self.peers[idx].free = 0;
            self.peers[idx].heard_ms = now_ms;
        }
    }

    /// Keeps only the peers that the bundle in force names; `endpoints` is sorted.
    pub fn retain(&mut self, endpoints: &[EndpointId]) {
        self.peers
            .retain(|it| endpoints.binary_search(&it.endpoint).is_ok());
    }

    /// Chooses the peer with more free slots of two sampled ones, and counts one slot of it as
    /// taken. `random` are two independent uniform numbers.
    ///
    /// Peers whose load was not heard lately aren't chosen. A peer that claims more than it has
    /// draws one request for each exchange, until its refusal counts it as full. If none is known
    /// to have a free slot, one is tried that had none a while ago.
    pub fn choose(&mut self, now_ms: Millis, random: [u64; 2]) -> Option<Agent> {
        let known = self.choose_with_free_above(now_ms, random, 0);
        known.or_else(|| self.choose_probe(now_ms, random[0]))
    }

    /// Chooses as [`Self::choose`] among the peers with more than `floor` free slots.
    pub fn choose_with_free_above(
        &mut self,
        now_ms: Millis,
        random: [u64; 2],
        floor: u32,
    ) -> Option<Agent> {
        let is_fresh = |it: &Peer| now_ms.since(it.heard_ms) <= LOAD_AGE_MAX_MS;
        let free: Vec<_> = (0..self.peers.len())
            .filter(|idx| is_fresh(&self.peers[*idx]) && self.peers[*idx].free > floor)
            .collect();
        let sampled = random.map(|it| pick(&free, it));
        let idx = sampled
            .into_iter()
            .flatten()
            .max_by_key(|idx| self.peers[*idx].free)?;
        let peer = &mut self.peers[idx];
        peer.free -= 1;
        peer.tried_ms = now_ms;
        Some(peer.agent())
    }

    /// Chooses a peer that had no free slot, each the more rarely the longer that lasts.
    fn choose_probe(&mut self, now_ms: Millis, random: u64) -> Option<Agent> {
        let is_due = |it: &Peer| now_ms.since(it.tried_ms) >= it.probe_after_ms;
        let is_fresh = |it: &Peer| now_ms.since(it.heard_ms) <= LOAD_AGE_MAX_MS;
        let due: Vec<_> = (0..self.peers.len())
            .filter(|idx| is_due(&self.peers[*idx]) && is_fresh(&self.peers[*idx]))
            .collect();
        let peer = &mut self.peers[pick(&due, random)?];
        peer.tried_ms = now_ms;
        peer.probe_after_ms = peer
            .probe_after_ms
            .plus(peer.probe_after_ms)
            .min(PROBE_MAX_MS);
        Some(peer.agent())
    }
}

impl Peer {
    const fn agent(&self) -> Agent {
        Agent {
            endpoint: self.endpoint,
            incarnation: self.incarnation,
        }
    }
}

fn pick(among: &[usize], random: u64) -> Option<usize> {
    let len = u64::try_from(among.len()).ok().filter(|it| *it > 0)?;
    let idx = usize::try_from(random % len).ok()?;
    among.get(idx).copied()
}
