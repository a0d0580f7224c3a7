//! The agent's UDP socket: carries QUIC datagrams in tunnel datagrams through any live balancer.

mod addresses;
mod inbox;
mod live_balancers;
mod load;

use std::{
    cell::RefCell,
    fmt,
    io::{self, IoSliceMut},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
    time::Instant,
};

use flow::{
    key::ServiceKeys,
    tunnel::{Ecn, Header, Kind, TUNNEL_OVERHEAD_BYTES},
};
use quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{EcnCodepoint, RecvMeta, Transmit, UdpSockRef, UdpSocketState},
};
use tokio::{
    io::Interest,
    net::UdpSocket,
    sync::{mpsc, watch},
};
use units::{BundleVersion, EndpointId, Incarnation, Millis, ServiceId};

use crate::counters::Counters;

use addresses::ServiceAddresses;
use inbox::Inbox;

pub use live_balancers::LiveBalancers;
pub use load::LoadCell;

/// Maximum size of a QUIC datagram: the Ethernet MTU minus the IPv6, UDP and tunnel headers.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the tunnel header is far smaller than the MTU"
)]
pub const QUIC_DATAGRAM_MAX_BYTES: u16 = 1500 - 40 - 8 - TUNNEL_OVERHEAD_BYTES as u16;

/// Maximum number of datagrams sent by one system call.
const SEND_SEGMENTS_MAX: usize = 32;

/// Maximum number of datagrams from other processes queued for the task that reads them.
const PEER_QUEUE_MAX: usize = 1024;

/// Size requested for the kernel's send buffer and receive buffer of the tunnel socket.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

thread_local! {
    /// Buffer in which a batch of tunnel datagrams is encoded before it is sent.
    static SEND_BUFFER: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Identity and keys of the agent, for checking the headers of received datagrams and filling those
/// of sent ones.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) service: ServiceId,
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) keys: Arc<ServiceKeys>,
}

/// Datagram from another process of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDatagram {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Payload of the datagram, whose MAC was verified.
    pub payload: Vec<u8>,
}

/// The agent's socket in the form that the QUIC library uses.
pub(crate) struct TunnelSocket {
    shared: Arc<SocketState>,
    /// Received datagrams, locked by the endpoint driver of the QUIC library only.
    inbox: Mutex<Inbox>,
}

/// State that the sending and the receiving side of the tunnel socket share.
#[derive(Debug)]
pub(crate) struct SocketState {
    io: UdpSocket,
    state: UdpSocketState,
    identity: Identity,
    balancers: Arc<LiveBalancers>,
    load: Arc<LoadCell>,
    addresses: ServiceAddresses,
    counters: Arc<Counters>,
    version: watch::Receiver<BundleVersion>,
    highest_seen_version: watch::Sender<BundleVersion>,
    peers: mpsc::Sender<PeerDatagram>,
    started: Instant,
}

/// Parameters of a new tunnel socket.
#[derive(Debug)]
pub(crate) struct SocketParts {
    pub(crate) identity: Identity,
    pub(crate) balancers: Arc<LiveBalancers>,
    pub(crate) load: Arc<LoadCell>,
    pub(crate) counters: Arc<Counters>,
    /// Version of the current bundle.
    pub(crate) version: watch::Receiver<BundleVersion>,
    /// Highest bundle version seen in a tunnel header.
    pub(crate) highest_seen_version: watch::Sender<BundleVersion>,
}

impl TunnelSocket {
    /// Binds the tunnel socket; returns it with the receiver of datagrams from other processes.
    pub(crate) fn bind(
        address: SocketAddr,
        parts: SocketParts,
    ) -> io::Result<(Self, mpsc::Receiver<PeerDatagram>)> {
        let socket = std::net::UdpSocket::bind(address)?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        socket.set_nonblocking(true)?;
        // The kernel may grant smaller buffers; then bursts lose more datagrams.
        let _ = state.set_recv_buffer_size(UdpSockRef::from(&socket), SOCKET_BUFFER_BYTES);
        let _ = state.set_send_buffer_size(UdpSockRef::from(&socket), SOCKET_BUFFER_BYTES);
        let (peers, peer_datagrams) = mpsc::channel(PEER_QUEUE_MAX);
        let shared = Arc::new(SocketState {
            io: UdpSocket::from_std(socket)?,
            state,
            identity: parts.identity,
            balancers: parts.balancers,
            load: parts.load,
            addresses: ServiceAddresses::default(),
            counters: parts.counters,
            version: parts.version,
            highest_seen_version: parts.highest_seen_version,
            peers,
            started: Instant::now(),
        });
        let inbox = Mutex::new(Inbox::new(Arc::clone(&shared)));
        Ok((Self { shared, inbox }, peer_datagrams))
    }

    /// Returns the state that is shared with senders of datagrams to other processes.
    pub(crate) fn shared(&self) -> Arc<SocketState> {
        Arc::clone(&self.shared)
    }
}

impl SocketState {
    /// Returns the time since the tunnel socket was bound.
    pub(crate) fn now(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }

    /// Sends an authenticated datagram to another process of the system.
    pub(crate) fn send_peer(&self, to: SocketAddr, payload: &[u8]) -> io::Result<()> {
        let mut out = vec![0; flow::tunnel::PEER_OVERHEAD_BYTES + payload.len()];
        let Identity { service, keys, .. } = &self.identity;
        let len = flow::tunnel::encode_peer(*service, keys, payload, &mut out)
            .map_err(io::Error::other)?;
        self.io.try_send_to(&out[..len], to).map(drop)
    }

    /// Returns the local address of the tunnel socket.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Encapsulates a batch of QUIC datagrams and sends them through the next live balancer.
    fn send_to_caller(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let local = transmit.src_ip.and_then(|it| self.addresses.resolve(it));
        let (Some(local), Some(balancer)) = (local, self.balancers.next_balancer()) else {
            self.counters.datagrams_unroutable.add_one();
            return Ok(());
        };
        let header = Header {
            kind: Kind::ToCaller,
            service: self.identity.service,
            endpoint: self.identity.endpoint,
            incarnation: self.identity.incarnation,
            bundle_version: *self.version.borrow(),
            caller: transmit.destination,
            local,
            ecn: Ecn::new(transmit.ecn.map_or(0, |it| it as u8)),
            load: self.load.get(),
            opening: None,
        };
        SEND_BUFFER
            .with_borrow_mut(|out| self.send_encapsulated(&header, transmit, balancer, out))?;
        if header.load.is_leaving {
            self.send_duplicate(&header, transmit, balancer);
        }
        Ok(())
    }

    /// Sends a copy of a leaving agent's datagrams through a balancer on another instance.
    ///
    /// QUIC does not retransmit the last datagram of a connection. If it is lost at a balancer that
    /// just failed, the caller keeps a connection that no agent knows, and its next packet is
    /// answered with a reset.
    fn send_duplicate(&self, header: &Header, transmit: &Transmit<'_>, first: SocketAddr) {
        let Some(second) = self.balancers.next_on_other_instance(first) else {
            return;
        };
        // The datagrams were sent once already, so a failure to send the copy only loses the
        // redundancy.
        let _ = SEND_BUFFER
            .with_borrow_mut(|out| self.send_encapsulated(header, transmit, second, out));
    }

    fn send_encapsulated(
        &self,
        header: &Header,
        transmit: &Transmit<'_>,
        balancer: SocketAddr,
        out: &mut Vec<u8>,
    ) -> io::Result<()> {
        let segment = transmit.segment_size.unwrap_or(transmit.contents.len());
        let mut sent = 0;
        out.clear();
        for payload in transmit.contents.chunks(segment.max(1)) {
            let start = out.len();
            out.resize(start + TUNNEL_OVERHEAD_BYTES + payload.len(), 0);
            flow::tunnel::encode(header, &self.identity.keys, payload, &mut out[start..])
                .map_err(io::Error::other)?;
            sent += 1;
        }
        let is_batch = sent > 1;
        let encapsulated = Transmit {
            destination: balancer,
            ecn: None,
            contents: out,
            segment_size: is_batch.then_some(segment + TUNNEL_OVERHEAD_BYTES),
            src_ip: None,
        };
        self.io.try_io(Interest::WRITABLE, || {
            self.state.send(UdpSockRef::from(&self.io), &encapsulated)
        })?;
        self.counters.datagrams_sent.add(sent);
        Ok(())
    }
}

impl fmt::Debug for TunnelSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TunnelSocket")
            .field("shared", &self.shared)
            .finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for TunnelSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritablePoller {
            shared: Arc::clone(&self.shared),
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.shared.send_to_caller(transmit)
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let count = inbox.unwrap_received(bufs, meta);
            if count > 0 {
                return Poll::Ready(Ok(count));
            }
            ready!(self.shared.io.poll_recv_ready(cx))?;
            match inbox.receive_batch() {
                Ok(()) => (),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => (),
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.shared.io.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.shared.state.max_gso_segments().min(SEND_SEGMENTS_MAX)
    }

    fn max_receive_segments(&self) -> usize {
        1
    }

    fn may_fragment(&self) -> bool {
        self.shared.state.may_fragment()
    }
}

/// Poller that completes once the tunnel socket is writable.
#[derive(Debug)]
struct WritablePoller {
    shared: Arc<SocketState>,
}

impl UdpPoller for WritablePoller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shared.io.poll_send_ready(cx)
    }
}

/// Converts the ECN bits of a tunnel header for the QUIC library.
fn ecn_codepoint(ecn: Ecn) -> Option<EcnCodepoint> {
    EcnCodepoint::from_bits(ecn.get())
}
