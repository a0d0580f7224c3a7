//! Counters of a process: kept in memory for operators and optionally sent to statsd.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cadence::{Counted as _, NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of every metric name sent to statsd.
const PREFIX: &str = "lovagehall";

/// Named counters of a process; clones share the values.
///
/// Each increment takes a lock, so these counters are for control events and not for datagrams.
#[derive(Debug, Clone)]
pub struct Counters {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    statsd: StatsdClient,
    /// Counter values, sorted by name.
    values: Mutex<Vec<(String, u64)>>,
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}

impl Counters {
    /// Creates counters that are kept in memory and not sent anywhere.
    #[must_use]
    pub fn new() -> Self {
        Self::with_client(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    /// Creates counters that also send every increment to a statsd server.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket cannot be opened.
    pub fn with_statsd(address: SocketAddr) -> io::Result<Self> {
        let local = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        Ok(Self::with_client(StatsdClient::from_sink(PREFIX, sink)))
    }

    /// Adds `by` to a counter.
    pub fn add(&self, name: &str, by: u64) {
        let mut values = self.lock();
        match values.binary_search_by(|it| it.0.as_str().cmp(name)) {
            Ok(idx) => values[idx].1 += by,
            Err(idx) => values.insert(idx, (name.to_owned(), by)),
        }
        drop(values);
        // Sending to statsd is best effort: a lost datagram does not change the value in memory.
        drop(
            self.inner
                .statsd
                .count(name, i64::try_from(by).unwrap_or(i64::MAX)),
        );
    }

    /// Adds 1 to a counter.
    pub fn increment(&self, name: &str) {
        self.add(name, 1);
    }

    /// Returns a counter's value, 0 if it was never incremented.
    #[must_use]
    pub fn get(&self, name: &str) -> u64 {
        let values = self.lock();
        values
            .binary_search_by(|it| it.0.as_str().cmp(name))
            .map_or(0, |idx| values[idx].1)
    }

    /// Returns every counter that was incremented, sorted by name.
    #[must_use]
    pub fn values(&self) -> Vec<(String, u64)> {
        self.lock().clone()
    }

    fn with_client(statsd: StatsdClient) -> Self {
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
