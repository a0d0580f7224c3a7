//! Batching of outgoing datagrams into send calls with segmentation offload.

use std::{io, net::SocketAddr};

use quinn_udp::{EcnCodepoint, Transmit};

use crate::{
    counters::{Counter, Counters},
    socket::DatagramSocket,
};

/// Maximum number of bytes in one send call.
const SEND_MAX_BYTES: usize = 65_507;

/// Destination address and ECN bits of a batch of datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Destination {
    pub(crate) address: SocketAddr,
    /// Explicit congestion notification (ECN) bits, 0 to 3.
    pub(crate) ecn_bits: u8,
}

/// Datagrams to one destination for one send call; all but the last have the same length.
#[derive(Debug)]
pub(crate) struct SendBatch {
    bytes: Box<[u8]>,
    len: usize,
    /// Length of the batch's first datagram; zero if the batch is empty.
    segment_bytes: usize,
    segments: usize,
    /// Whether the batch's last datagram is shorter than the first, so that no other may follow.
    has_short_segment: bool,
    destination: Option<Destination>,
}

impl SendBatch {
    pub(crate) fn new() -> Self {
        Self {
            bytes: vec![0; SEND_MAX_BYTES].into_boxed_slice(),
            len: 0,
            segment_bytes: 0,
            segments: 0,
            has_short_segment: false,
            destination: None,
        }
    }

    /// Appends a datagram given in two parts; first flushes the batch if the datagram doesn't fit.
    pub(crate) fn push(
        &mut self,
        socket: &DatagramSocket,
        counters: &Counters,
        destination: Destination,
        parts: [&[u8]; 2],
    ) {
        let datagram_bytes = parts[0].len() + parts[1].len();
        if !self.can_append(socket, destination, datagram_bytes) {
            self.flush(socket, counters);
        }
        if self.segments == 0 {
            self.destination = Some(destination);
            self.segment_bytes = datagram_bytes;
        }
        for part in parts {
            self.bytes[self.len..self.len + part.len()].copy_from_slice(part);
            self.len += part.len();
        }
        self.segments += 1;
        self.has_short_segment = datagram_bytes < self.segment_bytes;
    }

    /// Sends the batched datagrams and empties the batch.
    pub(crate) fn flush(&mut self, socket: &DatagramSocket, counters: &Counters) {
        let Some(destination) = self.destination.take() else {
            return;
        };
        let contents = &self.bytes[..self.len];
        let segment_bytes = (self.segments > 1).then_some(self.segment_bytes);
        send_segments(socket, counters, destination, contents, segment_bytes);
        self.len = 0;
        self.segments = 0;
        self.segment_bytes = 0;
        self.has_short_segment = false;
    }

    /// Returns whether a datagram of `datagram_bytes` to `destination` can be appended.
    fn can_append(
        &self,
        socket: &DatagramSocket,
        destination: Destination,
        datagram_bytes: usize,
    ) -> bool {
        if self.segments == 0 {
            return true;
        }
        self.destination == Some(destination)
            && !self.has_short_segment
            && datagram_bytes <= self.segment_bytes
            && self.segments < socket.segments_max()
            && self.len + datagram_bytes <= SEND_MAX_BYTES
    }
}

/// Sends one datagram, or several of `segment_bytes` each; counts the datagrams that fail to send.
pub(crate) fn send_segments(
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
