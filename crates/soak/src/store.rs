//! Simulated store of the platform, with reads and a long-poll watch over HTTP.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify};

/// Time for which the store is away before it comes back from a copy.
const ABSENCE_TIME: Duration = Duration::from_millis(300);

/// Time after the store's return from a copy until what it lost has been written again.
pub(crate) const REWRITE_TIME: Duration = Duration::from_millis(1_500);

/// How the simulated store handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The store answers at once.
    Up,
    /// The store refuses every request with status 503.
    Busy,
    /// The store delays each answer by 300 ms.
    Slow,
    /// The store delays each answer by a minute.
    Silent,
}

/// An item of the store.
#[derive(Debug, Clone)]
struct Item {
    /// Revision at which the item was created.
    created: u64,
    /// Revision of the item's latest change.
    revision: u64,
    /// The item's value as Base64 text.
    value: String,
}

impl Item {
    fn to_json(&self, key: &str) -> Value {
        json!({
            "key": key, "value": self.value, "revision": self.revision, "created": self.created,
            "lease": 0,
        })
    }
}

/// An older copy of the store's data.
#[derive(Debug, Clone)]
struct DataCopy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Debug)]
struct State {
    /// Number of times that the store came back from a copy.
    era: u16,
    copy: Option<DataCopy>,
    /// What was written last under each key, `None` for a removal.
    written: BTreeMap<String, Option<String>>,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// History of changes; a deletion has no item.
    history: Vec<(u64, String, Option<Item>)>,
    /// The revision up to which the history of changes was discarded.
    compacted_revision: u64,
    mode: Mode,
}

impl State {
    fn record_change(&mut self, key: &str, value: Option<String>) {
        self.written.insert(key.to_owned(), value.clone());
        self.revision += 1;
        let revision = self.revision;
        let old = self.items.remove(key);
        let item = value.map(|value| Item {
            created: old.map_or(revision, |it| it.created),
            revision,
            value,
        });
        if let Some(item) = item.clone() {
            self.items.insert(key.to_owned(), item);
        }
        self.history.push((revision, key.to_owned(), item));
    }
}

/// Handle of the simulated store; clones refer to the same store.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl Store {
    pub(crate) fn new() -> Self {
        let state = State {
            era: 0,
            copy: None,
            written: BTreeMap::new(),
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            mode: Mode::Up,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Starts the store's HTTP server on a free loopback port and returns the server's address.
    pub(crate) async fn start_server(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                tokio::spawn(async move {
                    let service = service_fn(|request| store.handle_request(request));
                    // A connection that fails affects only its client.
                    let _broken = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(address)
    }

    pub(crate) fn put_entry(&self, key: &str, value: &Value) {
        self.record_change(key, Some(STANDARD.encode(value.to_string())));
    }

    pub(crate) fn remove_entry(&self, key: &str) {
        self.record_change(key, None);
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.lock_state().mode = mode;
        self.changed.notify_waiters();
    }

    /// Discards the history of changes; watches that need an earlier revision are answered with
    /// status 410.
    pub(crate) fn compact_history(&self) {
        let mut state = self.lock_state();
        state.history.clear();
        state.compacted_revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the era of the store's data.
    pub(crate) fn era(&self) -> u64 {
        u64::from(self.lock_state().era)
    }

    /// Takes a copy of the data, from which the store may come back later. Returns whether there was
    /// none yet.
    pub(crate) fn take_copy(&self) -> bool {
        let mut state = self.lock_state();
        let is_new = state.copy.is_none();
        if is_new {
            state.copy = Some(DataCopy {
                revision: state.revision,
                items: state.items.clone(),
            });
        }
        is_new
    }

    /// Plays a drill: the store is away for a moment and comes back from the copy, in a new era.
    /// Revisions after the copy's are given out again, and what was written since is written again
    /// within `REWRITE_TIME`.
    pub(crate) async fn return_from_copy(&self) {
        self.set_mode(Mode::Busy);
        tokio::time::sleep(ABSENCE_TIME).await;
        let mut state = self.lock_state();
        if let Some(copy) = state.copy.take() {
            state.era += 1;
            state.revision = copy.revision;
            state.items = copy.items;
            state.history.retain(|it| it.0 <= copy.revision);
            state.compacted_revision = state.compacted_revision.min(copy.revision);
        }
        drop(state);
        self.set_mode(Mode::Up);
        let store = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(REWRITE_TIME).await;
            store.write_lost_items();
        });
    }

    /// Writes what the writers wrote last and the store has lost.
    fn write_lost_items(&self) {
        let mut state = self.lock_state();
        let written = state.written.clone();
        for (key, value) in written {
            if state.items.get(&key).map(|it| &it.value) != value.as_ref() {
                state.record_change(&key, value);
            }
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn record_change(&self, key: &str, value: Option<String>) {
        self.lock_state().record_change(key, value);
        self.changed.notify_waiters();
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mode = self.lock_state().mode;
        match mode {
            Mode::Up => {}
            Mode::Busy => {
                return Ok(self.respond(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
            }
            Mode::Slow => tokio::time::sleep(Duration::from_millis(300)).await,
            Mode::Silent => tokio::time::sleep(Duration::from_mins(1)).await,
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        if request.uri().path() == "/kv-watch" {
            return Ok(self.respond_to_watch(&query).await);
        }
        let state = self.lock_state();
        let era = state.era;
        let items: Vec<Value> = state.items.iter().map(|it| it.1.to_json(it.0)).collect();
        let body = json!({"items": items, "has_more": false, "as_of": state.revision});
        Ok(json_response(StatusCode::OK, era, &body))
    }

    async fn respond_to_watch(&self, query: &str) -> Response<Full<Bytes>> {
        let after = query_number(query, "after");
        let end =
            tokio::time::Instant::now() + Duration::from_millis(query_number(query, "wait_ms"));
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock_state();
                if after < state.compacted_revision || after > state.revision {
                    return json_response(StatusCode::GONE, state.era, &json!({}));
                }
                let events: Vec<Value> = state
                    .history
                    .iter()
                    .filter(|it| it.0 > after)
                    .map(|(revision, key, item)| match item {
                        Some(item) => item.to_json(key),
                        None => json!({"key": key, "revision": revision, "tombstone": true}),
                    })
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= end {
                    let body = json!({"events": events, "as_of": state.revision});
                    return json_response(StatusCode::OK, state.era, &body);
                }
            }
            // A change in the store or the end of the wait resumes the loop, which checks for
            // events again.
            let _woken = tokio::time::timeout_at(end, changed).await;
        }
    }

    fn respond(&self, status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
        json_response(status, self.lock_state().era, body)
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn query_number(query: &str, name: &str) -> u64 {
    let value = query
        .split('&')
        .find_map(|it| it.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn json_response(status: StatusCode, era: u16, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert("store-era", HeaderValue::from(era));
    response
}
