//! Which agent holds a flow, as far as the balancer remembers.
//!
//! The memory is a cache: a balancer that lost it asks the agents.

use std::{collections::HashMap, net::Ipv4Addr};

use units::Millis;

use super::uploads::DataRun;
use crate::{Flow, Segment};

/// Time for which a flow is remembered after the caller closed it, for packets sent again.
const CLOSED_KEPT_MS: Millis = Millis::new(3_000);

/// Flows remembered at once: 60,000 take about 4 MB, and a balancer of the size to design for has
/// about 8,400 open.
const FLOWS_MAX: usize = 60_000;

#[derive(Debug, Clone, Copy)]
struct Cached {
    agent: Ipv4Addr,
    last_used: Millis,
    closed: bool,
    data: DataRun,
}

/// What is remembered of a flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Remembered {
    /// The agent that holds it.
    pub(crate) agent: Ipv4Addr,
    /// The packet belongs to a long upload.
    pub(crate) is_upload: bool,
}

/// The cache.
///
/// A hash map, not a sorted vector: flows come and go with every packet.
#[derive(Debug, Default)]
pub(crate) struct FlowCache {
    flows: HashMap<Flow, Cached>,
}

impl FlowCache {
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns what is known of the flow of a packet that just came.
    pub(crate) fn get(&mut self, now: Millis, flow: Flow, segment: &Segment) -> Option<Remembered> {
        let cached = self.flows.get_mut(&flow)?;
        cached.last_used = now;
        cached.closed |= segment.fin || segment.rst;
        Some(Remembered {
            agent: cached.agent,
            is_upload: segment.data_bytes > 0 && cached.data.note(now),
        })
    }

    pub(crate) fn insert(&mut self, now: Millis, flow: Flow, agent: Ipv4Addr) {
        if self.flows.len() >= FLOWS_MAX && !self.flows.contains_key(&flow) {
            return;
        }
        let cached = Cached {
            agent,
            last_used: now,
            closed: false,
            data: DataRun::default(),
        };
        self.flows.insert(flow, cached);
    }

    /// Forgets the flow if it is believed to be at `agent`.
    pub(crate) fn remove_if(&mut self, flow: Flow, agent: Ipv4Addr) {
        if self.flows.get(&flow).is_some_and(|it| it.agent == agent) {
            self.flows.remove(&flow);
        }
    }

    /// Forgets flows that nobody uses.
    pub(crate) fn sweep(&mut self, now: Millis, idle_timeout: Millis) {
        self.flows.retain(|_, it| {
            let kept = if it.closed {
                CLOSED_KEPT_MS
            } else {
                idle_timeout.max(CLOSED_KEPT_MS)
            };
            now.since(it.last_used) <= kept
        });
    }
}
