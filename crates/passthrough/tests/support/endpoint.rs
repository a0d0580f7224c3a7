//! An upstream endpoint as the users describe it.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use passthrough::PacketFormat;

use super::format::{Flags, TestFormat, mark_returned, packet};

/// An endpoint that accepts openings, holds flows and answers each request.
#[derive(Debug)]
pub(crate) struct UpstreamEndpoint {
    /// Flows by caller; `true` once the caller acknowledged the endpoint's sequence number.
    flows: BTreeMap<SocketAddrV4, bool>,
    /// Distinguishes this run's sequence numbers.
    run: u32,
    /// Sends nothing at all.
    pub(crate) dark: bool,
    /// Time that a request takes.
    pub(crate) work_ms: u64,
    /// Requests of which it resets the flow of one, none if zero.
    pub(crate) resets_one_in: usize,
    /// Closes each flow, and the end of the flow overtakes the answer.
    pub(crate) closes_early: bool,
    /// Openings, requests and other packets that reached this endpoint.
    pub(crate) openings: usize,
    pub(crate) requests: usize,
    pub(crate) strays: usize,
}

impl UpstreamEndpoint {
    pub(crate) fn new(run: u64) -> Self {
        Self {
            flows: BTreeMap::new(),
            run: u32::try_from(run).unwrap(),
            dark: false,
            work_ms: 0,
            resets_one_in: 0,
            closes_early: false,
            openings: 0,
            requests: 0,
            strays: 0,
        }
    }

    /// Starts anew, knowing nothing of before.
    pub(crate) fn restart(&mut self) {
        self.flows.clear();
        self.run += 1_000;
    }

    pub(crate) fn holds(&self, caller: SocketAddrV4) -> bool {
        self.flows.get(&caller).copied().unwrap_or(false)
    }

    /// Takes a packet; returns what it sends, each with a delay in milliseconds.
    pub(crate) fn on_packet(&mut self, own: Ipv4Addr, bytes: &[u8]) -> Vec<(u64, Vec<u8>)> {
        if self.dark {
            return Vec::new();
        }
        let segment = TestFormat::decode(bytes).expect("endpoints get packets only");
        assert!(
            !segment.returned,
            "an endpoint gets a packet as its sender wrote it"
        );
        let caller = segment.source;
        let sequence = self.run.wrapping_mul(7_919) ^ u32::from(own);
        let send = |flags, sequence, data_bytes| {
            packet(
                segment.destination,
                caller,
                flags,
                sequence,
                segment.sequence + u32::from(segment.data_bytes) + 1,
                data_bytes,
            )
        };
        if segment.is_opening() {
            self.openings += 1;
            self.flows.entry(caller).or_insert(false);
            return vec![(0, send(Flags::SYN_ACK, sequence, 0))];
        }
        if segment.acknowledged != sequence + 1 || !self.flows.contains_key(&caller) {
            self.strays += 1;
            let mut returned = bytes.to_vec();
            mark_returned(&mut returned);
            return vec![(0, returned)];
        }
        self.flows.insert(caller, true);
        if segment.data_bytes == 0 {
            return Vec::new();
        }
        self.requests += 1;
        if self.resets_one_in > 0 && self.requests.is_multiple_of(self.resets_one_in) {
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
            (self.work_ms, send(Flags::ACK, sequence + 1, 40)),
        ]
    }
}
