//! Which agent opens a flow: each opening has a home that decides once and remembers.
//!
//! Balancers may disagree on who should open a flow: their loads, bundles and lists of live
//! endpoints differ. So they send every packet of an opening to its home, which depends on the
//! bundle alone, and the home holds to its first decision. While a bundle changes there are two
//! homes, and the older generation's comes first. An agent that started lately may have forgotten
//! a decision; it asks the other candidates before it decides.

use std::{collections::VecDeque, hash::Hash, net::SocketAddr};

use siphasher::sip128::SipHasher24;
use units::{EndpointId, Millis};

use crate::{
    quic::CID_MAX_BYTES,
    tunnel::{Candidate, Opening, Stage},
};

const KEY_MAX_BYTES: usize = 16 + 2 + CID_MAX_BYTES;

/// Bounds of an opening table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a decision is remembered: longer than any handshake.
    pub lifetime_ms: Millis,
    /// How long after its start an agent asks others before it decides.
    pub warmup_ms: Millis,
    /// Most decisions remembered.
    pub entries_max: usize,
}

impl Limits {
    /// Makes the limits used in service.
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

/// One attempt of a caller to open a flow, as opening tables know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpeningKey(u128);

/// What an agent does with a packet of an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpeningAction {
    /// Open the flow here: the first packet.
    Open,
    /// The flow was opened here: give the packet to it.
    Deliver,
    /// Pass the packet on.
    Forward {
        /// Who receives it.
        to: Candidate,
        /// The list to send along.
        opening: Opening,
    },
    /// Drop and count the packet.
    Refuse(Refusal),
}

/// Why an agent refuses a packet of an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The table is full of decisions that still bind.
    TableFull,
    /// The packet was passed on too often.
    HopLimit,
}

/// An agent's decisions about openings, bounded in number and time.
#[derive(Debug, Clone)]
pub struct OpeningTable {
    me: EndpointId,
    started: Millis,
    limits: Limits,
    hasher: SipHasher24,
    /// Sorted by key, without duplicates, at most `limits.entries_max`.
    entries: Vec<Entry>,
    /// When each entry is forgotten, in order of time; as many as entries.
    expiry: VecDeque<(Millis, OpeningKey)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    key: OpeningKey,
    fate: Fate,
}

/// What became of an opening at this agent.
///
/// `Opened` is final. `Passed` at `Stage::Decide` leaves the decision to a later decider, which may
/// come back with `Stage::Decided`. Later packets travel with the first one's list, so that all see
/// the same candidates whoever routed them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Fate {
    Opened,
    Passed { to: Candidate, opening: Opening },
}

impl OpeningTable {
    /// Makes the empty table of an agent that starts now; `seed` must be random.
    #[must_use]
    pub fn new(me: EndpointId, started: Millis, limits: Limits, seed: u64) -> Self {
        Self {
            me,
            started,
            limits,
            hasher: SipHasher24::new_with_keys(seed, !seed),
            entries: Vec::new(),
            expiry: VecDeque::new(),
        }
    }

    /// Makes the key of an opening from the caller's address and the connection id it chose.
    #[must_use]
    pub fn key(&self, caller: SocketAddr, dcid: &[u8]) -> OpeningKey {
        let mut input = [0; KEY_MAX_BYTES];
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

    /// Decides what to do with a packet of an opening, and remembers it.
    pub fn decide(&mut self, now: Millis, key: OpeningKey, opening: &Opening) -> OpeningAction {
        self.forget(now);
        let verdict = match self.fate(key) {
            Some(fate) => self.follow(now, key, fate, opening),
            None => self.consider(now, key, opening),
        };
        self.assert_bounds();
        verdict
    }

    /// Returns the number of decisions remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no decision is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns everything that later decisions depend on, for searches over states.
    #[must_use]
    pub fn state(&self) -> impl Hash + Eq + '_ {
        (self.me, self.started, &self.entries)
    }

    fn follow(
        &mut self,
        now: Millis,
        key: OpeningKey,
        fate: Fate,
        opening: &Opening,
    ) -> OpeningAction {
        let Fate::Passed { to, opening: first } = fate else {
            return OpeningAction::Deliver;
        };
        match (first.stage, opening.stage) {
            (Stage::Decide, Stage::Decided) => self.open(now, key),
            (_, Stage::Query { asker, .. }) if is_at(opening, asker, to) => {
                // The asker was to decide and has forgotten: this record says nothing more.
                self.answer(now, key, opening)
            }
            _ => pass(to, &first, first.stage, opening.hops()),
        }
    }

    fn consider(&mut self, now: Millis, key: OpeningKey, opening: &Opening) -> OpeningAction {
        match opening.stage {
            Stage::Decided => self.open(now, key),
            Stage::Query { .. } => self.answer(now, key, opening),
            Stage::Decide if self.is_young(now) => self.ask(now, key, opening),
            Stage::Decide => self.settle(now, key, opening),
        }
    }

    /// Decides, or passes on to the next decider.
    fn settle(&mut self, now: Millis, key: OpeningKey, opening: &Opening) -> OpeningAction {
        let next = opening.position(self.me).map_or(usize::MAX, |it| it + 1);
        if let Some(&to) = opening.deciders().get(next) {
            return self.pass_on(now, key, to, Stage::Decide, opening);
        }
        let target = opening.target();
        if target.endpoint == self.me {
            return self.open(now, key);
        }
        self.pass_on(now, key, target, Stage::Decided, opening)
    }

    /// Asks the first other candidate whether it knows the flow.
    fn ask(&mut self, now: Millis, key: OpeningKey, opening: &Opening) -> OpeningAction {
        let Some(asker) = opening.position(self.me) else {
            return self.settle(now, key, opening);
        };
        let asker = u8::try_from(asker).expect("lists are short");
        let opening = opening.with_stage(Stage::Query { asker, queried: 0 });
        self.answer(now, key, &opening)
    }

    /// Passes a question on to the next candidate not yet queried, or back to the asker.
    fn answer(&mut self, now: Millis, key: OpeningKey, opening: &Opening) -> OpeningAction {
        let Stage::Query { asker, queried } = opening.stage else {
            unreachable!("only questions are answered");
        };
        let me = opening.position(self.me);
        let mark = |idx: usize| 1_u8 << idx;
        let queried = queried | mark(usize::from(asker)) | me.map_or(0, mark);
        let next = (0..opening.candidates().len()).find(|&it| queried & mark(it) == 0);
        let stage = Stage::Query { asker, queried };
        match next {
            Some(idx) => pass(opening.candidates()[idx], opening, stage, opening.hops()),
            None if me == Some(usize::from(asker)) => self.settle(now, key, opening),
            None => {
                let back = opening.candidates()[usize::from(asker)];
                pass(back, opening, stage, opening.hops())
            }
        }
    }

    fn open(&mut self, now: Millis, key: OpeningKey) -> OpeningAction {
        match self.record(now, key, Fate::Opened) {
            Ok(()) => OpeningAction::Open,
            Err(refusal) => OpeningAction::Refuse(refusal),
        }
    }

    fn pass_on(
        &mut self,
        now: Millis,
        key: OpeningKey,
        to: Candidate,
        stage: Stage,
        opening: &Opening,
    ) -> OpeningAction {
        let first = opening.with_stage(stage);
        match self.record(now, key, Fate::Passed { to, opening: first }) {
            Ok(()) => pass(to, opening, stage, opening.hops()),
            Err(refusal) => OpeningAction::Refuse(refusal),
        }
    }

    fn record(&mut self, now: Millis, key: OpeningKey, fate: Fate) -> Result<(), Refusal> {
        match self.entries.binary_search_by_key(&key, |it| it.key) {
            Ok(idx) => {
                let entry = &mut self.entries[idx];
                assert_ne!(entry.fate, Fate::Opened, "a flow opened here stays here");
                entry.fate = fate;
            }
            Err(_) if self.entries.len() >= self.limits.entries_max => {
                return Err(Refusal::TableFull);
            }
            Err(idx) => {
                self.entries.insert(idx, Entry { key, fate });
                let end = now.plus(self.limits.lifetime_ms);
                self.expiry.push_back((end, key));
            }
        }
        Ok(())
    }

    fn fate(&self, key: OpeningKey) -> Option<Fate> {
        let idx = self.entries.binary_search_by_key(&key, |it| it.key).ok()?;
        Some(self.entries[idx].fate)
    }

    fn forget(&mut self, now: Millis) {
        while let Some(&(end, key)) = self.expiry.front() {
            if end > now {
                return;
            }
            self.expiry.pop_front();
            let idx = self.entries.binary_search_by_key(&key, |it| it.key);
            self.entries.remove(idx.expect("expiry names an entry"));
        }
    }

    fn is_young(&self, now: Millis) -> bool {
        now.since(self.started) < self.limits.warmup_ms
    }

    fn assert_bounds(&self) {
        assert!(self.entries.len() <= self.limits.entries_max);
        assert_eq!(self.entries.len(), self.expiry.len());
    }
}

/// Passes an opening on that was passed on `hops` times before.
fn pass(to: Candidate, opening: &Opening, stage: Stage, hops: u8) -> OpeningAction {
    match opening.with_progress(stage, hops + 1) {
        Ok(opening) => OpeningAction::Forward { to, opening },
        Err(_often) => OpeningAction::Refuse(Refusal::HopLimit),
    }
}

fn is_at(opening: &Opening, position: u8, candidate: Candidate) -> bool {
    opening.candidates()[usize::from(position)].endpoint == candidate.endpoint
}
