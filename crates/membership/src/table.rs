//! All members, sorted by id.

use units::Millis;

use crate::{Condition, Member, MemberId, MemberUpdate};

/// All members but this process, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Table {
    members: Vec<Member>,
}

impl Table {
    pub(crate) fn find(&self, id: MemberId) -> Option<&Member> {
        self.idx(id).map(|idx| &self.members[idx])
    }

    pub(crate) fn find_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.idx(id).map(|idx| &mut self.members[idx])
    }

    fn idx(&self, id: MemberId) -> Option<usize> {
        self.members.binary_search_by_key(&id, |it| it.id).ok()
    }

    /// Adds a member unless it is known.
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

    pub(crate) fn at_mut(&mut self, idx: usize) -> &mut Member {
        &mut self.members[idx]
    }
}

/// What a update or an answer changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Nothing: the same or better was known.
    Nothing,
    /// A higher version, in the same condition.
    Version,
    /// Alive again, suspected, or leaving.
    Condition,
}

/// Takes a update into a member's record.
///
/// Records only grow in the order (version, suspect), so that every balancer reaches the same
/// record whatever the order of arrival.
pub(crate) fn apply(member: &mut Member, update: &MemberUpdate, now: Millis) -> Applied {
    let before = (member.version, member.condition != Condition::Alive);
    if update.precedence() < before {
        return Applied::Nothing;
    }
    let was_leaving = member.is_leaving;
    let same_run = member.version.incarnation == update.version.incarnation;
    member.is_leaving = update.is_leaving || (was_leaving && same_run);
    let is_left = member.is_leaving != was_leaving;
    if update.precedence() == before {
        return if is_left {
            Applied::Condition
        } else {
            Applied::Nothing
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
            member.revived_ms = Some(now);
        }
        member.check = None;
        member.wake_ms = now;
        return Applied::Condition;
    }
    if is_left {
        Applied::Condition
    } else {
        Applied::Version
    }
}
