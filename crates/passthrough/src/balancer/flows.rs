//! Caches which agent holds each flow.
//!
//! A missing entry is recovered by asking the agents.

use std::{collections::HashMap, net::Ipv4Addr};

use units::Millis;

use super::uploads::UploadDetector;
use crate::{Flow, Segment};

/// Time for which a flow stays cached after the caller closed it, to forward retransmitted packets.
const CLOSED_RETENTION_MS: Millis = Millis::new(3_000);

/// Maximum number of cached flows. They take about 4 MB; a balancer of the intended size has about
/// 8,400 open flows.
const CACHED_FLOWS_MAX: usize = 60_000;

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    agent: Ipv4Addr,
    last_used: Millis,
    closed: bool,
    upload_detector: UploadDetector,
}

/// What the cache knows about the flow of a packet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CachedFlow {
    /// The agent that holds the flow.
    pub(crate) agent: Ipv4Addr,
    /// Whether the packet belongs to a long upload.
    pub(crate) is_upload: bool,
}

/// The flow cache.
///
/// It is a hash map, not a sorted vector, because entries change with every packet.
#[derive(Debug, Default)]
pub(crate) struct FlowCache {
    flows: HashMap<Flow, CacheEntry>,
}

impl FlowCache {
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Looks up the flow of a received packet and updates its entry.
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
            is_upload: segment.data_bytes > 0 && entry.upload_detector.record_packet(now),
        })
    }

    pub(crate) fn insert_flow(&mut self, now: Millis, flow: Flow, agent: Ipv4Addr) {
        if self.flows.len() >= CACHED_FLOWS_MAX && !self.flows.contains_key(&flow) {
            return;
        }
        let entry = CacheEntry {
            agent,
            last_used: now,
            closed: false,
            upload_detector: UploadDetector::default(),
        };
        self.flows.insert(flow, entry);
    }

    /// Removes the flow if it is cached as held by `agent`.
    pub(crate) fn remove_if_held_by(&mut self, flow: Flow, agent: Ipv4Addr) {
        if self.flows.get(&flow).is_some_and(|it| it.agent == agent) {
            self.flows.remove(&flow);
        }
    }

    /// Removes flows that have been idle or closed for too long.
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
