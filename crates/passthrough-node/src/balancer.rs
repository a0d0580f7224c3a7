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
    EventLog, Line, NodeError, clock,
    http_server::{self, Answers},
    metrics::Exposition,
    source::{self, CatalogSource, Confirmation, Reading},
    udp,
};

/// Datagrams taken from one socket before the others get their turn.
const BATCH: usize = 64;

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
    Ready,
    Stopping { grace_ms: u64 },
    Stopped { after_ms: u64 },
    Reloaded,
}

struct Sockets {
    callers: UdpSocket,
    peers: UdpSocket,
    caller_port: u16,
    peer_port: u16,
    log: EventLog,
    /// Datagrams that could not be sent at once.
    unsent: u64,
}

impl Outbox for Sockets {
    fn send_peer(&mut self, instance: Ipv4Addr, message: &[u8]) {
        if !udp::send(&self.peers, instance, self.peer_port, message) {
            self.unsent += 1;
        }
    }

    fn send_caller(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        if !udp::send(&self.callers, caller, self.caller_port, packet) {
            self.unsent += 1;
        }
    }

    fn send_endpoint(&mut self, _packet: &[u8]) {
        debug_assert!(false, "a balancer has no endpoint beside it");
    }

    fn check_endpoint(&mut self) {
        debug_assert!(false, "a balancer has no endpoint beside it");
    }

    fn event(&mut self, event: Event) {
        self.log.event(&event);
    }
}

/// Runs a balancer until the stop signal.
///
/// # Errors
///
/// Fails if a socket can't be opened or signals can't be received.
pub async fn run<F: PacketFormat, S: CatalogSource>(
    settings: PassthroughBalancerSettings,
    source: S,
    confirming_source: S,
) -> Result<(), NodeError> {
    let log = EventLog::new(settings.instance.as_str());
    let mut sockets = Sockets {
        callers: udp::bind("callers", settings.caller_address)?,
        peers: udp::bind("other instances", settings.peer_address())?,
        caller_port: settings.caller_address.port(),
        peer_port: settings.peer_port,
        log: log.clone(),
        unsent: 0,
    };
    let answers = Answers::default();
    listen("readiness", settings.readiness_address, &answers)?;
    if let Some(address) = settings.metrics_address {
        listen("metrics", address, &answers)?;
    }
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signal)?;
    log.write(Line::Belief, &LifeEvent::Started { role: "balancer" });

    let (duty, on_duty) = watch::channel(true);
    let (readings, mut changes) = mpsc::channel::<Reading>(4);
    tokio::spawn(source::read(source, on_duty, readings, log.clone()));
    let (questions, asked) = mpsc::channel::<Revision>(1);
    let (confirmed, mut confirmations) = mpsc::channel::<Confirmation>(1);
    tokio::spawn(source::confirm(
        confirming_source,
        asked,
        confirmed,
        log.clone(),
    ));

    let config = BalancerConfig {
        address: settings.address,
        zone: ZoneKey::from_name(settings.availability_zone.as_str()),
        link_mbps: settings.link_mbps,
        seeds: settings.seed_instances(),
    };
    let mut balancer: Balancer<F> = Balancer::new(config, clock::now());
    let mut buffer = vec![0; udp::DATAGRAM_MAX_BYTES];
    let mut was_ready = false;
    let mut store_calls = 0;
    let mut next_metrics = clock::now();
    let mut last_packet = clock::now();
    let mut stop_at: Option<(Millis, Millis)> = None;
    loop {
        let now = clock::now();
        if let Some((since, latest)) = stop_at
            && (now >= latest
                || (now.since(last_packet) > UNUSED_MS && now.since(since) > UNUSED_MS))
        {
            let after_ms = now.since(since).get();
            log.write(Line::Belief, &LifeEvent::Stopped { after_ms });
            log.flush();
            return Ok(());
        }
        let deadline = balancer.next_deadline().min(next_metrics);
        let deadline = stop_at.map_or(deadline, |_| deadline.min(now.plus(UNUSED_MS)));
        let sleep_ms = deadline.since(now);
        let has_work = {
            tokio::select! {
                biased;
                res = sockets.callers.readable() => res.is_ok(),
                res = sockets.peers.readable() => res.is_ok(),
                Some(reading) = changes.recv() => {
                    store_calls = reading.calls;
                    balancer.on_store(clock::now(), reading.catalog, &mut sockets);
                    false
                }
                Some(it) = confirmations.recv() => {
                    let now = clock::now();
                    balancer.on_confirmed(now, it.asked_at, it.revision, &mut sockets);
                    false
                }
                () = tokio::time::sleep(sleep_ms.to_duration()) => false,
                _ = terminate.recv() => {
                    let now = clock::now();
                    let grace = settings.stop_grace_ms();
                    log.write(Line::Belief, &LifeEvent::Stopping { grace_ms: grace.get() });
                    answers.set_ready(false);
                    balancer.stop(now, &mut sockets);
                    let longest = grace.since(STOP_MARGIN_MS).min(STOP_MAX_MS);
                    stop_at.get_or_insert((now, now.plus(longest)));
                    false
                }
                _ = hangup.recv() => {
                    log.write(Line::Belief, &LifeEvent::Reloaded);
                    false
                }
            }
        };
        let now = clock::now();
        if has_work {
            if forward_callers(now, &mut balancer, &mut sockets, &mut buffer) {
                last_packet = now;
            }
            receive_peers(now, &mut balancer, &mut sockets, &mut buffer);
        }
        if now >= balancer.next_deadline() {
            balancer.on_timer(now, &mut sockets);
        }
        if let Some(revision) = balancer.take_confirmation_wish(now) {
            // While a question is under way, the next wish comes soon enough.
            let _busy = questions.try_send(revision);
        }
        let is_ready = balancer.is_ready();
        if is_ready != was_ready {
            was_ready = is_ready;
            answers.set_ready(is_ready);
            if is_ready {
                log.write(Line::Belief, &LifeEvent::Ready);
            }
        }
        duty.send_if_modified(|it| std::mem::replace(it, balancer.reads_store()) != *it);
        if now >= next_metrics {
            next_metrics = now.plus(METRICS_INTERVAL_MS);
            answers.set_metrics(metrics(&balancer, store_calls, sockets.unsent));
            log.flush();
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
    buffer: &mut [u8],
) -> bool {
    for received in 0..BATCH {
        let Some((len, _sender)) = udp::receive(&sockets.callers, buffer) else {
            return received > 0;
        };
        balancer.on_caller_packet(now, &mut buffer[..len], sockets);
    }
    true
}

fn receive_peers<F: PacketFormat>(
    now: Millis,
    balancer: &mut Balancer<F>,
    sockets: &mut Sockets,
    buffer: &mut [u8],
) {
    for _ in 0..BATCH {
        let Some((len, sender)) = udp::receive(&sockets.peers, buffer) else {
            return;
        };
        balancer.on_datagram(now, *sender.ip(), &mut buffer[..len], sockets);
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
    let (bounds, counts, sum) = balancer.counters().accepted_ms();
    text.histogram("opening_accepted_ms", bounds, counts, sum);
    text.into_text()
}
