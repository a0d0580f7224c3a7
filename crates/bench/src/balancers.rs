//! Fleets of balancer processes without agents, for benches of bundle distribution.

mod history;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::{Duration, Instant},
};

use bundle::PublicKey;
use flow::key::Secret;
use settings::{BalancerSettings, SecretKey, SettingsError, SharedKey};
use units::{KeyIndex, Millis, ParseUnitError};

use crate::{
    error::{BenchError, Result},
    fleet::{Certificates, Process, StatusProbe, create_run_dir, find_lovagehall},
};

pub(crate) use self::history::BundleHistory;

/// Port of every balancer's tunnel socket; each balancer has a loopback address of its own.
const TUNNEL_PORT: u16 = 7_000;

/// Port on which every balancer serves gRPC calls.
const CONTROL_PORT: u16 = 7_001;

/// Maximum number of seed balancers that each balancer's settings list.
const SEED_COUNT: usize = 4;

/// Longest time for a balancer to drain before it stops.
const DRAIN_TIMEOUT_MS: Millis = Millis::new(1_000);

/// Longest time from a balancer's start until it serves.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two status polls of a balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Composition of a fleet of balancers without agents.
#[derive(Debug, Clone)]
pub(crate) struct BalancerPlan {
    /// Number of balancers in the fleet.
    pub(crate) count: usize,
    /// Third byte of the balancers' loopback addresses, unique among the fleets of a run.
    pub(crate) group: u8,
    /// Address of the platform's configuration service.
    pub(crate) platform: SocketAddr,
    /// Public key that bundle signatures are verified with.
    pub(crate) operator: PublicKey,
    /// Where the fleet's balancers get bundles from.
    pub(crate) spread: BundleSpread,
}

/// Where the balancers of a fleet get bundles from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BundleSpread {
    /// Balancers get bundles from the platform and from each other. Each balancer starts with a few
    /// seed balancers.
    Peers,
    /// Balancers get bundles only from the platform.
    PlatformOnly,
}

/// A running fleet of balancers; dropping the fleet kills the processes.
#[derive(Debug)]
pub(crate) struct BalancerFleet {
    plan: BalancerPlan,
    processes: Vec<Process>,
    probe: StatusProbe,
    program: PathBuf,
}

impl BalancerFleet {
    /// Starts all balancers of the fleet and waits until each one serves.
    pub(crate) async fn start(plan: BalancerPlan) -> Result<Self> {
        let certificates = Certificates::new()?;
        let mut fleet = Self {
            probe: StatusProbe::new(&certificates.process)?,
            processes: Vec::new(),
            program: find_lovagehall()?,
            plan,
        };
        for idx in 0..fleet.plan.count {
            let settings = fleet.create_settings(idx, &certificates)?;
            let json = serde_json::to_string(&settings)
                .map_err(|err| BenchError::setup("writing settings", &err))?;
            let path = create_run_dir()?.join(format!("{}.json", fleet.balancer_name(idx)));
            let process = Process::start(&fleet.program, "balancer", &path, &json)?;
            fleet.processes.push(process);
        }
        let all: Vec<usize> = (0..fleet.plan.count).collect();
        fleet.wait_until_serving(&all).await?;
        Ok(fleet)
    }

    /// Returns the `User-Agent` of a balancer's calls to the platform.
    pub(crate) fn user_agent(&self, idx: usize) -> String {
        format!("lovagehall/{}", self.balancer_name(idx))
    }

    /// Returns the process ids of all balancers.
    pub(crate) fn process_ids(&self) -> Vec<u32> {
        self.processes.iter().map(Process::id).collect()
    }

    /// Kills balancers without a drain, restarts them and waits until they serve.
    pub(crate) async fn kill_and_restart(&mut self, idxs: &[usize]) -> Result<()> {
        for &idx in idxs {
            self.processes[idx].kill();
        }
        for &idx in idxs {
            self.processes[idx].restart(&self.program)?;
        }
        self.wait_until_serving(idxs).await
    }

    /// Returns the bundles that each balancer of `idxs` accepted since its last start.
    pub(crate) async fn bundle_histories(&self, idxs: &[usize]) -> Result<Vec<BundleHistory>> {
        let mut bundle_histories = Vec::new();
        for &idx in idxs {
            let events = self
                .probe
                .query_timeline_events(self.control_address(idx))
                .await;
            let Some(events) = events else {
                let text = format!(
                    "balancer {} doesn't answer the call for its timeline; see its log",
                    self.balancer_name(idx)
                );
                return Err(BenchError::CheckFailed(text));
            };
            bundle_histories.push(BundleHistory::new(&events));
        }
        Ok(bundle_histories)
    }

    /// Waits for at most `timeout` until every balancer holds these bundle versions or newer ones.
    pub(crate) async fn wait_until_versions_held(
        &self,
        versions: &[(u32, u64)],
        timeout: Duration,
    ) {
        let deadline = Instant::now() + timeout;
        for idx in 0..self.plan.count {
            while Instant::now() < deadline && !self.holds_versions(idx, versions).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    async fn holds_versions(&self, idx: usize, versions: &[(u32, u64)]) -> bool {
        let Some(status) = self.probe.query_status(self.control_address(idx)).await else {
            return false;
        };
        versions.iter().all(|(service, version)| {
            let held = status.services.iter().find(|it| it.service == *service);
            held.is_some_and(|it| it.version >= *version)
        })
    }

    async fn wait_until_serving(&self, idxs: &[usize]) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for &idx in idxs {
            while !self.is_serving(idx).await {
                if Instant::now() > deadline {
                    let text = format!(
                        "balancer {} doesn't serve in time; see its log",
                        self.balancer_name(idx)
                    );
                    return Err(BenchError::CheckFailed(text));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_serving(&self, idx: usize) -> bool {
        let events = self
            .probe
            .query_timeline_events(self.control_address(idx))
            .await;
        events.is_some_and(|it| BundleHistory::new(&it).is_serving())
    }

    fn create_settings(&self, idx: usize, certificates: &Certificates) -> Result<BalancerSettings> {
        let seeds: Vec<usize> = match self.plan.spread {
            BundleSpread::Peers => {
                let others = (1..self.plan.count).map(|it| (idx + it) % self.plan.count);
                others.take(SEED_COUNT).collect()
            }
            BundleSpread::PlatformOnly => Vec::new(),
        };
        let name = self.balancer_name(idx);
        let instance = name
            .parse()
            .map_err(|err: ParseUnitError| BenchError::setup("naming a balancer", &err))?;
        Ok(BalancerSettings {
            instance,
            zone: "a".parse().unwrap_or_default(),
            tunnel_address: self.balancer_address(idx, TUNNEL_PORT),
            control_address: self.control_address(idx),
            listen_ip: Some(self.balancer_ip(idx)),
            platform_address: self.plan.platform,
            peers: seeds.iter().map(|it| self.control_address(*it)).collect(),
            peer_tunnels: seeds
                .iter()
                .map(|it| self.balancer_address(*it, TUNNEL_PORT))
                .collect(),
            fleet_keys: vec![fleet_key()?],
            operator_keys: vec![self.plan.operator.clone()],
            root_keys: Vec::new(),
            tls: certificates.process.clone(),
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
            statsd_address: None,
        })
    }

    fn balancer_name(&self, idx: usize) -> String {
        format!("b{}-{idx}", self.plan.group)
    }

    fn control_address(&self, idx: usize) -> SocketAddr {
        self.balancer_address(idx, CONTROL_PORT)
    }

    fn balancer_address(&self, idx: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.balancer_ip(idx), port)
    }

    fn balancer_ip(&self, idx: usize) -> IpAddr {
        let block = u8::try_from(std::process::id() % 200).unwrap_or_default() + 20;
        let host = u8::try_from(idx + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, block, self.plan.group, host))
    }
}

fn fleet_key() -> Result<SharedKey> {
    let hex = Secret::new([9; 32]).expose_hex();
    let key: SecretKey = hex
        .parse()
        .map_err(|err: SettingsError| BenchError::setup("reading a key", &err))?;
    Ok(SharedKey {
        index: KeyIndex::new(0),
        key,
    })
}
