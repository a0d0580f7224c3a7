//! The story of one flow is told from the logs of several processes.

#[path = "support/program.rs"]
mod program;

use program::{Folder, run, run_well};

/// Recorded lines of a balancer, the last one cut off when the process was killed.
const BALANCER: &str = r#"
{"time_ms":1000,"uptime_ms":10,"instance":"edge-b-1","event":"store_duty","reads":true,"peers":3,"freshest_age_ms":4}
{"time_ms":9000,"uptime_ms":8010,"instance":"edge-b-1","event":"agent_lost","agent":"10.2.0.7","silent_ms":2600}
{"time_ms":9100,"uptime_ms":8110,"instance":"edge-b-1","event":"opening_placed","flow":"100.65.0.20:1033>198.18.0.1:8443","agent":"10.2.0.17","candidates":7,"attempt":0,"catalog_revision":12}
{"time_ms":9105,"uptime_ms":8115,"instance":"edge-b-1","event":"opening_placed","flow":"100.65.0.99:1033>198.18.0.1:8443","agent":"10.2.0.17","candidates":7,"attempt":0,"catalog_revision":12}
{"time_ms":9200,"uptime_ms":82"#;

/// Recorded lines of an agent, with the bench's time in front of each.
const AGENT: &str = r#"
   9.1010 side-b-1 {"time_ms":9101,"uptime_ms":77,"instance":"side-b-1","event":"opening_accepted","flow":"100.65.0.20:1033>198.18.0.1:8443","load":2,"slots":5,"wait_ms":0}
   9.9000 side-b-1 {"time_ms":9900,"uptime_ms":876,"instance":"side-b-1","event":"endpoint_forgot_flow","flow":"100.65.0.20:1033>198.18.0.1:8443"}
   9.9000 side-b-1 {"time_ms":9900,"uptime_ms":876,"instance":"side-b-1","event":"reset_sent","flow":"100.65.0.20:1033>198.18.0.1:8443","reason":"endpoint_forgot"}
"#;

/// A process that has nothing to do with the flow.
const OTHER: &str = r#"{"time_ms":9102,"uptime_ms":1,"instance":"edge-c-1","event":"peer_lost","balancer":"10.1.0.1","silent_ms":1700}"#;

/// Returns the event of a line such as `* +5 ms  side-b-1  opening_accepted load=2`.
fn event(line: &str) -> Option<&str> {
    line.split_whitespace().skip_while(|it| *it != "ms").nth(2)
}

#[test]
fn lines_of_a_flow_come_in_order_with_beliefs() {
    let folder = Folder::new("explain");
    let balancer = folder.write("balancer.log", BALANCER);
    let agent = folder.write("agent.log", AGENT);
    let other = folder.write("other.log", OTHER);
    let out = run_well(&[
        "explain",
        &balancer,
        &agent,
        &other,
        "--flow",
        "100.65.0.20:1033",
    ]);
    let events: Vec<&str> = out.lines().filter_map(event).collect();
    assert_eq!(
        events,
        [
            "agent_lost",
            "opening_placed",
            "opening_accepted",
            "endpoint_forgot_flow",
            "reset_sent"
        ],
        "{out}"
    );
    assert!(out.contains("reason=endpoint_forgot"), "{out}");
    assert!(
        out.contains("  -100 ms"),
        "times are relative to the flow's first line: {out}"
    );
}

#[test]
fn unknown_flow_gets_a_remedy() {
    let folder = Folder::new("explain-unknown");
    let balancer = folder.write("balancer.log", BALANCER);
    let ended = run(&["explain", &balancer, "--flow", "100.65.0.21:9"]);
    assert_eq!(ended.status, 1);
    assert!(
        ended.err.contains("caller's address and port"),
        "{}",
        ended.err
    );
    let ended = run(&["explain", &balancer, "--flow", ""]);
    assert_eq!(ended.status, 1);
    assert!(ended.err.contains("`--flow` is empty"), "{}", ended.err);
    let ended = run(&["explain", &folder.path("missing.log"), "--flow", "x"]);
    assert_eq!(ended.status, 1);
    assert!(ended.err.contains("missing.log"), "{}", ended.err);
}

#[test]
fn reader_may_leave_early() {
    let folder = Folder::new("explain-pipe");
    let many = format!(
        "{}\n",
        OTHER.replace("peer_lost\"", "peer_lost\",\"flow\":\"f\"")
    )
    .repeat(20_000);
    let log = folder.write("many.log", &many);
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_lovagectl"))
        .args(["explain", &log, "--flow", "f"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    assert!(child.wait().unwrap().success());
}
