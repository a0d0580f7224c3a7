//! A balancer's stand-in: one service, one endpoint, no decisions.

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

/// Largest datagram relayed.
const DATAGRAM_MAX_BYTES: usize = 2048;

/// Relays datagrams between callers and one agent; it ends when dropped.
#[derive(Debug)]
pub struct Relay {
    service_address: SocketAddr,
    shared: Arc<Shared>,
    /// Ended when the relay is dropped.
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    service: ServiceId,
    keys: Arc<ServiceKeys>,
    front: UdpSocket,
    tunnel: UdpSocket,
    front_address: SocketAddr,
    agent: Mutex<Candidate>,
    bundle_version: AtomicU64,
    datagrams_to_agent: AtomicU64,
    datagrams_to_callers: AtomicU64,
    last_reported_load: Mutex<Load>,
}

impl Relay {
    /// Starts a relay on ephemeral loopback ports.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        service: ServiceId,
        keys: Arc<ServiceKeys>,
        agent: Candidate,
    ) -> io::Result<Self> {
        let front = UdpSocket::bind(("127.0.0.1", 0)).await?;
        let front_address = front.local_addr()?;
        let shared = Arc::new(Shared {
            service,
            keys,
            front,
            tunnel: UdpSocket::bind(("127.0.0.1", 0)).await?,
            front_address,
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
            service_address: front_address,
            shared,
            _tasks: tasks,
        })
    }

    /// Returns where callers send to.
    #[must_use]
    pub fn service_address(&self) -> SocketAddr {
        self.service_address
    }

    /// Returns where the agent sends to.
    ///
    /// # Errors
    ///
    /// Fails if the socket is unusable.
    pub fn tunnel_address(&self) -> io::Result<SocketAddr> {
        self.shared.tunnel.local_addr()
    }

    /// Sends openings to another agent from now on; open flows follow their connection ids there
    /// too, whoever minted them.
    pub fn set_agent(&self, agent: Candidate) {
        *lock(&self.shared.agent) = agent;
    }

    /// Sets the bundle version that headers name.
    pub fn set_bundle_version(&self, version: BundleVersion) {
        let raw = version.get();
        self.shared.bundle_version.store(raw, Ordering::SeqCst);
    }

    /// Returns how many datagrams went to the agent.
    #[must_use]
    pub fn datagrams_to_agent(&self) -> u64 {
        self.shared.datagrams_to_agent.load(Ordering::SeqCst)
    }

    /// Returns how many datagrams went to callers.
    #[must_use]
    pub fn datagrams_to_callers(&self) -> u64 {
        self.shared.datagrams_to_callers.load(Ordering::SeqCst)
    }

    /// Returns the load that the agent's last datagram named.
    #[must_use]
    pub fn last_reported_load(&self) -> Load {
        *lock(&self.shared.last_reported_load)
    }

    /// Sends `payload` to the agent as of a flow, whatever its connection id says.
    ///
    /// # Errors
    ///
    /// Fails if the socket is unusable.
    pub async fn inject_datagram(
        &self,
        caller: SocketAddr,
        incarnation: Incarnation,
        payload: &[u8],
    ) -> io::Result<()> {
        let agent = *lock(&self.shared.agent);
        let header = self
            .shared
            .header(caller, Kind::ToAgent, agent, incarnation);
        self.shared.send(&header, agent, payload).await
    }
}

impl Shared {
    /// Relays from callers to the agent until aborted.
    async fn relay_to_agent(self: Arc<Self>) {
        let mut buf = [0; DATAGRAM_MAX_BYTES];
        loop {
            let Ok((len, caller)) = self.front.recv_from(&mut buf).await else {
                continue;
            };
            let payload = &buf[..len];
            let agent = *lock(&self.agent);
            let Some(packet) = Packet::parse(payload) else {
                continue;
            };
            let header = match cid::decode(&self.keys, packet.dcid()) {
                Some(owner) => self.header(caller, Kind::ToAgent, agent, owner.incarnation),
                None => self.header(caller, Kind::Opening, agent, Incarnation::new(0)),
            };
            // A datagram that can't be sent is lost, as on any network.
            let _ = self.send(&header, agent, payload).await;
        }
    }

    /// Relays from the agent to callers until aborted.
    async fn relay_to_callers(self: Arc<Self>) {
        let ring = SingleServiceKeys::new(self.service, Arc::clone(&self.keys));
        let mut buf = [0; DATAGRAM_MAX_BYTES];
        loop {
            let Ok((len, _agent)) = self.tunnel.recv_from(&mut buf).await else {
                continue;
            };
            let Ok((header, payload)) = flow::tunnel::decode(&buf[..len], &ring) else {
                continue;
            };
            *lock(&self.last_reported_load) = header.load;
            self.datagrams_to_callers.fetch_add(1, Ordering::SeqCst);
            let _ = self.front.send_to(payload, header.caller).await;
        }
    }

    fn header(
        &self,
        caller: SocketAddr,
        kind: Kind,
        agent: Candidate,
        incarnation: Incarnation,
    ) -> Header {
        let opening = Opening::new(&[agent], 1, 0).expect("one candidate is a list");
        let is_opening = kind == Kind::Opening;
        Header {
            kind,
            service: self.service,
            endpoint: agent.endpoint,
            incarnation,
            bundle_version: BundleVersion::new(self.bundle_version.load(Ordering::SeqCst)),
            caller,
            local: self.front_address,
            ecn: flow::tunnel::Ecn::default(),
            load: Load::default(),
            opening: is_opening.then_some(opening),
        }
    }

    async fn send(&self, header: &Header, agent: Candidate, payload: &[u8]) -> io::Result<()> {
        let mut out = [0; OPENING_OVERHEAD_BYTES + DATAGRAM_MAX_BYTES];
        let len = flow::tunnel::encode(header, &self.keys, payload, &mut out)
            .map_err(io::Error::other)?;
        self.datagrams_to_agent.fetch_add(1, Ordering::SeqCst);
        self.tunnel.send_to(&out[..len], agent.address).await?;
        Ok(())
    }
}

/// Returns the endpoint an agent stands beside, as a candidate for openings.
#[must_use]
pub fn candidate(endpoint: EndpointId, address: SocketAddr) -> Candidate {
    Candidate { endpoint, address }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
