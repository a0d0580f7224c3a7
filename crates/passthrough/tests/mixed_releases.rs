//! Balancers and agents beside ones of the release before messages named openings and positions.

mod support;

use support::{
    SimNetwork, agent_ip, balancer_ip, caller,
    open_flow::{closing_network, open},
};

const ENDPOINTS: u8 = 6;

/// Lets the given instances be of the earlier release, and returns the network.
fn network_with_earlier(agents: &[u8], balancers: &[u8]) -> SimNetwork {
    let mut network = closing_network(2, ENDPOINTS);
    let earlier = agents.iter().map(|it| agent_ip(*it));
    network.earlier_release.extend(earlier);
    let earlier = balancers.iter().map(|it| balancer_ip(*it));
    network.earlier_release.extend(earlier);
    network
}

/// Flows survive a release that replaces instances one after the other: openings are accepted once,
/// and any balancer finds the holder of a flow.
#[test]
fn flows_survive_a_mixed_release() {
    let all: Vec<u8> = (0..ENDPOINTS).collect();
    for (agents, balancers) in [
        (vec![0, 1, 2], vec![0]),
        (all.clone(), vec![]),
        (vec![], vec![0, 1]),
    ] {
        let case = format!("agents {agents:?} and balancers {balancers:?} are earlier ones");
        let mut network = network_with_earlier(&agents, &balancers);
        for endpoint in network.endpoints.values_mut() {
            endpoint.closes_after_answer = false;
        }
        for number in 0..20 {
            let mut flow = open(&mut network, 0, caller(number), 1_000);
            assert!(flow.request(&mut network, 0, 20), "{case}, {number}");
            assert!(flow.request(&mut network, 1, 190), "{case}, {number}");
            assert!(flow.request(&mut network, 0, 190), "{case}, {number}");
            assert_eq!(network.reset_count(caller(number)), 0, "{case}");
        }
        network.advance_ms(100);
        let repeated = network.balancer(0).counters().openings_repeated;
        assert_eq!(repeated, 0, "{case}: each acceptance is heard");
    }
}

/// A lookup past a silent endpoint isn't handed to an agent of the earlier release, which would report
/// the chain's end as proof.
#[test]
fn silence_is_no_proof_in_a_mixed_release() {
    let mut network = network_with_earlier(&[1, 3, 5], &[]);
    let mut flow = open(&mut network, 0, caller(1), 1_000);
    assert!(flow.request(&mut network, 0, 20));
    let holder = network.endpoints.get_mut(&agent_ip(flow.holder)).unwrap();
    holder.is_unresponsive = true;
    network.start_agent(flow.holder, support::SERVICE);
    network.start_balancer(1);
    for _ in 0..5 {
        network.confirm_unchanged_catalog(1);
        flow.request(&mut network, 1, 300);
    }
    assert_eq!(network.reset_count(caller(1)), 0);
}
