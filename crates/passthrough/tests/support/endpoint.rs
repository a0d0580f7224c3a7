//! A simulated upstream endpoint that follows the platform's specification.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use passthrough::PacketFormat;

use super::format::{Flags, TestFormat, encode_packet, mark_as_returned};

/// A simulated endpoint that accepts opening packets, holds flows and answers each request.
#[derive(Debug)]
pub(crate) struct UpstreamEndpoint {
    /// Flows by caller; the value is `true` once the caller acknowledged the endpoint's sequence
    /// number.
    flows: BTreeMap<SocketAddrV4, bool>,
    /// Number that distinguishes the sequence numbers of this run from those before a restart.
    run: u32,
    /// Whether the endpoint ignores all packets and sends none.
    pub(crate) is_unresponsive: bool,
    /// Time that the endpoint takes to answer a request, in milliseconds.
    pub(crate) request_ms: u64,
    /// Number of requests that run at once, while later ones wait; with zero, all run at once.
    pub(crate) slots: usize,
    /// The network's time, and the times at which the slots become free.
    pub(crate) now: u64,
    free_at: Vec<u64>,
    /// The endpoint resets the flow of one in this many requests; with zero, it resets no flow.
    pub(crate) resets_one_of: usize,
    /// Whether the endpoint closes the flow after each answer, with the FIN overtaking the answer.
    pub(crate) closes_early: bool,
    /// Number of opening packets that the endpoint received.
    pub(crate) openings: usize,
    /// Number of flows that were opened; copies of an opening packet don't count.
    pub(crate) opened_flows: usize,
    /// Number of packets with request data that the endpoint received on its flows.
    pub(crate) requests: usize,
    /// Number of packets that the endpoint returned because it did not hold their flow.
    pub(crate) other_packets: usize,
}

impl UpstreamEndpoint {
    pub(crate) fn new(run: u64) -> Self {
        Self {
            flows: BTreeMap::new(),
            run: u32::try_from(run).unwrap(),
            is_unresponsive: false,
            request_ms: 0,
            slots: 0,
            now: 0,
            free_at: Vec::new(),
            resets_one_of: 0,
            closes_early: false,
            openings: 0,
            opened_flows: 0,
            requests: 0,
            other_packets: 0,
        }
    }

    /// Restarts the endpoint, which loses all its flows.
    pub(crate) fn restart(&mut self) {
        self.flows.clear();
        self.run += 1_000;
    }

    pub(crate) fn holds_open_flow(&self, caller: SocketAddrV4) -> bool {
        self.flows.get(&caller).copied().unwrap_or(false)
    }

    /// Handles a delivered packet and returns the packets to send, each with a delay in
    /// milliseconds.
    pub(crate) fn on_packet(&mut self, own: Ipv4Addr, bytes: &[u8]) -> Vec<(u64, Vec<u8>)> {
        if self.is_unresponsive {
            return Vec::new();
        }
        let segment =
            TestFormat::decode_segment(bytes).expect("endpoints receive only valid packets");
        assert!(
            !segment.returned,
            "packets are delivered without the returned flag"
        );
        let caller = segment.source;
        let sequence = self.run.wrapping_mul(7_919) ^ u32::from(own);
        let send = |flags, sequence, data_bytes| {
            encode_packet(
                segment.destination,
                caller,
                flags,
                sequence,
                segment.sequence + u32::from(segment.data_bytes) + 1,
                data_bytes,
            )
        };
        if segment.is_opening_packet() {
            self.openings += 1;
            self.opened_flows += usize::from(!self.flows.contains_key(&caller));
            self.flows.entry(caller).or_insert(false);
            return vec![(0, send(Flags::SYN_ACK, sequence, 0))];
        }
        if segment.acknowledged != sequence + 1 || !self.flows.contains_key(&caller) {
            self.other_packets += 1;
            let mut returned = bytes.to_vec();
            mark_as_returned(&mut returned);
            return vec![(0, returned)];
        }
        self.flows.insert(caller, true);
        if segment.data_bytes == 0 {
            return Vec::new();
        }
        self.requests += 1;
        if self.resets_one_of > 0 && self.requests.is_multiple_of(self.resets_one_of) {
            self.flows.remove(&caller);
            return vec![(0, send(Flags::RST, sequence + 1, 0))];
        }
        if self.closes_early {
            return vec![
                (0, send(Flags::FIN, sequence + 1 + 40, 0)),
                (1, send(Flags::ACK, sequence + 1, 40)),
            ];
        }
        vec![
            (0, send(Flags::ACK, sequence + 1, 0)),
            (self.run_request(), send(Flags::ACK, sequence + 1, 40)),
        ]
    }

    /// Returns the time until a request that arrives now is answered.
    fn run_request(&mut self) -> u64 {
        if self.slots == 0 {
            return self.request_ms;
        }
        self.free_at.resize(self.slots, 0);
        let slot = self.free_at.iter_mut().min().expect("one slot at least");
        *slot = self.now.max(*slot) + self.request_ms;
        *slot - self.now
    }
}
