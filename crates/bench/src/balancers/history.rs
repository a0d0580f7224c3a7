//! What a balancer put in force and when, read from its time line.

use timeline::{Entry, Event};

/// What a balancer put in force in its present run.
#[derive(Debug, Default)]
pub(crate) struct BundleHistory {
    /// In the order of the time line.
    accepted: Vec<Acceptance>,
    /// How many were accepted before the balancer served; `None` if it doesn't serve.
    before_serving: Option<usize>,
}

/// A version put in force.
#[derive(Debug, Clone, Copy)]
struct Acceptance {
    service: u32,
    version: u64,
    at_unix_ms: u64,
}

impl BundleHistory {
    /// Reads a time line in its order.
    pub(crate) fn new(events: &[Entry]) -> Self {
        let mut history = Self::default();
        for entry in events {
            match &entry.event {
                Event::ProcessStarted { .. } => {
                    history.before_serving = Some(history.accepted.len());
                }
                Event::BundleAccepted {
                    service, version, ..
                } => history.accepted.push(Acceptance {
                    service: service.get(),
                    version: version.get(),
                    at_unix_ms: entry.stamp.unix_ms.get(),
                }),
                _ => {}
            }
        }
        history
    }

    /// Returns whether the balancer serves.
    pub(crate) const fn is_serving(&self) -> bool {
        self.before_serving.is_some()
    }

    /// Returns when a version or a higher one went in force.
    pub(crate) fn accepted_at_unix_ms(&self, service: u32, version: u64) -> Option<u64> {
        self.accepted
            .iter()
            .find(|it| it.service == service && it.version >= version)
            .map(|it| it.at_unix_ms)
    }

    /// Counts the services that the balancer served in a version lower than `newest`.
    pub(crate) fn count_reverted_services(&self, newest: &[(u32, u64)]) -> usize {
        let before = self.before_serving.unwrap_or_default();
        let at_start = |service: u32| {
            let mut accepted = self.accepted[..before].iter().rev();
            let found = accepted.find(|it| it.service == service);
            found.map(|it| it.version)
        };
        newest
            .iter()
            .filter(|(service, version)| {
                let first = at_start(*service);
                first.is_some_and(|it| it < *version)
                    || self.reverted_while_serving(*service, *version)
            })
            .count()
    }

    /// Returns whether a lower version went in force while the balancer served.
    fn reverted_while_serving(&self, service: u32, version: u64) -> bool {
        let before = self.before_serving.unwrap_or_default();
        self.accepted[before..]
            .iter()
            .any(|it| it.service == service && it.version < version)
    }
}
