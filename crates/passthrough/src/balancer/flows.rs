//! Caches which agent's endpoint holds each flow, and for which service.
//!
//! A missing cache entry is recovered by a lookup, which asks the agents.

use std::{collections::HashMap, net::Ipv4Addr};

use units::Millis;

use super::uploads::UploadDetector;
use crate::{
    Flow, Segment, ServiceKey,
    flow_identity::{FlowPositions, KnownOpening, OpeningId},
};

/// Time for which a flow stays cached after its caller closed it, to forward retransmitted packets.
const CLOSED_RETENTION_MS: Millis = Millis::new(3_000);

/// Maximum number of cached flows. The full cache takes about 12 MB; a balancer of the intended size
/// has about 8,400 open flows. Flows beyond are looked up with each packet.
const CACHED_FLOWS_MAX: usize = 60_000;

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    agent: Ipv4Addr,
    service: ServiceKey,
    opening: KnownOpening,
    positions: FlowPositions,
    last_used: Millis,
    closed: bool,
    upload_detector: UploadDetector,
}

/// What the flow cache knows about the flow of a received packet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CachedFlow {
    /// The agent whose endpoint holds the flow.
    pub(crate) agent: Ipv4Addr,
    /// The service at which the flow was placed, which its route may have left since.
    pub(crate) service: ServiceKey,
    /// Whether the received packet belongs to a long upload.
    pub(crate) is_upload: bool,
}

/// The flow cache, which maps each flow to the agent whose endpoint holds it.
///
/// The cache is a hash map, not a sorted vector, because entries change with every packet.
#[derive(Debug, Default)]
pub(crate) struct FlowCache {
    flows: HashMap<Flow, CacheEntry>,
    /// Number of flows that were not cached because the cache was full.
    uncached: u64,
}

impl FlowCache {
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns how many flows were not cached because the cache was full.
    pub(crate) const fn uncached_count(&self) -> u64 {
        self.uncached
    }

    /// Looks up the flow of a received packet and updates the flow's cache entry.
    ///
    /// Finds nothing for a packet of another flow of the same addresses and ports: an opening packet
    /// that is no copy of the cached flow's, or a packet at positions far from the flow's.
    pub(crate) fn look_up_flow(
        &mut self,
        now: Millis,
        flow: Flow,
        segment: &Segment,
    ) -> Option<CachedFlow> {
        let entry = self.flows.get_mut(&flow)?;
        if segment.is_opening_packet() {
            let opening = OpeningId::of_packet(segment);
            if entry.closed || !entry.opening.may_have_copy(now, opening) {
                return None;
            }
        } else {
            let positions = FlowPositions::of_caller_packet(segment);
            if !entry.positions.is_same_flow(&positions) {
                return None;
            }
            entry.positions.advance(&positions);
        }
        entry.last_used = now;
        entry.closed |= segment.fin || segment.rst;
        Some(CachedFlow {
            agent: entry.agent,
            service: entry.service,
            is_upload: segment.data_bytes > 0 && entry.upload_detector.record_packet(now),
        })
    }

    pub(crate) fn insert_flow(
        &mut self,
        now: Millis,
        flow: Flow,
        agent: Ipv4Addr,
        service: ServiceKey,
        opening: Option<OpeningId>,
        positions: FlowPositions,
    ) {
        if self.flows.len() >= CACHED_FLOWS_MAX && !self.flows.contains_key(&flow) {
            self.uncached += 1;
            return;
        }
        let entry = CacheEntry {
            agent,
            service,
            opening: KnownOpening::new(now, opening),
            positions,
            last_used: now,
            closed: false,
            upload_detector: UploadDetector::default(),
        };
        self.flows.insert(flow, entry);
    }

    pub(crate) fn remove_flow(&mut self, flow: Flow) {
        self.flows.remove(&flow);
    }

    /// Returns whether another opening of the same addresses and ports is cached.
    pub(crate) fn has_other_opening(&self, flow: Flow, opening: Option<OpeningId>) -> bool {
        let cached = self.flows.get(&flow).and_then(|it| it.opening.id());
        cached.is_some() && cached != opening
    }

    /// Removes the flow of a packet that `agent` returned, if the cache leads the packet there, and
    /// returns whether it did.
    pub(crate) fn remove_returned(
        &mut self,
        flow: Flow,
        agent: Ipv4Addr,
        segment: &Segment,
    ) -> bool {
        let leads_there = |it: &CacheEntry| {
            let is_same = if segment.is_opening_packet() {
                it.opening.is(OpeningId::of_packet(segment))
            } else {
                it.positions
                    .is_same_flow(&FlowPositions::of_caller_packet(segment))
            };
            it.agent == agent && is_same
        };
        let is_led = self.flows.get(&flow).is_some_and(leads_there);
        if is_led {
            self.flows.remove(&flow);
        }
        is_led
    }

    /// Removes flows that have been idle or closed for longer than their retention.
    pub(crate) fn remove_expired_flows(&mut self, now: Millis, idle_timeout: Millis) {
        self.flows.retain(|_, it| {
            let retention = if it.closed {
                CLOSED_RETENTION_MS
            } else {
                idle_timeout.max(CLOSED_RETENTION_MS)
            };
            now.since(it.last_used) <= retention
        });
    }
}
