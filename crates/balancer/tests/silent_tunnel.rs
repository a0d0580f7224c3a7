//! A tunnel path that stays silent is replaced by a path from another port of the balancer.

mod fixtures;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use balancer::{Config, Counter, Datapath, ListenAt};
use flow::{
    cid,
    echo::{ECHO_BYTES, Echo, EchoKind},
    tunnel::{self, PEER_OVERHEAD_BYTES, SingleServiceKeys},
};
use timeline::{Event, Recorder, Stamp};
use tokio::{net::UdpSocket, sync::oneshot, time::timeout};
use units::{Incarnation, Millis};

use self::fixtures::{ENDPOINT, SERVICE, keys, routing_table_and_registry};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const TIMEOUT: Duration = Duration::from_secs(20);
const SEND_INTERVAL: Duration = Duration::from_millis(20);

fn established_datagram() -> Vec<u8> {
    let mut datagram = vec![0x40];
    datagram.extend(cid::encode(
        &keys(SERVICE),
        ENDPOINT,
        Incarnation::new(7),
        [9; 6],
    ));
    datagram.extend(b"protected");
    datagram
}

/// Decodes the echo in a peer datagram; returns `None` for other datagrams.
fn decode_echo(datagram: &[u8]) -> Option<Echo> {
    let ring = SingleServiceKeys::new(SERVICE, keys(SERVICE));
    let (_scope, payload) = tunnel::decode_peer(datagram, &ring).ok()??;
    Echo::decode(payload)
}

async fn send_reply(agent: &UdpSocket, to: SocketAddr, echo: Echo) {
    let mut out = [0; PEER_OVERHEAD_BYTES + ECHO_BYTES];
    tunnel::encode_peer(SERVICE, &keys(SERVICE), &echo.to_reply().encode(), &mut out)
        .expect("fits");
    agent.send_to(&out, to).await.expect("sent");
}

/// Receives as an agent that answers echo requests but gets no datagrams from `silent_address`.
///
/// Returns the source address of the first forwarded caller datagram.
async fn receive_ignoring_path(agent: &UdpSocket, silent_address: SocketAddr) -> SocketAddr {
    let mut buffer = [0; 2_048];
    loop {
        let (len, from) = agent.recv_from(&mut buffer).await.expect("received");
        if from == silent_address {
            continue;
        }
        match decode_echo(&buffer[..len]) {
            Some(echo) if echo.kind == EchoKind::Request => send_reply(agent, from, echo).await,
            Some(_) => {}
            None => return from,
        }
    }
}

#[tokio::test]
async fn silent_path_gets_new_port() {
    let agent = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let caller = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let free_port = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let local = free_port.local_addr().expect("address");
    drop(free_port);
    let (table, _registry) =
        routing_table_and_registry(local, agent.local_addr().expect("address"));
    let recorder = Recorder::new();
    let config = Config::new(SocketAddr::new(LOOPBACK, 0), ListenAt::Ip(LOOPBACK))
        .with_recorder(recorder.clone());
    let (datapath, _peers) =
        Datapath::bind(config, Arc::new(ArcSwap::from_pointee(table))).expect("tunnel port");
    let handle = datapath.handle();
    let (_stop, stopped) = oneshot::channel::<()>();
    tokio::spawn(datapath.run(async {
        drop(stopped.await);
    }));
    let caller_task = tokio::spawn(async move {
        loop {
            caller
                .send_to(&established_datagram(), local)
                .await
                .expect("sent");
            tokio::time::sleep(SEND_INTERVAL).await;
        }
    });
    let silent_address = handle.tunnel_address().expect("address");
    let new_address = timeout(TIMEOUT, receive_ignoring_path(&agent, silent_address))
        .await
        .expect("no datagram arrived from a new port in time");
    assert_ne!(new_address, silent_address);
    assert!(handle.counters().get(Counter::PathRotated) >= 1);
    let (entries, _dropped) = recorder.events_since(Stamp::new(Millis::new(0), 0));
    let events: Vec<&Event> = entries.iter().map(|it| &it.event).collect();
    assert!(
        matches!(
            events[..2],
            [Event::TunnelSilent { .. }, Event::TunnelReplaced { .. }]
        ),
        "{events:?}"
    );
    caller_task.abort();
}
