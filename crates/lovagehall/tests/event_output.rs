//! The event log of a passthrough agent is rate-limited, valid JSON, and never blocks the agent.

use std::{
    fs,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Returns a loopback address derived from the process id, so that parallel runs don't collide.
fn loopback_host() -> String {
    let id = std::process::id();
    format!("127.{}.{}.9", 200 + id % 50, id / 50 % 250)
}

/// A running passthrough agent and the loopback address of its sockets.
struct Agent {
    child: Child,
    host: String,
}

impl Agent {
    fn start() -> Self {
        let host = loopback_host();
        let at = |port: u16| format!("{host}:{port}");
        let settings = json!({
            "instance": "agent-1", "availability_zone": "a", "address": host, "service": "ledger",
            "endpoint_address": at(25_001), "outbound_address": at(25_002),
            "caller_address": at(25_003), "peer_port": 25_004, "readiness_address": at(25_005),
            "metrics_address": at(25_006),
        });
        let path = std::env::temp_dir().join(format!("event-output-{}.json", std::process::id()));
        fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lovagehall"))
            .arg("passthrough-agent")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let agent = Self { child, host };
        let end = Instant::now() + Duration::from_secs(10);
        while agent.http_get("/ready", 25_005).is_none() {
            assert!(
                Instant::now() < end,
                "the agent didn't become ready within 10 s"
            );
            thread::sleep(Duration::from_millis(20));
        }
        agent
    }

    /// Sends an HTTP GET; returns the whole response, or `None` if the agent doesn't respond.
    fn http_get(&self, path: &str, port: u16) -> Option<String> {
        let mut stream = TcpStream::connect((self.host.as_str(), port)).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        .ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        Some(response)
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

#[test]
fn flood_of_failures_neither_blocks_nor_floods_the_log() {
    let mut agent = Agent::start();
    let socket = UdpSocket::bind((agent.host.as_str(), 0)).unwrap();
    // The agent's stdout isn't read during the flood; each datagram is a failure that is logged.
    let flood_start = Instant::now();
    while flood_start.elapsed() < Duration::from_millis(3_500) {
        for _ in 0..50 {
            socket
                .send_to(b"no packet", (agent.host.as_str(), 25_002))
                .unwrap();
            socket
                .send_to(b"no message", (agent.host.as_str(), 25_004))
                .unwrap();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let ready = agent
        .http_get("/ready", 25_005)
        .expect("the agent responds to /ready");
    assert!(ready.starts_with("HTTP/1.1 200"), "{ready}");
    thread::sleep(Duration::from_millis(1_200));
    let metrics = agent
        .http_get("/metrics", 25_006)
        .expect("the agent responds to /metrics");
    let dropped = metrics
        .lines()
        .find_map(|it| it.strip_prefix("lovagehall_datagrams_dropped_total "))
        .and_then(|it| it.parse::<u64>().ok())
        .expect("/metrics has the counter of dropped datagrams");
    assert!(dropped > 1_000, "{dropped}");
    agent.child.kill().unwrap();
    let lines = BufReader::new(agent.child.stdout.take().unwrap()).lines();
    let lines: Vec<Value> = lines
        .map(|it| serde_json::from_str(&it.unwrap()).expect("every log line is a JSON object"))
        .collect();
    let count = |name: &str| lines.iter().filter(|it| it["event"] == name).count();
    // The event log writes at most 40 lines about failures per second and counts the others.
    let seconds = usize::try_from(flood_start.elapsed().as_secs()).unwrap() + 2;
    assert!(
        (40..=40 * seconds).contains(&count("dropped")),
        "{}",
        count("dropped")
    );
    let suppressed: u64 = lines
        .iter()
        .filter(|it| it["event"] == "lines_suppressed")
        .filter_map(|it| it["count"].as_u64())
        .sum();
    let logged = u64::try_from(count("dropped")).unwrap();
    assert!(
        suppressed + logged > dropped / 2,
        "{suppressed} suppressed of {dropped}"
    );
}
