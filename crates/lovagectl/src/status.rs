//! The command `status`: shows the services, members and counters of each process.

use settings::OperatorSettings;
use wire::inspect::StatusReply;

use crate::{
    Completeness, collect,
    error::{CtlError, Result},
    files,
    flags::Status,
};

/// Fetches the status of every process and prints the statuses.
pub(crate) fn show_statuses(command: &Status) -> Result<Completeness> {
    let settings: OperatorSettings = files::read_settings(&command.settings)?;
    let runtime = tokio::runtime::Runtime::new().map_err(CtlError::Runtime)?;
    let results = runtime.block_on(collect::fetch_statuses(&settings));
    let mut completeness = Completeness::Complete;
    let mut replies = Vec::new();
    let mut unreachable = Vec::new();
    for result in results {
        match result {
            Ok(reply) => replies.push(reply),
            Err(it) => unreachable.push(format!("{}: {}", it.address, it.cause)),
        }
    }
    if replies.is_empty() {
        return Err(CtlError::NoProcessReached {
            causes: unreachable,
        });
    }
    if command.json {
        println!("{}", format_statuses_as_json(&replies, &unreachable));
    } else {
        replies.iter().for_each(print_status);
        for it in &unreachable {
            println!("unreachable: {it}");
        }
    }
    if !unreachable.is_empty() {
        completeness = Completeness::Partial;
    }
    Ok(completeness)
}

fn print_status(reply: &StatusReply) {
    println!(
        "{} ({}, zone {}, incarnation {}, up {} s)",
        reply.instance,
        reply.role,
        reply.zone,
        reply.incarnation,
        reply.uptime_ms / 1_000
    );
    for it in &reply.services {
        println!(
            "  service {} ({}): version {}, digest {}",
            it.service, it.name, it.version, it.digest
        );
    }
    let (mut alive, mut leaving) = (0, 0);
    for it in &reply.members {
        if it.condition == "alive" {
            alive += 1;
        } else {
            println!("  member {}: {}", it.name, it.condition);
        }
        leaving += usize::from(it.is_leaving);
    }
    if !reply.members.is_empty() {
        println!(
            "  members: {alive} of {} alive, {leaving} leaving",
            reply.members.len()
        );
    }
    for it in &reply.counters {
        println!("  {} {}", it.name, it.value);
    }
}

fn format_statuses_as_json(replies: &[StatusReply], unreachable: &[String]) -> String {
    let processes: Vec<_> = replies.iter().map(status_to_json).collect();
    let all = serde_json::json!({ "processes": processes, "unreachable": unreachable });
    format!("{all:#}")
}

fn status_to_json(reply: &StatusReply) -> serde_json::Value {
    let services = reply.services.iter().map(|it| {
        serde_json::json!({
            "service": it.service,
            "name": it.name,
            "version": it.version,
            "digest": it.digest,
        })
    });
    let members = reply.members.iter().map(|it| {
        serde_json::json!({
            "name": it.name,
            "incarnation": it.incarnation,
            "condition": it.condition,
            "is_leaving": it.is_leaving,
        })
    });
    let counters = reply.counters.iter();
    let counters = counters.map(|it| (it.name.clone(), serde_json::Value::from(it.value)));
    serde_json::json!({
        "instance": reply.instance,
        "role": reply.role,
        "zone": reply.zone,
        "incarnation": reply.incarnation,
        "uptime_ms": reply.uptime_ms,
        "services": services.collect::<Vec<_>>(),
        "members": members.collect::<Vec<_>>(),
        "counters": counters.collect::<serde_json::Map<_, _>>(),
    })
}
