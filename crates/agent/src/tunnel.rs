//! The agent's socket: QUIC datagrams in tunnel datagrams, through any live balancer.

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

use addresses::Addresses;
use inbox::Inbox;

pub use live_balancers::LiveBalancers;
pub use load::LoadCell;

/// Largest QUIC datagram: an Ethernet frame's payload less IPv6, UDP and tunnel headers.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a header is far smaller than a frame"
)]
pub const QUIC_DATAGRAM_MAX_BYTES: u16 = 1500 - 40 - 8 - TUNNEL_OVERHEAD_BYTES as u16;

/// Most datagrams sent by one system call.
const SEND_SEGMENTS_MAX: usize = 32;

/// Peer datagrams that may wait for their reader.
const PEER_QUEUE_MAX: usize = 1024;

/// Room asked of the kernel for datagrams that wait, in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

thread_local! {
    /// Where a batch is put together before it is sent.
    static OUTBOX: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Whose datagrams the socket takes and what it puts into headers.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) service: ServiceId,
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) keys: Arc<ServiceKeys>,
}

/// A datagram of another process of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDatagram {
    /// The sender's address.
    pub from: SocketAddr,
    /// What it says; the MAC was right.
    pub payload: Vec<u8>,
}

/// The agent's socket, as the QUIC library sees it.
pub(crate) struct TunnelSocket {
    shared: Arc<Shared>,
    /// Locked only by the endpoint's driver.
    inbox: Mutex<Inbox>,
}

/// What sending and receiving share.
#[derive(Debug)]
pub(crate) struct Shared {
    io: UdpSocket,
    state: UdpSocketState,
    identity: Identity,
    balancers: Arc<LiveBalancers>,
    load: Arc<LoadCell>,
    addresses: Addresses,
    counters: Arc<Counters>,
    version: watch::Receiver<BundleVersion>,
    newer_version: watch::Sender<BundleVersion>,
    peers: mpsc::Sender<PeerDatagram>,
    started: Instant,
}

/// What a new socket is made of.
#[derive(Debug)]
pub(crate) struct SocketParts {
    pub(crate) identity: Identity,
    pub(crate) balancers: Arc<LiveBalancers>,
    pub(crate) load: Arc<LoadCell>,
    pub(crate) counters: Arc<Counters>,
    /// Version of the bundle in force.
    pub(crate) version: watch::Receiver<BundleVersion>,
    /// Highest version seen in a header.
    pub(crate) newer_version: watch::Sender<BundleVersion>,
}

impl TunnelSocket {
    /// Opens the socket; returns it with what peers send to it.
    pub(crate) fn bind(
        address: SocketAddr,
        parts: SocketParts,
    ) -> io::Result<(Self, mpsc::Receiver<PeerDatagram>)> {
        let socket = std::net::UdpSocket::bind(address)?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        socket.set_nonblocking(true)?;
        // The kernel may grant less; then bursts lose more.
        let _ = state.set_recv_buffer_size(UdpSockRef::from(&socket), SOCKET_BUFFER_BYTES);
        let _ = state.set_send_buffer_size(UdpSockRef::from(&socket), SOCKET_BUFFER_BYTES);
        let (peers, peer_datagrams) = mpsc::channel(PEER_QUEUE_MAX);
        let shared = Arc::new(Shared {
            io: UdpSocket::from_std(socket)?,
            state,
            identity: parts.identity,
            balancers: parts.balancers,
            load: parts.load,
            addresses: Addresses::default(),
            counters: parts.counters,
            version: parts.version,
            newer_version: parts.newer_version,
            peers,
            started: Instant::now(),
        });
        let inbox = Mutex::new(Inbox::new(Arc::clone(&shared)));
        Ok((Self { shared, inbox }, peer_datagrams))
    }

    /// Returns what sends datagrams to peers.
    pub(crate) fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }
}

impl Shared {
    /// Returns the time since the socket was opened.
    pub(crate) fn now(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }

    /// Sends a datagram of one process of the system to another.
    pub(crate) fn send_peer(&self, to: SocketAddr, payload: &[u8]) -> io::Result<()> {
        let mut out = vec![0; flow::tunnel::PEER_OVERHEAD_BYTES + payload.len()];
        let Identity { service, keys, .. } = &self.identity;
        let len = flow::tunnel::encode_peer(*service, keys, payload, &mut out)
            .map_err(io::Error::other)?;
        self.io.try_send_to(&out[..len], to).map(drop)
    }

    /// Returns the socket's address.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Wraps the datagrams of a transmit and sends them through the next balancer in turn.
    fn send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let local = transmit.src_ip.and_then(|it| self.addresses.find(it));
        let (Some(local), Some(balancer)) = (local, self.balancers.next()) else {
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
        OUTBOX.with_borrow_mut(|out| self.send_wrapped(&header, transmit, balancer, out))?;
        if header.load.is_leaving {
            self.send_again(&header, transmit, balancer);
        }
        Ok(())
    }

    /// Sends a leaving agent's datagrams through a second balancer too.
    ///
    /// A connection's last datagram is never repeated by QUIC. If it goes to a balancer that has
    /// just died, the caller keeps a connection of which nobody knows, and its next packet is
    /// answered by a reset.
    fn send_again(&self, header: &Header, transmit: &Transmit<'_>, first: SocketAddr) {
        let Some(second) = self.balancers.next_on_other_instance(first) else {
            return;
        };
        // The first copy is on its way; losing this one is no more than a lost datagram.
        let _ = OUTBOX.with_borrow_mut(|out| self.send_wrapped(header, transmit, second, out));
    }

    fn send_wrapped(
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
        let wrapped = Transmit {
            destination: balancer,
            ecn: None,
            contents: out,
            segment_size: is_batch.then_some(segment + TUNNEL_OVERHEAD_BYTES),
            src_ip: None,
        };
        self.io.try_io(Interest::WRITABLE, || {
            self.state.send(UdpSockRef::from(&self.io), &wrapped)
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
        Box::pin(Writable {
            shared: Arc::clone(&self.shared),
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.shared.send(transmit)
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let count = inbox.drain(bufs, meta);
            if count > 0 {
                return Poll::Ready(Ok(count));
            }
            ready!(self.shared.io.poll_recv_ready(cx))?;
            match inbox.receive() {
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

/// Wakes one task when the socket becomes writable.
#[derive(Debug)]
struct Writable {
    shared: Arc<Shared>,
}

impl UdpPoller for Writable {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shared.io.poll_send_ready(cx)
    }
}

/// Returns the congestion notification bits in the QUIC library's form.
fn ecn_codepoint(ecn: Ecn) -> Option<EcnCodepoint> {
    EcnCodepoint::from_bits(ecn.get())
}
