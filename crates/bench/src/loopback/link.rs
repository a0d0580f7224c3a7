//! Sockets that count the bytes of datagrams and apply random loss and the pauses of their process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use control::{PeerLink, PeerPacket, PeerSend};
use flow::tunnel::{KeyRing as _, PEER_OVERHEAD_BYTES, decode_peer, encode_peer};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use tokio::{net::UdpSocket, sync::mpsc};
use units::ServiceId;

use super::{Faults, Keys, ProcessState};
use crate::error::{BenchError, Result};

/// Size of a datagram's IPv4 and UDP headers.
const HEADER_BYTES: u64 = 28;

/// Time between two checks whether a process's pause is over.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Size of a socket's receive buffer.
const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Capacity of a socket's queue of received datagrams.
const QUEUE_MAX: usize = 4_096;

/// A bound UDP socket of a simulated process.
#[derive(Debug)]
pub(super) struct Socket {
    io: Arc<UdpSocket>,
    address: SocketAddr,
    state: Arc<ProcessState>,
    faults: Arc<Faults>,
    keys: Arc<Keys>,
}

impl Socket {
    pub(super) async fn bind(
        state: &Arc<ProcessState>,
        faults: &Arc<Faults>,
        keys: &Arc<Keys>,
    ) -> Result<Self> {
        let failed = |err| BenchError::setup("opening a socket on loopback", &err);
        let io = UdpSocket::bind("127.0.0.1:0")
            .await
            .map_err(|err: std::io::Error| failed(err))?;
        let address = io.local_addr().map_err(failed)?;
        Ok(Self {
            io: Arc::new(io),
            address,
            state: Arc::clone(state),
            faults: Arc::clone(faults),
            keys: Arc::clone(keys),
        })
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to receive on the socket and returns a link with a sender and the queue of incoming
    /// datagrams.
    pub(super) fn into_link(self, seed: u64) -> PeerLink<LossySender> {
        let (queue, incoming) = mpsc::channel(QUEUE_MAX);
        let sender = LossySender {
            io: Arc::clone(&self.io),
            state: Arc::clone(&self.state),
            faults: Arc::clone(&self.faults),
            keys: Arc::clone(&self.keys),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        };
        tokio::spawn(self.queue_received(queue));
        PeerLink { incoming, sender }
    }

    async fn queue_received(self, queue: mpsc::Sender<PeerPacket>) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            wait_while_paused(&self.state).await;
            let Ok((len, from)) = self.io.recv_from(&mut buffer).await else {
                continue;
            };
            // The process may have been paused while this task waited on the socket.
            wait_while_paused(&self.state).await;
            if self.state.is_dead.load(Ordering::Relaxed) {
                return;
            }
            count_bytes(&self.state, len);
            let Ok(Some((scope, payload))) = decode_peer(&buffer[..len], &*self.keys) else {
                continue;
            };
            let packet = PeerPacket {
                from,
                scope,
                payload: Bytes::copy_from_slice(payload),
            };
            if queue.send(packet).await.is_err() {
                return;
            }
        }
    }
}

/// A sender that drops datagrams at random.
#[derive(Debug)]
pub(super) struct LossySender {
    io: Arc<UdpSocket>,
    state: Arc<ProcessState>,
    faults: Arc<Faults>,
    keys: Arc<Keys>,
    rng: Mutex<StdRng>,
}

impl PeerSend for LossySender {
    fn send_peer(&self, to: SocketAddr, scope: ServiceId, payload: &[u8]) {
        let Some(keys) = self.keys.keys(scope) else {
            return;
        };
        let mut datagram = vec![0; PEER_OVERHEAD_BYTES + payload.len()];
        let Ok(len) = encode_peer(scope, keys, payload, &mut datagram) else {
            return;
        };
        count_bytes(&self.state, len);
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        if draw_loss(&self.faults, &mut rng) {
            return;
        }
        drop(rng);
        // A failed send, for example into a full socket, counts as packet loss.
        drop(self.io.try_send_to(&datagram[..len], to));
    }
}

/// Decides at random whether a datagram is lost, at the current loss rate.
pub(super) fn draw_loss(faults: &Faults, rng: &mut StdRng) -> bool {
    rng.random_range(0..100) < faults.loss_percent.load(Ordering::Relaxed)
}

/// Waits until the simulated process isn't paused.
pub(super) async fn wait_while_paused(state: &ProcessState) {
    while state.is_paused.load(Ordering::Relaxed) {
        tokio::time::sleep(PAUSE_POLL_INTERVAL).await;
    }
}

fn count_bytes(state: &ProcessState, len: usize) {
    let bytes = HEADER_BYTES + u64::try_from(len).unwrap_or_default();
    state.bytes.fetch_add(bytes, Ordering::Relaxed);
}
