//! Receives tunnel datagrams: validates and decapsulates them, then delivers or forwards them.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    sync::Arc,
};

use flow::{
    echo::{Echo, EchoKind},
    opening::{Limits, OpeningAction, OpeningTable},
    quic::{INITIAL_DATAGRAM_MIN_BYTES, LongKind, Packet},
    reset::{DatagramOwner, RESET_BYTES, datagram_owner, encode_reset},
    tunnel::{
        Candidate, Header, Kind, OPENING_OVERHEAD_BYTES, Opening, SingleServiceKeys, decode,
        decode_peer, encode,
    },
};
use quinn::udp::{RecvMeta, Transmit, UdpSockRef};
use tokio::io::Interest;
use units::Incarnation;

use super::{PeerDatagram, SocketState, ecn_codepoint};

/// Maximum number of buffers filled by one receive call.
const RECEIVE_BATCH_MAX: usize = 8;

/// Size of one receive buffer, into which the kernel may coalesce several datagrams (GRO).
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum size of a forwarded opening packet of a flow.
const FORWARD_MAX_BYTES: usize = 2048;

/// Received datagrams and the state needed to process them.
pub(super) struct Inbox {
    shared: Arc<SocketState>,
    keys: SingleServiceKeys,
    openings: OpeningTable,
    buffers: Vec<Vec<u8>>,
    /// Metadata of `buffers`; the first `filled` entries are valid.
    metas: [RecvMeta; RECEIVE_BATCH_MAX],
    filled: usize,
    /// Position of the next datagram: the index of its buffer and its offset there.
    next: (usize, usize),
}

impl Inbox {
    pub(super) fn new(shared: Arc<SocketState>) -> Self {
        let identity = &shared.identity;
        let openings = OpeningTable::new(
            identity.endpoint,
            shared.now(),
            Limits::new(),
            rand::random(),
        );
        let keys = SingleServiceKeys::new(identity.service, Arc::clone(&identity.keys));
        Self {
            shared,
            keys,
            openings,
            buffers: vec![vec![0; RECEIVE_BUFFER_BYTES]; RECEIVE_BATCH_MAX],
            metas: [RecvMeta::default(); RECEIVE_BATCH_MAX],
            filled: 0,
            next: (0, 0),
        }
    }

    /// Receives a batch of datagrams; all datagrams of the previous batch must have been processed.
    pub(super) fn receive_batch(&mut self) -> io::Result<()> {
        let shared = &self.shared;
        let mut slices = self.buffers.iter_mut().map(|it| IoSliceMut::new(it));
        let mut bufs: [IoSliceMut<'_>; RECEIVE_BATCH_MAX] =
            std::array::from_fn(|_idx| slices.next().expect("there is one buffer per batch entry"));
        self.next = (0, 0);
        self.filled = 0;
        self.filled = shared.io.try_io(Interest::READABLE, || {
            let socket = UdpSockRef::from(&shared.io);
            shared.state.recv(socket, &mut bufs, &mut self.metas)
        })?;
        Ok(())
    }

    /// Processes received datagrams and copies the payloads of accepted ones to `bufs`; returns the
    /// number of accepted datagrams.
    pub(super) fn unwrap_received(
        &mut self,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> usize {
        let mut count = 0;
        let room = bufs.len().min(meta.len());
        while count < room {
            let Some((idx, start, end)) = self.next_datagram() else {
                break;
            };
            // Takes the buffer out of `self` while the datagram is processed.
            let buffer = std::mem::take(&mut self.buffers[idx]);
            let from = self.metas[idx].addr;
            if let Some(description) =
                self.process_datagram(from, &buffer[start..end], &mut bufs[count])
            {
                meta[count] = description;
                count += 1;
            }
            self.buffers[idx] = buffer;
        }
        self.shared.counters.datagrams_received.add(count as u64);
        count
    }

    /// Advances to the next received datagram; returns its buffer index, start and end.
    fn next_datagram(&mut self) -> Option<(usize, usize, usize)> {
        let (idx, start) = self.next;
        if idx >= self.filled {
            return None;
        }
        let meta = &self.metas[idx];
        let end = (start + meta.stride.max(1)).min(meta.len);
        self.next = if end >= meta.len {
            (idx + 1, 0)
        } else {
            (idx, end)
        };
        Some((idx, start, end))
    }

    /// Processes a received datagram; returns its metadata if its payload was copied to `buf` for
    /// the QUIC library.
    fn process_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        buf: &mut IoSliceMut<'_>,
    ) -> Option<RecvMeta> {
        if self.deliver_peer_datagram(from, datagram) {
            return None;
        }
        let Ok((header, payload)) = decode(datagram, &self.keys) else {
            self.shared.counters.dropped_malformed.add_one();
            return None;
        };
        self.record_sender(from, &header);
        if header.endpoint != self.shared.identity.endpoint {
            self.shared.counters.dropped_foreign_endpoint.add_one();
            return None;
        }
        let is_accepted = match (header.kind, header.opening) {
            (Kind::ToAgent, _) => self.accept_established(from, &header, payload),
            (Kind::Opening | Kind::ForwardedOpening, Some(opening)) => {
                self.accept_opening(&header, &opening, payload)
            }
            _ => false,
        };
        if !is_accepted || payload.len() > buf.len() {
            return None;
        }
        buf[..payload.len()].copy_from_slice(payload);
        Some(RecvMeta {
            addr: header.caller,
            len: payload.len(),
            stride: payload.len(),
            ecn: ecn_codepoint(header.ecn),
            dst_ip: Some(self.shared.addresses.assign_ip(header.local)?),
        })
    }

    /// Delivers a datagram between processes to the task that reads them; returns `false` if the
    /// datagram is of another kind.
    fn deliver_peer_datagram(&self, from: SocketAddr, datagram: &[u8]) -> bool {
        let Ok(Some((_service, payload))) = decode_peer(datagram, &self.keys) else {
            return false;
        };
        if self.answer_path_probe(from, payload) {
            return true;
        }
        let payload = payload.to_vec();
        match self.shared.peers.try_send(PeerDatagram { from, payload }) {
            Ok(()) => self.shared.counters.peer_datagrams.add_one(),
            Err(_full) => self.shared.counters.peer_datagrams_dropped.add_one(),
        }
        true
    }

    /// Answers a balancer's path probe (echo) on the path by which it came; returns `false` if the
    /// payload is not an echo.
    fn answer_path_probe(&self, from: SocketAddr, payload: &[u8]) -> bool {
        let Some(echo) = Echo::decode(payload) else {
            return false;
        };
        if echo.kind != EchoKind::Request || echo.endpoint != self.shared.identity.endpoint {
            self.shared.counters.dropped_foreign_endpoint.add_one();
            return true;
        }
        self.shared
            .balancers
            .record_datagram(self.shared.now(), from);
        self.shared.counters.echoes_answered.add_one();
        // A reply to a path probe that can't be sent counts as lost; the balancer probes again.
        drop(self.shared.send_peer(from, &echo.to_reply().encode()));
        true
    }

    /// Records the sending balancer and the bundle version of a valid tunnel header.
    fn record_sender(&self, from: SocketAddr, header: &Header) {
        if matches!(header.kind, Kind::ToAgent | Kind::Opening) {
            self.shared
                .balancers
                .record_datagram(self.shared.now(), from);
        }
        if header.bundle_version <= *self.shared.version.borrow() {
            return;
        }
        let is_raised = self.shared.highest_seen_version.send_if_modified(|seen| {
            let is_newer = header.bundle_version > *seen;
            *seen = header.bundle_version.max(*seen);
            is_newer
        });
        if is_raised {
            self.shared.counters.newer_bundles_seen.add_one();
        }
    }

    /// Returns whether a datagram of an established flow may be passed to the QUIC library.
    ///
    /// The library answers an unknown connection id with a stateless reset, and the reset tokens of
    /// all incarnations are the same. A datagram whose connection id this incarnation did not issue
    /// must therefore not reach the library. A flow of an earlier incarnation is reset here.
    fn accept_established(&self, from: SocketAddr, header: &Header, payload: &[u8]) -> bool {
        let identity = &self.shared.identity;
        let arrival = datagram_owner(
            &identity.keys,
            identity.endpoint,
            identity.incarnation,
            payload,
        );
        match arrival {
            DatagramOwner::CurrentIncarnation => return true,
            DatagramOwner::EarlierIncarnation(cid) => {
                self.send_reset(from, header, &cid, payload.len());
            }
            DatagramOwner::Foreign => self.shared.counters.dropped_foreign_incarnation.add_one(),
            DatagramOwner::Unknown => self.shared.counters.dropped_unknown_flow.add_one(),
        }
        false
    }

    /// Sends a stateless reset to the caller of a flow of an earlier incarnation.
    fn send_reset(&self, to: SocketAddr, header: &Header, cid: &flow::cid::Cid, received: usize) {
        let identity = &self.shared.identity;
        let mut reset = [0; RESET_BYTES];
        let random = rand::random();
        let Some(len) = encode_reset(&identity.keys, cid, received, random, &mut reset) else {
            self.shared.counters.dropped_foreign_incarnation.add_one();
            return;
        };
        let header = Header {
            kind: Kind::ToCaller,
            incarnation: identity.incarnation,
            load: self.shared.load.get(),
            opening: None,
            ..*header
        };
        self.send_tunnel_datagram(to, &header, &reset[..len]);
        self.shared.counters.resets_sent.add_one();
    }

    /// Returns whether this agent accepts the opening packet of a flow; forwards a packet on which
    /// another candidate agent must decide.
    fn accept_opening(&mut self, header: &Header, opening: &Opening, payload: &[u8]) -> bool {
        let Some(Packet::Long { kind, dcid, .. }) = Packet::parse(payload) else {
            self.shared.counters.dropped_malformed.add_one();
            return false;
        };
        let is_opening = matches!(kind, LongKind::Initial | LongKind::ZeroRtt);
        if !is_opening || payload.len() < INITIAL_DATAGRAM_MIN_BYTES {
            self.shared.counters.dropped_malformed.add_one();
            return false;
        }
        let key = self.openings.key(header.caller, dcid);
        match self.openings.decide(self.shared.now(), key, opening) {
            OpeningAction::Open => {
                self.shared.counters.openings_taken.add_one();
                true
            }
            OpeningAction::Deliver => true,
            OpeningAction::Forward { to, opening } => {
                self.forward_opening(header, to, opening, payload);
                false
            }
            OpeningAction::Refuse(_refusal) => {
                self.shared.counters.openings_refused.add_one();
                false
            }
        }
    }

    fn forward_opening(&self, header: &Header, to: Candidate, opening: Opening, payload: &[u8]) {
        let header = Header {
            kind: Kind::ForwardedOpening,
            endpoint: to.endpoint,
            incarnation: Incarnation::new(0),
            opening: Some(opening),
            ..*header
        };
        self.send_tunnel_datagram(to.address, &header, payload);
        self.shared.counters.openings_passed_on.add_one();
    }

    /// Sends one tunnel datagram, which is dropped if the socket's send buffer is full.
    fn send_tunnel_datagram(&self, to: SocketAddr, header: &Header, payload: &[u8]) {
        let mut out = [0; OPENING_OVERHEAD_BYTES + FORWARD_MAX_BYTES];
        let Ok(len) = encode(header, &self.shared.identity.keys, payload, &mut out) else {
            self.shared.counters.dropped_malformed.add_one();
            return;
        };
        let transmit = Transmit {
            destination: to,
            ecn: None,
            contents: &out[..len],
            segment_size: None,
            src_ip: None,
        };
        let sent = self.shared.io.try_io(Interest::WRITABLE, || {
            self.shared
                .state
                .send(UdpSockRef::from(&self.shared.io), &transmit)
        });
        if sent.is_ok() {
            self.shared.counters.datagrams_sent.add_one();
        }
    }
}
