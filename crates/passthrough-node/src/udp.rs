//! Datagram sockets that receive and send many datagrams with one system call.

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

/// Longest datagram: a packet of 1,232 bytes behind a header with eight candidates, or a part of a
/// catalog, stay below.
const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Datagrams received or sent with one call: a caller's whole window of packets.
const BATCH: usize = 16;

/// Bytes that the system keeps for a socket until they are read: what arrives while a process waits
/// a tenth of a second for its share of a core.
const RECEIVE_BUFFER_BYTES: usize = 512 * 1024;

/// Opens a datagram socket.
pub(crate) fn bind(purpose: &'static str, address: SocketAddr) -> Result<UdpSocket, NodeError> {
    open(address).map_err(|source| NodeError::Socket {
        purpose,
        address,
        source,
    })
}

fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // The system may grant less, which costs datagrams in a burst and nothing else.
    let _granted = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// Datagrams that were received together.
pub(crate) struct Inbox {
    headers: MultiHeaders<SockaddrIn>,
    buffers: Vec<[u8; DATAGRAM_MAX_BYTES]>,
    /// Length and sender of each, as many as were received last.
    received: Vec<(usize, SocketAddrV4)>,
}

impl Inbox {
    pub(crate) fn new() -> Self {
        Self {
            headers: MultiHeaders::preallocate(BATCH, None),
            buffers: vec![[0; DATAGRAM_MAX_BYTES]; BATCH],
            received: Vec::with_capacity(BATCH),
        }
    }

    /// Receives what is there, up to a batch; returns how many datagrams came.
    pub(crate) fn receive(&mut self, socket: &UdpSocket) -> usize {
        self.received.clear();
        // An error that an earlier datagram met at its receiver ends the batch, too.
        let _empty = socket.try_io(Interest::READABLE, || {
            let mut buffers = self.buffers.iter_mut();
            let mut slices: [[IoSliceMut<'_>; 1]; BATCH] = std::array::from_fn(|_| {
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
                // A datagram without an IPv4 sender can't be answered.
                let (ip, port) = it
                    .address
                    .map_or((Ipv4Addr::UNSPECIFIED, 0), |from| (from.ip(), from.port()));
                self.received.push((it.bytes, SocketAddrV4::new(ip, port)));
            }
            if self.received.len() < BATCH {
                // The socket is empty: without this, the next wait would end at once.
                return Err(io::ErrorKind::WouldBlock.into());
            }
            Ok(())
        });
        self.received.len()
    }

    /// Returns a datagram of the last batch, with its sender.
    pub(crate) fn datagram(&mut self, idx: usize) -> (&mut [u8], SocketAddrV4) {
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

/// Datagrams that wait to be sent together.
pub(crate) struct Outgoing {
    headers: MultiHeaders<SockaddrIn>,
    /// The datagrams' bytes, one behind the other.
    bytes: Vec<u8>,
    /// Target of each datagram, and where its bytes end.
    queued: Vec<(SocketAddrV4, usize)>,
    unsent: u64,
}

impl Outgoing {
    pub(crate) fn new() -> Self {
        Self {
            headers: MultiHeaders::preallocate(BATCH, None),
            bytes: Vec::new(),
            queued: Vec::with_capacity(BATCH),
            unsent: 0,
        }
    }

    /// Queues a datagram; a full batch is sent at once.
    pub(crate) fn push(&mut self, socket: &UdpSocket, ip: Ipv4Addr, port: u16, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.queued
            .push((SocketAddrV4::new(ip, port), self.bytes.len()));
        if self.queued.len() == BATCH {
            self.flush(socket);
        }
    }

    /// Sends what is queued; datagrams that can't be sent at once are lost and counted.
    pub(crate) fn flush(&mut self, socket: &UdpSocket) {
        let mut first = 0;
        while first < self.queued.len() {
            let sent = self.send_from(socket, first).unwrap_or(0);
            if sent == 0 {
                // The first one can't be sent; those behind it may be.
                self.unsent += 1;
            }
            first += sent.max(1);
        }
        self.queued.clear();
        self.bytes.clear();
    }

    /// Returns how many datagrams could not be sent.
    pub(crate) const fn unsent(&self) -> u64 {
        self.unsent
    }

    /// Sends the queued datagrams from `first` on; returns how many went.
    fn send_from(&mut self, socket: &UdpSocket, first: usize) -> io::Result<usize> {
        let queued = &self.queued[first..];
        let start_of = |idx: usize| match idx {
            0 => 0,
            _ => self.queued[idx - 1].1,
        };
        let slices: [[IoSlice<'_>; 1]; BATCH] = std::array::from_fn(|idx| {
            let bytes = queued
                .get(idx)
                .map_or(&[][..], |it| &self.bytes[start_of(first + idx)..it.1]);
            [IoSlice::new(bytes)]
        });
        let targets: [Option<SockaddrIn>; BATCH] =
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
