//! Digests by which anti-entropy finds the members whose records differ between two balancers.

use crate::{Condition, Member, MemberId, table::MemberTable, watch};

/// Returns whether a member is exceptional: suspected, dead or leaving.
pub(super) fn is_exceptional(member: &Member) -> bool {
    member.condition != Condition::Alive || member.is_leaving
}

/// Number of buckets into which members are hashed; each bucket has a digest of its own.
const BUCKETS: u32 = 8;

/// Length of a bucket's digest in bits.
const BUCKET_BITS: u32 = 8;

/// Returns the digest bucket into which a member is hashed.
pub(super) fn digest_bucket(id: MemberId) -> u32 {
    u32::try_from(watch::mix64(id.to_raw()) >> 61).unwrap_or_default() % BUCKETS
}

/// Computes digests of the records of suspected, dead and leaving members, one byte per bucket.
///
/// Two balancers with equal records of such members in a bucket compute the same byte for it.
pub(super) fn compute_exception_digests(table: &MemberTable, salt: u16) -> u64 {
    let exceptional = table.iter().filter(|it| is_exceptional(it));
    exceptional.fold(0, |digest, it| {
        let version =
            u64::from(it.version.incarnation.get()) << 16 | u64::from(it.version.refutations);
        let flags = u64::from(it.condition != Condition::Alive) | u64::from(it.is_leaving) << 1;
        let state = watch::mix64(it.id.to_raw()) ^ watch::mix64(version << 2 | flags);
        digest ^ member_digest_byte(state, salt) << (digest_bucket(it.id) * BUCKET_BITS)
    })
}

/// Number of buckets into which balancers are hashed for the digests of alive balancers.
const BALANCER_BUCKETS: u32 = 4;

/// Returns the bucket into which a balancer is hashed for the digests of alive balancers.
pub(super) fn balancer_digest_bucket(id: MemberId) -> u32 {
    digest_bucket(id) % BALANCER_BUCKETS
}

/// Computes digests of the ids of the alive balancers and of `local_id`, one byte per bucket.
pub(super) fn compute_alive_balancer_digests(
    table: &MemberTable,
    local_id: MemberId,
    salt: u16,
) -> u32 {
    let alive = table.iter().filter(|it| it.id.is_balancer());
    let alive = alive.filter(|it| it.condition == Condition::Alive);
    let ids = alive.map(|it| it.id).chain([local_id]);
    ids.fold(0, |digest, id| {
        let byte = u32::try_from(member_digest_byte(id.to_raw(), salt)).unwrap_or_default();
        digest ^ byte << (balancer_digest_bucket(id) * BUCKET_BITS)
    })
}

/// Returns the byte that one member contributes to the digest of its bucket.
const fn member_digest_byte(state: u64, salt: u16) -> u64 {
    watch::mix64(state ^ watch::mix64(salt as u64)) & 0xff
}

/// Returns whether the digests that two balancers computed differ in a bucket.
pub(super) const fn differs_in_bucket(mine: u64, theirs: u64, bucket: u32) -> bool {
    (mine ^ theirs) >> (bucket * BUCKET_BITS) & 0xff != 0
}
