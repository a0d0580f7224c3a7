//! What changes faster than bundles: each endpoint's liveness, load and ramp.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
};

use units::{EndpointId, Slots};

use crate::tunnel::Load;

const BUSY_SHIFT: u32 = 16;
const LEAVING_SHIFT: u32 = 32;
const FULL_RAMP_PERCENT: u8 = 100;

/// Whether an endpoint's agent is believed to run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Liveness {
    /// It answers, or nothing speaks against it.
    #[default]
    Alive,
    /// It failed to answer: it opens no flows while another can, but keeps deciding.
    Suspect,
    /// It is gone: it opens nothing and decides nothing.
    Dead,
}

/// The moving state of one endpoint, shared by all tables and written without locks.
#[derive(Debug)]
pub struct EndpointStatus {
    endpoint: EndpointId,
    /// Total slots, busy slots and the agent's leaving flag, packed so that they change together.
    load: AtomicU64,
    liveness: AtomicU8,
    /// At most 100.
    ramp_percent: AtomicU8,
    is_leaving_listed: AtomicBool,
    /// Batches sent to the agent; wraps.
    sent: AtomicU64,
    /// Batches that came back from the agent, checked; wraps.
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

    /// Returns what the agent last said about its load.
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

    /// Notes what the agent says about its load.
    pub fn set_load(&self, load: Load) {
        let raw = u64::from(load.total.get())
            | u64::from(load.busy.get()) << BUSY_SHIFT
            | u64::from(load.is_leaving) << LEAVING_SHIFT;
        if self.load.load(Ordering::Relaxed) != raw {
            self.load.store(raw, Ordering::Relaxed);
        }
    }

    /// Returns whether the agent is believed to run.
    #[must_use]
    pub fn liveness(&self) -> Liveness {
        match self.liveness.load(Ordering::Relaxed) {
            0 => Liveness::Alive,
            1 => Liveness::Suspect,
            _ => Liveness::Dead,
        }
    }

    /// Notes whether the agent is believed to run.
    pub fn set_liveness(&self, liveness: Liveness) {
        let raw = match liveness {
            Liveness::Alive => 0,
            Liveness::Suspect => 1,
            Liveness::Dead => 2,
        };
        self.liveness.store(raw, Ordering::Relaxed);
    }

    /// Returns the share of its weight that the endpoint may have now.
    #[must_use]
    pub fn ramp_percent(&self) -> u8 {
        self.ramp_percent.load(Ordering::Relaxed)
    }

    /// Sets the share of its weight that the endpoint may have now; above 100 counts as 100.
    pub fn set_ramp_percent(&self, percent: u8) {
        let percent = percent.min(FULL_RAMP_PERCENT);
        self.ramp_percent.store(percent, Ordering::Relaxed);
    }

    /// Notes whether the platform lists the endpoint as leaving.
    pub fn set_leaving_listed(&self, is_leaving: bool) {
        self.is_leaving_listed.store(is_leaving, Ordering::Relaxed);
    }

    /// Counts a batch sent to the agent.
    pub fn record_sent_batch(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a checked batch that came back from the agent.
    pub fn record_answered_batch(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many batches were sent to the agent and came back: passive evidence of its life.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            answered: self.answered.load(Ordering::Relaxed),
        }
    }

    /// Tells whether the platform's list or the agent itself says that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving_listed.load(Ordering::Relaxed) || self.load().is_leaving
    }
}

/// How many batches went to an agent and came back; both wrap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Batches sent to the agent.
    pub sent: u64,
    /// Checked batches that came back.
    pub answered: u64,
}

/// The cells of every endpoint a process has heard of.
#[derive(Debug, Clone, Default)]
pub struct EndpointRegistry {
    /// Sorted by endpoint id, without duplicates.
    cells: Vec<Arc<EndpointStatus>>,
}

impl EndpointRegistry {
    /// Makes an empty registry.
    #[must_use]
    pub const fn new() -> Self {
        Self { cells: Vec::new() }
    }

    /// Returns the endpoint's cell, and adds it if it is new.
    pub fn get_or_insert(&mut self, endpoint: EndpointId) -> Arc<EndpointStatus> {
        let found = self
            .cells
            .binary_search_by_key(&endpoint, |it| it.endpoint());
        let idx = match found {
            Ok(idx) => idx,
            Err(idx) => {
                self.cells
                    .insert(idx, Arc::new(EndpointStatus::new(endpoint)));
                idx
            }
        };
        Arc::clone(&self.cells[idx])
    }

    /// Finds the endpoint's cell.
    #[must_use]
    pub fn find(&self, endpoint: EndpointId) -> Option<&Arc<EndpointStatus>> {
        let idx = self
            .cells
            .binary_search_by_key(&endpoint, |it| it.endpoint())
            .ok()?;
        Some(&self.cells[idx])
    }

    /// Forgets every endpoint that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.cells.retain(|it| keep(it.endpoint()));
    }
}
