//! TCP proxy between a balancer and the store that injects connection faults.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Fault that a proxy injects into the connections between a balancer and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ConnectionFault {
    /// No fault: connections work.
    None,
    /// Bytes are delayed in both directions.
    Delayed,
    /// Each connection is closed when bytes arrive on it.
    Reset,
    /// Requests arrive at the store, but the replies are lost.
    ReplyLoss,
    /// Bytes are lost in both directions. A connection that has lost bytes stays unusable.
    BlackHole,
}

const CONNECTION_FAULTS: [ConnectionFault; 5] = [
    ConnectionFault::None,
    ConnectionFault::Delayed,
    ConnectionFault::Reset,
    ConnectionFault::ReplyLoss,
    ConnectionFault::BlackHole,
];

/// The proxy between one balancer and the store; clones refer to the same proxy.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    fault: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            fault: Arc::new(AtomicU8::new(ConnectionFault::None as u8)),
        };
        let fault = Arc::clone(&proxy.fault);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let fault = Arc::clone(&fault);
                tokio::spawn(async move {
                    let Ok(store) = TcpStream::connect(target).await else {
                        return;
                    };
                    let (from_caller, to_caller) = caller.into_split();
                    let (from_store, to_store) = store.into_split();
                    let requests = forward_bytes(
                        from_caller,
                        to_store,
                        Arc::clone(&fault),
                        ConnectionFault::BlackHole,
                    );
                    let replies =
                        forward_bytes(from_store, to_caller, fault, ConnectionFault::ReplyLoss);
                    tokio::select! {
                        () = requests => {}
                        () = replies => {}
                    }
                });
            }
        });
        Ok(proxy)
    }

    pub(crate) fn set_fault(&self, fault: ConnectionFault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }
}

/// Forwards the bytes of a connection in one direction. Bytes that arrive during the fault
/// `lost_in` or a black hole are lost, and so are all later bytes of the connection.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: Arc<AtomicU8>,
    lost_in: ConnectionFault,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut is_losing = false;
    while let Ok(len @ 1..) = from.read(&mut buffer).await {
        let fault = CONNECTION_FAULTS[usize::from(fault.load(Ordering::Relaxed))];
        is_losing |= fault == lost_in || fault == ConnectionFault::BlackHole;
        if fault == ConnectionFault::Reset {
            return;
        }
        if fault == ConnectionFault::Delayed {
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        if !is_losing && to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
