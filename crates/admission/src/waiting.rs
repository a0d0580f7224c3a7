//! The queue of requests of one class that wait for a slot, earliest deadline first.

use units::Millis;

use crate::admission::RequestId;

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) id: RequestId,
    pub(crate) route: u16,
    pub(crate) deadline_ms: Millis,
    /// Latest start time that is expected to meet the deadline; at most `deadline_ms`.
    pub(crate) latest_start_ms: Millis,
}

/// Queue of requests of one class that wait for a slot.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitingQueue {
    /// Waiting requests, sorted by deadline, then id, both descending: the next to start is last.
    items: Vec<Waiting>,
}

impl WaitingQueue {
    pub(crate) const fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns how many waiting requests would start before a request with the given deadline.
    pub(crate) fn count_ahead_of(&self, deadline_ms: Millis) -> usize {
        self.items.len()
            - self
                .items
                .partition_point(|it| it.deadline_ms > deadline_ms)
    }

    pub(crate) fn insert(&mut self, waiting: Waiting) {
        let key = (waiting.deadline_ms, waiting.id);
        let idx = self
            .items
            .partition_point(|it| (it.deadline_ms, it.id) > key);
        self.items.insert(idx, waiting);
    }

    /// Removes and returns the waiting request with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        self.items.pop()
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let idx = self.items.iter().position(|it| it.id == id)?;
        Some(self.items.remove(idx))
    }

    /// Removes the waiting requests whose latest start time has passed; returns them, earliest
    /// deadline first.
    pub(crate) fn remove_late(&mut self, now_ms: Millis) -> Vec<Waiting> {
        let is_late = |it: &Waiting| it.latest_start_ms < now_ms;
        if !self.items.iter().any(is_late) {
            return Vec::new();
        }
        let mut late: Vec<_> = self.items.extract_if(.., |it| is_late(it)).collect();
        late.reverse();
        late
    }

    /// Removes and returns all waiting requests.
    pub(crate) fn remove_all(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.items)
    }

    /// Returns the earliest time at which a waiting request misses its latest start time.
    pub(crate) fn next_late_ms(&self) -> Option<Millis> {
        self.items
            .iter()
            .map(|it| it.latest_start_ms.plus(Millis::new(1)))
            .min()
    }
}
