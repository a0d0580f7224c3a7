//! A balancer process that was stopped and continued forwards no packet that waited meanwhile.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// Time for which the process is stopped, well above the time after which packets are outdated.
const STOPPED: Duration = Duration::from_millis(2_500);

/// A balancer process with a store and the agent of its only endpoint, all on loopback addresses.
struct Fixture {
    child: Child,
    host: String,
    /// Receives what the balancer forwards to its only agent.
    agent: UdpSocket,
    callers: UdpSocket,
}

impl Fixture {
    fn start() -> Self {
        let id = std::process::id();
        let host = format!("127.{}.{}.17", 100 + id % 50, id / 50 % 250);
        let agent_host = format!("127.{}.{}.18", 100 + id % 50, id / 50 % 250);
        let at = |port: u16| format!("{host}:{port}");
        serve_store(&at(26_000), &agent_host);
        let agent = UdpSocket::bind(format!("{agent_host}:26004")).unwrap();
        agent
            .set_read_timeout(Some(Duration::from_millis(20)))
            .unwrap();
        let settings = json!({
            "instance": "balancer-1", "availability_zone": "a", "address": host,
            "caller_address": at(26_003), "peer_port": 26_004, "link_mbps": 1_000,
            "store_address": at(26_000), "readiness_address": at(26_005), "stop_grace_s": 6,
        });
        let path = std::env::temp_dir().join(format!("frozen-balancer-{id}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lovagehall"))
            .arg("passthrough-balancer")
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let callers = UdpSocket::bind(format!("{host}:0")).unwrap();
        Self {
            child,
            host,
            agent,
            callers,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Stops the process, and returns once it stands still.
    fn stop_process(&self) {
        self.signal(Signal::STOP);
        let path = format!("/proc/{}/stat", self.child.id());
        while !fs::read_to_string(&path).unwrap().contains(") T ") {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends the packet that opens the flow of a caller's port.
    fn send_opening(&self, caller_port: u16) {
        let mut packet = Vec::new();
        packet.extend([198, 18, 0, 1, 100, 64, 0, 7]);
        packet.extend(443_u16.to_be_bytes());
        packet.extend(caller_port.to_be_bytes());
        packet.extend([0, 0, 64, 0]);
        packet.extend([0; 16]);
        self.callers
            .send_to(&packet, format!("{}:26003", self.host))
            .unwrap();
    }

    /// Returns whether the flow of a caller's port is forwarded to the agent within `limit`.
    fn is_forwarded(&self, caller_port: u16, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut buffer = [0; 2_048];
        while Instant::now() < end {
            let Ok(len) = self.agent.recv(&mut buffer) else {
                continue;
            };
            let port = caller_port.to_be_bytes();
            if len > 60 && buffer[..len].windows(2).any(|it| it == port) {
                return true;
            }
        }
        false
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

/// Serves a store with one route and one endpoint.
fn serve_store(address: &str, agent_host: &str) {
    let listener = TcpListener::bind(address).unwrap();
    let encode = |value: serde_json::Value| {
        use base64::{Engine as _, engine::general_purpose::STANDARD};
        STANDARD.encode(value.to_string())
    };
    let config = encode(json!({
        "version": 1, "limits": {"idle_timeout_ms": 15_000},
        "routes": [{"name": "r", "hostname": "198.18.0.1", "prefix": "/443/", "service": "s"}],
    }));
    let endpoint = encode(json!({
        "service": "s", "address": format!("{agent_host}:9000"), "zone": "a", "slots": 2,
        "state": "ready", "version": "v1", "cold_left_ms": 0, "seq": 1,
    }));
    let items = json!({"as_of": 5, "has_more": false, "items": [
        {"key": "op/config", "value": config}, {"key": "servers/e", "value": endpoint}]});
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let items = items.to_string();
            thread::spawn(move || serve_calls(stream, &items));
        }
    });
}

fn serve_calls(mut stream: TcpStream, items: &str) {
    let mut buffer = [0; 4_096];
    while let Ok(len) = stream.read(&mut buffer) {
        if len == 0 {
            return;
        }
        let is_watch = buffer[..len].starts_with(b"GET /kv-watch");
        if is_watch {
            thread::sleep(Duration::from_millis(500));
        }
        let body = if is_watch {
            r#"{"events":[],"as_of":5}"#
        } else {
            items
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all((head + body).as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn packets_of_a_stopped_balancer_are_dropped() {
    let fixture = Fixture::start();
    // The first openings may meet a process that is still being loaded.
    let is_serving = (0..100).any(|number| {
        fixture.send_opening(40_000 + number);
        fixture.is_forwarded(40_000 + number, Duration::from_millis(100))
    });
    assert!(is_serving);
    thread::sleep(Duration::from_secs(2));
    fixture.stop_process();
    fixture.send_opening(50_001);
    thread::sleep(STOPPED);
    fixture.signal(Signal::CONT);
    assert!(
        !fixture.is_forwarded(50_001, Duration::from_secs(1)),
        "the packet waited while the process was stopped"
    );
    fixture.send_opening(50_002);
    assert!(fixture.is_forwarded(50_002, Duration::from_secs(1)));
}
