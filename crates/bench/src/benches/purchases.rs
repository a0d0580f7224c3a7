//! Bench `purchases`: purchases while agents are killed, restarted and paused, packets are lost and
//! callers retry.
//!
//! Three groups of callers make purchases in the same run. Our group retries as the answers allow;
//! the two baseline groups retry never or always. The upstreams record which purchases ran.

mod buyer;
mod faults;

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use stand_ins::upstream::Upstream;
use tokio::{sync::watch, task::JoinSet};

use super::BenchEntry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
};

use buyer::{Buyer, FinalOutcome, Purchase, RetryPolicy};

/// Target for the number of purchases by our group, which retries as the answers allow.
const PURCHASES_MIN: f64 = 20_000.0;

/// Number of balancers in the fleet.
const BALANCERS: usize = 3;

/// Number of callers in our group, which retries as the answers allow.
const CALLERS: usize = 240;

/// Number of callers in each baseline group, which retries never or always.
const BASELINE_CALLERS: usize = 16;

/// Number of callers that share one socket.
const CALLERS_PER_SOCKET: usize = 16;

/// Longest duration of the load, so that the bench ends within a minute.
const LOAD_MAX_SECONDS: u64 = 38;

/// Wait before the load, so that the agents' records reach back to the first attempt of every
/// idempotency key.
const WARM_UP: Duration = Duration::from_secs(3);

/// Registry entry of the bench `purchases`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "purchases",
    about: "purchases run twice, refused as not run but run, or without an answer, under faults",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure_purchases(options))
}

async fn measure_purchases(options: &Options) -> Result<Vec<Figure>> {
    let load = Duration::from_secs(options.seconds.min(LOAD_MAX_SECONDS));
    let mut fleet = Fleet::start(FleetPlan::ledger(BALANCERS), options.seed).await?;
    tokio::time::sleep(WARM_UP).await;
    let (stop, stopped) = watch::channel(false);
    let mut buyers = JoinSet::new();
    for (policy, callers) in [
        (RetryPolicy::AsTold, CALLERS),
        (RetryPolicy::Never, BASELINE_CALLERS),
        (RetryPolicy::Always, BASELINE_CALLERS),
    ] {
        spawn_buyers(&fleet, policy, callers, &stopped, &mut buyers)?;
    }
    faults::inject_faults(&mut fleet, options.seed, load).await?;
    stop.send_replace(true);
    let mut purchases = Vec::new();
    while let Some(bought) = buyers.join_next().await {
        purchases.extend(bought.unwrap_or_default());
    }
    let ran = count_runs_by_key(&fleet);
    let count = |policy| Counts::from_purchases(&purchases, policy, &ran);
    let ours = count(RetryPolicy::AsTold);
    let never = count(RetryPolicy::Never);
    let always = count(RetryPolicy::Always);
    eprintln!("ours {ours:?}\nnever retry {never:?}\nalways retry {always:?}");
    Ok(purchase_figures(options, &ours, &never, &always))
}

fn spawn_buyers(
    fleet: &Fleet,
    policy: RetryPolicy,
    callers: usize,
    stopped: &watch::Receiver<bool>,
    buyers: &mut JoinSet<Vec<Purchase>>,
) -> Result<()> {
    let mut socket = Arc::new(fleet.create_caller()?);
    let next = Arc::new(AtomicUsize::new(0));
    for number in 0..callers {
        if number > 0 && number % CALLERS_PER_SOCKET == 0 {
            socket = Arc::new(fleet.create_caller()?);
        }
        let buyer = Buyer::new(
            Arc::clone(&socket),
            fleet.service_address(0),
            policy,
            next.fetch_add(1, Ordering::Relaxed),
        );
        buyers.spawn(buyer.make_purchases(stopped.clone()));
    }
    Ok(())
}

/// Returns how often each idempotency key ran at the upstreams.
fn count_runs_by_key(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut ran = BTreeMap::new();
    for run in fleet.upstreams.iter().flat_map(Upstream::runs) {
        *ran.entry(run.key).or_default() += 1;
    }
    ran
}

/// Outcomes of the purchases that one group of callers made.
#[derive(Debug, Default)]
struct Counts {
    purchases: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    /// Number of purchases that ended without any answer.
    lost: usize,
    /// Number of purchases that ran more than once, over all idempotency keys of the purchase.
    ran_twice: usize,
    /// Number of idempotency keys that ran although a refusal said "not run".
    told_not_run_but_ran: usize,
    /// Number of answered purchases that never ran.
    answered_but_not_ran: usize,
    attempts: u64,
}

impl Counts {
    fn from_purchases(
        purchases: &[Purchase],
        policy: RetryPolicy,
        ran: &BTreeMap<String, usize>,
    ) -> Self {
        let mut counts = Self::default();
        let runs_of = |key: &String| ran.get(key).copied().unwrap_or_default();
        for purchase in purchases.iter().filter(|it| it.policy == policy) {
            let runs: usize = purchase.keys.iter().map(runs_of).sum();
            counts.purchases += 1;
            counts.attempts += u64::from(purchase.attempts);
            counts.ran_twice += usize::from(runs > 1);
            counts.told_not_run_but_ran += purchase
                .not_run_keys
                .iter()
                .filter(|it| runs_of(it) > 0)
                .count();
            match purchase.final_outcome {
                FinalOutcome::Answered => {
                    counts.answered += 1;
                    counts.answered_but_not_ran += usize::from(runs == 0);
                }
                FinalOutcome::NotRun => counts.not_run += 1,
                FinalOutcome::Unknown => counts.unknown += 1,
                FinalOutcome::Lost => counts.lost += 1,
            }
        }
        counts
    }

    fn percent_of_purchases(&self, count: usize) -> f64 {
        100.0 * count_to_f64(count) / count_to_f64(self.purchases.max(1))
    }
}

fn purchase_figures(
    options: &Options,
    ours: &Counts,
    never: &Counts,
    always: &Counts,
) -> Vec<Figure> {
    let at_most = |metric: &str, unit, ours: f64, baseline: f64, target: Option<f64>| Figure {
        bench: "purchases",
        metric: metric.to_owned(),
        unit,
        ours,
        baseline: Some(baseline),
        target,
        met: target.map(|it| ours <= it),
        seed: options.seed,
    };
    let zero_target = Some(0.0);
    let mut figures = vec![Figure {
        bench: "purchases",
        metric: "purchases made".to_owned(),
        unit: "purchases",
        ours: count_to_f64(ours.purchases),
        baseline: None,
        target: Some(PURCHASES_MIN),
        met: Some(count_to_f64(ours.purchases) >= PURCHASES_MIN),
        seed: options.seed,
    }];
    for (name, other) in [("never retry", never), ("always retry", always)] {
        let rows = [
            ("run twice", ours.ran_twice, other.ran_twice),
            (
                "told not run but ran",
                ours.told_not_run_but_ran,
                other.told_not_run_but_ran,
            ),
            ("answers lost", ours.lost, other.lost),
            (
                "answered but never ran",
                ours.answered_but_not_ran,
                other.answered_but_not_ran,
            ),
        ];
        for (metric, ours, other) in rows {
            let metric = format!("{metric}, beside {name}");
            figures.push(at_most(
                &metric,
                "purchases",
                count_to_f64(ours),
                count_to_f64(other),
                zero_target,
            ));
        }
        let rows = [
            (
                "outcome unknown",
                ours.percent_of_purchases(ours.unknown),
                other.percent_of_purchases(other.unknown),
            ),
            (
                "not bought",
                ours.percent_of_purchases(ours.not_run),
                other.percent_of_purchases(other.not_run),
            ),
        ];
        for (metric, ours, other) in rows {
            let metric = format!("{metric}, beside {name}");
            figures.push(at_most(&metric, "%", ours, other, None));
        }
    }
    figures
}
