//! `explain` merges the log lines of one flow from several processes.

#[path = "support/program.rs"]
mod program;

use program::{TempFolder, run_lovagectl, run_lovagectl_ok};

/// Log of a balancer; the last line is incomplete because the process was killed.
const BALANCER: &str = r#"
{"time_ms":1000,"uptime_ms":10,"instance":"edge-b-1","event":"store_duty","reads":true,"peers":3,"freshest_age_ms":4}
{"time_ms":9000,"uptime_ms":8010,"instance":"edge-b-1","event":"agent_lost","agent":"10.2.0.7","silent_ms":2600}
{"time_ms":9100,"uptime_ms":8110,"instance":"edge-b-1","event":"opening_placed","flow":"100.65.0.20:1033>198.18.0.1:8443","agent":"10.2.0.17","candidates":7,"attempt":0,"catalog_revision":12}
{"time_ms":9105,"uptime_ms":8115,"instance":"edge-b-1","event":"opening_placed","flow":"100.65.0.99:1033>198.18.0.1:8443","agent":"10.2.0.17","candidates":7,"attempt":0,"catalog_revision":12}
{"time_ms":9200,"uptime_ms":82"#;

/// Log of an agent, captured with a time and the instance in front of each line.
const AGENT: &str = r#"
   9.1010 side-b-1 {"time_ms":9101,"uptime_ms":77,"instance":"side-b-1","event":"opening_accepted","flow":"100.65.0.20:1033>198.18.0.1:8443","load":2,"slots":5,"wait_ms":0}
   9.9000 side-b-1 {"time_ms":9900,"uptime_ms":876,"instance":"side-b-1","event":"endpoint_forgot_flow","flow":"100.65.0.20:1033>198.18.0.1:8443"}
   9.9000 side-b-1 {"time_ms":9900,"uptime_ms":876,"instance":"side-b-1","event":"reset_sent","flow":"100.65.0.20:1033>198.18.0.1:8443","reason":"endpoint_forgot"}
"#;

/// Log of a balancer that didn't handle the flow.
const OTHER: &str = r#"{"time_ms":9102,"uptime_ms":1,"instance":"edge-c-1","event":"peer_lost","balancer":"10.1.0.1","silent_ms":1700}"#;

/// Returns the event name of a printed line such as `* +5 ms  side-b-1  opening_accepted load=2`.
fn event_of_printed_line(line: &str) -> Option<&str> {
    line.split_whitespace().skip_while(|it| *it != "ms").nth(2)
}

#[test]
fn flow_lines_are_sorted_by_time_with_view_changes() {
    let folder = TempFolder::new("explain");
    let balancer = folder.write_file("balancer.log", BALANCER);
    let agent = folder.write_file("agent.log", AGENT);
    let other = folder.write_file("other.log", OTHER);
    let out = run_lovagectl_ok(&[
        "explain",
        &balancer,
        &agent,
        &other,
        "--flow",
        "100.65.0.20:1033",
    ]);
    let events: Vec<&str> = out.lines().filter_map(event_of_printed_line).collect();
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
        "times are not relative to the first line of the flow: {out}"
    );
}

#[test]
fn unknown_flow_error_names_the_remedy() {
    let folder = TempFolder::new("explain-unknown");
    let balancer = folder.write_file("balancer.log", BALANCER);
    let result = run_lovagectl(&["explain", &balancer, "--flow", "100.65.0.21:9"]);
    assert_eq!(result.status, 1);
    assert!(
        result.stderr.contains("caller's address and port"),
        "{}",
        result.stderr
    );
    let result = run_lovagectl(&["explain", &balancer, "--flow", ""]);
    assert_eq!(result.status, 1);
    assert!(
        result.stderr.contains("`--flow` is empty"),
        "{}",
        result.stderr
    );
    let result = run_lovagectl(&["explain", &folder.path_of("missing.log"), "--flow", "x"]);
    assert_eq!(result.status, 1);
    assert!(result.stderr.contains("missing.log"), "{}", result.stderr);
}

#[test]
fn closed_stdout_is_no_error() {
    let folder = TempFolder::new("explain-pipe");
    let log_text = format!(
        "{}\n",
        OTHER.replace("peer_lost\"", "peer_lost\",\"flow\":\"f\"")
    )
    .repeat(20_000);
    let log = folder.write_file("many.log", &log_text);
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_lovagectl"))
        .args(["explain", &log, "--flow", "f"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    assert!(child.wait().unwrap().success());
}
