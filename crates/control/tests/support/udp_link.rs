//! Peer links over UDP sockets on loopback.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use control::{PeerLink, PeerPacket, PeerSend};
use flow::{
    key::{FleetKey, Secret, ServiceKeys},
    tunnel::{KeyRing, PEER_OVERHEAD_BYTES, decode_peer, encode_peer},
};
use tokio::{net::UdpSocket, sync::mpsc};
use units::{KeyIndex, ServiceId};

/// Keys of the fleet and one service, sorted by service.
pub struct Keys(Vec<(ServiceId, ServiceKeys)>);

impl Keys {
    pub fn new(services: &[ServiceId]) -> Self {
        let fleet = FleetKey::new(KeyIndex::new(0), Secret::new([7; 32])).unwrap();
        let derive = |&id| (id, ServiceKeys::derive(&fleet, &[], id).unwrap());
        Self(services.iter().map(derive).collect())
    }
}

impl KeyRing for Keys {
    fn keys(&self, service: ServiceId) -> Option<&ServiceKeys> {
        let found = self.0.iter().find(|it| it.0 == service);
        found.map(|it| &it.1)
    }
}

pub struct UdpSend {
    socket: Arc<UdpSocket>,
    keys: Arc<Keys>,
}

impl PeerSend for UdpSend {
    fn send_peer(&self, to: SocketAddr, scope: ServiceId, payload: &[u8]) {
        let keys = self.keys.keys(scope).unwrap();
        let mut datagram = vec![0; PEER_OVERHEAD_BYTES + payload.len()];
        encode_peer(scope, keys, payload, &mut datagram).unwrap();
        // A datagram that does not fit into the socket's buffer is lost, as in a network.
        drop(self.socket.try_send_to(&datagram, to));
    }
}

/// Opens a socket on loopback and returns its address and link.
///
/// The receiving task ends at the first datagram after the link was dropped.
pub async fn udp_link(services: &[ServiceId]) -> (SocketAddr, PeerLink<UdpSend>) {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let address = socket.local_addr().unwrap();
    let keys = Arc::new(Keys::new(services));
    let (sender, incoming) = mpsc::channel(1_024);
    let link = PeerLink {
        incoming,
        sender: UdpSend {
            socket: Arc::clone(&socket),
            keys: Arc::clone(&keys),
        },
    };
    tokio::spawn(async move {
        let mut buffer = vec![0; 2_048];
        while let Ok((len, from)) = socket.recv_from(&mut buffer).await {
            let Ok(Some((scope, payload))) = decode_peer(&buffer[..len], &*keys) else {
                continue;
            };
            let payload = Bytes::copy_from_slice(payload);
            let packet = PeerPacket {
                from,
                scope,
                payload,
            };
            if sender.send(packet).await.is_err() {
                return;
            }
        }
    });
    (address, link)
}
