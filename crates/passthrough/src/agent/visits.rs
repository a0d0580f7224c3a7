//! Packets that an agent gave its endpoint without knowing whether the endpoint wants them.

use std::collections::VecDeque;

use units::Millis;

use crate::{Flow, message::Carry};

/// Visits remembered at once; a power of two. The oldest is forgotten for a new one.
const VISITS_MAX: usize = 512;

/// Time within which a living endpoint answers an opening.
///
/// A handshake takes the users' endpoints well below a millisecond; the rest is room for an agent
/// that has to wait for its share of a core.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(30);

/// One packet given to the endpoint, with its way so far.
#[derive(Debug, Clone)]
pub(crate) struct Visit {
    pub(crate) flow: Flow,
    pub(crate) carry: Carry,
    pub(crate) since: Millis,
    /// The packet itself if it must go elsewhere when the endpoint doesn't answer.
    pub(crate) packet: Vec<u8>,
    deadline: Option<Millis>,
}

impl Visit {
    pub(crate) const fn new(now: Millis, flow: Flow, carry: Carry) -> Self {
        Self {
            flow,
            carry,
            since: now,
            packet: Vec::new(),
            deadline: None,
        }
    }

    /// Keeps the packet, to be taken elsewhere if no answer comes.
    pub(crate) fn with_packet(mut self, now: Millis, packet: &[u8]) -> Self {
        self.packet = packet.to_vec();
        self.deadline = Some(now.plus(ANSWER_TIMEOUT_MS));
        self
    }
}

/// Visits that have not been answered.
#[derive(Debug, Default)]
pub(crate) struct Visits {
    /// Grows up to `VISITS_MAX`; a visit's place is its tag modulo `VISITS_MAX`.
    slots: Vec<Option<(u32, Visit)>>,
    last_tag: u32,
    /// Deadlines in the order they fall due, with the tags.
    deadlines: VecDeque<(Millis, u32)>,
}

impl Visits {
    /// Remembers a visit and returns its tag, which is never zero.
    pub(crate) fn insert(&mut self, visit: Visit) -> u32 {
        self.last_tag = self.last_tag.wrapping_add(1).max(1);
        let tag = self.last_tag;
        if let Some(deadline) = visit.deadline {
            self.deadlines.push_back((deadline, tag));
        }
        let place = Self::place(tag);
        if place >= self.slots.len() {
            self.slots.resize_with(place + 1, || None);
        }
        self.slots[place] = Some((tag, visit));
        tag
    }

    /// Forgets a visit of the flow and returns it.
    pub(crate) fn release(&mut self, tag: u32, flow: Flow) -> Option<Visit> {
        let slot = self.slots.get_mut(Self::place(tag))?;
        if !slot
            .as_ref()
            .is_some_and(|it| it.0 == tag && it.1.flow == flow)
        {
            return None;
        }
        slot.take().map(|it| it.1)
    }

    /// Takes a visit whose answer is overdue.
    pub(crate) fn take_overdue(&mut self, now: Millis) -> Option<(Flow, Visit)> {
        while let Some((deadline, tag)) = self.deadlines.front().copied() {
            if deadline > now {
                return None;
            }
            self.deadlines.pop_front();
            let slot = self.slots.get_mut(Self::place(tag))?;
            if slot.as_ref().is_some_and(|it| it.0 == tag) {
                return slot.take().map(|it| (it.1.flow, it.1));
            }
        }
        None
    }

    pub(crate) fn next_deadline(&mut self) -> Option<Millis> {
        while let Some((deadline, tag)) = self.deadlines.front().copied() {
            let slot = self.slots.get(Self::place(tag))?;
            if slot.as_ref().is_some_and(|it| it.0 == tag) {
                return Some(deadline);
            }
            self.deadlines.pop_front();
        }
        None
    }

    const fn place(tag: u32) -> usize {
        tag as usize % VISITS_MAX
    }
}
