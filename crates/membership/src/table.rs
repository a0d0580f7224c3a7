//! The member table, and the rule by which updates change a member's record.

use units::Millis;

use crate::{Condition, Member, MemberId, MemberUpdate};

/// The records of all known members except this process, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: Vec<Member>,
}

impl MemberTable {
    pub(crate) fn find(&self, id: MemberId) -> Option<&Member> {
        self.find_idx(id).map(|idx| &self.members[idx])
    }

    pub(crate) fn find_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.find_idx(id).map(|idx| &mut self.members[idx])
    }

    fn find_idx(&self, id: MemberId) -> Option<usize> {
        self.members.binary_search_by_key(&id, |it| it.id).ok()
    }

    /// Inserts a member; keeps the existing record of the member if there is one.
    pub(crate) fn insert(&mut self, member: Member) {
        if let Err(idx) = self.members.binary_search_by_key(&member.id, |it| it.id) {
            self.members.insert(idx, member);
        }
    }

    pub(crate) fn retain(&mut self, keep: impl FnMut(&Member) -> bool) {
        self.members.retain(keep);
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Member> {
        self.members.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Member> {
        self.members.iter_mut()
    }

    pub(crate) const fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn member_at_mut(&mut self, idx: usize) -> &mut Member {
        &mut self.members[idx]
    }
}

/// How an update or an ack changed a member's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// The member's record already held the same or a newer state.
    Unchanged,
    /// The member's version increased, but its condition stayed the same.
    VersionRaised,
    /// The member became alive or suspected, or its leaving flag changed.
    StateChanged,
}

/// Merges a membership update into a member's record.
///
/// The pair (version, is suspect) of a record never decreases, so all balancers converge to the
/// same record whatever the order in which updates arrive.
pub(crate) fn apply_update(
    member: &mut Member,
    update: &MemberUpdate,
    now: Millis,
) -> UpdateOutcome {
    let before = (member.version, member.condition != Condition::Alive);
    if update.precedence() < before {
        return UpdateOutcome::Unchanged;
    }
    let was_leaving = member.is_leaving;
    let is_same_run = member.version.incarnation == update.version.incarnation;
    member.is_leaving = update.is_leaving || (was_leaving && is_same_run);
    let has_leaving_changed = member.is_leaving != was_leaving;
    if update.precedence() == before {
        return if has_leaving_changed {
            UpdateOutcome::StateChanged
        } else {
            UpdateOutcome::Unchanged
        };
    }
    member.version = update.version;
    if update.is_suspect != before.1 {
        member.condition = if update.is_suspect {
            Condition::Suspect
        } else {
            Condition::Alive
        };
        member.condition_since_ms = Millis::new(now.get().saturating_sub(update.age_ms.get()));
        if !update.is_suspect {
            member.recovered_ms = Some(now);
        }
        member.check = None;
        member.next_step_ms = now;
        return UpdateOutcome::StateChanged;
    }
    if has_leaving_changed {
        UpdateOutcome::StateChanged
    } else {
        UpdateOutcome::VersionRaised
    }
}
