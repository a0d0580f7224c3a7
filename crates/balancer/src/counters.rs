//! Counters of the datagram path.

use std::sync::atomic::{AtomicU64, Ordering};

use flow::{table::DropReason, tunnel::Reject};

/// What is counted besides drops and refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// Datagrams from callers.
    CallerDatagrams,
    /// Bytes from callers.
    CallerBytes,
    /// Datagrams of established flows sent to agents.
    Established,
    /// Datagrams that open flows sent to agents.
    Openings,
    /// Datagrams of agents sent to callers.
    Answers,
    /// Bytes sent to callers.
    AnswerBytes,
    /// Datagrams lost because a socket's send buffer was full.
    SendBlocked,
    /// Datagrams lost because the kernel refused to send them.
    SendFailed,
    /// Receive calls that failed.
    ReceiveFailed,
    /// Answers for an address that the sending agent's service doesn't have.
    ForeignAddress,
    /// Answers that named a newer bundle than this balancer has.
    NewerBundle,
    /// Datagrams from peers handed on.
    PeerReceived,
    /// Datagrams from peers dropped because nobody read them in time.
    PeerDropped,
    /// Datagrams sent to peers.
    PeerSent,
    /// Service addresses that could not be bound; tried again while a bundle has them.
    BindFailed,
    /// Echoes sent to agents that were silent.
    EchoAsked,
    /// Echoes that agents answered.
    EchoAnswered,
    /// Fresh sockets taken because a path was silent.
    PathRotated,
}

impl Counter {
    /// Every counter, in the order of `Ord`.
    pub const ALL: [Self; 18] = [
        Self::CallerDatagrams,
        Self::CallerBytes,
        Self::Established,
        Self::Openings,
        Self::Answers,
        Self::AnswerBytes,
        Self::SendBlocked,
        Self::SendFailed,
        Self::ReceiveFailed,
        Self::ForeignAddress,
        Self::NewerBundle,
        Self::PeerReceived,
        Self::PeerDropped,
        Self::PeerSent,
        Self::BindFailed,
        Self::EchoAsked,
        Self::EchoAnswered,
        Self::PathRotated,
    ];

    /// Returns the name used for metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::CallerDatagrams => "caller_datagrams",
            Self::CallerBytes => "caller_bytes",
            Self::Established => "established",
            Self::Openings => "openings",
            Self::Answers => "answers",
            Self::AnswerBytes => "answer_bytes",
            Self::SendBlocked => "send_blocked",
            Self::SendFailed => "send_failed",
            Self::ReceiveFailed => "receive_failed",
            Self::ForeignAddress => "foreign_address",
            Self::NewerBundle => "newer_bundle",
            Self::PeerReceived => "peer_received",
            Self::PeerDropped => "peer_dropped",
            Self::PeerSent => "peer_sent",
            Self::BindFailed => "bind_failed",
            Self::EchoAsked => "echo_asked",
            Self::EchoAnswered => "echo_answered",
            Self::PathRotated => "path_rotated",
        }
    }
}

/// Counters of the datagram path; they only grow, and wrap.
#[derive(Debug, Default)]
pub struct Counters {
    plain: [AtomicU64; Counter::ALL.len()],
    drops: [AtomicU64; DropReason::ALL.len()],
    rejects: [AtomicU64; Reject::ALL.len()],
}

impl Counters {
    /// Adds to a counter.
    pub fn add(&self, counter: Counter, count: u64) {
        self.plain[counter as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Counts a dropped datagram of a caller.
    pub fn count_drop(&self, reason: DropReason) {
        self.count_drops(reason, 1);
    }

    /// Counts dropped datagrams of a caller.
    pub fn count_drops(&self, reason: DropReason, count: u64) {
        self.drops[reason as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Counts a refused tunnel datagram.
    pub fn count_reject(&self, reject: Reject) {
        self.rejects[reject as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a counter's value.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.plain[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns how many datagrams of callers were dropped for a reason.
    #[must_use]
    pub fn drops(&self, reason: DropReason) -> u64 {
        self.drops[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns how many tunnel datagrams were refused for a reason.
    #[must_use]
    pub fn rejects(&self, reject: Reject) -> u64 {
        self.rejects[reject as usize].load(Ordering::Relaxed)
    }

    /// Returns every counter with its name: `drop_…` for callers' datagrams, `reject_…` for
    /// tunnel datagrams.
    #[must_use]
    pub fn list(&self) -> Vec<(String, u64)> {
        let plain = Counter::ALL.map(|it| (it.name().to_owned(), self.get(it)));
        let drops = DropReason::ALL.map(|it| (format!("drop_{}", it.name()), self.drops(it)));
        let rejects = Reject::ALL.map(|it| (format!("reject_{}", it.name()), self.rejects(it)));
        plain.into_iter().chain(drops).chain(rejects).collect()
    }
}
