//! TCP proxy between a balancer and the store that injects connection faults.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
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
    /// Number of times that all open connections were forgotten.
    forgotten: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            fault: Arc::new(AtomicU8::new(ConnectionFault::None as u8)),
            forgotten: Arc::default(),
        };
        let (fault, forgotten) = (Arc::clone(&proxy.fault), Arc::clone(&proxy.forgotten));
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let faults = Faults {
                    current: Arc::clone(&fault),
                    forgotten_at_start: forgotten.load(Ordering::Relaxed),
                    forgotten: Arc::clone(&forgotten),
                };
                tokio::spawn(async move {
                    let Ok(store) = TcpStream::connect(target).await else {
                        return;
                    };
                    let (from_caller, to_caller) = caller.into_split();
                    let (from_store, to_store) = store.into_split();
                    let requests = forward_bytes(
                        from_caller,
                        to_store,
                        faults.clone(),
                        ConnectionFault::BlackHole,
                    );
                    let replies =
                        forward_bytes(from_store, to_caller, faults, ConnectionFault::ReplyLoss);
                    tokio::select! {
                        () = requests => {}
                        () = replies => {}
                    }
                });
            }
        });
        Ok(proxy)
    }

    /// Lets all open connections go silent for good; new ones work.
    pub(crate) fn forget_connections(&self) {
        self.forgotten.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn set_fault(&self, fault: ConnectionFault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }
}

/// What may disturb one connection.
#[derive(Debug, Clone)]
struct Faults {
    current: Arc<AtomicU8>,
    forgotten: Arc<AtomicU64>,
    /// Value of `forgotten` when the connection was opened.
    forgotten_at_start: u64,
}

impl Faults {
    fn current_fault(&self) -> ConnectionFault {
        CONNECTION_FAULTS[usize::from(self.current.load(Ordering::Relaxed))]
    }

    fn is_forgotten(&self) -> bool {
        self.forgotten.load(Ordering::Relaxed) != self.forgotten_at_start
    }
}

/// Forwards the bytes of a connection in one direction. Bytes that arrive during the fault
/// `lost_in` or a black hole are lost, and so are all later bytes of the connection.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: Faults,
    lost_in: ConnectionFault,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut is_losing = false;
    while let Ok(len @ 1..) = from.read(&mut buffer).await {
        let fault = faults.current_fault();
        is_losing |= fault == lost_in || fault == ConnectionFault::BlackHole;
        is_losing |= faults.is_forgotten();
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
