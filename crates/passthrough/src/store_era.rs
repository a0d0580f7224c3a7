//! What stays in force when the store comes back from an older copy of its data.
//!
//! A store that is restored from a copy starts a new era: revisions of its latest seconds are gone
//! and are given out again. Lists are ordered by era, then by number. The first list of a new era
//! lacks what was written in the lost seconds, until the operator and the endpoints have written it
//! again. It must neither bring back an endpoint that drains or has left, nor end an evacuation, nor
//! take back settings.

use units::{Millis, Revision};

use crate::{Catalog, Endpoint, EndpointKey, EndpointState, ZoneKey};

/// Time after the first list of an era, or after a later recovery of the store, in which writes from
/// before the era may be missing.
///
/// Running endpoints write again within two seconds of the store's return, and an entry that nobody
/// renews expires after less than two more.
pub(crate) const REWRITE_TIME_MS: Millis = Millis::new(4_000);

/// A revision after which no endpoint registers.
pub(crate) const NEVER: Revision = Revision::new(u64::MAX);

/// Returns whether an endpoint that registered at one revision has got no flow by settings that were
/// replaced at another one.
///
/// Revisions of two eras belong to two histories and don't tell which write came first.
pub(crate) fn is_registered_after(registered_at: Revision, settings_changed_at: Revision) -> bool {
    registered_at.era() == settings_changed_at.era() && registered_at > settings_changed_at
}

/// Combines a received list with the one that is held, or returns `None` if it brings nothing new.
///
/// Endpoints and evacuated zones are those of the higher revision, settings those of the higher
/// version. Answers a store that comes back with older settings, which must not be taken back, and
/// with new endpoints, without which the fleet would stand still.
pub(crate) fn merge_lists(held: &Catalog, received: Catalog) -> Option<Catalog> {
    if received.revision > held.revision {
        return Some(if received.settings_version < held.settings_version {
            with_settings_of(held, received)
        } else {
            received
        });
    }
    (received.settings_version > held.settings_version)
        .then(|| with_settings_of(&received, held.clone()))
}

fn with_settings_of(settings: &Catalog, list: Catalog) -> Catalog {
    Catalog {
        settings_version: settings.settings_version,
        settings_changed_at: settings.settings_changed_at,
        idle_timeout_ms: settings.idle_timeout_ms,
        routes: settings.routes.clone(),
        cold_starts: settings.cold_starts.clone(),
        ..list
    }
}

/// An endpoint whose entry in the new era isn't believed yet.
#[derive(Debug, Clone, Copy)]
struct HeldEndpoint {
    /// The endpoint's entry in the first list of the era. Another entry has been written since.
    first_entry: Endpoint,
    /// Whether the endpoint had left the list, so that its entry is not used at all; otherwise it
    /// was draining and stays so.
    has_left: bool,
}

/// Entries of a new era that are held back until they are written again, with the list that they
/// belong to.
#[derive(Debug)]
pub(crate) struct HeldEntries {
    /// Time of the era's first list or of the store's latest recovery.
    since: Millis,
    /// The list as the store and other balancers have it.
    listed: Catalog,
    /// Endpoints that are held back, sorted by key.
    endpoints: Vec<HeldEndpoint>,
    /// Zones that stay evacuated, sorted.
    zones: Vec<ZoneKey>,
}

impl HeldEntries {
    /// Creates a list of which nothing is held back.
    pub(crate) const fn new(since: Millis, listed: Catalog) -> Self {
        Self {
            since,
            listed,
            endpoints: Vec::new(),
            zones: Vec::new(),
        }
    }

    /// Holds back the entries of an era's first list that an endpoint or the operator has replaced
    /// in the lost seconds, as far as the list in force and its retired endpoints tell.
    pub(crate) fn with_former(mut self, in_force: &Catalog, retired: &[Endpoint]) -> Self {
        let draining = in_force.endpoints.iter();
        for former in draining.filter(|it| it.state == EndpointState::Draining) {
            self.hold_endpoint(former, false);
        }
        for former in retired {
            self.hold_endpoint(former, former.state == EndpointState::Retired);
        }
        self.hold_zones(&in_force.evacuated_zones);
        self
    }

    /// Keeps the evacuation of zones that the list lacks.
    pub(crate) fn hold_zones(&mut self, evacuated: &[ZoneKey]) {
        for zone in evacuated
            .iter()
            .filter(|it| !self.listed.is_evacuated(**it))
        {
            if let Err(idx) = self.zones.binary_search(zone) {
                self.zones.insert(idx, *zone);
            }
        }
    }

    /// Holds back the entry of an endpoint that drains or has left. The entry of a process that
    /// started later is believed.
    pub(crate) fn hold_endpoint(&mut self, former: &Endpoint, has_left: bool) {
        if former.state == EndpointState::Ready {
            return;
        }
        let listed = self.listed.find_endpoint(former.key);
        let Some(first_entry) = listed.filter(|it| {
            it.born_ms == former.born_ms && (has_left || it.state == EndpointState::Ready)
        }) else {
            return;
        };
        let held = HeldEndpoint {
            first_entry: *first_entry,
            has_left,
        };
        if let Err(idx) = self.find_endpoint(former.key) {
            self.endpoints.insert(idx, held);
        }
    }

    /// Replaces the list by a later one of the same era, and believes what was written meanwhile.
    pub(crate) fn replace_list(&mut self, listed: Catalog) {
        self.endpoints
            .retain(|it| listed.find_endpoint(it.first_entry.key) == Some(&it.first_entry));
        self.zones.retain(|it| !listed.is_evacuated(*it));
        self.listed = listed;
    }

    /// Begins the time in which writes may be missing anew, since the store was away again.
    pub(crate) fn restart(&mut self, recovered_at: Millis) {
        self.since = self.since.max(recovered_at);
    }

    /// Returns whether a confirmation of the list at `confirmed_at` shows that the time in which
    /// writes may be missing is over. While the store is away, nobody can write.
    pub(crate) fn is_over(&self, confirmed_at: Millis) -> bool {
        confirmed_at.since(self.since) >= REWRITE_TIME_MS
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.endpoints.is_empty() && self.zones.is_empty()
    }

    /// Returns the number of endpoints and zones that are held back.
    pub(crate) const fn len(&self) -> usize {
        self.endpoints.len() + self.zones.len()
    }

    pub(crate) fn zones(&self) -> &[ZoneKey] {
        &self.zones
    }

    pub(crate) const fn listed(&self) -> &Catalog {
        &self.listed
    }

    pub(crate) fn into_listed(self) -> Catalog {
        self.listed
    }

    /// Returns the endpoints that stay as they were although they are listed as ready, in the state
    /// that other balancers are told.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = Endpoint> {
        self.endpoints.iter().map(|it| Endpoint {
            state: EndpointState::Draining,
            ..it.first_entry
        })
    }

    /// Returns the list with the held entries as they were before the era.
    pub(crate) fn list_in_force(&self) -> Catalog {
        let mut catalog = self.listed.clone();
        catalog.endpoints.retain_mut(|it| {
            let Ok(idx) = self.find_endpoint(it.key) else {
                return true;
            };
            it.state = EndpointState::Draining;
            !self.endpoints[idx].has_left
        });
        catalog.evacuated_zones.extend(&self.zones);
        catalog.evacuated_zones.sort_unstable();
        catalog
    }

    fn find_endpoint(&self, key: EndpointKey) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by_key(&key, |it| it.first_entry.key)
    }
}
