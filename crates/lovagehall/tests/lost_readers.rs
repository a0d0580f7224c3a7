//! Loss of the balancers that read the store, after the idle connections of the others to the store
//! went silent.

use std::{
    collections::BTreeMap,
    fs,
    io::{Read as _, Write as _},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

const BALANCERS: u8 = 5;
const CALLER_PORT: u16 = 26_103;
const PEER_PORT: u16 = 26_104;
const READY_PORT: u16 = 26_105;
const STORE_PORT: u16 = 26_106;

/// Time within which every balancer must know that an endpoint is draining.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Time without data after which the connections to the store go silent.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// A store that answers range reads and watches.
#[derive(Debug, Clone, Default)]
struct Store {
    /// Values by key, each with the revision of its latest change.
    items: Arc<Mutex<BTreeMap<String, (u64, String)>>>,
}

impl Store {
    fn put(&self, key: &str, value: &Value) {
        let mut items = self.items.lock().unwrap();
        let revision = 1 + items.values().map(|it| it.0).max().unwrap_or(0);
        let value = STANDARD.encode(value.to_string());
        items.insert(key.to_owned(), (revision, value));
    }

    /// Returns the items that changed after a revision, and the newest revision.
    fn changes_after(&self, after: u64) -> (Vec<Value>, u64) {
        let items = self.items.lock().unwrap();
        let changed = items.iter().filter(|it| it.1.0 > after);
        let list = changed.map(
            |(key, (revision, value))| json!({"key": key, "value": value, "revision": revision}),
        );
        let as_of = items.values().map(|it| it.0).max().unwrap_or(0);
        (list.collect(), as_of)
    }

    fn respond(&self, path: &str) -> Value {
        let number = |name: &str| -> u64 {
            let value = path.split(['?', '&']).find_map(|it| it.strip_prefix(name));
            value.map_or(0, |it| it.parse().unwrap())
        };
        if !path.starts_with("/kv-watch") {
            let (items, as_of) = self.changes_after(0);
            return json!({"items": items, "has_more": false, "as_of": as_of});
        }
        let (after, end) = (
            number("after="),
            Instant::now() + Duration::from_millis(number("wait_ms=")),
        );
        loop {
            let (events, as_of) = self.changes_after(after);
            if !events.is_empty() || Instant::now() >= end {
                return json!({"events": events, "as_of": as_of});
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = [0; 4_096];
        while let Ok(len @ 1..) = stream.read(&mut buffer) {
            let head = String::from_utf8_lossy(&buffer[..len]).into_owned();
            let path = head.split(' ').nth(1).unwrap_or_default();
            let body = self.respond(path).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A connection of a balancer to the store, which may go silent.
#[derive(Debug)]
struct Connection {
    is_silent: AtomicBool,
    last_used: Mutex<Instant>,
}

/// Forwards the connections of one balancer to the store.
#[derive(Debug, Clone, Default)]
struct Proxy {
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
    /// Whether the next connection is silent from the start.
    is_next_silent: Arc<AtomicBool>,
}

impl Proxy {
    fn listen(address: SocketAddr, store: SocketAddr) -> Self {
        let proxy = Self::default();
        let listener = TcpListener::bind(address).unwrap();
        let (connections, is_next_silent) = (
            Arc::clone(&proxy.connections),
            Arc::clone(&proxy.is_next_silent),
        );
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let server = TcpStream::connect(store).unwrap();
                let connection = Arc::new(Connection {
                    is_silent: AtomicBool::new(is_next_silent.swap(false, Ordering::Relaxed)),
                    last_used: Mutex::new(Instant::now()),
                });
                connections.lock().unwrap().push(Arc::clone(&connection));
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let connection = Arc::clone(&connection);
                    thread::spawn(move || forward_bytes(from, to, &connection));
                }
            }
        });
        proxy
    }

    fn silence_idle_connections(&self) {
        for it in self.connections.lock().unwrap().iter() {
            if it.last_used.lock().unwrap().elapsed() > IDLE_TIME {
                it.is_silent.store(true, Ordering::Relaxed);
            }
        }
    }

    fn was_used_within(&self, time: Duration) -> bool {
        let connections = self.connections.lock().unwrap();
        connections
            .iter()
            .any(|it| it.last_used.lock().unwrap().elapsed() <= time)
    }
}

fn forward_bytes(mut from: TcpStream, mut to: TcpStream, connection: &Connection) {
    let mut buffer = [0; 4_096];
    while let Ok(len @ 1..) = from.read(&mut buffer) {
        *connection.last_used.lock().unwrap() = Instant::now();
        if !connection.is_silent.load(Ordering::Relaxed) && to.write_all(&buffer[..len]).is_err() {
            break;
        }
    }
    // The other end may have closed the connection already.
    let _closed = to.shutdown(Shutdown::Both);
}

/// Processes that end with the test.
struct Processes(Vec<Child>);

impl Processes {
    fn kill(&mut self, idx: usize) {
        self.0[idx].kill().unwrap();
        self.0[idx].wait().unwrap();
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            // The process may have been killed already.
            let _ended = child.kill();
            child.wait().unwrap();
        }
    }
}

fn start_balancer(ip: Ipv4Addr, seed: Ipv4Addr, store: SocketAddr) -> Child {
    let at = |port: u16| format!("{ip}:{port}");
    let settings = json!({
        "instance": format!("balancer-{ip}"), "availability_zone": "a", "address": ip,
        "caller_address": at(CALLER_PORT), "peer_port": PEER_PORT, "link_mbps": 1_000,
        "seeds": [format!("{seed}:{PEER_PORT}")], "store_address": store.to_string(),
        "readiness_address": at(READY_PORT), "stop_grace_s": 6,
    });
    let path = std::env::temp_dir().join(format!("lost-readers-{ip}.json"));
    fs::write(&path, settings.to_string()).unwrap();
    Command::new(env!("CARGO_BIN_EXE_lovagehall"))
        .arg("passthrough-balancer")
        .arg(&path)
        .stdout(Stdio::null())
        .spawn()
        .unwrap()
}

/// Waits until the agent is told by each of the balancers that its endpoint is draining, and returns
/// after which time the last one did.
fn wait_for_notices(agent: &UdpSocket, balancers: &[Ipv4Addr], since: Instant) -> Duration {
    const STATE_NOTICE: u8 = 4;
    const DRAINING: u8 = 1;
    let mut waiting = balancers.to_vec();
    let mut buffer = [0; 2_048];
    while since.elapsed() < Duration::from_secs(10) {
        let Ok((len, SocketAddr::V4(sender))) = agent.recv_from(&mut buffer) else {
            continue;
        };
        if len > 20 && buffer[3] == STATE_NOTICE && buffer[20] == DRAINING {
            waiting.retain(|it| it != sender.ip());
        }
        if waiting.is_empty() {
            return since.elapsed();
        }
    }
    panic!("{waiting:?} didn't tell the agent within 10 s");
}

/// What becomes of the first call of each balancer that takes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstCall {
    Succeeds,
    /// Its connection is new and silent, too.
    Fails,
}

/// Checks that every balancer learns in time of a change that comes just after the loss of both
/// readers.
fn check_change_is_read_in_time(first_call: FirstCall) {
    let id = std::process::id();
    let net = 100 + (id % 50) as u8 + 50 * u8::from(first_call == FirstCall::Fails);
    let ip = |last| Ipv4Addr::new(127, net, (id / 50 % 250) as u8, last);
    let store = Store::default();
    let store_address = SocketAddr::from((ip(200), STORE_PORT));
    let listener = TcpListener::bind(store_address).unwrap();
    let served = store.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let store = served.clone();
            thread::spawn(move || store.serve(stream));
        }
    });
    let agent = UdpSocket::bind((ip(100), PEER_PORT)).unwrap();
    agent
        .set_read_timeout(Some(Duration::from_millis(20)))
        .unwrap();
    let entry = |state| {
        json!({"service": "s", "address": format!("{}:9000", ip(100)), "zone": "a", "slots": 2,
               "state": state, "version": "v1", "cold_left_ms": 0, "seq": 1})
    };
    store.put(
        "op/config",
        &json!({"version": 1, "limits": {"idle_timeout_ms": 15_000}, "routes": [
            {"name": "r", "hostname": "198.18.0.1", "prefix": "/443/", "service": "s"}]}),
    );
    store.put("servers/e", &entry("ready"));
    let mut proxies = Vec::new();
    let mut processes = Processes(Vec::new());
    for number in 1..=BALANCERS {
        let address = SocketAddr::from((ip(number), STORE_PORT));
        proxies.push(Proxy::listen(address, store_address));
        processes.0.push(start_balancer(ip(number), ip(1), address));
    }
    // All balancers read the store until they know of each other.
    thread::sleep(Duration::from_secs(3) + IDLE_TIME);
    for proxy in &proxies {
        proxy.silence_idle_connections();
    }
    thread::sleep(Duration::from_secs(1));
    let readers: Vec<usize> = (0..proxies.len())
        .filter(|it| proxies[*it].was_used_within(Duration::from_millis(1_500)))
        .collect();
    assert_eq!(readers.len(), 2, "{readers:?} read the store");

    // The confirmation that the others hear of is as young as can be when the readers are lost.
    while !proxies[readers[0]].was_used_within(Duration::from_millis(4)) {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_millis(500));
    for reader in &readers {
        processes.kill(*reader);
    }
    for proxy in &proxies {
        let is_silent = first_call == FirstCall::Fails;
        proxy.is_next_silent.store(is_silent, Ordering::Relaxed);
    }
    store.put("servers/e", &entry("draining"));
    let acknowledged = Instant::now();
    let remaining: Vec<Ipv4Addr> = (1..=BALANCERS)
        .filter(|it| !readers.contains(&usize::from(it - 1)))
        .map(ip)
        .collect();
    let last = wait_for_notices(&agent, &remaining, acknowledged);
    assert!(last < DRAIN_BOUND, "{last:?}");
}

/// Guards against a balancer that takes over reading on a connection that went silent while it was
/// idle, and so learns of changes only after the time limit of its first call.
#[test]
fn changes_are_read_in_time_after_the_loss_of_both_readers() {
    check_change_is_read_in_time(FirstCall::Succeeds);
}

/// Guards against a first call that fails too late for a second one.
#[test]
fn changes_are_read_in_time_although_the_first_call_fails() {
    check_change_is_read_in_time(FirstCall::Fails);
}
