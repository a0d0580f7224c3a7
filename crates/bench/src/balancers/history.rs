//! History of the bundles that a balancer accepted, read from its timeline.

use timeline::{Event, RecordedEvent};

/// Bundles that a balancer accepted since its last start.
#[derive(Debug, Default)]
pub(crate) struct BundleHistory {
    /// Accepted bundle versions in the order of the balancer's timeline.
    accepted: Vec<AcceptedVersion>,
    /// How many bundle versions the balancer accepted before it served; `None` if it doesn't serve
    /// yet.
    accepted_before_serving: Option<usize>,
}

/// A bundle version that a balancer accepted.
#[derive(Debug, Clone, Copy)]
struct AcceptedVersion {
    service: u32,
    version: u64,
    at_unix_ms: u64,
}

impl BundleHistory {
    /// Creates the history of accepted bundles from the events of a balancer's timeline.
    pub(crate) fn new(events: &[RecordedEvent]) -> Self {
        let mut history = Self::default();
        for entry in events {
            match &entry.event {
                Event::ProcessStarted { .. } => {
                    history.accepted_before_serving = Some(history.accepted.len());
                }
                Event::BundleAccepted {
                    service, version, ..
                } => history.accepted.push(AcceptedVersion {
                    service: service.get(),
                    version: version.get(),
                    at_unix_ms: entry.stamp.unix_ms.get(),
                }),
                _ => {}
            }
        }
        history
    }

    /// Returns whether the balancer has started to serve.
    pub(crate) const fn is_serving(&self) -> bool {
        self.accepted_before_serving.is_some()
    }

    /// Returns when the balancer accepted this bundle version or a newer one, in milliseconds since
    /// the Unix epoch.
    pub(crate) fn accepted_at_unix_ms(&self, service: u32, version: u64) -> Option<u64> {
        self.accepted
            .iter()
            .find(|it| it.service == service && it.version >= version)
            .map(|it| it.at_unix_ms)
    }

    /// Counts the services that the balancer served in a bundle version older than the one in
    /// `newest`.
    pub(crate) fn count_reverted_services(&self, newest: &[(u32, u64)]) -> usize {
        let before = self.accepted_before_serving.unwrap_or_default();
        let version_at_start = |service: u32| {
            let mut accepted = self.accepted[..before].iter().rev();
            let found = accepted.find(|it| it.service == service);
            found.map(|it| it.version)
        };
        newest
            .iter()
            .filter(|(service, version)| {
                let first = version_at_start(*service);
                first.is_some_and(|it| it < *version)
                    || self.reverted_while_serving(*service, *version)
            })
            .count()
    }

    /// Returns whether the balancer accepted a bundle version older than `version` while it served.
    fn reverted_while_serving(&self, service: u32, version: u64) -> bool {
        let before = self.accepted_before_serving.unwrap_or_default();
        self.accepted[before..]
            .iter()
            .any(|it| it.service == service && it.version < version)
    }
}
