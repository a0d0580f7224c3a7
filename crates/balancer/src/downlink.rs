//! Processing of datagrams that arrive through the tunnel: answers to callers, and peer datagrams.

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
    peers::PeerDatagram,
    send_batch::{Destination, SendBatch},
    socket::DatagramSocket,
};

/// The sockets of the service addresses, sorted by service address.
pub(crate) type ServiceSockets = Vec<(SocketAddr, Arc<DatagramSocket>)>;

/// Processes datagrams that arrive at a tunnel socket.
#[derive(Debug)]
pub(crate) struct Downlink<'a> {
    pub(crate) table: &'a RoutingTable,
    pub(crate) services: &'a ServiceSockets,
    pub(crate) counters: &'a Counters,
    pub(crate) peer_datagrams: &'a mpsc::Sender<PeerDatagram>,
    pub(crate) echo_replies: &'a mpsc::Sender<Echo>,
    pub(crate) out: &'a mut SendBatch,
}

/// A verified tunnel header and its destination, reused for equal headers that directly follow.
struct VerifiedHeader<'a> {
    /// The verified tunnel header as received, including its MAC.
    bytes: &'a [u8],
    socket: &'a DatagramSocket,
    destination: Destination,
}

impl<'a> Downlink<'a> {
    /// Forwards the contents of one receive buffer: one or more tunnel datagrams of one sender.
    pub(crate) fn forward_received(&mut self, meta: &RecvMeta, bytes: &[u8]) {
        let stride = meta.stride.max(1);
        let mut verified = None;
        let (mut answers, mut answer_bytes) = (0, 0);
        for datagram in bytes.chunks(stride) {
            if !has_verified_header(verified.as_ref(), datagram) {
                self.flush_batch(verified.take());
                verified = self.verify_or_consume(meta, datagram);
            }
            let Some(verified) = &verified else {
                continue;
            };
            let payload = &datagram[TUNNEL_OVERHEAD_BYTES..];
            answers += 1;
            answer_bytes += payload.len() as u64;
            let (socket, destination) = (verified.socket, verified.destination);
            self.out
                .push(socket, self.counters, destination, [&[], payload]);
        }
        self.flush_batch(verified);
        self.counters.add(Counter::Answers, answers);
        self.counters.add(Counter::AnswerBytes, answer_bytes);
    }

    /// Sends the batched datagrams from the service socket of the verified header.
    fn flush_batch(&mut self, verified: Option<VerifiedHeader<'_>>) {
        if let Some(verified) = verified {
            self.out.flush(verified.socket, self.counters);
        }
    }

    /// Verifies a tunnelled datagram to a caller.
    ///
    /// Returns `None` for a peer datagram, which is consumed here, and for a refused datagram.
    fn verify_or_consume<'d>(
        &self,
        meta: &RecvMeta,
        datagram: &'d [u8],
    ) -> Option<VerifiedHeader<'d>>
    where
        'a: 'd,
    {
        match tunnel::decode_peer(datagram, self.table) {
            Ok(None) => {}
            Ok(Some((scope, payload))) => {
                if self.consume_echo(scope, payload) {
                    return None;
                }
                let payload = Bytes::copy_from_slice(payload);
                self.queue_peer_datagram(PeerDatagram {
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
        match self.verify_answer(datagram) {
            Ok(verified) => verified,
            Err(reject) => {
                self.counters.count_reject(reject);
                None
            }
        }
    }

    /// Queues an echo reply for the path prober; returns whether the payload was an echo.
    fn consume_echo(&self, scope: ServiceId, payload: &[u8]) -> bool {
        let Some(echo) = Echo::decode(payload) else {
            return false;
        };
        let service = self.table.service(scope);
        let is_known_endpoint =
            service.is_some_and(|it| it.endpoint_status(echo.endpoint).is_some());
        if is_known_endpoint && echo.kind == EchoKind::Reply {
            self.counters.add(Counter::EchoAnswered, 1);
            // If the queue is full, the reply counts as lost and the next echo request follows.
            let _ = self.echo_replies.try_send(echo);
        }
        true
    }

    /// Verifies a datagram from an agent to a caller and finds its socket and destination.
    fn verify_answer<'d>(&self, datagram: &'d [u8]) -> Result<Option<VerifiedHeader<'d>>, Reject>
    where
        'a: 'd,
    {
        let (header, _payload) = tunnel::decode(datagram, self.table)?;
        if header.kind != Kind::ToCaller {
            return Err(Reject::Kind);
        }
        let Some(socket) = self.service_socket(&header) else {
            self.counters.add(Counter::ForeignAddress, 1);
            return Ok(None);
        };
        self.update_endpoint_status(&header);
        Ok(Some(VerifiedHeader {
            bytes: &datagram[..TUNNEL_OVERHEAD_BYTES],
            socket,
            destination: Destination {
                address: header.caller,
                ecn_bits: header.ecn.get(),
            },
        }))
    }

    /// Returns the socket of the header's service address if the header's service has the address.
    fn service_socket(&self, header: &Header) -> Option<&'a DatagramSocket> {
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

    /// Updates the sending endpoint's load and received batch count from a verified tunnel header.
    fn update_endpoint_status(&self, header: &Header) {
        let Some(service) = self.table.service(header.service) else {
            return;
        };
        if header.bundle_version > service.version() {
            self.counters.add(Counter::NewerBundle, 1);
        }
        if let Some(status) = service.endpoint_status(header.endpoint) {
            status.set_load(header.load);
            status.record_answered_batch();
        }
    }

    /// Queues a peer datagram for its reader; drops and counts the datagram if the queue is full.
    fn queue_peer_datagram(&self, datagram: PeerDatagram) {
        let counter = match self.peer_datagrams.try_send(datagram) {
            Ok(()) => Counter::PeerReceived,
            Err(_full) => Counter::PeerDropped,
        };
        self.counters.add(counter, 1);
    }
}

/// Returns whether a datagram has the tunnel header verified last, including MAC and length.
fn has_verified_header(verified: Option<&VerifiedHeader<'_>>, datagram: &[u8]) -> bool {
    let Some(verified) = verified else {
        return false;
    };
    datagram.get(..TUNNEL_OVERHEAD_BYTES) == Some(verified.bytes)
}
