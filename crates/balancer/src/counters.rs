//! Counters of the datagram path.

use std::sync::atomic::{AtomicU64, Ordering};

use flow::{table::DropReason, tunnel::Reject};

/// A counter of the datagram path other than those for drops and rejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// Datagrams received from callers.
    CallerDatagrams,
    /// Bytes received from callers.
    CallerBytes,
    /// Datagrams of established flows sent to agents.
    Established,
    /// Datagrams that open flows, sent to agents.
    Openings,
    /// Datagrams from agents forwarded to callers.
    Answers,
    /// Bytes from agents forwarded to callers.
    AnswerBytes,
    /// Datagrams lost because a socket's send buffer was full.
    SendBlocked,
    /// Datagrams lost because the send call failed for another reason.
    SendFailed,
    /// Receive calls that failed.
    ReceiveFailed,
    /// Datagrams from agents that name a service address of another service or of none.
    ForeignAddress,
    /// Datagrams from agents whose bundle in force is newer than this balancer's.
    NewerBundle,
    /// Peer datagrams queued for their reader.
    PeerReceived,
    /// Peer datagrams dropped because their reader's queue was full.
    PeerDropped,
    /// Peer datagrams sent to balancers and agents.
    PeerSent,
    /// Failed attempts to bind a service address, which are retried while a bundle has the address.
    BindFailed,
    /// Echo requests sent to agents whose path was quiet.
    EchoAsked,
    /// Echo replies received from agents.
    EchoAnswered,
    /// Tunnel sockets replaced because the path to an agent was silent.
    PathRotated,
}

impl Counter {
    /// All of these counters in the order of `Ord`.
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

    /// Returns the counter's name in metrics.
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

/// The counters of the datagram path, which only increase until they wrap around.
#[derive(Debug, Default)]
pub struct Counters {
    values: [AtomicU64; Counter::ALL.len()],
    drops: [AtomicU64; DropReason::ALL.len()],
    rejects: [AtomicU64; Reject::ALL.len()],
}

impl Counters {
    /// Adds `count` to a counter.
    pub fn add(&self, counter: Counter, count: u64) {
        self.values[counter as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Counts one dropped datagram from a caller under the drop reason.
    pub fn count_drop(&self, reason: DropReason) {
        self.count_drops(reason, 1);
    }

    /// Counts `count` dropped datagrams from callers under the drop reason.
    pub fn count_drops(&self, reason: DropReason, count: u64) {
        self.drops[reason as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Counts one rejected tunnel datagram under the rejection reason.
    pub fn count_reject(&self, reject: Reject) {
        self.rejects[reject as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a counter's value.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams from callers dropped for a reason.
    #[must_use]
    pub fn drop_count(&self, reason: DropReason) -> u64 {
        self.drops[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of tunnel datagrams rejected for a reason.
    #[must_use]
    pub fn reject_count(&self, reject: Reject) -> u64 {
        self.rejects[reject as usize].load(Ordering::Relaxed)
    }

    /// Returns the name in metrics and the value of every counter.
    ///
    /// Names of drop counters have the prefix `drop_`, those of rejection counters `reject_`.
    #[must_use]
    pub fn named_values(&self) -> Vec<(String, u64)> {
        let values = Counter::ALL.map(|it| (it.name().to_owned(), self.get(it)));
        let drops = DropReason::ALL.map(|it| (format!("drop_{}", it.name()), self.drop_count(it)));
        let rejects =
            Reject::ALL.map(|it| (format!("reject_{}", it.name()), self.reject_count(it)));
        values.into_iter().chain(drops).chain(rejects).collect()
    }
}
