//! From callers to agents.

use std::net::SocketAddr;

use flow::{
    cid::Cid,
    table::{Decision, DropReason, RoutingTable, ServiceRoutes},
    tunnel::{self, Ecn, Header, OPENING_OVERHEAD_BYTES, TUNNEL_OVERHEAD_BYTES},
};
use quinn_udp::RecvMeta;

use crate::{
    batch::HEADROOM_BYTES,
    counters::{Counter, Counters},
    datapath::{Detours, towards},
    outgoing::{Destination, Outgoing, send},
    socket::DatagramSocket,
};

const LONG_HEADER_BIT: u8 = 0x80;

/// Carries datagrams from one service address into the tunnel.
#[derive(Debug)]
pub(crate) struct Uplink<'a> {
    pub(crate) table: &'a RoutingTable,
    /// The service address.
    pub(crate) local: SocketAddr,
    pub(crate) tunnel: &'a DatagramSocket,
    pub(crate) detours: &'a Detours,
    pub(crate) counters: &'a Counters,
    pub(crate) out: &'a mut Outgoing,
    pub(crate) datagram_max_bytes: usize,
}

/// A datagram's route, which holds for those of the same flow that follow at once.
struct Route {
    /// `None` if nothing but this datagram may take the route.
    dcid: Option<Cid>,
    header: Header,
    destination: Destination,
}

impl<'a> Uplink<'a> {
    /// Forwards what one receive buffer holds: one or more datagrams of one caller.
    ///
    /// The datagrams begin at `HEADROOM_BYTES`.
    pub(crate) fn forward(&mut self, meta: &RecvMeta, buffer: &mut [u8]) {
        let stride = meta.stride.max(1);
        let datagrams = meta.len.div_ceil(stride) as u64;
        self.counters.add(Counter::CallerDatagrams, datagrams);
        self.counters.add(Counter::CallerBytes, meta.len as u64);
        let Some(service) = self.table.service_at(self.local) else {
            self.counters.count_drops(DropReason::NoService, datagrams);
            return;
        };
        if meta.len > stride {
            self.forward_run(service, meta, &buffer[HEADROOM_BYTES..]);
        } else {
            self.forward_one(service, meta, buffer);
        }
    }

    /// Forwards a single datagram from where it lies, with its header in front.
    fn forward_one(&mut self, service: &ServiceRoutes, meta: &RecvMeta, buffer: &mut [u8]) {
        let datagram = &buffer[HEADROOM_BYTES..];
        let Some(route) = self.route(service, meta, datagram) else {
            return;
        };
        let start = HEADROOM_BYTES - route.overhead_bytes();
        let out = &mut buffer[start..HEADROOM_BYTES];
        encode(service, &route.header, meta.len, out);
        self.counters.add(route.counter(), 1);
        let socket = self.socket(&route);
        send(
            socket,
            self.counters,
            route.destination,
            &buffer[start..],
            None,
        );
    }

    /// Forwards several datagrams, which need their headers between them.
    fn forward_run(&mut self, service: &ServiceRoutes, meta: &RecvMeta, bytes: &[u8]) {
        let mut last = None;
        let mut encoded = [0; OPENING_OVERHEAD_BYTES];
        let mut encoded_for = 0;
        let (mut established, mut openings) = (0, 0);
        for datagram in bytes.chunks(meta.stride) {
            if !holds(last.as_ref(), datagram) {
                if let Some(route) = &last {
                    let socket = self.socket(route);
                    self.out.flush(socket, self.counters);
                }
                last = self.route(service, meta, datagram);
                encoded_for = 0;
            }
            let Some(route) = &last else {
                continue;
            };
            if datagram.len() + route.overhead_bytes() > self.datagram_max_bytes {
                self.counters.count_drop(DropReason::TooLarge);
                continue;
            }
            let header = &mut encoded[..route.overhead_bytes()];
            if encoded_for != datagram.len() {
                encode(service, &route.header, datagram.len(), header);
                encoded_for = datagram.len();
            }
            match route.header.opening {
                Some(_) => openings += 1,
                None => established += 1,
            }
            let parts = [&*header, datagram];
            let socket = self.socket(route);
            self.out
                .push(socket, self.counters, route.destination, parts);
        }
        if let Some(route) = &last {
            let socket = self.socket(route);
            self.out.flush(socket, self.counters);
        }
        self.counters.add(Counter::Established, established);
        self.counters.add(Counter::Openings, openings);
    }

    /// Returns the socket that a route's datagrams leave from.
    fn socket(&self, route: &Route) -> &'a DatagramSocket {
        towards(self.detours, route.destination.address).map_or(self.tunnel, |it| it)
    }

    /// Finds a datagram's route; `None` if it was dropped.
    fn route(&self, service: &ServiceRoutes, meta: &RecvMeta, datagram: &[u8]) -> Option<Route> {
        let ecn = Ecn::new(meta.ecn.map_or(0, |it| it as u8));
        let decision = service.route(meta.addr, datagram);
        if let Decision::Drop(reason) = decision {
            self.counters.count_drop(reason);
            return None;
        }
        let (header, address) = service.header(&decision, meta.addr, self.local, ecn)?;
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
        if let Some(cell) = service.endpoint_status(header.endpoint) {
            cell.record_sent_batch();
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

/// Writes a header whose payload was found to fit a datagram.
fn encode(service: &ServiceRoutes, header: &Header, payload_bytes: usize, out: &mut [u8]) {
    tunnel::encode_header(header, service.keys(), payload_bytes, out)
        .expect("the payload fits a datagram");
}

/// Tells whether a datagram's route is the last one's.
fn holds(route: Option<&Route>, datagram: &[u8]) -> bool {
    match (route, short_dcid(datagram)) {
        (Some(route), Some(dcid)) => route.dcid.as_ref() == Some(dcid),
        _ => false,
    }
}

fn short_dcid(datagram: &[u8]) -> Option<&Cid> {
    let (first, rest) = datagram.split_first()?;
    if first & LONG_HEADER_BIT != 0 {
        return None;
    }
    rest.first_chunk()
}
