//! Learns the recently retired endpoints from other balancers after the start.
//!
//! The store keeps no record of endpoints that left it, but they may still hold flows. A balancer that
//! starts asks others, and counts as told once one of them has answered that runs for longer, and all
//! that the answer announced has arrived.
//!
//! The first question to a balancer is its introduction: the answer tells how long the other one runs
//! for, and lists its retired endpoints only if they fit one message. Longer lists are asked for with
//! a second question, of which few are open at a time, and are sent at the pace of catalog transfers.
//! While a balancer is known that runs for longer, no further ones are asked. If none of the first few
//! does, all are asked at once, since callers of dead flows wait until it is known that nobody does.

use std::net::Ipv4Addr;

use units::{Millis, Revision};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Balancer, catalog_sync::DigestPurpose};
use crate::{
    DropReason, Endpoint, EndpointKey, Outbox, PacketFormat, ZoneKey,
    catalog_transfer::{RETIRED_PER_MESSAGE, RetiredList, write_retired_message},
    message::{Digest, DigestRequest},
};

/// Time after which an unanswered question is asked again.
///
/// Another balancer answers a few milliseconds after it was asked.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(60);

/// Number of balancers that are asked at first.
const FIRST_INTRODUCTIONS_MAX: usize = 16;

/// Time after the first questions until all other balancers are asked, if none that runs for longer has
/// answered. It is shorter than `DISCOVERY_TIME_MS`, and so delays no verdict.
const FIRST_ANSWERS_MS: Millis = Millis::new(10);

/// Number of introductions after which a balancer that was never heard counts as down.
const ATTEMPTS_MAX: u8 = 4;

/// Maximum number of lists of retired endpoints that are asked for at the same time. With two, a
/// balancer that doesn't answer delays nothing.
const OPEN_LISTS_MAX: usize = 2;

/// Number of unanswered requests for its list after which a balancer counts as lost.
const LIST_REQUESTS_MAX: u8 = 2;

/// Time since the settings came into force in which agents name other balancers, which can then be
/// asked.
const DISCOVERY_TIME_MS: Millis = Millis::new(60);

/// Time after startup from which a balancer no longer waits for answers.
const SYNC_TIMEOUT_MS: Millis = Millis::new(1_300);

/// Size of a datagram with a full list of retired endpoints, in bytes.
const RETIRED_MESSAGE_MAX_BYTES: u64 = 1_472;

/// What another balancer has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    /// It runs for longer, but has not told its retired endpoints.
    Established,
    /// It started lately, but was told retired endpoints that it has not told this balancer.
    StartingAndTold,
    /// It started lately, too, and knows no more retired endpoints.
    Starting,
    /// It was not heard yet.
    None,
}

/// The questions to another balancer for its retired endpoints.
#[derive(Debug, Clone)]
struct Question {
    peer: Ipv4Addr,
    /// Whether the balancer is in this balancer's availability zone.
    is_near: bool,
    asked_at: Millis,
    attempts: u8,
    answer: Answer,
    /// Number of requests for the list.
    list_requests: u8,
    /// Time of the latest open request for the list or of the latest message with a part of it.
    list_open_since: Option<Millis>,
    /// Keys of the retired endpoints received from the balancer since it was last asked, sorted.
    received: Vec<EndpointKey>,
    /// Number of retired endpoints that the balancer announced since it was last asked.
    announced: Option<u16>,
}

impl Question {
    const fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.asked_at).get() >= ANSWER_TIMEOUT_MS.get()
    }

    /// Returns whether the balancer is asked again who it is.
    const fn is_repeated(&self, now: Millis) -> bool {
        matches!(self.answer, Answer::None) && self.attempts < ATTEMPTS_MAX && self.is_overdue(now)
    }

    /// Returns whether the balancer can't tell any retired endpoints.
    const fn is_settled(&self, now: Millis) -> bool {
        match self.answer {
            Answer::None => self.attempts >= ATTEMPTS_MAX && self.is_overdue(now),
            Answer::Starting => true,
            Answer::StartingAndTold => {
                self.list_requests >= LIST_REQUESTS_MAX && !self.is_list_open(now)
            }
            Answer::Established => false,
        }
    }

    /// Returns whether the balancer may have a list that was not told.
    const fn is_source(&self) -> bool {
        matches!(self.answer, Answer::Established | Answer::StartingAndTold)
    }

    /// Returns the time at which a list that was asked for counts as lost.
    fn list_deadline(&self) -> Option<Millis> {
        self.list_open_since.map(|it| it.plus(ANSWER_TIMEOUT_MS))
    }

    const fn is_list_open(&self, now: Millis) -> bool {
        match self.list_open_since {
            Some(since) => now.since(since).get() < ANSWER_TIMEOUT_MS.get(),
            None => false,
        }
    }

    fn forget_answer(&mut self) {
        self.received.clear();
        self.announced = None;
    }

    /// Returns whether all that the balancer announced has arrived.
    fn is_complete(&self) -> bool {
        self.announced
            .is_some_and(|it| usize::from(it) <= self.received.len())
    }
}

/// The questions to other balancers and their answers.
#[derive(Debug, Default)]
pub(super) struct RetiredSync {
    is_told: bool,
    first_introduction: Option<Millis>,
    /// Whether others are asked if none of the first balancers has answered that runs for longer.
    awaits_first_answers: bool,
    /// Questions, sorted by the address of the balancer that was asked.
    questions: Vec<Question>,
}

impl RetiredSync {
    fn question_mut(&mut self, peer: Ipv4Addr) -> Option<&mut Question> {
        let idx = self.questions.binary_search_by_key(&peer, |it| it.peer);
        idx.ok().map(|it| &mut self.questions[it])
    }

    /// Ends the questions, after which this balancer counts as told.
    fn finish(&mut self) {
        *self = Self {
            is_told: true,
            ..Self::default()
        };
    }

    /// Records that a balancer is asked who it is.
    fn record_question(&mut self, now: Millis, peer: Ipv4Addr) {
        let asked_at = self.introduction_time(now);
        match self.questions.binary_search_by_key(&peer, |it| it.peer) {
            Ok(idx) => {
                let question = &mut self.questions[idx];
                question.asked_at = asked_at;
                question.attempts = question.attempts.saturating_add(1);
                if !question.is_list_open(now) {
                    question.forget_answer();
                }
            }
            Err(idx) => self.questions.insert(
                idx,
                Question {
                    peer,
                    is_near: false,
                    asked_at,
                    attempts: 1,
                    answer: Answer::None,
                    list_requests: 0,
                    list_open_since: None,
                    received: Vec::new(),
                    announced: None,
                },
            ),
        }
    }

    /// Records a digest of another balancer.
    ///
    /// A balancer that runs for longer but has an older list than `revision`, the own one's, doesn't
    /// know yet which endpoints have left since, or are missing in a later era of the store.
    fn record_digest(
        &mut self,
        peer: Ipv4Addr,
        digest: &Digest<'_>,
        zone: ZoneKey,
        revision: Revision,
    ) {
        let Some(question) = self.question_mut(peer) else {
            return;
        };
        question.is_near = digest.status.zone == zone;
        let is_recent = digest.is_starting || digest.revision >= revision.get();
        question.announced = digest
            .retired_told
            .filter(|_| is_recent)
            .or(question.announced);
        question.answer = if !digest.is_starting {
            Answer::Established
        } else if digest.wants_retired
            || digest.retired_told.is_some()
            || question.answer == Answer::Starting
        {
            Answer::Starting
        } else {
            Answer::StartingAndTold
        };
        self.check_answer(peer);
    }

    /// Records retired endpoints that another balancer told.
    fn record_list(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        keys: impl Iterator<Item = EndpointKey>,
    ) {
        let Some(question) = self.question_mut(peer) else {
            return;
        };
        for key in keys {
            if let Err(idx) = question.received.binary_search(&key) {
                question.received.insert(idx, key);
            }
        }
        if question.list_open_since.is_some() {
            question.list_open_since = Some(now);
        }
        self.check_answer(peer);
    }

    /// Counts this balancer as told if the answer of a balancer that runs for longer is complete.
    fn check_answer(&mut self, peer: Ipv4Addr) {
        let Some(question) = self.question_mut(peer) else {
            return;
        };
        if !question.is_complete() {
            return;
        }
        question.list_open_since = None;
        let is_established = question.answer == Answer::Established;
        if !is_established {
            question.answer = Answer::Starting;
        }
        self.is_told |= is_established;
    }

    /// Chooses the balancer that is asked for its list next, unless enough lists are open: one that
    /// runs for longer, and of these one that was asked less often, and of these a near one.
    fn next_source(&mut self, now: Millis) -> Option<Ipv4Addr> {
        let open = self.questions.iter().filter(|it| it.is_list_open(now));
        if open.count() >= OPEN_LISTS_MAX {
            return None;
        }
        let source = self
            .questions
            .iter_mut()
            .filter(|it| it.is_source() && !it.is_list_open(now) && !it.is_settled(now))
            .min_by_key(|it| (it.answer, it.list_requests, !it.is_near, it.peer))?;
        source.list_requests = source.list_requests.saturating_add(1);
        source.list_open_since = Some(now);
        source.forget_answer();
        Some(source.peer)
    }

    /// Returns whether a balancer that runs for longer is known and not known to be lost.
    fn has_established_source(&self) -> bool {
        self.questions
            .iter()
            .any(|it| it.answer == Answer::Established && it.list_requests <= LIST_REQUESTS_MAX)
    }

    /// Returns the time at which a balancer is asked who it is. Those that are asked a moment later
    /// than the first ones don't count as down later.
    fn introduction_time(&mut self, now: Millis) -> Millis {
        let first = *self.first_introduction.get_or_insert(now);
        if now.since(first) <= FIRST_ANSWERS_MS {
            return first;
        }
        now
    }

    /// Returns how many balancers that were not asked yet may be asked.
    fn introductions_left(&self, now: Millis) -> usize {
        match self.first_introduction {
            Some(first) if now.since(first) >= FIRST_ANSWERS_MS => usize::MAX,
            _ => FIRST_INTRODUCTIONS_MAX.saturating_sub(self.questions.len()),
        }
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
    /// Until then, an endpoint that holds a flow may be unknown to it. It doesn't if more were told than
    /// it keeps, until those can't hold flows any more.
    pub(super) fn knows_retired_endpoints(&self, now: Millis) -> bool {
        if !self.view.knows_all_retired() {
            return false;
        }
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

    /// Asks other balancers, as far as answers are missing or overdue.
    pub(super) fn ask_for_retired_endpoints(&mut self, now: Millis, out: &mut impl Outbox) {
        if !self.wants_retired_endpoints(now) {
            self.retired_sync.finish();
            return;
        }
        while let Some(peer) = self.retired_sync.next_source(now) {
            self.send_digest(now, peer, DigestPurpose::RetiredRequest, out);
        }
        if self.retired_sync.has_established_source() {
            return;
        }
        let (mut new, mut repeated) = (Vec::new(), Vec::new());
        for peer in self.peers.peer_addresses() {
            match self.retired_sync.question_mut(peer) {
                None => new.push(peer),
                Some(question) if question.is_repeated(now) => repeated.push(peer),
                Some(_) => {}
            }
        }
        // Balancers that start together choose different ones, near ones first.
        let seed = xxh3_64(&self.config.address.octets());
        let zone = self.config.zone;
        new.sort_unstable_by_key(|it| {
            let draw = xxh3_64_with_seed(&it.octets(), seed);
            (!self.peers.is_in_zone(*it, zone), draw)
        });
        let left = self.retired_sync.introductions_left(now);
        self.retired_sync.awaits_first_answers = left < new.len();
        new.truncate(left);
        for peer in new.into_iter().chain(repeated) {
            self.send_digest(now, peer, DigestPurpose::Introduction, out);
        }
    }

    /// Records that a digest, which introduces this balancer, is sent to another one.
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
        let lists = questions.clone().filter_map(Question::list_deadline);
        let has_source = self.retired_sync.has_established_source();
        let introductions = questions
            .filter(|it| !has_source && it.answer == Answer::None && it.attempts < ATTEMPTS_MAX)
            .map(|it| it.asked_at.plus(ANSWER_TIMEOUT_MS));
        let awaits_more = !has_source && self.retired_sync.awaits_first_answers;
        let first = self.retired_sync.first_introduction;
        let further = first
            .filter(|_| awaits_more)
            .map(|it| it.plus(FIRST_ANSWERS_MS));
        let deadlines = lists.chain(introductions).chain(further);
        deadlines.filter(|it| *it < end).min()
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
        self.retired_sync
            .record_digest(peer, digest, self.config.zone, revision);
        self.ask_for_retired_endpoints(now, out);
        if digest.request == DigestRequest::Retired {
            self.tell_retired_endpoints(now, peer, out);
            return true;
        }
        if !digest.wants_retired || digest.request != DigestRequest::Answer {
            return false;
        }
        let endpoints = self.endpoints_to_tell();
        if endpoints.len() > RETIRED_PER_MESSAGE {
            self.send_digest(now, peer, DigestPurpose::Reply, out);
            return true;
        }
        let count = u16::try_from(endpoints.len()).unwrap_or(u16::MAX);
        self.send_held_zones(now, peer, out);
        if write_retired_message(now, &endpoints, &[], &mut self.scratch) {
            out.send_to_peer(peer, &self.scratch);
        }
        self.send_digest(now, peer, DigestPurpose::RetiredTold(count), out);
        true
    }

    /// Returns the endpoints that left the list, and those whose entries are held back.
    fn endpoints_to_tell(&self) -> Vec<Endpoint> {
        let mut endpoints = self.view.retired_endpoints().to_vec();
        endpoints.extend(self.view.held_back_endpoints());
        endpoints
    }

    /// Queues the list of endpoints that left the list, with the entries that are held back, for
    /// another balancer.
    pub(super) fn tell_retired_endpoints(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        out: &mut impl Outbox,
    ) {
        self.send_held_zones(now, peer, out);
        let endpoints = self.endpoints_to_tell();
        self.retired_answers.push_answer(peer, &endpoints);
        self.send_retired_answers(now, out);
    }

    /// Tells another balancer the zones that stay evacuated after the store came back from an older
    /// copy.
    fn send_held_zones(&mut self, now: Millis, peer: Ipv4Addr, out: &mut impl Outbox) {
        for zones in self.view.held_back_zones().chunks(RETIRED_PER_MESSAGE) {
            if write_retired_message(now, &[], zones, &mut self.scratch) {
                out.send_to_peer(peer, &self.scratch);
            }
        }
    }

    /// Sends the parts of lists for which the link has capacity.
    pub(super) fn send_retired_answers(&mut self, now: Millis, out: &mut impl Outbox) {
        while let Some(part) = self.retired_answers.next_part() {
            if !self.transfers.take_credit(now, RETIRED_MESSAGE_MAX_BYTES) {
                return;
            }
            let peer = part.peer;
            if write_retired_message(now, part.endpoints, &[], &mut self.scratch) {
                out.send_to_peer(peer, &self.scratch);
            }
            if let Some(count) = self.retired_answers.advance() {
                self.send_digest(now, peer, DigestPurpose::RetiredTold(count), out);
            }
        }
    }

    /// Returns the time at which further parts of lists may be sent, or `None` if all were sent.
    pub(super) fn next_retired_answer_at(&self) -> Option<Millis> {
        let _part = self.retired_answers.next_part()?;
        Some(self.transfers.next_credit_at(RETIRED_MESSAGE_MAX_BYTES))
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
        let keys = list.endpoints.iter().map(|it| it.0.key);
        self.retired_sync.record_list(now, peer, keys);
        let is_held = self.view.hold_told_entries(now, &list);
        if self.view.add_retired_endpoints(now, &list.endpoints) || is_held {
            self.agents.update_endpoints(now, &self.view);
            self.lookups
                .schedule_outdated_retries(now, self.view.endpoint_generation());
            self.send_state_change_notices(now, out);
        }
    }
}
