//! Received tunnel datagrams: checked, unwrapped and handed to the QUIC library or passed on.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    sync::Arc,
};

use flow::{
    echo::{Echo, EchoKind},
    opening::{Limits, OpeningTable, Verdict},
    quic::{INITIAL_DATAGRAM_MIN_BYTES, LongKind, Packet},
    reset::{Arrival, RESET_BYTES, classify, encode_reset},
    tunnel::{
        Candidate, Header, Kind, OPENING_OVERHEAD_BYTES, Opening, OwnKeys, decode, decode_peer,
        encode,
    },
};
use quinn::udp::{RecvMeta, Transmit, UdpSockRef};
use tokio::io::Interest;
use units::Incarnation;

use super::{PeerDatagram, Shared, ecn_codepoint};

/// System calls' worth of datagrams received at once.
const RECEIVE_BATCH: usize = 8;

/// Room for the datagrams of one batch entry, which the kernel may have joined.
const RECEIVE_BYTES: usize = 64 * 1024;

/// Largest datagram passed on.
const PASS_ON_MAX_BYTES: usize = 2048;

/// Received datagrams and what is needed to judge them.
pub(super) struct Inbox {
    shared: Arc<Shared>,
    keys: OwnKeys,
    openings: OpeningTable,
    buffers: Vec<Vec<u8>>,
    /// What `buffers` hold; the first `filled` are meaningful.
    metas: [RecvMeta; RECEIVE_BATCH],
    filled: usize,
    /// Next datagram: its buffer and its place in it.
    next: (usize, usize),
}

impl Inbox {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let identity = &shared.identity;
        let openings = OpeningTable::new(
            identity.endpoint,
            shared.now(),
            Limits::new(),
            rand::random(),
        );
        let keys = OwnKeys::new(identity.service, Arc::clone(&identity.keys));
        Self {
            shared,
            keys,
            openings,
            buffers: vec![vec![0; RECEIVE_BYTES]; RECEIVE_BATCH],
            metas: [RecvMeta::default(); RECEIVE_BATCH],
            filled: 0,
            next: (0, 0),
        }
    }

    /// Receives a batch; the last one must be drained.
    pub(super) fn receive(&mut self) -> io::Result<()> {
        let shared = &self.shared;
        let mut slices = self.buffers.iter_mut().map(|it| IoSliceMut::new(it));
        let mut bufs: [IoSliceMut<'_>; RECEIVE_BATCH] =
            std::array::from_fn(|_idx| slices.next().expect("one buffer an entry"));
        self.next = (0, 0);
        self.filled = 0;
        self.filled = shared.io.try_io(Interest::READABLE, || {
            let socket = UdpSockRef::from(&shared.io);
            shared.state.recv(socket, &mut bufs, &mut self.metas)
        })?;
        Ok(())
    }

    /// Moves datagrams for the QUIC library to `bufs`; returns how many.
    pub(super) fn drain(&mut self, bufs: &mut [IoSliceMut<'_>], meta: &mut [RecvMeta]) -> usize {
        let mut count = 0;
        let room = bufs.len().min(meta.len());
        while count < room {
            let Some((idx, start, end)) = self.advance() else {
                break;
            };
            // The buffer is lent out while the datagram is judged.
            let buffer = std::mem::take(&mut self.buffers[idx]);
            let from = self.metas[idx].addr;
            if let Some(taken) = self.judge(from, &buffer[start..end], &mut bufs[count]) {
                meta[count] = taken;
                count += 1;
            }
            self.buffers[idx] = buffer;
        }
        self.shared.counters.datagrams_received.add(count as u64);
        count
    }

    /// Returns the place of the next received datagram.
    fn advance(&mut self) -> Option<(usize, usize, usize)> {
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

    /// Judges a datagram; returns its description if it is copied to `buf` for the QUIC library.
    fn judge(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        buf: &mut IoSliceMut<'_>,
    ) -> Option<RecvMeta> {
        if self.take_peer(from, datagram) {
            return None;
        }
        let Ok((header, payload)) = decode(datagram, &self.keys) else {
            self.shared.counters.dropped_malformed.add_one();
            return None;
        };
        self.note_sender(from, &header);
        if header.endpoint != self.shared.identity.endpoint {
            self.shared.counters.dropped_foreign_endpoint.add_one();
            return None;
        }
        let is_taken = match (header.kind, header.opening) {
            (Kind::ToAgent, _) => self.take_established(from, &header, payload),
            (Kind::Opening | Kind::PassedOn, Some(opening)) => {
                self.take_opening(&header, &opening, payload)
            }
            _ => false,
        };
        if !is_taken || payload.len() > buf.len() {
            return None;
        }
        buf[..payload.len()].copy_from_slice(payload);
        Some(RecvMeta {
            addr: header.caller,
            len: payload.len(),
            stride: payload.len(),
            ecn: ecn_codepoint(header.ecn),
            dst_ip: Some(self.shared.addresses.number(header.local)?),
        })
    }

    /// Hands on a datagram of a peer; returns whether it was one.
    fn take_peer(&self, from: SocketAddr, datagram: &[u8]) -> bool {
        let Ok(Some((_service, payload))) = decode_peer(datagram, &self.keys) else {
            return false;
        };
        if self.answer_echo(from, payload) {
            return true;
        }
        let payload = payload.to_vec();
        match self.shared.peers.try_send(PeerDatagram { from, payload }) {
            Ok(()) => self.shared.counters.peer_datagrams.add_one(),
            Err(_full) => self.shared.counters.peer_datagrams_dropped.add_one(),
        }
        true
    }

    /// Answers an echo on the path it came by; returns whether the payload was one.
    fn answer_echo(&self, from: SocketAddr, payload: &[u8]) -> bool {
        let Some(echo) = Echo::decode(payload) else {
            return false;
        };
        if echo.kind != EchoKind::Ask || echo.endpoint != self.shared.identity.endpoint {
            self.shared.counters.dropped_foreign_endpoint.add_one();
            return true;
        }
        self.shared.balancers.hear(self.shared.now(), from);
        self.shared.counters.echoes_answered.add_one();
        // An answer that can't be sent is as good as lost; the balancer asks again.
        drop(self.shared.send_peer(from, &echo.answer().encode()));
        true
    }

    /// Notes the balancer and the bundle version a valid header shows.
    fn note_sender(&self, from: SocketAddr, header: &Header) {
        if matches!(header.kind, Kind::ToAgent | Kind::Opening) {
            self.shared.balancers.hear(self.shared.now(), from);
        }
        if header.bundle_version <= *self.shared.version.borrow() {
            return;
        }
        let is_raised = self.shared.newer_version.send_if_modified(|seen| {
            let is_newer = header.bundle_version > *seen;
            *seen = header.bundle_version.max(*seen);
            is_newer
        });
        if is_raised {
            self.shared.counters.newer_bundles_seen.add_one();
        }
    }

    /// Tells whether a datagram of an established flow may reach the QUIC library.
    ///
    /// The library answers any unknown connection id with a reset that is valid for every run, so
    /// whatever this run did not mint must not reach it.
    fn take_established(&self, from: SocketAddr, header: &Header, payload: &[u8]) -> bool {
        let identity = &self.shared.identity;
        let arrival = classify(
            &identity.keys,
            identity.endpoint,
            identity.incarnation,
            payload,
        );
        match arrival {
            Arrival::Mine => return true,
            Arrival::Predecessor(cid) => self.send_reset(from, header, &cid, payload.len()),
            Arrival::Foreign => self.shared.counters.dropped_foreign_incarnation.add_one(),
            Arrival::Unknown => self.shared.counters.dropped_unknown_flow.add_one(),
        }
        false
    }

    /// Tells the caller that the run which held its flow is gone.
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
        self.send(to, &header, &reset[..len]);
        self.shared.counters.resets_sent.add_one();
    }

    /// Tells whether an opening datagram is for this agent; passes it on if it is not.
    fn take_opening(&mut self, header: &Header, opening: &Opening, payload: &[u8]) -> bool {
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
            Verdict::Open => {
                self.shared.counters.openings_taken.add_one();
                true
            }
            Verdict::Deliver => true,
            Verdict::PassTo { to, opening } => {
                self.pass_on(header, to, opening, payload);
                false
            }
            Verdict::Refuse(_refusal) => {
                self.shared.counters.openings_refused.add_one();
                false
            }
        }
    }

    fn pass_on(&self, header: &Header, to: Candidate, opening: Opening, payload: &[u8]) {
        let header = Header {
            kind: Kind::PassedOn,
            endpoint: to.endpoint,
            incarnation: Incarnation::new(0),
            opening: Some(opening),
            ..*header
        };
        self.send(to.address, &header, payload);
        self.shared.counters.openings_passed_on.add_one();
    }

    /// Sends one tunnel datagram; what the socket can't take is lost, as on any network.
    fn send(&self, to: SocketAddr, header: &Header, payload: &[u8]) {
        let mut out = [0; OPENING_OVERHEAD_BYTES + PASS_ON_MAX_BYTES];
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
