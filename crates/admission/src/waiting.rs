//! Requests of one class that wait for a slot, earliest deadline first.

use units::Millis;

use crate::admission::RequestId;

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) id: RequestId,
    pub(crate) route: u16,
    pub(crate) deadline_ms: Millis,
    /// Latest moment a start can still meet the deadline; at most `deadline_ms`.
    pub(crate) latest_start_ms: Millis,
}

/// Requests of one class that wait for a slot.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitingList {
    /// Sorted by deadline, then id, both descending: the next to start is last.
    items: Vec<Waiting>,
}

impl WaitingList {
    pub(crate) const fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns how many requests start before one with this deadline.
    pub(crate) fn ahead_of(&self, deadline_ms: Millis) -> usize {
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

    /// Takes the request with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        self.items.pop()
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let idx = self.items.iter().position(|it| it.id == id)?;
        Some(self.items.remove(idx))
    }

    /// Takes out, in order of deadlines, every request that can't be started in time any more.
    pub(crate) fn take_late(&mut self, now_ms: Millis) -> Vec<Waiting> {
        let is_late = |it: &Waiting| it.latest_start_ms < now_ms;
        if !self.items.iter().any(is_late) {
            return Vec::new();
        }
        let mut late: Vec<_> = self.items.extract_if(.., |it| is_late(it)).collect();
        late.reverse();
        late
    }

    /// Takes out everything.
    pub(crate) fn take_all(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.items)
    }

    /// Returns the earliest moment at which a request becomes late.
    pub(crate) fn next_late_ms(&self) -> Option<Millis> {
        self.items
            .iter()
            .map(|it| it.latest_start_ms.plus(Millis::new(1)))
            .min()
    }
}
