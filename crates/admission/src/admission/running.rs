//! Requests that hold a slot.

use bundle::RequestClass;
use units::Millis;

use super::RequestId;

/// A request that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) id: RequestId,
    /// Class of the request when it was admitted.
    pub(super) class: RequestClass,
    /// Whether a request admitted as short took too long; its slot counts as held by long work.
    pub(super) is_demoted: bool,
    pub(super) route: u16,
    pub(super) started_ms: Millis,
}

impl Run {
    /// Returns whether the request's slot counts as held by short work.
    pub(super) fn is_short(&self) -> bool {
        self.class == RequestClass::Short && !self.is_demoted
    }
}

/// Requests that hold a slot; at most one for each slot, so linear search is fast enough.
#[derive(Debug, Default)]
pub(super) struct Running {
    /// Running requests, ordered by start time.
    pub(super) items: Vec<Run>,
}

impl Running {
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.items.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn short_len(&self) -> u32 {
        self.len() - self.long_len()
    }

    pub(super) fn long_len(&self) -> u32 {
        let long = self.items.iter().filter(|it| !it.is_short()).count();
        u32::try_from(long).unwrap_or(u32::MAX)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.items.iter().any(|it| it.id == id)
    }

    pub(super) fn insert(
        &mut self,
        id: RequestId,
        class: RequestClass,
        route: u16,
        started_ms: Millis,
    ) {
        assert!(!self.contains(id), "request {id} was started twice");
        self.items.push(Run {
            id,
            class,
            is_demoted: false,
            route,
            started_ms,
        });
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Run {
        let idx = self.items.iter().position(|it| it.id == id);
        let idx =
            idx.unwrap_or_else(|| panic!("request {id} finished without having been started"));
        self.items.remove(idx)
    }
}
