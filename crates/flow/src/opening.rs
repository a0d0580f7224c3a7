//! Agreement between agents on which of them opens a flow.
//!
//! An opening is the group of packets with which a caller establishes a flow. Balancers may
//! disagree on the agent that should open a flow, because their views of load, bundles and endpoint
//! liveness differ. They therefore send every packet of an opening to its decider: the agent that
//! rendezvous hashing over the bundle alone selects. The decider records its first decision and
//! applies it to later packets. During a bundle rollout an opening has two deciders, and the
//! previous bundle's decider decides first. A recently started agent may have lost its recorded
//! decisions, so it queries the other candidates before it decides.

use std::{collections::VecDeque, hash::Hash, net::SocketAddr};

use siphasher::sip128::SipHasher24;
use units::{EndpointId, Millis};

use crate::{
    quic::CID_MAX_BYTES,
    tunnel::{Candidate, Opening, Stage},
};

const KEY_INPUT_MAX_BYTES: usize = 16 + 2 + CID_MAX_BYTES;

/// Limits on the size and the entry lifetime of an opening table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time to live of a recorded decision; exceeds the duration of any handshake.
    pub lifetime_ms: Millis,
    /// Time after an agent's start during which it queries the other candidates before it decides.
    pub warmup_ms: Millis,
    /// Maximum number of recorded decisions.
    pub entries_max: usize,
}

impl Limits {
    /// Returns the limits used in production.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            lifetime_ms: Millis::new(30_000),
            warmup_ms: Millis::new(10_000),
            entries_max: 16_384,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}

/// Keyed hash that identifies one attempt of a caller to open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpeningKey(u128);

/// What an agent does with an opening packet of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpeningAction {
    /// Open the flow at this agent; the packet is the first one of the flow here.
    Open,
    /// Deliver the packet to the flow, which this agent has already opened.
    Deliver,
    /// Forward the packet to another agent.
    Forward {
        /// The agent that receives the packet.
        to: Candidate,
        /// The candidate list and decision stage to send with the packet.
        opening: Opening,
    },
    /// Drop the packet and count the drop.
    Refuse(Refusal),
}

/// Why an agent drops an opening packet of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The opening table is full of entries that have not expired.
    TableFull,
    /// Agents have forwarded the packet the maximum number of times.
    HopLimit,
}

/// An agent's recorded decisions on which agent opens each flow, bounded in number and lifetime.
#[derive(Debug, Clone)]
pub struct OpeningTable {
    local_endpoint: EndpointId,
    started: Millis,
    limits: Limits,
    hasher: SipHasher24,
    /// Recorded decisions; sorted by key, without duplicates, at most `limits.entries_max`.
    entries: Vec<Entry>,
    /// Expiry time and key of every entry, sorted by time; has the same length as `entries`.
    expiry: VecDeque<(Millis, OpeningKey)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    key: OpeningKey,
    state: EntryState,
}

/// An agent's recorded decision on which agent opens a flow.
///
/// `Opened` is final. `Forwarded` at `Stage::Decide` delegates the decision to the next decider,
/// which may send the opening back at `Stage::Decided`. Later packets are forwarded with the
/// candidate list of the first packet, so that all packets of the flow carry the same candidates
/// whichever balancer routed them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum EntryState {
    Opened,
    Forwarded { to: Candidate, opening: Opening },
}

impl OpeningTable {
    /// Creates the empty opening table of an agent that started at `started`.
    ///
    /// `seed` keys the hash of openings and must be random.
    #[must_use]
    pub fn new(local_endpoint: EndpointId, started: Millis, limits: Limits, seed: u64) -> Self {
        Self {
            local_endpoint,
            started,
            limits,
            hasher: SipHasher24::new_with_keys(seed, !seed),
            entries: Vec::new(),
            expiry: VecDeque::new(),
        }
    }

    /// Hashes the caller's address and the connection id that the caller chose.
    #[must_use]
    pub fn key(&self, caller: SocketAddr, dcid: &[u8]) -> OpeningKey {
        let mut input = [0; KEY_INPUT_MAX_BYTES];
        let ip = match caller {
            SocketAddr::V4(it) => it.ip().to_ipv6_mapped(),
            SocketAddr::V6(it) => *it.ip(),
        };
        let dcid = &dcid[..dcid.len().min(CID_MAX_BYTES)];
        input[..16].copy_from_slice(&ip.octets());
        input[16..18].copy_from_slice(&caller.port().to_be_bytes());
        input[18..18 + dcid.len()].copy_from_slice(dcid);
        OpeningKey(self.hasher.hash(&input[..18 + dcid.len()]).as_u128())
    }

    /// Decides what to do with an opening packet of a flow and records the decision.
    pub fn decide(&mut self, now: Millis, key: OpeningKey, opening: &Opening) -> OpeningAction {
        self.remove_expired(now);
        let action = match self.entry_state(key) {
            Some(state) => self.decide_recorded(now, key, state, opening),
            None => self.decide_unrecorded(now, key, opening),
        };
        self.assert_bounds();
        action
    }

    /// Returns the number of recorded decisions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no recorded decision.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the part of the table that later decisions depend on, for model checking.
    #[must_use]
    pub fn state(&self) -> impl Hash + Eq + '_ {
        (self.local_endpoint, self.started, &self.entries)
    }

    /// Decides on an opening packet whose flow has a recorded decision.
    fn decide_recorded(
        &mut self,
        now: Millis,
        key: OpeningKey,
        state: EntryState,
        opening: &Opening,
    ) -> OpeningAction {
        let EntryState::Forwarded { to, opening: first } = state else {
            return OpeningAction::Deliver;
        };
        match (first.stage, opening.stage) {
            (Stage::Decide, Stage::Decided) => self.record_opened(now, key),
            (_, Stage::Query { asker, .. }) if is_candidate_at(opening, asker, to) => {
                // This agent delegated the decision to the asker, which has since lost its entry.
                self.forward_query(now, key, opening)
            }
            _ => forward_opening(to, &first, first.stage, opening.hops()),
        }
    }

    /// Decides on an opening packet whose flow has no recorded decision.
    fn decide_unrecorded(
        &mut self,
        now: Millis,
        key: OpeningKey,
        opening: &Opening,
    ) -> OpeningAction {
        match opening.stage {
            Stage::Decided => self.record_opened(now, key),
            Stage::Query { .. } => self.forward_query(now, key, opening),
            Stage::Decide if self.is_warming_up(now) => self.start_query(now, key, opening),
            Stage::Decide => self.decide_or_delegate(now, key, opening),
        }
    }

    /// Forwards an opening to the next decider, or else has the balancer's target open the flow.
    fn decide_or_delegate(
        &mut self,
        now: Millis,
        key: OpeningKey,
        opening: &Opening,
    ) -> OpeningAction {
        let next = opening
            .position(self.local_endpoint)
            .map_or(usize::MAX, |it| it + 1);
        if let Some(&to) = opening.deciders().get(next) {
            return self.record_forwarded(now, key, to, Stage::Decide, opening);
        }
        let target = opening.target();
        if target.endpoint == self.local_endpoint {
            return self.record_opened(now, key);
        }
        self.record_forwarded(now, key, target, Stage::Decided, opening)
    }

    /// Asks the first other candidate whether it has a recorded decision on the opening.
    fn start_query(&mut self, now: Millis, key: OpeningKey, opening: &Opening) -> OpeningAction {
        let Some(asker) = opening.position(self.local_endpoint) else {
            return self.decide_or_delegate(now, key, opening);
        };
        let asker = u8::try_from(asker).expect("lists have at most CANDIDATES_MAX candidates");
        let opening = opening.with_stage(Stage::Query { asker, queried: 0 });
        self.forward_query(now, key, &opening)
    }

    /// Forwards a query to the next candidate not yet queried, or back to the asker, which decides.
    fn forward_query(&mut self, now: Millis, key: OpeningKey, opening: &Opening) -> OpeningAction {
        let Stage::Query { asker, queried } = opening.stage else {
            unreachable!("only queries are forwarded here");
        };
        let own_position = opening.position(self.local_endpoint);
        let bit_of = |idx: usize| 1_u8 << idx;
        let queried = queried | bit_of(usize::from(asker)) | own_position.map_or(0, bit_of);
        let next = (0..opening.candidates().len()).find(|&it| queried & bit_of(it) == 0);
        let stage = Stage::Query { asker, queried };
        match next {
            Some(idx) => forward_opening(opening.candidates()[idx], opening, stage, opening.hops()),
            None if own_position == Some(usize::from(asker)) => {
                self.decide_or_delegate(now, key, opening)
            }
            None => {
                let back = opening.candidates()[usize::from(asker)];
                forward_opening(back, opening, stage, opening.hops())
            }
        }
    }

    fn record_opened(&mut self, now: Millis, key: OpeningKey) -> OpeningAction {
        match self.record_state(now, key, EntryState::Opened) {
            Ok(()) => OpeningAction::Open,
            Err(refusal) => OpeningAction::Refuse(refusal),
        }
    }

    fn record_forwarded(
        &mut self,
        now: Millis,
        key: OpeningKey,
        to: Candidate,
        stage: Stage,
        opening: &Opening,
    ) -> OpeningAction {
        let first = opening.with_stage(stage);
        match self.record_state(now, key, EntryState::Forwarded { to, opening: first }) {
            Ok(()) => forward_opening(to, opening, stage, opening.hops()),
            Err(refusal) => OpeningAction::Refuse(refusal),
        }
    }

    fn record_state(
        &mut self,
        now: Millis,
        key: OpeningKey,
        state: EntryState,
    ) -> Result<(), Refusal> {
        match self.entries.binary_search_by_key(&key, |it| it.key) {
            Ok(idx) => {
                let entry = &mut self.entries[idx];
                assert_ne!(
                    entry.state,
                    EntryState::Opened,
                    "an opened flow must keep its entry"
                );
                entry.state = state;
            }
            Err(_) if self.entries.len() >= self.limits.entries_max => {
                return Err(Refusal::TableFull);
            }
            Err(idx) => {
                self.entries.insert(idx, Entry { key, state });
                let end = now.plus(self.limits.lifetime_ms);
                self.expiry.push_back((end, key));
            }
        }
        Ok(())
    }

    fn entry_state(&self, key: OpeningKey) -> Option<EntryState> {
        let idx = self.entries.binary_search_by_key(&key, |it| it.key).ok()?;
        Some(self.entries[idx].state)
    }

    fn remove_expired(&mut self, now: Millis) {
        while let Some(&(end, key)) = self.expiry.front() {
            if end > now {
                return;
            }
            self.expiry.pop_front();
            let idx = self.entries.binary_search_by_key(&key, |it| it.key);
            self.entries
                .remove(idx.expect("every expiry record has an entry"));
        }
    }

    fn is_warming_up(&self, now: Millis) -> bool {
        now.since(self.started) < self.limits.warmup_ms
    }

    fn assert_bounds(&self) {
        assert!(self.entries.len() <= self.limits.entries_max);
        assert_eq!(self.entries.len(), self.expiry.len());
    }
}

/// Forwards an opening that agents forwarded `hops` times before; refuses it at the hop limit.
fn forward_opening(to: Candidate, opening: &Opening, stage: Stage, hops: u8) -> OpeningAction {
    match opening.with_stage_and_hops(stage, hops + 1) {
        Ok(opening) => OpeningAction::Forward { to, opening },
        Err(_hop_limit) => OpeningAction::Refuse(Refusal::HopLimit),
    }
}

fn is_candidate_at(opening: &Opening, position: u8, candidate: Candidate) -> bool {
    opening.candidates()[usize::from(position)].endpoint == candidate.endpoint
}
