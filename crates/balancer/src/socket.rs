//! UDP sockets with batched receiving and segmented sending.

use std::{io, net::SocketAddr};

use quinn_udp::{Transmit, UdpSocketState};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::Interest, net::UdpSocket};
use units::ByteSize;

use crate::batch::Batch;

/// A UDP socket served by one task and sent from by many.
#[derive(Debug)]
pub(crate) struct DatagramSocket {
    io: UdpSocket,
    state: UdpSocketState,
}

/// Whether other sockets of this process may have the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sharing {
    Exclusive,
    Shared,
}

impl DatagramSocket {
    pub(crate) fn bind(
        address: SocketAddr,
        sharing: Sharing,
        buffer: ByteSize,
    ) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::DGRAM,
            Some(Protocol::UDP),
        )?;
        if sharing == Sharing::Shared {
            socket.set_reuse_port(true)?;
        }
        let buffer = usize::try_from(buffer.get()).unwrap_or(usize::MAX);
        socket.set_recv_buffer_size(buffer)?;
        socket.set_send_buffer_size(buffer)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        let io = UdpSocket::from_std(socket.into())?;
        let state = UdpSocketState::new((&io).into())?;
        Ok(Self { io, state })
    }

    pub(crate) fn local_address(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.io.readable().await
    }

    /// Receives what is there, without waiting, and returns the number of buffers filled.
    pub(crate) fn receive(&self, batch: &mut Batch) -> io::Result<usize> {
        let (mut slices, metas) = batch.split();
        self.io.try_io(Interest::READABLE, || {
            self.state.recv((&self.io).into(), &mut slices, metas)
        })
    }

    /// Sends without waiting.
    pub(crate) fn send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.state.try_send((&self.io).into(), transmit)
    }

    /// Returns how many segments one send may have.
    pub(crate) fn segments_max(&self) -> usize {
        self.state.max_gso_segments()
    }
}
