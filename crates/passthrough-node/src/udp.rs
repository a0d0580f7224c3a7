//! UDP sockets that receive and send batches of datagrams with one system call.

use std::{
    fmt,
    io::{self, IoSlice, IoSliceMut},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    os::fd::AsRawFd as _,
};

use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrIn, recvmmsg, sendmmsg};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::Interest, net::UdpSocket};

use crate::NodeError;

/// Maximum size of a datagram, in bytes. A packet of 1,232 bytes behind a message header with eight
/// candidate agents is smaller, and so is a message with a chunk of a catalog.
const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Maximum number of datagrams received or sent with one system call; a batch holds a caller's
/// whole window of packets.
const BATCH_DATAGRAMS: usize = 16;

/// Size of a socket's receive buffer, which holds the datagrams that arrive while the process waits
/// a tenth of a second to be scheduled.
const RECEIVE_BUFFER_BYTES: usize = 512 * 1024;

/// Maximum number of batches that are discarded at once; a full receive buffer of the smallest
/// datagrams holds fewer.
const DISCARDED_BATCHES_MAX: usize = 1_024;

/// Opens a non-blocking UDP socket.
pub(crate) fn bind_udp_socket(
    purpose: &'static str,
    address: SocketAddr,
) -> Result<UdpSocket, NodeError> {
    open_socket(address).map_err(|source| NodeError::Socket {
        purpose,
        address,
        source,
    })
}

fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // The system may grant a smaller buffer; then only bursts of datagrams are lost.
    let _granted = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// Buffers for a batch of received datagrams.
pub(crate) struct Inbox {
    headers: MultiHeaders<SockaddrIn>,
    buffers: Vec<[u8; DATAGRAM_MAX_BYTES]>,
    /// Length and sender of each datagram of the last received batch.
    received: Vec<(usize, SocketAddrV4)>,
}

impl Inbox {
    pub(crate) fn new() -> Self {
        Self {
            headers: MultiHeaders::preallocate(BATCH_DATAGRAMS, None),
            buffers: vec![[0; DATAGRAM_MAX_BYTES]; BATCH_DATAGRAMS],
            received: Vec::with_capacity(BATCH_DATAGRAMS),
        }
    }

    /// Receives the available datagrams, up to a full batch, and returns the number received.
    pub(crate) fn receive_batch(&mut self, socket: &UdpSocket) -> usize {
        self.received.clear();
        // A pending socket error, caused by a datagram that its target rejected, also ends the
        // batch.
        let _empty = socket.try_io(Interest::READABLE, || {
            self.receive_now(socket)?;
            if self.received.len() < BATCH_DATAGRAMS {
                // The socket has no more datagrams. This call clears the socket's readiness, so
                // that the next wait blocks.
                return Err(io::ErrorKind::WouldBlock.into());
            }
            Ok(())
        });
        self.received.len()
    }

    /// Discards the datagrams that wait in the socket, and returns their number.
    ///
    /// The socket is read whether the runtime has noticed the datagrams or not: a process that was
    /// stopped while it waited is woken by its timers first.
    pub(crate) fn discard_waiting(&mut self, socket: &UdpSocket) -> usize {
        let mut discarded = 0;
        for _ in 0..DISCARDED_BATCHES_MAX {
            // An error is that of an earlier datagram, or the socket has no more datagrams.
            let _empty = self.receive_now(socket);
            discarded += self.received.len();
            if self.received.len() < BATCH_DATAGRAMS {
                break;
            }
        }
        discarded
    }

    /// Reads the socket once, without waiting.
    fn receive_now(&mut self, socket: &UdpSocket) -> io::Result<()> {
        self.received.clear();
        let mut buffers = self.buffers.iter_mut();
        let mut slices: [[IoSliceMut<'_>; 1]; BATCH_DATAGRAMS] = std::array::from_fn(|_| {
            [IoSliceMut::new(match buffers.next() {
                Some(buffer) => buffer,
                None => &mut [],
            })]
        });
        let results = recvmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter_mut(),
            MsgFlags::MSG_DONTWAIT,
            None,
        )?;
        for it in results {
            // A datagram without an IPv4 sender can't be answered, so it gets a placeholder.
            let (ip, port) = it
                .address
                .map_or((Ipv4Addr::UNSPECIFIED, 0), |from| (from.ip(), from.port()));
            self.received.push((it.bytes, SocketAddrV4::new(ip, port)));
        }
        Ok(())
    }

    /// Returns a datagram of the last received batch with its sender.
    pub(crate) fn received_datagram(&mut self, idx: usize) -> (&mut [u8], SocketAddrV4) {
        let (len, sender) = self.received[idx];
        (&mut self.buffers[idx][..len], sender)
    }
}

impl fmt::Debug for Inbox {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inbox")
            .field("received", &self.received)
            .finish_non_exhaustive()
    }
}

/// A queue of datagrams that are sent in one batch.
pub(crate) struct Outgoing {
    headers: MultiHeaders<SockaddrIn>,
    /// The concatenated bytes of the queued datagrams.
    bytes: Vec<u8>,
    /// Target of each queued datagram and the end of the datagram in `bytes`.
    queued: Vec<(SocketAddrV4, usize)>,
    unsent: u64,
}

impl Outgoing {
    pub(crate) fn new() -> Self {
        Self {
            headers: MultiHeaders::preallocate(BATCH_DATAGRAMS, None),
            bytes: Vec::new(),
            queued: Vec::with_capacity(BATCH_DATAGRAMS),
            unsent: 0,
        }
    }

    /// Queues a datagram, and sends all queued datagrams if they fill a batch.
    pub(crate) fn push_datagram(
        &mut self,
        socket: &UdpSocket,
        ip: Ipv4Addr,
        port: u16,
        bytes: &[u8],
    ) {
        self.bytes.extend_from_slice(bytes);
        self.queued
            .push((SocketAddrV4::new(ip, port), self.bytes.len()));
        if self.queued.len() == BATCH_DATAGRAMS {
            self.send_queued(socket);
        }
    }

    /// Sends the queued datagrams; datagrams that can't be sent immediately are dropped and
    /// counted.
    pub(crate) fn send_queued(&mut self, socket: &UdpSocket) {
        let mut first = 0;
        while first < self.queued.len() {
            let sent = self.send_queued_from(socket, first).unwrap_or(0);
            if sent == 0 {
                // The first unsent datagram is dropped; later datagrams may still be sendable.
                self.unsent += 1;
            }
            first += sent.max(1);
        }
        self.queued.clear();
        self.bytes.clear();
    }

    /// Returns how many datagrams were dropped because they could not be sent.
    pub(crate) const fn unsent_count(&self) -> u64 {
        self.unsent
    }

    /// Sends the queued datagrams from index `first` on, and returns how many were sent.
    fn send_queued_from(&mut self, socket: &UdpSocket, first: usize) -> io::Result<usize> {
        let queued = &self.queued[first..];
        let start_of = |idx: usize| match idx {
            0 => 0,
            _ => self.queued[idx - 1].1,
        };
        let slices: [[IoSlice<'_>; 1]; BATCH_DATAGRAMS] = std::array::from_fn(|idx| {
            let bytes = queued
                .get(idx)
                .map_or(&[][..], |it| &self.bytes[start_of(first + idx)..it.1]);
            [IoSlice::new(bytes)]
        });
        let targets: [Option<SockaddrIn>; BATCH_DATAGRAMS] =
            std::array::from_fn(|idx| queued.get(idx).map(|it| SockaddrIn::from(it.0)));
        let count = queued.len();
        socket.try_io(Interest::WRITABLE, || {
            let sent = sendmmsg(
                socket.as_raw_fd(),
                &mut self.headers,
                slices[..count].iter(),
                &targets[..count],
                [],
                MsgFlags::MSG_DONTWAIT,
            )?;
            Ok(sent.count())
        })
    }
}

impl fmt::Debug for Outgoing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outgoing")
            .field("queued", &self.queued)
            .field("unsent", &self.unsent)
            .finish_non_exhaustive()
    }
}
