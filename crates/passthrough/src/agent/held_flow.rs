//! State of a single flow at the endpoint beside the agent.

use std::net::Ipv4Addr;

use units::Millis;

use super::outlier::RequestOutcome;
use crate::{
    Segment,
    flow_identity::{FlowPositions, OpeningId},
};

/// State of the request on a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    None,
    /// The flow has just opened, and the caller's request is expected shortly.
    Expected,
    /// The caller has sent a request and is waiting for the answer.
    Running {
        since: Millis,
        /// Number of working flows when the request arrived, including the request's own.
        working: u32,
    },
}

/// How a flow counts towards the endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadClass {
    None,
    /// The flow is open and has been answered; the caller may send another request at any time.
    Idle,
    /// A request is running or expected on the flow.
    Working,
}

/// Progress of a flow at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// A packet of the flow was delivered to the endpoint, which has not answered yet.
    Unconfirmed,
    /// The endpoint accepted the opening packet, but the caller may still open the flow at another
    /// endpoint.
    Accepted,
    /// The endpoint sent a packet that endpoints send only on open flows.
    Open,
}

/// A flow at the endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldFlow {
    pub(crate) phase: Phase,
    /// The opening that the endpoint was offered or accepted, if the agent saw it.
    pub(super) opening: Option<OpeningId>,
    pub(super) positions: FlowPositions,
    /// The balancer that forwarded the latest packet of the flow.
    pub(crate) origin: Ipv4Addr,
    /// Tag of the flow's delivery that awaits the endpoint's answer, zero if no delivery does.
    pub(super) tag: u32,
    pub(super) last_used: Millis,
    pub(super) request: RequestState,
    /// Sequence number after the caller's data received so far, to tell new requests from
    /// retransmissions.
    pub(super) caller_end: Option<u32>,
    /// Sequence number after the endpoint's data sent so far, or `None` if it has sent no packet.
    pub(super) endpoint_end: Option<u32>,
    /// The caller's latest acknowledgement number, which a reset of the flow carries as its
    /// sequence number.
    pub(super) caller_acknowledged: u32,
    pub(super) caller_closed: bool,
    pub(super) endpoint_closed: bool,
    /// Whether the endpoint has answered a request on the flow.
    pub(super) has_answered: bool,
}

impl HeldFlow {
    /// Creates the state of a flow of which a packet was just seen for the first time.
    pub(super) const fn new(
        now: Millis,
        phase: Phase,
        opening: Option<OpeningId>,
        positions: FlowPositions,
    ) -> Self {
        Self {
            phase,
            opening,
            positions,
            origin: Ipv4Addr::UNSPECIFIED,
            tag: 0,
            last_used: now,
            request: RequestState::None,
            caller_end: None,
            endpoint_end: None,
            caller_acknowledged: 0,
            caller_closed: false,
            endpoint_closed: false,
            has_answered: false,
        }
    }

    pub(crate) const fn is_closed_by_both_ends(&self) -> bool {
        self.caller_closed && self.endpoint_closed
    }

    /// Returns the outcome of the request that the endpoint's `segment` ended, or `None` if the
    /// outcome can't be determined.
    ///
    /// A packet that ends the flow may overtake the answer. Its sequence number then lies more than
    /// one position past the data seen so far; a single position may be the one that the opening
    /// packet takes.
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
