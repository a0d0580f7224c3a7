//! The running datagram path: its sockets, their tasks and the drain on shutdown.

mod handle;
mod path_prober;
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
use self::path_prober::PathProber;
pub(crate) use self::path_prober::{DedicatedSockets, find_dedicated_socket};
use self::serve::SharedState;
use crate::{
    config::Config,
    counters::Counter,
    downlink::ServiceSockets,
    peers::PeerDatagram,
    socket::{AddressSharing, DatagramSocket},
};

/// Interval between checks for a new routing table.
const TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of queued echo replies until the next check of the paths to agents.
const ECHO_REPLY_QUEUE_MAX: usize = 4_096;

/// Interval between attempts to bind service addresses that could not be bound.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the datagram path until `shutdown` completes and the traffic has drained.
///
/// # Errors
///
/// Returns an error if the tunnel address can't be bound.
pub async fn run_datapath(
    config: Config,
    table: Arc<ArcSwap<RoutingTable>>,
    shutdown: impl Future<Output = ()>,
) -> Result<DrainReport, BindError> {
    let (datapath, _peers) = Datapath::bind(config, table)?;
    Ok(datapath.run(shutdown).await)
}

/// The datagram path between callers and agents, with its tunnel sockets bound.
#[derive(Debug)]
pub struct Datapath {
    shared: Arc<SharedState>,
    path_prober: PathProber,
    tasks: JoinSet<()>,
    /// The bound service addresses and their tasks, sorted by address.
    listeners: Vec<(SocketAddr, AbortHandle)>,
    /// Service addresses that could not be bound; kept so that each failure is logged only once.
    unbound: Vec<SocketAddr>,
}

/// Result of draining the datagram path on shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainReport {
    /// Number of datagrams from callers that arrived after shutdown was requested.
    pub datagrams: u64,
    /// Time from the shutdown request to the end of the drain.
    pub elapsed_ms: Millis,
    /// The reason why the drain ended.
    pub end: DrainEnd,
}

/// The reason why the drain of the datagram path ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainEnd {
    /// No datagrams from callers or agents arrived for the configured time.
    Quiet,
    /// Datagrams still arrived when the drain timeout expired.
    TimedOut,
}

impl Datapath {
    /// Binds the tunnel address and the routing table's service addresses.
    ///
    /// Returns the datagram path and a receiver of the datagrams from peers. Failures to bind a
    /// service address are counted and retried.
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
        let (reply_sender, reply_receiver) = mpsc::channel(ECHO_REPLY_QUEUE_MAX);
        let shared = Arc::new(SharedState::new(
            config,
            table,
            tunnels,
            sender,
            reply_sender,
        ));
        let mut datapath = Self {
            path_prober: PathProber::new(Arc::clone(&shared), reply_receiver),
            shared,
            tasks: JoinSet::new(),
            listeners: Vec::new(),
            unbound: Vec::new(),
        };
        for tunnel in datapath.shared.tunnels.clone() {
            let shared = Arc::clone(&datapath.shared);
            datapath.tasks.spawn(shared.serve_tunnel(tunnel));
        }
        datapath.bind_addresses_of_table();
        Ok((datapath, receiver))
    }

    /// Returns a handle to the running datagram path.
    #[must_use]
    pub fn handle(&self) -> DatapathHandle {
        DatapathHandle::new(Arc::clone(&self.shared))
    }

    /// Forwards datagrams until `shutdown` completes, then until the traffic has drained.
    ///
    /// During the drain the network fabric moves the flows to other balancers.
    pub async fn run(mut self, shutdown: impl Future<Output = ()>) -> DrainReport {
        let mut shutdown = pin!(shutdown);
        let mut ticks = interval(TABLE_CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut applied_table = self.shared.table.load_full();
        let mut retry_at = Instant::now() + BIND_RETRY_INTERVAL;
        loop {
            tokio::select! {
                () = &mut shutdown => break,
                _ = ticks.tick() => {}
            }
            self.path_prober.probe_if_due(&mut self.tasks);
            let table = self.shared.table.load_full();
            let is_retry = !self.unbound.is_empty() && Instant::now() >= retry_at;
            if is_retry || !Arc::ptr_eq(&applied_table, &table) {
                self.bind_addresses_of_table();
                retry_at = Instant::now() + BIND_RETRY_INTERVAL;
                applied_table = table;
            }
        }
        self.forward_until_drained().await
    }

    /// Binds the service addresses that the routing table gained and closes those that it lost.
    fn bind_addresses_of_table(&mut self) {
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
        let unbound_before = std::mem::take(&mut self.unbound);
        for address in wanted {
            let Err(at) = self.listeners.binary_search_by_key(&address, |it| it.0) else {
                continue;
            };
            match self.start_listener(address) {
                Ok((socket, task)) => {
                    self.listeners.insert(at, (address, task));
                    let idx = sockets.partition_point(|it| it.0 < address);
                    sockets.insert(idx, (address, socket));
                }
                Err(err) => {
                    self.shared.counters.add(Counter::BindFailed, 1);
                    if !unbound_before.contains(&address) {
                        log::warn!("cannot bind service address {address}, will retry: {err}");
                    }
                    self.unbound.push(address);
                }
            }
        }
        self.shared.services.store(Arc::new(sockets));
    }

    /// Binds the socket of a service address and spawns the task that serves it.
    fn start_listener(
        &mut self,
        service_address: SocketAddr,
    ) -> io::Result<(Arc<DatagramSocket>, AbortHandle)> {
        let config = &self.shared.config;
        let address = config.bind_address(service_address);
        let buffer = config.service_buffer_bytes;
        let socket = Arc::new(DatagramSocket::bind(
            address,
            AddressSharing::Exclusive,
            buffer,
        )?);
        let shared = Arc::clone(&self.shared);
        let tunnel = shared.tunnel_for_listener(self.listeners.len());
        let serve_task = shared.serve_callers(service_address, Arc::clone(&socket), tunnel);
        Ok((socket, self.tasks.spawn(serve_task)))
    }

    /// Keeps forwarding until callers and agents stop sending or the drain timeout expires.
    async fn forward_until_drained(mut self) -> DrainReport {
        self.shared.is_ready.store(false, Ordering::Relaxed);
        let config = &self.shared.config;
        let (timeout, quiet) = (
            config.drain_timeout_ms.to_duration(),
            config.drain_quiet_ms.to_duration(),
        );
        let counters = &self.shared.counters;
        let caller_datagrams = || counters.get(Counter::CallerDatagrams);
        // Agents keep answering through this balancer for a while after the last caller datagram.
        let total = || caller_datagrams() + counters.get(Counter::Answers);
        let (start, first) = (Instant::now(), caller_datagrams());
        let (mut last, mut last_at) = (total(), start);
        let end = loop {
            if last_at.elapsed() >= quiet {
                break DrainEnd::Quiet;
            }
            if start.elapsed() >= timeout {
                break DrainEnd::TimedOut;
            }
            tokio::time::sleep(TABLE_CHECK_INTERVAL).await;
            self.path_prober.probe_if_due(&mut self.tasks);
            let now = total();
            if now != last {
                (last, last_at) = (now, Instant::now());
            }
        };
        let report = DrainReport {
            datagrams: caller_datagrams() - first,
            elapsed_ms: Millis::from_duration(start.elapsed()),
            end,
        };
        self.tasks.shutdown().await;
        report
    }
}

/// The error that prevented the datagram path from starting.
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
        AddressSharing::Shared
    } else {
        AddressSharing::Exclusive
    };
    let mut address = config.tunnel_address;
    let mut sockets = Vec::with_capacity(count);
    for _idx in 0..count {
        let failed = |cause| BindError { address, cause };
        let socket =
            DatagramSocket::bind(address, sharing, config.tunnel_buffer_bytes).map_err(failed)?;
        // If the kernel chose the port, the remaining sockets share it.
        address = socket.local_address().map_err(failed)?;
        sockets.push(Arc::new(socket));
    }
    Ok(sockets)
}
