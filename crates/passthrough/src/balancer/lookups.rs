//! Tracks the lookups that find out which agent's endpoint holds an uncached flow.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::Ipv4Addr,
};

use units::Millis;

use crate::{Flow, Segment, ServiceKey, flow_identity::FlowPositions, message::FlowNotHeld};

/// Time after which the unfinished chains of agents in a lookup count as lost.
const CHAIN_TIMEOUT_MS: Millis = Millis::new(150);

/// Minimum interval between two failed lookups of a flow that together prove that the flow has no
/// holder.
///
/// A catalog may be a few hundred milliseconds old, so a single failed lookup proves nothing.
const RETRY_DELAY_MS: Millis = Millis::new(150);

/// Maximum number of times that a lookup is repeated in a row because chains of it were lost.
///
/// A busy agent may drop a chain, and the caller's next copy may come after its deadline. The pause
/// doubles each time, so that an agent that doesn't answer at all costs few lookups.
const LOST_CHAIN_RETRIES_MAX: u32 = 3;

/// Maximum number of tracked lookups with which a lookup is repeated because chains of it were lost.
///
/// With more, the agents are overrun by lookups, and repeating them would keep them so.
const LOOKUPS_WITH_REPEATS_MAX: usize = 64;

/// Time for which a flow's lookup is tracked after its latest start.
const LOOKUP_RETENTION_MS: Millis = Millis::new(5_000);

/// Maximum number of packets retained for lookup retries; 256 packets of 1,232 bytes take a third
/// of a megabyte.
const RETAINED_PACKETS_MAX: usize = 256;

#[derive(Debug)]
struct Lookup {
    id: u16,
    /// Positions of the flow that is looked up, which tell it from others of its addresses and ports.
    positions: FlowPositions,
    /// Number of lookups in a row that did not finish before the present one began.
    lost_attempts: usize,
    /// Number of chains of asked agents that have not reported their end.
    pending_chains: usize,
    /// The chains that have ended, each by its last agent and its service. A report that arrives
    /// twice must not count for another chain.
    ended_chains: Vec<(Ipv4Addr, ServiceKey)>,
    started: Millis,
    /// Endpoint generation of the catalog view whose endpoints are asked.
    generation: u64,
    /// Number of lookups in a row that did not finish.
    unfinished: u32,
    failures: u8,
    first_failure: Option<Millis>,
    /// The caller's latest acknowledgement number, which a reset of the flow carries as its
    /// sequence number.
    acknowledged: u32,
    /// The caller's packet, for a retry that doesn't depend on the caller; empty if too many
    /// packets are retained.
    packet: Vec<u8>,
}

impl Lookup {
    const fn is_failed(&self) -> bool {
        self.failures > 0 && self.pending_chains == 0
    }

    /// Returns how many attempts in a row will not have finished if the next one begins now.
    const fn lost_attempts_before_next(&self) -> usize {
        if self.pending_chains == 0 {
            return 0;
        }
        self.lost_attempts + 1
    }

    /// Returns the time after its start at which the lookup is repeated if chains are still pending.
    const fn lost_chain_delay(&self) -> Option<Millis> {
        if self.unfinished >= LOST_CHAIN_RETRIES_MAX || self.packet.is_empty() {
            return None;
        }
        Some(Millis::new(CHAIN_TIMEOUT_MS.get() << self.unfinished))
    }
}

/// A lookup in which all asked agents replied that their endpoints don't hold the flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedLookup {
    pub(crate) rounds: u8,
    /// Whether enough time has passed since the flow's first failed lookup to prove that the flow
    /// has no holder.
    pub(crate) is_conclusive: bool,
    pub(crate) acknowledged: u32,
}

/// The lookups in progress and the failed lookups, by flow.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    by_flow: HashMap<Flow, Lookup>,
    /// Times at which failed lookups are retried, with their flows, earliest first.
    retries: VecDeque<(Millis, Flow)>,
    /// Times at which lookups count as lost, with their flows and ids, earliest first.
    timeouts: BinaryHeap<Reverse<(Millis, Flow, u16)>>,
    last_lookup_id: u16,
}

impl Lookups {
    /// Prepares the lookup of the flow of a caller's packet, and returns how many lookups of the flow in
    /// a row did not finish, because a chain of agents was lost.
    ///
    /// The lookup of another flow of the same addresses and ports ends: its failures prove nothing
    /// about this one.
    pub(crate) fn begin_attempt(&mut self, segment: &Segment) -> usize {
        let flow = segment.caller_flow();
        let positions = FlowPositions::of_caller_packet(segment);
        let Some(lookup) = self.by_flow.get_mut(&flow) else {
            return 0;
        };
        if !lookup.positions.is_same_flow(&positions) {
            self.by_flow.remove(&flow);
            return 0;
        }
        lookup.positions.advance(&positions);
        lookup.lost_attempts_before_next()
    }

    /// Starts a lookup of a flow that asks agents in the given number of chains.
    ///
    /// Returns the lookup's id, or zero if a lookup of the flow is already in progress.
    pub(crate) fn start_lookup(
        &mut self,
        now: Millis,
        segment: &Segment,
        chains: usize,
        generation: u64,
        packet: &[u8],
    ) -> u16 {
        let flow = segment.caller_flow();
        let retains_packet = self.by_flow.len() < RETAINED_PACKETS_MAX;
        let lookup = self.by_flow.entry(flow).or_insert_with(|| Lookup {
            id: 0,
            positions: FlowPositions::of_caller_packet(segment),
            lost_attempts: 0,
            pending_chains: 0,
            ended_chains: Vec::new(),
            started: now,
            generation,
            unfinished: 0,
            failures: 0,
            first_failure: None,
            acknowledged: segment.acknowledged,
            packet: if retains_packet {
                packet.to_vec()
            } else {
                Vec::new()
            },
        });
        if lookup.pending_chains > 0 && now.since(lookup.started) < CHAIN_TIMEOUT_MS {
            return 0;
        }
        self.last_lookup_id = self.last_lookup_id.wrapping_add(1).max(1);
        lookup.lost_attempts = lookup.lost_attempts_before_next();
        lookup.id = self.last_lookup_id;
        lookup.pending_chains = chains;
        lookup.ended_chains.clear();
        lookup.started = now;
        lookup.generation = generation;
        lookup.acknowledged = segment.acknowledged;
        if let Some(delay) = lookup.lost_chain_delay() {
            self.timeouts
                .push(Reverse((now.plus(delay), flow, lookup.id)));
        }
        self.last_lookup_id
    }

    /// Removes the next lookup retry that is due, and returns its flow and the caller's packet.
    pub(crate) fn take_due_retry(&mut self, now: Millis) -> Option<(Flow, Vec<u8>)> {
        self.take_failure_retry(now)
            .or_else(|| self.take_lost_lookup(now))
    }

    /// Removes the next lookup whose chains count as lost.
    fn take_lost_lookup(&mut self, now: Millis) -> Option<(Flow, Vec<u8>)> {
        while let Some(Reverse((due, flow, id))) = self.timeouts.peek().copied() {
            if due > now {
                return None;
            }
            self.timeouts.pop();
            if self.by_flow.len() > LOOKUPS_WITH_REPEATS_MAX {
                continue;
            }
            let lost = self
                .by_flow
                .get_mut(&flow)
                .filter(|it| it.id == id && it.pending_chains > 0);
            if let Some(lookup) = lost {
                lookup.unfinished += 1;
                return Some((flow, lookup.packet.clone()));
            }
        }
        None
    }

    fn take_failure_retry(&mut self, now: Millis) -> Option<(Flow, Vec<u8>)> {
        while let Some((due, flow)) = self.retries.front().copied() {
            if due > now {
                return None;
            }
            self.retries.pop_front();
            let Some(lookup) = self.by_flow.get(&flow) else {
                continue;
            };
            if !lookup.packet.is_empty() {
                return Some((flow, lookup.packet.clone()));
            }
        }
        None
    }

    /// Returns the time at which the next lookup retry is due.
    pub(crate) fn next_retry_at(&self) -> Option<Millis> {
        let failed = self.retries.front().map(|it| it.0);
        let lost = self.timeouts.peek().map(|it| it.0.0);
        failed.into_iter().chain(lost).min()
    }

    /// Ends the lookup of a flow.
    pub(crate) fn finish_lookup(&mut self, flow: Flow) {
        self.by_flow.remove(&flow);
    }

    /// Ends the lookup of the flow that has the given positions, and returns the flow's positions, or
    /// `None` if another flow or none was looked up.
    pub(crate) fn take_found(
        &mut self,
        flow: Flow,
        positions: &FlowPositions,
    ) -> Option<FlowPositions> {
        let looked_up = self.by_flow.get(&flow)?.positions;
        if !looked_up.is_same_flow(positions) {
            return None;
        }
        self.by_flow.remove(&flow);
        Some(looked_up)
    }

    /// Records that a chain of asked agents ended without a holder of the flow. Returns the
    /// lookup's failure if the chain was the last one.
    ///
    /// If endpoints were added since the lookup began, the lookup does not fail but is retried
    /// immediately.
    pub(crate) fn record_chain_end(
        &mut self,
        now: Millis,
        last_agent: Ipv4Addr,
        flow_not_held: FlowNotHeld,
        generation: u64,
    ) -> Option<FailedLookup> {
        let flow = flow_not_held.flow;
        let lookup = self.by_flow.get_mut(&flow)?;
        let chain = (last_agent, flow_not_held.service);
        if lookup.id != flow_not_held.lookup_id
            || lookup.pending_chains == 0
            || lookup.ended_chains.contains(&chain)
        {
            return None;
        }
        lookup.ended_chains.push(chain);
        lookup.pending_chains -= 1;
        if lookup.pending_chains > 0 {
            return None;
        }
        if lookup.generation != generation {
            self.retries.push_front((now, flow));
            return None;
        }
        lookup.unfinished = 0;
        lookup.failures = lookup.failures.saturating_add(1);
        if lookup.first_failure.is_none() && !lookup.packet.is_empty() {
            self.retries.push_back((now.plus(RETRY_DELAY_MS), flow));
        }
        let first = *lookup.first_failure.get_or_insert(now);
        Some(FailedLookup {
            rounds: lookup.failures,
            is_conclusive: now.since(first) >= RETRY_DELAY_MS,
            acknowledged: lookup.acknowledged,
        })
    }

    /// Returns whether any failed lookup is waiting for the store to confirm the catalog.
    pub(crate) fn has_failed_lookups(&self) -> bool {
        self.by_flow.values().any(Lookup::is_failed)
    }

    /// Returns the failed lookups that asked the endpoints of `generation` and began no later than
    /// `since`, and whose failure the store thereby has confirmed: the flow of each with the
    /// sequence number for the flow's reset.
    pub(crate) fn confirmed_failures(&self, since: Millis, generation: u64) -> Vec<(Flow, u32)> {
        let is_confirmed =
            |it: &Lookup| it.is_failed() && it.started <= since && it.generation == generation;
        let confirmed = self.by_flow.iter().filter(|it| is_confirmed(it.1));
        let mut failed: Vec<_> = confirmed.map(|it| (*it.0, it.1.acknowledged)).collect();
        failed.sort_unstable();
        failed
    }

    /// Schedules a retry of the failed lookups that did not ask the endpoints added since then.
    pub(crate) fn schedule_outdated_retries(&mut self, now: Millis, generation: u64) {
        let is_outdated = |it: &Lookup| it.is_failed() && it.generation != generation;
        let outdated = self.by_flow.iter().filter(|it| is_outdated(it.1));
        let mut flows: Vec<Flow> = outdated.map(|it| *it.0).collect();
        flows.sort_unstable();
        for flow in flows {
            self.retries.push_front((now, flow));
        }
    }

    /// Drops all lookups with the packets that are retained for their retries.
    pub(crate) fn forget_packets(&mut self) {
        self.by_flow.clear();
        self.retries.clear();
        self.timeouts.clear();
    }

    pub(crate) fn remove_expired_lookups(&mut self, now: Millis) {
        self.by_flow
            .retain(|_, it| now.since(it.started) <= LOOKUP_RETENTION_MS);
    }
}
