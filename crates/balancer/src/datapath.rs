//! The running datagram path: its sockets, their tasks and its stop.

mod handle;
mod paths;
mod serve;

use std::{
    fmt, io,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use arc_swap::ArcSwap;
use flow::table::RoutingTable;
use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinSet},
    time::{Instant, MissedTickBehavior, interval},
};
use units::Millis;

pub use self::handle::{DatapathHandle, PeerError};
use self::paths::Paths;
pub(crate) use self::paths::{Detours, towards};
use self::serve::Shared;
use crate::{
    config::Config,
    counters::Counter,
    downlink::ServiceSockets,
    peers::PeerDatagram,
    socket::{DatagramSocket, Sharing},
};

/// How often the path looks for a new routing table.
const TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Answers to echoes that may wait for the next look at the paths.
const ECHO_QUEUE_MAX: usize = 4_096;

/// How often binding is tried again for service addresses that could not be bound.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the datagram path until `shutdown` completes and its flows have moved on.
///
/// # Errors
///
/// Returns an error if the tunnel address can't be bound.
pub async fn run(
    config: Config,
    table: Arc<ArcSwap<RoutingTable>>,
    shutdown: impl Future<Output = ()>,
) -> Result<DrainReport, BindError> {
    let (datapath, _peers) = Datapath::bind(config, table)?;
    Ok(datapath.run(shutdown).await)
}

/// The datagram path with its tunnel sockets bound.
#[derive(Debug)]
pub struct Datapath {
    shared: Arc<Shared>,
    paths: Paths,
    tasks: JoinSet<()>,
    /// The task of each service address that is bound, sorted by address.
    listeners: Vec<(SocketAddr, AbortHandle)>,
    /// Service addresses that could not be bound, so that each failure is logged once.
    unbound: Vec<SocketAddr>,
}

/// How a stop went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainReport {
    /// Datagrams of callers that still came after the stop was asked for.
    pub datagrams: u64,
    /// How long the stop took.
    pub elapsed_ms: Millis,
    /// Whether callers' datagrams had ceased.
    pub end: DrainEnd,
}

/// Why a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainEnd {
    /// No datagrams came any more.
    Quiet,
    /// Datagrams still came when the time was over.
    TimedOut,
}

impl Datapath {
    /// Binds the tunnel address and the table's service addresses.
    ///
    /// Returns the path and the datagrams that peers send. Service addresses that can't be bound
    /// are counted and tried again.
    ///
    /// # Errors
    ///
    /// Returns an error if the tunnel address can't be bound.
    pub fn bind(
        config: Config,
        table: Arc<ArcSwap<RoutingTable>>,
    ) -> Result<(Self, mpsc::Receiver<PeerDatagram>), BindError> {
        let (sender, receiver) = mpsc::channel(config.peer_queue_max.max(1));
        let tunnels = bind_tunnels(&config)?;
        let (echoes, answers) = mpsc::channel(ECHO_QUEUE_MAX);
        let shared = Arc::new(Shared::new(config, table, tunnels, sender, echoes));
        let mut datapath = Self {
            paths: Paths::new(Arc::clone(&shared), answers),
            shared,
            tasks: JoinSet::new(),
            listeners: Vec::new(),
            unbound: Vec::new(),
        };
        for tunnel in datapath.shared.tunnels.clone() {
            let shared = Arc::clone(&datapath.shared);
            datapath.tasks.spawn(shared.serve_tunnel(tunnel));
        }
        datapath.follow_table();
        Ok((datapath, receiver))
    }

    /// Returns a handle that stays valid while the path runs.
    #[must_use]
    pub fn handle(&self) -> DatapathHandle {
        DatapathHandle::new(Arc::clone(&self.shared))
    }

    /// Forwards until `shutdown` completes, then until the fabric has moved its flows elsewhere.
    pub async fn run(mut self, shutdown: impl Future<Output = ()>) -> DrainReport {
        let mut shutdown = pin!(shutdown);
        let mut ticks = interval(TABLE_CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut seen = self.shared.table.load_full();
        let mut retry_at = Instant::now() + BIND_RETRY_INTERVAL;
        loop {
            tokio::select! {
                () = &mut shutdown => break,
                _ = ticks.tick() => {}
            }
            self.paths.look(&mut self.tasks);
            let table = self.shared.table.load_full();
            let is_retry = !self.unbound.is_empty() && Instant::now() >= retry_at;
            if is_retry || !Arc::ptr_eq(&seen, &table) {
                self.follow_table();
                retry_at = Instant::now() + BIND_RETRY_INTERVAL;
                seen = table;
            }
        }
        self.drain().await
    }

    /// Opens sockets for addresses that the table gained and closes those it lost.
    fn follow_table(&mut self) {
        let table = self.shared.table.load_full();
        let wanted: Vec<_> = table.service_addresses().collect();
        let mut sockets = ServiceSockets::clone(&self.shared.services.load());
        sockets.retain(|it| wanted.binary_search(&it.0).is_ok());
        self.listeners.retain(|(address, task)| {
            let is_wanted = wanted.binary_search(address).is_ok();
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        let before = std::mem::take(&mut self.unbound);
        for address in wanted {
            let Err(at) = self.listeners.binary_search_by_key(&address, |it| it.0) else {
                continue;
            };
            match self.listen(address) {
                Ok((socket, task)) => {
                    self.listeners.insert(at, (address, task));
                    let idx = sockets.partition_point(|it| it.0 < address);
                    sockets.insert(idx, (address, socket));
                }
                Err(err) => {
                    self.shared.counters.add(Counter::BindFailed, 1);
                    if !before.contains(&address) {
                        log::warn!("service address {address} is not served: {err}");
                    }
                    self.unbound.push(address);
                }
            }
        }
        self.shared.services.store(Arc::new(sockets));
    }

    fn listen(
        &mut self,
        service_address: SocketAddr,
    ) -> io::Result<(Arc<DatagramSocket>, AbortHandle)> {
        let config = &self.shared.config;
        let address = config.bind_address(service_address);
        let buffer = config.service_buffer_bytes;
        let socket = Arc::new(DatagramSocket::bind(address, Sharing::Exclusive, buffer)?);
        let shared = Arc::clone(&self.shared);
        let tunnel = shared.tunnel_for(self.listeners.len());
        let serving = shared.serve_callers(service_address, Arc::clone(&socket), tunnel);
        Ok((socket, self.tasks.spawn(serving)))
    }

    /// Keeps forwarding until callers' datagrams and agents' answers cease or the time is over.
    async fn drain(mut self) -> DrainReport {
        self.shared.is_ready.store(false, Ordering::Relaxed);
        let config = &self.shared.config;
        let (timeout, quiet) = (
            config.drain_timeout_ms.to_duration(),
            config.drain_quiet_ms.to_duration(),
        );
        let counters = &self.shared.counters;
        let callers = || counters.get(Counter::CallerDatagrams);
        // Agents send answers here for a while after they last heard of this balancer.
        let all = || callers() + counters.get(Counter::Answers);
        let (start, first) = (Instant::now(), callers());
        let (mut last, mut last_at) = (all(), start);
        let end = loop {
            if last_at.elapsed() >= quiet {
                break DrainEnd::Quiet;
            }
            if start.elapsed() >= timeout {
                break DrainEnd::TimedOut;
            }
            tokio::time::sleep(TABLE_CHECK_INTERVAL).await;
            self.paths.look(&mut self.tasks);
            let now = all();
            if now != last {
                (last, last_at) = (now, Instant::now());
            }
        };
        let report = DrainReport {
            datagrams: callers() - first,
            elapsed_ms: Millis::from_duration(start.elapsed()),
            end,
        };
        self.tasks.shutdown().await;
        report
    }
}

/// Why the datagram path could not start.
#[derive(Debug)]
pub struct BindError {
    address: SocketAddr,
    cause: io::Error,
}

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { address, cause } = self;
        write!(
            f,
            "tunnel address {address} can't be bound: {cause}; give an address of this instance \
             that no other process uses"
        )
    }
}

impl std::error::Error for BindError {}

fn bind_tunnels(config: &Config) -> Result<Vec<Arc<DatagramSocket>>, BindError> {
    let count = config.tunnel_sockets.max(1);
    let sharing = if count > 1 {
        Sharing::Shared
    } else {
        Sharing::Exclusive
    };
    let mut address = config.tunnel_address;
    let mut sockets = Vec::with_capacity(count);
    for _idx in 0..count {
        let failed = |cause| BindError { address, cause };
        let socket =
            DatagramSocket::bind(address, sharing, config.tunnel_buffer_bytes).map_err(failed)?;
        // A port chosen by the kernel is shared by the sockets that follow.
        address = socket.local_address().map_err(failed)?;
        sockets.push(Arc::new(socket));
    }
    Ok(sockets)
}
