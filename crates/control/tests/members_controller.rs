//! The members controller over real datagrams: balancers meet, agents die, leave and are told.

#[path = "support/udp_link.rs"]
mod udp_link;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use control::{
    members::{AgentLink, MembersConfig, MembersHandle, start_members},
    responder::{ResponderConfig, ResponderHandle, start_responder},
};
use flow::{
    key::FLEET_SCOPE,
    table::{Board, EndpointCell, Liveness},
};
use membership::{AgentSpec, BalancerInfo, Condition};
use timeline::{Event, Peer, Recorder, Stamp};
use udp_link::udp_link;
use units::{EndpointId, Incarnation, ServiceId};

const SERVICE: ServiceId = ServiceId::new(1);

/// Bound on waiting for what must happen.
const PATIENCE: Duration = Duration::from_secs(20);

struct Balancer {
    handle: MembersHandle,
    recorder: Recorder,
    cells: Vec<Arc<EndpointCell>>,
}

/// Starts agents; dropping their links stops them from answering.
async fn agents(count: u32) -> Vec<(AgentSpec, ResponderHandle)> {
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

async fn balancers(count: u16, agents: &[AgentSpec]) -> Vec<Balancer> {
    let mut balancers = Vec::new();
    let mut seeds = Vec::new();
    for idx in 0..count {
        let (address, link) = udp_link(&[FLEET_SCOPE, SERVICE]).await;
        let introduction = BalancerInfo {
            name: format!("b-{idx}").parse().unwrap(),
            address,
            control_address: SocketAddr::from(([127, 0, 0, 9], 7_000 + idx)),
        };
        let recorder = Recorder::new();
        let config = MembersConfig::new(introduction, Incarnation::new(1), recorder.clone())
            .with_seeds(seeds.clone(), Vec::new())
            .with_random_seed(u64::from(idx));
        seeds.push(address);
        let handle = start_members(config, link).await.unwrap();
        let mut board = Board::new();
        let link = |&spec: &AgentSpec| AgentLink {
            spec,
            cell: board.cell(spec.endpoint),
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
    let res = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(res.is_ok(), "{what}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn death_and_leaving() {
    let agents = agents(4).await;
    let specs: Vec<_> = agents.iter().map(|it| it.0).collect();
    let mut missing = specs.clone();
    // Nobody listens at this address: the endpoint is dead from the start.
    let (address, dropped) = udp_link(&[SERVICE]).await;
    drop(dropped);
    missing.push(AgentSpec {
        endpoint: EndpointId::new(9),
        service: SERVICE,
        address,
    });
    let balancers = balancers(3, &missing).await;
    let knows_all = |it: &Balancer| it.handle.view().balancers.len() == 2;
    wait_for("balancers meet", || balancers.iter().all(knows_all)).await;
    let addresses = balancers[0].handle.control_addresses().borrow().clone();
    assert_eq!(addresses.len(), 2);

    let is_dead = |it: &Balancer| it.cells[4].liveness() == Liveness::Dead;
    wait_for("the dead agent is out", || balancers.iter().all(is_dead)).await;
    let others_live = |it: &Balancer| {
        let view = it.handle.view();
        view.endpoints[..4]
            .iter()
            .all(|it| it.condition == Condition::Alive)
    };
    assert!(balancers.iter().all(others_live));
    let (entries, _dropped) = balancers[0].recorder.events_since(Stamp::default());
    let peer = Peer::Endpoint(EndpointId::new(9));
    assert!(
        entries
            .iter()
            .any(|it| it.event == Event::PeerSuspected { peer: peer.clone() })
    );

    agents[2].1.leave();
    let is_told = |it: &Balancer| it.cells[2].is_leaving();
    wait_for("the leaving agent is known", || {
        balancers.iter().all(is_told)
    })
    .await;
    assert!(!agents[0].1.balancers().is_empty());
}

/// A balancer that sends to a dead agent finds out by itself, though it may not be a watcher.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unanswered_traffic() {
    let (address, dropped) = udp_link(&[SERVICE]).await;
    drop(dropped);
    let dead = AgentSpec {
        endpoint: EndpointId::new(1),
        service: SERVICE,
        address,
    };
    let living = agents(1).await;
    let balancers = balancers(1, &[living[0].0, dead]).await;
    let is_out = || {
        balancers[0].cells[1].note_sent();
        balancers[0].cells[1].liveness() != Liveness::Alive
    };
    wait_for("the dead agent is out", is_out).await;
    assert_eq!(balancers[0].cells[0].liveness(), Liveness::Alive);
}
