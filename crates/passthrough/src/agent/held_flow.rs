//! What an agent knows of one flow.

use std::net::Ipv4Addr;

use units::Millis;

use super::record::Outcome;
use crate::Segment;

/// The endpoint's work on a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Work {
    None,
    /// A request is about to come.
    Expected,
    /// The caller waits for an answer.
    Running {
        since: Millis,
    },
}

/// What a flow means for the endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Weight {
    None,
    /// Open after an answer; the caller may send another request at any time.
    Idle,
    /// A request runs or is about to come.
    Working,
}

/// What is known about a flow's place at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// A packet was given to the endpoint, which has not answered.
    Asked,
    /// The endpoint accepted the opening; the caller may open the flow elsewhere.
    Accepted,
    /// The endpoint sent something that it sends on open flows only.
    Open,
}

/// A flow at the endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub(crate) phase: Phase,
    /// The balancer that last sent a packet of the flow.
    pub(crate) origin: Ipv4Addr,
    /// Tag of the packet that the endpoint was asked with, zero once it answered.
    pub(super) tag: u32,
    pub(super) last_used: Millis,
    pub(super) work: Work,
    /// End of the caller's data seen so far; tells requests from copies of them.
    pub(super) caller_end: Option<u32>,
    /// End of what the endpoint sent so far, none before anything was seen.
    pub(super) endpoint_end: Option<u32>,
    /// What the caller acknowledged last, where a reset has to begin.
    pub(super) caller_acknowledged: u32,
    pub(super) caller_closed: bool,
    pub(super) endpoint_closed: bool,
    /// The endpoint answered a request on it.
    pub(super) answered: bool,
}

impl Held {
    pub(crate) const fn is_closed(&self) -> bool {
        self.caller_closed && self.endpoint_closed
    }

    /// Returns how a request ended with a packet of the endpoint, none if that can't be told.
    ///
    /// The end of a flow may overtake the answer before it; then it lies past what was seen so far by
    /// more than the one position that an opening takes.
    pub(super) fn outcome(&self, segment: &Segment) -> Option<Outcome> {
        if segment.data_bytes > 0 {
            return Some(Outcome::Answered);
        }
        let passed = segment.sequence.wrapping_sub(self.endpoint_end?);
        let has_answer = passed.cast_signed() > 1;
        Some(if has_answer {
            Outcome::Answered
        } else {
            Outcome::Failed
        })
    }

    pub(super) const fn weight(&self) -> Weight {
        if !matches!(self.work, Work::None) {
            Weight::Working
        } else if self.answered && !self.caller_closed && !self.endpoint_closed {
            Weight::Idle
        } else {
            Weight::None
        }
    }
}
