//! Test double of the platform's configuration service over HTTP/1.1.
//!
//! Readers read and watch the index of bundles, read bundles and read the instance list. A fault
//! can be set for all readers or for a single one, which is identified by its `User-Agent`.

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

/// A running configuration service; when the value is dropped, the service accepts no more
/// connections.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

/// A fault of the configuration service as a reader sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault: the configuration service works.
    #[default]
    None,
    /// The reader's connections are closed without a response.
    Down,
    /// The index lists each service this many versions behind its newest version.
    StaleBy(usize),
    /// The index lists no service.
    Empty,
    /// Every response to the reader is delayed by this duration.
    Slow(Duration),
    /// Every call of the reader gets status 500.
    Erroring,
    /// No call of the reader ever gets a response.
    Hanging,
    /// Every call of the reader gets status 200 with bytes that aren't JSON.
    InvalidJson,
}

/// Numbers of calls that the configuration service received, by kind. A watch counts as one call,
/// however long it waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Number of reads and watches of the index.
    pub index: u64,
    /// Number of reads of a bundle or key set.
    pub bundle: u64,
    /// Number of reads of the instance list.
    pub instances: u64,
    /// Number of calls of any other path.
    pub other: u64,
}

impl CallCounts {
    /// Returns the number of received calls of all kinds together.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.index + self.bundle + self.instances + self.other
    }
}

/// An error for bytes that can't be published because they aren't a signed envelope.
#[derive(Debug)]
pub struct InvalidEnvelope(serde_json::Error);

impl fmt::Display for InvalidEnvelope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "malformed envelope: {}; publish a signed bundle or key set",
            self.0
        )
    }
}

impl std::error::Error for InvalidEnvelope {}

/// State that all connections of the configuration service share.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    history: History,
    instances: InstanceList,
    call_counts: CallCounts,
    default_fault: Fault,
    /// Faults set for single readers, sorted by reader.
    reader_faults: Vec<(String, Fault)>,
}

impl Platform {
    /// Starts the configuration service on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the configuration service's address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::default()),
            revision: watch::Sender::new(0),
        });
        let accepting = tokio::spawn(server::accept_connections(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accepting,
        })
    }

    /// Returns the address that the configuration service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a signed envelope as the newest bundle of its service and returns the index's new
    /// revision.
    ///
    /// Neither the envelope's signature nor the rest of the bundle is checked.
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't an envelope whose document names a service and a version.
    pub fn publish_bundle(&self, envelope: &[u8]) -> Result<u64, InvalidEnvelope> {
        let published = history::Published::from_envelope(envelope).map_err(InvalidEnvelope)?;
        Ok(self.shared.publish_change(|it| it.add_version(published)))
    }

    /// Publishes a key set's signed envelope and returns the index's new revision.
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't an envelope whose document names a version.
    pub fn publish_key_set(&self, envelope: &[u8]) -> Result<u64, InvalidEnvelope> {
        let published = history::Published::from_key_set(envelope).map_err(InvalidEnvelope)?;
        Ok(self.shared.publish_change(|it| it.add_version(published)))
    }

    /// Replaces the instance list that readers get.
    pub fn set_instances(&self, instances: InstanceList) {
        self.shared.lock_state().instances = instances;
    }

    /// Sets the fault for every reader for which no fault of its own is set.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock_state().default_fault = fault;
        self.shared.wake_watches();
    }

    /// Sets the fault for the reader with this `User-Agent`.
    pub fn set_reader_fault(&self, reader: &str, fault: Fault) {
        let mut state = self.shared.lock_state();
        match state
            .reader_faults
            .binary_search_by(|it| it.0.as_str().cmp(reader))
        {
            Ok(idx) => state.reader_faults[idx].1 = fault,
            Err(idx) => state.reader_faults.insert(idx, (reader.to_owned(), fault)),
        }
        drop(state);
        self.shared.wake_watches();
    }

    /// Returns how many calls of each kind the configuration service has received.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        self.shared.lock_state().call_counts
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Shared {
    fn publish_change(&self, add: impl FnOnce(&mut History)) -> u64 {
        add(&mut self.lock_state().history);
        let mut revision = 0;
        self.revision.send_modify(|it| {
            *it += 1;
            revision = *it;
        });
        revision
    }

    fn fault_for(&self, reader: &str) -> Fault {
        let state = self.lock_state();
        state
            .reader_faults
            .binary_search_by(|it| it.0.as_str().cmp(reader))
            .map_or(state.default_fault, |idx| state.reader_faults[idx].1)
    }

    /// Wakes waiting watches so that they apply the current faults.
    fn wake_watches(&self) {
        self.revision.send_modify(|_| {});
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
