//! The parser of version-independent QUIC headers never reads past the end of the datagram.

use flow::quic::{LongKind, Packet};

fn encode_long_header(first: u8, version: u32) -> Vec<u8> {
    let mut datagram = vec![first];
    datagram.extend(version.to_be_bytes());
    datagram.extend([2, 0xaa, 0xbb, 1, 0xcc, 0]);
    datagram
}

#[test]
fn long_header_kind_depends_on_version() {
    let check = |first, version, expect| {
        let datagram = encode_long_header(first, version);
        let expect = Packet::Long {
            version,
            kind: expect,
            dcid: &[0xaa, 0xbb],
            scid: &[0xcc],
        };
        assert_eq!(Packet::parse(&datagram), Some(expect));
    };
    check(0xc3, 1, LongKind::Initial);
    check(0xd0, 1, LongKind::ZeroRtt);
    check(0xe0, 1, LongKind::Handshake);
    check(0xf0, 1, LongKind::Retry);
    check(0xd0, 0x6b33_43cf, LongKind::Initial);
    check(0xc0, 0x6b33_43cf, LongKind::Retry);
    check(0xc0, 0, LongKind::VersionNegotiation);
    check(0xc0, 0x1a2a_3a4a, LongKind::Unknown);
}

#[test]
fn truncated_header_is_refused() {
    let complete = encode_long_header(0xc0, 1);
    for len in 0..complete.len() - 1 {
        assert_eq!(Packet::parse(&complete[..len]), None, "{len} bytes");
    }
    let short = [0x40; 18];
    assert_eq!(Packet::parse(&short[..17]), None);
    assert_eq!(
        Packet::parse(&short)
            .expect("the header is complete")
            .dcid(),
        &[0x40; 17]
    );
}

#[test]
fn connection_id_above_20_bytes_is_refused() {
    let mut datagram = encode_long_header(0xc0, 1);
    datagram[5] = 21;
    datagram.resize(100, 0);
    assert_eq!(Packet::parse(&datagram), None);
}

#[test]
fn arbitrary_bytes_never_panic() {
    bolero::check!()
        .with_iterations(20_000)
        .for_each(|bytes: &[u8]| {
            if let Some(packet) = Packet::parse(bytes) {
                assert!(packet.dcid().len() <= 20);
            }
        });
}
