//! The platform's metadata store: a single revision counter, reads and watches over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Items in one page of a range.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    /// Value, revision of the last change and revision of the creation of each item.
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// Changes in order of their revisions; `None` marks a removal.
    changes: Vec<(u64, String, Option<Vec<u8>>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn listen(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 1;
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; the return of this call is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |it| it.2);
        let bytes = value.as_bytes().to_vec();
        state
            .items
            .insert(key.to_owned(), (bytes.clone(), revision, created));
        state.changes.push((revision, key.to_owned(), Some(bytes)));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.changes.push((revision, key.to_owned(), None));
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request).unwrap_or(0) == 0 {
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
            let target = request.split(' ').nth(1).unwrap_or("").to_owned();
            let body = self.answer(&target);
            let head = match &body {
                Some(it) => format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    it.len()
                ),
                None => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned(),
            };
            let whole = head + &body.unwrap_or_default();
            if writer.write_all(whole.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> Option<String> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            query
                .split('&')
                .filter_map(|it| it.split_once('='))
                .find(|it| it.0 == name)
                .map(|it| unescape(it.1))
                .unwrap_or_default()
        };
        match path {
            "/kv-range" => Some(self.range(&field("prefix"), &field("after"))),
            "/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait_ms = field("wait_ms").parse().unwrap_or(0);
                Some(self.watch(&field("prefix"), after, Duration::from_millis(wait_ms)))
            }
            _ => None,
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let matching: Vec<_> = state
            .items
            .iter()
            .filter(|it| it.0.starts_with(prefix) && it.0.as_str() > after)
            .collect();
        let page: Vec<String> = matching
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, (value, revision, created))| item_text(key, value, *revision, *created))
            .collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"as_of\":{}}}",
            page.join(","),
            matching.len() > PAGE_ITEMS,
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|it| it.0 > after && it.1.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item_text(key, value, *revision, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_text(key: &str, value: &[u8], revision: u64, created: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}",
        base64(value)
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for idx in 0..4 {
            if idx <= part.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * idx)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
