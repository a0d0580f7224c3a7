//! Keeps the paths to agents working: echoes on quiet ones, a fresh socket for silent ones.

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

use super::serve::Shared;
use crate::{
    counters::Counter,
    outgoing::{Destination, send},
    path_monitor::{PathAction, PathMonitor},
    socket::{DatagramSocket, Sharing},
};

/// Time between two looks at the paths.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a replaced socket still receives what agents sent before they knew the new one.
const CLOSE_AFTER: Duration = Duration::from_secs(3);

/// Positions between the agents that two looks begin with.
const FIRST_STEP: usize = 7;

/// Most agents with a socket of their own; silence of more at once is no matter of single paths.
const DETOURS_MAX: usize = 64;

/// The sockets in use in place of the tunnel's, sorted by the agent's address.
pub(crate) type Detours = Vec<(SocketAddr, Arc<DatagramSocket>)>;

/// Keeps the paths to agents working.
#[derive(Debug)]
pub(super) struct Paths {
    shared: Arc<Shared>,
    watch: PathMonitor,
    answers: mpsc::Receiver<Echo>,
    /// At most `DETOURS_MAX`.
    detours: Vec<Detour>,
    /// Replaced sockets, and when they are closed.
    closing: Vec<(Instant, AbortHandle)>,
    started: Instant,
    looked_at: Instant,
    looks: usize,
    /// The table at the last look.
    table: Arc<RoutingTable>,
    /// What was seen at the last look, in the order of the table's agents.
    seen: Vec<Seen>,
}

/// An agent's traffic at the last look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    traffic: Traffic,
    is_waiting: bool,
}

impl Seen {
    const NOTHING: Self = Self {
        traffic: Traffic {
            sent: 0,
            answered: 0,
        },
        is_waiting: false,
    };
}

#[derive(Debug)]
struct Detour {
    endpoint: EndpointId,
    address: SocketAddr,
    socket: Arc<DatagramSocket>,
    serving: AbortHandle,
}

impl Paths {
    pub(super) fn new(shared: Arc<Shared>, answers: mpsc::Receiver<Echo>) -> Self {
        let now = Instant::now();
        let shared_table = shared.table.load_full();
        Self {
            shared,
            watch: PathMonitor::default(),
            answers,
            table: shared_table,
            seen: Vec::new(),
            detours: Vec::new(),
            closing: Vec::new(),
            started: now,
            looked_at: now,
            looks: 0,
        }
    }

    /// Looks at every path if it is time to; new sockets are served by `tasks`.
    pub(super) fn look(&mut self, tasks: &mut JoinSet<()>) {
        if self.looked_at.elapsed() < LOOK_INTERVAL {
            return;
        }
        self.looked_at = Instant::now();
        let now = Millis::from_duration(self.started.elapsed());
        while let Ok(echo) = self.answers.try_recv() {
            self.watch.handle_echo_reply(echo.endpoint, echo.nonce);
        }
        let table = self.shared.table.load_full();
        if !Arc::ptr_eq(&self.table, &table) {
            self.forget_unnamed(&table);
            self.table = Arc::clone(&table);
            self.seen.clear();
        }
        self.forget_gone(&table);
        // Questions are limited, so each look begins with another agent.
        let agents: usize = table
            .services()
            .iter()
            .map(|it| it.flow_owners().count())
            .sum();
        self.seen.resize(agents, Seen::NOTHING);
        self.looks = self.looks.wrapping_add(FIRST_STEP);
        let first = self.looks.checked_rem(agents).unwrap_or_default();
        for range in [first..agents, 0..first] {
            self.look_in(now, &table, &range, tasks);
        }
        self.close_replaced();
    }

    /// Looks at the agents whose positions in the table are given.
    fn look_in(
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
            let Some(cell) = service.endpoint_status(agent.endpoint) else {
                continue;
            };
            let traffic = cell.traffic();
            // Where nothing moved and nothing is expected, there is nothing to decide.
            let seen = Seen {
                traffic,
                is_waiting: false,
            };
            if self.seen[idx] == seen || cell.liveness() == Liveness::Dead {
                continue;
            }
            self.look_at(now, service, agent, traffic, tasks);
            let is_waiting = self.watch.is_awaiting_traffic(agent.endpoint);
            self.seen[idx] = Seen {
                traffic,
                is_waiting,
            };
        }
    }

    fn look_at(
        &mut self,
        now: Millis,
        service: &ServiceRoutes,
        agent: Candidate,
        traffic: Traffic,
        tasks: &mut JoinSet<()>,
    ) {
        match self.watch.observe(now, agent.endpoint, traffic) {
            PathAction::None => {}
            PathAction::Echo { nonce } => self.ask(service, agent, nonce),
            PathAction::Rotate { nonce, silent_ms } => {
                let peer = Peer::Endpoint(agent.endpoint);
                let recorder = self.shared.config.recorder.clone();
                recorder.record(Event::TunnelSilent {
                    peer: peer.clone(),
                    silent_ms,
                });
                match self.rotate(agent, tasks) {
                    Ok(()) => recorder.record(Event::TunnelReplaced { peer }),
                    Err(err) => {
                        log::warn!(
                            "no fresh tunnel socket for endpoint {}: {err}",
                            agent.endpoint
                        );
                    }
                }
                self.ask(service, agent, nonce);
            }
        }
    }

    /// Takes a fresh socket, whose port nothing in between has lost track of.
    fn rotate(&mut self, agent: Candidate, tasks: &mut JoinSet<()>) -> io::Result<()> {
        let replaced = self
            .detours
            .iter()
            .position(|it| it.endpoint == agent.endpoint);
        if replaced.is_none() && self.detours.len() == DETOURS_MAX {
            return Err(io::Error::other(
                "too many agents have a socket of their own",
            ));
        }
        let config = &self.shared.config;
        let address = SocketAddr::new(config.tunnel_address.ip(), 0);
        let buffer = config.service_buffer_bytes;
        let socket = Arc::new(DatagramSocket::bind(address, Sharing::Exclusive, buffer)?);
        let serving = tasks.spawn(Arc::clone(&self.shared).serve_tunnel(Arc::clone(&socket)));
        if let Some(idx) = replaced {
            let old = self.detours.swap_remove(idx);
            self.closing
                .push((Instant::now() + CLOSE_AFTER, old.serving));
        }
        let (endpoint, address) = (agent.endpoint, agent.address);
        self.detours.push(Detour {
            endpoint,
            address,
            socket,
            serving,
        });
        self.shared.counters.add(Counter::PathRotated, 1);
        self.publish();
        Ok(())
    }

    fn ask(&self, service: &ServiceRoutes, agent: Candidate, nonce: u32) {
        let payload = Echo::request(agent.endpoint, nonce).encode();
        let mut datagram = vec![0; PEER_OVERHEAD_BYTES + payload.len()];
        encode_peer(service.id(), service.keys(), &payload, &mut datagram)
            .expect("an echo fits a datagram");
        let detours = self.shared.detours.load();
        let socket = towards(&detours, agent.address).unwrap_or(&self.shared.tunnels[0]);
        let destination = Destination {
            address: agent.address,
            ecn_bits: 0,
        };
        send(socket, &self.shared.counters, destination, &datagram, None);
        self.shared.counters.add(Counter::EchoAsked, 1);
    }

    /// Drops what is held of agents that are dead or that no bundle names.
    fn forget_gone(&mut self, table: &RoutingTable) {
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
        let held = self.detours.len();
        for idx in (0..held).rev() {
            if !is_kept(self.detours[idx].endpoint) {
                self.detours.swap_remove(idx).serving.abort();
            }
        }
        if self.detours.len() != held {
            self.publish();
        }
    }

    /// Forgets the paths to endpoints that no bundle names.
    fn forget_unnamed(&mut self, table: &RoutingTable) {
        let services = table.services().iter();
        let mut named: Vec<EndpointId> = services
            .flat_map(|it| it.flow_owners().map(|agent| agent.endpoint))
            .collect();
        named.sort_unstable();
        self.watch.retain(|it| named.binary_search(&it).is_ok());
    }

    fn close_replaced(&mut self) {
        self.closing.retain(|(at, serving)| {
            let is_due = Instant::now() >= *at;
            if is_due {
                serving.abort();
            }
            !is_due
        });
    }

    fn publish(&self) {
        let mut detours: Detours = self
            .detours
            .iter()
            .map(|it| (it.address, Arc::clone(&it.socket)))
            .collect();
        detours.sort_by_key(|it| it.0);
        self.shared.detours.store(Arc::new(detours));
    }
}

/// Finds the socket in use in place of the tunnel's for an agent.
pub(crate) fn towards(detours: &Detours, address: SocketAddr) -> Option<&Arc<DatagramSocket>> {
    if detours.is_empty() {
        return None;
    }
    let idx = detours.binary_search_by_key(&address, |it| it.0).ok()?;
    Some(&detours[idx].1)
}
