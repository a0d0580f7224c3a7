//! The agent process for passthrough flows.

use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use passthrough::{Agent, AgentConfig, Event, Outbox, PacketFormat, ServiceKey};
use serde::Serialize;
use settings::PassthroughAgentSettings;
use tokio::{
    net::{TcpStream, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};
use units::Millis;

use crate::{
    EventLog, LineKind, NodeError, SettingsFile, StallDetector, clock,
    http_server::{self, ServerState},
    metrics::Exposition,
    udp::{self, Inbox, Outgoing},
};

/// Maximum number of batches that are read from one socket before the other socket is served.
const BATCHES_PER_TURN_MAX: usize = 4;

/// Drain timeout: the longest time that a stopping agent waits for running requests to be answered.
///
/// The endpoint's flows stall until the agent has restarted. A longer drain would not shorten that
/// stall, so only short answers are worth waiting for.
const DRAIN_TIMEOUT_MS: Millis = Millis::new(400);

/// Timeout of a connection probe: the time that an endpoint on the same machine gets to accept or
/// refuse the connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which the metrics that the HTTP server reports are updated.
const METRICS_INTERVAL_MS: Millis = Millis::new(1_000);

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LifecycleEvent {
    Started { role: &'static str },
    Stopping { running: u32 },
    Stopped { running: u32 },
    RestartNeeded { field: &'static str },
    StoodStill { for_ms: u64, discarded: usize },
}

struct Sockets {
    peers: UdpSocket,
    endpoint: UdpSocket,
    endpoint_address: SocketAddrV4,
    caller_port: u16,
    peer_port: u16,
    log: EventLog,
    /// Receives the result of each endpoint probe: whether the connection was refused.
    probe_results: mpsc::Sender<bool>,
    /// Queued datagrams to callers and other instances, which are sent from the `peers` socket.
    to_network: Outgoing,
    to_endpoint: Outgoing,
}

impl Sockets {
    /// Sends all queued datagrams.
    fn send_queued(&mut self) {
        self.to_endpoint.send_queued(&self.endpoint);
        self.to_network.send_queued(&self.peers);
    }

    /// Returns how many datagrams were dropped because they could not be sent immediately.
    const fn unsent_count(&self) -> u64 {
        self.to_network.unsent_count() + self.to_endpoint.unsent_count()
    }
}

impl Outbox for Sockets {
    fn send_to_peer(&mut self, instance: Ipv4Addr, message: &[u8]) {
        self.to_network
            .push_datagram(&self.peers, instance, self.peer_port, message);
    }

    fn send_to_caller(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        self.to_network
            .push_datagram(&self.peers, caller, self.caller_port, packet);
    }

    fn send_endpoint(&mut self, packet: &[u8]) {
        let address = self.endpoint_address;
        self.to_endpoint
            .push_datagram(&self.endpoint, *address.ip(), address.port(), packet);
    }

    fn probe_endpoint(&mut self) {
        let (address, probe_results) = (self.endpoint_address, self.probe_results.clone());
        tokio::spawn(async move {
            let result = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
            let refused = matches!(
                result,
                Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused
            );
            // The receiver is gone if the process is exiting; the probe's result is not needed
            // then.
            let _ended = probe_results.send(refused).await;
        });
    }

    fn report_event(&mut self, event: Event) {
        self.log.write_event(&event);
    }
}

/// Runs an agent until it receives SIGTERM and has drained briefly.
///
/// # Errors
///
/// Returns an error if a socket can't be opened or a signal handler can't be installed.
pub async fn run_agent_process<F: PacketFormat>(
    mut settings_file: SettingsFile<PassthroughAgentSettings>,
) -> Result<(), NodeError> {
    // The signal handlers are installed first, since an unhandled signal kills the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signal)?;
    let settings = settings_file.current_settings().clone();
    let log = EventLog::new(settings.instance.as_str());
    let (probe_results, mut finished_probes) = mpsc::channel(4);
    let mut sockets = Sockets {
        peers: udp::bind_udp_socket("other instances", settings.peer_address())?,
        endpoint: udp::bind_udp_socket("the endpoint", settings.outbound_address)?,
        endpoint_address: settings.endpoint_address,
        caller_port: settings.caller_address.port(),
        peer_port: settings.peer_port,
        log: log.clone(),
        probe_results,
        to_network: Outgoing::new(),
        to_endpoint: Outgoing::new(),
    };
    let server_state = ServerState::default();
    server_state.set_ready(true);
    let listener = http_server::bind_listener("readiness", settings.readiness_address)?;
    tokio::spawn(http_server::serve_status(listener, server_state.clone()));
    if let Some(address) = settings.metrics_address {
        let listener = http_server::bind_listener("metrics", address)?;
        tokio::spawn(http_server::serve_status(listener, server_state.clone()));
    }
    log.write_line(
        LineKind::StateChange,
        &LifecycleEvent::Started { role: "agent" },
    );

    let config = AgentConfig {
        service: ServiceKey::from_name(&settings.service),
        address: settings.address,
    };
    let mut agent: Agent<F> = Agent::new(config);
    let mut inbox = Inbox::new();
    let mut next_metrics = clock::now();
    let mut stop_at: Option<Millis> = None;
    let mut stalls = StallDetector::new(clock::now());
    loop {
        let now = clock::now();
        if stop_at.is_some_and(|it| now >= it || !agent.has_running_requests()) {
            let running = agent.running_request_count();
            log.write_line(LineKind::StateChange, &LifecycleEvent::Stopped { running });
            log.flush_buffer();
            return Ok(());
        }
        let deadline = agent.next_deadline().min(next_metrics);
        let deadline = stop_at.map_or(deadline, |it| it.min(deadline));
        stalls.plan_wait(now, deadline);
        // Signals are rare and come first: under overload, datagrams are always waiting.
        let has_work = tokio::select! {
            biased;
            _ = terminate.recv() => {
                agent.begin_shutdown();
                let running = agent.running_request_count();
                log.write_line(LineKind::StateChange, &LifecycleEvent::Stopping { running });
                stop_at.get_or_insert(clock::now().plus(DRAIN_TIMEOUT_MS));
                false
            }
            _ = hangup.recv() => {
                if let Some(settings) = settings_file.reload_settings(&log) {
                    apply_settings(&settings, &mut agent, &mut sockets);
                }
                false
            }
            Some(refused) = finished_probes.recv() => {
                agent.on_endpoint_probed(clock::now(), refused, &mut sockets);
                false
            }
            res = sockets.endpoint.readable() => res.is_ok(),
            res = sockets.peers.readable() => res.is_ok(),
            () = tokio::time::sleep(deadline.since(now).to_duration()) => false,
        };
        let now = clock::now();
        if let Some(stalled) = stalls.begin_turn(now) {
            // Answers of the endpoint are delivered, however late; callers' packets are not.
            let discarded = inbox.discard_waiting(&sockets.peers);
            agent.on_stall();
            let for_ms = stalled.get();
            let event = LifecycleEvent::StoodStill { for_ms, discarded };
            log.write_line(LineKind::StateChange, &event);
        }
        if has_work {
            receive_datagrams(now, &mut agent, &mut sockets, &mut inbox);
        }
        if now >= agent.next_deadline() {
            agent.on_timer(now, &mut sockets);
        }
        sockets.send_queued();
        if let Some(settings) = settings_file.reload_if_modified(now, &log) {
            apply_settings(&settings, &mut agent, &mut sockets);
        }
        if now >= next_metrics {
            next_metrics = now.plus(METRICS_INTERVAL_MS);
            let (unsent, refused) = (sockets.unsent_count(), settings_file.is_refused());
            server_state.set_metrics(render_metrics(&agent, unsent, u64::from(refused)));
            log.flush_buffer();
        }
    }
}

/// Applies changed settings; changed addresses of open sockets take effect only after a restart.
fn apply_settings<F: PacketFormat>(
    settings: &PassthroughAgentSettings,
    agent: &mut Agent<F>,
    sockets: &mut Sockets,
) {
    agent.set_service(ServiceKey::from_name(&settings.service));
    sockets.endpoint_address = settings.endpoint_address;
    sockets.caller_port = settings.caller_address.port();
    if settings.peer_port != sockets.peer_port {
        let event = LifecycleEvent::RestartNeeded { field: "peer_port" };
        sockets.log.write_line(LineKind::StateChange, &event);
    }
}

/// Reads datagrams from the endpoint and from other instances and passes them to the agent.
fn receive_datagrams<F: PacketFormat>(
    now: Millis,
    agent: &mut Agent<F>,
    sockets: &mut Sockets,
    inbox: &mut Inbox,
) {
    for _ in 0..BATCHES_PER_TURN_MAX {
        let count = inbox.receive_batch(&sockets.endpoint);
        if count == 0 {
            break;
        }
        for idx in 0..count {
            let (packet, _sender) = inbox.received_datagram(idx);
            agent.on_endpoint_packet(now, packet, sockets);
        }
    }
    for _ in 0..BATCHES_PER_TURN_MAX {
        let count = inbox.receive_batch(&sockets.peers);
        if count == 0 {
            break;
        }
        for idx in 0..count {
            let (datagram, sender) = inbox.received_datagram(idx);
            agent.on_datagram(now, *sender.ip(), datagram, sockets);
        }
    }
}

fn render_metrics<F: PacketFormat>(agent: &Agent<F>, unsent: u64, settings_refused: u64) -> String {
    let mut text = Exposition::default();
    for (name, value) in agent.counters().named_values() {
        text.add_counter(name, value);
    }
    text.add_counter("datagrams_unsent", unsent);
    text.add_gauge("settings_refused", settings_refused);
    text.add_gauge("flows_held", agent.held_flow_count() as u64);
    text.add_gauge("requests_running", u64::from(agent.running_request_count()));
    text.add_gauge("openings_waiting", agent.waiting_opening_count() as u64);
    let (bounds, counts, sum) = agent.counters().held_wait_histogram();
    text.add_histogram("opening_held_ms", bounds, counts, sum);
    text.into_text()
}
