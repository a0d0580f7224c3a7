//! What a balancer does with a datagram received.

use std::net::SocketAddr;

use units::Millis;

use super::{Members, Output, Relay, changed, claim_about};
use crate::{
    Condition, KeyScope, Member, MemberId, MemberUpdate, Message, MessageKind, Version,
    member::Reported,
    table::{Applied, apply},
};

/// Time for which a probe on behalf of another balancer is remembered.
const RELAY_MS: Millis = Millis::new(1_000);

/// Probes on behalf of others remembered at most.
const RELAYS_MAX: usize = 256;

impl Members {
    /// Takes a message that passed its key check.
    pub fn handle(
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
        self.note_received(now);
        match message.kind {
            MessageKind::Probe {
                nonce,
                target,
                known_version,
                is_suspect,
            } => {
                self.learn(now, from, sender, message.updates, out);
                if target == self.local_id {
                    self.answer(now, from, nonce, (known_version, is_suspect), out);
                }
            }
            MessageKind::Ack {
                nonce,
                version,
                is_leaving,
            } => {
                let Some(sent_ms) = self.sent_at(now, nonce) else {
                    return;
                };
                self.counters.acks += 1;
                self.relay_answer(now, sender, version, out);
                self.take_evidence(now, sent_ms, scope, (sender, version, is_leaving), out);
            }
            MessageKind::IndirectProbe { nonce, target } => {
                self.probe_for(now, from, nonce, target, out)
            }
            MessageKind::IndirectAck {
                nonce,
                target,
                version,
            } => {
                let Some(sent_ms) = self.sent_at(now, nonce) else {
                    return;
                };
                let scope = self.table.find(target).map(|it| it.scope);
                if let Some(scope) = scope {
                    self.take_evidence(now, sent_ms, scope, (target, version, false), out);
                }
            }
            MessageKind::Gossip => self.learn(now, from, sender, message.updates, out),
            MessageKind::Sync {
                salt,
                balancer_digests,
                exception_digests,
            } => {
                self.learn(now, from, sender, message.updates.clone(), out);
                self.answer_sync(
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

    fn answer(
        &mut self,
        now: Millis,
        from: SocketAddr,
        nonce: u32,
        known_version: (Version, bool),
        out: &mut Vec<Output>,
    ) {
        self.refute(now, known_version);
        let kind = MessageKind::Ack {
            nonce,
            version: self.version,
            is_leaving: self.is_leaving,
        };
        let message = self.message(kind, Vec::new());
        out.push(send(from, message));
    }

    /// Raises the own version above a suspicion.
    fn refute(&mut self, now: Millis, (known_version, is_suspect): (Version, bool)) {
        if !is_suspect || known_version < self.version {
            return;
        }
        self.version = known_version.refutation();
        self.counters.refuted += 1;
        let update = self.own_claim();
        self.rumors.add(now, update);
    }

    /// Takes an answer of a member to a probe sent at `sent_ms`.
    fn take_evidence(
        &mut self,
        now: Millis,
        sent_ms: Millis,
        scope: KeyScope,
        (id, version, is_leaving): (MemberId, Version, bool),
        out: &mut Vec<Output>,
    ) {
        let interval_ms = self.config.probe_interval_ms;
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        if member.scope != scope {
            return;
        }
        let was_reported = member.check.is_some_and(|it| it.reported.is_some());
        member.last_alive_ms = member.last_alive_ms.max(Some(sent_ms));
        let update = MemberUpdate {
            id,
            version,
            is_suspect: false,
            is_leaving,
            age_ms: Millis::new(0),
            balancer_info: None,
        };
        let applied = apply(member, &update, now);
        if member.condition == Condition::Alive {
            member.check = None;
            member.wake_ms = if member.is_watched {
                sent_ms.plus(interval_ms)
            } else {
                super::NEVER
            };
        }
        let is_news =
            applied == Applied::Condition || (applied == Applied::Version && was_reported);
        if is_news {
            self.announce(now, id, applied, out);
        }
    }

    /// Reports a changed member and passes the change on.
    pub(super) fn announce(
        &mut self,
        now: Millis,
        id: MemberId,
        applied: Applied,
        out: &mut Vec<Output>,
    ) {
        let Some(member) = self.table.find(id) else {
            return;
        };
        let update = claim_about(member, now);
        let (condition, output) = (member.condition, changed(member, now));
        self.rumors.add(now, update);
        if applied != Applied::Condition {
            return;
        }
        self.counters.recovered += u64::from(condition == Condition::Alive);
        self.is_watch_stale |= id.is_balancer();
        out.push(output);
    }

    fn probe_for(
        &mut self,
        now: Millis,
        asker: SocketAddr,
        nonce: u32,
        target: MemberId,
        out: &mut Vec<Output>,
    ) {
        self.relays.retain(|it| it.until_ms > now);
        if self.relays.len() >= RELAYS_MAX || !self.probe_budget.take(now, 1) {
            return;
        }
        let Some(probe) = self.probe(now, target) else {
            return;
        };
        out.push(probe);
        self.relays.push(Relay {
            target,
            asker,
            nonce,
            until_ms: now.plus(RELAY_MS),
        });
    }

    fn relay_answer(
        &mut self,
        now: Millis,
        target: MemberId,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        let mut relays = std::mem::take(&mut self.relays);
        for it in relays
            .iter()
            .filter(|it| it.target == target && it.until_ms > now)
        {
            let kind = MessageKind::IndirectAck {
                nonce: it.nonce,
                target,
                version,
            };
            out.push(send(it.asker, self.message(kind, Vec::new())));
        }
        relays.retain(|it| it.target != target);
        self.relays = relays;
    }

    fn learn(
        &mut self,
        now: Millis,
        from: SocketAddr,
        sender: MemberId,
        updates: Vec<MemberUpdate>,
        out: &mut Vec<Output>,
    ) {
        let is_trusted = self.is_trusted(now, sender);
        for update in updates {
            self.learn_one(now, from, is_trusted, update, out);
        }
    }

    /// A balancer back from silence is trusted in its suspicions only after a while: it may come
    /// from the other side of a partition.
    fn is_trusted(&self, now: Millis, sender: MemberId) -> bool {
        let Some(member) = self.table.find(sender) else {
            return true;
        };
        let alive_ms = member.revived_ms.map(|it| now.since(it));
        let is_settled = alive_ms.is_none_or(|it| it >= self.config.sender_probation_ms);
        member.condition == Condition::Alive && is_settled
    }

    fn learn_one(
        &mut self,
        now: Millis,
        from: SocketAddr,
        is_trusted: bool,
        update: MemberUpdate,
        out: &mut Vec<Output>,
    ) {
        if update.id == self.local_id {
            self.refute(now, update.precedence());
            return;
        }
        let Some(member) = self.table.find_mut(update.id) else {
            self.meet(now, update, out);
            return;
        };
        let held = (member.version, member.condition != Condition::Alive);
        if update.precedence() < held && update.is_suspect {
            self.correct(now, from, update.id, out);
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
        let is_believed = is_trusted && self.is_believed(now, &update);
        if update.is_suspect && update.precedence() > held && !is_believed {
            self.counters.reports_checked += 1;
            let made_ms = Millis::new(now.get().saturating_sub(update.age_ms.get()));
            let reported = Reported {
                version: update.version,
                made_ms,
            };
            self.verify(now, update.id, Some(reported));
            return;
        }
        let Some(member) = self.table.find_mut(update.id) else {
            return;
        };
        let applied = apply(member, &update, now);
        if applied != Applied::Nothing {
            self.announce(now, update.id, applied, out);
        }
    }

    /// A suspicion is believed if it is fresh and nothing was heard of the member meanwhile.
    fn is_believed(&self, now: Millis, update: &MemberUpdate) -> bool {
        let Some(member) = self.table.find(update.id) else {
            return false;
        };
        let silent_ms = member.silent_ms(now);
        let is_fresh = update.age_ms <= self.config.report_age_max_ms;
        is_fresh && silent_ms.is_none_or(|it| it >= self.config.corroborating_silence_ms)
    }

    /// Takes up a balancer that was not known.
    fn meet(&mut self, now: Millis, update: MemberUpdate, out: &mut Vec<Output>) {
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
        self.announce(now, update.id, Applied::Condition, out);
    }

    /// Tells a balancer that its suspicion is out of date.
    fn correct(&mut self, now: Millis, to: SocketAddr, id: MemberId, out: &mut Vec<Output>) {
        let Some(update) = self.table.find(id).map(|it| claim_about(it, now)) else {
            return;
        };
        self.send_claims(now, to, vec![update], out);
    }
}

/// Returns the order in which what is held of a member replaces updates.
pub(super) fn precedence(member: &Member) -> (Version, bool) {
    (member.version, member.condition != Condition::Alive)
}

/// Makes an output that sends a message between balancers.
pub(super) const fn send(to: SocketAddr, message: Message) -> Output {
    Output::Send {
        to,
        scope: KeyScope::Fleet,
        message,
    }
}
