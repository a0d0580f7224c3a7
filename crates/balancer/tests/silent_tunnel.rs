//! A tunnel that went silent for good is replaced by one from another port.

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
    tunnel::{self, OwnKeys, PEER_OVERHEAD_BYTES},
};
use timeline::{Event, Recorder, Stamp};
use tokio::{net::UdpSocket, sync::oneshot, time::timeout};
use units::{Incarnation, Millis};

use self::fixtures::{ENDPOINT, SERVICE, keys, table};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const PATIENCE: Duration = Duration::from_secs(20);
const SEND_INTERVAL: Duration = Duration::from_millis(20);

fn established() -> Vec<u8> {
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

/// Reads an echo; `None` for other datagrams.
fn echo_of(datagram: &[u8]) -> Option<Echo> {
    let ring = OwnKeys::new(SERVICE, keys(SERVICE));
    let (_scope, payload) = tunnel::decode_peer(datagram, &ring).ok()??;
    Echo::decode(payload)
}

async fn answer(agent: &UdpSocket, to: SocketAddr, echo: Echo) {
    let mut out = [0; PEER_OVERHEAD_BYTES + ECHO_BYTES];
    tunnel::encode_peer(SERVICE, &keys(SERVICE), &echo.answer().encode(), &mut out).expect("fits");
    agent.send_to(&out, to).await.expect("sent");
}

/// Receives as an agent that hears nothing from `silent`; returns where a caller's datagram came
/// from.
async fn receive_past(agent: &UdpSocket, silent: SocketAddr) -> SocketAddr {
    let mut buffer = [0; 2_048];
    loop {
        let (len, from) = agent.recv_from(&mut buffer).await.expect("received");
        if from == silent {
            continue;
        }
        match echo_of(&buffer[..len]) {
            Some(echo) if echo.kind == EchoKind::Ask => answer(agent, from, echo).await,
            Some(_) => {}
            None => return from,
        }
    }
}

#[tokio::test]
async fn fresh_port() {
    let agent = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let caller = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let free = UdpSocket::bind((LOOPBACK, 0)).await.expect("port");
    let local = free.local_addr().expect("address");
    drop(free);
    let (table, _board) = table(local, agent.local_addr().expect("address"));
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
    let calling = tokio::spawn(async move {
        loop {
            caller.send_to(&established(), local).await.expect("sent");
            tokio::time::sleep(SEND_INTERVAL).await;
        }
    });
    let silent = handle.tunnel_address().expect("address");
    let fresh = timeout(PATIENCE, receive_past(&agent, silent))
        .await
        .expect("a fresh port");
    assert_ne!(fresh, silent);
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
    calling.abort();
}
