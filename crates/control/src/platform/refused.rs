//! Negative cache of refused bundle versions, so that the platform controller does not fetch them
//! repeatedly.

use bundle::{Refusal, Remedy, VersionEntry};
use units::Millis;

use crate::shared::SharedState;

/// Maximum number of remembered refusals of bundle versions; the oldest is evicted first.
const ENTRIES_MAX: usize = 1_024;

/// Time after which a refused bundle version is fetched again if its refusal depended on the
/// bundles in force.
const RETRY_AFTER: Millis = Millis::new(30_000);

/// Bundle versions that the platform listed and the bundles controller refused.
#[derive(Debug, Default)]
pub(super) struct RefusedList {
    /// Refusals sorted by time, oldest first.
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    offered: VersionEntry,
    remedy: Remedy,
    /// Revision of the index that listed the refused version.
    revision: u64,
    /// Generation of the bundle store at the time of refusal.
    generation: u64,
    refused_at: Millis,
}

impl RefusedList {
    /// Remembers a refusal of a bundle version, in place of an earlier refusal of the same version.
    pub(super) fn add_refusal(
        &mut self,
        offered: VersionEntry,
        refusal: &Refusal,
        revision: u64,
        shared: &SharedState,
    ) {
        self.entries.retain(|it| it.offered != offered);
        if self.entries.len() == ENTRIES_MAX {
            self.entries.remove(0);
        }
        self.entries.push(Entry {
            offered,
            remedy: refusal.remedy(),
            revision,
            generation: *shared.generation.borrow(),
            refused_at: shared.now(),
        });
    }

    /// Returns whether a bundle version listed in the index at `revision` would be refused again if
    /// it were fetched.
    pub(super) fn is_still_refused(
        &self,
        offered: VersionEntry,
        revision: u64,
        shared: &SharedState,
    ) -> bool {
        let Some(entry) = self.entries.iter().find(|it| it.offered == offered) else {
            return false;
        };
        match entry.remedy {
            Remedy::None => true,
            Remedy::OtherEnvelope => entry.revision == revision,
            Remedy::OtherBundles => {
                let is_recent = shared.now().since(entry.refused_at) < RETRY_AFTER;
                is_recent && entry.generation == *shared.generation.borrow()
            }
        }
    }

    /// Removes the refusals that a new key set may turn into acceptances.
    pub(super) fn remove_remediable_by_envelope(&mut self) {
        self.entries.retain(|it| it.remedy != Remedy::OtherEnvelope);
    }
}
