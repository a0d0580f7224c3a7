//! UDP sockets with batched receive calls and segmentation offload for sending.

use std::{io, net::SocketAddr};

use quinn_udp::{Transmit, UdpSocketState};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::Interest, net::UdpSocket};
use units::ByteSize;

use crate::receive_batch::ReceiveBatch;

/// A UDP socket that one task receives from and any number of tasks send from.
#[derive(Debug)]
pub(crate) struct DatagramSocket {
    io: UdpSocket,
    state: UdpSocketState,
}

/// Whether other sockets may be bound to the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AddressSharing {
    Exclusive,
    Shared,
}

impl DatagramSocket {
    /// Binds a non-blocking socket with kernel buffers of the given size in each direction.
    pub(crate) fn bind(
        address: SocketAddr,
        sharing: AddressSharing,
        buffer_size: ByteSize,
    ) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::DGRAM,
            Some(Protocol::UDP),
        )?;
        if sharing == AddressSharing::Shared {
            socket.set_reuse_port(true)?;
        }
        let buffer_bytes = usize::try_from(buffer_size.get()).unwrap_or(usize::MAX);
        socket.set_recv_buffer_size(buffer_bytes)?;
        socket.set_send_buffer_size(buffer_bytes)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        let io = UdpSocket::from_std(socket.into())?;
        let state = UdpSocketState::new((&io).into())?;
        Ok(Self { io, state })
    }

    pub(crate) fn local_address(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Waits until the socket has datagrams to receive.
    pub(crate) async fn wait_until_readable(&self) -> io::Result<()> {
        self.io.readable().await
    }

    /// Receives pending datagrams without waiting; returns the number of filled buffers.
    pub(crate) fn receive(&self, batch: &mut ReceiveBatch) -> io::Result<usize> {
        let (mut slices, metas) = batch.split_for_receive();
        self.io.try_io(Interest::READABLE, || {
            self.state.recv((&self.io).into(), &mut slices, metas)
        })
    }

    /// Sends one datagram, or several with segmentation offload, without waiting.
    pub(crate) fn send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.state.try_send((&self.io).into(), transmit)
    }

    /// Returns the maximum number of segments in one send call.
    pub(crate) fn segments_max(&self) -> usize {
        self.state.max_gso_segments()
    }
}
