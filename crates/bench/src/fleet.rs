//! A fleet of real processes on loopback, with test doubles of platform, upstreams and callers.
//!
//! Balancers and agents are `lovagehall` processes. The platform, upstreams and callers run inside
//! the bench program, so that results can be counted where callers and upstreams see them.

mod addresses;
mod certificates;
mod plan;
mod process;
mod settings_files;
mod status;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::Command,
    sync::Arc,
    time::{Duration, Instant},
};

use bundle::{Bundle, KeySet, SecretKey, sign_bundle, verify};
use flow::key::{FleetKey, Secret};
use stand_ins::{
    caller::{Caller, Fabric},
    middlebox::Middlebox,
    platform::Platform,
    upstream::{Behavior, Upstream},
};
use units::{BundleDigest, BundleVersion};
use wire::inspect::StatusReply;

use crate::error::{BenchError, Result};

use self::settings_files::SettingsFiles;
pub(crate) use self::{
    addresses::AddressPlan,
    certificates::{Certificates, SERVICE_NAME},
    plan::{FleetPlan, TunnelPath, endpoint_id, service_id},
    process::Process,
    status::StatusProbe,
};

/// Longest time to wait for one process or service to become ready while the fleet starts.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two readiness polls of a fleet that is starting.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running fleet of balancers and agents; dropping the fleet kills its processes.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) plan: FleetPlan,
    pub(crate) addresses: AddressPlan,
    pub(crate) platform: Platform,
    pub(crate) balancers: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) upstreams: Vec<Upstream>,
    /// The middlebox in front of each agent; empty if the fleet's plan has no middleboxes.
    pub(crate) middleboxes: Vec<Middlebox>,
    pub(crate) fabric: Arc<Fabric>,
    /// Current bundle of each service with the digest of its document, in the order of the fleet's
    /// plan.
    bundles: Vec<(Bundle, BundleDigest)>,
    certificates: Certificates,
    operator: SecretKey,
    files: SettingsFiles,
    program: PathBuf,
}

impl Fleet {
    /// Starts all processes and test doubles of `plan`, publishes the first bundles and waits until
    /// every service responds.
    pub(crate) async fn start(plan: FleetPlan, seed: u64) -> Result<Self> {
        let addresses = AddressPlan::new();
        let platform = Platform::start(addresses.platform())
            .await
            .map_err(|err| BenchError::setup("starting the platform", &err))?;
        let certificates = Certificates::new()?;
        let operator = SecretKey::new([7; 32]);
        let files = SettingsFiles::new(
            create_run_dir()?,
            addresses,
            certificates.clone(),
            operator.public(),
            Secret::new([9; 32]),
        )?;
        let mut fleet = Self {
            bundles: plan
                .bundles(addresses)
                .into_iter()
                .map(|it| (it, UNPUBLISHED_DIGEST))
                .collect(),
            plan,
            addresses,
            platform,
            balancers: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            middleboxes: Vec::new(),
            fabric: Arc::new(Fabric::new(seed)),
            certificates,
            operator,
            files,
            program: find_lovagehall()?,
        };
        fleet.start_upstreams(seed).await?;
        fleet.start_middleboxes().await?;
        for service_idx in 0..fleet.bundles.len() {
            fleet.publish_current_bundle(service_idx)?;
        }
        fleet.start_processes()?;
        fleet.route_datagrams_to_all();
        fleet.wait_until_services_respond().await?;
        Ok(fleet)
    }

    /// Creates a caller whose datagrams go through the fleet's network fabric.
    pub(crate) fn create_caller(&self) -> Result<Caller> {
        let roots = self.certificates.caller_roots()?;
        Caller::new(Arc::clone(&self.fabric), &roots)
            .map_err(|err| BenchError::setup("creating a caller", &err))
    }

    /// Returns the address to which callers connect for a service.
    pub(crate) fn service_address(&self, service_idx: usize) -> SocketAddr {
        self.bundles[service_idx].0.addresses[0]
    }

    /// Returns the current bundle of a service.
    pub(crate) fn bundle(&self, service_idx: usize) -> &Bundle {
        &self.bundles[service_idx].0
    }

    /// Changes a service's bundle, signs it as the next version and publishes it.
    pub(crate) fn publish_next_version(
        &mut self,
        service_idx: usize,
        change: impl FnOnce(&mut Bundle),
    ) -> Result<()> {
        let (bundle, digest) = &mut self.bundles[service_idx];
        change(bundle);
        bundle.version = BundleVersion::new(bundle.version.get() + 1);
        bundle.previous = Some(*digest);
        self.publish_current_bundle(service_idx)
    }

    /// Routes the callers' datagrams for every service to the balancers with these indices.
    pub(crate) fn route_datagrams_to(&self, balancers: &[usize]) {
        for service_idx in 0..self.bundles.len() {
            let sockets: Vec<SocketAddr> = balancers
                .iter()
                .map(|&idx| self.addresses.balancer_service(idx, service_idx))
                .collect();
            self.fabric
                .route_to_balancers(self.service_address(service_idx), &sockets);
        }
    }

    /// Routes the callers' datagrams for every service to all balancers.
    pub(crate) fn route_datagrams_to_all(&self) {
        let all: Vec<usize> = (0..self.balancers.len()).collect();
        self.route_datagrams_to(&all);
    }

    /// Starts a balancer again after its process has ended.
    pub(crate) fn restart_balancer(&mut self, idx: usize) -> Result<()> {
        self.balancers[idx].restart(&self.program)
    }

    /// Starts an agent again after its process has ended.
    pub(crate) fn restart_agent(&mut self, idx: usize) -> Result<()> {
        self.agents[idx].restart(&self.program)
    }

    /// Returns the fleet key, from which balancers derive the keys of every service.
    pub(crate) fn fleet_key(&self) -> &FleetKey {
        self.files.fleet_key()
    }

    /// Returns the status of every balancer that responds.
    pub(crate) async fn balancer_statuses(&self) -> Result<Vec<StatusReply>> {
        let probe = StatusProbe::new(&self.certificates.process)?;
        let mut statuses = Vec::new();
        for idx in 0..self.balancers.len() {
            statuses.extend(
                probe
                    .query_status(self.addresses.balancer_control(idx))
                    .await,
            );
        }
        Ok(statuses)
    }

    /// Returns the indices of a service's endpoints, which are also the indices of their agents and
    /// upstreams.
    pub(crate) fn endpoints_of(&self, service_idx: usize) -> std::ops::Range<usize> {
        self.plan.endpoints_of(service_idx)
    }

    /// Creates a client that queries the status of the fleet's processes.
    pub(crate) fn status_probe(&self) -> Result<StatusProbe> {
        StatusProbe::new(&self.certificates.process)
    }

    /// Returns the directory with the settings and logs of the fleet's processes.
    pub(crate) fn run_dir(&self) -> String {
        self.files.run_dir()
    }

    /// Writes the merged timeline of all processes as text and SVG files; returns the path of the
    /// text file.
    pub(crate) fn write_timeline(&self) -> Result<PathBuf> {
        let (settings_path, json) = self
            .files
            .operator_settings(&self.plan, self.agents.len())?;
        fs::write(&settings_path, json)
            .map_err(|err| BenchError::setup("writing the operators' settings", &err))?;
        let text_path = settings_path.with_file_name("timeline.txt");
        let svg_path = settings_path.with_file_name("timeline.svg");
        for (format, path) in [("text", &text_path), ("svg", &svg_path)] {
            let status = Command::new(self.program.with_file_name("lovagectl"))
                .args(["timeline", "--format", format, "--settings"])
                .arg(&settings_path)
                .arg("--out")
                .arg(path)
                .status()
                .map_err(|err| BenchError::setup("running lovagectl", &err))?;
            // `lovagectl` also exits with an error if a process is unreachable, which the timeline
            // itself reports.
            if !path.exists() {
                return Err(BenchError::setup("writing the timeline", &status));
            }
        }
        Ok(text_path)
    }

    /// Waits until a caller's connection to the service opens through the balancers that receive
    /// datagrams now.
    pub(crate) async fn wait_until_service_responds(&self, service_idx: usize) -> Result<()> {
        let caller = self.create_caller()?;
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let connecting = caller.connect(self.service_address(service_idx), SERVICE_NAME);
            if let Ok(Ok(_connection)) =
                tokio::time::timeout(START_POLL_INTERVAL * 20, connecting).await
            {
                return Ok(());
            }
            if Instant::now() > deadline {
                let name = &self.bundle(service_idx).name;
                let text = format!(
                    "service `{name}` accepts no connection; see the logs in {}",
                    self.files.run_dir()
                );
                return Err(BenchError::CheckFailed(text));
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Waits until every process holds the bundles of its services and every service responds.
    async fn wait_until_services_respond(&self) -> Result<()> {
        let probe = StatusProbe::new(&self.certificates.process)?;
        let balancers = (0..self.balancers.len()).map(|it| self.addresses.balancer_control(it));
        for address in balancers {
            self.wait_until_bundles_held(&probe, address, self.bundles.len())
                .await?;
        }
        for idx in 0..self.agents.len() {
            self.wait_until_bundles_held(&probe, self.addresses.agent_control(idx), 1)
                .await?;
        }
        for service_idx in 0..self.bundles.len() {
            self.wait_until_service_responds(service_idx).await?;
        }
        Ok(())
    }

    /// Waits until a restarted balancer holds the bundles of all services.
    pub(crate) async fn wait_until_balancer_has_bundles(&self, idx: usize) -> Result<()> {
        let probe = StatusProbe::new(&self.certificates.process)?;
        let address = self.addresses.balancer_control(idx);
        self.wait_until_bundles_held(&probe, address, self.bundles.len())
            .await
    }

    async fn wait_until_bundles_held(
        &self,
        probe: &StatusProbe,
        address: SocketAddr,
        services: usize,
    ) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let status = probe.query_status(address).await;
            if status.is_some_and(|it| it.services.len() == services) {
                return Ok(());
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
        let text = format!(
            "the process at {address} doesn't hold all expected bundles; see the logs in {}",
            self.files.run_dir()
        );
        Err(BenchError::CheckFailed(text))
    }

    fn publish_current_bundle(&mut self, service_idx: usize) -> Result<()> {
        let (bundle, digest) = &mut self.bundles[service_idx];
        let envelope = sign_bundle(bundle, &self.operator);
        let keys = KeySet::new(vec![self.operator.public()]);
        let (_, published) = verify(&keys, &envelope)
            .map_err(|err| BenchError::setup("verifying a signed bundle", &err))?;
        *digest = published;
        self.platform
            .publish_bundle(&envelope)
            .map_err(|err| BenchError::setup("publishing a bundle", &err))?;
        Ok(())
    }

    async fn start_upstreams(&mut self, seed: u64) -> Result<()> {
        let mut idx = 0;
        for service in &self.plan.services {
            for _ in 0..service.endpoints {
                let behavior = Behavior::new().with_seed(seed.wrapping_add(idx as u64));
                let address = self.addresses.upstream(idx);
                let upstream = Upstream::start_at(address, service.slots, behavior)
                    .await
                    .map_err(|err| BenchError::setup("starting an upstream", &err))?;
                self.upstreams.push(upstream);
                idx += 1;
            }
        }
        Ok(())
    }

    async fn start_middleboxes(&mut self) -> Result<()> {
        if self.plan.tunnels == TunnelPath::Direct {
            return Ok(());
        }
        for idx in 0..self.upstreams.len() {
            let (address, agent) = (
                self.addresses.middlebox(idx),
                self.addresses.agent_tunnel(idx),
            );
            let middlebox = Middlebox::start(address, agent)
                .await
                .map_err(|err| BenchError::setup("starting a middlebox", &err))?;
            self.middleboxes.push(middlebox);
        }
        Ok(())
    }

    fn start_processes(&mut self) -> Result<()> {
        for idx in 0..self.plan.balancers {
            let (path, json) = self.files.balancer_settings(&self.plan, idx)?;
            self.balancers
                .push(Process::start(&self.program, "balancer", &path, &json)?);
        }
        for idx in 0..self.upstreams.len() {
            let (path, json) = self.files.agent_settings(&self.plan, idx)?;
            self.agents
                .push(Process::start(&self.program, "agent", &path, &json)?);
        }
        Ok(())
    }
}

/// Placeholder digest of a bundle that isn't published yet.
const UNPUBLISHED_DIGEST: BundleDigest = BundleDigest::new([0; 32]);

/// Returns the path of the `lovagehall` program, which is built next to this one.
pub(crate) fn find_lovagehall() -> Result<PathBuf> {
    let own = std::env::current_exe()
        .map_err(|err| BenchError::setup("finding the lovagehall program", &err))?;
    let program = own.with_file_name("lovagehall");
    if program.exists() {
        return Ok(program);
    }
    let cause = "it isn't built; start this program through `cargo xtask`";
    Err(BenchError::setup("finding the lovagehall program", &cause))
}

/// Creates the bench process's directory for settings files and logs, under `target`, and returns
/// its path.
pub(crate) fn create_run_dir() -> Result<PathBuf> {
    let own = std::env::current_exe()
        .map_err(|err| BenchError::setup("finding the target directory", &err))?;
    let target = own
        .parent()
        .and_then(|it| it.parent())
        .map_or_else(PathBuf::new, PathBuf::from);
    let dir = target.join("fleet").join(std::process::id().to_string());
    fs::create_dir_all(&dir)
        .map_err(|err| BenchError::setup("creating the directory of settings files", &err))?;
    Ok(dir)
}
