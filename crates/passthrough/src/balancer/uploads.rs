//! Which long uploads a narrow link carries at once.
//!
//! Callers keep a window of packets in flight for each upload. Many windows at once on a narrow link
//! wait longer than callers do before they send a packet again, so the link fills with copies and
//! every short request waits behind them. A few uploads at a time take no longer for all of them;
//! the packets of the others are dropped, and their callers back off.

use units::Millis;

use crate::Flow;

/// Data packets of a caller after which a flow counts as an upload; ordinary requests have one or two.
const UPLOAD_MIN_PACKETS: u8 = 8;

/// Time without data after which a flow's packets are counted anew; a caller's longest pause between two
/// copies of a packet is 1.6 s.
const QUIET_MS: Millis = Millis::new(2_000);

/// Time that packets may wait on the link: a third of the 200 ms after which callers send them again.
const QUEUE_MS: u64 = 66;

/// Bits of one caller's window: sixteen packets of 1,264 bytes.
const WINDOW_BITS: u64 = 16 * 1_264 * 8;

/// Time without packets after which an upload's place is free: a round trip with a full queue.
const PLACE_KEPT_MS: Millis = Millis::new(80);

/// The data packets of a flow.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DataRun {
    packets: u8,
    last: Millis,
}

impl DataRun {
    /// Counts a data packet; returns whether the flow is an upload.
    pub(crate) fn note(&mut self, now: Millis) -> bool {
        if now.since(self.last) > QUIET_MS {
            self.packets = 0;
        }
        self.last = now;
        self.packets = self.packets.saturating_add(1);
        self.packets > UPLOAD_MIN_PACKETS
    }
}

/// The uploads that are carried now.
#[derive(Debug)]
pub(crate) struct UploadGate {
    /// How many the link carries at once.
    places: usize,
    /// Uploads with a place and when each was last used, sorted by flow; at most `places`.
    active: Vec<(Flow, Millis)>,
}

impl UploadGate {
    /// Makes a gate for a link of `link_mbps`.
    pub(crate) fn new(link_mbps: u32) -> Self {
        let mut gate = Self {
            places: 0,
            active: Vec::new(),
        };
        gate.set_link(link_mbps);
        gate
    }

    /// Changes what the link carries.
    pub(crate) fn set_link(&mut self, link_mbps: u32) {
        let bits = u64::from(link_mbps) * 1_000 * QUEUE_MS;
        self.places = usize::try_from(bits / WINDOW_BITS)
            .unwrap_or(usize::MAX)
            .max(2);
    }

    /// Returns whether a data packet of an upload may go on now.
    pub(crate) fn admits(&mut self, now: Millis, flow: Flow) -> bool {
        if let Ok(idx) = self.find(flow) {
            self.active[idx].1 = now;
            return true;
        }
        if self.active.len() >= self.places {
            self.active.retain(|it| now.since(it.1) <= PLACE_KEPT_MS);
        }
        if self.active.len() >= self.places {
            return false;
        }
        if let Err(idx) = self.find(flow) {
            self.active.insert(idx, (flow, now));
        }
        true
    }

    /// Frees the place of a flow that ended.
    pub(crate) fn release(&mut self, flow: Flow) {
        if let Ok(idx) = self.find(flow) {
            self.active.remove(idx);
        }
    }

    fn find(&self, flow: Flow) -> Result<usize, usize> {
        self.active.binary_search_by_key(&flow, |it| it.0)
    }
}
