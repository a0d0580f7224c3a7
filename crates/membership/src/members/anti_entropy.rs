//! Anti-entropy: periodic exchanges between balancers that deliver the updates that gossip missed.

use std::net::SocketAddr;

use rand::Rng as _;
use units::Millis;

use super::{
    Members, Output,
    digest::{
        balancer_digest_bucket, compute_alive_balancer_digests, compute_exception_digests,
        differs_in_bucket, digest_bucket, is_exceptional,
    },
    receive::{member_precedence, send_to_balancer},
    update_about,
};
use crate::{
    Condition, MemberId, MemberUpdate, MessageKind,
    message::{UPDATES_BYTES_MAX, split_into_batches},
    watch::mix64,
};

/// Maximum length of the updates about suspected, dead and leaving members in a sync request.
const SYNC_REQUEST_BYTES_MAX: usize = 260;

/// Maximum length of the updates about alive balancers in a sync reply.
const SYNC_BALANCER_INFO_BYTES_MAX: usize = 12 * UPDATES_BYTES_MAX;

/// Maximum length of the updates about suspected, dead and leaving members in a sync reply.
const SYNC_REPLY_BYTES_MAX: usize = 2 * UPDATES_BYTES_MAX;

/// Time after its start during which a balancer may know only a disconnected part of the fleet.
const JOIN_PHASE_MS: Millis = Millis::new(10_000);

/// Factor by which a joining balancer sends sync requests more often.
const JOIN_SYNC_SPEEDUP: u64 = 4;

/// A joining balancer sends one of this many sync requests to a seed, on average.
const JOIN_SYNCS_PER_SEED: u32 = 2;

/// After joining, a balancer sends one of this many sync requests to a seed, on average; the few
/// seeds get requests from all balancers.
const SYNCS_PER_SEED: u32 = 32;

impl Members {
    /// Sends a sync request to a random balancer, or occasionally to a seed, once a request is due.
    pub(super) fn send_sync_if_due(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < self.next_sync_ms {
            return;
        }
        let interval_ms = self.sync_interval_ms(now);
        let wait_ms = interval_ms + self.rng.random_range(0..=interval_ms / 5);
        self.next_sync_ms = now.plus(Millis::new(wait_ms));
        let Some(to) = self.choose_sync_partner(now) else {
            return;
        };
        let salt = self.rng.random();
        let balancer_digests = compute_alive_balancer_digests(&self.table, self.local_id, salt);
        let mut updates = vec![self.own_member_update()];
        updates.extend(self.exceptional_updates(now, SYNC_REQUEST_BYTES_MAX, |_bucket| true));
        let exception_digests = compute_exception_digests(&self.table, salt);
        let kind = MessageKind::Sync {
            salt,
            balancer_digests,
            exception_digests,
        };
        let message = self.build_message(kind, updates);
        out.push(send_to_balancer(to, message));
    }

    fn sync_interval_ms(&self, now: Millis) -> u64 {
        let interval_ms = self.config.sync_interval_ms.get();
        if now < JOIN_PHASE_MS {
            return interval_ms / JOIN_SYNC_SPEEDUP;
        }
        interval_ms
    }

    /// Chooses the balancer to sync with: a random known balancer; a seed if no balancer is known,
    /// and occasionally otherwise.
    ///
    /// Balancers that start together may know only each other; the seeds connect such groups to
    /// the rest of the fleet.
    fn choose_sync_partner(&mut self, now: Millis) -> Option<SocketAddr> {
        let syncs_per_seed = if now < JOIN_PHASE_MS {
            JOIN_SYNCS_PER_SEED
        } else {
            SYNCS_PER_SEED
        };
        let seed_idx = self.rng.random_range(0..self.seeds.len().max(1));
        let seed = self.seeds.get(seed_idx).copied();
        let known = self.random_alive_balancers(1, None).pop();
        if self.rng.random_ratio(1, syncs_per_seed) {
            return seed.or(known);
        }
        known.or(seed)
    }

    /// Returns updates about suspected, dead and leaving members of the requested digest buckets,
    /// up to a total length.
    ///
    /// Orders the buckets randomly, and the members within each bucket randomly.
    fn exceptional_updates(
        &mut self,
        now: Millis,
        bytes_max: usize,
        is_requested: impl Fn(u32) -> bool,
    ) -> Vec<MemberUpdate> {
        let exceptional = self.table.iter().filter(|it| is_exceptional(it));
        let exceptional = exceptional.filter(|it| is_requested(digest_bucket(it.id)));
        let salt: u64 = self.rng.random();
        let order = |id: MemberId| mix64(salt ^ u64::from(digest_bucket(id)));
        let mut exceptional: Vec<_> = exceptional.map(|it| (order(it.id), it.id)).collect();
        exceptional.sort_by_key(|it| (it.0, mix64(salt ^ it.1.to_raw())));
        let updates = exceptional.iter().filter_map(|it| self.table.find(it.1));
        let mut bytes = 0;
        updates
            .map(|it| update_about(it, now))
            .take_while(|it| {
                bytes += it.encoded_len();
                bytes <= bytes_max
            })
            .collect()
    }

    /// Replies to a sync request with the updates that the requester may lack.
    pub(super) fn reply_to_sync(
        &mut self,
        now: Millis,
        to: SocketAddr,
        salt: u16,
        (balancer_digests, exception_digests): (u32, u64),
        theirs: &[MemberUpdate],
        out: &mut Vec<Output>,
    ) {
        let mut updates = vec![self.own_member_update()];
        let mine = super::digest::compute_exception_digests(&self.table, salt);
        updates.extend(self.newer_updates(now, theirs));
        updates.extend(
            self.exceptional_updates(now, SYNC_REPLY_BYTES_MAX, |bucket| {
                differs_in_bucket(mine, exception_digests, bucket)
            }),
        );
        updates.extend(self.balancer_info_updates(now, salt, balancer_digests));
        self.send_updates(now, to, updates, out);
    }

    /// Returns updates about the members for which another balancer sent an outdated update.
    fn newer_updates(&self, now: Millis, theirs: &[MemberUpdate]) -> Vec<MemberUpdate> {
        let mine = theirs
            .iter()
            .filter_map(|it| self.table.find(it.id).zip(Some(it)));
        let newer = mine.filter(|(mine, theirs)| member_precedence(mine) > theirs.precedence());
        newer
            .map(|(mine, _theirs)| update_about(mine, now))
            .collect()
    }

    /// Returns updates with the names and addresses of alive balancers in the digest buckets that
    /// differ from the requester's, up to a total length.
    fn balancer_info_updates(
        &mut self,
        now: Millis,
        salt: u16,
        balancer_digests: u32,
    ) -> Vec<MemberUpdate> {
        let mine = compute_alive_balancer_digests(&self.table, self.local_id, salt);
        let is_requested = |id| {
            differs_in_bucket(
                mine.into(),
                balancer_digests.into(),
                balancer_digest_bucket(id),
            )
        };
        let alive = self
            .table
            .iter()
            .filter(|it| it.condition == Condition::Alive);
        let selected = alive.filter(|it| it.id.is_balancer() && is_requested(it.id));
        let shuffle: u64 = self.rng.random();
        let order = |id: MemberId| mix64(shuffle ^ u64::from(balancer_digest_bucket(id)));
        let mut selected: Vec<_> = selected.map(|it| (order(it.id), it.id)).collect();
        selected.sort_by_key(|it| (it.0, mix64(shuffle ^ it.1.to_raw())));
        let updates = selected.iter().filter_map(|it| self.table.find(it.1));
        let mut bytes = 0;
        updates
            .map(|it| update_about(it, now))
            .take_while(|it| {
                bytes += it.encoded_len();
                bytes <= SYNC_BALANCER_INFO_BYTES_MAX
            })
            .collect()
    }

    /// Sends updates in as many datagrams as the gossip rate limit allows, and drops the other
    /// updates.
    pub(super) fn send_updates(
        &mut self,
        now: Millis,
        to: SocketAddr,
        updates: Vec<MemberUpdate>,
        out: &mut Vec<Output>,
    ) {
        for batch in split_into_batches(updates) {
            let message = self.build_message(MessageKind::Gossip, batch);
            if !self
                .gossip_budget
                .try_take(now, message.encoded_len() as u64)
            {
                self.counters.gossip_deferred += 1;
                return;
            }
            out.push(send_to_balancer(to, message));
        }
    }
}
