//! A proxy between a balancer and the store that harms connections.

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

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Harm {
    /// Nothing.
    None,
    /// Bytes come later.
    Delayed,
    /// Connections are closed as soon as bytes come.
    Reset,
    /// Answers are lost, calls arrive.
    CutOneWay,
    /// Nothing gets through; open connections stay silent for good.
    Silenced,
}

const HARMS: [Harm; 5] = [
    Harm::None,
    Harm::Delayed,
    Harm::Reset,
    Harm::CutOneWay,
    Harm::Silenced,
];

/// One balancer's way to the store.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    harm: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            harm: Arc::new(AtomicU8::new(Harm::None as u8)),
        };
        let harm = Arc::clone(&proxy.harm);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let harm = Arc::clone(&harm);
                tokio::spawn(async move {
                    let Ok(store) = TcpStream::connect(target).await else {
                        return;
                    };
                    let (from_caller, to_caller) = caller.into_split();
                    let (from_store, to_store) = store.into_split();
                    let there = copy(from_caller, to_store, Arc::clone(&harm), Harm::Silenced);
                    let back = copy(from_store, to_caller, harm, Harm::CutOneWay);
                    tokio::select! {
                        () = there => {}
                        () = back => {}
                    }
                });
            }
        });
        Ok(proxy)
    }

    pub(crate) fn set(&self, harm: Harm) {
        self.harm.store(harm as u8, Ordering::Relaxed);
    }
}

/// Copies bytes; those that come while `lost_in` or all is silenced are lost, and with them the rest
/// of the connection.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, harm: Arc<AtomicU8>, lost_in: Harm) {
    let mut buffer = vec![0; 16 * 1024];
    let mut is_silent = false;
    while let Ok(len @ 1..) = from.read(&mut buffer).await {
        let harm = HARMS[usize::from(harm.load(Ordering::Relaxed))];
        is_silent |= harm == lost_in || harm == Harm::Silenced;
        if harm == Harm::Reset {
            return;
        }
        if harm == Harm::Delayed {
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        if !is_silent && to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
