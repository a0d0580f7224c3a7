//! Endpoint state that changes more often than bundles: liveness, load and slow start.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
};

use units::{EndpointId, Slots};

use crate::tunnel::Load;

const BUSY_SHIFT: u32 = 16;
const LEAVING_SHIFT: u32 = 32;
const FULL_RAMP_PERCENT: u8 = 100;

/// Liveness of an endpoint's agent, as known to this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Liveness {
    /// The agent answers, or there is no evidence that the agent failed.
    #[default]
    Alive,
    /// The agent failed to answer. It opens no flows if another agent can, but remains a decider.
    Suspect,
    /// The agent is dead. It neither opens flows nor decides which agent opens a flow.
    Dead,
}

/// Mutable state of one endpoint, shared by all routing tables and updated without locks.
#[derive(Debug)]
pub struct EndpointStatus {
    endpoint: EndpointId,
    /// Total and busy concurrency slots and the leaving flag, packed to be updated atomically.
    load: AtomicU64,
    liveness: AtomicU8,
    /// Effective percentage of the endpoint's weight during slow start, at most 100.
    ramp_percent: AtomicU8,
    is_leaving_listed: AtomicBool,
    /// Number of datagram batches sent to the agent; wraps around.
    sent: AtomicU64,
    /// Number of verified datagram batches received from the agent; wraps around.
    answered: AtomicU64,
}

impl EndpointStatus {
    fn new(endpoint: EndpointId) -> Self {
        Self {
            endpoint,
            load: AtomicU64::new(0),
            liveness: AtomicU8::new(0),
            ramp_percent: AtomicU8::new(FULL_RAMP_PERCENT),
            is_leaving_listed: AtomicBool::new(false),
            sent: AtomicU64::new(0),
            answered: AtomicU64::new(0),
        }
    }

    /// Returns the endpoint's id.
    #[must_use]
    pub const fn endpoint(&self) -> EndpointId {
        self.endpoint
    }

    /// Returns the load that the endpoint's agent last reported.
    #[must_use]
    pub fn load(&self) -> Load {
        let raw = self.load.load(Ordering::Relaxed);
        let [_, _, _, leaving, busy_high, busy_low, total_high, total_low] = raw.to_be_bytes();
        Load {
            busy: Slots::new(u16::from_be_bytes([busy_high, busy_low])),
            total: Slots::new(u16::from_be_bytes([total_high, total_low])),
            is_leaving: leaving != 0,
        }
    }

    /// Stores the load that the endpoint's agent reports.
    pub fn set_load(&self, load: Load) {
        let raw = u64::from(load.total.get())
            | u64::from(load.busy.get()) << BUSY_SHIFT
            | u64::from(load.is_leaving) << LEAVING_SHIFT;
        if self.load.load(Ordering::Relaxed) != raw {
            self.load.store(raw, Ordering::Relaxed);
        }
    }

    /// Returns the liveness of the endpoint's agent.
    #[must_use]
    pub fn liveness(&self) -> Liveness {
        match self.liveness.load(Ordering::Relaxed) {
            0 => Liveness::Alive,
            1 => Liveness::Suspect,
            _ => Liveness::Dead,
        }
    }

    /// Stores the liveness of the endpoint's agent.
    pub fn set_liveness(&self, liveness: Liveness) {
        let raw = match liveness {
            Liveness::Alive => 0,
            Liveness::Suspect => 1,
            Liveness::Dead => 2,
        };
        self.liveness.store(raw, Ordering::Relaxed);
    }

    /// Returns the percentage of the endpoint's weight that is effective during slow start.
    #[must_use]
    pub fn ramp_percent(&self) -> u8 {
        self.ramp_percent.load(Ordering::Relaxed)
    }

    /// Sets the effective percentage of the endpoint's weight; caps the percentage at 100.
    pub fn set_ramp_percent(&self, percent: u8) {
        let percent = percent.min(FULL_RAMP_PERCENT);
        self.ramp_percent.store(percent, Ordering::Relaxed);
    }

    /// Stores whether the platform lists the endpoint as leaving.
    pub fn set_leaving_listed(&self, is_leaving: bool) {
        self.is_leaving_listed.store(is_leaving, Ordering::Relaxed);
    }

    /// Counts a datagram batch sent to the endpoint's agent.
    pub fn record_sent_batch(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a verified datagram batch received from the endpoint's agent.
    pub fn record_answered_batch(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the numbers of batches sent and received, which are passive health signals.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            answered: self.answered.load(Ordering::Relaxed),
        }
    }

    /// Returns whether the platform's list or the agent itself reports the endpoint as leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving_listed.load(Ordering::Relaxed) || self.load().is_leaving
    }
}

/// Numbers of datagram batches sent to an agent and received from the agent; both wrap around.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagram batches sent to the agent.
    pub sent: u64,
    /// Number of verified datagram batches received from the agent.
    pub answered: u64,
}

/// The status of every endpoint that a process knows.
#[derive(Debug, Clone, Default)]
pub struct EndpointRegistry {
    /// Status of each endpoint; sorted by endpoint id, without duplicates.
    statuses: Vec<Arc<EndpointStatus>>,
}

impl EndpointRegistry {
    /// Creates a registry without endpoints.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            statuses: Vec::new(),
        }
    }

    /// Returns the endpoint's status; adds a new status if the registry has none.
    pub fn get_or_insert(&mut self, endpoint: EndpointId) -> Arc<EndpointStatus> {
        let found = self
            .statuses
            .binary_search_by_key(&endpoint, |it| it.endpoint());
        let idx = match found {
            Ok(idx) => idx,
            Err(idx) => {
                self.statuses
                    .insert(idx, Arc::new(EndpointStatus::new(endpoint)));
                idx
            }
        };
        Arc::clone(&self.statuses[idx])
    }

    /// Returns the endpoint's status if the registry has it.
    #[must_use]
    pub fn find(&self, endpoint: EndpointId) -> Option<&Arc<EndpointStatus>> {
        let idx = self
            .statuses
            .binary_search_by_key(&endpoint, |it| it.endpoint())
            .ok()?;
        Some(&self.statuses[idx])
    }

    /// Removes every endpoint for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.statuses.retain(|it| keep(it.endpoint()));
    }
}
