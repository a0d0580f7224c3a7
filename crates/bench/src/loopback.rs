//! A fleet of membership controllers and probe responders in this process, linked over loopback.
//!
//! The fleet serves benches that real processes can't: those with random loss of datagrams or with
//! hundreds of agents.

mod heartbeat;
mod link;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use control::{
    members::{MembersConfig, MembersHandle, MonitoredAgent, start_members},
    responder::{ResponderConfig, ResponderHandle, start_responder},
};
use flow::{
    key::{FLEET_SCOPE, FleetKey, Secret, ServiceKeys},
    table::{EndpointRegistry, EndpointStatus, Liveness},
    tunnel::KeyRing,
};
use membership::{AgentSpec, BalancerInfo};
use timeline::Recorder;
use units::{EndpointId, Incarnation, KeyIndex, ServiceId};

use crate::error::{BenchError, Result};

pub(crate) use self::heartbeat::Heartbeats;

/// Id of the only service of the in-process fleet.
const SERVICE: ServiceId = ServiceId::new(1);

/// Faults applied to all datagrams of the fleet.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Share of the fleet's datagrams that are lost, in percent.
    pub(crate) loss_percent: AtomicU32,
}

/// Simulated state of an in-process balancer or agent, set by the bench and applied by the sockets.
#[derive(Debug, Default)]
pub(crate) struct ProcessState {
    /// Whether the process is paused: it receives nothing, and its sockets buffer datagrams
    /// meanwhile.
    pub(crate) is_paused: AtomicBool,
    /// Whether the process is dead: it has stopped receiving for good.
    pub(crate) is_dead: AtomicBool,
    /// Bytes that the process sent and received, with IP and UDP headers.
    pub(crate) bytes: AtomicU64,
}

/// An in-process agent, which only responds to liveness probes.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) spec: AgentSpec,
    pub(crate) state: Arc<ProcessState>,
    _responder: ResponderHandle,
}

/// An in-process balancer, which runs only the membership controller.
#[derive(Debug)]
pub(crate) struct Balancer {
    pub(crate) handle: MembersHandle,
    pub(crate) state: Arc<ProcessState>,
    /// The balancer's status of each endpoint, in the order of the fleet's agents.
    endpoint_statuses: Vec<Arc<EndpointStatus>>,
}

impl Balancer {
    /// Returns whether the balancer considers an agent alive and may send it new flows.
    pub(crate) fn may_send_to(&self, agent: usize) -> bool {
        self.endpoint_statuses[agent].liveness() == Liveness::Alive
    }
}

/// A fleet of balancers and agents in this process, which stop when the fleet is dropped.
#[derive(Debug)]
pub(crate) struct LoopbackFleet {
    pub(crate) agents: Vec<Agent>,
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) faults: Arc<Faults>,
}

impl LoopbackFleet {
    /// Starts the agents and then the balancers. Each balancer has all earlier balancers as seeds.
    pub(crate) async fn start(balancers: usize, agents: usize, seed: u64) -> Result<Self> {
        let faults = Arc::new(Faults::default());
        let keys = Arc::new(Keys::new()?);
        let mut fleet = Self {
            agents: Vec::with_capacity(agents),
            balancers: Vec::with_capacity(balancers),
            faults,
        };
        for idx in 0..agents {
            let agent = fleet.start_agent(idx, &keys, seed).await?;
            fleet.agents.push(agent);
        }
        let mut seeds = Vec::new();
        for idx in 0..balancers {
            let balancer = fleet.start_balancer(idx, &keys, &mut seeds, seed).await?;
            fleet.balancers.push(balancer);
        }
        Ok(fleet)
    }

    async fn start_agent(&self, idx: usize, keys: &Arc<Keys>, seed: u64) -> Result<Agent> {
        let state = Arc::new(ProcessState::default());
        let socket = link::Socket::bind(&state, &self.faults, keys).await?;
        let address = socket.address();
        let endpoint = endpoint_id(idx);
        let config = ResponderConfig {
            endpoint,
            service: SERVICE,
            incarnation: Incarnation::new(1),
        };
        let link = socket.into_link(derive_seed(seed, idx, 1));
        let responder = start_responder(config, link)
            .await
            .map_err(|err| BenchError::setup("starting a responder", &err))?;
        Ok(Agent {
            spec: AgentSpec {
                endpoint,
                service: SERVICE,
                address,
            },
            state,
            _responder: responder,
        })
    }

    async fn start_balancer(
        &self,
        idx: usize,
        keys: &Arc<Keys>,
        seeds: &mut Vec<SocketAddr>,
        seed: u64,
    ) -> Result<Balancer> {
        let state = Arc::new(ProcessState::default());
        let socket = link::Socket::bind(&state, &self.faults, keys).await?;
        let address = socket.address();
        let name = format!("balancer-{idx}");
        let introduction = BalancerInfo {
            name: name
                .parse()
                .map_err(|err| BenchError::setup("naming a balancer", &err))?,
            address,
            control_address: address,
        };
        let config = MembersConfig::new(introduction, Incarnation::new(1), Recorder::new())
            .with_seeds(seeds.clone(), Vec::new())
            .with_random_seed(derive_seed(seed, idx, 2));
        seeds.push(address);
        let handle = start_members(config, socket.into_link(derive_seed(seed, idx, 3)))
            .await
            .map_err(|err| BenchError::setup("starting a members controller", &err))?;
        let mut registry = EndpointRegistry::new();
        let links = self.agents.iter().map(|it| MonitoredAgent {
            spec: it.spec,
            cell: registry.get_or_insert(it.spec.endpoint),
        });
        let links: Vec<_> = links.collect();
        let endpoint_statuses = links.iter().map(|it| Arc::clone(&it.cell)).collect();
        handle.set_agents(links);
        Ok(Balancer {
            handle,
            state,
            endpoint_statuses,
        })
    }

    /// Sets the share of the fleet's datagrams that are lost, in percent.
    pub(crate) fn set_loss_percent(&self, percent: u32) {
        self.faults.loss_percent.store(percent, Ordering::Relaxed);
    }
}

impl Drop for LoopbackFleet {
    fn drop(&mut self) {
        for it in &self.balancers {
            it.handle.stop_controller();
            it.state.is_dead.store(true, Ordering::Relaxed);
        }
        for it in &self.agents {
            it.state.is_dead.store(true, Ordering::Relaxed);
        }
    }
}

/// Tunnel keys of the fleet and its service.
#[derive(Debug)]
struct Keys {
    fleet: ServiceKeys,
    service: ServiceKeys,
}

impl Keys {
    fn new() -> Result<Self> {
        let failed = |err: flow::key::KeyError| BenchError::setup("deriving keys", &err);
        let root = FleetKey::new(KeyIndex::new(0), Secret::new([7; 32])).map_err(failed)?;
        Ok(Self {
            fleet: ServiceKeys::derive(&root, &[], FLEET_SCOPE).map_err(failed)?,
            service: ServiceKeys::derive(&root, &[], SERVICE).map_err(failed)?,
        })
    }
}

impl KeyRing for Keys {
    fn keys(&self, service: ServiceId) -> Option<&ServiceKeys> {
        match service {
            FLEET_SCOPE => Some(&self.fleet),
            SERVICE => Some(&self.service),
            _ => None,
        }
    }
}

fn endpoint_id(idx: usize) -> EndpointId {
    EndpointId::new(u32::try_from(idx).unwrap_or(u32::MAX))
}

/// Derives the random seed of one process for one purpose from the bench's seed.
fn derive_seed(seed: u64, idx: usize, purpose: u64) -> u64 {
    let idx = u64::try_from(idx).unwrap_or(u64::MAX);
    seed.wrapping_mul(1_000_003)
        .wrapping_add(idx.wrapping_mul(8).wrapping_add(purpose))
}
