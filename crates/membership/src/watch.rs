//! Assignment of members to the balancers that watch them, by rendezvous hashing.

use crate::MemberId;

/// Returns whether the balancer `local_id` watches `target`, that is, has one of the `watchers`
/// highest rendezvous scores for `target` among `balancers`.
///
/// A balancer never watches itself. Each balancer's expected share of the members is the same, and
/// the loss of a balancer reassigns only the members that it watched.
pub(crate) fn is_watcher(
    local_id: MemberId,
    target: MemberId,
    balancers: &[MemberId],
    watchers: usize,
) -> bool {
    let mine = rendezvous_score(local_id, target);
    let mut higher = 0;
    for &it in balancers {
        if it == local_id || it == target || rendezvous_score(it, target) <= mine {
            continue;
        }
        higher += 1;
        if higher >= watchers {
            return false;
        }
    }
    true
}

/// Hashes a number to a uniformly distributed number with the finalizer of `SplitMix64`.
pub(crate) const fn mix64(raw: u64) -> u64 {
    let raw = (raw ^ (raw >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let raw = (raw ^ (raw >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    raw ^ (raw >> 31)
}

fn rendezvous_score(balancer: MemberId, target: MemberId) -> u64 {
    mix64(balancer.to_raw() ^ mix64(target.to_raw()))
}
