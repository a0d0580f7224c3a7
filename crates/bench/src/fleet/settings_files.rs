//! Generation of the settings files of a fleet's processes.

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

/// Longest time for which a process drains before it stops.
const DRAIN_TIMEOUT_MS: Millis = Millis::new(30_000);

/// Maximum number of seed balancers that each process's settings list.
const SEED_COUNT: usize = 4;

/// Generates the settings files of a fleet's processes.
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
    /// Creates a generator of settings files in `dir`, with `root` as the fleet's secret.
    pub(crate) fn new(
        dir: PathBuf,
        addresses: AddressPlan,
        certificates: Certificates,
        operator: PublicKey,
        root: Secret,
    ) -> Result<Self> {
        let fleet_key = FleetKey::new(KeyIndex::new(0), root.clone())
            .map_err(|err| BenchError::setup("creating the fleet key", &err))?;
        Ok(Self {
            dir,
            addresses,
            certificates,
            operator,
            root,
            fleet_key,
        })
    }

    /// Returns the directory of the settings files and the processes' logs.
    pub(crate) fn run_dir(&self) -> String {
        self.dir.display().to_string()
    }

    /// Returns the fleet key, from which balancers derive the keys of every service.
    pub(crate) const fn fleet_key(&self) -> &FleetKey {
        &self.fleet_key
    }

    /// Returns the path and the JSON text of a balancer's settings.
    pub(crate) fn balancer_settings(
        &self,
        plan: &FleetPlan,
        idx: usize,
    ) -> Result<(PathBuf, String)> {
        let name = format!("balancer-{idx}");
        let seeds = (0..plan.balancers).filter(|&it| it != idx).take(SEED_COUNT);
        let seeds: Vec<usize> = seeds.collect();
        let settings = BalancerSettings {
            instance: parse_instance(&name)?,
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
            fleet_keys: vec![shared_key(self.fleet_key.index(), &self.root.expose_hex())?],
            operator_keys: vec![self.operator.clone()],
            root_keys: Vec::new(),
            tls: self.certificates.process.clone(),
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
            statsd_address: None,
        };
        self.path_and_json(&name, &settings)
    }

    /// Returns the path and the JSON text of an agent's settings.
    pub(crate) fn agent_settings(&self, plan: &FleetPlan, idx: usize) -> Result<(PathBuf, String)> {
        let name = format!("agent-{idx}");
        let service_idx = plan.service_of(idx);
        let service = service_id(service_idx);
        let secret = self.fleet_key.service_secret(service).expose_hex();
        let seeds = 0..plan.balancers.min(SEED_COUNT);
        let settings = AgentSettings {
            instance: parse_instance(&name)?,
            zone: FleetPlan::zone(plan.services[service_idx].region, idx),
            service,
            endpoint: endpoint_id(idx),
            tunnel_address: self.addresses.agent_tunnel(idx),
            control_address: self.addresses.agent_control(idx),
            upstream_address: self.addresses.upstream(idx),
            balancers: self.seed_addresses(seeds.clone(), AddressPlan::balancer_control),
            balancer_tunnels: self.seed_addresses(seeds, AddressPlan::balancer_tunnel),
            service_keys: vec![shared_key(self.fleet_key.index(), &secret)?],
            operator_keys: vec![self.operator.clone()],
            root_keys: Vec::new(),
            tls: self.certificates.process.clone(),
            caller_tls: self.certificates.caller.clone(),
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
            statsd_address: None,
        };
        self.path_and_json(&name, &settings)
    }

    /// Returns the path and the JSON text of the operators' settings.
    pub(crate) fn operator_settings(
        &self,
        plan: &FleetPlan,
        agents: usize,
    ) -> Result<(PathBuf, String)> {
        let mut processes = Vec::with_capacity(plan.balancers + agents);
        for idx in 0..plan.balancers {
            processes.push(ProcessAddress {
                instance: parse_instance(&format!("balancer-{idx}"))?,
                control_address: self.addresses.balancer_control(idx),
            });
        }
        for idx in 0..agents {
            processes.push(ProcessAddress {
                instance: parse_instance(&format!("agent-{idx}"))?,
                control_address: self.addresses.agent_control(idx),
            });
        }
        let settings = OperatorSettings {
            processes,
            tls: self.certificates.process.clone(),
            operator_keys: vec![self.operator.clone()],
        };
        self.path_and_json("operator", &settings)
    }

    fn seed_addresses(
        &self,
        seeds: std::ops::Range<usize>,
        address: fn(AddressPlan, usize) -> SocketAddr,
    ) -> Vec<SocketAddr> {
        seeds.map(|idx| address(self.addresses, idx)).collect()
    }

    fn path_and_json<S: Serialize>(&self, name: &str, settings: &S) -> Result<(PathBuf, String)> {
        let json = serde_json::to_string_pretty(settings)
            .map_err(|err| BenchError::setup("writing settings", &err))?;
        Ok((self.dir.join(format!("{name}.json")), json))
    }
}

fn parse_instance(name: &str) -> Result<InstanceId> {
    name.parse()
        .map_err(|err: ParseUnitError| BenchError::setup("naming an instance", &err))
}

fn shared_key(index: KeyIndex, hex: &str) -> Result<SharedKey> {
    let key: SecretKey = hex
        .parse()
        .map_err(|err: SettingsError| BenchError::setup("reading a key", &err))?;
    Ok(SharedKey { index, key })
}
