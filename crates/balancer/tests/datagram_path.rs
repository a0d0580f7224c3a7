//! Datagrams reach their agent, answers their caller, and everything else is counted.

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

use self::fixtures::{ENDPOINT, SERVICE, keys, table};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const RUN: Incarnation = Incarnation::new(77);
const PATIENCE: Duration = Duration::from_secs(10);

/// A balancer, an agent's socket and a caller's socket.
struct Bench {
    handle: DatapathHandle,
    registry: EndpointRegistry,
    peers: mpsc::Receiver<PeerDatagram>,
    agent: UdpSocket,
    caller: UdpSocket,
    /// The service address by the bundle, and where it is bound: the same here.
    local: SocketAddr,
    stop: oneshot::Sender<()>,
    running: JoinHandle<balancer::DrainReport>,
}

async fn start() -> Bench {
    let agent = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let caller = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let free = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let local = free.local_addr().expect("address");
    drop(free);
    let (table, registry) = table(local, agent.local_addr().expect("address"));
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
    Bench {
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

impl Bench {
    async fn call(&self, datagram: &[u8]) {
        let sent = self.caller.send_to(datagram, self.local).await;
        assert_eq!(sent.expect("sent"), datagram.len());
    }

    async fn answer(&self, datagram: &[u8]) {
        let tunnel = self.handle.tunnel_address().expect("address");
        let sent = self.agent.send_to(datagram, tunnel).await;
        assert_eq!(sent.expect("sent"), datagram.len());
    }

    async fn counted(&self, what: impl Fn(&balancer::Counters) -> u64) {
        let counted = async {
            while what(self.handle.counters()) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(PATIENCE, counted).await.expect("counted");
    }
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut datagram = vec![0; 2_048];
    let received = timeout(PATIENCE, socket.recv(&mut datagram)).await;
    datagram.truncate(received.expect("in time").expect("received"));
    datagram
}

fn initial() -> Vec<u8> {
    let mut datagram = vec![0; 1_200];
    datagram[..15].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0]);
    datagram
}

fn established() -> Vec<u8> {
    let mut datagram = vec![0x40];
    datagram.extend(cid::encode(&keys(SERVICE), ENDPOINT, RUN, [9; 6]));
    datagram.extend(b"protected");
    datagram
}

fn answer_header(bench: &Bench) -> Header {
    Header {
        kind: Kind::ToCaller,
        service: SERVICE,
        endpoint: ENDPOINT,
        incarnation: RUN,
        bundle_version: BundleVersion::new(4),
        caller: bench.caller.local_addr().expect("address"),
        local: bench.local,
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
async fn to_agent() {
    let bench = start().await;
    let ring = SingleServiceKeys::new(SERVICE, keys(SERVICE));
    for (sent, kind, incarnation) in [
        (initial(), Kind::Opening, Incarnation::new(0)),
        (established(), Kind::ToAgent, RUN),
    ] {
        bench.call(&sent).await;
        let datagram = receive(&bench.agent).await;
        let (header, payload) = tunnel::decode(&datagram, &ring).expect("valid");
        assert_eq!(payload, sent);
        assert_eq!((header.kind, header.incarnation), (kind, incarnation));
        assert_eq!(header.endpoint, ENDPOINT);
        assert_eq!(header.caller, bench.caller.local_addr().expect("address"));
        assert_eq!(header.local, bench.local);
    }
}

#[tokio::test]
async fn to_caller() {
    let bench = start().await;
    let header = answer_header(&bench);
    bench.answer(&encode(&header, b"answer")).await;
    assert_eq!(receive(&bench.caller).await, b"answer");
    let cell = bench.registry.find(ENDPOINT).expect("in the bundle");
    assert_eq!(cell.load(), header.load);
    assert!(cell.is_leaving());
}

#[tokio::test]
async fn dropped_datagrams() {
    let bench = start().await;
    let mut unknown = established();
    unknown[5] ^= 1;
    for (datagram, reason) in [
        (b"x".to_vec(), DropReason::Malformed),
        (unknown, DropReason::UnknownCid),
        (initial()[..1_199].to_vec(), DropReason::OpeningTooSmall),
        (
            [established(), vec![0; 1_400]].concat(),
            DropReason::TooLarge,
        ),
    ] {
        bench.call(&datagram).await;
        bench.counted(|it| it.drops(reason)).await;
    }
}

#[tokio::test]
async fn refused_answers() {
    let bench = start().await;
    let good = answer_header(&bench);
    let mut forged = encode(&good, b"answer");
    forged[40] ^= 1;
    bench.answer(&forged).await;
    bench.counted(|it| it.rejects(Reject::Mac)).await;

    let to_agent = Header {
        kind: Kind::ToAgent,
        ..good
    };
    bench.answer(&encode(&to_agent, b"answer")).await;
    bench.counted(|it| it.rejects(Reject::Kind)).await;

    let foreign = Header {
        local: "203.0.113.1:443".parse().expect("address"),
        ..good
    };
    bench.answer(&encode(&foreign, b"answer")).await;
    bench.counted(|it| it.get(Counter::ForeignAddress)).await;
    assert_eq!(bench.handle.counters().get(Counter::Answers), 0);
}

#[tokio::test]
async fn peer_datagrams() {
    let mut bench = start().await;
    let to = bench.handle.tunnel_address().expect("address");
    let fleet = ServiceId::new(0);
    bench
        .handle
        .send_peer(to, fleet, b"probe")
        .expect("key is held");
    let got = timeout(PATIENCE, bench.peers.recv()).await;
    let got = got.expect("in time").expect("open");
    assert_eq!(
        (got.from, got.scope, &*got.payload),
        (to, fleet, &b"probe"[..])
    );
    let unknown = bench.handle.send_peer(to, ServiceId::new(9), b"probe");
    assert!(matches!(unknown, Err(balancer::PeerError::NoKey(_))));
}

#[tokio::test]
async fn graceful_stop() {
    let bench = start().await;
    assert!(bench.handle.is_ready());
    bench.stop.send(()).expect("running");
    let wait = async {
        while bench.handle.is_ready() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PATIENCE, wait).await.expect("not ready any more");
    let sent = established();
    let sent = bench.caller.send_to(&sent, bench.local).await;
    sent.expect("sent");
    assert!(!receive(&bench.agent).await.is_empty());
    let report = bench.running.await.expect("no panic");
    assert_eq!((report.datagrams, report.end), (1, DrainEnd::Quiet));
}
