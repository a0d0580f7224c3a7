//! Sends requests to the upstream over kept connections.

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

/// Longest time to open a connection to an upstream on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after its last sign of life an idle connection is trusted with a request.
const PROVEN_FOR: Duration = Duration::from_secs(1);

/// Quiet time after which the kernel asks the other end for a sign of life.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(1);

/// Time between the kernel's questions.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered questions after which the connection is lost.
const KEEP_ALIVE_RETRIES: u32 = 1;

/// Longest time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1500);

/// Idle connections kept; more than any endpoint has slots in use.
const IDLE_MAX: usize = 64;

/// Connections tried for one request while none of them took a byte of it.
const TRIES_MAX: usize = 3;

/// Keeps connections to one upstream.
#[derive(Debug)]
pub(crate) struct Client {
    inner: Mutex<Inner>,
    pub(super) counters: Arc<Counters>,
}

#[derive(Debug)]
pub(super) struct Inner {
    address: SocketAddr,
    /// The one used last comes last.
    pub(super) idle: Vec<Idle>,
    /// Since when every attempt to connect has failed; `None` if the last one succeeded.
    unreachable_since: Option<Instant>,
}

/// A connection without a request.
#[derive(Debug)]
pub(super) struct Idle {
    pub(super) link: Link,
    pub(super) proven: Instant,
}

/// A connection and the task that drives it; dropped, it is closed.
#[derive(Debug)]
pub(crate) struct Link {
    pub(super) sender: http1::SendRequest<CallerBody>,
    address: SocketAddr,
    driver: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An answer under way; dropped before its end, it closes the connection and so cancels the run.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) response: Response<Incoming>,
    link: Link,
}

/// Why the upstream did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte of the request reached the upstream.
    NotSent,
    /// The request may have reached it.
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

    /// Returns since when the upstream has taken no connection, `None` if it takes them.
    pub(crate) fn unreachable_since(&self) -> Option<Instant> {
        self.lock().unreachable_since
    }

    /// Takes over a changed address; idle connections to the old one are closed.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        let mut inner = self.lock();
        if inner.address != address {
            inner.address = address;
            inner.idle.clear();
            inner.unreachable_since = None;
        }
    }

    /// Sends a request on a connection and returns the answer's head.
    ///
    /// Another connection is tried only while no byte of the request was written.
    pub(crate) async fn send(
        &self,
        mut link: Link,
        mut request: Request<CallerBody>,
    ) -> Result<Answered, SendError> {
        for _try in 0..TRIES_MAX {
            match link.sender.try_send_request(request).await {
                Ok(response) => return Ok(Answered { response, link }),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Unknown),
                },
            }
            self.counters.upstream_retries.add_one();
            link = self.link().await?;
        }
        Err(SendError::NotSent)
    }

    /// Keeps the connection of an answer whose body was read to its end.
    pub(crate) async fn keep(&self, answered: Answered) {
        let Answered { response, mut link } = answered;
        drop(response);
        if link.sender.ready().await.is_ok() {
            let proven = Instant::now();
            self.put(Idle { link, proven });
        }
    }

    /// Returns a connection proven lately, or a fresh one.
    pub(crate) async fn link(&self) -> Result<Link, SendError> {
        let address = {
            let mut inner = self.lock();
            inner.idle.retain(|it| !it.link.sender.is_closed());
            let is_proven = |it: &mut Idle| it.proven.elapsed() <= PROVEN_FOR;
            if let Some(idle) = inner.idle.pop_if(is_proven) {
                return Ok(idle.link);
            }
            inner.address
        };
        let connected = self.connect(address).await;
        self.note_reachable(connected.is_ok());
        connected
    }

    fn note_reachable(&self, is_reachable: bool) {
        let mut inner = self.lock();
        if is_reachable {
            inner.unreachable_since = None;
            return;
        }
        inner.unreachable_since.get_or_insert_with(Instant::now);
        self.counters.upstream_connect_failed.add_one();
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link, SendError> {
        let connecting = TcpStream::connect(address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = connected
            .map_err(|_elapsed| SendError::NotSent)?
            .map_err(|_failed| SendError::NotSent)?;
        tune(&stream);
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_failed| SendError::NotSent)?;
        self.counters.upstream_connections.add_one();
        // Its end shows on the sender.
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Link {
            sender,
            address,
            driver: driver.abort_handle(),
        })
    }

    /// Keeps an idle connection, the one used last in the last place.
    pub(super) fn put(&self, idle: Idle) {
        let mut inner = self.lock();
        if idle.link.address == inner.address && inner.idle.len() < IDLE_MAX {
            inner.idle.push(idle);
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes the kernel find a connection that something on the way has lost track of.
///
/// A failure leaves the kernel's own, much longer times.
fn tune(stream: &TcpStream) {
    // Without it small requests wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_AFTER)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_RETRIES);
    let _ = socket.set_tcp_keepalive(&keep_alive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
}
