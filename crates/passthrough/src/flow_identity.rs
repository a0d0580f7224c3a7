//! Tells apart the flows that use the same addresses and ports one after the other.

use units::Millis;

use crate::Segment;

/// Distance within which two positions in a sequence space are of one flow.
///
/// An end has at most 16 packets of 1,200 bytes on the way. A caller takes a reset within the same
/// distance.
const SAME_FLOW_BYTES: i32 = 76_800;

/// Time after the first copy of an opening packet within which its caller sends further ones.
const OPENING_COPIES_MS: Millis = Millis::new(1_400);

/// Identifies an opening among those of the same addresses and ports: the sequence number that all
/// copies of its packet carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct OpeningId(u32);

impl OpeningId {
    pub(crate) const fn new(sequence: u32) -> Self {
        Self(sequence)
    }

    /// Returns the opening of an opening packet.
    pub(crate) const fn of_packet(segment: &Segment) -> Self {
        Self(segment.sequence)
    }

    pub(crate) const fn get(self) -> u32 {
        self.0
    }
}

/// The opening of a flow that a process remembers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownOpening {
    /// `None` if the process did not see the opening.
    id: Option<OpeningId>,
    known_since: Millis,
}

impl KnownOpening {
    pub(crate) const fn new(now: Millis, id: Option<OpeningId>) -> Self {
        Self {
            id,
            known_since: now,
        }
    }

    pub(crate) const fn id(&self) -> Option<OpeningId> {
        self.id
    }

    /// Returns whether `id` names this opening.
    pub(crate) fn is(&self, id: OpeningId) -> bool {
        self.id == Some(id)
    }

    /// Returns whether an opening packet that arrives now may be a copy of this opening's.
    ///
    /// Answers only a process that does not see whether the flow was closed.
    pub(crate) fn may_have_copy(&self, now: Millis, id: OpeningId) -> bool {
        self.is(id) && now.since(self.known_since) <= OPENING_COPIES_MS
    }
}

/// The latest known positions of a flow's ends, each in its own sequence space.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct FlowPositions {
    pub(crate) caller: Option<u32>,
    pub(crate) endpoint: Option<u32>,
}

impl FlowPositions {
    /// Returns the positions that a caller's packet shows.
    pub(crate) fn of_caller_packet(segment: &Segment) -> Self {
        Self {
            caller: Some(end_of_data(segment)),
            endpoint: segment.ack.then_some(segment.acknowledged),
        }
    }

    /// Returns the positions that an endpoint's packet shows.
    pub(crate) fn of_endpoint_packet(segment: &Segment) -> Self {
        Self {
            caller: segment.ack.then_some(segment.acknowledged),
            endpoint: Some(end_of_data(segment)),
        }
    }

    /// Returns whether `other` may be of the same flow: no position that both know is far away.
    pub(crate) fn is_same_flow(&self, other: &Self) -> bool {
        let is_near = |a: Option<u32>, b: Option<u32>| {
            a.zip(b).is_none_or(|(a, b)| {
                let distance = a.wrapping_sub(b).cast_signed();
                (-SAME_FLOW_BYTES..=SAME_FLOW_BYTES).contains(&distance)
            })
        };
        is_near(self.caller, other.caller) && is_near(self.endpoint, other.endpoint)
    }

    /// Adopts the positions in `other`, a packet of the same flow, that are later or not known yet.
    pub(crate) fn advance(&mut self, other: &Self) {
        let later = |known: Option<u32>, new: Option<u32>| match (known, new) {
            (Some(known), Some(new)) if new.wrapping_sub(known).cast_signed() < 0 => Some(known),
            (known, new) => new.or(known),
        };
        self.caller = later(self.caller, other.caller);
        self.endpoint = later(self.endpoint, other.endpoint);
    }
}

const fn end_of_data(segment: &Segment) -> u32 {
    segment.sequence.wrapping_add(segment.data_bytes as u32)
}

/// Returns whether an endpoint's packet may be of a flow that it has ended.
///
/// An endpoint answers data of a flow that it ended with a reset, and a FIN with a bare
/// acknowledgement, whichever flow of the same addresses and ports they are of.
pub(crate) const fn may_be_of_ended_flow(answer: &Segment) -> bool {
    let is_bare = answer.data_bytes == 0 && !answer.syn && !answer.fin;
    answer.rst || is_bare
}

/// Returns whether an endpoint's packet may answer the given packet of a caller on behalf of an earlier
/// flow, which has ended.
pub(crate) const fn may_answer_for_ended_flow(answer: &Segment, caller_packet: &Segment) -> bool {
    may_be_of_ended_flow(answer) && (answer.rst || caller_packet.fin)
}
