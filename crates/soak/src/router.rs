//! Simulated router of the platform, which distributes callers' packets over the balancers.

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

/// Time between two readiness probes of a balancer instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive failed readiness probes after which a balancer instance leaves the
/// rotation.
const FAILED_PROBES_MAX: u32 = 2;

/// Fault injected into callers' packets to the balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum PacketFault {
    /// No fault: packets arrive.
    None,
    /// One caller packet in five is lost.
    Loss,
    /// Each caller packet arrives at the balancer twice.
    Duplication,
    /// One caller packet in five is delayed.
    Delay,
}

const PACKET_FAULTS: [PacketFault; 4] = [
    PacketFault::None,
    PacketFault::Loss,
    PacketFault::Duplication,
    PacketFault::Delay,
];

/// Simulated router with its balancer instances and their probe results; clones share both.
#[derive(Debug, Clone)]
pub(crate) struct Router {
    instances: Arc<Vec<Ipv4Addr>>,
    /// Number of consecutive failed readiness probes of each instance, in the order of `instances`.
    failed_probes: Arc<Mutex<Vec<u32>>>,
    packet_fault: Arc<AtomicU8>,
}

impl Router {
    /// Creates a router and starts to probe the readiness of its balancer instances at the given
    /// port.
    pub(crate) fn start(instances: Vec<Ipv4Addr>, ready_port: u16) -> Self {
        let router = Self {
            failed_probes: Arc::new(Mutex::new(vec![FAILED_PROBES_MAX; instances.len()])),
            packet_fault: Arc::new(AtomicU8::new(PacketFault::None as u8)),
            instances: Arc::new(instances),
        };
        for (idx, ip) in router.instances.iter().copied().enumerate() {
            let failed_probes = Arc::clone(&router.failed_probes);
            tokio::spawn(async move {
                loop {
                    let is_ready = probe_readiness(SocketAddr::from((ip, ready_port))).await;
                    record_probe(&failed_probes, idx, is_ready);
                    tokio::time::sleep(PROBE_INTERVAL).await;
                }
            });
        }
        router
    }

    /// Sets the fault that is injected into callers' packets from now on.
    pub(crate) fn set_packet_fault(&self, packet_fault: PacketFault) {
        self.packet_fault
            .store(packet_fault as u8, Ordering::Relaxed);
    }

    /// Returns the fault that is currently injected into callers' packets.
    pub(crate) fn packet_fault(&self) -> PacketFault {
        PACKET_FAULTS[usize::from(self.packet_fault.load(Ordering::Relaxed)) % PACKET_FAULTS.len()]
    }

    /// Returns the number of balancer instances whose last readiness probe succeeded.
    pub(crate) fn ready_instance_count(&self) -> usize {
        let failed_probes = self
            .failed_probes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        failed_probes.iter().filter(|it| **it == 0).count()
    }

    /// Returns the balancer instance that receives a flow's packets, by rendezvous hashing. When an
    /// instance leaves the rotation, only that instance's flows move. All instances are used if
    /// fewer than half of them are in rotation.
    pub(crate) fn instance_for_flow(&self, flow: u64) -> Ipv4Addr {
        let failed_probes = self
            .failed_probes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let in_rotation = failed_probes
            .iter()
            .filter(|it| **it < FAILED_PROBES_MAX)
            .count();
        let uses_all = in_rotation * 2 < self.instances.len();
        let usable = self.instances.iter().zip(failed_probes.iter());
        let usable = usable.filter(|(_, it)| uses_all || **it < FAILED_PROBES_MAX);
        let best = usable.max_by_key(|(ip, _)| xxh3_64_with_seed(&ip.octets(), flow));
        best.map_or(self.instances[0], |it| *it.0)
    }
}

fn record_probe(failed_probes: &Mutex<Vec<u32>>, idx: usize, is_ready: bool) {
    let mut failed_probes = failed_probes.lock().unwrap_or_else(PoisonError::into_inner);
    failed_probes[idx] = if is_ready { 0 } else { failed_probes[idx] + 1 };
}

async fn probe_readiness(address: SocketAddr) -> bool {
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
