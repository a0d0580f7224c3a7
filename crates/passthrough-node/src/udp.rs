//! Datagram sockets.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

use crate::NodeError;

/// Longest datagram: a packet of 1,232 bytes behind a header with eight candidates, or a part of a
/// catalog, stay below.
pub(crate) const DATAGRAM_MAX_BYTES: usize = 2_048;

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

/// Receives a datagram if one is there.
pub(crate) fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Option<(usize, SocketAddrV4)> {
    loop {
        match socket.try_recv_from(buffer) {
            Ok((len, SocketAddr::V4(sender))) => return Some((len, sender)),
            Ok(_) => {}
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return None,
            // An error that an earlier datagram met at its receiver; the next may be fine.
            Err(_) => return None,
        }
    }
}

/// Sends a datagram, which is lost if it can't be sent at once.
pub(crate) fn send(socket: &UdpSocket, ip: Ipv4Addr, port: u16, bytes: &[u8]) -> bool {
    let target = SocketAddr::V4(SocketAddrV4::new(ip, port));
    socket.try_send_to(bytes, target).is_ok()
}
