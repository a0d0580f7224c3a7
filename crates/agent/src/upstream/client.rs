//! Sends requests to the upstream over pooled connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

use super::CallerBody;
use crate::counters::Counters;

/// Timeout for connecting to the upstream, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time since the last response or probe within which an idle connection is used for a request.
const IDLE_TRUST_TIME: Duration = Duration::from_secs(1);

/// Idle time of a connection after which the kernel sends TCP keepalive probes.
const KEEP_ALIVE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Interval between TCP keepalive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered TCP keepalive probes after which the kernel drops a connection.
const KEEP_ALIVE_RETRIES: u32 = 1;

/// Time for which sent bytes may stay unacknowledged before the kernel drops a connection
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of idle connections to the upstream, more than the busy slots of any endpoint.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Maximum number of connections tried for a request while no byte of it was written.
const SEND_ATTEMPTS_MAX: usize = 3;

/// HTTP/1.1 client of one upstream with a pool of connections.
#[derive(Debug)]
pub(crate) struct Client {
    inner: Mutex<Inner>,
    pub(super) counters: Arc<Counters>,
}

#[derive(Debug)]
pub(super) struct Inner {
    address: SocketAddr,
    /// Idle connections ordered by last use, the latest last.
    pub(super) idle: Vec<IdleConnection>,
    /// Time since which every attempt to connect has failed; `None` if the last one succeeded.
    unreachable_since: Option<Instant>,
}

/// Connection to the upstream that serves no request.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub(super) connection: UpstreamConnection,
    pub(super) verified_at: Instant,
}

/// Connection to the upstream with the task that drives it; dropping this value closes the
/// connection.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(super) sender: http1::SendRequest<CallerBody>,
    address: SocketAddr,
    driver: AbortHandle,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Response whose body is not read completely yet.
///
/// Dropping the pending response closes the connection, which cancels the run at the upstream.
#[derive(Debug)]
pub(crate) struct PendingResponse {
    pub(crate) response: Response<Incoming>,
    connection: UpstreamConnection,
}

/// Error of a request that got no response from the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte of the request reached the upstream.
    NotSent,
    /// The request may have reached the upstream.
    Unknown,
}

impl Client {
    pub(crate) fn new(address: SocketAddr, counters: Arc<Counters>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                address,
                idle: Vec::new(),
                unreachable_since: None,
            }),
            counters,
        }
    }

    /// Returns the time since which the upstream has accepted no connection, `None` if it accepts
    /// connections.
    pub(crate) fn unreachable_since(&self) -> Option<Instant> {
        self.lock().unreachable_since
    }

    /// Sets the upstream's address and closes the idle connections to a previous address.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        let mut inner = self.lock();
        if inner.address != address {
            inner.address = address;
            inner.idle.clear();
            inner.unreachable_since = None;
        }
    }

    /// Sends a request on a connection and returns the response once its head is received.
    ///
    /// Another connection is tried only while no byte of the request was written.
    pub(crate) async fn send(
        &self,
        mut connection: UpstreamConnection,
        mut request: Request<CallerBody>,
    ) -> Result<PendingResponse, SendError> {
        for _attempt in 0..SEND_ATTEMPTS_MAX {
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(PendingResponse {
                        response,
                        connection,
                    });
                }
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Unknown),
                },
            }
            self.counters.upstream_retries.add_one();
            connection = self.acquire_connection().await?;
        }
        Err(SendError::NotSent)
    }

    /// Returns the connection of a completely read response to the pool of idle connections.
    pub(crate) async fn return_to_pool(&self, pending: PendingResponse) {
        let PendingResponse {
            response,
            mut connection,
        } = pending;
        drop(response);
        if connection.sender.ready().await.is_ok() {
            let verified_at = Instant::now();
            self.push_idle(IdleConnection {
                connection,
                verified_at,
            });
        }
    }

    /// Returns a pooled connection that was verified recently, or opens a new one.
    pub(crate) async fn acquire_connection(&self) -> Result<UpstreamConnection, SendError> {
        let address = {
            let mut inner = self.lock();
            inner.idle.retain(|it| !it.connection.sender.is_closed());
            let is_verified = |it: &mut IdleConnection| it.verified_at.elapsed() <= IDLE_TRUST_TIME;
            if let Some(idle) = inner.idle.pop_if(is_verified) {
                return Ok(idle.connection);
            }
            inner.address
        };
        let connected = self.connect(address).await;
        self.record_reachability(connected.is_ok());
        connected
    }

    fn record_reachability(&self, is_reachable: bool) {
        let mut inner = self.lock();
        if is_reachable {
            inner.unreachable_since = None;
            return;
        }
        inner.unreachable_since.get_or_insert_with(Instant::now);
        self.counters.upstream_connect_failed.add_one();
    }

    async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, SendError> {
        let connecting = TcpStream::connect(address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = connected
            .map_err(|_elapsed| SendError::NotSent)?
            .map_err(|_failed| SendError::NotSent)?;
        configure_socket(&stream);
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_failed| SendError::NotSent)?;
        self.counters.upstream_connections.add_one();
        // The sender reports the end of the connection, so the driver's result is not needed.
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(UpstreamConnection {
            sender,
            address,
            driver: driver.abort_handle(),
        })
    }

    /// Adds an idle connection to the pool; closes it if the address changed or the pool is full.
    pub(super) fn push_idle(&self, idle: IdleConnection) {
        let mut inner = self.lock();
        if idle.connection.address == inner.address && inner.idle.len() < IDLE_CONNECTIONS_MAX {
            inner.idle.push(idle);
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Configures the kernel to detect a connection that a device on the path no longer tracks.
///
/// If an option can't be set, the kernel's much longer defaults apply.
fn configure_socket(stream: &TcpStream) {
    // With Nagle's algorithm small requests would wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_IDLE_TIME)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_RETRIES);
    let _ = socket.set_tcp_keepalive(&keep_alive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}
