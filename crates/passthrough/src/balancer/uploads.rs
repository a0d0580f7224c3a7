//! Limits the number of concurrent long uploads on a narrow link.
//!
//! Callers keep a window of packets in flight for each upload. If many windows share a narrow link,
//! the queueing delay exceeds the callers' retransmission timeout, so the link fills with
//! retransmissions and delays every short request. Running a few uploads at a time takes no longer
//! in total. The packets of the other uploads are dropped, and their callers back off.

use units::Millis;

use crate::Flow;

/// Number of data packets of a caller after which the caller's flow counts as an upload; ordinary
/// requests have one or two packets.
const UPLOAD_MIN_PACKETS: u8 = 8;

/// Time without data after which the packet count of a flow restarts; the longest interval between
/// two retransmissions of a caller is 1.6 s.
const UPLOAD_PAUSE_MAX_MS: Millis = Millis::new(2_000);

/// Maximum queueing delay that uploads may cause on the link, in milliseconds: a third of the 200
/// ms after which callers retransmit.
const QUEUE_DELAY_MAX_MS: u64 = 66;

/// Size of one caller's window in bits: sixteen packets of 1,264 bytes.
const WINDOW_BITS: u64 = 16 * 1_264 * 8;

/// Time without packets of an upload after which the upload is no longer active: one round trip
/// with a full queue.
const ACTIVE_TTL_MS: Millis = Millis::new(80);

/// Counts the data packets of a flow to detect long uploads.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UploadDetector {
    packets: u8,
    last_packet_at: Millis,
}

impl UploadDetector {
    /// Counts a data packet of a flow and returns whether the flow counts as an upload.
    pub(crate) fn record_packet(&mut self, now: Millis) -> bool {
        if now.since(self.last_packet_at) > UPLOAD_PAUSE_MAX_MS {
            self.packets = 0;
        }
        self.last_packet_at = now;
        self.packets = self.packets.saturating_add(1);
        self.packets > UPLOAD_MIN_PACKETS
    }
}

/// Limits the uploads that are forwarded concurrently.
#[derive(Debug)]
pub(crate) struct UploadLimiter {
    /// Maximum number of uploads that are active at the same time.
    active_max: usize,
    /// Active uploads with the time of their latest packet, sorted by flow; at most `active_max`.
    active: Vec<(Flow, Millis)>,
}

impl UploadLimiter {
    /// Creates an upload limiter for a link of `link_mbps`.
    pub(crate) fn new(link_mbps: u32) -> Self {
        let mut limiter = Self {
            active_max: 0,
            active: Vec::new(),
        };
        limiter.set_link_mbps(link_mbps);
        limiter
    }

    /// Adjusts the maximum number of active uploads to the link's capacity, in Mbit/s.
    pub(crate) fn set_link_mbps(&mut self, link_mbps: u32) {
        let bits = u64::from(link_mbps) * 1_000 * QUEUE_DELAY_MAX_MS;
        self.active_max = usize::try_from(bits / WINDOW_BITS)
            .unwrap_or(usize::MAX)
            .max(2);
    }

    /// Returns whether a data packet of an upload may be forwarded now. An inactive upload becomes
    /// active if fewer than the maximum number of uploads are active.
    pub(crate) fn admit_upload_packet(&mut self, now: Millis, flow: Flow) -> bool {
        if let Ok(idx) = self.find_upload(flow) {
            self.active[idx].1 = now;
            return true;
        }
        if self.active.len() >= self.active_max {
            self.active.retain(|it| now.since(it.1) <= ACTIVE_TTL_MS);
        }
        if self.active.len() >= self.active_max {
            return false;
        }
        if let Err(idx) = self.find_upload(flow) {
            self.active.insert(idx, (flow, now));
        }
        true
    }

    /// Removes the upload of a flow that ended from the active uploads.
    pub(crate) fn release_upload(&mut self, flow: Flow) {
        if let Ok(idx) = self.find_upload(flow) {
            self.active.remove(idx);
        }
    }

    fn find_upload(&self, flow: Flow) -> Result<usize, usize> {
        self.active.binary_search_by_key(&flow, |it| it.0)
    }
}
