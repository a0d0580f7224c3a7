//! Reports membership changes as timeline events, counters and log lines.

use std::net::SocketAddr;

use membership::{Condition, Counters as ProtocolCounters, DecodeError, MemberId, Output};
use timeline::{Event, Note, Peer, Recorder};
use units::{InstanceId, Millis};

use crate::Counters;

/// Maximum number of events about single members recorded per interval.
///
/// An outage of a zone or a network partition changes thousands of members at once, and their
/// events must not evict all others from the ring buffer.
const EVENTS_PER_INTERVAL_MAX: u32 = 50;

/// Interval of the limit on membership events and of the export of counters.
const INTERVAL_MS: Millis = Millis::new(1_000);

/// Records membership events and counters, with a summary in place of events above the limit.
#[derive(Debug)]
pub(super) struct Reporter {
    recorder: Recorder,
    counters: Counters,
    /// Values of the protocol's counters that have already been added to `counters`.
    exported: ProtocolCounters,
    exported_at: Millis,
    /// Number of known members.
    member_count: u32,
    interval_start_ms: Millis,
    /// Number of events about single members in the interval, including those not recorded.
    event_count: u32,
    /// Number of members that became suspect in the interval.
    silent_count: u32,
    /// Whether a rejected datagram was already reported in the interval.
    is_rejection_reported: bool,
}

impl Reporter {
    pub(super) fn new(recorder: Recorder, counters: Counters) -> Self {
        Self {
            recorder,
            counters,
            exported: ProtocolCounters::default(),
            exported_at: Millis::new(0),
            member_count: 0,
            interval_start_ms: Millis::new(0),
            event_count: 0,
            silent_count: 0,
            is_rejection_reported: false,
        }
    }

    /// Updates the number of known members and, once per interval, adds the protocol's counters to
    /// the process's counters.
    pub(super) fn export_counters(
        &mut self,
        now: Millis,
        counters: &ProtocolCounters,
        member_count: usize,
    ) {
        self.member_count = u32::try_from(member_count).unwrap_or(u32::MAX);
        if now.since(self.exported_at) < INTERVAL_MS {
            return;
        }
        self.exported_at = now;
        let values = counter_values(counters)
            .into_iter()
            .zip(counter_values(&self.exported));
        for ((name, value), (_name, before)) in values {
            if value > before {
                self.counters.add(name, value - before);
            }
        }
        self.exported = *counters;
    }

    /// Reports an output of the membership protocol if operators need to know of it.
    pub(super) fn report_output(&mut self, now: Millis, output: &Output) {
        match output {
            Output::MemberChanged { .. } => self.report_change(now, output),
            Output::Isolated { known } => {
                log::warn!(
                    "received nothing from any of {known} members; check this instance's network"
                );
                let (silent, known) = (*known, *known);
                self.recorder.record(Event::PeersSilent { silent, known });
            }
            // The pause detector reports pauses for the whole process.
            Output::Send { .. } | Output::Paused { .. } => {}
        }
    }

    /// Reports a membership datagram that is malformed or not permitted under its key, at most one
    /// per interval.
    pub(super) fn report_rejected(&mut self, now: Millis, from: SocketAddr, reject: DecodeError) {
        self.start_interval(now);
        if self.is_rejection_reported {
            return;
        }
        self.is_rejection_reported = true;
        log::warn!("datagram from {from} rejected: {reject}");
        let what = Note::new(format_args!("datagram from {from}: {reject}"));
        self.recorder.record(Event::ForgeryRejected { what });
    }

    /// Records a change of a member as a timeline event, unless the interval's limit on events is
    /// reached.
    fn report_change(&mut self, now: Millis, output: &Output) {
        let Some(event) = member_event(output) else {
            return;
        };
        self.start_interval(now);
        self.event_count += 1;
        self.silent_count += u32::from(matches!(event, Event::PeerSuspected { .. }));
        if self.event_count <= EVENTS_PER_INTERVAL_MAX {
            log::info!("{event}");
            self.recorder.record(event);
        }
    }

    /// Starts a new interval if the current interval is over, and reports the number of its
    /// membership changes if they exceeded the limit.
    fn start_interval(&mut self, now: Millis) {
        if now.since(self.interval_start_ms) < INTERVAL_MS {
            return;
        }
        if self.event_count > EVENTS_PER_INTERVAL_MAX {
            log::warn!(
                "{} changes of members within one second; those above the limit are not listed",
                self.event_count
            );
            self.recorder.record(Event::PeersSilent {
                silent: self.silent_count,
                known: self.member_count,
            });
        }
        self.interval_start_ms = now;
        self.event_count = 0;
        self.silent_count = 0;
        self.is_rejection_reported = false;
    }
}

/// Returns the metric name and value of every counter of the membership protocol.
const fn counter_values(it: &ProtocolCounters) -> [(&'static str, u64); 10] {
    [
        ("members.probes_sent", it.probes_sent),
        ("members.answers", it.acks),
        ("members.checks", it.checks),
        ("members.suspected", it.suspected),
        ("members.doubted", it.reports_checked),
        ("members.revived", it.recovered),
        ("members.refuted", it.refuted),
        ("members.pauses", it.pauses),
        ("members.held_back", it.checks_postponed),
        ("members.gossip_deferred", it.gossip_deferred),
    ]
}

/// Converts a change of a member to a timeline event, `None` if the timeline does not show it.
fn member_event(output: &Output) -> Option<Event> {
    let Output::MemberChanged {
        id,
        name,
        version,
        condition,
        is_leaving,
        silent_ms,
    } = output
    else {
        return None;
    };
    let peer = member_peer(*id, name.as_ref())?;
    Some(match (condition, is_leaving) {
        (Condition::Alive, true) => match id {
            MemberId::Agent(endpoint) => Event::EndpointLeaving {
                endpoint: *endpoint,
            },
            MemberId::Balancer(_) => return None,
        },
        (Condition::Alive, false) => Event::PeerAlive {
            peer,
            incarnation: version.incarnation,
        },
        (Condition::Suspect, _) => Event::PeerSuspected { peer },
        (Condition::Dead, _) => Event::PeerDead {
            peer,
            silent_ms: *silent_ms,
        },
    })
}

/// Returns how the timeline names a member, `None` for a balancer whose name is not known yet.
fn member_peer(id: MemberId, name: Option<&InstanceId>) -> Option<Peer> {
    match (id, name) {
        (MemberId::Agent(endpoint), _) => Some(Peer::Endpoint(endpoint)),
        (MemberId::Balancer(_), Some(name)) => Some(Peer::Instance(name.clone())),
        (MemberId::Balancer(_), None) => None,
    }
}
