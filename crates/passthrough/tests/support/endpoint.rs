//! A simulated upstream endpoint that follows the platform's specification.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

use passthrough::{PacketFormat, Segment};

use super::format::{Flags, TestFormat, encode_packet, mark_as_returned};

/// A flow at a simulated endpoint.
#[derive(Debug, Clone, Copy)]
struct EndpointFlow {
    /// The sequence number with which the endpoint accepted the flow.
    sequence: u32,
    /// The sequence number of the flow's opening packet.
    opening: u32,
    /// Whether the caller acknowledged the endpoint's sequence number.
    is_open: bool,
    /// Whether the endpoint has closed its end.
    is_closed: bool,
}

/// Number of data bytes in an answer.
const ANSWER_BYTES: u16 = 40;

/// A simulated endpoint that accepts opening packets, holds flows and answers each request.
#[derive(Debug)]
pub(crate) struct UpstreamEndpoint {
    flows: BTreeMap<SocketAddrV4, EndpointFlow>,
    /// Callers whose latest flow has ended at both ends.
    ended: BTreeSet<SocketAddrV4>,
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
    /// Whether the endpoint closes the flow with each answer, and knows of the flows that ended.
    pub(crate) closes_after_answer: bool,
    /// Number of flows that ended at both ends.
    pub(crate) ended_flows: usize,
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
            ended: BTreeSet::new(),
            run: u32::try_from(run).unwrap(),
            is_unresponsive: false,
            request_ms: 0,
            slots: 0,
            now: 0,
            free_at: Vec::new(),
            resets_one_of: 0,
            closes_early: false,
            closes_after_answer: false,
            ended_flows: 0,
            openings: 0,
            opened_flows: 0,
            requests: 0,
            other_packets: 0,
        }
    }

    /// Restarts the endpoint, which loses all its flows.
    pub(crate) fn restart(&mut self) {
        self.flows.clear();
        self.ended.clear();
        self.run += 1_000;
    }

    pub(crate) fn holds_open_flow(&self, caller: SocketAddrV4) -> bool {
        self.flows.get(&caller).is_some_and(|it| it.is_open)
    }

    /// Returns whether the endpoint holds the open flow that it accepted with the sequence number before
    /// `expected`.
    pub(crate) fn holds_flow_at(&self, caller: SocketAddrV4, expected: u32) -> bool {
        let held = self.flows.get(&caller);
        held.is_some_and(|it| it.is_open && it.sequence.wrapping_add(1) == expected)
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
            let known = self.flows.get(&caller).copied();
            let flow = known.filter(|it| it.opening == segment.sequence);
            let flow = flow.unwrap_or_else(|| {
                self.opened_flows += 1;
                EndpointFlow {
                    sequence: self.new_sequence(own),
                    opening: segment.sequence,
                    is_open: false,
                    is_closed: false,
                }
            });
            self.ended.remove(&caller);
            self.flows.insert(caller, flow);
            return vec![(0, send(Flags::SYN_ACK, flow.sequence, 0))];
        }
        let is_held =
            |it: &&mut EndpointFlow| segment.acknowledged.wrapping_sub(it.sequence) < 1_000;
        let Some(flow) = self.flows.get_mut(&caller).filter(is_held) else {
            return self.answer_unheld(&segment, bytes);
        };
        flow.is_open = true;
        let sequence = flow.sequence;
        if segment.rst || (segment.fin && flow.is_closed) {
            self.flows.remove(&caller);
            self.ended.insert(caller);
            self.ended_flows += 1;
        }
        if segment.fin {
            return vec![(0, send(Flags::ACK, segment.acknowledged, 0))];
        }
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
                (
                    0,
                    send(Flags::FIN, sequence + 1 + u32::from(ANSWER_BYTES), 0),
                ),
                (1, send(Flags::ACK, sequence + 1, ANSWER_BYTES)),
            ];
        }
        let mut answer = Flags::ACK;
        if self.closes_after_answer
            && let Some(flow) = self.flows.get_mut(&caller)
        {
            flow.is_closed = true;
            answer = Flags::FIN;
        }
        vec![
            (0, send(Flags::ACK, sequence + 1, 0)),
            (self.run_request(), send(answer, sequence + 1, ANSWER_BYTES)),
        ]
    }

    /// Answers a packet of a flow that the endpoint doesn't hold.
    fn answer_unheld(&mut self, segment: &Segment, bytes: &[u8]) -> Vec<(u64, Vec<u8>)> {
        let caller = segment.source;
        if !self.ended.contains(&caller) {
            self.other_packets += 1;
            let mut returned = bytes.to_vec();
            mark_as_returned(&mut returned);
            return vec![(0, returned)];
        }
        let flags = match (segment.data_bytes, segment.fin) {
            (0, false) => return Vec::new(),
            (0, true) => Flags::ACK,
            _ => Flags::RST,
        };
        let end = segment.sequence + u32::from(segment.data_bytes) + 1;
        let to = (segment.destination, caller);
        let answer = encode_packet(to.0, to.1, flags, segment.acknowledged, end, 0);
        vec![(0, answer)]
    }

    /// Returns the sequence number for a new flow, far from those of other flows and endpoints.
    fn new_sequence(&self, own: Ipv4Addr) -> u32 {
        let flows = u32::try_from(self.opened_flows).unwrap();
        (u32::from(own) ^ self.run.wrapping_mul(7_919) ^ (flows << 20)).wrapping_mul(0x9E37_79B1)
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
