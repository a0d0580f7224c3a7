//! Handling of received membership messages by a balancer.

use std::net::SocketAddr;

use units::Millis;

use super::{Members, Output, PendingIndirectProbe, member_changed_output, update_about};
use crate::{
    Condition, KeyScope, Member, MemberId, MemberUpdate, MemberVersion, Message, MessageKind,
    member::Suspicion,
    table::{UpdateOutcome, apply_update},
};

/// Time for which the ack of an indirect probe is awaited.
const INDIRECT_PROBE_TIMEOUT_MS: Millis = Millis::new(1_000);

/// Maximum number of indirect probes whose acks are awaited.
const INDIRECT_PROBES_MAX: usize = 256;

impl Members {
    /// Handles a received message whose MAC and permissions were checked.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: SocketAddr,
        scope: KeyScope,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let sender = message.sender;
        if sender == self.local_id {
            return;
        }
        self.record_message_arrival(now);
        match message.kind {
            MessageKind::Probe {
                nonce,
                target,
                known_version,
                is_suspect,
            } => {
                self.merge_updates(now, from, sender, message.updates, out);
                if target == self.local_id {
                    self.answer_probe(now, from, nonce, (known_version, is_suspect), out);
                }
            }
            MessageKind::Ack {
                nonce,
                version,
                is_leaving,
            } => {
                let Some(sent_ms) = self.probe_sent_ms(now, nonce) else {
                    return;
                };
                self.counters.acks += 1;
                self.forward_ack_to_requesters(now, sender, version, out);
                self.apply_ack(now, sent_ms, scope, (sender, version, is_leaving), out);
            }
            MessageKind::IndirectProbe { nonce, target } => {
                self.send_requested_indirect_probe(now, from, nonce, target, out);
            }
            MessageKind::IndirectAck {
                nonce,
                target,
                version,
            } => {
                let Some(sent_ms) = self.probe_sent_ms(now, nonce) else {
                    return;
                };
                let scope = self.table.find(target).map(|it| it.scope);
                if let Some(scope) = scope {
                    self.apply_ack(now, sent_ms, scope, (target, version, false), out);
                }
            }
            MessageKind::Gossip => self.merge_updates(now, from, sender, message.updates, out),
            MessageKind::Sync {
                salt,
                balancer_digests,
                exception_digests,
            } => {
                self.merge_updates(now, from, sender, message.updates.clone(), out);
                self.reply_to_sync(
                    now,
                    from,
                    salt,
                    (balancer_digests, exception_digests),
                    &message.updates,
                    out,
                );
            }
        }
    }

    fn answer_probe(
        &mut self,
        now: Millis,
        from: SocketAddr,
        nonce: u32,
        known_state: (MemberVersion, bool),
        out: &mut Vec<Output>,
    ) {
        self.refute_if_suspected(now, known_state);
        let kind = MessageKind::Ack {
            nonce,
            version: self.version,
            is_leaving: self.is_leaving,
        };
        let message = self.build_message(kind, Vec::new());
        out.push(send_to_balancer(from, message));
    }

    /// Refutes a suspicion of this process by raising its member version above the suspected
    /// version.
    fn refute_if_suspected(
        &mut self,
        now: Millis,
        (known_version, is_suspect): (MemberVersion, bool),
    ) {
        if !is_suspect || known_version < self.version {
            return;
        }
        self.version = known_version.refuting_version();
        self.counters.refuted += 1;
        let update = self.own_member_update();
        self.gossip_queue.enqueue(now, update);
    }

    /// Applies the ack of a member to a probe sent at `sent_ms`.
    fn apply_ack(
        &mut self,
        now: Millis,
        sent_ms: Millis,
        scope: KeyScope,
        (id, version, is_leaving): (MemberId, MemberVersion, bool),
        out: &mut Vec<Output>,
    ) {
        let interval_ms = self.config.probe_interval_ms;
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        if member.scope != scope {
            return;
        }
        let was_verifying_suspicion = member.check.is_some_and(|it| it.suspicion.is_some());
        member.last_alive_ms = member.last_alive_ms.max(Some(sent_ms));
        let update = MemberUpdate {
            id,
            version,
            is_suspect: false,
            is_leaving,
            age_ms: Millis::new(0),
            balancer_info: None,
        };
        let outcome = apply_update(member, &update, now);
        if member.condition == Condition::Alive {
            member.check = None;
            member.next_step_ms = if member.is_watched {
                sent_ms.plus(interval_ms)
            } else {
                super::NEVER
            };
        }
        let must_publish = outcome == UpdateOutcome::StateChanged
            || (outcome == UpdateOutcome::VersionRaised && was_verifying_suspicion);
        if must_publish {
            self.publish_change(now, id, outcome, out);
        }
    }

    /// Queues a member's changed record for gossip, and outputs the change if the member's state
    /// changed.
    pub(super) fn publish_change(
        &mut self,
        now: Millis,
        id: MemberId,
        outcome: UpdateOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(member) = self.table.find(id) else {
            return;
        };
        let update = update_about(member, now);
        let (condition, output) = (member.condition, member_changed_output(member, now));
        self.gossip_queue.enqueue(now, update);
        if outcome != UpdateOutcome::StateChanged {
            return;
        }
        self.counters.recovered += u64::from(condition == Condition::Alive);
        self.is_watched_set_stale |= id.is_balancer();
        out.push(output);
    }

    fn send_requested_indirect_probe(
        &mut self,
        now: Millis,
        requester: SocketAddr,
        nonce: u32,
        target: MemberId,
        out: &mut Vec<Output>,
    ) {
        self.pending_indirect_probes
            .retain(|it| it.expires_ms > now);
        if self.pending_indirect_probes.len() >= INDIRECT_PROBES_MAX
            || !self.probe_budget.try_take(now, 1)
        {
            return;
        }
        let Some(probe) = self.make_probe(now, target) else {
            return;
        };
        out.push(probe);
        self.pending_indirect_probes.push(PendingIndirectProbe {
            target,
            requester,
            nonce,
            expires_ms: now.plus(INDIRECT_PROBE_TIMEOUT_MS),
        });
    }

    fn forward_ack_to_requesters(
        &mut self,
        now: Millis,
        target: MemberId,
        version: MemberVersion,
        out: &mut Vec<Output>,
    ) {
        let mut pending_indirect_probes = std::mem::take(&mut self.pending_indirect_probes);
        for it in pending_indirect_probes
            .iter()
            .filter(|it| it.target == target && it.expires_ms > now)
        {
            let kind = MessageKind::IndirectAck {
                nonce: it.nonce,
                target,
                version,
            };
            out.push(send_to_balancer(
                it.requester,
                self.build_message(kind, Vec::new()),
            ));
        }
        pending_indirect_probes.retain(|it| it.target != target);
        self.pending_indirect_probes = pending_indirect_probes;
    }

    fn merge_updates(
        &mut self,
        now: Millis,
        from: SocketAddr,
        sender: MemberId,
        updates: Vec<MemberUpdate>,
        out: &mut Vec<Output>,
    ) {
        let is_trusted_reporter = self.is_trusted_reporter(now, sender);
        for update in updates {
            self.merge_update(now, from, is_trusted_reporter, update, out);
        }
    }

    /// Returns whether suspicions that a balancer reports may be accepted without a failure check.
    ///
    /// A balancer that recently recovered is not trusted yet, as it may come from the other side of
    /// a partition.
    fn is_trusted_reporter(&self, now: Millis, sender: MemberId) -> bool {
        let Some(member) = self.table.find(sender) else {
            return true;
        };
        let alive_ms = member.recovered_ms.map(|it| now.since(it));
        let is_settled = alive_ms.is_none_or(|it| it >= self.config.sender_probation_ms);
        member.condition == Condition::Alive && is_settled
    }

    fn merge_update(
        &mut self,
        now: Millis,
        from: SocketAddr,
        is_trusted_reporter: bool,
        update: MemberUpdate,
        out: &mut Vec<Output>,
    ) {
        if update.id == self.local_id {
            self.refute_if_suspected(now, update.precedence());
            return;
        }
        let Some(member) = self.table.find_mut(update.id) else {
            self.add_balancer(now, update, out);
            return;
        };
        let held = (member.version, member.condition != Condition::Alive);
        if update.precedence() < held && update.is_suspect {
            self.send_correction(now, from, update.id, out);
            return;
        }
        if let Some(it) = update
            .balancer_info
            .as_ref()
            .filter(|_it| update.version >= member.version)
        {
            member.address = it.address;
            member.balancer_info = Some(it.clone());
        }
        let is_credible = is_trusted_reporter && self.is_credible_suspicion(now, &update);
        if update.is_suspect && update.precedence() > held && !is_credible {
            self.counters.reports_checked += 1;
            let suspected_ms = Millis::new(now.get().saturating_sub(update.age_ms.get()));
            let suspicion = Suspicion {
                version: update.version,
                suspected_ms,
            };
            self.start_failure_check(now, update.id, Some(suspicion));
            return;
        }
        let Some(member) = self.table.find_mut(update.id) else {
            return;
        };
        let outcome = apply_update(member, &update, now);
        if outcome != UpdateOutcome::Unchanged {
            self.publish_change(now, update.id, outcome, out);
        }
    }

    /// Returns whether a reported suspicion is recent and this process has no recent evidence
    /// against the suspicion.
    fn is_credible_suspicion(&self, now: Millis, update: &MemberUpdate) -> bool {
        let Some(member) = self.table.find(update.id) else {
            return false;
        };
        let silent_ms = member.silent_ms(now);
        let is_fresh = update.age_ms <= self.config.report_age_max_ms;
        is_fresh && silent_ms.is_none_or(|it| it >= self.config.corroborating_silence_ms)
    }

    /// Adds an unknown balancer to the member table if the update has its name and addresses.
    fn add_balancer(&mut self, now: Millis, update: MemberUpdate, out: &mut Vec<Output>) {
        let Some(balancer_info) = update.balancer_info else {
            return;
        };
        if update.is_suspect {
            return;
        }
        let mut member = Member::new(update.id, balancer_info.address, KeyScope::Fleet, now);
        member.balancer_info = Some(balancer_info);
        member.version = update.version;
        member.is_leaving = update.is_leaving;
        self.table.insert(member);
        self.publish_change(now, update.id, UpdateOutcome::StateChanged, out);
    }

    /// Sends a balancer the newer record of a member for which it reported an outdated suspicion.
    fn send_correction(
        &mut self,
        now: Millis,
        to: SocketAddr,
        id: MemberId,
        out: &mut Vec<Output>,
    ) {
        let Some(update) = self.table.find(id).map(|it| update_about(it, now)) else {
            return;
        };
        self.send_updates(now, to, vec![update], out);
    }
}

/// Returns the precedence of a member's record over updates about the member: the greater wins.
pub(super) fn member_precedence(member: &Member) -> (MemberVersion, bool) {
    (member.version, member.condition != Condition::Alive)
}

/// Returns the output that sends a message to a balancer.
pub(super) const fn send_to_balancer(to: SocketAddr, message: Message) -> Output {
    Output::Send {
        to,
        scope: KeyScope::Fleet,
        message,
    }
}
