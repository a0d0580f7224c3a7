//! Holds the packets that arrive before the balancer has its first settings.
//!
//! After a loss of power of all machines, callers' copies of unanswered packets are seconds apart. One
//! that arrives between a balancer's start and its first list may be the last before its caller gives
//! up, and a dead flow whose last copy is dropped is never reset.

use std::collections::VecDeque;

use units::Millis;

use super::Balancer;
use crate::{DropReason, Flow, Outbox, PacketFormat, Segment};

/// Maximum number of held packets; 256 packets of 1,232 bytes take a third of a megabyte.
const HELD_PACKETS_MAX: usize = 256;

/// Time after which a packet is no longer worth its way, as after a stall: its caller has sent a newer
/// copy or has given up.
const HOLD_MAX_MS: Millis = Millis::new(1_000);

#[derive(Debug)]
struct HeldPacket {
    received_at: Millis,
    flow: Flow,
    packet: Vec<u8>,
}

/// Packets that await the operator's settings, oldest first, one of each flow.
#[derive(Debug, Default)]
pub(super) struct EarlyPackets {
    held: VecDeque<HeldPacket>,
}

impl EarlyPackets {
    /// Holds a packet in place of an earlier one of its flow, and returns whether the oldest packet of
    /// another flow had to make room.
    fn hold_packet(&mut self, now: Millis, flow: Flow, packet: &[u8]) -> bool {
        self.held.retain(|it| it.flow != flow);
        let is_full = self.held.len() >= HELD_PACKETS_MAX;
        if is_full {
            self.held.pop_front();
        }
        self.held.push_back(HeldPacket {
            received_at: now,
            flow,
            packet: packet.to_vec(),
        });
        is_full
    }

    /// Drops all packets, after the balancer's process stood still.
    pub(super) fn clear(&mut self) {
        self.held.clear();
    }
}

impl<F: PacketFormat> Balancer<F> {
    /// Holds a caller's packet until the first settings come into force.
    pub(super) fn hold_early_packet(
        &mut self,
        now: Millis,
        segment: &Segment,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        if self
            .early_packets
            .hold_packet(now, segment.caller_flow(), packet)
        {
            self.drop_packet(DropReason::NoSettings, out);
        }
    }

    /// Routes the packets that were held for the first settings.
    pub(super) fn route_early_packets(&mut self, now: Millis, out: &mut impl Outbox) {
        for mut it in std::mem::take(&mut self.early_packets.held) {
            if now.since(it.received_at) > HOLD_MAX_MS {
                self.drop_packet(DropReason::NoSettings, out);
                continue;
            }
            if let Ok(segment) = F::decode_segment(&it.packet) {
                self.route_caller_packet(now, &segment, &mut it.packet, out);
            }
        }
    }
}
