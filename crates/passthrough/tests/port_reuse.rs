//! Callers that use their ports again for another flow.

mod support;

use passthrough::{EndpointState, Event};
use support::{
    Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet,
    open_flow::{OpenFlow, closing_network, open, set_state, try_open},
};

/// Number of endpoints in most networks.
const ENDPOINTS: u8 = 6;

/// Pauses after which a port is used again: at once, and after agents and balancers have forgotten the
/// flow that ended.
const PAUSES_MS: [u64; 2] = [10, 4_100];

/// Lets a caller have a flow that ends at each of the endpoints, with pauses after each, and then opens
/// one at the endpoint that is left.
fn open_after_ended_flows(network: &mut SimNetwork, number: u16, pause_ms: u64) -> OpenFlow {
    let caller = caller(number);
    let mut opening = 1_000;
    for _ in 0..ENDPOINTS - 1 {
        let mut ended = open(network, 0, caller, opening);
        assert!(ended.request(network, 0, 20));
        ended.close(network, 0);
        set_state(network, &[0], ended.holder, EndpointState::Draining);
        network.advance_ms(pause_ms);
        opening += 10_000_000;
    }
    open(network, 0, caller, opening)
}

/// What happens between the end of the earlier flows and the lookup of the later one.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Between {
    Nothing,
    /// The agents forget the flows that have ended.
    MemoryEnds,
    AgentsRestart,
    /// All agents but the holder's restart.
    OtherAgentsRestart,
    OneAgentRestarts,
}

/// Guards against resets by endpoints at which an earlier flow of the same addresses has ended, and
/// against taking their answers for proof that they hold the later one (`review/7`).
#[test]
fn ended_flows_reset_no_later_flow() {
    for between in [
        Between::Nothing,
        Between::MemoryEnds,
        Between::AgentsRestart,
        Between::OtherAgentsRestart,
        Between::OneAgentRestarts,
    ] {
        for (number, pause_ms) in (0..4).zip(PAUSES_MS.into_iter().cycle()) {
            let mut network = closing_network(2, ENDPOINTS);
            let mut flow = open_after_ended_flows(&mut network, number, pause_ms);
            // The later flow stays open for several requests.
            for endpoint in network.endpoints.values_mut() {
                endpoint.closes_after_answer = false;
            }
            assert!(flow.request(&mut network, 0, 20));
            let restarted = match between {
                Between::Nothing => Vec::new(),
                Between::MemoryEnds => {
                    network.advance_ms(4_000);
                    Vec::new()
                }
                Between::AgentsRestart => (0..ENDPOINTS).collect(),
                Between::OtherAgentsRestart => {
                    (0..ENDPOINTS).filter(|it| *it != flow.holder).collect()
                }
                Between::OneAgentRestarts => vec![(flow.holder + 1) % ENDPOINTS],
            };
            for agent in restarted {
                network.start_agent(agent, SERVICE);
            }
            network.start_balancer(1);
            network.advance_ms(1_100);
            let case = format!("{between:?}, caller {number}");
            for request in 0..3 {
                let is_answered = flow.request(&mut network, 1, 190);
                assert!(is_answered, "{case}, request {request}");
                assert_eq!(network.reset_count(flow.caller), 0, "{case}");
            }
        }
    }
}

/// Guards against the reset of an ended flow that answers a lookup after the agent has restarted, which
/// knows nothing of the lookup (seed 1302 of `reuse_in_disorder`).
#[test]
fn agents_that_restart_during_a_lookup_pass_no_reset_on() {
    for restart_after_ms in 0..8 {
        for ends_flow in [false, true] {
            let mut network = closing_network(2, ENDPOINTS);
            let mut flow = open_after_ended_flows(&mut network, 1, 4_100);
            for endpoint in network.endpoints.values_mut() {
                endpoint.closes_after_answer = ends_flow;
            }
            assert!(flow.request(&mut network, 0, 20));
            network.start_balancer(1);
            network.advance_ms(1_100);
            let before = network.received.len();
            flow.expected += u32::from(ends_flow) * 40;
            let flags = if ends_flow { Flags::FIN } else { Flags::ACK };
            flow.send(&mut network, 1, flags, if ends_flow { 0 } else { 10 });
            network.advance_ms(restart_after_ms);
            for number in (0..ENDPOINTS).filter(|it| *it != flow.holder) {
                network.start_agent(number, SERVICE);
            }
            network.advance_ms(190);
            let case = format!("after {restart_after_ms} ms, ends: {ends_flow}");
            assert_eq!(network.reset_count(flow.caller), 0, "{case}");
            let received = network.received[before..].iter();
            let acknowledgements = received.filter(|it| it.1.data_bytes == 0).count();
            assert!(acknowledgements <= 1, "{case}: only the holder answers");
        }
    }
}

/// Guards against an acknowledgement of a later flow's FIN by an endpoint that ended an earlier flow:
/// the true endpoint must get the FIN.
#[test]
fn fin_reaches_the_endpoint_of_its_flow() {
    for (restarts_agents, pause_ms) in [(false, 10), (false, 4_100), (true, 10), (true, 4_100)] {
        let mut network = closing_network(2, ENDPOINTS);
        let mut flow = open_after_ended_flows(&mut network, 1, pause_ms);
        assert!(flow.request(&mut network, 0, 20));
        if restarts_agents {
            for number in 0..ENDPOINTS {
                network.start_agent(number, SERVICE);
            }
        }
        network.start_balancer(1);
        network.advance_ms(1_100);
        let holder = agent_ip(flow.holder);
        let before = network.endpoints[&holder].ended_flows;
        flow.close(&mut network, 1);
        network.advance_ms(200);
        assert_eq!(network.endpoints[&holder].ended_flows, before + 1);
    }
}

/// Guards against a reset by an agent that remembers an earlier open flow of the same addresses, which
/// its endpoint has forgotten.
#[test]
fn forgotten_flow_resets_no_later_one() {
    for stale_cache in [false, true] {
        let mut network = SimNetwork::new(2, ENDPOINTS);
        let mut earlier = open(&mut network, 0, caller(1), 1_000);
        assert!(earlier.request(&mut network, 0, 20));
        // The other balancer remembers the earlier flow, too.
        assert!(earlier.request(&mut network, 1, 50));
        let endpoint = network.endpoints.get_mut(&agent_ip(earlier.holder));
        endpoint.unwrap().restart();
        set_state(
            &mut network,
            &[0, 1],
            earlier.holder,
            EndpointState::Draining,
        );
        // The caller gave the earlier flow up in silence.
        let mut later = open(&mut network, 0, caller(1), 20_000_000);
        assert_ne!(later.holder, earlier.holder);
        assert!(later.request(&mut network, 0, 20));
        if !stale_cache {
            network.start_balancer(1);
            network.advance_ms(50);
        }
        for _ in 0..2 {
            assert!(later.request(&mut network, 1, 100), "{stale_cache}");
        }
        assert_eq!(network.reset_count(caller(1)), 0, "{stale_cache}");
    }
}

/// A balancer that carried an earlier flow of the same addresses leads no packet of a later one to the
/// earlier one's endpoint, even if that endpoint is silent and its agent remembers nothing.
#[test]
fn stale_cache_leads_no_packet_astray() {
    let mut network = closing_network(2, ENDPOINTS);
    let mut earlier = open(&mut network, 1, caller(1), 1_000);
    assert!(earlier.request(&mut network, 1, 20));
    let holder = earlier.holder;
    // The end of the earlier flow passes the other balancer.
    earlier.close(&mut network, 0);
    set_state(&mut network, &[0, 1], holder, EndpointState::Draining);
    for endpoint in network.endpoints.values_mut() {
        endpoint.closes_after_answer = false;
    }
    let mut later = open(&mut network, 0, caller(1), 20_000_000);
    assert!(later.request(&mut network, 0, 20));
    network.start_agent(holder, SERVICE);
    let silent = network.endpoints.get_mut(&agent_ip(holder)).unwrap();
    silent.is_unresponsive = true;
    assert!(later.request(&mut network, 1, 100));
    assert_eq!(network.reset_count(caller(1)), 0);
}

/// A flow that nobody holds is still reset, by the balancer's proof, although endpoints that ended an
/// earlier flow of its addresses would reset it at once.
#[test]
fn lost_flow_is_reset_by_proof() {
    let mut network = closing_network(1, ENDPOINTS);
    let mut flow = open_after_ended_flows(&mut network, 1, 4_100);
    assert!(flow.request(&mut network, 0, 20));
    let endpoint = network.endpoints.get_mut(&agent_ip(flow.holder));
    endpoint.unwrap().restart();
    for number in 0..ENDPOINTS {
        network.start_agent(number, SERVICE);
    }
    network.start_balancer(0);
    network.advance_ms(1_100);
    network.confirm_unchanged_catalog(0);
    flow.request(&mut network, 0, 100);
    assert_eq!(network.reset_count(caller(1)), 0, "one failed lookup");
    network.advance_ms(120);
    assert_eq!(network.reset_count(caller(1)), 1);
}

/// Guards against a verdict on a later flow that counts failed lookups of an earlier one, and against a
/// reset that a caller takes for the answer to its new opening.
#[test]
fn failed_lookup_of_an_earlier_flow_proves_nothing() {
    let mut network = SimNetwork::new(2, ENDPOINTS);
    network.advance_ms(5_000);
    let dead = encode_packet(caller(1), SERVICE_ADDRESS, Flags::ACK, 900, 4_000_000, 10);
    network.send_caller_packet(1, &dead);
    network.advance_ms(100);
    let mut later = open(&mut network, 0, caller(1), 20_000_000);
    network.isolated.insert(agent_ip(later.holder));
    later.request(&mut network, 1, 100);
    network.isolated.clear();
    assert!(later.request(&mut network, 1, 200));
    assert_eq!(network.reset_count(caller(1)), 0);

    network.confirm_unchanged_catalog(0);
    network.send_caller_packet(
        0,
        &encode_packet(caller(2), SERVICE_ADDRESS, Flags::ACK, 900, 4_000_000, 10),
    );
    network.advance_ms(100);
    for number in 0..ENDPOINTS {
        network.isolated.insert(agent_ip(number));
    }
    assert!(try_open(&mut network, 0, caller(2), 20_000_000).is_none());
    network.isolated.clear();
    network.confirm_unchanged_catalog(0);
    network.advance_ms(500);
    assert_eq!(network.reset_count(caller(2)), 0, "its opening is pending");
}

/// The bare acknowledgement of data proves the holder to an agent that has restarted, before the answer
/// to a long request comes.
#[test]
fn acknowledged_data_prove_the_holder() {
    let mut network = SimNetwork::new(2, ENDPOINTS);
    let mut flow = open(&mut network, 0, caller(1), 1_000);
    assert!(flow.request(&mut network, 0, 20));
    for endpoint in network.endpoints.values_mut() {
        endpoint.request_ms = 400;
    }
    for number in 0..ENDPOINTS {
        network.start_agent(number, SERVICE);
    }
    network.start_balancer(1);
    network.advance_ms(1_100);
    flow.send(&mut network, 1, Flags::ACK, 10);
    network.advance_ms(150);
    let mut events = network.events.iter().map(|it| it.1);
    assert!(events.any(|it| matches!(it, Event::HolderFound { .. })));
}
