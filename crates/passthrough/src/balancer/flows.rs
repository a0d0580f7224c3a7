//! Caches which agent's endpoint holds each flow, and for which service.
//!
//! A missing cache entry is recovered by a lookup, which asks the agents.

use std::{collections::HashMap, net::Ipv4Addr};

use units::Millis;

use super::uploads::UploadDetector;
use crate::{Flow, Segment, ServiceKey};

/// Time for which a flow stays cached after its caller closed it, to forward retransmitted packets.
const CLOSED_RETENTION_MS: Millis = Millis::new(3_000);

/// Maximum number of cached flows. The full cache takes about 4 MB; a balancer of the intended size
/// has about 8,400 open flows.
const CACHED_FLOWS_MAX: usize = 60_000;

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    agent: Ipv4Addr,
    service: ServiceKey,
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
    /// Whether the caller has closed the flow.
    pub(crate) is_closed: bool,
    /// Whether the received packet belongs to a long upload.
    pub(crate) is_upload: bool,
}

/// The flow cache, which maps each flow to the agent whose endpoint holds it.
///
/// The cache is a hash map, not a sorted vector, because entries change with every packet.
#[derive(Debug, Default)]
pub(crate) struct FlowCache {
    flows: HashMap<Flow, CacheEntry>,
}

impl FlowCache {
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Looks up the flow of a received packet and updates the flow's cache entry.
    pub(crate) fn look_up_flow(
        &mut self,
        now: Millis,
        flow: Flow,
        segment: &Segment,
    ) -> Option<CachedFlow> {
        let entry = self.flows.get_mut(&flow)?;
        entry.last_used = now;
        entry.closed |= segment.fin || segment.rst;
        Some(CachedFlow {
            agent: entry.agent,
            service: entry.service,
            is_closed: entry.closed,
            is_upload: segment.data_bytes > 0 && entry.upload_detector.record_packet(now),
        })
    }

    pub(crate) fn insert_flow(
        &mut self,
        now: Millis,
        flow: Flow,
        agent: Ipv4Addr,
        service: ServiceKey,
    ) {
        if self.flows.len() >= CACHED_FLOWS_MAX && !self.flows.contains_key(&flow) {
            return;
        }
        let entry = CacheEntry {
            agent,
            service,
            last_used: now,
            closed: false,
            upload_detector: UploadDetector::default(),
        };
        self.flows.insert(flow, entry);
    }

    pub(crate) fn remove_flow(&mut self, flow: Flow) {
        self.flows.remove(&flow);
    }

    /// Removes a flow from the cache if its cached agent is `agent`.
    pub(crate) fn remove_flow_if_held_by(&mut self, flow: Flow, agent: Ipv4Addr) {
        if self.flows.get(&flow).is_some_and(|it| it.agent == agent) {
            self.flows.remove(&flow);
        }
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
