//! The agent's load, which its tunnel headers report.

use std::sync::atomic::{AtomicU64, Ordering};

use flow::tunnel::Load;
use units::Slots;

const LEAVING_BIT: u64 = 1 << 32;

/// The agent's load, updated by the gate and the lifecycle and read by the socket.
///
/// Bits 0 to 15 hold the busy slots, bits 16 to 31 the total slots, and bit 32 is set while the
/// agent is leaving.
#[derive(Debug, Default)]
pub struct LoadCell(AtomicU64);

impl LoadCell {
    /// Returns the agent's current load.
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

    /// Sets the numbers of busy slots and of total slots.
    pub(crate) fn set_slots(&self, busy: Slots, total: Slots) {
        let slots = u64::from(busy.get()) | u64::from(total.get()) << 16;
        let replace_slots = |bits: u64| Some(bits & LEAVING_BIT | slots);
        // The update can't fail, because the closure always returns a value.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, replace_slots);
    }

    /// Marks the agent as leaving.
    pub(crate) fn set_leaving(&self) {
        self.0.fetch_or(LEAVING_BIT, Ordering::Relaxed);
    }

    /// Marks the agent as accepting new requests again.
    pub(crate) fn set_serving(&self) {
        self.0.fetch_and(!LEAVING_BIT, Ordering::Relaxed);
    }
}
