//! Stand-in for the platform's configuration service: read, watch, instance list, call counts.
//!
//! Serves HTTP/1.1. Each reader, told apart by its `User-Agent`, may see the service down, stale,
//! empty, slow, erroring or hanging while others see it well.

mod history;
mod server;

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bundle::index::InstanceList;
use history::History;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// A running platform service; ends when dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

/// How a reader sees the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// As it is.
    #[default]
    None,
    /// Connections are closed without an answer.
    Down,
    /// Every service is shown this many versions back.
    StaleBy(usize),
    /// The index lists nothing.
    Empty,
    /// Every answer takes this much longer.
    Slow(Duration),
    /// Every call is answered with status 500.
    Erroring,
    /// No call is ever answered.
    Hanging,
    /// Every call is answered with bytes that aren't JSON.
    InvalidJson,
}

/// Calls received, by kind; a waiting watch counts as one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads and watches of the index.
    pub index: u64,
    /// Reads of a bundle or key set.
    pub bundle: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Everything else.
    pub other: u64,
}

impl CallCounts {
    /// Returns the calls of all kinds.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.index + self.bundle + self.instances + self.other
    }
}

/// Why an envelope could not be published.
#[derive(Debug)]
pub struct InvalidEnvelope(serde_json::Error);

impl fmt::Display for InvalidEnvelope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not an envelope: {}; publish signed bytes", self.0)
    }
}

impl std::error::Error for InvalidEnvelope {}

/// What the connections share.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    history: History,
    instances: InstanceList,
    calls: CallCounts,
    default_fault: Fault,
    /// Sorted by reader.
    reader_faults: Vec<(String, Fault)>,
}

impl Platform {
    /// Starts the service on an address; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::default()),
            revision: watch::Sender::new(0),
        });
        let accepting = tokio::spawn(server::run(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accepting,
        })
    }

    /// Returns the address served.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a bundle's envelope, good or bad, as its service's newest and returns the revision.
    ///
    /// # Errors
    ///
    /// The bytes aren't an envelope that names a service and version.
    pub fn publish(&self, envelope: &[u8]) -> Result<u64, InvalidEnvelope> {
        let published = history::Published::from_envelope(envelope).map_err(InvalidEnvelope)?;
        Ok(self.shared.publish(|it| it.add(published)))
    }

    /// Publishes a key set's envelope and returns the revision.
    ///
    /// # Errors
    ///
    /// The bytes aren't an envelope that names a version.
    pub fn publish_key_set(&self, envelope: &[u8]) -> Result<u64, InvalidEnvelope> {
        let published = history::Published::from_key_set(envelope).map_err(InvalidEnvelope)?;
        Ok(self.shared.publish(|it| it.add(published)))
    }

    /// Sets the instance list.
    pub fn set_instances(&self, instances: InstanceList) {
        self.shared.lock().instances = instances;
    }

    /// Sets how every reader without a fault of its own sees the service.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().default_fault = fault;
        self.shared.wake();
    }

    /// Sets how one reader sees the service.
    pub fn set_reader_fault(&self, reader: &str, fault: Fault) {
        let mut state = self.shared.lock();
        match state
            .reader_faults
            .binary_search_by(|it| it.0.as_str().cmp(reader))
        {
            Ok(idx) => state.reader_faults[idx].1 = fault,
            Err(idx) => state.reader_faults.insert(idx, (reader.to_owned(), fault)),
        }
        drop(state);
        self.shared.wake();
    }

    /// Returns the calls received so far.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        self.shared.lock().calls
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Shared {
    fn publish(&self, add: impl FnOnce(&mut History)) -> u64 {
        add(&mut self.lock().history);
        let mut revision = 0;
        self.revision.send_modify(|it| {
            *it += 1;
            revision = *it;
        });
        revision
    }

    fn fault_of(&self, reader: &str) -> Fault {
        let state = self.lock();
        state
            .reader_faults
            .binary_search_by(|it| it.0.as_str().cmp(reader))
            .map_or(state.default_fault, |idx| state.reader_faults[idx].1)
    }

    /// Lets waiting watches look at the faults again.
    fn wake(&self) {
        self.revision.send_modify(|_| {});
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
