//! One end of a flow: sequence numbers, acknowledgements and retransmissions.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::packet::{self, ACK, FIN, Packet};

const FIRST_TIMEOUT: Duration = Duration::from_millis(200);
const LAST_TIMEOUT: Duration = Duration::from_millis(1_600);

#[derive(Debug)]
struct Unacknowledged {
    sequence: u32,
    flags: u8,
    data: Vec<u8>,
}

impl Unacknowledged {
    fn end(&self) -> u32 {
        let positions = self.data.len() as u32 + u32::from(self.flags & FIN != 0);
        self.sequence.wrapping_add(positions)
    }
}

/// One end of an open flow.
#[derive(Debug)]
pub struct Conn {
    own: SocketAddrV4,
    peer: SocketAddrV4,
    /// Sequence number of the next byte to send.
    pub next: u32,
    /// Sequence number of the next byte to receive.
    pub expected: u32,
    unacknowledged: Vec<Unacknowledged>,
    timeout: Duration,
    retransmit_at: Instant,
    pub retransmissions: u32,
    pub sent_fin: bool,
    pub received_fin: bool,
}

impl Conn {
    pub fn new(own: SocketAddrV4, peer: SocketAddrV4, next: u32, expected: u32) -> Self {
        Self {
            own,
            peer,
            next,
            expected,
            unacknowledged: Vec::new(),
            timeout: FIRST_TIMEOUT,
            retransmit_at: Instant::now(),
            retransmissions: 0,
            sent_fin: false,
            received_fin: false,
        }
    }

    /// Returns the bytes of a packet that carries data, and retains it until it is acknowledged.
    pub fn send(&mut self, flags: u8, data: &[u8]) -> Vec<u8> {
        if self.unacknowledged.is_empty() {
            self.timeout = FIRST_TIMEOUT;
            self.retransmit_at = Instant::now() + FIRST_TIMEOUT;
        }
        let segment = Unacknowledged {
            sequence: self.next,
            flags: flags | ACK,
            data: data.to_vec(),
        };
        self.next = segment.end();
        self.sent_fin |= flags & FIN != 0;
        let bytes = self.encode(&segment);
        self.unacknowledged.push(segment);
        bytes
    }

    /// Returns a packet that only acknowledges.
    pub fn acknowledge(&self) -> Vec<u8> {
        packet::encode(self.own, self.peer, ACK, self.next, self.expected, &[])
    }

    /// Handles a packet of the other end, and returns its data if they are new and in order.
    pub fn receive(&mut self, it: &Packet) -> Option<Vec<u8>> {
        let before = self.unacknowledged.len();
        self.unacknowledged
            .retain(|sent| (it.acknowledged.wrapping_sub(sent.end()) as i32) < 0);
        if self.unacknowledged.len() < before {
            self.timeout = FIRST_TIMEOUT;
            self.retransmissions = 0;
            self.retransmit_at = Instant::now() + FIRST_TIMEOUT;
        }
        let has_fin = it.has(FIN);
        if it.sequence != self.expected || (it.data.is_empty() && !has_fin) {
            return None;
        }
        self.expected = self
            .expected
            .wrapping_add(it.data.len() as u32 + u32::from(has_fin));
        self.received_fin |= has_fin;
        Some(it.data.clone())
    }

    /// Returns the packets that are due to be sent again.
    pub fn retransmit(&mut self, now: Instant) -> Vec<Vec<u8>> {
        if self.unacknowledged.is_empty() || now < self.retransmit_at {
            return Vec::new();
        }
        self.retransmissions += 1;
        self.timeout = (self.timeout * 2).min(LAST_TIMEOUT);
        self.retransmit_at = now + self.timeout;
        self.unacknowledged
            .iter()
            .map(|it| self.encode(it))
            .collect()
    }

    pub fn is_acknowledged(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    /// Returns whether both ends have closed the flow and the other end knows it.
    pub fn is_closed(&self) -> bool {
        self.sent_fin && self.received_fin && self.is_acknowledged()
    }

    fn encode(&self, it: &Unacknowledged) -> Vec<u8> {
        packet::encode(
            self.own,
            self.peer,
            it.flags,
            it.sequence,
            self.expected,
            &it.data,
        )
    }
}
