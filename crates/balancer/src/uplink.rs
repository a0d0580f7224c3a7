//! Forwarding of datagrams from callers to agents.

use std::net::SocketAddr;

use flow::{
    cid::Cid,
    table::{Decision, DropReason, RoutingTable, ServiceRoutes},
    tunnel::{self, Ecn, Header, OPENING_OVERHEAD_BYTES, TUNNEL_OVERHEAD_BYTES},
};
use quinn_udp::RecvMeta;

use crate::{
    counters::{Counter, Counters},
    datapath::{DedicatedSockets, find_dedicated_socket},
    receive_batch::HEADROOM_BYTES,
    send_batch::{Destination, SendBatch, send_segments},
    socket::DatagramSocket,
};

const LONG_HEADER_BIT: u8 = 0x80;

/// Forwards datagrams that arrive at one service address into the tunnel.
#[derive(Debug)]
pub(crate) struct Uplink<'a> {
    pub(crate) table: &'a RoutingTable,
    /// The service address.
    pub(crate) local: SocketAddr,
    pub(crate) tunnel: &'a DatagramSocket,
    pub(crate) dedicated_sockets: &'a DedicatedSockets,
    pub(crate) counters: &'a Counters,
    pub(crate) out: &'a mut SendBatch,
    pub(crate) datagram_max_bytes: usize,
}

/// The route of a datagram, reused for datagrams of the same flow that directly follow it.
struct Route {
    /// Connection id of the flow; `None` if the route must not be reused for another datagram.
    dcid: Option<Cid>,
    header: Header,
    destination: Destination,
}

impl<'a> Uplink<'a> {
    /// Forwards the contents of one receive buffer: one or more datagrams of one caller.
    ///
    /// The datagrams start at offset `HEADROOM_BYTES` of the buffer.
    pub(crate) fn forward_received(&mut self, meta: &RecvMeta, buffer: &mut [u8]) {
        let stride = meta.stride.max(1);
        let datagrams = meta.len.div_ceil(stride) as u64;
        self.counters.add(Counter::CallerDatagrams, datagrams);
        self.counters.add(Counter::CallerBytes, meta.len as u64);
        let Some(service) = self.table.service_at(self.local) else {
            self.counters.count_drops(DropReason::NoService, datagrams);
            return;
        };
        if meta.len > stride {
            self.forward_batch(service, meta, &buffer[HEADROOM_BYTES..]);
        } else {
            self.forward_single(service, meta, buffer);
        }
    }

    /// Forwards a single datagram in place: its tunnel header goes into the headroom before it.
    fn forward_single(&mut self, service: &ServiceRoutes, meta: &RecvMeta, buffer: &mut [u8]) {
        let datagram = &buffer[HEADROOM_BYTES..];
        let Some(route) = self.find_route(service, meta, datagram) else {
            return;
        };
        let start = HEADROOM_BYTES - route.overhead_bytes();
        let out = &mut buffer[start..HEADROOM_BYTES];
        encode_header(service, &route.header, meta.len, out);
        self.counters.add(route.counter(), 1);
        let socket = self.socket_for(&route);
        send_segments(
            socket,
            self.counters,
            route.destination,
            &buffer[start..],
            None,
        );
    }

    /// Forwards several datagrams; copies them so that each gets its own tunnel header.
    fn forward_batch(&mut self, service: &ServiceRoutes, meta: &RecvMeta, bytes: &[u8]) {
        let mut last_route = None;
        let mut encoded_header = [0; OPENING_OVERHEAD_BYTES];
        let mut encoded_payload_bytes = 0;
        let (mut established, mut openings) = (0, 0);
        for datagram in bytes.chunks(meta.stride) {
            if !is_same_route(last_route.as_ref(), datagram) {
                if let Some(route) = &last_route {
                    let socket = self.socket_for(route);
                    self.out.flush(socket, self.counters);
                }
                last_route = self.find_route(service, meta, datagram);
                encoded_payload_bytes = 0;
            }
            let Some(route) = &last_route else {
                continue;
            };
            if datagram.len() + route.overhead_bytes() > self.datagram_max_bytes {
                self.counters.count_drop(DropReason::TooLarge);
                continue;
            }
            let header = &mut encoded_header[..route.overhead_bytes()];
            if encoded_payload_bytes != datagram.len() {
                encode_header(service, &route.header, datagram.len(), header);
                encoded_payload_bytes = datagram.len();
            }
            match route.header.opening {
                Some(_) => openings += 1,
                None => established += 1,
            }
            let parts = [&*header, datagram];
            let socket = self.socket_for(route);
            self.out
                .push(socket, self.counters, route.destination, parts);
        }
        if let Some(route) = &last_route {
            let socket = self.socket_for(route);
            self.out.flush(socket, self.counters);
        }
        self.counters.add(Counter::Established, established);
        self.counters.add(Counter::Openings, openings);
    }

    /// Returns the socket from which a route's datagrams are sent.
    fn socket_for(&self, route: &Route) -> &'a DatagramSocket {
        find_dedicated_socket(self.dedicated_sockets, route.destination.address)
            .map_or(self.tunnel, |it| it)
    }

    /// Determines a datagram's route; returns `None` if the datagram was dropped.
    fn find_route(
        &self,
        service: &ServiceRoutes,
        meta: &RecvMeta,
        datagram: &[u8],
    ) -> Option<Route> {
        let ecn = Ecn::new(meta.ecn.map_or(0, |it| it as u8));
        let decision = service.route(meta.addr, datagram);
        if let Decision::Drop(reason) = decision {
            self.counters.count_drop(reason);
            return None;
        }
        let (header, address) = service.tunnel_header(&decision, meta.addr, self.local, ecn)?;
        let route = Route {
            dcid: short_dcid(datagram).copied(),
            header,
            destination: Destination {
                address,
                ecn_bits: ecn.get(),
            },
        };
        if datagram.len() + route.overhead_bytes() > self.datagram_max_bytes {
            self.counters.count_drop(DropReason::TooLarge);
            return None;
        }
        if let Some(status) = service.endpoint_status(header.endpoint) {
            status.record_sent_batch();
        }
        Some(route)
    }
}

impl Route {
    const fn overhead_bytes(&self) -> usize {
        match self.header.opening {
            Some(_) => OPENING_OVERHEAD_BYTES,
            None => TUNNEL_OVERHEAD_BYTES,
        }
    }

    const fn counter(&self) -> Counter {
        match self.header.opening {
            Some(_) => Counter::Openings,
            None => Counter::Established,
        }
    }
}

/// Encodes a tunnel header into `out`; the caller has checked that the payload fits a datagram.
fn encode_header(service: &ServiceRoutes, header: &Header, payload_bytes: usize, out: &mut [u8]) {
    tunnel::encode_header(header, service.keys(), payload_bytes, out)
        .expect("the payload fits a datagram");
}

/// Returns whether a datagram belongs to the flow for which `route` was determined.
fn is_same_route(route: Option<&Route>, datagram: &[u8]) -> bool {
    match (route, short_dcid(datagram)) {
        (Some(route), Some(dcid)) => route.dcid.as_ref() == Some(dcid),
        _ => false,
    }
}

/// Returns the destination connection id of a QUIC packet with a short header.
fn short_dcid(datagram: &[u8]) -> Option<&Cid> {
    let (first, rest) = datagram.split_first()?;
    if first & LONG_HEADER_BIT != 0 {
        return None;
    }
    rest.first_chunk()
}
