//! The process of a balancer.

use std::net::{Ipv4Addr, SocketAddr};

use passthrough::{Balancer, BalancerConfig, Event, Outbox, PacketFormat, ZoneKey};
use serde::Serialize;
use settings::PassthroughBalancerSettings;
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
};
use units::{Millis, Revision};

use crate::{
    EventLog, LineKind, NodeError, SettingsFile, clock,
    http_server::{self, Answers},
    metrics::Exposition,
    source::{self, CatalogSource, Confirmation, Reading},
    udp::{self, Inbox, Outgoing},
};

/// Batches of datagrams taken from one socket before the others get their turn.
const BATCHES_MAX: usize = 4;

/// Time after the stop signal within which probes take an instance out of rotation: two probes half a
/// second apart, and the time until the first.
const ROTATION_MS: Millis = Millis::new(1_100);

/// Time without packets of callers after which a stopping balancer is no longer used.
const UNUSED_MS: Millis = Millis::new(150);

/// Longest time for which a stopping balancer that is still used goes on.
///
/// It is still used if no other instance of its zone could take over; then staying only delays its
/// return, and instances that stop one after the other would all be away at once.
const STOP_MAX_MS: Millis = Millis::new(2_200);

/// Time kept free at the end of the time that a stop may take.
const STOP_MARGIN_MS: Millis = Millis::new(300);

/// Time between two updates of the counters that are served.
const METRICS_INTERVAL_MS: Millis = Millis::new(1_000);

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LifeEvent {
    Started { role: &'static str },
    Readiness { is_ready: bool },
    Stopping { grace_ms: u64 },
    Stopped { after_ms: u64 },
    RestartNeeded { field: &'static str },
}

struct Sockets {
    callers: UdpSocket,
    peers: UdpSocket,
    caller_port: u16,
    peer_port: u16,
    log: EventLog,
    to_callers: Outgoing,
    to_peers: Outgoing,
}

impl Sockets {
    /// Sends what the turn queued.
    fn flush(&mut self) {
        self.to_peers.flush(&self.peers);
        self.to_callers.flush(&self.callers);
    }

    /// Returns how many datagrams could not be sent at once.
    const fn unsent(&self) -> u64 {
        self.to_callers.unsent() + self.to_peers.unsent()
    }
}

impl Outbox for Sockets {
    fn send_peer(&mut self, instance: Ipv4Addr, message: &[u8]) {
        self.to_peers
            .push(&self.peers, instance, self.peer_port, message);
    }

    fn send_caller(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        self.to_callers
            .push(&self.callers, caller, self.caller_port, packet);
    }

    fn send_endpoint(&mut self, _packet: &[u8]) {
        debug_assert!(false, "a balancer has no endpoint beside it");
    }

    fn probe_endpoint(&mut self) {
        debug_assert!(false, "a balancer has no endpoint beside it");
    }

    fn event(&mut self, event: Event) {
        self.log.write_event(&event);
    }
}

/// Runs a balancer until the stop signal.
///
/// `confirming_source` answers whether a list is the newest while `source` waits for changes.
///
/// # Errors
///
/// Fails if a socket can't be opened or signals can't be received.
pub async fn run<F: PacketFormat, S: CatalogSource>(
    mut settings: SettingsFile<PassthroughBalancerSettings>,
    source: S,
    confirming_source: S,
) -> Result<(), NodeError> {
    // First of all: until then a signal ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signal)?;
    let mut process: Process<F> = Process::start(settings.current())?;
    let log = process.sockets.log.clone();
    let (duty, on_duty) = watch::channel(true);
    let (readings, mut changes) = mpsc::channel::<Reading>(4);
    tokio::spawn(source::read(source, on_duty, readings, log.clone()));
    let (questions, asked) = mpsc::channel::<Revision>(1);
    let (confirmed, mut confirmations) = mpsc::channel::<Confirmation>(1);
    tokio::spawn(source::confirm(confirming_source, asked, confirmed, log));
    while !process.is_over(clock::now()) {
        let sleep = process.next_deadline().since(clock::now()).to_duration();
        let has_work = tokio::select! {
            biased;
            res = process.sockets.callers.readable() => res.is_ok(),
            res = process.sockets.peers.readable() => res.is_ok(),
            Some(reading) = changes.recv() => {
                process.on_reading(reading);
                false
            }
            Some(it) = confirmations.recv() => {
                process.on_confirmation(&it);
                false
            }
            () = tokio::time::sleep(sleep) => false,
            _ = terminate.recv() => {
                process.stop(settings.current().stop_grace_ms());
                false
            }
            _ = hangup.recv() => {
                if let Some(settings) = settings.read(&process.sockets.log) {
                    process.apply(&settings);
                }
                false
            }
        };
        process.turn(has_work);
        let reread = settings.read_if_changed(clock::now(), &process.sockets.log);
        if let Some(settings) = reread {
            process.apply(&settings);
        }
        if let Some(revision) = process.balancer.take_confirmation_request(clock::now()) {
            // While a question is under way, the next wish comes soon enough.
            let _busy = questions.try_send(revision);
        }
        let reads_store = process.balancer.should_read_store();
        duty.send_if_modified(|it| std::mem::replace(it, reads_store) != reads_store);
    }
    Ok(())
}

/// The state of the process between two waits.
struct Process<F> {
    balancer: Balancer<F>,
    sockets: Sockets,
    answers: Answers,
    inbox: Inbox,
    was_ready: bool,
    store_calls: u64,
    next_metrics: Millis,
    last_packet: Millis,
    stop: Option<Stop>,
}

/// A stop under way.
#[derive(Debug, Clone, Copy)]
struct Stop {
    since: Millis,
    /// When the process ends even if it is still used.
    latest: Millis,
}

impl<F: PacketFormat> Process<F> {
    /// Opens the sockets and starts with nothing in force.
    fn start(settings: &PassthroughBalancerSettings) -> Result<Self, NodeError> {
        let log = EventLog::new(settings.instance.as_str());
        let sockets = Sockets {
            callers: udp::bind("callers", settings.caller_address)?,
            peers: udp::bind("other instances", settings.peer_address())?,
            caller_port: settings.caller_address.port(),
            peer_port: settings.peer_port,
            log: log.clone(),
            to_callers: Outgoing::new(),
            to_peers: Outgoing::new(),
        };
        let answers = Answers::default();
        listen("readiness", settings.readiness_address, &answers)?;
        if let Some(address) = settings.metrics_address {
            listen("metrics", address, &answers)?;
        }
        log.write(
            LineKind::StateChange,
            &LifeEvent::Started { role: "balancer" },
        );
        let config = BalancerConfig {
            address: settings.address,
            zone: ZoneKey::from_name(settings.availability_zone.as_str()),
            link_mbps: settings.link_mbps,
            seeds: settings.seed_instances(),
        };
        let now = clock::now();
        Ok(Self {
            balancer: Balancer::new(config, now),
            sockets,
            answers,
            inbox: Inbox::new(),
            was_ready: false,
            store_calls: 0,
            next_metrics: now,
            last_packet: now,
            stop: None,
        })
    }

    /// Returns whether a stop has come to its end, and says so in the log.
    fn is_over(&self, now: Millis) -> bool {
        let Some(stop) = self.stop else {
            return false;
        };
        let is_unused =
            now.since(self.last_packet) > UNUSED_MS && now.since(stop.since) > ROTATION_MS;
        if now < stop.latest && !is_unused {
            return false;
        }
        let after_ms = now.since(stop.since).get();
        let log = &self.sockets.log;
        log.write(LineKind::StateChange, &LifeEvent::Stopped { after_ms });
        log.flush();
        true
    }

    fn next_deadline(&mut self) -> Millis {
        let deadline = self.balancer.next_deadline().min(self.next_metrics);
        if self.stop.is_some() {
            return deadline.min(clock::now().plus(UNUSED_MS));
        }
        deadline
    }

    fn on_reading(&mut self, reading: Reading) {
        self.store_calls = reading.calls;
        self.balancer
            .on_store_read(clock::now(), reading.catalog, &mut self.sockets);
    }

    fn on_confirmation(&mut self, it: &Confirmation) {
        self.balancer.on_store_confirmation(
            clock::now(),
            it.asked_at,
            it.revision,
            &mut self.sockets,
        );
    }

    /// Takes changed settings; what belongs to open sockets needs a new start.
    fn apply(&mut self, settings: &PassthroughBalancerSettings) {
        let now = clock::now();
        self.balancer.add_seeds(now, &settings.seed_instances());
        self.balancer.set_link_mbps(settings.link_mbps);
        let log = &self.sockets.log;
        if settings.caller_address.port() != self.sockets.caller_port {
            log.write(
                LineKind::StateChange,
                &LifeEvent::RestartNeeded {
                    field: "caller_address",
                },
            );
        }
        if settings.peer_port != self.sockets.peer_port {
            log.write(
                LineKind::StateChange,
                &LifeEvent::RestartNeeded { field: "peer_port" },
            );
        }
    }

    /// Takes the stop signal.
    fn stop(&mut self, grace: Millis) {
        let now = clock::now();
        let grace_ms = grace.get();
        let log = &self.sockets.log;
        log.write(LineKind::StateChange, &LifeEvent::Stopping { grace_ms });
        self.answers.set_ready(false);
        self.balancer.begin_shutdown(now, &mut self.sockets);
        let longest = grace.since(STOP_MARGIN_MS).min(STOP_MAX_MS);
        self.stop.get_or_insert(Stop {
            since: now,
            latest: now.plus(longest),
        });
    }

    /// Forwards what has come and does what is due.
    fn turn(&mut self, has_work: bool) {
        let now = clock::now();
        if has_work {
            let (balancer, sockets) = (&mut self.balancer, &mut self.sockets);
            if forward_callers(now, balancer, sockets, &mut self.inbox) {
                self.last_packet = now;
            }
            receive_peers(now, balancer, sockets, &mut self.inbox);
        }
        if now >= self.balancer.next_deadline() {
            self.balancer.on_timer(now, &mut self.sockets);
        }
        self.sockets.flush();
        let is_ready = self.balancer.is_ready();
        if is_ready != self.was_ready {
            self.was_ready = is_ready;
            self.answers.set_ready(is_ready);
            let log = &self.sockets.log;
            log.write(LineKind::StateChange, &LifeEvent::Readiness { is_ready });
        }
        if now >= self.next_metrics {
            self.next_metrics = now.plus(METRICS_INTERVAL_MS);
            let text = metrics(&self.balancer, self.store_calls, self.sockets.unsent());
            self.answers.set_metrics(text);
            self.sockets.log.flush();
        }
    }
}

fn listen(purpose: &'static str, address: SocketAddr, answers: &Answers) -> Result<(), NodeError> {
    let listener = http_server::bind(purpose, address)?;
    tokio::spawn(http_server::serve(listener, answers.clone()));
    Ok(())
}

/// Forwards what callers sent; returns whether anything had come.
fn forward_callers<F: PacketFormat>(
    now: Millis,
    balancer: &mut Balancer<F>,
    sockets: &mut Sockets,
    inbox: &mut Inbox,
) -> bool {
    let mut has_come = false;
    for _ in 0..BATCHES_MAX {
        let count = inbox.receive(&sockets.callers);
        if count == 0 {
            break;
        }
        has_come = true;
        for idx in 0..count {
            let (packet, _sender) = inbox.datagram(idx);
            balancer.on_caller_packet(now, packet, sockets);
        }
    }
    has_come
}

fn receive_peers<F: PacketFormat>(
    now: Millis,
    balancer: &mut Balancer<F>,
    sockets: &mut Sockets,
    inbox: &mut Inbox,
) {
    for _ in 0..BATCHES_MAX {
        let count = inbox.receive(&sockets.peers);
        if count == 0 {
            return;
        }
        for idx in 0..count {
            let (datagram, sender) = inbox.datagram(idx);
            balancer.on_datagram(now, *sender.ip(), datagram, sockets);
        }
    }
}

fn metrics<F: PacketFormat>(balancer: &Balancer<F>, store_calls: u64, unsent: u64) -> String {
    let mut text = Exposition::default();
    for (name, value) in balancer.counters().list() {
        text.counter(name, value);
    }
    text.counter("store_calls", store_calls);
    text.counter("datagrams_unsent", unsent);
    text.gauge("flows_cached", balancer.cached_flows() as u64);
    text.gauge(
        "settings_version",
        balancer.view().catalog().settings_version.get(),
    );
    text.gauge("catalog_revision", balancer.view().catalog().revision.get());
    text.gauge(
        "endpoints",
        balancer.view().catalog().endpoints.len() as u64,
    );
    let (bounds, counts, sum) = balancer.counters().opening_wait_histogram();
    text.histogram("opening_accepted_ms", bounds, counts, sum);
    text.into_text()
}
