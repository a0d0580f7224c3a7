//! The command `where`: asks a passthrough balancer where an opening would go now, and why.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde_json::Value;

use crate::{
    error::{CtlError, Result},
    flags::Where,
};

/// Timeout of connecting, and of each wait for the answer; a balancer gives up after one second.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of an answer.
const ANSWER_MAX_BYTES: u64 = 1 << 20;

/// Asks the balancer and prints its answer.
pub(crate) fn show_placement(command: &Where) -> Result<()> {
    let caller = command.caller.map(|it| format!("&caller={it}"));
    let path = format!(
        "/where?route={}{}",
        command.route,
        caller.unwrap_or_default()
    );
    let error = |cause, remedy| CtlError::Balancer {
        address: command.balancer,
        cause,
        remedy,
    };
    let answer = fetch(command.balancer, &path).map_err(|err| {
        let remedy = "give `metrics_address` of a running passthrough balancer as --balancer";
        error(err.to_string(), remedy)
    })?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
    let status = head.split(' ').nth(1).unwrap_or_default();
    if matches!(status, "400" | "503") && !body.is_empty() {
        let remedy = "nothing was changed";
        return Err(error(body.to_owned(), remedy));
    }
    let report: Value = serde_json::from_str(body).map_err(|_not_json| {
        let remedy = "give `metrics_address` of a passthrough balancer of this version";
        error("the answer is no report".to_owned(), remedy)
    })?;
    if command.json {
        println!("{report:#}");
    } else {
        print_report(&report);
    }
    Ok(())
}

fn fetch(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let request = format!("GET {path} HTTP/1.0\r\nHost: {address}\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.take(ANSWER_MAX_BYTES).read_to_string(&mut answer)?;
    Ok(answer)
}

fn print_report(report: &Value) {
    let field = |name: &str| text_of(&report[name]);
    println!("flow {}: {}", field("flow"), field("outcome"));
    println!(
        "settings {}, catalog revision {}, era {}, own zone {}",
        field("settings_version"),
        field("catalog_revision"),
        field("store_era"),
        field("own_zone")
    );
    if !report["held_ms"].is_null() {
        println!("held for at most {} ms", field("held_ms"));
    }
    if !report["service"].is_null() {
        println!("service {} ({})", field("service"), field("service_rule"));
    }
    if !report["zone_plan"].is_null() {
        println!("plan of zones: {}", field("zone_plan"));
    }
    let candidates = report["candidates"].as_array().map_or(&[][..], |it| it);
    if !candidates.is_empty() {
        println!(
            "  #  {:<16}  {:<15}  {:<20}  {:<8}  {:>5}  {:>5}  {:>7}  known",
            "endpoint", "agent", "zone", "state", "slots", "load", "age ms"
        );
    }
    for (idx, it) in candidates.iter().enumerate() {
        println!(
            "{:>3}  {:<16}  {:<15}  {:<20}  {:<8}  {:>5}  {:>5}  {:>7}  {}",
            idx + 1,
            text_of(&it["endpoint"]),
            text_of(&it["agent"]),
            zone_of_candidate(it),
            text_of(&it["state"]),
            text_of(&it["slots"]),
            text_of(&it["utilization"]),
            text_of(&it["report_age_ms"]),
            remarks_on(it)
        );
    }
    let limits = &report["limits"];
    if !limits.is_null() {
        println!(
            "taken up to load {}, of idle flows {} (thousandths of the slots)",
            text_of(&limits["utilization"]),
            text_of(&limits["idle"])
        );
    }
    for it in report["left_out"].as_array().into_iter().flatten() {
        println!(
            "left out: {} at {} in zone {}: {}",
            text_of(&it["endpoint"]),
            text_of(&it["agent"]),
            text_of(&it["zone"]),
            text_of(&it["reason"])
        );
    }
    let named = report["left_out"].as_array().map_or(0, Vec::len) as u64;
    let unnamed = report["left_out_count"]
        .as_u64()
        .unwrap_or(0)
        .saturating_sub(named);
    if unnamed > 0 {
        println!("left out: {unnamed} more");
    }
    if !report["if_all_full"].is_null() {
        println!("if all are full: {}", field("if_all_full"));
    }
}

fn zone_of_candidate(candidate: &Value) -> String {
    let zone = text_of(&candidate["zone"]);
    if candidate["is_own_zone"] == true {
        zone + " own"
    } else {
        zone
    }
}

/// Returns what is special about a candidate.
fn remarks_on(candidate: &Value) -> String {
    let mut remarks = Vec::new();
    if candidate["report_age_ms"].is_null() {
        remarks.push("never reported".to_owned());
    } else if candidate["utilization"].is_null() {
        remarks.push("closed".to_owned());
    }
    if candidate["is_last_resort"] == true {
        remarks.push("last resort".to_owned());
    }
    if candidate["is_zone_out_of_use"] == true {
        remarks.push("zone out of use".to_owned());
    }
    if candidate["cold_left_ms"].as_u64().is_some_and(|it| it > 0) {
        remarks.push(format!("cold for {} ms", candidate["cold_left_ms"]));
    }
    if !candidate["unanswered_ms"].is_null() {
        remarks.push(format!("no answer for {} ms", candidate["unanswered_ms"]));
    }
    if remarks.is_empty() {
        return "-".to_owned();
    }
    remarks.join(", ")
}

/// Returns a JSON value as it stands in a table.
fn text_of(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
