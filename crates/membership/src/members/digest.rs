//! Digests by which two balancers find what they hold differently.

use crate::{Condition, Member, MemberId, table::Table, watch};

/// Returns whether a member differs from what everybody expects without being told.
pub(super) fn is_exceptional(member: &Member) -> bool {
    member.condition != Condition::Alive || member.is_leaving
}

/// Parts of the fleet that are compared one by one.
const PARTS: u32 = 8;

/// Bits of one part's digest.
const PART_BITS: u32 = 8;

/// Returns which part of the fleet a member belongs to.
pub(super) fn part(id: MemberId) -> u32 {
    u32::try_from(watch::mix(id.to_raw()) >> 61).unwrap_or_default() % PARTS
}

/// Returns the digests of the exceptional members, one byte a part.
///
/// Balancers that hold the same of a part's members have the same byte there.
pub(super) fn digest(table: &Table, salt: u16) -> u64 {
    let exceptional = table.iter().filter(|it| is_exceptional(it));
    exceptional.fold(0, |digest, it| {
        let version =
            u64::from(it.version.incarnation.get()) << 16 | u64::from(it.version.refutations);
        let flags = u64::from(it.condition != Condition::Alive) | u64::from(it.is_leaving) << 1;
        let state = watch::mix(it.id.to_raw()) ^ watch::mix(version << 2 | flags);
        digest ^ digest_byte(state, salt) << (part(it.id) * PART_BITS)
    })
}

/// Parts of the fleet's balancers that are compared one by one.
const BALANCER_PARTS: u32 = 4;

/// Returns which part of the fleet's balancers one belongs to.
pub(super) fn balancer_part(id: MemberId) -> u32 {
    part(id) % BALANCER_PARTS
}

/// Returns the digests of the balancers alive and `local_id`, one byte a part.
pub(super) fn balancer_digest(table: &Table, local_id: MemberId, salt: u16) -> u32 {
    let alive = table.iter().filter(|it| it.id.is_balancer());
    let alive = alive.filter(|it| it.condition == Condition::Alive);
    let ids = alive.map(|it| it.id).chain([local_id]);
    ids.fold(0, |digest, id| {
        let byte = u32::try_from(digest_byte(id.to_raw(), salt)).unwrap_or_default();
        digest ^ byte << (balancer_part(id) * PART_BITS)
    })
}

/// Returns one member's share of a digest, other for each salt.
const fn digest_byte(state: u64, salt: u16) -> u64 {
    watch::mix(state ^ watch::mix(salt as u64)) & 0xff
}

/// Returns whether two digests differ in a part.
pub(super) const fn differs(mine: u64, theirs: u64, part: u32) -> bool {
    (mine ^ theirs) >> (part * PART_BITS) & 0xff != 0
}
