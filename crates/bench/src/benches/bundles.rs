//! Bench `bundles`: time from the publication of a bundle until it is in force on every balancer,
//! and reverts to lower versions after restarts.
//!
//! Balancers are `lovagehall` processes. Their timelines record when each version came into force.
//! The baseline is a second fleet whose balancers watch the platform and have no peers.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rand::{SeedableRng as _, rngs::StdRng, seq::SliceRandom as _};
use stand_ins::platform::{Fault, Platform};
use units::Millis;

use super::BenchEntry;
use super::publisher::{Publication, Publisher};
use crate::{
    balancers::{BalancerFleet, BalancerPlan, BundleHistory, BundleSpread},
    error::{BenchError, Result},
    figure::{Figure, Options, block_on, count_to_f64},
};

const NAME: &str = "bundles";

/// Number of balancers in each of the two fleets.
const BALANCERS: usize = 32;

/// Number of bundle versions that are published in each publishing phase.
const CHANGES: usize = 100;

/// Number of services whose bundles are published in rotation.
const SERVICES: u16 = 4;

/// Number of balancers that still read the platform without faults when it fails for all others.
const HEALTHY_READERS: usize = 2;

/// Number of versions by which the platform's index lags behind for a stale reader.
const STALE_VERSIONS: usize = 10;

/// Number of balancers that are restarted at the same time in a rolling restart.
const RESTART_BATCH: usize = 8;

/// Target for the longest time until a published bundle is in force on every balancer.
const PROPAGATION_TARGET_MS: f64 = 5_000.0;

/// Time after a balancer's restart within which a revert to a lower bundle version shows.
const REVERT_OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// Longest wait after a phase's last publication for all published bundle versions to be in force.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Share of the run's length that each of the two publishing phases takes, in percent.
const PHASE_PERCENT: u64 = 35;

/// Registry entry of the bench `bundles`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "bundles",
    about: "time until a bundle is in force on every balancer, and reverts after restarts",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure_propagation_and_reverts(options))
}

async fn measure_propagation_and_reverts(options: &Options) -> Result<Vec<Figure>> {
    let mut bench = Bench::start(options).await?;
    let mut figures = Vec::new();
    eprintln!("bundles: publishing {CHANGES} changes while the platform is up");
    let up = bench.run_publishing_phase().await?;
    figures.extend(up.phase_figures("service up", options));
    eprintln!(
        "bundles: publishing {CHANGES} changes while {HEALTHY_READERS} of {BALANCERS} balancers \
         read the platform without faults"
    );
    bench.set_fault_for_most_readers();
    let broken = bench.run_publishing_phase().await?;
    figures.extend(broken.phase_figures("service down or stale for all but 2", options));
    eprintln!(
        "bundles: restarting balancers while the platform is {STALE_VERSIONS} versions behind"
    );
    bench.platform.set_fault(Fault::StaleBy(STALE_VERSIONS));
    bench.set_fault_for_all_readers(Fault::StaleBy(STALE_VERSIONS));
    let order = bench.order.clone();
    let batches: Vec<&[usize]> = order.chunks(RESTART_BATCH).collect();
    let rolling = bench.restart_and_count_reverts(&batches).await?;
    figures.push(rolling.reverts_figure(
        "reverts after a restart of every balancer, 8 at a time",
        options,
    ));
    let all_but_one = bench.restart_and_count_reverts(&[&order[1..]]).await?;
    figures.push(
        all_but_one.reverts_figure("reverts after a restart of all balancers but one", options),
    );
    Ok(figures)
}

/// The measured fleet, the baseline fleet and the platform that both read.
struct Bench {
    platform: Platform,
    publisher: Publisher,
    ours: BalancerFleet,
    baseline: BalancerFleet,
    interval: Duration,
    /// Number of bundles published so far, which selects the service whose bundle is published
    /// next.
    turn: usize,
    /// Indices of the balancers in random order. The first `HEALTHY_READERS` balancers still read
    /// the platform when it fails for the others. The first balancer keeps running when all others
    /// restart.
    order: Vec<usize>,
    /// Id and newest published bundle version of each service.
    newest: Vec<(u32, u64)>,
}

/// Milliseconds from each publication of a phase until the bundle was in force on every balancer;
/// `None` if it never was.
struct PhaseLatencies {
    ours: Vec<Option<f64>>,
    baseline: Vec<Option<f64>>,
}

/// Number of reverts to lower bundle versions in each fleet.
struct Reverts {
    ours: usize,
    baseline: usize,
}

impl Bench {
    async fn start(options: &Options) -> Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any)
            .await
            .map_err(|err| BenchError::setup("starting the platform", &err))?;
        let publisher = Publisher::new(SERVICES);
        let plan = BalancerPlan {
            count: BALANCERS,
            group: 11,
            platform: platform.address(),
            operator: publisher.operator_key().public(),
            spread: BundleSpread::Peers,
        };
        let watch_only = BalancerPlan {
            group: 12,
            spread: BundleSpread::PlatformOnly,
            ..plan.clone()
        };
        let interval_ms = options.seconds * 10 * PHASE_PERCENT / CHANGES as u64;
        Ok(Self {
            ours: BalancerFleet::start(plan).await?,
            baseline: BalancerFleet::start(watch_only).await?,
            platform,
            publisher,
            interval: Duration::from_millis(interval_ms.max(1)),
            turn: 0,
            order: shuffle_balancer_indices(options.seed),
            newest: (1..=u32::from(SERVICES)).map(|it| (it, 0)).collect(),
        })
    }

    /// Makes the platform appear down to some and stale to other balancers of each fleet, except
    /// for the `HEALTHY_READERS`.
    fn set_fault_for_most_readers(&self) {
        for &idx in &self.order[HEALTHY_READERS..] {
            let fault = if idx % 2 == 0 {
                Fault::Down
            } else {
                Fault::StaleBy(STALE_VERSIONS)
            };
            self.set_balancer_fault(idx, fault);
        }
    }

    fn set_fault_for_all_readers(&self, fault: Fault) {
        (0..BALANCERS).for_each(|idx| self.set_balancer_fault(idx, fault));
    }

    fn set_balancer_fault(&self, idx: usize, fault: Fault) {
        for fleet in [&self.ours, &self.baseline] {
            self.platform
                .set_reader_fault(&fleet.user_agent(idx), fault);
        }
    }

    /// Publishes a phase's bundle changes and measures when each one was in force on every
    /// balancer.
    async fn run_publishing_phase(&mut self) -> Result<PhaseLatencies> {
        let mut published = Vec::new();
        for _ in 0..CHANGES {
            let at_unix_ms = unix_now_ms();
            let publication = self
                .publisher
                .publish_next_version(self.turn, &self.platform)?;
            self.newest[self.turn % usize::from(SERVICES)].1 = publication.version;
            self.turn += 1;
            published.push((publication, at_unix_ms));
            tokio::time::sleep(self.interval).await;
        }
        self.ours
            .wait_until_versions_held(&self.newest, PROPAGATION_TIMEOUT)
            .await;
        let all: Vec<usize> = (0..BALANCERS).collect();
        Ok(PhaseLatencies {
            ours: publication_latencies_ms(&published, &self.ours.bundle_histories(&all).await?),
            baseline: publication_latencies_ms(
                &published,
                &self.baseline.bundle_histories(&all).await?,
            ),
        })
    }

    /// Restarts the balancers of both fleets batch by batch and counts reverts to lower bundle
    /// versions.
    async fn restart_and_count_reverts(&mut self, batches: &[&[usize]]) -> Result<Reverts> {
        let mut reverts = Reverts {
            ours: 0,
            baseline: 0,
        };
        for batch in batches {
            let (ours, baseline) = tokio::join!(
                self.ours.kill_and_restart(batch),
                self.baseline.kill_and_restart(batch)
            );
            ours.and(baseline)?;
            tokio::time::sleep(REVERT_OBSERVATION_TIME).await;
            for it in self.ours.bundle_histories(batch).await? {
                reverts.ours += it.count_reverted_services(&self.newest);
            }
            for it in self.baseline.bundle_histories(batch).await? {
                reverts.baseline += it.count_reverted_services(&self.newest);
            }
        }
        Ok(reverts)
    }
}

fn shuffle_balancer_indices(seed: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..BALANCERS).collect();
    order.shuffle(&mut StdRng::seed_from_u64(seed));
    order
}

/// Returns the time from each publication until the bundle was in force on every balancer, or
/// `None` if it never was.
fn publication_latencies_ms(
    published: &[(Publication, u64)],
    histories: &[BundleHistory],
) -> Vec<Option<f64>> {
    let in_force = |it: &Publication| {
        let times = histories
            .iter()
            .map(|history| history.accepted_at_unix_ms(it.service, it.version));
        times.collect::<Option<Vec<u64>>>()?.into_iter().max()
    };
    published
        .iter()
        .map(|(publication, at_unix_ms)| {
            let passed_ms = in_force(publication)?.saturating_sub(*at_unix_ms);
            Some(count_to_f64(
                usize::try_from(passed_ms).unwrap_or(usize::MAX),
            ))
        })
        .collect()
}

/// Returns the milliseconds since the Unix epoch, on the clock that all processes of the run share.
fn unix_now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from_duration(since_epoch).get()
}

impl PhaseLatencies {
    fn phase_figures(&self, state: &str, options: &Options) -> Vec<Figure> {
        let max = |of: &[Option<f64>]| {
            let all: Option<Vec<f64>> = of.iter().copied().collect();
            all.map(|it| it.into_iter().fold(0.0, f64::max))
        };
        // A bundle that never came into force on some balancer has no latency. It counts as
        // `f64::MAX`, which misses the target.
        let ours_max = max(&self.ours).unwrap_or(f64::MAX);
        let mut ours: Vec<f64> = self.ours.iter().flatten().copied().collect();
        ours.sort_by(f64::total_cmp);
        let median = ours.get(ours.len() / 2).copied().unwrap_or(f64::MAX);
        let percent = |of: &[Option<f64>]| {
            let timely = of
                .iter()
                .flatten()
                .filter(|it| **it <= PROPAGATION_TARGET_MS)
                .count();
            count_to_f64(timely) * 100.0 / count_to_f64(of.len())
        };
        let (ours_percent, baseline_percent) = (percent(&self.ours), percent(&self.baseline));
        vec![
            new_figure(
                format!("in force on every balancer, {state}, max"),
                "ms",
                (ours_max, max(&self.baseline)),
                Some(PROPAGATION_TARGET_MS),
                Some(ours_max <= PROPAGATION_TARGET_MS),
                options,
            ),
            new_figure(
                format!("in force on every balancer, {state}, median"),
                "ms",
                (median, None),
                None,
                None,
                options,
            ),
            new_figure(
                format!("changes in force on every balancer within 5 s, {state}"),
                "percent",
                (ours_percent, Some(baseline_percent)),
                Some(100.0),
                Some(ours_percent >= 100.0),
                options,
            ),
        ]
    }
}

impl Reverts {
    fn reverts_figure(&self, metric: &str, options: &Options) -> Figure {
        new_figure(
            metric.to_owned(),
            "reverts",
            (count_to_f64(self.ours), Some(count_to_f64(self.baseline))),
            Some(0.0),
            Some(self.ours == 0),
            options,
        )
    }
}

fn new_figure(
    metric: String,
    unit: &'static str,
    (ours, baseline): (f64, Option<f64>),
    target: Option<f64>,
    met: Option<bool>,
    options: &Options,
) -> Figure {
    Figure {
        bench: NAME,
        metric,
        unit,
        ours,
        baseline,
        target,
        met,
        seed: options.seed,
    }
}
