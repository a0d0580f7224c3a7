//! The balancer process for passthrough flows.

use std::net::{Ipv4Addr, SocketAddr};

use passthrough::{Balancer, BalancerConfig, Event, Outbox, PacketFormat, ZoneKey};
use serde::Serialize;
use settings::PassthroughBalancerSettings;
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
};
use units::{Millis, Revision, StoreEra};

use crate::{
    EventLog, LineKind, NodeError, SettingsFile, StallDetector,
    catalog_source::{self, CatalogSource, Confirmation, SourceUpdate},
    clock,
    http_server::{self, ServerState},
    metrics::Exposition,
    placement_questions::{self, PlacementQuestion, QuestionSender},
    udp::{self, Inbox, Outgoing},
};

/// Maximum number of batches that are read from one socket before the other socket is served.
const BATCHES_PER_TURN_MAX: usize = 4;

/// Time after SIGTERM until failed readiness probes have removed the instance from rotation: the
/// wait for the first failed probe, and a second failed probe half a second later.
const ROTATION_REMOVAL_MS: Millis = Millis::new(1_100);

/// Time without caller packets after which a stopping balancer counts as unused.
const CALLER_IDLE_MS: Millis = Millis::new(150);

/// Maximum time that a stopping balancer keeps running while callers still send packets to it.
///
/// Callers still use a stopping balancer only if no other instance of its zone can take over.
/// Running longer then only delays the restart, and instances that stop one after the other would
/// all be down at once.
const SHUTDOWN_MAX_MS: Millis = Millis::new(2_200);

/// Safety margin at the end of the configured grace period, before which the balancer exits.
const SHUTDOWN_MARGIN_MS: Millis = Millis::new(300);

/// Interval at which the metrics that the HTTP server reports are updated.
const METRICS_INTERVAL_MS: Millis = Millis::new(1_000);

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LifecycleEvent {
    Started { role: &'static str },
    Readiness { is_ready: bool },
    Stopping { grace_ms: u64 },
    Stopped { after_ms: u64 },
    RestartNeeded { field: &'static str },
    StoodStill { for_ms: u64, discarded: usize },
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
    /// Sends all queued datagrams.
    fn send_queued(&mut self) {
        self.to_peers.send_queued(&self.peers);
        self.to_callers.send_queued(&self.callers);
    }

    /// Returns how many datagrams were dropped because they could not be sent immediately.
    const fn unsent_count(&self) -> u64 {
        self.to_callers.unsent_count() + self.to_peers.unsent_count()
    }
}

impl Outbox for Sockets {
    fn send_to_peer(&mut self, instance: Ipv4Addr, message: &[u8]) {
        self.to_peers
            .push_datagram(&self.peers, instance, self.peer_port, message);
    }

    fn send_to_caller(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        self.to_callers
            .push_datagram(&self.callers, caller, self.caller_port, packet);
    }

    fn send_endpoint(&mut self, _packet: &[u8]) {
        debug_assert!(false, "a balancer has no endpoint beside it");
    }

    fn probe_endpoint(&mut self) {
        debug_assert!(false, "a balancer has no endpoint beside it");
    }

    fn report_event(&mut self, event: Event) {
        self.log.write_event(&event);
    }
}

/// Runs a balancer until it receives SIGTERM and the shutdown that follows is complete.
///
/// `confirming_source` confirms that a catalog is up to date while `source` waits for changes of
/// the catalog.
///
/// # Errors
///
/// Returns an error if a socket can't be opened or a signal handler can't be installed.
pub async fn run_balancer_process<F: PacketFormat, S: CatalogSource>(
    mut settings_file: SettingsFile<PassthroughBalancerSettings>,
    source: S,
    confirming_source: S,
) -> Result<(), NodeError> {
    // The signal handlers are installed first, since an unhandled signal kills the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signal)?;
    let (question_sender, mut questions) = placement_questions::question_channel();
    let mut process: Process<F> =
        Process::start_process(settings_file.current_settings(), question_sender)?;
    let log = process.sockets.log.clone();
    let (reading_enabled_tx, reading_enabled) = watch::channel(true);
    let (newest_era_tx, newest_era) = watch::channel(StoreEra::default());
    let (updates_tx, mut updates) = mpsc::channel::<SourceUpdate>(4);
    tokio::spawn(catalog_source::read_while_enabled(
        source,
        reading_enabled,
        newest_era,
        updates_tx,
        log.clone(),
    ));
    let (confirmation_requests_tx, confirmation_requests) = mpsc::channel::<Revision>(1);
    let (confirmations_tx, mut confirmations) = mpsc::channel::<Confirmation>(1);
    tokio::spawn(catalog_source::answer_confirmation_requests(
        confirming_source,
        confirmation_requests,
        confirmations_tx,
        log,
    ));
    let mut stalls = StallDetector::new(clock::now());
    while !process.finish_shutdown_if_due(clock::now()) {
        let now = clock::now();
        let deadline = process.next_deadline();
        stalls.plan_wait(now, deadline);
        let sleep = deadline.since(now).to_duration();
        // Signals and changes of the catalog are rare and come first: under overload, datagrams are
        // always waiting.
        let has_work = tokio::select! {
            biased;
            _ = terminate.recv() => {
                process.begin_shutdown(settings_file.current_settings().stop_grace_ms);
                false
            }
            _ = hangup.recv() => {
                if let Some(settings) = settings_file.reload_settings(&process.sockets.log) {
                    process.apply_settings(&settings);
                }
                false
            }
            Some(update) = updates.recv() => {
                process.on_source_update(update);
                false
            }
            Some(it) = confirmations.recv() => {
                process.on_source_confirmation(&it);
                false
            }
            Some(it) = questions.recv() => {
                process.answer_question(it);
                // Datagrams are read after each question, since questions may follow one another.
                true
            }
            res = process.sockets.callers.readable() => res.is_ok(),
            res = process.sockets.peers.readable() => res.is_ok(),
            () = tokio::time::sleep(sleep) => false,
        };
        if let Some(stalled) = stalls.begin_turn(clock::now()) {
            process.on_stall(stalled);
        }
        process.run_loop_iteration(has_work);
        let reloaded = settings_file.reload_if_modified(clock::now(), &process.sockets.log);
        if let Some(settings) = reloaded {
            process.apply_settings(&settings);
        }
        process.settings_refused = settings_file.is_refused();
        if let Some(revision) = process.balancer.take_confirmation_request(clock::now()) {
            // If a confirmation request is in flight, the new request is dropped, and the balancer
            // asks again later.
            let _busy = confirmation_requests_tx.try_send(revision);
        }
        let era = process.balancer.newest_era();
        newest_era_tx.send_if_modified(|it| std::mem::replace(it, era) != era);
        let reads_store = process.balancer.should_read_store();
        reading_enabled_tx.send_if_modified(|it| std::mem::replace(it, reads_store) != reads_store);
    }
    Ok(())
}

/// The state of the balancer process that the main loop keeps between iterations.
struct Process<F> {
    balancer: Balancer<F>,
    sockets: Sockets,
    server_state: ServerState,
    inbox: Inbox,
    was_ready: bool,
    store_calls: u64,
    skipped_items: u64,
    /// Whether the settings file on disk was refused when it was last read.
    settings_refused: bool,
    next_metrics: Millis,
    last_caller_packet: Millis,
    shutdown: Option<Shutdown>,
}

/// A shutdown of the balancer process that is in progress.
#[derive(Debug, Clone, Copy)]
struct Shutdown {
    started_at: Millis,
    /// Time at which the process exits even if callers still send packets to it.
    deadline: Millis,
}

impl<F: PacketFormat> Process<F> {
    /// Opens the sockets and starts a balancer without a catalog.
    fn start_process(
        settings: &PassthroughBalancerSettings,
        questions: QuestionSender,
    ) -> Result<Self, NodeError> {
        let log = EventLog::new(settings.instance.as_str());
        let sockets = Sockets {
            callers: udp::bind_udp_socket("callers", settings.caller_address)?,
            peers: udp::bind_udp_socket("other instances", settings.peer_address())?,
            caller_port: settings.caller_address.port(),
            peer_port: settings.peer_port,
            log: log.clone(),
            to_callers: Outgoing::new(),
            to_peers: Outgoing::new(),
        };
        let server_state = ServerState::default();
        serve_http("readiness", settings.readiness_address, &server_state, None)?;
        if let Some(address) = settings.metrics_address {
            serve_http("metrics", address, &server_state, Some(questions))?;
        }
        log.write_line(
            LineKind::StateChange,
            &LifecycleEvent::Started { role: "balancer" },
        );
        let config = BalancerConfig {
            address: settings.address,
            zone: ZoneKey::from_name(settings.availability_zone.as_str()),
            link_mbps: settings.link_mbps,
            seeds: settings.seed_instances(),
        };
        let now = clock::now();
        let mut balancer = Balancer::new(config, now);
        balancer.set_extra_openings(settings.extra_openings_bp);
        Ok(Self {
            balancer,
            sockets,
            server_state,
            inbox: Inbox::new(),
            was_ready: false,
            store_calls: 0,
            skipped_items: 0,
            settings_refused: false,
            next_metrics: now,
            last_caller_packet: now,
            shutdown: None,
        })
    }

    /// Returns whether a shutdown of the process is complete, and logs the completion if so.
    fn finish_shutdown_if_due(&self, now: Millis) -> bool {
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let is_unused = now.since(self.last_caller_packet) > CALLER_IDLE_MS
            && now.since(shutdown.started_at) > ROTATION_REMOVAL_MS;
        if now < shutdown.deadline && !is_unused {
            return false;
        }
        let after_ms = now.since(shutdown.started_at).get();
        let log = &self.sockets.log;
        log.write_line(LineKind::StateChange, &LifecycleEvent::Stopped { after_ms });
        log.flush_buffer();
        true
    }

    fn next_deadline(&mut self) -> Millis {
        let deadline = self.balancer.next_deadline().min(self.next_metrics);
        if self.shutdown.is_some() {
            return deadline.min(clock::now().plus(CALLER_IDLE_MS));
        }
        deadline
    }

    fn answer_question(&self, question: PlacementQuestion) {
        let report = self.balancer.report_placement(clock::now(), question.flow);
        // Whoever asked may have gone away.
        let _gone = question.reply.send(report);
    }

    fn on_source_update(&mut self, update: SourceUpdate) {
        self.store_calls = update.calls;
        self.skipped_items = update.skipped_items;
        if self.balancer.observe_era(update.era) {
            self.balancer.on_store_answer(
                clock::now(),
                update.answered_at,
                update.catalog,
                &mut self.sockets,
            );
        }
    }

    fn on_source_confirmation(&mut self, it: &Confirmation) {
        self.balancer.on_store_confirmation(
            clock::now(),
            it.asked_at,
            it.revision,
            &mut self.sockets,
        );
    }

    /// Drops what waited while the process stood still.
    fn on_stall(&mut self, stalled: Millis) {
        let discarded = self.inbox.discard_waiting(&self.sockets.callers)
            + self.inbox.discard_waiting(&self.sockets.peers);
        self.balancer
            .on_stall(clock::now(), stalled, &mut self.sockets);
        let event = LifecycleEvent::StoodStill {
            for_ms: stalled.get(),
            discarded,
        };
        self.sockets.log.write_line(LineKind::StateChange, &event);
    }

    /// Applies changed settings; changed addresses of open sockets take effect only after a
    /// restart.
    fn apply_settings(&mut self, settings: &PassthroughBalancerSettings) {
        let now = clock::now();
        self.balancer
            .add_seed_balancers(now, &settings.seed_instances());
        self.balancer.set_link_mbps(settings.link_mbps);
        self.balancer.set_extra_openings(settings.extra_openings_bp);
        let log = &self.sockets.log;
        if settings.caller_address.port() != self.sockets.caller_port {
            log.write_line(
                LineKind::StateChange,
                &LifecycleEvent::RestartNeeded {
                    field: "caller_address",
                },
            );
        }
        if settings.peer_port != self.sockets.peer_port {
            log.write_line(
                LineKind::StateChange,
                &LifecycleEvent::RestartNeeded { field: "peer_port" },
            );
        }
    }

    /// Begins the shutdown: reports the instance as not ready and sets the shutdown's deadline.
    fn begin_shutdown(&mut self, grace: Millis) {
        let now = clock::now();
        let grace_ms = grace.get();
        let log = &self.sockets.log;
        log.write_line(
            LineKind::StateChange,
            &LifecycleEvent::Stopping { grace_ms },
        );
        self.server_state.set_ready(false);
        self.balancer.begin_shutdown(now, &mut self.sockets);
        let longest = grace.since(SHUTDOWN_MARGIN_MS).min(SHUTDOWN_MAX_MS);
        self.shutdown.get_or_insert(Shutdown {
            started_at: now,
            deadline: now.plus(longest),
        });
    }

    /// Forwards received datagrams, runs due timers, and updates readiness and metrics.
    fn run_loop_iteration(&mut self, has_work: bool) {
        let now = clock::now();
        if has_work {
            let (balancer, sockets) = (&mut self.balancer, &mut self.sockets);
            if forward_caller_packets(now, balancer, sockets, &mut self.inbox) {
                self.last_caller_packet = now;
            }
            receive_peer_messages(balancer, sockets, &mut self.inbox);
        }
        let now = clock::now();
        if now >= self.balancer.next_deadline() {
            self.balancer.on_timer(now, &mut self.sockets);
        }
        self.sockets.send_queued();
        let is_ready = self.balancer.is_ready();
        if is_ready != self.was_ready {
            self.was_ready = is_ready;
            self.server_state.set_ready(is_ready);
            let log = &self.sockets.log;
            log.write_line(
                LineKind::StateChange,
                &LifecycleEvent::Readiness { is_ready },
            );
        }
        if now >= self.next_metrics {
            self.next_metrics = now.plus(METRICS_INTERVAL_MS);
            self.server_state.set_metrics(self.render_metrics());
            self.sockets.log.flush_buffer();
        }
    }

    fn render_metrics(&self) -> String {
        let balancer = &self.balancer;
        let mut text = Exposition::default();
        for (name, value) in balancer.counters().named_values() {
            text.add_counter(name, value);
        }
        text.add_counter("limits_exceeded", balancer.limits_exceeded_count());
        text.add_counter("store_calls", self.store_calls);
        text.add_counter("store_items_skipped", self.skipped_items);
        text.add_counter("datagrams_unsent", self.sockets.unsent_count());
        text.add_gauge("settings_refused", u64::from(self.settings_refused));
        text.add_gauge("flows_cached", balancer.cached_flow_count() as u64);
        text.add_gauge(
            "settings_version",
            balancer.catalog_view().catalog().settings_version.get(),
        );
        let revision = balancer.catalog_view().catalog().revision;
        text.add_gauge("catalog_revision", revision.number());
        text.add_gauge("store_era", u64::from(revision.era().get()));
        text.add_gauge("newest_store_era", u64::from(balancer.newest_era().get()));
        text.add_gauge(
            "entries_held_back",
            balancer.catalog_view().held_back_count() as u64,
        );
        let (zones, longest) = balancer.zones_out_of_use(clock::now());
        text.add_gauge("zones_out_of_use", zones as u64);
        text.add_gauge("zones_out_of_use_ms", longest.get());
        text.add_gauge(
            "endpoints",
            balancer.catalog_view().catalog().endpoints.len() as u64,
        );
        let (bounds, counts, sum) = balancer.counters().opening_wait_histogram();
        text.add_histogram("opening_accepted_ms", bounds, counts, sum);
        text.into_text()
    }
}

fn serve_http(
    purpose: &'static str,
    address: SocketAddr,
    server_state: &ServerState,
    questions: Option<QuestionSender>,
) -> Result<(), NodeError> {
    let listener = http_server::bind_listener(purpose, address)?;
    tokio::spawn(http_server::serve_balancer_status(
        listener,
        server_state.clone(),
        questions,
    ));
    Ok(())
}

/// Forwards the packets received from callers, and returns whether there were any.
fn forward_caller_packets<F: PacketFormat>(
    now: Millis,
    balancer: &mut Balancer<F>,
    sockets: &mut Sockets,
    inbox: &mut Inbox,
) -> bool {
    let mut received_any = false;
    for _ in 0..BATCHES_PER_TURN_MAX {
        let count = inbox.receive_batch(&sockets.callers);
        if count == 0 {
            break;
        }
        received_any = true;
        for idx in 0..count {
            let (packet, _sender) = inbox.received_datagram(idx);
            balancer.on_caller_packet(now, packet, sockets);
        }
    }
    received_any
}

fn receive_peer_messages<F: PacketFormat>(
    balancer: &mut Balancer<F>,
    sockets: &mut Sockets,
    inbox: &mut Inbox,
) {
    for _ in 0..BATCHES_PER_TURN_MAX {
        let count = inbox.receive_batch(&sockets.peers);
        if count == 0 {
            return;
        }
        // The clock is read after the socket, since no message may count as received before it was
        // sent.
        let now = clock::now();
        for idx in 0..count {
            let (datagram, sender) = inbox.received_datagram(idx);
            balancer.on_datagram(now, *sender.ip(), datagram, sockets);
        }
    }
}
