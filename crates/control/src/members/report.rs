//! Events, counters and log lines about the fleet's liveness.

use std::net::SocketAddr;

use membership::{Condition, Counters as Counted, DecodeError, MemberId, Output};
use timeline::{Event, Note, Peer, Recorder};
use units::{InstanceId, Millis};

use crate::Counters;

/// Events about single members recorded a second at most.
///
/// A zone or a partition changes thousands at once; they must not push everything else out of the
/// ring.
const EVENTS_PER_SECOND: u32 = 50;

/// Length of the interval that events are counted in.
const INTERVAL_MS: Millis = Millis::new(1_000);

/// Records events, summed up when there are many.
#[derive(Debug)]
pub(super) struct Reporter {
    recorder: Recorder,
    counters: Counters,
    /// What was added to `counters` so far.
    counted: Counted,
    counted_ms: Millis,
    /// Members known.
    known: u32,
    interval_start_ms: Millis,
    /// Events about single members within the interval, those not recorded included.
    events: u32,
    /// Changes to not alive within the interval.
    silent: u32,
    /// Whether a rejected datagram was reported within the interval.
    is_rejection_reported: bool,
}

impl Reporter {
    pub(super) fn new(recorder: Recorder, counters: Counters) -> Self {
        Self {
            recorder,
            counters,
            counted: Counted::default(),
            counted_ms: Millis::new(0),
            known: 0,
            interval_start_ms: Millis::new(0),
            events: 0,
            silent: 0,
            is_rejection_reported: false,
        }
    }

    /// Adds what happened since the last time, once an interval; notes how many members are known.
    pub(super) fn count(&mut self, now: Millis, counted: &Counted, known: usize) {
        self.known = u32::try_from(known).unwrap_or(u32::MAX);
        if now.since(self.counted_ms) < INTERVAL_MS {
            return;
        }
        self.counted_ms = now;
        let values = named(counted).into_iter().zip(named(&self.counted));
        for ((name, value), (_name, before)) in values {
            if value > before {
                self.counters.add(name, value - before);
            }
        }
        self.counted = *counted;
    }

    /// Reports an output if it is news.
    pub(super) fn report(&mut self, now: Millis, output: &Output) {
        match output {
            Output::MemberChanged { .. } => self.report_change(now, output),
            Output::Isolated { known } => {
                log::warn!(
                    "nothing was received from {known} members; check this instance's network"
                );
                let (silent, known) = (*known, *known);
                self.recorder.record(Event::PeersSilent { silent, known });
            }
            // The pause detector reports pauses for the whole process.
            Output::Send { .. } | Output::Paused { .. } => {}
        }
    }

    /// Reports a datagram that its key does not allow, at most one an interval.
    pub(super) fn rejected(&mut self, now: Millis, from: SocketAddr, reject: DecodeError) {
        self.start_interval(now);
        if self.is_rejection_reported {
            return;
        }
        self.is_rejection_reported = true;
        log::warn!("datagram from {from} rejected: {reject}");
        let what = Note::new(format_args!("datagram from {from}: {reject}"));
        self.recorder.record(Event::ForgeryRejected { what });
    }

    fn report_change(&mut self, now: Millis, output: &Output) {
        let Some(event) = event(output) else {
            return;
        };
        self.start_interval(now);
        self.events += 1;
        self.silent += u32::from(matches!(event, Event::PeerSuspected { .. }));
        if self.events <= EVENTS_PER_SECOND {
            log::info!("{event}");
            self.recorder.record(event);
        }
    }

    fn start_interval(&mut self, now: Millis) {
        if now.since(self.interval_start_ms) < INTERVAL_MS {
            return;
        }
        if self.events > EVENTS_PER_SECOND {
            log::warn!("{} members changed within a second", self.events);
            self.recorder.record(Event::PeersSilent {
                silent: self.silent,
                known: self.known,
            });
        }
        self.interval_start_ms = now;
        self.events = 0;
        self.silent = 0;
        self.is_rejection_reported = false;
    }
}

/// Names every counter of the protocol.
const fn named(it: &Counted) -> [(&'static str, u64); 10] {
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

/// Translates a change of a member.
fn event(output: &Output) -> Option<Event> {
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
    let peer = peer(*id, name.as_ref())?;
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

fn peer(id: MemberId, name: Option<&InstanceId>) -> Option<Peer> {
    match (id, name) {
        (MemberId::Agent(endpoint), _) => Some(Peer::Endpoint(endpoint)),
        (MemberId::Balancer(_), Some(name)) => Some(Peer::Instance(name.clone())),
        (MemberId::Balancer(_), None) => None,
    }
}
