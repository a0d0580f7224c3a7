//! Exchanges by which a balancer brings up to date what gossip missed.

use std::net::SocketAddr;

use rand::Rng as _;
use units::Millis;

use super::{
    Members, Output, claim_about,
    digest::{balancer_digest, balancer_part, differs, digest, is_exceptional, part},
    receive::{precedence, send},
};
use crate::{
    Condition, MemberId, MemberUpdate, MessageKind,
    message::{CLAIMS_MAX_BYTES, split_claims},
    watch::mix,
};

/// Bytes of updates about others in a question to a random balancer.
const QUESTION_BYTES: usize = 260;

/// Bytes of introductions in an answer to a balancer that knows others.
const INTRODUCTIONS_BYTES: usize = 12 * CLAIMS_MAX_BYTES;

/// Bytes of updates in an answer to a balancer that holds something else.
const ANSWER_BYTES: usize = 2 * CLAIMS_MAX_BYTES;

/// Time after the start in which a balancer may know an island of the fleet alone.
const JOINING_MS: Millis = Millis::new(10_000);

/// How many times as often a balancer exchanges updates while joining.
const JOINING_SPEED: u64 = 4;

/// Exchanges of which one goes to a seed, while joining.
const JOINING_SYNCS_PER_SEED: u32 = 2;

/// Exchanges of which one goes to a seed, later; seeds are few and get them from all.
const SYNCS_PER_SEED: u32 = 32;
impl Members {
    /// Exchanges updates with one random balancer, or now and then with a seed.
    pub(super) fn sync(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < self.sync_due_ms {
            return;
        }
        let interval_ms = self.sync_interval_ms(now);
        let wait_ms = interval_ms + self.rng.random_range(0..=interval_ms / 5);
        self.sync_due_ms = now.plus(Millis::new(wait_ms));
        let Some(to) = self.sync_partner(now) else {
            return;
        };
        let salt = self.rng.random();
        let balancer_digests = balancer_digest(&self.table, self.local_id, salt);
        let mut updates = vec![self.own_claim()];
        updates.extend(self.exceptional_claims(now, QUESTION_BYTES, |_part| true));
        let exception_digests = digest(&self.table, salt);
        let kind = MessageKind::Sync {
            salt,
            balancer_digests,
            exception_digests,
        };
        let message = self.message(kind, updates);
        out.push(send(to, message));
    }

    fn sync_interval_ms(&self, now: Millis) -> u64 {
        let interval_ms = self.config.sync_interval_ms.get();
        if now < JOINING_MS {
            return interval_ms / JOINING_SPEED;
        }
        interval_ms
    }

    /// Picks a balancer known, or a seed while none is known and now and then.
    ///
    /// Balancers that start together may know only each other; the seeds join such islands.
    fn sync_partner(&mut self, now: Millis) -> Option<SocketAddr> {
        let syncs_per_seed = if now < JOINING_MS {
            JOINING_SYNCS_PER_SEED
        } else {
            SYNCS_PER_SEED
        };
        let seed_idx = self.rng.random_range(0..self.seeds.len().max(1));
        let seed = self.seeds.get(seed_idx).copied();
        let known = self.random_balancers(1, None).pop();
        if self.rng.random_ratio(1, syncs_per_seed) {
            return seed.or(known);
        }
        known.or(seed)
    }

    /// Returns updates about exceptional members of the parts asked for, up to a length.
    ///
    /// Takes the parts in random order and each part's members in random order.
    fn exceptional_claims(
        &mut self,
        now: Millis,
        bytes_max: usize,
        is_asked: impl Fn(u32) -> bool,
    ) -> Vec<MemberUpdate> {
        let told = self.table.iter().filter(|it| is_exceptional(it));
        let told = told.filter(|it| is_asked(part(it.id)));
        let salt: u64 = self.rng.random();
        let order = |id: MemberId| mix(salt ^ u64::from(part(id)));
        let mut told: Vec<_> = told.map(|it| (order(it.id), it.id)).collect();
        told.sort_by_key(|it| (it.0, mix(salt ^ it.1.to_raw())));
        let updates = told.iter().filter_map(|it| self.table.find(it.1));
        let mut bytes = 0;
        updates
            .map(|it| claim_about(it, now))
            .take_while(|it| {
                bytes += it.encoded_len();
                bytes <= bytes_max
            })
            .collect()
    }

    /// Answers a balancer's exchange with what it may not know.
    pub(super) fn answer_sync(
        &mut self,
        now: Millis,
        to: SocketAddr,
        salt: u16,
        (balancer_digests, exception_digests): (u32, u64),
        theirs: &[MemberUpdate],
        out: &mut Vec<Output>,
    ) {
        let mut updates = vec![self.own_claim()];
        let mine = super::digest::digest(&self.table, salt);
        updates.extend(self.corrections(now, theirs));
        updates.extend(self.exceptional_claims(now, ANSWER_BYTES, |part| {
            differs(mine, exception_digests, part)
        }));
        updates.extend(self.introductions(now, salt, balancer_digests));
        self.send_claims(now, to, updates, out);
    }

    /// Returns what is held of members that another balancer holds something older of.
    fn corrections(&self, now: Millis, theirs: &[MemberUpdate]) -> Vec<MemberUpdate> {
        let mine = theirs
            .iter()
            .filter_map(|it| self.table.find(it.id).zip(Some(it)));
        let newer = mine.filter(|(mine, theirs)| precedence(mine) > theirs.precedence());
        newer
            .map(|(mine, _theirs)| claim_about(mine, now))
            .collect()
    }

    /// Introduces the balancers of parts that differ, up to a length.
    fn introductions(
        &mut self,
        now: Millis,
        salt: u16,
        balancer_digests: u32,
    ) -> Vec<MemberUpdate> {
        let mine = balancer_digest(&self.table, self.local_id, salt);
        let is_asked = |id| differs(mine.into(), balancer_digests.into(), balancer_part(id));
        let alive = self
            .table
            .iter()
            .filter(|it| it.condition == Condition::Alive);
        let asked = alive.filter(|it| it.id.is_balancer() && is_asked(it.id));
        let shuffle: u64 = self.rng.random();
        let order = |id: MemberId| mix(shuffle ^ u64::from(balancer_part(id)));
        let mut asked: Vec<_> = asked.map(|it| (order(it.id), it.id)).collect();
        asked.sort_by_key(|it| (it.0, mix(shuffle ^ it.1.to_raw())));
        let updates = asked.iter().filter_map(|it| self.table.find(it.1));
        let mut bytes = 0;
        updates
            .map(|it| claim_about(it, now))
            .take_while(|it| {
                bytes += it.encoded_len();
                bytes <= INTRODUCTIONS_BYTES
            })
            .collect()
    }

    /// Sends updates in as many datagrams as the budget allows.
    pub(super) fn send_claims(
        &mut self,
        now: Millis,
        to: SocketAddr,
        updates: Vec<MemberUpdate>,
        out: &mut Vec<Output>,
    ) {
        for part in split_claims(updates) {
            let message = self.message(MessageKind::Gossip, part);
            if !self.gossip_budget.take(now, message.encoded_len() as u64) {
                self.counters.gossip_deferred += 1;
                return;
            }
            out.push(send(to, message));
        }
    }
}
