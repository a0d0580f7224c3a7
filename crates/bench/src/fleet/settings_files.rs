//! Settings files of a fleet's processes.

use std::{net::SocketAddr, path::PathBuf};

use bundle::PublicKey;
use flow::key::{FleetKey, Secret};
use serde::Serialize;
use settings::{
    AgentSettings, BalancerSettings, OperatorSettings, ProcessAddress, SecretKey, SettingsError,
    SharedKey,
};
use units::{InstanceId, KeyIndex, Millis, ParseUnitError};

use super::{
    AddressPlan, FleetPlan,
    certificates::Certificates,
    plan::{endpoint_id, service_id},
};
use crate::error::{BenchError, Result};

/// Longest time a process of a bench may take to stop.
const DRAIN_TIMEOUT_MS: Millis = Millis::new(30_000);

/// Balancers that each process is told of at start.
const SEEDS: usize = 4;

/// Makes the settings files of a fleet's processes.
#[derive(Debug)]
pub(crate) struct SettingsFiles {
    dir: PathBuf,
    addresses: AddressPlan,
    certificates: Certificates,
    operator: PublicKey,
    root: Secret,
    fleet_key: FleetKey,
}

impl SettingsFiles {
    /// Makes files in `dir`.
    pub(crate) fn new(
        dir: PathBuf,
        addresses: AddressPlan,
        certificates: Certificates,
        operator: PublicKey,
        root: Secret,
    ) -> Result<Self> {
        let fleet_key = FleetKey::new(KeyIndex::new(0), root.clone())
            .map_err(|err| BenchError::setup("making the fleet's key", &err))?;
        Ok(Self {
            dir,
            addresses,
            certificates,
            operator,
            root,
            fleet_key,
        })
    }

    /// The folder of the files and of the processes' logs.
    pub(crate) fn dir(&self) -> String {
        self.dir.display().to_string()
    }

    /// The key that balancers derive every service's keys from.
    pub(crate) const fn fleet_key(&self) -> &FleetKey {
        &self.fleet_key
    }

    /// Path and text of a balancer's settings.
    pub(crate) fn balancer(&self, plan: &FleetPlan, idx: usize) -> Result<(PathBuf, String)> {
        let name = format!("balancer-{idx}");
        let seeds = (0..plan.balancers).filter(|&it| it != idx).take(SEEDS);
        let seeds: Vec<usize> = seeds.collect();
        let settings = BalancerSettings {
            instance: instance(&name)?,
            zone: FleetPlan::zone(plan.services[0].region, idx),
            tunnel_address: self.addresses.balancer_tunnel(idx),
            control_address: self.addresses.balancer_control(idx),
            listen_ip: Some(self.addresses.balancer_tunnel(idx).ip()),
            platform_address: self.addresses.platform(),
            peers: seeds
                .iter()
                .map(|&it| self.addresses.balancer_control(it))
                .collect(),
            peer_tunnels: seeds
                .iter()
                .map(|&it| self.addresses.balancer_tunnel(it))
                .collect(),
            fleet_keys: vec![shared(self.fleet_key.index(), &self.root.expose_hex())?],
            operator_keys: vec![self.operator.clone()],
            root_keys: Vec::new(),
            tls: self.certificates.process.clone(),
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
            statsd_address: None,
        };
        self.file(&name, &settings)
    }

    /// Path and text of an agent's settings.
    pub(crate) fn agent(&self, plan: &FleetPlan, idx: usize) -> Result<(PathBuf, String)> {
        let name = format!("agent-{idx}");
        let service_idx = plan.service_of(idx);
        let service = service_id(service_idx);
        let secret = self.fleet_key.service_secret(service).expose_hex();
        let seeds = 0..plan.balancers.min(SEEDS);
        let settings = AgentSettings {
            instance: instance(&name)?,
            zone: FleetPlan::zone(plan.services[service_idx].region, idx),
            service,
            endpoint: endpoint_id(idx),
            tunnel_address: self.addresses.agent_tunnel(idx),
            control_address: self.addresses.agent_control(idx),
            upstream_address: self.addresses.upstream(idx),
            balancers: self.seeds(seeds.clone(), AddressPlan::balancer_control),
            balancer_tunnels: self.seeds(seeds, AddressPlan::balancer_tunnel),
            service_keys: vec![shared(self.fleet_key.index(), &secret)?],
            operator_keys: vec![self.operator.clone()],
            root_keys: Vec::new(),
            tls: self.certificates.process.clone(),
            caller_tls: self.certificates.caller.clone(),
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
            statsd_address: None,
        };
        self.file(&name, &settings)
    }

    /// Path and text of the operators' settings.
    pub(crate) fn operator(&self, plan: &FleetPlan, agents: usize) -> Result<(PathBuf, String)> {
        let mut processes = Vec::with_capacity(plan.balancers + agents);
        for idx in 0..plan.balancers {
            processes.push(ProcessAddress {
                instance: instance(&format!("balancer-{idx}"))?,
                control_address: self.addresses.balancer_control(idx),
            });
        }
        for idx in 0..agents {
            processes.push(ProcessAddress {
                instance: instance(&format!("agent-{idx}"))?,
                control_address: self.addresses.agent_control(idx),
            });
        }
        let settings = OperatorSettings {
            processes,
            tls: self.certificates.process.clone(),
            operator_keys: vec![self.operator.clone()],
        };
        self.file("operator", &settings)
    }

    fn seeds(
        &self,
        seeds: std::ops::Range<usize>,
        address: fn(AddressPlan, usize) -> SocketAddr,
    ) -> Vec<SocketAddr> {
        seeds.map(|idx| address(self.addresses, idx)).collect()
    }

    fn file<S: Serialize>(&self, name: &str, settings: &S) -> Result<(PathBuf, String)> {
        let json = serde_json::to_string_pretty(settings)
            .map_err(|err| BenchError::setup("writing settings", &err))?;
        Ok((self.dir.join(format!("{name}.json")), json))
    }
}

fn instance(name: &str) -> Result<InstanceId> {
    name.parse()
        .map_err(|err: ParseUnitError| BenchError::setup("naming an instance", &err))
}

fn shared(index: KeyIndex, hex: &str) -> Result<SharedKey> {
    let key: SecretKey = hex
        .parse()
        .map_err(|err: SettingsError| BenchError::setup("reading a key", &err))?;
    Ok(SharedKey { index, key })
}
