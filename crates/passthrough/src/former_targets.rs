//! Services that routes led to before, whose endpoints may still hold flows of these routes.

use std::net::SocketAddrV4;

use units::Millis;

use crate::{Catalog, ServiceKey};

/// Time for which a service may hold flows of a route after it stopped being a target of the route.
///
/// The retention equals the longest lifetime of a flow that must survive the change.
pub(crate) const FORMER_TARGET_RETENTION_MS: Millis = Millis::new(60_000);

/// Maximum number of former targets that a balancer keeps: each of 820 routes may change its target
/// five times within the retention.
const FORMER_TARGETS_MAX: usize = 4_096;

/// Difference in time below which news of a known former target change nothing.
///
/// Balancers tell each other the age of what they know, without the time on the way. Without the
/// step, an entry would become younger each time it goes back and forth, and never expire.
const NEWS_STEP_MS: Millis = Millis::new(5_000);

/// A service that a route led to before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FormerTarget {
    /// The address of the route.
    pub(crate) address: SocketAddrV4,
    pub(crate) service: ServiceKey,
    /// Latest time at which the service was a target of the route or held flows of it.
    pub(crate) seen_at: Millis,
}

/// The former targets of all routes.
///
/// A service that has become a target again stays listed, since it leaves the list of targets as
/// quickly.
#[derive(Debug, Default)]
pub(crate) struct FormerTargets {
    /// Former targets, sorted by address and service; at most `FORMER_TARGETS_MAX`.
    list: Vec<FormerTarget>,
    /// Time at which a former target was last ignored because the list was full.
    overflowed_at: Option<Millis>,
    /// Number of former targets that were ignored because the list was full.
    ignored: u64,
}

impl FormerTargets {
    /// Records the targets that routes lose when `new` replaces `old`.
    pub(crate) fn record_replacement(&mut self, now: Millis, old: &Catalog, new: &Catalog) {
        for route in &old.routes {
            let successor = new.find_route(route.address);
            for target in &route.targets {
                if successor.is_some_and(|it| it.leads_to(target.service)) {
                    continue;
                }
                let _is_new = self.insert(FormerTarget {
                    address: route.address,
                    service: target.service,
                    seen_at: now,
                });
            }
        }
    }

    /// Adds a former target, and returns whether it was unknown.
    pub(crate) fn insert(&mut self, former: FormerTarget) -> bool {
        let key = (former.address, former.service);
        match self
            .list
            .binary_search_by_key(&key, |it| (it.address, it.service))
        {
            Ok(idx) => {
                let known = &mut self.list[idx];
                if former.seen_at > known.seen_at.plus(NEWS_STEP_MS) {
                    known.seen_at = former.seen_at;
                }
                false
            }
            Err(_) if self.list.len() >= FORMER_TARGETS_MAX => {
                self.ignored += 1;
                self.overflowed_at = self.overflowed_at.max(Some(former.seen_at));
                false
            }
            Err(idx) => {
                self.list.insert(idx, former);
                true
            }
        }
    }

    /// Removes the former targets that can't hold flows of their routes any more.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.list.retain(|it| !is_expired(now, it.seen_at));
        self.overflowed_at = self.overflowed_at.filter(|it| !is_expired(now, *it));
    }

    /// Returns the former targets of the route with this address.
    pub(crate) fn of_route(&self, address: SocketAddrV4) -> &[FormerTarget] {
        let begin = self.list.partition_point(|it| it.address < address);
        let end = self.list.partition_point(|it| it.address <= address);
        &self.list[begin..end]
    }

    pub(crate) fn as_slice(&self) -> &[FormerTarget] {
        &self.list
    }

    /// Returns whether no former target had to be ignored within the retention.
    pub(crate) const fn is_complete(&self) -> bool {
        self.overflowed_at.is_none()
    }

    /// Returns how many former targets were ignored because the list was full.
    pub(crate) const fn ignored_count(&self) -> u64 {
        self.ignored
    }
}

/// Returns whether a former target that was seen at `seen_at` can't hold flows any more.
const fn is_expired(now: Millis, seen_at: Millis) -> bool {
    now.since(seen_at).get() > FORMER_TARGET_RETENTION_MS.get()
}
