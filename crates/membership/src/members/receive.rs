//! What a balancer does with a datagram received.

use std::net::SocketAddr;

use units::Millis;

use super::{Members, Output, Relay, changed, claim_about};
use crate::{
    Claim, Condition, Kind, Member, MemberId, Message, Scope, Version,
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
        scope: Scope,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let sender = message.sender;
        if sender == self.me {
            return;
        }
        self.note_received(now);
        match message.kind {
            Kind::Probe {
                nonce,
                target,
                seen,
                is_suspect,
            } => {
                self.learn(now, from, sender, message.claims, out);
                if target == self.me {
                    self.answer(now, from, nonce, (seen, is_suspect), out);
                }
            }
            Kind::Ack {
                nonce,
                version,
                is_leaving,
            } => {
                let Some(sent_ms) = self.sent_at(now, nonce) else {
                    return;
                };
                self.counters.answers += 1;
                self.relay_answer(now, sender, version, out);
                self.take_evidence(now, sent_ms, scope, (sender, version, is_leaving), out);
            }
            Kind::ProbeFor { nonce, target } => self.probe_for(now, from, nonce, target, out),
            Kind::AckFor {
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
            Kind::Gossip => self.learn(now, from, sender, message.claims, out),
            Kind::Sync {
                salt,
                known,
                digest,
            } => {
                self.learn(now, from, sender, message.claims.clone(), out);
                self.answer_sync(now, from, salt, (known, digest), &message.claims, out);
            }
        }
    }

    fn answer(
        &mut self,
        now: Millis,
        from: SocketAddr,
        nonce: u32,
        seen: (Version, bool),
        out: &mut Vec<Output>,
    ) {
        self.refute(now, seen);
        let kind = Kind::Ack {
            nonce,
            version: self.version,
            is_leaving: self.is_leaving,
        };
        let message = self.message(kind, Vec::new());
        out.push(send(from, message));
    }

    /// Raises the own version above a suspicion.
    fn refute(&mut self, now: Millis, (seen, is_suspect): (Version, bool)) {
        if !is_suspect || seen < self.version {
            return;
        }
        self.version = seen.refuted();
        self.counters.refuted += 1;
        let claim = self.own_claim();
        self.rumors.add(now, claim);
    }

    /// Takes an answer of a member to a probe sent at `sent_ms`.
    fn take_evidence(
        &mut self,
        now: Millis,
        sent_ms: Millis,
        scope: Scope,
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
        member.heard_ms = member.heard_ms.max(Some(sent_ms));
        let claim = Claim {
            id,
            version,
            is_suspect: false,
            is_leaving,
            age_ms: Millis::new(0),
            introduction: None,
        };
        let applied = apply(member, &claim, now);
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
        let claim = claim_about(member, now);
        let (condition, output) = (member.condition, changed(member, now));
        self.rumors.add(now, claim);
        if applied != Applied::Condition {
            return;
        }
        self.counters.revived += u64::from(condition == Condition::Alive);
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
            let kind = Kind::AckFor {
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
        claims: Vec<Claim>,
        out: &mut Vec<Output>,
    ) {
        let is_trusted = self.is_trusted(now, sender);
        for claim in claims {
            self.learn_one(now, from, is_trusted, claim, out);
        }
    }

    /// A balancer back from silence is trusted in its suspicions only after a while: it may come
    /// from the other side of a partition.
    fn is_trusted(&self, now: Millis, sender: MemberId) -> bool {
        let Some(member) = self.table.find(sender) else {
            return true;
        };
        let alive_ms = member.revived_ms.map(|it| now.since(it));
        let is_settled = alive_ms.is_none_or(|it| it >= self.config.sender_settled_ms);
        member.condition == Condition::Alive && is_settled
    }

    fn learn_one(
        &mut self,
        now: Millis,
        from: SocketAddr,
        is_trusted: bool,
        claim: Claim,
        out: &mut Vec<Output>,
    ) {
        if claim.id == self.me {
            self.refute(now, claim.rank());
            return;
        }
        let Some(member) = self.table.find_mut(claim.id) else {
            self.meet(now, claim, out);
            return;
        };
        let held = (member.version, member.condition != Condition::Alive);
        if claim.rank() < held && claim.is_suspect {
            self.correct(now, from, claim.id, out);
            return;
        }
        if let Some(it) = claim
            .introduction
            .as_ref()
            .filter(|_it| claim.version >= member.version)
        {
            member.address = it.address;
            member.introduction = Some(it.clone());
        }
        let is_believed = is_trusted && self.is_believed(now, &claim);
        if claim.is_suspect && claim.rank() > held && !is_believed {
            self.counters.doubted += 1;
            let made_ms = Millis::new(now.get().saturating_sub(claim.age_ms.get()));
            let reported = Reported {
                version: claim.version,
                made_ms,
            };
            self.verify(now, claim.id, Some(reported));
            return;
        }
        let Some(member) = self.table.find_mut(claim.id) else {
            return;
        };
        let applied = apply(member, &claim, now);
        if applied != Applied::Nothing {
            self.announce(now, claim.id, applied, out);
        }
    }

    /// A suspicion is believed if it is fresh and nothing was heard of the member meanwhile.
    fn is_believed(&self, now: Millis, claim: &Claim) -> bool {
        let Some(member) = self.table.find(claim.id) else {
            return false;
        };
        let silent_ms = member.silent_ms(now);
        let is_fresh = claim.age_ms <= self.config.claim_age_max_ms;
        is_fresh && silent_ms.is_none_or(|it| it >= self.config.believed_silence_ms)
    }

    /// Takes up a balancer that was not known.
    fn meet(&mut self, now: Millis, claim: Claim, out: &mut Vec<Output>) {
        let Some(introduction) = claim.introduction else {
            return;
        };
        if claim.is_suspect {
            return;
        }
        let mut member = Member::new(claim.id, introduction.address, Scope::Fleet, now);
        member.introduction = Some(introduction);
        member.version = claim.version;
        member.is_leaving = claim.is_leaving;
        self.table.insert(member);
        self.announce(now, claim.id, Applied::Condition, out);
    }

    /// Tells a balancer that its suspicion is out of date.
    fn correct(&mut self, now: Millis, to: SocketAddr, id: MemberId, out: &mut Vec<Output>) {
        let Some(claim) = self.table.find(id).map(|it| claim_about(it, now)) else {
            return;
        };
        self.send_claims(now, to, vec![claim], out);
    }
}

/// Returns the order in which what is held of a member replaces claims.
pub(super) fn rank(member: &Member) -> (Version, bool) {
    (member.version, member.condition != Condition::Alive)
}

/// Makes an output that sends a message between balancers.
pub(super) const fn send(to: SocketAddr, message: Message) -> Output {
    Output::Send {
        to,
        scope: Scope::Fleet,
        message,
    }
}
