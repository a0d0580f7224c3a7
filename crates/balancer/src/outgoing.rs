//! Datagrams gathered for one segmented send.

use std::{io, net::SocketAddr};

use quinn_udp::{EcnCodepoint, Transmit};

use crate::{
    counters::{Counter, Counters},
    socket::DatagramSocket,
};

/// Largest payload of one send.
const SEND_MAX_BYTES: usize = 65_507;

/// Where a run of datagrams goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Destination {
    pub(crate) address: SocketAddr,
    /// Congestion notification bits, 0 to 3.
    pub(crate) ecn_bits: u8,
}

/// Datagrams of one destination; all but the last have the same length.
#[derive(Debug)]
pub(crate) struct Outgoing {
    bytes: Box<[u8]>,
    len: usize,
    /// Length of the first datagram; zero if there is none.
    segment_bytes: usize,
    segments: usize,
    is_closed: bool,
    destination: Option<Destination>,
}

impl Outgoing {
    pub(crate) fn new() -> Self {
        Self {
            bytes: vec![0; SEND_MAX_BYTES].into_boxed_slice(),
            len: 0,
            segment_bytes: 0,
            segments: 0,
            is_closed: false,
            destination: None,
        }
    }

    /// Appends a datagram made of two parts, and first sends what it doesn't fit behind.
    pub(crate) fn push(
        &mut self,
        socket: &DatagramSocket,
        counters: &Counters,
        destination: Destination,
        parts: [&[u8]; 2],
    ) {
        let bytes = parts[0].len() + parts[1].len();
        if !self.fits(socket, destination, bytes) {
            self.flush(socket, counters);
        }
        if self.segments == 0 {
            self.destination = Some(destination);
            self.segment_bytes = bytes;
        }
        for part in parts {
            self.bytes[self.len..self.len + part.len()].copy_from_slice(part);
            self.len += part.len();
        }
        self.segments += 1;
        self.is_closed = bytes < self.segment_bytes;
    }

    /// Sends what was gathered.
    pub(crate) fn flush(&mut self, socket: &DatagramSocket, counters: &Counters) {
        let Some(destination) = self.destination.take() else {
            return;
        };
        let contents = &self.bytes[..self.len];
        let segment_bytes = (self.segments > 1).then_some(self.segment_bytes);
        send(socket, counters, destination, contents, segment_bytes);
        self.len = 0;
        self.segments = 0;
        self.segment_bytes = 0;
        self.is_closed = false;
    }

    fn fits(&self, socket: &DatagramSocket, destination: Destination, bytes: usize) -> bool {
        if self.segments == 0 {
            return true;
        }
        self.destination == Some(destination)
            && !self.is_closed
            && bytes <= self.segment_bytes
            && self.segments < socket.segments_max()
            && self.len + bytes <= SEND_MAX_BYTES
    }
}

/// Sends one datagram, or several of `segment_bytes` each, and counts what the kernel refuses.
pub(crate) fn send(
    socket: &DatagramSocket,
    counters: &Counters,
    destination: Destination,
    contents: &[u8],
    segment_bytes: Option<usize>,
) {
    let transmit = Transmit {
        destination: destination.address,
        ecn: EcnCodepoint::from_bits(destination.ecn_bits),
        contents,
        segment_size: segment_bytes,
        src_ip: None,
    };
    let Err(err) = socket.send(&transmit) else {
        return;
    };
    let counter = match err.kind() {
        io::ErrorKind::WouldBlock => Counter::SendBlocked,
        _ => Counter::SendFailed,
    };
    let datagrams = contents
        .len()
        .div_ceil(segment_bytes.unwrap_or(contents.len()).max(1));
    counters.add(counter, datagrams as u64);
}
