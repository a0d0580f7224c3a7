//! Test double of a balancer that relays one service's datagrams to one agent.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use flow::{
    cid,
    key::ServiceKeys,
    quic::Packet,
    tunnel::{Candidate, Header, Kind, Load, OPENING_OVERHEAD_BYTES, Opening, SingleServiceKeys},
};
use tokio::{net::UdpSocket, task::JoinSet};
use units::{BundleVersion, EndpointId, Incarnation, ServiceId};

/// Size of the relay's receive buffers, and so of the largest datagram that is relayed whole.
const DATAGRAM_MAX_BYTES: usize = 2048;

/// Relays datagrams between callers and one agent; dropping the relay stops it.
#[derive(Debug)]
pub struct Relay {
    service_address: SocketAddr,
    shared: Arc<Shared>,
    /// Tasks that relay datagrams; they are aborted when the relay is dropped.
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    service: ServiceId,
    keys: Arc<ServiceKeys>,
    caller_socket: UdpSocket,
    tunnel: UdpSocket,
    caller_socket_address: SocketAddr,
    agent: Mutex<Candidate>,
    bundle_version: AtomicU64,
    datagrams_to_agent: AtomicU64,
    datagrams_to_callers: AtomicU64,
    last_reported_load: Mutex<Load>,
}

impl Relay {
    /// Starts a relay of one service to an agent, on ephemeral loopback ports.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn start(
        service: ServiceId,
        keys: Arc<ServiceKeys>,
        agent: Candidate,
    ) -> io::Result<Self> {
        let caller_socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
        let caller_socket_address = caller_socket.local_addr()?;
        let shared = Arc::new(Shared {
            service,
            keys,
            caller_socket,
            tunnel: UdpSocket::bind(("127.0.0.1", 0)).await?,
            caller_socket_address,
            agent: Mutex::new(agent),
            bundle_version: AtomicU64::new(0),
            datagrams_to_agent: AtomicU64::new(0),
            datagrams_to_callers: AtomicU64::new(0),
            last_reported_load: Mutex::new(Load::default()),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&shared).relay_to_agent());
        tasks.spawn(Arc::clone(&shared).relay_to_callers());
        Ok(Self {
            service_address: caller_socket_address,
            shared,
            _tasks: tasks,
        })
    }

    /// Returns the relay's address that callers send datagrams to.
    #[must_use]
    pub fn service_address(&self) -> SocketAddr {
        self.service_address
    }

    /// Returns the relay's address that the agent sends tunnel datagrams to.
    ///
    /// # Errors
    ///
    /// Fails if the socket's local address can't be read.
    pub fn tunnel_address(&self) -> io::Result<SocketAddr> {
        self.shared.tunnel.local_addr()
    }

    /// Sends all further datagrams to another agent, whether they open a flow or belong to an open
    /// flow. The agent that issued a datagram's connection id isn't taken into account.
    pub fn set_agent(&self, agent: Candidate) {
        *lock(&self.shared.agent) = agent;
    }

    /// Sets the bundle version in the tunnel headers of datagrams to the agent.
    pub fn set_bundle_version(&self, version: BundleVersion) {
        let raw = version.get();
        self.shared.bundle_version.store(raw, Ordering::SeqCst);
    }

    /// Returns how many datagrams the relay sent to the agent, including injected ones.
    #[must_use]
    pub fn datagrams_to_agent(&self) -> u64 {
        self.shared.datagrams_to_agent.load(Ordering::SeqCst)
    }

    /// Returns how many datagrams the relay sent from the agent to callers.
    #[must_use]
    pub fn datagrams_to_callers(&self) -> u64 {
        self.shared.datagrams_to_callers.load(Ordering::SeqCst)
    }

    /// Returns the load that the agent reported in the tunnel header of its last valid datagram.
    #[must_use]
    pub fn last_reported_load(&self) -> Load {
        *lock(&self.shared.last_reported_load)
    }

    /// Sends `payload` to the agent in a tunnel datagram of an open flow.
    ///
    /// The tunnel header names `incarnation`, not the incarnation in the payload's connection id.
    ///
    /// # Errors
    ///
    /// Fails if the tunnel datagram can't be encoded or sent.
    pub async fn inject_datagram(
        &self,
        caller: SocketAddr,
        incarnation: Incarnation,
        payload: &[u8],
    ) -> io::Result<()> {
        let agent = *lock(&self.shared.agent);
        let header = self
            .shared
            .build_header(caller, Kind::ToAgent, agent, incarnation);
        self.shared.send_to_agent(&header, agent, payload).await
    }
}

impl Shared {
    /// Relays datagrams from callers to the agent until the task is aborted.
    async fn relay_to_agent(self: Arc<Self>) {
        let mut buf = [0; DATAGRAM_MAX_BYTES];
        loop {
            let Ok((len, caller)) = self.caller_socket.recv_from(&mut buf).await else {
                continue;
            };
            let payload = &buf[..len];
            let agent = *lock(&self.agent);
            let Some(packet) = Packet::parse(payload) else {
                continue;
            };
            let header = match cid::decode(&self.keys, packet.dcid()) {
                Some(owner) => self.build_header(caller, Kind::ToAgent, agent, owner.incarnation),
                None => self.build_header(caller, Kind::Opening, agent, Incarnation::new(0)),
            };
            // A failed send counts as loss of the datagram.
            let _ = self.send_to_agent(&header, agent, payload).await;
        }
    }

    /// Relays datagrams from the agent to callers until the task is aborted.
    async fn relay_to_callers(self: Arc<Self>) {
        let key_ring = SingleServiceKeys::new(self.service, Arc::clone(&self.keys));
        let mut buf = [0; DATAGRAM_MAX_BYTES];
        loop {
            let Ok((len, _agent)) = self.tunnel.recv_from(&mut buf).await else {
                continue;
            };
            let Ok((header, payload)) = flow::tunnel::decode(&buf[..len], &key_ring) else {
                continue;
            };
            *lock(&self.last_reported_load) = header.load;
            self.datagrams_to_callers.fetch_add(1, Ordering::SeqCst);
            let _ = self.caller_socket.send_to(payload, header.caller).await;
        }
    }

    fn build_header(
        &self,
        caller: SocketAddr,
        kind: Kind,
        agent: Candidate,
        incarnation: Incarnation,
    ) -> Header {
        let opening = Opening::new(&[agent], 1, 0).expect("an opening accepts a single candidate");
        let is_opening = kind == Kind::Opening;
        Header {
            kind,
            service: self.service,
            endpoint: agent.endpoint,
            incarnation,
            bundle_version: BundleVersion::new(self.bundle_version.load(Ordering::SeqCst)),
            caller,
            local: self.caller_socket_address,
            ecn: flow::tunnel::Ecn::default(),
            load: Load::default(),
            opening: is_opening.then_some(opening),
        }
    }

    async fn send_to_agent(
        &self,
        header: &Header,
        agent: Candidate,
        payload: &[u8],
    ) -> io::Result<()> {
        let mut out = [0; OPENING_OVERHEAD_BYTES + DATAGRAM_MAX_BYTES];
        let len = flow::tunnel::encode(header, &self.keys, payload, &mut out)
            .map_err(io::Error::other)?;
        self.datagrams_to_agent.fetch_add(1, Ordering::SeqCst);
        self.tunnel.send_to(&out[..len], agent.address).await?;
        Ok(())
    }
}

/// Returns an endpoint whose agent listens at `address` as a candidate in opening headers.
#[must_use]
pub fn opening_candidate(endpoint: EndpointId, address: SocketAddr) -> Candidate {
    Candidate { endpoint, address }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
