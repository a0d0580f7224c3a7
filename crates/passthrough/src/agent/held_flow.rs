//! State of a single flow at the endpoint.

use std::net::Ipv4Addr;

use units::Millis;

use super::outlier::RequestOutcome;
use crate::Segment;

/// State of the request on a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    None,
    /// A request is expected shortly.
    Expected,
    /// The caller is waiting for the answer.
    Running {
        since: Millis,
    },
}

/// How a flow counts towards the endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadClass {
    None,
    /// Open after an answer; the caller may send another request at any time.
    Idle,
    /// A request is running or expected.
    Working,
}

/// Progress of a flow at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// A packet was delivered to the endpoint, which has not answered.
    Unconfirmed,
    /// The endpoint accepted the opening, but the caller may still open the flow at another
    /// endpoint.
    Accepted,
    /// The endpoint sent a packet that it only sends on open flows.
    Open,
}

/// A flow at the endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldFlow {
    pub(crate) phase: Phase,
    /// The balancer that sent the latest packet of the flow.
    pub(crate) origin: Ipv4Addr,
    /// Tag of the delivery that awaits the endpoint's answer, zero if none does.
    pub(super) tag: u32,
    pub(super) last_used: Millis,
    pub(super) request: RequestState,
    /// End of the caller's data received so far, to tell new requests from retransmissions.
    pub(super) caller_end: Option<u32>,
    /// End of the endpoint's data sent so far, if it has sent any.
    pub(super) endpoint_end: Option<u32>,
    /// The caller's latest acknowledgement, which is the sequence number for a reset.
    pub(super) caller_acknowledged: u32,
    pub(super) caller_closed: bool,
    pub(super) endpoint_closed: bool,
    /// Whether the endpoint has answered a request on the flow.
    pub(super) has_answered: bool,
}

impl HeldFlow {
    pub(crate) const fn is_closed(&self) -> bool {
        self.caller_closed && self.endpoint_closed
    }

    /// Returns the outcome of a request that ended with `segment`, if it can be determined.
    ///
    /// A packet that ends the flow may overtake the answer. In that case it lies more than one
    /// position past the data seen so far; a single position may be the one that the opening takes.
    pub(super) fn request_outcome(&self, segment: &Segment) -> Option<RequestOutcome> {
        if segment.data_bytes > 0 {
            return Some(RequestOutcome::Answered);
        }
        let new_positions = segment.sequence.wrapping_sub(self.endpoint_end?);
        let has_answer = new_positions.cast_signed() > 1;
        Some(if has_answer {
            RequestOutcome::Answered
        } else {
            RequestOutcome::Failed
        })
    }

    pub(super) const fn load_class(&self) -> LoadClass {
        if !matches!(self.request, RequestState::None) {
            LoadClass::Working
        } else if self.has_answered && !self.caller_closed && !self.endpoint_closed {
            LoadClass::Idle
        } else {
            LoadClass::None
        }
    }
}
