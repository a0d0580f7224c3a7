//! The tasks that receive datagrams from the service and tunnel sockets.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
};

use arc_swap::ArcSwap;
use flow::{echo::Echo, table::RoutingTable};
use tokio::sync::mpsc;

use super::path_prober::DedicatedSockets;
use crate::{
    config::Config,
    counters::{Counter, Counters},
    downlink::{Downlink, ServiceSockets},
    peers::PeerDatagram,
    receive_batch::{HEADROOM_BYTES, Pool, ReceiveBatch},
    send_batch::SendBatch,
    socket::DatagramSocket,
    uplink::Uplink,
};

/// Number of receive calls after which a receiving task yields to other tasks.
const RECEIVES_PER_TURN: usize = 8;

/// State that all tasks of the datagram path share.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) config: Config,
    pub(super) table: Arc<ArcSwap<RoutingTable>>,
    pub(super) services: ArcSwap<ServiceSockets>,
    /// The tunnel sockets, at least one; all have the same address.
    pub(super) tunnels: Vec<Arc<DatagramSocket>>,
    pub(super) counters: Counters,
    /// Sockets that replace the shared tunnel socket for one agent each.
    pub(super) dedicated_sockets: ArcSwap<DedicatedSockets>,
    echo_replies: mpsc::Sender<Echo>,
    pub(super) is_ready: AtomicBool,
    peer_datagrams: mpsc::Sender<PeerDatagram>,
    buffers: Pool<Buffers>,
}

/// The receive and send buffers that a task uses while it processes datagrams.
#[derive(Debug)]
struct Buffers {
    batch: ReceiveBatch,
    out: SendBatch,
}

impl Buffers {
    fn new() -> Self {
        Self {
            batch: ReceiveBatch::new(),
            out: SendBatch::new(),
        }
    }
}

impl SharedState {
    pub(super) fn new(
        config: Config,
        table: Arc<ArcSwap<RoutingTable>>,
        tunnels: Vec<Arc<DatagramSocket>>,
        peer_datagrams: mpsc::Sender<PeerDatagram>,
        echo_replies: mpsc::Sender<Echo>,
    ) -> Self {
        Self {
            config,
            table,
            services: ArcSwap::default(),
            tunnels,
            counters: Counters::default(),
            dedicated_sockets: ArcSwap::default(),
            echo_replies,
            is_ready: AtomicBool::new(true),
            peer_datagrams,
            buffers: Pool::new(),
        }
    }

    /// Returns the tunnel socket through which the listener with index `idx` sends.
    pub(super) fn tunnel_for_listener(&self, idx: usize) -> Arc<DatagramSocket> {
        Arc::clone(&self.tunnels[idx % self.tunnels.len()])
    }

    /// Forwards the datagrams that callers send to one service address, until the task is aborted.
    pub(super) async fn serve_callers(
        self: Arc<Self>,
        local: SocketAddr,
        socket: Arc<DatagramSocket>,
        tunnel: Arc<DatagramSocket>,
    ) {
        let datagram_max_bytes =
            usize::try_from(self.config.datagram_max_bytes.get()).unwrap_or(usize::MAX);
        self.receive_loop(&socket, |shared, buffers, count| {
            let mut uplink = Uplink {
                table: &shared.table.load(),
                local,
                tunnel: &tunnel,
                dedicated_sockets: &shared.dedicated_sockets.load(),
                counters: &shared.counters,
                out: &mut buffers.out,
                datagram_max_bytes,
            };
            for (meta, bytes) in buffers.batch.filled_buffers(count) {
                uplink.forward_received(meta, bytes);
            }
        })
        .await;
    }

    /// Processes the datagrams that arrive at a tunnel socket, until the task is aborted.
    pub(super) async fn serve_tunnel(self: Arc<Self>, socket: Arc<DatagramSocket>) {
        self.receive_loop(&socket, |shared, buffers, count| {
            let mut downlink = Downlink {
                table: &shared.table.load(),
                services: &shared.services.load(),
                counters: &shared.counters,
                peer_datagrams: &shared.peer_datagrams,
                echo_replies: &shared.echo_replies,
                out: &mut buffers.out,
            };
            for (meta, bytes) in buffers.batch.filled_buffers(count) {
                downlink.forward_received(meta, &bytes[HEADROOM_BYTES..]);
            }
        })
        .await;
    }

    /// Receives from a socket in a loop and passes every filled receive batch to `forward`.
    async fn receive_loop(
        &self,
        socket: &DatagramSocket,
        forward: impl Fn(&Self, &mut Buffers, usize),
    ) {
        while socket.wait_until_readable().await.is_ok() {
            let mut buffers = self.buffers.acquire(Buffers::new);
            for _turn in 0..RECEIVES_PER_TURN {
                match socket.receive(&mut buffers.batch) {
                    Ok(count) => forward(self, &mut buffers, count),
                    Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_transient) => {
                        self.counters.add(Counter::ReceiveFailed, 1);
                        break;
                    }
                }
            }
            self.buffers.release(buffers);
            tokio::task::yield_now().await;
        }
    }
}
