//! Invalid datagrams at the tunnel socket are dropped and counted, and the agent keeps serving.

#[path = "fixture/fixture.rs"]
mod fixture;

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use fixture::{ENDPOINT, Fixture, INCARNATION, SERVICE, keys, wait_until, within_timeout};
use flow::tunnel::{Ecn, Header, Kind, Load, OPENING_OVERHEAD_BYTES, encode};
use http::StatusCode;
use stand_ins::{caller::Call, upstream::Behavior};
use units::BundleVersion;

/// Number of datagrams that each test sends.
const ITERATIONS: usize = 2000;

/// Maximum payload size for which the tests' encode buffer has room.
const DATAGRAM_BYTES: usize = 2048;

#[test]
fn random_bytes_are_dropped() {
    check_datagram_dropped_and_agent_serving(<[u8]>::to_vec);
}

#[test]
fn random_payloads_are_dropped() {
    check_datagram_dropped_and_agent_serving(encode_tunnel_datagram);
}

#[test]
fn damaged_headers_are_dropped() {
    check_datagram_dropped_and_agent_serving(|bytes| {
        let mut datagram = encode_tunnel_datagram(b"payload");
        let position = usize::from(bytes.first().copied().unwrap_or(0)) % datagram.len();
        datagram[position] ^= bytes.get(1).copied().unwrap_or(1).max(1);
        let len = bytes.get(2).map_or(datagram.len(), |it| usize::from(*it));
        datagram.truncate(len.max(1));
        datagram
    });
}

/// Sends the datagrams that `build` returns for random bytes, then checks that a call succeeds.
fn check_datagram_dropped_and_agent_serving(build: fn(&[u8]) -> Vec<u8>) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let fixture = runtime.block_on(Fixture::start(1, Behavior::new()));
    let address = fixture.agent.tunnel_address().unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_max_len(64)
        .for_each(|bytes: &[u8]| send_datagram(&socket, address, &build(bytes)));
    runtime.block_on(async {
        let counters = fixture.agent.counters();
        wait_until(|| counters.dropped_malformed.get() + counters.dropped_unknown_flow.get() > 0)
            .await;
        let connection = fixture.connect().await;
        let answer = within_timeout(connection.request(Call::get("/fit")))
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(counters.resets_sent.get(), 0);
    });
}

fn send_datagram(socket: &UdpSocket, to: SocketAddr, datagram: &[u8]) {
    socket.send_to(datagram, to).unwrap();
    // Gives the agent time to receive, since a full socket buffer drops datagrams.
    std::thread::sleep(Duration::from_micros(20));
}

fn encode_tunnel_datagram(payload: &[u8]) -> Vec<u8> {
    let header = Header {
        kind: Kind::ToAgent,
        service: SERVICE,
        endpoint: ENDPOINT,
        incarnation: INCARNATION,
        bundle_version: BundleVersion::new(1),
        caller: "127.0.0.1:9".parse().unwrap(),
        local: "127.0.0.1:4433".parse().unwrap(),
        ecn: Ecn::default(),
        load: Load::default(),
        opening: None,
    };
    let mut out = [0; OPENING_OVERHEAD_BYTES + DATAGRAM_BYTES];
    let len = encode(&header, &keys(), payload, &mut out).unwrap();
    out[..len].to_vec()
}
