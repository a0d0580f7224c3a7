//! The platform's metadata store: range reads, watches, leases and a history, over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    /// The time at which the item expires unless it is renewed.
    expires: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    key: String,
    /// `None` is a tombstone.
    item: Option<Item>,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
}

/// A store, which may listen at several addresses.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether the store is down: it answers every call with 503 and takes no writes.
    is_down: AtomicBool,
}

/// One address of a store.
#[derive(Debug)]
pub struct Door {
    is_open: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    address: SocketAddrV4,
}

impl Door {
    /// Stops listening and closes all connections.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        let _woken = TcpStream::connect(self.address);
        for it in lock(&self.connections).drain(..) {
            let _closed = it.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    pub fn new() -> Arc<Self> {
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
        });
        let reaped = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                reaped.remove_expired();
            }
        });
        store
    }

    /// Writes an item, and returns the revision of the write.
    pub fn put(&self, key: &str, value: &str, time_to_live: Option<Duration>) -> u64 {
        let mut state = lock(&self.state);
        let expires = time_to_live.map(|it| Instant::now() + it);
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value: value.as_bytes().to_vec(),
            revision,
            created,
            expires,
        };
        state.items.insert(key.to_owned(), item.clone());
        state.history.push(Change {
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
        self.changed.notify_all();
        revision
    }

    /// Takes the store down or brings it back. Leases run out meanwhile.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Renews an item without changing it, and returns whether it was there.
    pub fn renew(&self, key: &str, time_to_live: Duration) -> bool {
        let mut state = lock(&self.state);
        let Some(item) = state.items.get_mut(key) else {
            return false;
        };
        item.expires = Some(Instant::now() + time_to_live);
        true
    }

    fn remove_expired(&self) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let is_expired = |it: &Item| it.expires.is_some_and(|at| at <= now);
        let expired: Vec<String> = state
            .items
            .iter()
            .filter(|it| is_expired(it.1))
            .map(|it| it.0.clone())
            .collect();
        for key in expired {
            state.items.remove(&key);
            state.revision += 1;
            let revision = state.revision;
            state.history.push(Change {
                revision,
                key,
                item: None,
            });
            self.changed.notify_all();
        }
    }

    /// Begins to listen at an address.
    pub fn listen(self: &Arc<Self>, address: SocketAddrV4) -> std::io::Result<Door> {
        let listener = TcpListener::bind(address)?;
        let door = Door {
            is_open: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            address,
        };
        let (is_open, connections) = (Arc::clone(&door.is_open), Arc::clone(&door.connections));
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !is_open.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(it) = stream.try_clone() {
                    lock(&connections).push(it);
                }
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(door)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _fast = stream.set_nodelay(true);
        let mut pending = Vec::new();
        let mut chunk = [0_u8; 4096];
        loop {
            while let Some(end) = pending.windows(4).position(|it| it == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&pending[..end]).into_owned();
                pending.drain(..end + 4);
                let (status, body) = self.answer(&head);
                let response = format!(
                    "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => pending.extend_from_slice(&chunk[..count]),
            }
        }
    }

    fn answer(&self, head: &str) -> (&'static str, String) {
        let target = head.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pair = query.split('&').filter_map(|it| it.split_once('='));
            pair.filter(|it| it.0 == name)
                .map(|it| unescape(it.1))
                .next()
                .unwrap_or_default()
        };
        if self.is_down() {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        match path {
            "/kv-range" => ("200 OK", self.range(&field("prefix"), &field("after"))),
            "/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait_ms").parse().unwrap_or(0);
                let body = self.watch(&field("prefix"), after, Duration::from_millis(wait));
                match body {
                    Some(body) => ("200 OK", body),
                    None => ("503 Service Unavailable", "{}".to_owned()),
                }
            }
            "/kv-key" => {
                let state = lock(&self.state);
                match state.items.get(&field("key")) {
                    Some(item) => ("200 OK", item_json(&field("key"), item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        const PAGE_ITEMS: usize = 500;
        let state = lock(&self.state);
        let is_meant = |it: &(&String, &Item)| it.0.starts_with(prefix) && it.0.as_str() > after;
        let meant: Vec<_> = state.items.iter().filter(is_meant).collect();
        let page: Vec<String> = meant
            .iter()
            .take(PAGE_ITEMS)
            .map(|it| item_json(it.0, it.1))
            .collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"as_of\":{}}}",
            page.join(","),
            meant.len() > PAGE_ITEMS,
            state.revision
        )
    }

    /// Waits for changes; returns `None` if the store goes down meanwhile.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            if self.is_down() {
                return None;
            }
            let is_news = |it: &&Change| it.revision > after && it.key.starts_with(prefix);
            let news: Vec<String> = state
                .history
                .iter()
                .filter(is_news)
                .map(|it| match &it.item {
                    Some(item) => item_json(&it.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
                        it.key, it.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let events = news.join(",");
                return Some(format!(
                    "{{\"events\":[{events}],\"as_of\":{}}}",
                    state.revision
                ));
            }
            state = match self.changed.wait_timeout(state, left) {
                Ok(it) => it.0,
                Err(it) => it.into_inner().0,
            };
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let byte = |idx: usize| u32::from(part.get(idx).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for idx in 0..4 {
            if idx <= part.len() {
                out.push(DIGITS[(group >> (18 - 6 * idx)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut idx = 0;
    while idx < bytes.len() {
        let hex = text
            .get(idx + 1..idx + 3)
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[idx], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                idx += 3;
            }
            (byte, _) => {
                out.push(byte);
                idx += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
