//! Summary of the demo and check of its guarantees.

use std::time::Duration;

use crate::{
    error::{BenchError, Result},
    fleet::Fleet,
    load::{REQUEST_KINDS, Tally},
};

/// Numbers of violations of each guarantee over the demo's whole run.
#[derive(Debug, Default)]
struct Violations {
    broken_flows: u64,
    wrong_responses: u64,
    misrouted_requests: u64,
    repeated_runs: usize,
}

/// Prints the summary of the demo's run.
///
/// # Errors
///
/// Fails if a guarantee was violated during the run.
pub(crate) fn print_summary(fleet: &Fleet, tallies: &[Tally], load: Duration) -> Result<()> {
    print_request_kinds(tallies);
    print_services(fleet);
    let violations = count_violations(fleet, tallies);
    let requests: u64 = tallies.iter().map(|it| it.requests).sum();
    println!();
    println!("requests              {requests} in {} s", load.as_secs());
    println!("broken flows          {}", violations.broken_flows);
    println!("wrong answers         {}", violations.wrong_responses);
    println!("misrouted requests    {}", violations.misrouted_requests);
    println!("purchases run twice   {}", violations.repeated_runs);
    println!(
        "time line             {}",
        fleet.write_timeline()?.display()
    );
    println!("settings and logs     {}", fleet.run_dir());
    if violations.is_none() {
        println!("every promise held");
        return Ok(());
    }
    for tally in tallies {
        for sample in &tally.samples {
            println!("  seen: {sample}");
        }
    }
    Err(BenchError::CheckFailed(
        "a promise was broken; see the table".to_owned(),
    ))
}

impl Violations {
    fn is_none(&self) -> bool {
        let sum = self.broken_flows + self.wrong_responses + self.misrouted_requests;
        sum == 0 && self.repeated_runs == 0
    }
}

fn print_request_kinds(tallies: &[Tally]) {
    println!();
    println!(
        "{:<16}{:>9}{:>9}{:>9}{:>9}{:>9}{:>10}{:>10}",
        "request", "count", "whole", "not-run", "unknown", "timeout", "p50 ms", "p99 ms"
    );
    for (kind, tally) in REQUEST_KINDS.iter().zip(tallies) {
        println!(
            "{:<16}{:>9}{:>9}{:>9}{:>9}{:>9}{:>10.1}{:>10.1}",
            kind.name,
            tally.requests,
            tally.complete,
            tally.not_run,
            tally.unknown,
            tally.timeouts,
            tally.latency_quantile_ms(0.5),
            tally.latency_quantile_ms(0.99)
        );
    }
}

fn print_services(fleet: &Fleet) {
    println!();
    println!(
        "{:<16}{:>11}{:>9}{:>22}",
        "service", "endpoints", "runs", "peak / mean of runs"
    );
    for (service_idx, service) in fleet.plan.services.iter().enumerate() {
        let counts: Vec<usize> = fleet
            .endpoints_of(service_idx)
            .map(|it| fleet.upstreams[it].run_count())
            .collect();
        println!(
            "{:<16}{:>11}{:>9}{:>22.2}",
            service.name,
            service.endpoints,
            counts.iter().sum::<usize>(),
            peak_to_mean(&counts)
        );
    }
}

fn count_violations(fleet: &Fleet, tallies: &[Tally]) -> Violations {
    Violations {
        broken_flows: tallies.iter().map(|it| it.broken_flows).sum(),
        wrong_responses: tallies.iter().map(|it| it.wrong_responses).sum(),
        misrouted_requests: count_misrouted_runs(fleet),
        repeated_runs: count_repeated_runs(fleet),
    }
}

/// Counts the requests that ran at an upstream of a service other than their own.
fn count_misrouted_runs(fleet: &Fleet) -> u64 {
    let mut count = 0;
    for (idx, upstream) in fleet.upstreams.iter().enumerate() {
        let service_idx = fleet.plan.service_of(idx);
        let own_paths: Vec<&str> = REQUEST_KINDS
            .iter()
            .filter(|it| it.service_idx == service_idx)
            .map(|it| it.path)
            .collect();
        for run in upstream.runs() {
            count += u64::from(!own_paths.iter().any(|it| run.path.starts_with(it)));
        }
    }
    count
}

/// Counts the repeated runs of requests that must run at most once. Runs are matched by request id,
/// because a request may use several idempotency keys.
fn count_repeated_runs(fleet: &Fleet) -> usize {
    let mut request_ids = Vec::new();
    for upstream in &fleet.upstreams {
        let runs = upstream.runs();
        let keyed = runs.into_iter().filter(|it| !it.key.is_empty());
        request_ids.extend(keyed.map(|it| it.request_id));
    }
    request_ids.sort_unstable();
    let runs = request_ids.len();
    request_ids.dedup();
    runs - request_ids.len()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn peak_to_mean(counts: &[usize]) -> f64 {
    let sum: usize = counts.iter().sum();
    let peak = counts.iter().max().copied().unwrap_or_default();
    if sum == 0 {
        return 0.0;
    }
    peak as f64 * counts.len() as f64 / sum as f64
}
