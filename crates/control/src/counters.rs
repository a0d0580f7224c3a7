//! Counters of a process: sent by `cadence` and kept to be shown.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cadence::{Counted as _, NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of every name sent.
const PREFIX: &str = "lovagehall";

/// Counters of a process; clones share the values.
///
/// For control events, not for datagrams.
#[derive(Debug, Clone)]
pub struct Counters {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    statsd: StatsdClient,
    /// Sorted by name.
    values: Mutex<Vec<(String, u64)>>,
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}

impl Counters {
    /// Keeps the values in the process alone.
    #[must_use]
    pub fn new() -> Self {
        Self::over(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    /// Also sends every change to a statsd address.
    ///
    /// # Errors
    ///
    /// No socket can be opened towards the address.
    pub fn with_statsd(address: SocketAddr) -> io::Result<Self> {
        let local = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        Ok(Self::over(StatsdClient::from_sink(PREFIX, sink)))
    }

    /// Adds to a counter.
    pub fn add(&self, name: &str, by: u64) {
        let mut values = self.lock();
        match values.binary_search_by(|it| it.0.as_str().cmp(name)) {
            Ok(idx) => values[idx].1 += by,
            Err(idx) => values.insert(idx, (name.to_owned(), by)),
        }
        drop(values);
        // A lost datagram loses a sample, never the value kept here.
        drop(
            self.inner
                .statsd
                .count(name, i64::try_from(by).unwrap_or(i64::MAX)),
        );
    }

    /// Adds one to a counter.
    pub fn increment(&self, name: &str) {
        self.add(name, 1);
    }

    /// Returns a counter's value, 0 if it never changed.
    #[must_use]
    pub fn get(&self, name: &str) -> u64 {
        let values = self.lock();
        values
            .binary_search_by(|it| it.0.as_str().cmp(name))
            .map_or(0, |idx| values[idx].1)
    }

    /// Returns every counter that changed, sorted by name.
    #[must_use]
    pub fn values(&self) -> Vec<(String, u64)> {
        self.lock().clone()
    }

    fn over(statsd: StatsdClient) -> Self {
        let inner = Inner {
            statsd,
            values: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(String, u64)>> {
        self.inner
            .values
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
