//! The datapath forwards datagrams to agents and answers to callers, and counts what it drops.

mod fixtures;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use balancer::{Config, Counter, Datapath, DatapathHandle, DrainEnd, ListenAt, PeerDatagram};
use flow::{
    cid,
    table::{DropReason, EndpointRegistry},
    tunnel::{self, Ecn, Header, Kind, Load, Reject, SingleServiceKeys},
};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::timeout,
};
use units::{BundleVersion, Incarnation, Millis, ServiceId, Slots};

use self::fixtures::{ENDPOINT, SERVICE, keys, routing_table_and_registry};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const INCARNATION: Incarnation = Incarnation::new(77);
const TIMEOUT: Duration = Duration::from_secs(10);

/// A running balancer with the sockets of one agent and one caller.
struct TestSetup {
    handle: DatapathHandle,
    registry: EndpointRegistry,
    peers: mpsc::Receiver<PeerDatagram>,
    agent: UdpSocket,
    caller: UdpSocket,
    /// The service address in the bundle, which is also the bound address.
    local: SocketAddr,
    stop: oneshot::Sender<()>,
    running: JoinHandle<balancer::DrainReport>,
}

async fn start_balancer() -> TestSetup {
    let agent = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let caller = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let free_port = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let local = free_port.local_addr().expect("address");
    drop(free_port);
    let (table, registry) = routing_table_and_registry(local, agent.local_addr().expect("address"));
    let config = Config::new(SocketAddr::new(LOOPBACK, 0), ListenAt::Ip(LOOPBACK))
        .with_drain(Millis::new(30_000), Millis::new(2_000));
    let table = Arc::new(ArcSwap::from_pointee(table));
    let (datapath, peers) = Datapath::bind(config, table).expect("tunnel port");
    let handle = datapath.handle();
    assert_eq!(handle.bound_addresses(), [local]);
    let (stop, stopped) = oneshot::channel();
    let running = tokio::spawn(datapath.run(async {
        let _closed = stopped.await;
    }));
    TestSetup {
        handle,
        registry,
        peers,
        agent,
        caller,
        local,
        stop,
        running,
    }
}

impl TestSetup {
    /// Sends a datagram from the caller to the service address.
    async fn send_as_caller(&self, datagram: &[u8]) {
        let sent = self.caller.send_to(datagram, self.local).await;
        assert_eq!(sent.expect("sent"), datagram.len());
    }

    /// Sends a datagram from the agent to the balancer's tunnel address.
    async fn send_as_agent(&self, datagram: &[u8]) {
        let tunnel = self.handle.tunnel_address().expect("address");
        let sent = self.agent.send_to(datagram, tunnel).await;
        assert_eq!(sent.expect("sent"), datagram.len());
    }

    /// Waits until a counter is above zero.
    async fn wait_until_counted(&self, counter: impl Fn(&balancer::Counters) -> u64) {
        let wait = async {
            while counter(self.handle.counters()) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, wait)
            .await
            .expect("the counter was not increased in time");
    }
}

async fn receive_datagram(socket: &UdpSocket) -> Vec<u8> {
    let mut datagram = vec![0; 2_048];
    let received = timeout(TIMEOUT, socket.recv(&mut datagram)).await;
    datagram.truncate(received.expect("in time").expect("received"));
    datagram
}

fn initial_datagram() -> Vec<u8> {
    let mut datagram = vec![0; 1_200];
    datagram[..15].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0]);
    datagram
}

fn established_datagram() -> Vec<u8> {
    let mut datagram = vec![0x40];
    datagram.extend(cid::encode(&keys(SERVICE), ENDPOINT, INCARNATION, [9; 6]));
    datagram.extend(b"protected");
    datagram
}

fn answer_header(setup: &TestSetup) -> Header {
    Header {
        kind: Kind::ToCaller,
        service: SERVICE,
        endpoint: ENDPOINT,
        incarnation: INCARNATION,
        bundle_version: BundleVersion::new(4),
        caller: setup.caller.local_addr().expect("address"),
        local: setup.local,
        ecn: Ecn::default(),
        load: Load {
            busy: Slots::new(1),
            total: Slots::new(2),
            is_leaving: true,
        },
        opening: None,
    }
}

fn encode(header: &Header, payload: &[u8]) -> Vec<u8> {
    let mut out = vec![0; 2_048];
    let len = tunnel::encode(header, &keys(SERVICE), payload, &mut out).expect("fits");
    out.truncate(len);
    out
}

#[tokio::test]
async fn caller_datagrams_reach_the_agent() {
    let setup = start_balancer().await;
    let ring = SingleServiceKeys::new(SERVICE, keys(SERVICE));
    for (sent, kind, incarnation) in [
        (initial_datagram(), Kind::Opening, Incarnation::new(0)),
        (established_datagram(), Kind::ToAgent, INCARNATION),
    ] {
        setup.send_as_caller(&sent).await;
        let datagram = receive_datagram(&setup.agent).await;
        let (header, payload) = tunnel::decode(&datagram, &ring).expect("valid");
        assert_eq!(payload, sent);
        assert_eq!((header.kind, header.incarnation), (kind, incarnation));
        assert_eq!(header.endpoint, ENDPOINT);
        assert_eq!(header.caller, setup.caller.local_addr().expect("address"));
        assert_eq!(header.local, setup.local);
    }
}

#[tokio::test]
async fn answers_reach_the_caller_and_update_the_load() {
    let setup = start_balancer().await;
    let header = answer_header(&setup);
    setup.send_as_agent(&encode(&header, b"answer")).await;
    assert_eq!(receive_datagram(&setup.caller).await, b"answer");
    let status = setup.registry.find(ENDPOINT).expect("in the bundle");
    assert_eq!(status.load(), header.load);
    assert!(status.is_leaving());
}

#[tokio::test]
async fn undeliverable_caller_datagrams_are_counted() {
    let setup = start_balancer().await;
    let mut unknown = established_datagram();
    unknown[5] ^= 1;
    for (datagram, reason) in [
        (b"x".to_vec(), DropReason::Malformed),
        (unknown, DropReason::UnknownCid),
        (
            initial_datagram()[..1_199].to_vec(),
            DropReason::OpeningTooSmall,
        ),
        (
            [established_datagram(), vec![0; 1_400]].concat(),
            DropReason::TooLarge,
        ),
    ] {
        setup.send_as_caller(&datagram).await;
        setup.wait_until_counted(|it| it.drop_count(reason)).await;
    }
}

#[tokio::test]
async fn invalid_answers_are_counted_and_not_forwarded() {
    let setup = start_balancer().await;
    let valid = answer_header(&setup);
    let mut forged = encode(&valid, b"answer");
    forged[40] ^= 1;
    setup.send_as_agent(&forged).await;
    setup
        .wait_until_counted(|it| it.reject_count(Reject::Mac))
        .await;

    let to_agent = Header {
        kind: Kind::ToAgent,
        ..valid
    };
    setup.send_as_agent(&encode(&to_agent, b"answer")).await;
    setup
        .wait_until_counted(|it| it.reject_count(Reject::Kind))
        .await;

    let foreign = Header {
        local: "203.0.113.1:443".parse().expect("address"),
        ..valid
    };
    setup.send_as_agent(&encode(&foreign, b"answer")).await;
    setup
        .wait_until_counted(|it| it.get(Counter::ForeignAddress))
        .await;
    assert_eq!(setup.handle.counters().get(Counter::Answers), 0);
}

#[tokio::test]
async fn peer_datagram_reaches_the_reader_and_needs_a_key() {
    let mut setup = start_balancer().await;
    let to = setup.handle.tunnel_address().expect("address");
    let fleet = ServiceId::new(0);
    setup
        .handle
        .send_peer(to, fleet, b"probe")
        .expect("key is held");
    let received = timeout(TIMEOUT, setup.peers.recv()).await;
    let received = received.expect("in time").expect("open");
    assert_eq!(
        (received.from, received.scope, &*received.payload),
        (to, fleet, &b"probe"[..])
    );
    let unknown = setup.handle.send_peer(to, ServiceId::new(9), b"probe");
    assert!(matches!(unknown, Err(balancer::PeerError::NoKey(_))));
}

#[tokio::test]
async fn datagrams_are_forwarded_during_the_drain() {
    let setup = start_balancer().await;
    assert!(setup.handle.is_ready());
    setup.stop.send(()).expect("running");
    let wait = async {
        while setup.handle.is_ready() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TIMEOUT, wait)
        .await
        .expect("the balancer must stop being ready");
    let sent = established_datagram();
    let sent = setup.caller.send_to(&sent, setup.local).await;
    sent.expect("sent");
    assert!(!receive_datagram(&setup.agent).await.is_empty());
    let report = setup.running.await.expect("no panic");
    assert_eq!((report.datagrams, report.end), (1, DrainEnd::Quiet));
}
