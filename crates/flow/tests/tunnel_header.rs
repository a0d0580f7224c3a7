//! Tunnel headers round-trip through their encoding; forged and corrupted ones are rejected.

use std::sync::Arc;

use flow::{
    key::{FleetKey, Secret, ServiceKeys},
    tunnel::{
        self, Candidate, Ecn, Header, Kind, Load, OPENING_OVERHEAD_BYTES, Opening, Reject,
        SingleServiceKeys, Stage, TUNNEL_OVERHEAD_BYTES,
    },
};
use units::{BundleVersion, EndpointId, Incarnation, KeyIndex, ServiceId, Slots};

const SERVICE: ServiceId = ServiceId::new(3);
const PAYLOAD: &[u8] = b"a quic packet";

fn keys(fill: u8) -> Arc<ServiceKeys> {
    let fleet = FleetKey::new(KeyIndex::new(2), Secret::new([fill; 32])).expect("index fits");
    Arc::new(ServiceKeys::derive(&fleet, &[], SERVICE).expect("one key"))
}

fn key_ring(fill: u8) -> SingleServiceKeys {
    SingleServiceKeys::new(SERVICE, keys(fill))
}

fn header(kind: Kind) -> Header {
    let list = [1, 2, 3].map(|id| Candidate {
        endpoint: EndpointId::new(id),
        address: "[2001:db8::7]:4433".parse().expect("address"),
    });
    let opening = Opening::new(&list, 2, 1)
        .and_then(|it| {
            it.with_stage_and_hops(
                Stage::Query {
                    asker: 1,
                    queried: 3,
                },
                2,
            )
        })
        .expect("valid list");
    Header {
        kind,
        service: SERVICE,
        endpoint: EndpointId::new(1),
        incarnation: Incarnation::new(9),
        bundle_version: BundleVersion::new(12),
        caller: "192.0.2.1:5000".parse().expect("address"),
        local: "[2001:db8::1]:443".parse().expect("address"),
        ecn: Ecn::new(2),
        load: Load {
            busy: Slots::new(1),
            total: Slots::new(2),
            is_leaving: true,
        },
        opening: matches!(kind, Kind::Opening | Kind::ForwardedOpening).then_some(opening),
    }
}

fn encode(header: &Header) -> Vec<u8> {
    let mut out = vec![0; OPENING_OVERHEAD_BYTES + PAYLOAD.len()];
    let len = tunnel::encode(header, &keys(1), PAYLOAD, &mut out).expect("fits");
    out.truncate(len);
    out
}

#[test]
fn header_of_every_kind_round_trips() {
    for kind in [
        Kind::ToAgent,
        Kind::Opening,
        Kind::ForwardedOpening,
        Kind::ToCaller,
    ] {
        let sent = header(kind);
        let datagram = encode(&sent);
        assert_eq!(tunnel::decode(&datagram, &key_ring(1)), Ok((sent, PAYLOAD)));
    }
}

#[test]
fn invalid_datagrams_are_rejected_with_the_reason() {
    let valid = encode(&header(Kind::ToAgent));
    let check = |datagram: &[u8], fill: u8, expect: Reject| {
        assert_eq!(
            tunnel::decode(datagram, &key_ring(fill)).err(),
            Some(expect)
        );
    };
    let with_byte = |at: usize, to: u8| {
        let mut datagram = valid.clone();
        datagram[at] = to;
        datagram
    };
    check(&valid[..3], 1, Reject::Truncated);
    check(&valid[..TUNNEL_OVERHEAD_BYTES - 1], 1, Reject::Truncated);
    check(&valid[..valid.len() - 1], 1, Reject::Length);
    check(&with_byte(0, 0), 1, Reject::Magic);
    check(&with_byte(2, 9), 1, Reject::Magic);
    check(&with_byte(3, 77), 1, Reject::Kind);
    check(&with_byte(4, 1), 1, Reject::Key);
    check(&with_byte(15, 4), 1, Reject::Service);
    check(&valid, 2, Reject::Mac);
}

#[test]
fn flipped_header_bit_is_rejected() {
    for kind in [Kind::ToAgent, Kind::Opening] {
        let valid = encode(&header(kind));
        let covered = valid.len() - PAYLOAD.len();
        for bit in 0..covered * 8 {
            let mut datagram = valid.clone();
            datagram[bit / 8] ^= 1 << (bit % 8);
            let res = tunnel::decode(&datagram, &key_ring(1));
            assert!(
                res.is_err(),
                "{kind:?} with bit {bit} flipped must be rejected"
            );
        }
    }
}

#[test]
fn datagram_for_another_endpoint_or_incarnation_is_rejected() {
    let check = |kind, endpoint, incarnation, expect| {
        let (endpoint, incarnation) = (EndpointId::new(endpoint), Incarnation::new(incarnation));
        let res = header(kind).check_recipient(endpoint, incarnation);
        assert_eq!(res.err(), expect);
    };
    check(Kind::ToAgent, 1, 9, None);
    check(Kind::ToAgent, 2, 9, Some(Reject::Endpoint));
    check(Kind::ToAgent, 1, 10, Some(Reject::Incarnation));
    check(Kind::Opening, 1, 10, None);
    check(Kind::Opening, 2, 9, Some(Reject::Endpoint));
}

#[test]
fn flipped_bit_in_peer_datagram_is_rejected() {
    let mut out = [0; 128];
    let len = tunnel::encode_peer(SERVICE, &keys(1), PAYLOAD, &mut out).expect("fits");
    let valid = &out[..len];
    let res = tunnel::decode_peer(valid, &key_ring(1));
    assert_eq!(res, Ok(Some((SERVICE, PAYLOAD))));
    assert_eq!(tunnel::decode(valid, &key_ring(1)), Err(Reject::Truncated));
    for bit in 0..len * 8 {
        let mut datagram = valid.to_vec();
        datagram[bit / 8] ^= 1 << (bit % 8);
        let res = tunnel::decode_peer(&datagram, &key_ring(1));
        assert!(
            !matches!(res, Ok(Some(_))),
            "a peer datagram with bit {bit} flipped must be rejected"
        );
    }
}

#[test]
fn arbitrary_bytes_are_rejected() {
    let ring = key_ring(1);
    bolero::check!()
        .with_iterations(20_000)
        .for_each(|bytes: &[u8]| {
            tunnel::decode(bytes, &ring).expect_err("random bytes carry no valid MAC");
            assert!(!matches!(tunnel::decode_peer(bytes, &ring), Ok(Some(_))));
        });
}
