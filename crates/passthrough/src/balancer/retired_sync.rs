//! Learns the recently retired endpoints from other balancers after the start.
//!
//! The store keeps no record of endpoints that left it, but they may still hold flows. A balancer that
//! starts asks every other one that it hears of, and counts as told once one of them has answered
//! that runs for longer, and all that the answer announced has arrived.

use std::net::Ipv4Addr;

use units::{Millis, Revision};

use super::{Balancer, catalog_sync::DigestPurpose};
use crate::{
    DropReason, Outbox, PacketFormat,
    catalog_transfer::{RetiredList, write_retired_messages},
    message::{Digest, DigestRequest},
};

/// Time after which an unanswered question is asked again.
///
/// Another balancer answers a few milliseconds after it was asked.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(60);

/// Number of questions after which a balancer that was never heard counts as down.
const ATTEMPTS_MAX: u8 = 4;

/// Time since the settings came into force in which agents name other balancers, which can then be
/// asked.
const DISCOVERY_TIME_MS: Millis = Millis::new(60);

/// Time after startup from which a balancer no longer waits for answers.
const SYNC_TIMEOUT_MS: Millis = Millis::new(1_300);

/// What another balancer has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    /// It was not heard yet.
    None,
    /// It started lately, too, and knows no more retired endpoints.
    Starting,
    /// It runs for longer, but has not told its retired endpoints.
    Established,
}

/// A question to another balancer for its retired endpoints.
#[derive(Debug, Clone, Copy)]
struct Question {
    peer: Ipv4Addr,
    asked_at: Millis,
    attempts: u8,
    /// Number of retired endpoints received from the balancer since it was last asked.
    received: usize,
    answer: Answer,
}

impl Question {
    const fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.asked_at).get() >= ANSWER_TIMEOUT_MS.get()
    }

    /// Returns whether the question is asked again.
    const fn is_repeated(&self, now: Millis) -> bool {
        let is_open = match self.answer {
            Answer::None => self.attempts < ATTEMPTS_MAX,
            Answer::Starting => false,
            Answer::Established => true,
        };
        is_open && self.is_overdue(now)
    }

    /// Returns whether the balancer can't tell any retired endpoints.
    const fn is_settled(&self, now: Millis) -> bool {
        match self.answer {
            Answer::None => self.attempts >= ATTEMPTS_MAX && self.is_overdue(now),
            Answer::Starting => true,
            Answer::Established => false,
        }
    }
}

/// The questions to other balancers and their answers.
#[derive(Debug, Default)]
pub(super) struct RetiredSync {
    is_told: bool,
    /// Questions, sorted by the address of the balancer that was asked.
    questions: Vec<Question>,
}

impl RetiredSync {
    fn question_mut(&mut self, peer: Ipv4Addr) -> Option<&mut Question> {
        let idx = self.questions.binary_search_by_key(&peer, |it| it.peer);
        idx.ok().map(|it| &mut self.questions[it])
    }

    /// Records that a balancer is asked.
    fn record_question(&mut self, now: Millis, peer: Ipv4Addr) {
        match self.questions.binary_search_by_key(&peer, |it| it.peer) {
            Ok(idx) => {
                let question = &mut self.questions[idx];
                question.asked_at = now;
                question.attempts = question.attempts.saturating_add(1);
                question.received = 0;
            }
            Err(idx) => self.questions.insert(
                idx,
                Question {
                    peer,
                    asked_at: now,
                    attempts: 1,
                    received: 0,
                    answer: Answer::None,
                },
            ),
        }
    }

    /// Records a digest of another balancer.
    ///
    /// A balancer with an older list than `revision`, the own one's, doesn't know yet which endpoints
    /// have left since, or are missing in a later era of the store.
    fn record_digest(&mut self, peer: Ipv4Addr, digest: &Digest<'_>, revision: Revision) {
        let Some(question) = self.question_mut(peer) else {
            return;
        };
        if digest.is_starting {
            question.answer = Answer::Starting;
            return;
        }
        question.answer = Answer::Established;
        let received = question.received;
        self.is_told |= digest.revision >= revision.get()
            && digest
                .retired_told
                .is_some_and(|it| usize::from(it) <= received);
    }

    /// Returns whether nobody is left who could tell a retired endpoint.
    fn has_no_source(&self, now: Millis) -> bool {
        let was_any_heard = self.questions.iter().any(|it| it.answer != Answer::None);
        let is_alone = self.questions.is_empty();
        (is_alone || was_any_heard) && self.questions.iter().all(|it| it.is_settled(now))
    }
}

impl<F: PacketFormat> Balancer<F> {
    /// Returns whether this balancer knows the retired endpoints that may still hold flows.
    ///
    /// Until then, an endpoint that holds a flow may be unknown to it.
    pub(super) fn knows_retired_endpoints(&self, now: Millis) -> bool {
        if self.retired_sync.is_told || now.since(self.started) >= SYNC_TIMEOUT_MS {
            return true;
        }
        let has_discovered = self
            .former_target_sync
            .settings_since
            .is_some_and(|it| now.since(it) >= DISCOVERY_TIME_MS);
        has_discovered && self.retired_sync.has_no_source(now)
    }

    /// Returns whether this balancer still asks others for their retired endpoints.
    pub(super) fn wants_retired_endpoints(&self, now: Millis) -> bool {
        !self.retired_sync.is_told && now.since(self.started) < SYNC_TIMEOUT_MS
    }

    /// Asks the balancers that were not asked yet, or whose answers are overdue.
    pub(super) fn ask_for_retired_endpoints(&mut self, now: Millis, out: &mut impl Outbox) {
        if !self.wants_retired_endpoints(now) {
            return;
        }
        for peer in self.peers.peer_addresses() {
            let is_due = self
                .retired_sync
                .question_mut(peer)
                .is_none_or(|it| it.is_repeated(now));
            if is_due {
                self.send_digest(now, peer, DigestPurpose::Regular, out);
            }
        }
    }

    /// Records that a digest, which asks for retired endpoints, is sent to another balancer.
    pub(super) fn record_question(&mut self, now: Millis, peer: Ipv4Addr) {
        if self.wants_retired_endpoints(now) {
            self.retired_sync.record_question(now, peer);
        }
    }

    /// Returns the time at which the next unanswered question is repeated.
    pub(super) fn next_question_at(&self) -> Option<Millis> {
        if self.retired_sync.is_told {
            return None;
        }
        let end = self.started.plus(SYNC_TIMEOUT_MS);
        let questions = self.retired_sync.questions.iter();
        questions
            .filter(|it| match it.answer {
                Answer::None => it.attempts < ATTEMPTS_MAX,
                Answer::Starting => false,
                Answer::Established => true,
            })
            .map(|it| it.asked_at.plus(ANSWER_TIMEOUT_MS))
            .filter(|it| *it < end)
            .min()
    }

    /// Handles what a digest of another balancer tells and asks about retired endpoints. Returns
    /// whether it was answered.
    pub(super) fn sync_retired_endpoints(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        digest: &Digest<'_>,
        out: &mut impl Outbox,
    ) -> bool {
        let revision = self.view.catalog().revision;
        self.retired_sync.record_digest(peer, digest, revision);
        self.ask_for_retired_endpoints(now, out);
        if !digest.wants_retired || digest.request != DigestRequest::Answer {
            return false;
        }
        let count = self.send_retired_endpoints(now, peer, out);
        self.send_digest(now, peer, DigestPurpose::RetiredTold(count), out);
        true
    }

    /// Tells another balancer the endpoints that left the list and the entries that are held back,
    /// and returns the number of endpoints.
    pub(super) fn send_retired_endpoints(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        out: &mut impl Outbox,
    ) -> u16 {
        let mut endpoints = self.view.retired_endpoints().to_vec();
        endpoints.extend(self.view.held_back_endpoints());
        let zones = self.view.held_back_zones();
        write_retired_messages(now, &endpoints, zones, &mut self.scratch, |list| {
            out.send_to_peer(peer, list);
        });
        u16::try_from(endpoints.len()).unwrap_or(u16::MAX)
    }

    pub(super) fn on_retired_list(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        list: &[u8],
        out: &mut impl Outbox,
    ) {
        let Ok(list) = postcard::from_bytes::<RetiredList>(list) else {
            return self.drop_packet(DropReason::Malformed, out);
        };
        if let Some(question) = self.retired_sync.question_mut(peer) {
            question.received += list.endpoints.len();
        }
        let is_held = self.view.hold_told_entries(now, &list);
        if self.view.add_retired_endpoints(now, &list.endpoints) || is_held {
            self.agents.update_endpoints(now, &self.view);
            self.lookups
                .schedule_outdated_retries(now, self.view.endpoint_generation());
            self.send_state_change_notices(now, out);
        }
    }
}
