//! Probing of the tunnel paths to agents, and replacement of the sockets of silent paths.

use std::{
    io,
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use flow::{
    echo::Echo,
    table::{Liveness, RoutingTable, ServiceRoutes, Traffic},
    tunnel::{Candidate, PEER_OVERHEAD_BYTES, encode_peer},
};
use timeline::{Event, Peer};
use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinSet},
};
use units::{EndpointId, Millis};

use super::serve::SharedState;
use crate::{
    counters::Counter,
    path_monitor::{PathAction, PathMonitor},
    send_batch::{Destination, send_segments},
    socket::{AddressSharing, DatagramSocket},
};

/// Interval between checks of the paths to agents.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a replaced socket still receives, until its agent uses the new socket.
const CLOSE_DELAY: Duration = Duration::from_secs(3);

/// Distance in the list of agents between the positions where consecutive checks start.
const START_STRIDE: usize = 7;

/// Maximum number of agents with a dedicated tunnel socket. If more agents are silent at once,
/// broken single paths are not the cause.
const DEDICATED_SOCKETS_MAX: usize = 64;

/// Sockets that replace the shared tunnel socket for one agent each, sorted by agent address.
pub(crate) type DedicatedSockets = Vec<(SocketAddr, Arc<DatagramSocket>)>;

/// Probes quiet paths to agents with echoes and replaces the socket of silent paths.
#[derive(Debug)]
pub(super) struct PathProber {
    shared: Arc<SharedState>,
    monitor: PathMonitor,
    echo_replies: mpsc::Receiver<Echo>,
    /// The dedicated sockets in use, at most `DEDICATED_SOCKETS_MAX`.
    dedicated_sockets: Vec<DedicatedSocket>,
    /// The tasks of replaced sockets and the times when they are aborted.
    closing: Vec<(Instant, AbortHandle)>,
    started: Instant,
    checked_at: Instant,
    check_offset: usize,
    /// The routing table at the last check.
    table: Arc<RoutingTable>,
    /// Each agent's traffic at the last check, in the order of the routing table's agents.
    observations: Vec<Observation>,
}

/// An agent's traffic at the last check of the paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Observation {
    traffic: Traffic,
    is_awaiting_traffic: bool,
}

impl Observation {
    const NONE: Self = Self {
        traffic: Traffic {
            sent: 0,
            answered: 0,
        },
        is_awaiting_traffic: false,
    };
}

/// A socket that replaces the shared tunnel socket for one agent.
#[derive(Debug)]
struct DedicatedSocket {
    endpoint: EndpointId,
    address: SocketAddr,
    socket: Arc<DatagramSocket>,
    serve_task: AbortHandle,
}

impl PathProber {
    pub(super) fn new(shared: Arc<SharedState>, echo_replies: mpsc::Receiver<Echo>) -> Self {
        let now = Instant::now();
        let shared_table = shared.table.load_full();
        Self {
            shared,
            monitor: PathMonitor::default(),
            echo_replies,
            table: shared_table,
            observations: Vec::new(),
            dedicated_sockets: Vec::new(),
            closing: Vec::new(),
            started: now,
            checked_at: now,
            check_offset: 0,
        }
    }

    /// Checks the paths to all agents if the check interval has elapsed.
    ///
    /// Spawns the tasks of new sockets in `tasks`.
    pub(super) fn probe_if_due(&mut self, tasks: &mut JoinSet<()>) {
        if self.checked_at.elapsed() < CHECK_INTERVAL {
            return;
        }
        self.checked_at = Instant::now();
        let now = Millis::from_duration(self.started.elapsed());
        while let Ok(echo) = self.echo_replies.try_recv() {
            self.monitor.handle_echo_reply(echo.endpoint, echo.nonce);
        }
        let table = self.shared.table.load_full();
        if !Arc::ptr_eq(&self.table, &table) {
            self.stop_monitoring_unlisted(&table);
            self.table = Arc::clone(&table);
            self.observations.clear();
        }
        self.close_sockets_of_dead_agents(&table);
        // The number of probes per step is limited, so every check starts with another agent.
        let agents: usize = table
            .services()
            .iter()
            .map(|it| it.flow_owners().count())
            .sum();
        self.observations.resize(agents, Observation::NONE);
        self.check_offset = self.check_offset.wrapping_add(START_STRIDE);
        let first = self.check_offset.checked_rem(agents).unwrap_or_default();
        for range in [first..agents, 0..first] {
            self.probe_range(now, &table, &range, tasks);
        }
        self.close_replaced_sockets();
    }

    /// Checks the paths to the agents in a range of positions in the routing table.
    fn probe_range(
        &mut self,
        now: Millis,
        table: &RoutingTable,
        range: &Range<usize>,
        tasks: &mut JoinSet<()>,
    ) {
        let services = table.services().iter();
        let agents =
            services.flat_map(|service| service.flow_owners().map(move |it| (service, it)));
        for (idx, (service, agent)) in agents.enumerate().take(range.end).skip(range.start) {
            let Some(status) = service.endpoint_status(agent.endpoint) else {
                continue;
            };
            let traffic = status.traffic();
            // Skip agents without new traffic and without an unanswered datagram.
            let observation = Observation {
                traffic,
                is_awaiting_traffic: false,
            };
            if self.observations[idx] == observation || status.liveness() == Liveness::Dead {
                continue;
            }
            self.probe_agent(now, service, agent, traffic, tasks);
            let is_awaiting_traffic = self.monitor.is_awaiting_traffic(agent.endpoint);
            self.observations[idx] = Observation {
                traffic,
                is_awaiting_traffic,
            };
        }
    }

    /// Checks the path to one agent; sends an echo request or replaces the socket if necessary.
    fn probe_agent(
        &mut self,
        now: Millis,
        service: &ServiceRoutes,
        agent: Candidate,
        traffic: Traffic,
        tasks: &mut JoinSet<()>,
    ) {
        match self.monitor.observe_traffic(now, agent.endpoint, traffic) {
            PathAction::None => {}
            PathAction::Echo { nonce } => self.send_echo_request(service, agent, nonce),
            PathAction::ReplaceSocket { nonce, silent_ms } => {
                let peer = Peer::Endpoint(agent.endpoint);
                let recorder = self.shared.config.recorder.clone();
                recorder.record(Event::TunnelSilent {
                    peer: peer.clone(),
                    silent_ms,
                });
                match self.replace_socket(agent, tasks) {
                    Ok(()) => recorder.record(Event::TunnelReplaced { peer }),
                    Err(err) => {
                        log::warn!(
                            "cannot open a new tunnel socket for silent endpoint {}: {err}",
                            agent.endpoint
                        );
                    }
                }
                self.send_echo_request(service, agent, nonce);
            }
        }
    }

    /// Replaces the tunnel socket for an agent by one with a new port.
    ///
    /// Network devices in between cannot have lost the state of the path from the new port.
    fn replace_socket(&mut self, agent: Candidate, tasks: &mut JoinSet<()>) -> io::Result<()> {
        let replaced = self
            .dedicated_sockets
            .iter()
            .position(|it| it.endpoint == agent.endpoint);
        if replaced.is_none() && self.dedicated_sockets.len() == DEDICATED_SOCKETS_MAX {
            return Err(io::Error::other("too many agents have a dedicated socket"));
        }
        let config = &self.shared.config;
        let address = SocketAddr::new(config.tunnel_address.ip(), 0);
        let buffer = config.service_buffer_bytes;
        let socket = Arc::new(DatagramSocket::bind(
            address,
            AddressSharing::Exclusive,
            buffer,
        )?);
        let serve_task = tasks.spawn(Arc::clone(&self.shared).serve_tunnel(Arc::clone(&socket)));
        if let Some(idx) = replaced {
            let old = self.dedicated_sockets.swap_remove(idx);
            self.closing
                .push((Instant::now() + CLOSE_DELAY, old.serve_task));
        }
        let (endpoint, address) = (agent.endpoint, agent.address);
        self.dedicated_sockets.push(DedicatedSocket {
            endpoint,
            address,
            socket,
            serve_task,
        });
        self.shared.counters.add(Counter::PathRotated, 1);
        self.publish_sockets();
        Ok(())
    }

    /// Sends an echo request to an agent from the socket that currently serves the agent.
    fn send_echo_request(&self, service: &ServiceRoutes, agent: Candidate, nonce: u32) {
        let payload = Echo::new_request(agent.endpoint, nonce).encode();
        let mut datagram = vec![0; PEER_OVERHEAD_BYTES + payload.len()];
        encode_peer(service.id(), service.keys(), &payload, &mut datagram)
            .expect("an echo fits a datagram");
        let dedicated_sockets = self.shared.dedicated_sockets.load();
        let socket = find_dedicated_socket(&dedicated_sockets, agent.address)
            .unwrap_or(&self.shared.tunnels[0]);
        let destination = Destination {
            address: agent.address,
            ecn_bits: 0,
        };
        send_segments(socket, &self.shared.counters, destination, &datagram, None);
        self.shared.counters.add(Counter::EchoAsked, 1);
    }

    /// Closes the dedicated sockets of agents that are dead or that no bundle lists.
    fn close_sockets_of_dead_agents(&mut self, table: &RoutingTable) {
        let is_dead = |service: &ServiceRoutes, id| {
            service
                .endpoint_status(id)
                .is_none_or(|it| it.liveness() == Liveness::Dead)
        };
        let is_kept = |id: EndpointId| {
            let mut services = table.services().iter();
            services
                .any(|it| it.flow_owners().any(|agent| agent.endpoint == id) && !is_dead(it, id))
        };
        let count_before = self.dedicated_sockets.len();
        for idx in (0..count_before).rev() {
            if !is_kept(self.dedicated_sockets[idx].endpoint) {
                self.dedicated_sockets.swap_remove(idx).serve_task.abort();
            }
        }
        if self.dedicated_sockets.len() != count_before {
            self.publish_sockets();
        }
    }

    /// Stops monitoring the paths to endpoints that no bundle lists.
    fn stop_monitoring_unlisted(&mut self, table: &RoutingTable) {
        let services = table.services().iter();
        let mut listed: Vec<EndpointId> = services
            .flat_map(|it| it.flow_owners().map(|agent| agent.endpoint))
            .collect();
        listed.sort_unstable();
        self.monitor.retain(|it| listed.binary_search(&it).is_ok());
    }

    /// Aborts the tasks of replaced sockets whose close delay has elapsed.
    fn close_replaced_sockets(&mut self) {
        self.closing.retain(|(at, serve_task)| {
            let is_due = Instant::now() >= *at;
            if is_due {
                serve_task.abort();
            }
            !is_due
        });
    }

    /// Publishes the list of dedicated sockets to the forwarding tasks.
    fn publish_sockets(&self) {
        let mut dedicated_sockets: DedicatedSockets = self
            .dedicated_sockets
            .iter()
            .map(|it| (it.address, Arc::clone(&it.socket)))
            .collect();
        dedicated_sockets.sort_by_key(|it| it.0);
        self.shared
            .dedicated_sockets
            .store(Arc::new(dedicated_sockets));
    }
}

/// Returns the dedicated tunnel socket for the agent at `address`, if there is one.
pub(crate) fn find_dedicated_socket(
    dedicated_sockets: &DedicatedSockets,
    address: SocketAddr,
) -> Option<&Arc<DatagramSocket>> {
    if dedicated_sockets.is_empty() {
        return None;
    }
    let idx = dedicated_sockets
        .binary_search_by_key(&address, |it| it.0)
        .ok()?;
    Some(&dedicated_sockets[idx].1)
}
