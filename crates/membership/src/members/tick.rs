//! What a balancer does as time passes.

use rand::Rng as _;
use units::Millis;

use super::{ISOLATED_AFTER_MS, Members, NEVER, Output, WATCH_INTERVAL_MS, changed, receive::send};
use crate::{
    Condition, MemberId, MemberUpdate, MessageKind,
    member::{Check, Reported},
    message::CLAIMS_MAX_BYTES,
    table::{Applied, apply},
};

/// Time between two ticks that the caller aims at.
const TICK_MS: Millis = Millis::new(50);

/// Balancers that gossip goes to in one tick.
const FANOUT: usize = 3;

/// Unanswered probes without which nobody is suspected.
const PROBES_MIN: u32 = 4;

/// Repetitions of a check after which other balancers are asked to probe.
const HELP_AT: [u32; 2] = [1, 3];

/// Time after which a probe that the budget did not allow is tried again, before jitter.
const DEFER_MS: u64 = 100;

impl Members {
    /// Does what is due; call about every 50 ms.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.measure_gap(now, out);
        self.watch_isolation(now, out);
        if self.is_watch_stale && now.since(self.watch_selected_ms) >= WATCH_INTERVAL_MS {
            self.select_watched(now);
        }
        // Balancers come last in the table and first here: they bring news of all others.
        for idx in (0..self.table.len()).rev() {
            if self.table.at_mut(idx).wake_ms <= now {
                self.act(now, idx, out);
            }
        }
        self.forget(now);
        self.gossip(now, out);
        self.sync(now, out);
    }

    fn measure_gap(&mut self, now: Millis, out: &mut Vec<Output>) {
        let gap_ms = now.since(self.ticked_ms);
        self.ticked_ms = now;
        if gap_ms < self.config.pause_threshold_ms {
            let late_ms = gap_ms.since(TICK_MS);
            let decayed_ms = Millis::new(self.lag_ms.get() * 7 / 8);
            self.lag_ms = late_ms.max(decayed_ms);
            return;
        }
        self.counters.pauses += 1;
        self.grace_until_ms = now.plus(self.config.pause_grace_ms);
        // Datagrams of before the pause may still wait in the socket.
        self.received_ms = now;
        let spread_ms = self.config.ack_timeout_ms.get();
        for member in self
            .table
            .iter_mut()
            .filter(|it| it.check.is_some() || it.is_watched)
        {
            member.check = None;
            member.probed_ms = None;
            member.wake_ms = now.plus(Millis::new(self.rng.random_range(0..spread_ms)));
        }
        out.push(Output::Paused { for_ms: gap_ms });
    }

    fn watch_isolation(&mut self, now: Millis, out: &mut Vec<Output>) {
        let is_isolated = self.table.len() > 1 && now.since(self.received_ms) >= ISOLATED_AFTER_MS;
        if is_isolated && !self.is_isolated {
            let known = u32::try_from(self.table.len()).unwrap_or(u32::MAX);
            out.push(Output::Isolated { known });
        }
        self.is_isolated = is_isolated;
    }

    fn act(&mut self, now: Millis, idx: usize, out: &mut Vec<Output>) {
        let member = self.table.at_mut(idx);
        let id = member.id;
        if let Some(check) = member.check {
            self.step_check(now, id, check, out);
            return;
        }
        match member.condition {
            Condition::Alive if member.is_watched => self.watch(now, id, out),
            Condition::Alive => member.wake_ms = NEVER,
            Condition::Suspect
                if now.since(member.condition_since_ms) >= self.config.suspicion_timeout_ms =>
            {
                member.condition = Condition::Dead;
                self.is_watch_stale |= id.is_balancer();
                out.push(changed(member, now));
            }
            Condition::Suspect if !member.is_watched => self.look_again(now, id, out),
            Condition::Dead if !member.is_watched => member.wake_ms = NEVER,
            Condition::Suspect => {
                let interval_ms = self.config.suspect_probe_interval_ms;
                self.probe_again(now, id, interval_ms, out);
            }
            Condition::Dead => {
                let interval_ms = self.config.dead_probe_interval_ms;
                self.probe_again(now, id, interval_ms, out);
            }
        }
    }

    /// Probes an alive member whose latest evidence is old, and checks it if that goes unanswered.
    fn watch(&mut self, now: Millis, id: MemberId, out: &mut Vec<Output>) {
        let (interval_ms, timeout_ms) = (self.config.probe_interval_ms, self.config.ack_timeout_ms);
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        let last_alive_ms = member.last_alive_ms.unwrap_or_default();
        let unanswered = member.probed_ms.filter(|&it| it > last_alive_ms);
        if let Some(since_ms) = unanswered {
            member.check = Some(Check {
                since_ms,
                sent: 1,
                reported: None,
            });
            member.wake_ms = now;
            self.counters.checks += 1;
            return;
        }
        if member
            .last_alive_ms
            .is_some_and(|it| now.since(it) < interval_ms)
        {
            member.wake_ms = last_alive_ms.plus(interval_ms);
            return;
        }
        self.probe_again(now, id, timeout_ms, out);
    }

    /// Probes a member that only others suspected, in case the news of its return was lost.
    fn look_again(&mut self, now: Millis, id: MemberId, out: &mut Vec<Output>) {
        let interval_ms = self.config.unwatched_suspect_probe_interval_ms;
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        let dead_ms = member
            .condition_since_ms
            .plus(self.config.suspicion_timeout_ms);
        member.wake_ms = now.plus(interval_ms).min(dead_ms);
        let is_young = now.since(member.condition_since_ms) < interval_ms;
        if !is_young && self.second_look_budget.take(now, 1) {
            out.extend(self.probe(now, id));
        }
    }

    /// Sends a probe, budget allowing, and wakes up again after about `next_ms`.
    fn probe_again(&mut self, now: Millis, id: MemberId, next_ms: Millis, out: &mut Vec<Output>) {
        if !self.probe_budget.take(now, 1) {
            let wait_ms = DEFER_MS + self.rng.random_range(0..DEFER_MS);
            if let Some(member) = self.table.find_mut(id) {
                member.wake_ms = now.plus(Millis::new(wait_ms));
            }
            return;
        }
        out.extend(self.probe(now, id));
        // A fifth of jitter keeps probes of many members apart after they began together.
        let jitter_ms = self.rng.random_range(0..=next_ms.get() / 5);
        if let Some(member) = self.table.find_mut(id) {
            member.probed_ms = Some(now);
            member.wake_ms = now.plus(next_ms).plus(Millis::new(jitter_ms));
        }
    }

    /// Makes a probe; it carries the suspicion held or reported, so that the member refutes it.
    pub(super) fn probe(&mut self, now: Millis, id: MemberId) -> Option<Output> {
        let member = self.table.find(id)?;
        let reported = member.check.and_then(|it| it.reported).map(|it| it.version);
        let is_suspect = reported.is_some() || member.condition != Condition::Alive;
        let kind = MessageKind::Probe {
            nonce: self.nonce(now),
            target: id,
            known_version: reported.unwrap_or(member.version).max(member.version),
            is_suspect,
        };
        let (to, scope) = (member.address, member.scope);
        let mut updates = Vec::new();
        if id.is_balancer() {
            updates.push(self.own_claim());
        }
        self.counters.probes_sent += 1;
        Some(Output::Send {
            to,
            scope,
            message: self.message(kind, updates),
        })
    }

    fn step_check(&mut self, now: Millis, id: MemberId, check: Check, out: &mut Vec<Output>) {
        let lag_ms = Millis::new(self.lag_ms.get() * self.config.tick_lag_factor);
        // A report is evidence already: half a check of one's own is enough to add.
        let window_ms = match check.reported {
            None => self.config.check_window_ms,
            Some(_) => Millis::new(self.config.check_window_ms.get() / 2),
        };
        let window_ms = window_ms.plus(lag_ms);
        let silence_ms = now.since(self.received_ms);
        if silence_ms >= self.config.ack_timeout_ms {
            self.probe_witness(now, id, out);
        }
        let is_over = now.since(check.since_ms) >= window_ms && check.sent >= PROBES_MIN;
        if !is_over || silence_ms >= self.config.isolation_threshold_ms {
            self.repeat_probe(now, id, check, out);
            return;
        }
        if now < self.grace_until_ms {
            self.counters.checks_postponed += 1;
            self.drop_check(now, id);
            return;
        }
        self.suspect(now, id, check.reported, out);
    }

    fn repeat_probe(&mut self, now: Millis, id: MemberId, check: Check, out: &mut Vec<Output>) {
        let interval_ms = self.config.check_interval_ms;
        if HELP_AT.contains(&check.sent) {
            self.ask_helpers(now, id, out);
        }
        let before = self.counters.probes_sent;
        self.probe_again(now, id, interval_ms, out);
        let is_sent = self.counters.probes_sent > before;
        if let Some(check) = self.table.find_mut(id).and_then(|it| it.check.as_mut()) {
            check.sent += u32::from(is_sent);
        }
    }

    /// Probes any other member, to tell a fault of the checked one from a fault of this process.
    fn probe_witness(&mut self, now: Millis, checked: MemberId, out: &mut Vec<Output>) {
        let others = self.table.iter().filter(|it| it.id != checked);
        let others = others.filter(|it| it.condition == Condition::Alive && it.check.is_none());
        let others: Vec<_> = others.map(|it| it.id).collect();
        if others.is_empty() || !self.probe_budget.take(now, 1) {
            return;
        }
        let witness = others[self.rng.random_range(0..others.len())];
        out.extend(self.probe(now, witness));
    }

    fn ask_helpers(&mut self, now: Millis, id: MemberId, out: &mut Vec<Output>) {
        let indirect_probers = self.random_balancers(self.config.indirect_probers, Some(id));
        let kind = MessageKind::IndirectProbe {
            nonce: self.nonce(now),
            target: id,
        };
        let messages = indirect_probers.into_iter();
        out.extend(messages.map(|to| send(to, self.message(kind, Vec::new()))));
    }

    fn drop_check(&mut self, now: Millis, id: MemberId) {
        let spread_ms = self.config.ack_timeout_ms.get();
        let jitter_ms = Millis::new(self.rng.random_range(0..spread_ms));
        if let Some(member) = self.table.find_mut(id) {
            member.check = None;
            member.probed_ms = None;
            member.wake_ms = now.plus(jitter_ms);
        }
    }

    fn suspect(
        &mut self,
        now: Millis,
        id: MemberId,
        reported: Option<Reported>,
        out: &mut Vec<Output>,
    ) {
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        member.check = None;
        member.wake_ms = now;
        if member.condition != Condition::Alive {
            return;
        }
        // A report keeps its age, so that it never passes for a new suspicion.
        let (version, made_ms) = match reported {
            None => (member.version, now),
            Some(it) => (it.version.max(member.version), it.made_ms),
        };
        let update = MemberUpdate {
            id,
            version,
            is_suspect: true,
            is_leaving: member.is_leaving,
            age_ms: now.since(made_ms),
            balancer_info: None,
        };
        let applied = apply(member, &update, now);
        assert_eq!(
            applied,
            Applied::Condition,
            "a suspicion outranks its own version"
        );
        self.counters.suspected += 1;
        self.announce(now, id, applied, out);
    }

    fn forget(&mut self, now: Millis) {
        let forget_ms = self.config.dead_retention_ms;
        let is_forgotten = |condition, condition_since_ms| {
            condition == Condition::Dead && now.since(condition_since_ms) >= forget_ms
        };
        self.table.retain(|it| {
            !(it.id.is_balancer() && is_forgotten(it.condition, it.condition_since_ms))
        });
    }

    fn gossip(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.rumors.is_empty() {
            return;
        }
        for to in self.random_balancers(FANOUT, None) {
            if self.rumors.is_empty() {
                return;
            }
            if !self.gossip_budget.take(now, CLAIMS_MAX_BYTES as u64) {
                self.counters.gossip_deferred += 1;
                return;
            }
            let updates = self.rumors.take(now);
            let message = self.message(MessageKind::Gossip, updates);
            self.gossip_budget
                .put_back(CLAIMS_MAX_BYTES.saturating_sub(message.encoded_len()) as u64);
            out.push(send(to, message));
        }
    }
}
