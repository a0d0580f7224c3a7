//! Members controllers and responders over loopback datagrams, all in this process.
//!
//! For figures that need faults no real process can be given: datagrams lost at a given rate, and
//! hundreds of agents at once.

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

/// The one service of the fleet.
const SERVICE: ServiceId = ServiceId::new(1);

/// Faults that every datagram of the fleet meets.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Share of datagrams lost, in percent.
    pub(crate) loss_percent: AtomicU32,
}

/// State of one process, written by the bench and read by its sockets.
#[derive(Debug, Default)]
pub(crate) struct Switches {
    /// Nothing is received while set; the sockets keep what arrives.
    pub(crate) is_paused: AtomicBool,
    /// Nothing is received any more.
    pub(crate) is_dead: AtomicBool,
    /// Bytes sent and received, with headers of IP and UDP.
    pub(crate) bytes: AtomicU64,
}

/// An agent that answers probes.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) spec: AgentSpec,
    pub(crate) switches: Arc<Switches>,
    _responder: ResponderHandle,
}

/// A balancer's members controller.
#[derive(Debug)]
pub(crate) struct Balancer {
    pub(crate) handle: MembersHandle,
    pub(crate) switches: Arc<Switches>,
    /// In the order of the agents.
    cells: Vec<Arc<EndpointStatus>>,
}

impl Balancer {
    /// Returns whether new work may go to an agent.
    pub(crate) fn uses(&self, agent: usize) -> bool {
        self.cells[agent].liveness() == Liveness::Alive
    }
}

/// A fleet in this process.
#[derive(Debug)]
pub(crate) struct Loopback {
    pub(crate) agents: Vec<Agent>,
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) faults: Arc<Faults>,
}

impl Loopback {
    /// Starts a fleet.
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
        let switches = Arc::new(Switches::default());
        let socket = link::Socket::bind(&switches, &self.faults, keys).await?;
        let address = socket.address();
        let endpoint = endpoint(idx);
        let config = ResponderConfig {
            endpoint,
            service: SERVICE,
            incarnation: Incarnation::new(1),
        };
        let link = socket.link(mix(seed, idx, 1));
        let responder = start_responder(config, link)
            .await
            .map_err(|err| BenchError::setup("starting a responder", &err))?;
        Ok(Agent {
            spec: AgentSpec {
                endpoint,
                service: SERVICE,
                address,
            },
            switches,
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
        let switches = Arc::new(Switches::default());
        let socket = link::Socket::bind(&switches, &self.faults, keys).await?;
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
            .with_random_seed(mix(seed, idx, 2));
        seeds.push(address);
        let handle = start_members(config, socket.link(mix(seed, idx, 3)))
            .await
            .map_err(|err| BenchError::setup("starting a members controller", &err))?;
        let mut registry = EndpointRegistry::new();
        let links = self.agents.iter().map(|it| MonitoredAgent {
            spec: it.spec,
            cell: registry.get_or_insert(it.spec.endpoint),
        });
        let links: Vec<_> = links.collect();
        let cells = links.iter().map(|it| Arc::clone(&it.cell)).collect();
        handle.set_agents(links);
        Ok(Balancer {
            handle,
            switches,
            cells,
        })
    }

    /// Sets the share of datagrams that are lost.
    pub(crate) fn set_loss(&self, percent: u32) {
        self.faults.loss_percent.store(percent, Ordering::Relaxed);
    }
}

impl Drop for Loopback {
    fn drop(&mut self) {
        for it in &self.balancers {
            it.handle.stop_controller();
            it.switches.is_dead.store(true, Ordering::Relaxed);
        }
        for it in &self.agents {
            it.switches.is_dead.store(true, Ordering::Relaxed);
        }
    }
}

/// Keys of the fleet and its service.
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

fn endpoint(idx: usize) -> EndpointId {
    EndpointId::new(u32::try_from(idx).unwrap_or(u32::MAX))
}

/// Makes a seed for one use of one process.
fn mix(seed: u64, idx: usize, usage: u64) -> u64 {
    let idx = u64::try_from(idx).unwrap_or(u64::MAX);
    seed.wrapping_mul(1_000_003)
        .wrapping_add(idx.wrapping_mul(8).wrapping_add(usage))
}
