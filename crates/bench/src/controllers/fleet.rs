//! Starting, killing and listening to control processes.

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, ChildStdin, ChildStdout, Command, Stdio},
    thread,
    time::Duration,
};

use bundle::PublicKey;
use tokio::sync::mpsc;

use super::{child::ChildSettings, report::Report};
use crate::{
    error::{BenchError, Result},
    fleet::Certificates,
};

/// Port of every process's calls; each has its own loopback address.
const CONTROL_PORT: u16 = 7_101;

/// Longest time a process may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// What a fleet of control processes consists of.
#[derive(Debug, Clone)]
pub(crate) struct ControllerPlan {
    /// Number of processes.
    pub(crate) count: usize,
    /// Third byte of the loopback addresses, unlike that of any other fleet of the run.
    pub(crate) group: u8,
    /// Address of the platform's service.
    pub(crate) platform: SocketAddr,
    /// Key that bundles are signed with.
    pub(crate) operator: PublicKey,
    /// Peers of each process: all of the fleet, or none for a fleet without spread.
    pub(crate) spread: Spread,
    /// Seed of every process's jitter.
    pub(crate) seed: u64,
}

/// Whether processes pass bundles on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spread {
    /// Every process knows all others.
    Peers,
    /// Each process only watches the platform.
    WatchOnly,
}

/// A running fleet of control processes; they end when dropped.
#[derive(Debug)]
pub(crate) struct ControllerFleet {
    plan: ControllerPlan,
    processes: Vec<Running>,
    certificates: Certificates,
    reports: mpsc::UnboundedReceiver<(usize, Report)>,
    reporter: mpsc::UnboundedSender<(usize, Report)>,
}

#[derive(Debug)]
struct Running {
    child: Child,
    /// The process ends when this closes.
    _stdin: ChildStdin,
}

impl ControllerFleet {
    /// Starts every process and waits until all are ready.
    pub(crate) async fn start(plan: ControllerPlan) -> Result<Self> {
        let (reporter, reports) = mpsc::unbounded_channel();
        let mut fleet = Self {
            certificates: Certificates::new()?,
            processes: Vec::new(),
            plan,
            reports,
            reporter,
        };
        for idx in 0..fleet.plan.count {
            let running = fleet.spawn(idx)?;
            fleet.processes.push(running);
        }
        let all: Vec<usize> = (0..fleet.plan.count).collect();
        fleet.wait_ready(&all).await?;
        Ok(fleet)
    }

    /// Returns the name by which the platform tells a process.
    pub(crate) fn reader(&self, idx: usize) -> String {
        format!("lovagehall/{}", self.name(idx))
    }

    /// Returns the next report and the process it is from.
    pub(crate) async fn next_report(&mut self) -> Option<(usize, Report)> {
        self.reports.recv().await
    }

    /// Kills processes at once, starts them again and returns what they reported until ready.
    pub(crate) async fn replace(&mut self, idxs: &[usize]) -> Result<Vec<(usize, Report)>> {
        for &idx in idxs {
            self.processes[idx].end();
        }
        for &idx in idxs {
            self.processes[idx] = self.spawn(idx)?;
        }
        self.wait_ready(idxs).await
    }

    async fn wait_ready(&mut self, idxs: &[usize]) -> Result<Vec<(usize, Report)>> {
        let mut missing = idxs.to_vec();
        let mut seen = Vec::new();
        while !missing.is_empty() {
            let next = tokio::time::timeout(READY_TIMEOUT, self.reports.recv()).await;
            let Ok(Some((idx, report))) = next else {
                let text = format!("control processes {missing:?} aren't ready");
                return Err(BenchError::Broken(text));
            };
            if matches!(report, Report::Ready) {
                missing.retain(|it| *it != idx);
            }
            seen.push((idx, report));
        }
        Ok(seen)
    }

    fn spawn(&self, idx: usize) -> Result<Running> {
        let path = self.write_settings(idx)?;
        let program = std::env::current_exe()
            .map_err(|err| BenchError::setup("finding this program", &err))?;
        let mut child = Command::new(program)
            .arg("control-process")
            .arg(path)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|err| BenchError::setup("starting a control process", &err))?;
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
        let (Some(stdin), Some(stdout)) = (stdin, stdout) else {
            unreachable!("both ends were asked for as pipes");
        };
        self.listen(idx, stdout);
        Ok(Running {
            child,
            _stdin: stdin,
        })
    }

    fn listen(&self, idx: usize, stdout: ChildStdout) {
        let reporter = self.reporter.clone();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines() {
                let report = line.ok().and_then(|it| serde_json::from_str(&it).ok());
                let Some(report) = report else {
                    return;
                };
                if reporter.send((idx, report)).is_err() {
                    return;
                }
            }
        });
    }

    fn write_settings(&self, idx: usize) -> Result<PathBuf> {
        let peers = match self.plan.spread {
            Spread::Peers => (0..self.plan.count).map(|it| self.address(it)).collect(),
            Spread::WatchOnly => Vec::new(),
        };
        let tls = self.certificates.process.clone();
        let settings = ChildSettings {
            instance: self
                .name(idx)
                .parse()
                .map_err(|err| BenchError::setup("naming a process", &err))?,
            control_address: self.address(idx),
            platform: self.plan.platform,
            peers,
            operator: self.plan.operator.clone(),
            ca_pem: tls.ca_pem,
            certificate_pem: tls.certificate_pem,
            key_pem: tls.key_pem,
            seed: self.plan.seed.wrapping_add(idx as u64),
        };
        let json = serde_json::to_vec(&settings)
            .map_err(|err| BenchError::setup("writing settings", &err))?;
        let dir = crate::fleet::run_dir()?;
        let path = dir.join(format!("{}.json", self.name(idx)));
        fs::write(&path, json).map_err(|err| BenchError::setup("writing settings", &err))?;
        Ok(path)
    }

    fn name(&self, idx: usize) -> String {
        format!("c{}-{idx}", self.plan.group)
    }

    fn address(&self, idx: usize) -> SocketAddr {
        let block = u8::try_from(std::process::id() % 200).unwrap_or_default() + 20;
        let host = u8::try_from(idx + 1).unwrap_or(u8::MAX);
        let ip = IpAddr::V4(Ipv4Addr::new(127, block, self.plan.group, host));
        SocketAddr::new(ip, CONTROL_PORT)
    }
}

impl Running {
    fn end(&mut self) {
        // An error means that it has ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end();
    }
}
