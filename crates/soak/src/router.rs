//! A stand-in for the platform's routers.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time between two probes of an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Misses in a row that take an instance out of rotation.
const MISSES_MAX: u32 = 2;

/// What happens to callers' packets on their way to the balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Way {
    /// Nothing.
    Clean,
    /// One in five is lost.
    Lossy,
    /// Each comes twice.
    Doubled,
    /// One in five comes late.
    Delayed,
}

const WAYS: [Way; 4] = [Way::Clean, Way::Lossy, Way::Doubled, Way::Delayed];

/// The instances in rotation; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Router {
    all: Arc<Vec<Ipv4Addr>>,
    /// Misses in a row, in the order of `all`.
    misses: Arc<Mutex<Vec<u32>>>,
    way: Arc<AtomicU8>,
}

impl Router {
    /// Probes the instances at the given port from now on.
    pub(crate) fn start(all: Vec<Ipv4Addr>, ready_port: u16) -> Self {
        let router = Self {
            misses: Arc::new(Mutex::new(vec![MISSES_MAX; all.len()])),
            way: Arc::new(AtomicU8::new(Way::Clean as u8)),
            all: Arc::new(all),
        };
        for (idx, ip) in router.all.iter().copied().enumerate() {
            let misses = Arc::clone(&router.misses);
            tokio::spawn(async move {
                loop {
                    let is_ready = probe(SocketAddr::from((ip, ready_port))).await;
                    note_probe(&misses, idx, is_ready);
                    tokio::time::sleep(PROBE_INTERVAL).await;
                }
            });
        }
        router
    }

    /// Changes what happens to callers' packets.
    pub(crate) fn set_way(&self, way: Way) {
        self.way.store(way as u8, Ordering::Relaxed);
    }

    /// Returns what happens to callers' packets.
    pub(crate) fn way(&self) -> Way {
        WAYS[usize::from(self.way.load(Ordering::Relaxed)) % WAYS.len()]
    }

    /// Returns how many instances answered the last probe.
    pub(crate) fn ready(&self) -> usize {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        misses.iter().filter(|it| **it == 0).count()
    }

    /// Returns the instance that gets a flow's packets; only that instance's flows move when it goes.
    pub(crate) fn pick(&self, flow: u64) -> Ipv4Addr {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        let in_rotation = misses.iter().filter(|it| **it < MISSES_MAX).count();
        let uses_all = in_rotation * 2 < self.all.len();
        let usable = self.all.iter().zip(misses.iter());
        let usable = usable.filter(|(_, it)| uses_all || **it < MISSES_MAX);
        let best = usable.max_by_key(|(ip, _)| xxh3_64_with_seed(&ip.octets(), flow));
        best.map_or(self.all[0], |it| *it.0)
    }
}

fn note_probe(misses: &Mutex<Vec<u32>>, idx: usize, is_ready: bool) {
    let mut misses = misses.lock().unwrap_or_else(PoisonError::into_inner);
    misses[idx] = if is_ready { 0 } else { misses[idx] + 1 };
}

async fn probe(address: SocketAddr) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.ok()?;
        Some(answer.ends_with(b"200"))
    };
    matches!(
        tokio::time::timeout(Duration::from_millis(400), exchange).await,
        Ok(Some(true))
    )
}
