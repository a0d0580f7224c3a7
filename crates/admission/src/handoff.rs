//! Hand-off of requests that have not started to another agent of the service.
//!
//! At most one side ever starts a request with at-most-once semantics. The agent that hands off
//! (the origin) withdraws the request before it offers it, and requeues it only after the offered
//! agent (the callee) has refused it for good. The callee decides on each offer once; a duplicate
//! offer has no effect.

use bundle::RetrySafety;
use units::{EndpointId, Incarnation, Millis};

use crate::{Load, at_most_once::Agent};

/// Number of recent hand-off offers from one origin among which the callee detects duplicates; it
/// refuses older offers.
const WINDOW_OFFERS: u64 = 64;

/// Largest number of offering agents (origins) in [`SeenOffers`], which bounds its memory; offers
/// of further origins are refused.
const ORIGINS_MAX: usize = 1024;

/// Age above which a peer's reported load is ignored as stale.
const LOAD_AGE_MAX_MS: Millis = Millis::new(1000);

/// Delay before a full peer is first probed with an offer; the delay doubles with each probe.
const PROBE_DELAY_MIN_MS: Millis = Millis::new(15);

/// Longest delay between two probes of a full peer.
const PROBE_DELAY_MAX_MS: Millis = Millis::new(240);

/// Number of a hand-off offer; increases within one incarnation of the offering agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId(u64);

impl OfferId {
    /// Creates an offer id from a raw number.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw number of the offer.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Result of a hand-off offer, as the offering agent (origin) sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfferReply {
    /// The callee accepted the request and answers it.
    Taken,
    /// The callee refused the request and never starts it.
    Refused,
    /// No valid reply arrived: the callee may have started the request.
    Unknown,
}

/// What the offering agent (origin) does with a request after a hand-off offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OriginAction {
    /// Drop the request and forward the callee's answer.
    Forget,
    /// Put the request through admission again.
    Requeue,
    /// Answer the caller that the outcome is unknown, and never start the request.
    OutcomeUnknown,
}

/// Returns what the offering agent (origin) does with a request after a hand-off offer.
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

/// Hand-off offers that the receiving agent (callee) has already decided on, for deduplication.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SeenOffers {
    /// Recent offers by origin, sorted by endpoint; at most [`ORIGINS_MAX`] and at most one entry
    /// for each endpoint.
    origins: Vec<(Agent, OfferWindow)>,
}

impl SeenOffers {
    /// Records a hand-off offer and returns whether it is new, so that the callee may accept it.
    ///
    /// The callee must refuse any other offer.
    ///
    /// The caller of this function must first refuse offers that were made to an earlier
    /// incarnation of this agent.
    pub fn insert(&mut self, origin: Agent, offer: OfferId) -> bool {
        match self
            .origins
            .binary_search_by_key(&origin.endpoint, |(it, _)| it.endpoint)
        {
            Ok(idx) => self.insert_from_known_origin(idx, origin, offer),
            Err(_) if self.origins.len() >= ORIGINS_MAX => false,
            Err(idx) => {
                self.origins
                    .insert(idx, (origin, OfferWindow::starting_at(offer)));
                true
            }
        }
    }

    fn insert_from_known_origin(&mut self, idx: usize, origin: Agent, offer: OfferId) -> bool {
        let (known, window) = &mut self.origins[idx];
        if origin.incarnation < known.incarnation {
            return false;
        }
        if origin.incarnation > known.incarnation {
            *known = origin;
            *window = OfferWindow::starting_at(offer);
            return true;
        }
        window.insert(offer)
    }
}

/// Sliding window over the hand-off offers of one origin, as in anti-replay protection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct OfferWindow {
    newest: OfferId,
    /// Bit `n` is set if offer `newest - n` was seen; bit 0 is always set.
    seen: u64,
}

impl OfferWindow {
    const fn starting_at(offer: OfferId) -> Self {
        Self {
            newest: offer,
            seen: 1,
        }
    }

    fn insert(&mut self, offer: OfferId) -> bool {
        if offer > self.newest {
            let ahead = offer.get() - self.newest.get();
            self.seen = if ahead < WINDOW_OFFERS {
                self.seen << ahead
            } else {
                0
            } | 1;
            self.newest = offer;
            return true;
        }
        let behind = self.newest.get() - offer.get();
        if behind >= WINDOW_OFFERS || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

/// Loads that peer agents reported, for the choice of a hand-off target.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// Peers that reported a load, sorted by endpoint.
    peers: Vec<Peer>,
}

/// A peer and the load that it last reported.
#[derive(Debug, Clone, Copy)]
struct Peer {
    endpoint: EndpointId,
    incarnation: Incarnation,
    /// Reported free slots, minus the requests offered since.
    free: u32,
    /// Time at which the peer last reported its load, refused an offer or failed to answer an
    /// offer.
    reported_ms: Millis,
    /// Time at which the peer last reported its load or was last chosen as hand-off target.
    tried_ms: Millis,
    /// Delay before the peer is probed while it is full, between [`PROBE_DELAY_MIN_MS`] and
    /// [`PROBE_DELAY_MAX_MS`].
    probe_delay_ms: Millis,
}

impl PeerLoads {
    /// Records the load that a peer agent reported.
    pub fn record_load(&mut self, now_ms: Millis, agent: Agent, load: Load) {
        let peer = Peer {
            endpoint: agent.endpoint,
            incarnation: agent.incarnation,
            // No request of a class waits while a slot is free for it, so the queue length is
            // irrelevant.
            free: load.free_short,
            reported_ms: now_ms,
            tried_ms: now_ms,
            probe_delay_ms: PROBE_DELAY_MIN_MS,
        };
        match self
            .peers
            .binary_search_by_key(&agent.endpoint, |it| it.endpoint)
        {
            Ok(idx) if peer.free == 0 => {
                let probe_delay_ms = self.peers[idx].probe_delay_ms;
                self.peers[idx] = Peer {
                    probe_delay_ms,
                    ..peer
                };
            }
            Ok(idx) => self.peers[idx] = peer,
            Err(idx) => self.peers.insert(idx, peer),
        }
    }

    /// Marks a peer as full after it refused a hand-off offer or didn't answer one.
    pub fn mark_peer_full(&mut self, now_ms: Millis, endpoint: EndpointId) {
        if let Ok(idx) = self.peers.binary_search_by_key(&endpoint, |it| it.endpoint) {
            self.peers[idx].free = 0;
            self.peers[idx].reported_ms = now_ms;
        }
    }

    /// Removes all peers that aren't in `endpoints`, the sorted endpoints of the bundle in force.
    pub fn retain_peers(&mut self, endpoints: &[EndpointId]) {
        self.peers
            .retain(|it| endpoints.binary_search(&it.endpoint).is_ok());
    }

    /// Chooses a hand-off target: samples two peers at random, takes the one with more free slots
    /// and counts one of its slots as taken. `random` holds two independent uniform random numbers.
    ///
    /// Peers whose reported load is stale aren't chosen. A peer that reports more free slots than
    /// it has receives one request per report, since its refusal marks it as full. If no peer is
    /// known to have a free slot, a full peer whose probe is due is chosen.
    pub fn choose_peer(&mut self, now_ms: Millis, random: [u64; 2]) -> Option<Agent> {
        let known = self.choose_peer_with_free_slots_above(now_ms, random, 0);
        known.or_else(|| self.choose_full_peer_to_probe(now_ms, random[0]))
    }

    /// Chooses a hand-off target like [`Self::choose_peer`], without probes, among the peers with
    /// more than `floor` free slots.
    pub fn choose_peer_with_free_slots_above(
        &mut self,
        now_ms: Millis,
        random: [u64; 2],
        floor: u32,
    ) -> Option<Agent> {
        let is_fresh = |it: &Peer| now_ms.since(it.reported_ms) <= LOAD_AGE_MAX_MS;
        let free: Vec<_> = (0..self.peers.len())
            .filter(|idx| is_fresh(&self.peers[*idx]) && self.peers[*idx].free > floor)
            .collect();
        let sampled = random.map(|it| pick_random(&free, it));
        let idx = sampled
            .into_iter()
            .flatten()
            .max_by_key(|idx| self.peers[*idx].free)?;
        let peer = &mut self.peers[idx];
        peer.free -= 1;
        peer.tried_ms = now_ms;
        Some(peer.agent())
    }

    /// Chooses a full peer whose probe is due and doubles the delay before its next probe.
    fn choose_full_peer_to_probe(&mut self, now_ms: Millis, random: u64) -> Option<Agent> {
        let is_due = |it: &Peer| now_ms.since(it.tried_ms) >= it.probe_delay_ms;
        let is_fresh = |it: &Peer| now_ms.since(it.reported_ms) <= LOAD_AGE_MAX_MS;
        let due: Vec<_> = (0..self.peers.len())
            .filter(|idx| is_due(&self.peers[*idx]) && is_fresh(&self.peers[*idx]))
            .collect();
        let peer = &mut self.peers[pick_random(&due, random)?];
        peer.tried_ms = now_ms;
        peer.probe_delay_ms = peer
            .probe_delay_ms
            .plus(peer.probe_delay_ms)
            .min(PROBE_DELAY_MAX_MS);
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

fn pick_random(among: &[usize], random: u64) -> Option<usize> {
    let len = u64::try_from(among.len()).ok().filter(|it| *it > 0)?;
    let idx = usize::try_from(random % len).ok()?;
    among.get(idx).copied()
}
