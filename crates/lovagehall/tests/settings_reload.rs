//! Settings files that change while the passthrough processes run.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::TcpStream,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

struct Fixture {
    child: Child,
    path: PathBuf,
    metrics: String,
}

impl Fixture {
    fn start(role: &str, settings: &Value) -> Self {
        let name = format!("settings-reload-{role}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lovagehall"))
            .arg(role)
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let metrics = settings["metrics_address"].as_str().unwrap().to_owned();
        Self {
            child,
            path,
            metrics,
        }
    }

    fn reload(&self, settings: &Value) {
        fs::write(&self.path, settings.to_string()).unwrap();
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
    }

    fn read_metrics(&self) -> Option<String> {
        let mut stream = TcpStream::connect(&self.metrics).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(2)))
            .unwrap();
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(text)
    }

    /// Waits until the metrics have a line.
    fn wait_for_metric(&self, line: &str) {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let is_there = self
                .read_metrics()
                .is_some_and(|it| it.lines().any(|it| it == line));
            if is_there {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("{line} didn't appear: {:?}", self.read_metrics());
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

/// Checks that a process of a role starts with `settings`, shows that a later file is refused as long
/// as it is, and takes the first settings again.
fn check_refusal_is_shown(role: &str, settings: &Value, (key, bad): (&str, Value)) {
    let fixture = Fixture::start(role, settings);
    fixture.wait_for_metric("lovagehall_settings_refused 0");
    let mut refused = settings.clone();
    refused[key] = bad;
    fixture.reload(&refused);
    fixture.wait_for_metric("lovagehall_settings_refused 1");
    fixture.reload(settings);
    fixture.wait_for_metric("lovagehall_settings_refused 0");
}

fn host(last: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{last}", 100 + id % 50, id / 50 % 250)
}

/// Guards against a balancer that doesn't start with a fraction, and against a file that is refused
/// without a trace until the next start.
#[test]
fn balancer_starts_with_fractions_and_shows_a_refused_file() {
    let host = host(31);
    let at = |port: u16| format!("{host}:{port}");
    let settings = json!({
        "instance": "balancer-1", "availability_zone": "a", "address": host,
        "caller_address": at(26_203), "peer_port": 26_204, "link_mbps": 11.5,
        "store_address": at(26_200), "readiness_address": at(26_205),
        "metrics_address": at(26_206), "stop_grace_s": 6.5,
    });
    let bad = ("stop_grace_s", json!(-1));
    check_refusal_is_shown("passthrough-balancer", &settings, bad);
}

#[test]
fn agent_shows_a_refused_file() {
    let host = host(32);
    let at = |port: u16| format!("{host}:{port}");
    let settings = json!({
        "instance": "agent-1", "availability_zone": "a", "address": host, "service": "s",
        "endpoint_address": at(26_207), "outbound_address": at(26_208),
        "caller_address": at(26_203), "peer_port": 26_204, "readiness_address": at(26_205),
        "metrics_address": at(26_206),
    });
    let bad = ("peer_port", json!(70_000));
    check_refusal_is_shown("passthrough-agent", &settings, bad);
}
