//! The members controller over UDP: balancers join, and detect agents that die or leave.

#[path = "support/udp_link.rs"]
mod udp_link;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use control::{
    members::{MembersConfig, MembersHandle, MonitoredAgent, start_members},
    responder::{ResponderConfig, ResponderHandle, start_responder},
};
use flow::{
    key::FLEET_SCOPE,
    table::{EndpointRegistry, EndpointStatus, Liveness},
};
use membership::{AgentSpec, BalancerInfo, Condition};
use timeline::{Event, Peer, Recorder, Stamp};
use udp_link::udp_link;
use units::{EndpointId, Incarnation, ServiceId};

const SERVICE: ServiceId = ServiceId::new(1);

/// Timeout of every wait for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct Balancer {
    handle: MembersHandle,
    recorder: Recorder,
    cells: Vec<Arc<EndpointStatus>>,
}

/// Starts agents that answer probes.
async fn start_agents(count: u32) -> Vec<(AgentSpec, ResponderHandle)> {
    let mut agents = Vec::new();
    for idx in 0..count {
        let (address, link) = udp_link(&[SERVICE]).await;
        let endpoint = EndpointId::new(idx);
        let config = ResponderConfig {
            endpoint,
            service: SERVICE,
            incarnation: Incarnation::new(1),
        };
        let handle = start_responder(config, link).await.unwrap();
        let spec = AgentSpec {
            endpoint,
            service: SERVICE,
            address,
        };
        agents.push((spec, handle));
    }
    agents
}

async fn start_balancers(count: u16, agents: &[AgentSpec]) -> Vec<Balancer> {
    let mut balancers = Vec::new();
    let mut seeds = Vec::new();
    for idx in 0..count {
        let (address, link) = udp_link(&[FLEET_SCOPE, SERVICE]).await;
        let balancer_info = BalancerInfo {
            name: format!("b-{idx}").parse().unwrap(),
            address,
            control_address: SocketAddr::from(([127, 0, 0, 9], 7_000 + idx)),
        };
        let recorder = Recorder::new();
        let config = MembersConfig::new(balancer_info, Incarnation::new(1), recorder.clone())
            .with_seeds(seeds.clone(), Vec::new())
            .with_random_seed(u64::from(idx));
        seeds.push(address);
        let handle = start_members(config, link).await.unwrap();
        let mut registry = EndpointRegistry::new();
        let link = |&spec: &AgentSpec| MonitoredAgent {
            spec,
            cell: registry.get_or_insert(spec.endpoint),
        };
        let links: Vec<_> = agents.iter().map(link).collect();
        let cells = links.iter().map(|it| Arc::clone(&it.cell)).collect();
        handle.set_agents(links);
        balancers.push(Balancer {
            handle,
            recorder,
            cells,
        });
    }
    balancers
}

async fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let waiting = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let res = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(res.is_ok(), "timed out waiting until {what}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detects_dead_and_leaving_agents() {
    let agents = start_agents(4).await;
    let specs: Vec<_> = agents.iter().map(|it| it.0).collect();
    let mut with_dead = specs.clone();
    // No socket receives at this address, so the endpoint never answers.
    let (address, dropped) = udp_link(&[SERVICE]).await;
    drop(dropped);
    with_dead.push(AgentSpec {
        endpoint: EndpointId::new(9),
        service: SERVICE,
        address,
    });
    let balancers = start_balancers(3, &with_dead).await;
    let knows_all = |it: &Balancer| it.handle.view().balancers.len() == 2;
    wait_for("balancers know one another", || {
        balancers.iter().all(knows_all)
    })
    .await;
    let addresses = balancers[0]
        .handle
        .watch_control_addresses()
        .borrow()
        .clone();
    assert_eq!(addresses.len(), 2);

    let is_dead = |it: &Balancer| it.cells[4].liveness() == Liveness::Dead;
    wait_for("all balancers detect the dead agent", || {
        balancers.iter().all(is_dead)
    })
    .await;
    let others_are_alive = |it: &Balancer| {
        let view = it.handle.view();
        view.endpoints[..4]
            .iter()
            .all(|it| it.condition == Condition::Alive)
    };
    assert!(balancers.iter().all(others_are_alive));
    let (entries, _dropped) = balancers[0].recorder.events_since(Stamp::default());
    let peer = Peer::Endpoint(EndpointId::new(9));
    assert!(
        entries
            .iter()
            .any(|it| it.event == Event::PeerSuspected { peer: peer.clone() })
    );

    agents[2].1.announce_leaving();
    let knows_leaving = |it: &Balancer| it.cells[2].is_leaving();
    wait_for("all balancers know the leaving agent", || {
        balancers.iter().all(knows_leaving)
    })
    .await;
    assert!(!agents[0].1.recent_balancers().is_empty());
}

/// Checks that a balancer detects a dead agent from its own unanswered traffic.
///
/// The balancer may not be one of those that probe the agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unanswered_traffic_reveals_dead_agent() {
    let (address, dropped) = udp_link(&[SERVICE]).await;
    drop(dropped);
    let dead = AgentSpec {
        endpoint: EndpointId::new(1),
        service: SERVICE,
        address,
    };
    let alive = start_agents(1).await;
    let balancers = start_balancers(1, &[alive[0].0, dead]).await;
    let is_not_alive = || {
        balancers[0].cells[1].record_sent_batch();
        balancers[0].cells[1].liveness() != Liveness::Alive
    };
    wait_for("the balancer detects the dead agent", is_not_alive).await;
    assert_eq!(balancers[0].cells[0].liveness(), Liveness::Alive);
}
