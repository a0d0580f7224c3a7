//! `lovagectl where` asks a running balancer where an opening would go.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

/// A balancer with a store that never changes.
struct Fixture {
    child: Child,
    settings: PathBuf,
    metrics: String,
    readiness: String,
}

impl Fixture {
    fn start() -> Self {
        let id = std::process::id();
        let host = format!("127.{}.{}.41", 100 + id % 50, id / 50 % 250);
        let at = |port: u16| format!("{host}:{port}");
        serve_store(TcpListener::bind(at(26_300)).unwrap());
        let settings = json!({
            "instance": "balancer-1", "availability_zone": "a", "address": host,
            "caller_address": at(26_303), "peer_port": 26_304, "link_mbps": 1_000,
            "store_address": at(26_300), "readiness_address": at(26_305),
            "metrics_address": at(26_306), "stop_grace_s": 6,
        });
        let path = std::env::temp_dir().join(format!("placement-question-{id}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lovagehall"))
            .arg("passthrough-balancer")
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            settings: path,
            metrics: at(26_306),
            readiness: at(26_305),
        }
    }

    /// Asks the balancer, and returns the exit status, the output and the errors.
    fn ask(&self, args: &[&str]) -> (i32, String, String) {
        ask_at(&self.metrics, args)
    }

    /// Returns the report on a route after the balancer has read the store.
    fn wait_for_report(&self) -> Value {
        let end = Instant::now() + Duration::from_secs(15);
        loop {
            let (status, out, err) = self.ask(&["--route", "198.18.0.1:443", "--json"]);
            let report: Value = serde_json::from_str(&out).unwrap_or_default();
            if report["outcome"] == "offered" {
                return report;
            }
            assert!(Instant::now() < end, "{status} {out} {err}");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn read_path(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(&self.metrics).unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        fs::remove_file(&self.settings).unwrap();
    }
}

fn ask_at(balancer: &str, args: &[&str]) -> (i32, String, String) {
    let program = Path::new(env!("CARGO_BIN_EXE_lovagehall")).with_file_name("lovagectl");
    let output = Command::new(program)
        .args(["where", "--balancer", balancer])
        .args(args)
        .output()
        .expect("`cargo build -p lovagectl` builds the program that this test runs");
    (
        output.status.code().unwrap(),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap(),
    )
}

fn serve_store(listener: TcpListener) {
    let endpoint = |last: u8, zone, state, cold_ms| {
        json!({"service": "s", "address": format!("127.0.90.{last}:9000"), "zone": zone, "slots": 2,
               "state": state, "version": "v1", "cold_left_ms": cold_ms, "seq": 1})
    };
    let items = [
        (
            "op/config",
            json!({"version": 7, "limits": {"idle_timeout_ms": 15_000}, "routes": [
                {"name": "r", "hostname": "198.18.0.1", "prefix": "/443/", "service": "s"}]}),
        ),
        ("servers/1", endpoint(1, "a", "ready", 0)),
        ("servers/2", endpoint(2, "b", "ready", 8_000)),
        ("servers/3", endpoint(3, "a", "draining", 0)),
    ];
    let list: Vec<Value> = items
        .iter()
        .map(|(key, value)| {
            let value = STANDARD.encode(value.to_string());
            json!({"key": key, "value": value, "revision": 5})
        })
        .collect();
    let all = json!({"items": list, "has_more": false, "as_of": 5}).to_string();
    let unchanged = json!({"events": [], "as_of": 5}).to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (all, unchanged) = (all.clone(), unchanged.clone());
            thread::spawn(move || {
                let mut buffer = [0; 4_096];
                while let Ok(len @ 1..) = stream.read(&mut buffer) {
                    let is_watch = buffer[..len].starts_with(b"GET /kv-watch");
                    if is_watch {
                        thread::sleep(Duration::from_millis(100));
                    }
                    let body = if is_watch { &unchanged } else { &all };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Guards against a question that is answered wrongly, that is refused without a remedy, or that can
/// be asked where the metrics are not.
#[test]
fn balancer_tells_where_an_opening_would_go() {
    let fixture = Fixture::start();
    let report = fixture.wait_for_report();
    assert_eq!(report["settings_version"], 7);
    assert_eq!(report["catalog_revision"], 5);
    assert_eq!(report["service_rule"], "only_target");
    let agents = |list: &Value| -> Vec<String> {
        let all = list.as_array().unwrap().iter();
        all.map(|it| it["agent"].as_str().unwrap().to_owned())
            .collect()
    };
    assert_eq!(
        agents(&report["candidates"]),
        ["127.0.90.1", "127.0.90.2"],
        "{report}"
    );
    assert_eq!(report["candidates"][0]["is_own_zone"], true);
    assert_eq!(report["candidates"][1]["cold_left_ms"], 8_000);
    // Nothing answers at the agents' addresses.
    assert_eq!(report["candidates"][0]["report_age_ms"], Value::Null);
    assert_eq!(agents(&report["left_out"]), ["127.0.90.3"]);

    let route = ["--route", "198.18.0.1:443", "--caller", "100.64.0.7:1033"];
    let (status, table, _) = fixture.ask(&route);
    assert_eq!(status, 0);
    for part in [
        "flow 100.64.0.7:1033>198.18.0.1:443: offered",
        "settings 7, catalog revision 5, era 0",
        "127.0.90.1",
        "never reported",
        "cold for 8000 ms",
        ": draining",
    ] {
        assert!(table.contains(part), "{part} is not in {table}");
    }
    let (status, out, _) = fixture.ask(&["--route", "198.18.0.9:443"]);
    assert_eq!(status, 0);
    assert!(out.contains(": no_route"), "{out}");

    for (query, named) in [
        ("", "`route` is missing"),
        ("route=x", "`route` is `x`"),
        ("route=198.18.0.1:443&caller=7", "`caller` is `7`"),
        ("route=198.18.0.1:443&zone=a", "`zone` is unknown"),
        ("route=1.1.1.1:1&route=1.1.1.1:1", "`route` is given twice"),
    ] {
        let answer = fixture.read_path(&format!("/where?{query}"));
        assert!(answer.starts_with("HTTP/1.1 400"), "{query}: {answer}");
        assert!(answer.contains(named), "{query}: {answer}");
    }
    let metrics = fixture.read_path("/metrics");
    let has = |line| metrics.lines().any(|it| it == line);
    assert!(
        has("lovagehall_openings_total 0") || has("lovagehall_openings 0"),
        "{metrics}"
    );

    let (status, _, err) = ask_at(&fixture.readiness, &route);
    assert_eq!(status, 1);
    assert!(err.contains("metrics_address"), "{err}");
    let (status, _, err) = ask_at("127.0.0.1:9", &route);
    assert_eq!(status, 1);
    assert!(err.contains("metrics_address"), "{err}");
    assert_eq!(fixture.ask(&["--route", "nowhere"]).0, 2);
}
