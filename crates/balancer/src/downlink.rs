//! From agents to callers, and from peers to whoever reads them.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use flow::{
    echo::{Echo, EchoKind},
    table::RoutingTable,
    tunnel::{self, Header, Kind, Reject, TUNNEL_OVERHEAD_BYTES},
};
use quinn_udp::RecvMeta;
use tokio::sync::mpsc;
use units::ServiceId;

use crate::{
    counters::{Counter, Counters},
    outgoing::{Destination, Outgoing},
    peers::PeerDatagram,
    socket::DatagramSocket,
};

/// The sockets of the service addresses, sorted by service address.
pub(crate) type ServiceSockets = Vec<(SocketAddr, Arc<DatagramSocket>)>;

/// Carries datagrams out of the tunnel.
#[derive(Debug)]
pub(crate) struct Downlink<'a> {
    pub(crate) table: &'a RoutingTable,
    pub(crate) services: &'a ServiceSockets,
    pub(crate) counters: &'a Counters,
    pub(crate) peers: &'a mpsc::Sender<PeerDatagram>,
    pub(crate) echoes: &'a mpsc::Sender<Echo>,
    pub(crate) out: &'a mut Outgoing,
}

/// A checked header and where its datagrams go; holds for equal headers that follow at once.
struct Checked<'a> {
    /// The header's bytes, MAC included, as checked.
    bytes: &'a [u8],
    socket: &'a DatagramSocket,
    destination: Destination,
}

impl<'a> Downlink<'a> {
    /// Forwards what one receive buffer holds: one or more datagrams of one sender.
    pub(crate) fn forward(&mut self, meta: &RecvMeta, bytes: &[u8]) {
        let stride = meta.stride.max(1);
        let mut checked = None;
        let (mut answers, mut answer_bytes) = (0, 0);
        for datagram in bytes.chunks(stride) {
            if !holds(checked.as_ref(), datagram) {
                self.flush(checked.take());
                checked = self.check(meta, datagram);
            }
            let Some(checked) = &checked else {
                continue;
            };
            let payload = &datagram[TUNNEL_OVERHEAD_BYTES..];
            answers += 1;
            answer_bytes += payload.len() as u64;
            let (socket, destination) = (checked.socket, checked.destination);
            self.out
                .push(socket, self.counters, destination, [&[], payload]);
        }
        self.flush(checked);
        self.counters.add(Counter::Answers, answers);
        self.counters.add(Counter::AnswerBytes, answer_bytes);
    }

    /// Sends what was gathered, from the socket it was gathered for.
    fn flush(&mut self, checked: Option<Checked<'_>>) {
        if let Some(checked) = checked {
            self.out.flush(checked.socket, self.counters);
        }
    }

    /// Checks a datagram; what is not an answer to a caller is dealt with here.
    fn check<'d>(&self, meta: &RecvMeta, datagram: &'d [u8]) -> Option<Checked<'d>>
    where
        'a: 'd,
    {
        match tunnel::decode_peer(datagram, self.table) {
            Ok(None) => {}
            Ok(Some((scope, payload))) => {
                if self.take_echo(scope, payload) {
                    return None;
                }
                let payload = Bytes::copy_from_slice(payload);
                self.hand_on(PeerDatagram {
                    from: meta.addr,
                    scope,
                    payload,
                });
                return None;
            }
            Err(reject) => {
                self.counters.count_reject(reject);
                return None;
            }
        }
        match self.check_answer(datagram) {
            Ok(checked) => checked,
            Err(reject) => {
                self.counters.count_reject(reject);
                None
            }
        }
    }

    /// Takes in the answer to an echo; returns whether the payload was an echo.
    fn take_echo(&self, scope: ServiceId, payload: &[u8]) -> bool {
        let Some(echo) = Echo::decode(payload) else {
            return false;
        };
        let service = self.table.service(scope);
        let is_own = service.is_some_and(|it| it.endpoint_status(echo.endpoint).is_some());
        if is_own && echo.kind == EchoKind::Reply {
            self.counters.add(Counter::EchoAnswered, 1);
            // An answer that finds no room is as good as lost; the next echo follows.
            let _ = self.echoes.try_send(echo);
        }
        true
    }

    fn check_answer<'d>(&self, datagram: &'d [u8]) -> Result<Option<Checked<'d>>, Reject>
    where
        'a: 'd,
    {
        let (header, _payload) = tunnel::decode(datagram, self.table)?;
        if header.kind != Kind::ToCaller {
            return Err(Reject::Kind);
        }
        let Some(socket) = self.socket(&header) else {
            self.counters.add(Counter::ForeignAddress, 1);
            return Ok(None);
        };
        self.note(&header);
        Ok(Some(Checked {
            bytes: &datagram[..TUNNEL_OVERHEAD_BYTES],
            socket,
            destination: Destination {
                address: header.caller,
                ecn_bits: header.ecn.get(),
            },
        }))
    }

    /// Finds the socket of the header's service address, if that is the header's service's.
    fn socket(&self, header: &Header) -> Option<&'a DatagramSocket> {
        let service = self.table.service_at(header.local)?;
        if service.id() != header.service {
            return None;
        }
        let idx = self
            .services
            .binary_search_by_key(&header.local, |it| it.0)
            .ok()?;
        Some(&self.services[idx].1)
    }

    /// Notes what the header says about its sender.
    fn note(&self, header: &Header) {
        let Some(service) = self.table.service(header.service) else {
            return;
        };
        if header.bundle_version > service.version() {
            self.counters.add(Counter::NewerBundle, 1);
        }
        if let Some(cell) = service.endpoint_status(header.endpoint) {
            cell.set_load(header.load);
            cell.record_answered_batch();
        }
    }

    fn hand_on(&self, datagram: PeerDatagram) {
        let counter = match self.peers.try_send(datagram) {
            Ok(()) => Counter::PeerReceived,
            Err(_full) => Counter::PeerDropped,
        };
        self.counters.add(counter, 1);
    }
}

/// Tells whether a datagram has the very header that was checked last, MAC and length included.
fn holds(checked: Option<&Checked<'_>>, datagram: &[u8]) -> bool {
    let Some(checked) = checked else {
        return false;
    };
    datagram.get(..TUNNEL_OVERHEAD_BYTES) == Some(checked.bytes)
}
