//! What the platform offered and was refused, so that it isn't fetched again and again.

use bundle::{Refusal, Remedy, VersionEntry};
use units::Millis;

use crate::shared::Shared;

/// Most refusals remembered; the oldest gives way.
const ENTRIES_MAX: usize = 1_024;

/// Time after which a refusal that depends on what is held is tried again.
const RETRY_AFTER: Millis = Millis::new(30_000);

/// What the platform offered and was refused.
#[derive(Debug, Default)]
pub(super) struct RefusedList {
    /// In the order of refusal.
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    offered: VersionEntry,
    remedy: Remedy,
    /// Revision of the index that named it.
    revision: u64,
    /// Generation of the store that refused it.
    generation: u64,
    refused_at: Millis,
}

impl RefusedList {
    pub(super) fn add(
        &mut self,
        offered: VersionEntry,
        refusal: &Refusal,
        revision: u64,
        shared: &Shared,
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

    /// Returns whether fetching this again at `revision` would give the same refusal.
    pub(super) fn covers(&self, offered: VersionEntry, revision: u64, shared: &Shared) -> bool {
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

    /// Lets what another key set may make acceptable be tried again.
    pub(super) fn forget_envelopes(&mut self) {
        self.entries.retain(|it| it.remedy != Remedy::OtherEnvelope);
    }
}
