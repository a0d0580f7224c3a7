//! Which balancers watch a member: the first few by rendezvous hashing.

use crate::MemberId;

/// Returns whether `local_id` is among the `watchers` highest-ranked of `balancers` for `target`.
///
/// Ranks the balancers other than the target itself. Each balancer's share of the members is the
/// same up to chance, and the loss of a balancer moves only the members that it watched.
pub(crate) fn is_watcher(
    local_id: MemberId,
    target: MemberId,
    balancers: &[MemberId],
    watchers: usize,
) -> bool {
    let mine = score(local_id, target);
    let mut higher = 0;
    for &it in balancers {
        if it == local_id || it == target || score(it, target) <= mine {
            continue;
        }
        higher += 1;
        if higher >= watchers {
            return false;
        }
    }
    true
}

/// Mixes two ids into one evenly spread number (the finalizer of `SplitMix64`).
pub(crate) const fn mix(raw: u64) -> u64 {
    let raw = (raw ^ (raw >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let raw = (raw ^ (raw >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    raw ^ (raw >> 31)
}

fn score(balancer: MemberId, target: MemberId) -> u64 {
    mix(balancer.to_raw() ^ mix(target.to_raw()))
}
