//! The tasks that serve the sockets.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
};

use arc_swap::ArcSwap;
use flow::{echo::Echo, table::RoutingTable};
use tokio::sync::mpsc;

use super::paths::Detours;
use crate::{
    batch::{Batch, HEADROOM_BYTES, Pool},
    config::Config,
    counters::{Counter, Counters},
    downlink::{Downlink, ServiceSockets},
    outgoing::Outgoing,
    peers::PeerDatagram,
    socket::DatagramSocket,
    uplink::Uplink,
};

/// Receive calls after which a task lets others run.
const RECEIVES_A_TURN: usize = 8;

/// What all tasks share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) config: Config,
    pub(super) table: Arc<ArcSwap<RoutingTable>>,
    pub(super) services: ArcSwap<ServiceSockets>,
    /// At least one; all have the same address.
    pub(super) tunnels: Vec<Arc<DatagramSocket>>,
    pub(super) counters: Counters,
    /// Sockets in use in place of the tunnel's for single agents.
    pub(super) detours: ArcSwap<Detours>,
    echoes: mpsc::Sender<Echo>,
    pub(super) is_ready: AtomicBool,
    peers: mpsc::Sender<PeerDatagram>,
    buffers: Pool<Buffers>,
}

/// What a task holds while it works.
#[derive(Debug)]
struct Buffers {
    batch: Batch,
    out: Outgoing,
}

impl Buffers {
    fn new() -> Self {
        Self {
            batch: Batch::new(),
            out: Outgoing::new(),
        }
    }
}

impl Shared {
    pub(super) fn new(
        config: Config,
        table: Arc<ArcSwap<RoutingTable>>,
        tunnels: Vec<Arc<DatagramSocket>>,
        peers: mpsc::Sender<PeerDatagram>,
        echoes: mpsc::Sender<Echo>,
    ) -> Self {
        Self {
            config,
            table,
            services: ArcSwap::default(),
            tunnels,
            counters: Counters::default(),
            detours: ArcSwap::default(),
            echoes,
            is_ready: AtomicBool::new(true),
            peers,
            buffers: Pool::new(),
        }
    }

    /// Returns the tunnel socket that the `idx`-th listener sends from.
    pub(super) fn tunnel_for(&self, idx: usize) -> Arc<DatagramSocket> {
        Arc::clone(&self.tunnels[idx % self.tunnels.len()])
    }

    /// Forwards callers' datagrams to one service address, for ever.
    pub(super) async fn serve_callers(
        self: Arc<Self>,
        local: SocketAddr,
        socket: Arc<DatagramSocket>,
        tunnel: Arc<DatagramSocket>,
    ) {
        let datagram_max_bytes =
            usize::try_from(self.config.datagram_max_bytes.get()).unwrap_or(usize::MAX);
        self.serve(&socket, |shared, buffers, count| {
            let mut uplink = Uplink {
                table: &shared.table.load(),
                local,
                tunnel: &tunnel,
                detours: &shared.detours.load(),
                counters: &shared.counters,
                out: &mut buffers.out,
                datagram_max_bytes,
            };
            for (meta, bytes) in buffers.batch.filled(count) {
                uplink.forward(meta, bytes);
            }
        })
        .await;
    }

    /// Forwards agents' answers and peers' datagrams, for ever.
    pub(super) async fn serve_tunnel(self: Arc<Self>, socket: Arc<DatagramSocket>) {
        self.serve(&socket, |shared, buffers, count| {
            let mut downlink = Downlink {
                table: &shared.table.load(),
                services: &shared.services.load(),
                counters: &shared.counters,
                peers: &shared.peers,
                echoes: &shared.echoes,
                out: &mut buffers.out,
            };
            for (meta, bytes) in buffers.batch.filled(count) {
                downlink.forward(meta, &bytes[HEADROOM_BYTES..]);
            }
        })
        .await;
    }

    /// Receives from a socket for ever and gives each filled batch to `forward`.
    async fn serve(&self, socket: &DatagramSocket, forward: impl Fn(&Self, &mut Buffers, usize)) {
        while socket.readable().await.is_ok() {
            let mut buffers = self.buffers.take(Buffers::new);
            for _turn in 0..RECEIVES_A_TURN {
                match socket.receive(&mut buffers.batch) {
                    Ok(count) => forward(self, &mut buffers, count),
                    Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_passing) => {
                        self.counters.add(Counter::ReceiveFailed, 1);
                        break;
                    }
                }
            }
            self.buffers.give(buffers);
            tokio::task::yield_now().await;
        }
    }
}
