//! The agent's load, as its datagrams carry it.

use std::sync::atomic::{AtomicU64, Ordering};

use flow::tunnel::Load;
use units::Slots;

const LEAVING_BIT: u64 = 1 << 32;

/// The agent's load, shared by those who change it and the socket.
///
/// The low half holds the slots in all and the busy ones, then comes whether the agent leaves.
#[derive(Debug, Default)]
pub struct LoadCell(AtomicU64);

impl LoadCell {
    /// Returns the load.
    #[must_use]
    pub fn get(&self) -> Load {
        let bits = self.0.load(Ordering::Relaxed);
        let [.., t1, t0, b1, b0] = bits.to_be_bytes();
        Load {
            busy: Slots::new(u16::from_be_bytes([b1, b0])),
            total: Slots::new(u16::from_be_bytes([t1, t0])),
            is_leaving: bits & LEAVING_BIT != 0,
        }
    }

    /// Sets busy slots and slots in all.
    pub(crate) fn set_slots(&self, busy: Slots, total: Slots) {
        let slots = u64::from(busy.get()) | u64::from(total.get()) << 16;
        let keep = |bits: u64| Some(bits & LEAVING_BIT | slots);
        // An update that always returns a value always succeeds.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, keep);
    }

    /// Marks the agent as leaving.
    pub(crate) fn set_leaving(&self) {
        self.0.fetch_or(LEAVING_BIT, Ordering::Relaxed);
    }

    /// Marks the agent as taking new work again.
    pub(crate) fn set_serving(&self) {
        self.0.fetch_and(!LEAVING_BIT, Ordering::Relaxed);
    }
}
