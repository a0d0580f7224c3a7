//! Which settings of the operator a process has seen.

use units::Revision;

use crate::Catalog;

/// The revision since which a process has seen all settings that were in force.
///
/// A process that has seen them knows every service that a route has led to since then. This answers
/// a loss of power of all machines that is followed by a change of the settings: the endpoints that
/// registered between the first catalog and the change can hold flows of routes only as the process
/// knows them, so that the change needs no new proof.
///
/// Settings may have been in force between two catalogs that the process applied, and a route may have
/// led elsewhere by them. Neither equal targets before and after nor the settings' version, which
/// increases in uneven steps, tells. The revision does: settings that were written at the revision
/// after the former catalog's have replaced the settings of the former catalog.
///
/// Invariant: the settings in force at each revision from `known_since` up to the catalog's have been
/// in a catalog of the process.
#[derive(Debug, Default)]
pub(crate) struct SettingsHistory {
    known_since: Revision,
}

impl SettingsHistory {
    /// Records that `new` replaces `old`, no matter whether the store or another balancer sent it.
    pub(crate) fn record_replacement(&mut self, old: &Catalog, new: &Catalog) {
        if !follows_directly(old, new) {
            self.known_since = new.settings_changed_at;
        }
    }

    /// Returns the store revision since which all settings that were in force have been seen.
    pub(crate) const fn known_since(&self) -> Revision {
        self.known_since
    }
}

/// Returns whether no other settings were in force between those of `old` and those of `new`.
fn follows_directly(old: &Catalog, new: &Catalog) -> bool {
    if old.settings_version.get() == 0 || old.revision.era() != new.revision.era() {
        return false;
    }
    let is_unchanged = new.settings_changed_at == old.settings_changed_at
        && new.settings_version == old.settings_version;
    let next = Revision::new(old.revision.get() + 1);
    is_unchanged || new.settings_changed_at == next
}
