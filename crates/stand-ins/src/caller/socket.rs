//! A caller's UDP socket, which applies the network fabric's decisions to each datagram.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit, UdpSockRef, UdpSocketState},
};
use tokio::{io::Interest, net::UdpSocket};

use super::fabric::{Delivery, Fabric};

/// A UDP socket that sends each datagram to the balancer that the network fabric picks.
#[derive(Debug)]
pub(super) struct SprayingSocket {
    io: Arc<UdpSocket>,
    state: UdpSocketState,
    fabric: Arc<Fabric>,
}

impl SprayingSocket {
    /// Opens a caller's socket on an ephemeral loopback port.
    pub(super) fn bind(fabric: Arc<Fabric>) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(("127.0.0.1", 0))?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            io: Arc::new(UdpSocket::from_std(socket)?),
            state,
            fabric,
        })
    }

    /// Sends a copy of a datagram after a delay, even if its connection closes meanwhile.
    fn send_delayed(&self, contents: &[u8], to: SocketAddr, delay: Duration) {
        let io = Arc::clone(&self.io);
        let contents = contents.to_vec();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = io.send_to(&contents, to).await;
        });
    }

    /// Replaces the source of each received datagram by the service that the source sends for.
    /// Removes lost datagrams and those from an unknown source, and returns how many are left.
    fn retain_known_sources(
        &self,
        count: usize,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> usize {
        let mut kept = 0;
        for idx in 0..count {
            let Some(service) = self.fabric.inbound_service(meta[idx].addr) else {
                continue;
            };
            meta[idx].addr = service;
            if kept != idx {
                let len = meta[idx].len;
                let (head, tail) = bufs.split_at_mut(idx);
                head[kept][..len].copy_from_slice(&tail[0][..len]);
                meta[kept] = meta[idx];
            }
            kept += 1;
        }
        kept
    }
}

impl AsyncUdpSocket for SprayingSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(AlwaysWritable)
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let Delivery::Sent { to, copies, delay } =
            self.fabric.decide_outbound(transmit.destination)
        else {
            return Ok(());
        };
        for _copy in 0..copies {
            if delay > Duration::ZERO {
                self.send_delayed(transmit.contents, to, delay);
            } else {
                // A failed send, for example into a full socket, counts as packet loss.
                let _ = self.io.try_send_to(transmit.contents, to);
            }
        }
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.io.poll_recv_ready(cx))?;
            let received = self.io.try_io(Interest::READABLE, || {
                self.state.recv(UdpSockRef::from(&*self.io), bufs, meta)
            });
            let Ok(count) = received else {
                continue;
            };
            let kept = self.retain_known_sources(count, bufs, meta);
            if kept > 0 {
                return Poll::Ready(Ok(kept));
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    fn max_receive_segments(&self) -> usize {
        self.state.gro_segments()
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

/// A poller that always reports the socket as writable; datagrams that don't fit into the send
/// buffer are dropped.
#[derive(Debug)]
struct AlwaysWritable;

impl UdpPoller for AlwaysWritable {
    fn poll_writable(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
