//! Periodic work of a balancer: probes, failure checks and gossip.

use rand::Rng as _;
use units::Millis;

use super::{
    ISOLATION_REPORT_MS, Members, NEVER, Output, WATCH_SELECTION_INTERVAL_MS,
    member_changed_output, receive::send_to_balancer,
};
use crate::{
    Condition, MemberId, MemberUpdate, MessageKind,
    member::{FailureCheck, Suspicion},
    message::UPDATES_BYTES_MAX,
    table::{UpdateOutcome, apply_update},
};

/// Interval at which the caller aims to call [`Members::tick`].
const TICK_MS: Millis = Millis::new(50);

/// Number of balancers to which each tick sends gossip.
const GOSSIP_FANOUT: usize = 3;

/// Minimum number of unanswered probes before a member is suspected.
const CHECK_PROBES_MIN: u32 = 4;

/// Numbers of probes sent, after which a failure check requests indirect probes.
const INDIRECT_PROBES_AFTER: [u32; 2] = [1, 3];

/// Time after which a probe that exceeded the rate limit is retried, before jitter.
const PROBE_RETRY_MS: u64 = 100;

impl Members {
    /// Runs all due probes, failure checks and gossip; must be called about every 50 ms.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.detect_pause(now, out);
        self.detect_isolation(now, out);
        if self.is_watched_set_stale
            && now.since(self.watch_selected_ms) >= WATCH_SELECTION_INTERVAL_MS
        {
            self.select_watched_members(now);
        }
        // Balancers are last in the table and are processed first here, as they report the state of
        // all other members.
        for idx in (0..self.table.len()).rev() {
            if self.table.member_at_mut(idx).next_step_ms <= now {
                self.run_member_step(now, idx, out);
            }
        }
        self.remove_expired_dead_balancers(now);
        self.send_gossip(now, out);
        self.send_sync_if_due(now, out);
    }

    fn detect_pause(&mut self, now: Millis, out: &mut Vec<Output>) {
        let gap_ms = now.since(self.last_tick_ms);
        self.last_tick_ms = now;
        if gap_ms < self.config.pause_threshold_ms {
            let late_ms = gap_ms.since(TICK_MS);
            let decayed_ms = Millis::new(self.tick_lag_ms.get() * 7 / 8);
            self.tick_lag_ms = late_ms.max(decayed_ms);
            return;
        }
        self.counters.pauses += 1;
        self.grace_until_ms = now.plus(self.config.pause_grace_ms);
        // Datagrams that arrived before or during the pause may still be in the socket buffer.
        self.last_received_ms = now;
        let spread_ms = self.config.ack_timeout_ms.get();
        for member in self
            .table
            .iter_mut()
            .filter(|it| it.check.is_some() || it.is_watched)
        {
            member.check = None;
            member.last_probe_ms = None;
            member.next_step_ms = now.plus(Millis::new(self.rng.random_range(0..spread_ms)));
        }
        out.push(Output::Paused { for_ms: gap_ms });
    }

    fn detect_isolation(&mut self, now: Millis, out: &mut Vec<Output>) {
        let is_isolated =
            self.table.len() > 1 && now.since(self.last_received_ms) >= ISOLATION_REPORT_MS;
        if is_isolated && !self.is_isolated {
            let known = u32::try_from(self.table.len()).unwrap_or(u32::MAX);
            out.push(Output::Isolated { known });
        }
        self.is_isolated = is_isolated;
    }

    fn run_member_step(&mut self, now: Millis, idx: usize, out: &mut Vec<Output>) {
        let member = self.table.member_at_mut(idx);
        let id = member.id;
        if let Some(check) = member.check {
            self.advance_failure_check(now, id, check, out);
            return;
        }
        match member.condition {
            Condition::Alive if member.is_watched => self.probe_alive_member(now, id, out),
            Condition::Alive => member.next_step_ms = NEVER,
            Condition::Suspect
                if now.since(member.condition_since_ms) >= self.config.suspicion_timeout_ms =>
            {
                member.condition = Condition::Dead;
                self.is_watched_set_stale |= id.is_balancer();
                out.push(member_changed_output(member, now));
            }
            Condition::Suspect if !member.is_watched => self.reprobe_suspect(now, id, out),
            Condition::Dead if !member.is_watched => member.next_step_ms = NEVER,
            Condition::Suspect => {
                let interval_ms = self.config.suspect_probe_interval_ms;
                self.probe_within_budget(now, id, interval_ms, out);
            }
            Condition::Dead => {
                let interval_ms = self.config.dead_probe_interval_ms;
                self.probe_within_budget(now, id, interval_ms, out);
            }
        }
    }

    /// Probes an alive member without recent evidence that it runs; starts a failure check if the
    /// latest probe was not acknowledged.
    fn probe_alive_member(&mut self, now: Millis, id: MemberId, out: &mut Vec<Output>) {
        let (interval_ms, timeout_ms) = (self.config.probe_interval_ms, self.config.ack_timeout_ms);
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        let last_alive_ms = member.last_alive_ms.unwrap_or_default();
        let unanswered = member.last_probe_ms.filter(|&it| it > last_alive_ms);
        if let Some(silent_since_ms) = unanswered {
            member.check = Some(FailureCheck {
                silent_since_ms,
                probes_sent: 1,
                suspicion: None,
            });
            member.next_step_ms = now;
            self.counters.checks += 1;
            return;
        }
        if member
            .last_alive_ms
            .is_some_and(|it| now.since(it) < interval_ms)
        {
            member.next_step_ms = last_alive_ms.plus(interval_ms);
            return;
        }
        self.probe_within_budget(now, id, timeout_ms, out);
    }

    /// Probes a suspected member that this process does not watch, in case the update about its
    /// recovery was lost.
    fn reprobe_suspect(&mut self, now: Millis, id: MemberId, out: &mut Vec<Output>) {
        let interval_ms = self.config.unwatched_suspect_probe_interval_ms;
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        let suspicion_ends_ms = member
            .condition_since_ms
            .plus(self.config.suspicion_timeout_ms);
        member.next_step_ms = now.plus(interval_ms).min(suspicion_ends_ms);
        let is_recent = now.since(member.condition_since_ms) < interval_ms;
        if !is_recent && self.weak_evidence_budget.try_take(now, 1) {
            out.extend(self.make_probe(now, id));
        }
    }

    /// Probes a member if the rate limit allows it, and schedules the member's next step in about
    /// `next_ms`.
    fn probe_within_budget(
        &mut self,
        now: Millis,
        id: MemberId,
        next_ms: Millis,
        out: &mut Vec<Output>,
    ) {
        if !self.probe_budget.try_take(now, 1) {
            let wait_ms = PROBE_RETRY_MS + self.rng.random_range(0..PROBE_RETRY_MS);
            if let Some(member) = self.table.find_mut(id) {
                member.next_step_ms = now.plus(Millis::new(wait_ms));
            }
            return;
        }
        out.extend(self.make_probe(now, id));
        // Jitter of up to a fifth spreads out the probes of members that were first probed
        // together.
        let jitter_ms = self.rng.random_range(0..=next_ms.get() / 5);
        if let Some(member) = self.table.find_mut(id) {
            member.last_probe_ms = Some(now);
            member.next_step_ms = now.plus(next_ms).plus(Millis::new(jitter_ms));
        }
    }

    /// Returns a probe of a member; the probe carries any held or reported suspicion, so that the
    /// member refutes the suspicion.
    pub(super) fn make_probe(&mut self, now: Millis, id: MemberId) -> Option<Output> {
        let member = self.table.find(id)?;
        let suspicion = member
            .check
            .and_then(|it| it.suspicion)
            .map(|it| it.version);
        let is_suspect = suspicion.is_some() || member.condition != Condition::Alive;
        let kind = MessageKind::Probe {
            nonce: self.probe_nonce(now),
            target: id,
            known_version: suspicion.unwrap_or(member.version).max(member.version),
            is_suspect,
        };
        let (to, scope) = (member.address, member.scope);
        let mut updates = Vec::new();
        if id.is_balancer() {
            updates.push(self.own_member_update());
        }
        self.counters.probes_sent += 1;
        Some(Output::Send {
            to,
            scope,
            message: self.build_message(kind, updates),
        })
    }

    fn advance_failure_check(
        &mut self,
        now: Millis,
        id: MemberId,
        check: FailureCheck,
        out: &mut Vec<Output>,
    ) {
        let tick_lag_ms = Millis::new(self.tick_lag_ms.get() * self.config.tick_lag_factor);
        // A reported suspicion is evidence already, so half the check window is enough to confirm
        // it.
        let window_ms = match check.suspicion {
            None => self.config.check_window_ms,
            Some(_) => Millis::new(self.config.check_window_ms.get() / 2),
        };
        let window_ms = window_ms.plus(tick_lag_ms);
        let silence_ms = now.since(self.last_received_ms);
        if silence_ms >= self.config.ack_timeout_ms {
            self.probe_another_member(now, id, out);
        }
        let is_over =
            now.since(check.silent_since_ms) >= window_ms && check.probes_sent >= CHECK_PROBES_MIN;
        if !is_over || silence_ms >= self.config.isolation_threshold_ms {
            self.send_failure_check_probe(now, id, check, out);
            return;
        }
        if now < self.grace_until_ms {
            self.counters.checks_postponed += 1;
            self.cancel_failure_check(now, id);
            return;
        }
        self.mark_member_suspect(now, id, check.suspicion, out);
    }

    fn send_failure_check_probe(
        &mut self,
        now: Millis,
        id: MemberId,
        check: FailureCheck,
        out: &mut Vec<Output>,
    ) {
        let interval_ms = self.config.check_interval_ms;
        if INDIRECT_PROBES_AFTER.contains(&check.probes_sent) {
            self.request_indirect_probes(now, id, out);
        }
        let before = self.counters.probes_sent;
        self.probe_within_budget(now, id, interval_ms, out);
        let is_sent = self.counters.probes_sent > before;
        if let Some(check) = self.table.find_mut(id).and_then(|it| it.check.as_mut()) {
            check.probes_sent += u32::from(is_sent);
        }
    }

    /// Probes a random member other than the checked one: an ack from it shows that the fault is
    /// not local to this process.
    fn probe_another_member(&mut self, now: Millis, checked: MemberId, out: &mut Vec<Output>) {
        let others = self.table.iter().filter(|it| it.id != checked);
        let others = others.filter(|it| it.condition == Condition::Alive && it.check.is_none());
        let others: Vec<_> = others.map(|it| it.id).collect();
        if others.is_empty() || !self.probe_budget.try_take(now, 1) {
            return;
        }
        let other_id = others[self.rng.random_range(0..others.len())];
        out.extend(self.make_probe(now, other_id));
    }

    fn request_indirect_probes(&mut self, now: Millis, id: MemberId, out: &mut Vec<Output>) {
        let indirect_probers = self.random_alive_balancers(self.config.indirect_probers, Some(id));
        let kind = MessageKind::IndirectProbe {
            nonce: self.probe_nonce(now),
            target: id,
        };
        let messages = indirect_probers.into_iter();
        out.extend(messages.map(|to| send_to_balancer(to, self.build_message(kind, Vec::new()))));
    }

    fn cancel_failure_check(&mut self, now: Millis, id: MemberId) {
        let spread_ms = self.config.ack_timeout_ms.get();
        let jitter_ms = Millis::new(self.rng.random_range(0..spread_ms));
        if let Some(member) = self.table.find_mut(id) {
            member.check = None;
            member.last_probe_ms = None;
            member.next_step_ms = now.plus(jitter_ms);
        }
    }

    fn mark_member_suspect(
        &mut self,
        now: Millis,
        id: MemberId,
        suspicion: Option<Suspicion>,
        out: &mut Vec<Output>,
    ) {
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        member.check = None;
        member.next_step_ms = now;
        if member.condition != Condition::Alive {
            return;
        }
        // A confirmed reported suspicion keeps its age, so that it never counts as a new suspicion.
        let (version, suspected_ms) = match suspicion {
            None => (member.version, now),
            Some(it) => (it.version.max(member.version), it.suspected_ms),
        };
        let update = MemberUpdate {
            id,
            version,
            is_suspect: true,
            is_leaving: member.is_leaving,
            age_ms: now.since(suspected_ms),
            balancer_info: None,
        };
        let outcome = apply_update(member, &update, now);
        assert_eq!(
            outcome,
            UpdateOutcome::StateChanged,
            "a suspicion takes precedence over the version that it suspects"
        );
        self.counters.suspected += 1;
        self.publish_change(now, id, outcome, out);
    }

    fn remove_expired_dead_balancers(&mut self, now: Millis) {
        let retention_ms = self.config.dead_retention_ms;
        let is_expired = |condition, condition_since_ms| {
            condition == Condition::Dead && now.since(condition_since_ms) >= retention_ms
        };
        self.table
            .retain(|it| !(it.id.is_balancer() && is_expired(it.condition, it.condition_since_ms)));
    }

    fn send_gossip(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.gossip_queue.is_empty() {
            return;
        }
        for to in self.random_alive_balancers(GOSSIP_FANOUT, None) {
            if self.gossip_queue.is_empty() {
                return;
            }
            if !self.gossip_budget.try_take(now, UPDATES_BYTES_MAX as u64) {
                self.counters.gossip_deferred += 1;
                return;
            }
            let updates = self.gossip_queue.next_batch(now);
            let message = self.build_message(MessageKind::Gossip, updates);
            self.gossip_budget
                .refund(UPDATES_BYTES_MAX.saturating_sub(message.encoded_len()) as u64);
            out.push(send_to_balancer(to, message));
        }
    }
}
