//! The platform's store: items with one revision counter, reads in pages and watches.

use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
struct Item {
    value: String,
    created: u64,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
}

/// The store; clones refer to the same one.
#[derive(Debug, Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the server on a free port of `address` and returns where it listens.
    pub fn serve(&self, address: std::net::Ipv4Addr) -> std::io::Result<SocketAddrV4> {
        let listener = TcpListener::bind(SocketAddrV4::new(address, 0))?;
        let port = listener.local_addr()?.port();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(&stream));
            }
        });
        Ok(SocketAddrV4::new(address, port))
    }

    /// Writes an item. The write is acknowledged when the call returns.
    pub fn put(&self, key: &str, json: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value: base64(json.as_bytes()),
            created,
            revision,
        };
        state.items.insert(key.to_owned(), item.clone());
        state.history.push((revision, key.to_owned(), Some(item)));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, key.to_owned(), None));
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve_connection(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = first.split_whitespace().nth(1).unwrap_or("/");
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let (status, body) = match path {
                "/kv-range" => self.range(query),
                "/kv-watch" => self.watch(query),
                "/kv-key" => self.key(query),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let mut writer = stream;
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, query: &str) -> (&'static str, String) {
        let (prefix, after) = (field(query, "prefix"), field(query, "after"));
        let state = self.lock();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, it)| item_json(key, it))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"as_of\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn key(&self, query: &str) -> (&'static str, String) {
        let key = field(query, "key");
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => ("200 OK", item_json(&key, item)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn watch(&self, query: &str) -> (&'static str, String) {
        let prefix = field(query, "prefix");
        let after: u64 = field(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = field(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            if after > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = self
                .shared
                .1
                .wait_timeout(state, end - now)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

fn item_json(key: &str, it: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        it.value, it.revision, it.created
    )
}

/// Returns a field of a query with its escapes resolved.
fn field(query: &str, name: &str) -> String {
    let raw = query
        .split('&')
        .filter_map(|it| it.split_once('='))
        .find(|it| it.0 == name)
        .map_or("", |it| it.1);
    let mut out = Vec::new();
    let mut bytes = raw.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let text = String::from_utf8_lossy(&digits).into_owned();
        out.push(u8::from_str_radix(&text, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for idx in 0..4 {
            if idx > part.len() {
                out.push('=');
            } else {
                out.push(char::from(ALPHABET[(word >> (18 - 6 * idx) & 63) as usize]));
            }
        }
    }
    out
}
