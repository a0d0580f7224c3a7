//! From callers to agents.

use std::net::SocketAddr;

use flow::{
    cid::{CID_BYTES, Cid},
    table::{Decision, DropReason, RoutingTable, ServiceRoutes},
    tunnel::{self, Ecn, Header, OPENING_OVERHEAD_BYTES, TUNNEL_OVERHEAD_BYTES},
};
use quinn_udp::RecvMeta;

use crate::{
    counters::{Counter, Counters},
    outgoing::{Destination, Outgoing},
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
    pub(crate) counters: &'a Counters,
    pub(crate) out: &'a mut Outgoing,
    pub(crate) datagram_max_bytes: usize,
}

/// The last datagram's route, which holds for those of the same flow that follow at once.
struct Route {
    dcid: Cid,
    header: Header,
    destination: Destination,
    encoded: [u8; TUNNEL_OVERHEAD_BYTES],
    /// Payload length that `encoded` is for.
    payload_bytes: usize,
}

impl Uplink<'_> {
    /// Forwards what one receive buffer holds: one or more datagrams of one caller.
    pub(crate) fn forward(&mut self, meta: &RecvMeta, bytes: &[u8]) {
        let stride = meta.stride.max(1);
        let datagrams = bytes.len().div_ceil(stride) as u64;
        self.counters.add(Counter::CallerDatagrams, datagrams);
        self.counters.add(Counter::CallerBytes, bytes.len() as u64);
        let Some(service) = self.table.at(self.local) else {
            self.counters.drop_many(DropReason::NoService, datagrams);
            return;
        };
        let ecn = Ecn::new(meta.ecn.map_or(0, |it| it as u8));
        let mut established = 0;
        let mut route = None;
        for datagram in bytes.chunks(stride) {
            if !holds(route.as_ref(), datagram) {
                route = self.route(service, meta.addr, ecn, datagram);
            }
            let Some(route) = &mut route else {
                continue;
            };
            established += u64::from(self.send(service, route, datagram));
        }
        self.counters.add(Counter::Established, established);
        self.out.flush(self.tunnel, self.counters);
    }

    /// Finds the route of an established flow; other datagrams are dealt with here.
    fn route(
        &mut self,
        service: &ServiceRoutes,
        caller: SocketAddr,
        ecn: Ecn,
        datagram: &[u8],
    ) -> Option<Route> {
        let decision = service.route(caller, datagram);
        if let Decision::Drop(reason) = decision {
            self.counters.drop_datagram(reason);
            return None;
        }
        let (header, address) = service.header(&decision, caller, self.local, ecn)?;
        let destination = Destination {
            address,
            ecn_bits: ecn.get(),
        };
        if let Some(cell) = service.cell(header.endpoint) {
            cell.note_sent();
        }
        if header.opening.is_some() {
            self.open(service, &header, destination, datagram);
            return None;
        }
        let dcid = short_dcid(datagram).copied().unwrap_or([0; CID_BYTES]);
        Some(Route {
            dcid,
            header,
            destination,
            encoded: [0; TUNNEL_OVERHEAD_BYTES],
            payload_bytes: usize::MAX,
        })
    }

    fn open(
        &mut self,
        service: &ServiceRoutes,
        header: &Header,
        destination: Destination,
        datagram: &[u8],
    ) {
        if datagram.len() + OPENING_OVERHEAD_BYTES > self.datagram_max_bytes {
            self.counters.drop_datagram(DropReason::TooLarge);
            return;
        }
        let mut encoded = [0; OPENING_OVERHEAD_BYTES];
        tunnel::encode_header(header, service.keys(), datagram.len(), &mut encoded)
            .expect("the length was checked");
        self.counters.add(Counter::Openings, 1);
        let parts = [&encoded[..], datagram];
        self.out
            .push(self.tunnel, self.counters, destination, parts);
    }

    /// Sends a datagram of an established flow and tells whether it could be tunnelled.
    fn send(&mut self, service: &ServiceRoutes, route: &mut Route, datagram: &[u8]) -> bool {
        if datagram.len() + TUNNEL_OVERHEAD_BYTES > self.datagram_max_bytes {
            self.counters.drop_datagram(DropReason::TooLarge);
            return false;
        }
        if route.payload_bytes != datagram.len() {
            let (header, out) = (&route.header, &mut route.encoded);
            tunnel::encode_header(header, service.keys(), datagram.len(), out)
                .expect("the length was checked");
            route.payload_bytes = datagram.len();
        }
        let parts = [&route.encoded[..], datagram];
        self.out
            .push(self.tunnel, self.counters, route.destination, parts);
        true
    }
}

/// Tells whether a datagram's route is the last one's.
fn holds(route: Option<&Route>, datagram: &[u8]) -> bool {
    match (route, short_dcid(datagram)) {
        (Some(route), Some(dcid)) => route.dcid == *dcid,
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
