//! The process of an agent.

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
    EventLog, LineKind, NodeError, SettingsFile, clock,
    http_server::{self, Answers},
    metrics::Exposition,
    udp::{self, Inbox, Outgoing},
};

/// Batches of datagrams taken from one socket before the other gets its turn.
const BATCHES_MAX: usize = 4;

/// Longest time for which a stopping agent waits for answers under way.
///
/// Its endpoint's flows stand still while the process starts again; a longer wait would not shorten
/// that, and only short answers are worth it.
const FINISH_MS: Millis = Millis::new(400);

/// Longest wait for an endpoint to accept or refuse a connection on the same machine.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two updates of the counters that are served.
const METRICS_INTERVAL_MS: Millis = Millis::new(1_000);

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LifeEvent {
    Started { role: &'static str },
    Stopping { running: u32 },
    Stopped { running: u32 },
    RestartNeeded { field: &'static str },
}

struct Sockets {
    peers: UdpSocket,
    endpoint: UdpSocket,
    endpoint_address: SocketAddrV4,
    caller_port: u16,
    peer_port: u16,
    log: EventLog,
    /// Where the results of checks go: whether a connection was refused.
    checks: mpsc::Sender<bool>,
    /// What goes to callers and other instances, from the same socket.
    to_network: Outgoing,
    to_endpoint: Outgoing,
}

impl Sockets {
    /// Sends what the turn queued.
    fn flush(&mut self) {
        self.to_endpoint.flush(&self.endpoint);
        self.to_network.flush(&self.peers);
    }

    /// Returns how many datagrams could not be sent at once.
    const fn unsent(&self) -> u64 {
        self.to_network.unsent() + self.to_endpoint.unsent()
    }
}

impl Outbox for Sockets {
    fn send_peer(&mut self, instance: Ipv4Addr, message: &[u8]) {
        self.to_network
            .push(&self.peers, instance, self.peer_port, message);
    }

    fn send_caller(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        self.to_network
            .push(&self.peers, caller, self.caller_port, packet);
    }

    fn send_endpoint(&mut self, packet: &[u8]) {
        let address = self.endpoint_address;
        self.to_endpoint
            .push(&self.endpoint, *address.ip(), address.port(), packet);
    }

    fn probe_endpoint(&mut self) {
        let (address, checks) = (self.endpoint_address, self.checks.clone());
        tokio::spawn(async move {
            let result = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
            let refused = matches!(
                result,
                Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused
            );
            // The process may be ending; nobody waits for the result then.
            let _ended = checks.send(refused).await;
        });
    }

    fn event(&mut self, event: Event) {
        self.log.write_event(&event);
    }
}

/// Runs an agent until the stop signal.
///
/// # Errors
///
/// Fails if a socket can't be opened or signals can't be received.
pub async fn run<F: PacketFormat>(
    mut file: SettingsFile<PassthroughAgentSettings>,
) -> Result<(), NodeError> {
    // First of all: until then a signal ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signal)?;
    let settings = file.current().clone();
    let log = EventLog::new(settings.instance.as_str());
    let (checks, mut checked) = mpsc::channel(4);
    let mut sockets = Sockets {
        peers: udp::bind("other instances", settings.peer_address())?,
        endpoint: udp::bind("the endpoint", settings.outbound_address)?,
        endpoint_address: settings.endpoint_address,
        caller_port: settings.caller_address.port(),
        peer_port: settings.peer_port,
        log: log.clone(),
        checks,
        to_network: Outgoing::new(),
        to_endpoint: Outgoing::new(),
    };
    let answers = Answers::default();
    answers.set_ready(true);
    let listener = http_server::bind("readiness", settings.readiness_address)?;
    tokio::spawn(http_server::serve(listener, answers.clone()));
    if let Some(address) = settings.metrics_address {
        let listener = http_server::bind("metrics", address)?;
        tokio::spawn(http_server::serve(listener, answers.clone()));
    }
    log.write(LineKind::StateChange, &LifeEvent::Started { role: "agent" });

    let config = AgentConfig {
        service: ServiceKey::from_name(&settings.service),
        address: settings.address,
    };
    let mut agent: Agent<F> = Agent::new(config);
    let mut inbox = Inbox::new();
    let mut next_metrics = clock::now();
    let mut stop_at: Option<Millis> = None;
    loop {
        let now = clock::now();
        if stop_at.is_some_and(|it| now >= it || !agent.has_running_requests()) {
            let running = agent.running_requests();
            log.write(LineKind::StateChange, &LifeEvent::Stopped { running });
            log.flush();
            return Ok(());
        }
        let deadline = agent.next_deadline().min(next_metrics);
        let deadline = stop_at.map_or(deadline, |it| it.min(deadline));
        let has_work = tokio::select! {
            biased;
            res = sockets.endpoint.readable() => res.is_ok(),
            res = sockets.peers.readable() => res.is_ok(),
            Some(refused) = checked.recv() => {
                agent.on_endpoint_probed(clock::now(), refused, &mut sockets);
                false
            }
            () = tokio::time::sleep(deadline.since(now).to_duration()) => false,
            _ = terminate.recv() => {
                agent.begin_shutdown();
                let running = agent.running_requests();
                log.write(LineKind::StateChange, &LifeEvent::Stopping { running });
                stop_at.get_or_insert(clock::now().plus(FINISH_MS));
                false
            }
            _ = hangup.recv() => {
                if let Some(settings) = file.read(&log) {
                    apply(&settings, &mut agent, &mut sockets);
                }
                false
            }
        };
        let now = clock::now();
        if has_work {
            receive(now, &mut agent, &mut sockets, &mut inbox);
        }
        if now >= agent.next_deadline() {
            agent.on_timer(now, &mut sockets);
        }
        sockets.flush();
        if let Some(settings) = file.read_if_changed(now, &log) {
            apply(&settings, &mut agent, &mut sockets);
        }
        if now >= next_metrics {
            next_metrics = now.plus(METRICS_INTERVAL_MS);
            answers.set_metrics(metrics(&agent, sockets.unsent()));
            log.flush();
        }
    }
}

/// Takes changed settings; what belongs to open sockets needs a new start.
fn apply<F: PacketFormat>(
    settings: &PassthroughAgentSettings,
    agent: &mut Agent<F>,
    sockets: &mut Sockets,
) {
    agent.set_service(ServiceKey::from_name(&settings.service));
    sockets.endpoint_address = settings.endpoint_address;
    sockets.caller_port = settings.caller_address.port();
    if settings.peer_port != sockets.peer_port {
        let event = LifeEvent::RestartNeeded { field: "peer_port" };
        sockets.log.write(LineKind::StateChange, &event);
    }
}

/// Takes what the endpoint and other instances sent.
fn receive<F: PacketFormat>(
    now: Millis,
    agent: &mut Agent<F>,
    sockets: &mut Sockets,
    inbox: &mut Inbox,
) {
    for _ in 0..BATCHES_MAX {
        let count = inbox.receive(&sockets.endpoint);
        if count == 0 {
            break;
        }
        for idx in 0..count {
            let (packet, _sender) = inbox.datagram(idx);
            agent.on_endpoint_packet(now, packet, sockets);
        }
    }
    for _ in 0..BATCHES_MAX {
        let count = inbox.receive(&sockets.peers);
        if count == 0 {
            break;
        }
        for idx in 0..count {
            let (datagram, sender) = inbox.datagram(idx);
            agent.on_datagram(now, *sender.ip(), datagram, sockets);
        }
    }
}

fn metrics<F: PacketFormat>(agent: &Agent<F>, unsent: u64) -> String {
    let mut text = Exposition::default();
    for (name, value) in agent.counters().list() {
        text.counter(name, value);
    }
    text.counter("datagrams_unsent", unsent);
    text.gauge("flows_held", agent.held_flows() as u64);
    text.gauge("requests_running", u64::from(agent.running_requests()));
    text.into_text()
}
