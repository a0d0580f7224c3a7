//! Purchases while agents die, pause and come back, packets are lost and callers repeat.
//!
//! Three groups of callers buy in the same run: ours repeat as the answers allow, the others never
//! or always. What ran is counted from what the upstreams saw.

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

use super::Entry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
};

use buyer::{Buyer, Fate, Policy, Purchase};

/// Purchases of our group that are asked for.
const PURCHASES_MIN: f64 = 20_000.0;

/// Balancers in the fleet.
const BALANCERS: usize = 3;

/// Callers of our group and of each baseline.
const CALLERS: usize = 240;
const BASELINE_CALLERS: usize = 16;

/// Callers that share one socket.
const CALLERS_PER_SOCKET: usize = 16;

/// Longest load, so that the bench ends within a minute.
const LOAD_MAX_SECONDS: u64 = 38;

/// Time for agents to know of keys that were sent after they started.
const WARM_UP: Duration = Duration::from_secs(3);

/// The bench.
pub(super) const BENCH: Entry = Entry {
    name: "purchases",
    about: "purchases run twice, told not run but run, or without an answer, under faults",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure(options))
}

async fn measure(options: &Options) -> Result<Vec<Figure>> {
    let load = Duration::from_secs(options.seconds.min(LOAD_MAX_SECONDS));
    let mut fleet = Fleet::start(FleetPlan::ledger(BALANCERS), options.seed).await?;
    tokio::time::sleep(WARM_UP).await;
    let (stop, stopped) = watch::channel(false);
    let mut buyers = JoinSet::new();
    for (policy, callers) in [
        (Policy::AsTold, CALLERS),
        (Policy::Never, BASELINE_CALLERS),
        (Policy::Always, BASELINE_CALLERS),
    ] {
        start(&fleet, policy, callers, &stopped, &mut buyers)?;
    }
    faults::make(&mut fleet, options.seed, load).await?;
    stop.send_replace(true);
    let mut purchases = Vec::new();
    while let Some(bought) = buyers.join_next().await {
        purchases.extend(bought.unwrap_or_default());
    }
    let ran = keys_ran(&fleet);
    let count = |policy| Counts::of(&purchases, policy, &ran);
    let ours = count(Policy::AsTold);
    let never = count(Policy::Never);
    let always = count(Policy::Always);
    eprintln!("ours {ours:?}\nnever retry {never:?}\nalways retry {always:?}");
    Ok(figures(options, &ours, &never, &always))
}

fn start(
    fleet: &Fleet,
    policy: Policy,
    callers: usize,
    stopped: &watch::Receiver<bool>,
    buyers: &mut JoinSet<Vec<Purchase>>,
) -> Result<()> {
    let mut socket = Arc::new(fleet.new_caller()?);
    let next = Arc::new(AtomicUsize::new(0));
    for number in 0..callers {
        if number > 0 && number % CALLERS_PER_SOCKET == 0 {
            socket = Arc::new(fleet.new_caller()?);
        }
        let buyer = Buyer::new(
            Arc::clone(&socket),
            fleet.service_address(0),
            policy,
            next.fetch_add(1, Ordering::Relaxed),
        );
        buyers.spawn(buyer.run(stopped.clone()));
    }
    Ok(())
}

/// Returns how often each key ran, by what the upstreams saw.
fn keys_ran(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut ran = BTreeMap::new();
    for run in fleet.upstreams.iter().flat_map(Upstream::runs) {
        *ran.entry(run.key).or_default() += 1;
    }
    ran
}

/// What came of a group's purchases.
#[derive(Debug, Default)]
struct Counts {
    purchases: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    /// Ended without any answer.
    lost: usize,
    /// Ran more than once, over all keys of the purchase.
    ran_twice: usize,
    /// Keys told "not run" that ran.
    denied_but_ran: usize,
    /// Answered purchases that never ran.
    answered_but_not_ran: usize,
    attempts: u64,
}

impl Counts {
    fn of(purchases: &[Purchase], policy: Policy, ran: &BTreeMap<String, usize>) -> Self {
        let mut counts = Self::default();
        let runs_of = |key: &String| ran.get(key).copied().unwrap_or_default();
        for purchase in purchases.iter().filter(|it| it.policy == policy) {
            let runs: usize = purchase.keys.iter().map(runs_of).sum();
            counts.purchases += 1;
            counts.attempts += u64::from(purchase.attempts);
            counts.ran_twice += usize::from(runs > 1);
            counts.denied_but_ran += purchase.denied.iter().filter(|it| runs_of(it) > 0).count();
            match purchase.fate {
                Fate::Answered => {
                    counts.answered += 1;
                    counts.answered_but_not_ran += usize::from(runs == 0);
                }
                Fate::NotRun => counts.not_run += 1,
                Fate::Unknown => counts.unknown += 1,
                Fate::Lost => counts.lost += 1,
            }
        }
        counts
    }

    fn percent(&self, count: usize) -> f64 {
        100.0 * count_to_f64(count) / count_to_f64(self.purchases.max(1))
    }
}

fn figures(options: &Options, ours: &Counts, never: &Counts, always: &Counts) -> Vec<Figure> {
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
    let none = Some(0.0);
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
                ours.denied_but_ran,
                other.denied_but_ran,
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
                none,
            ));
        }
        let rows = [
            (
                "outcome unknown",
                ours.percent(ours.unknown),
                other.percent(other.unknown),
            ),
            (
                "not bought",
                ours.percent(ours.not_run),
                other.percent(other.not_run),
            ),
        ];
        for (metric, ours, other) in rows {
            let metric = format!("{metric}, beside {name}");
            figures.push(at_most(&metric, "%", ours, other, None));
        }
    }
    figures
}
