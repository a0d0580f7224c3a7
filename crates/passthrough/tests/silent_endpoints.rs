//! Lookups past endpoints that are silent and agents that are gone.

mod support;

use std::net::SocketAddrV4;

use support::{SERVICE, SimNetwork, agent_ip, caller};

/// An open flow: its caller, the number of its endpoint and that endpoint's sequence number.
struct OpenFlow {
    caller: SocketAddrV4,
    holder: u8,
    sequence: u32,
}

/// Opens flows through the first balancer of a network of two and `endpoints` endpoints.
fn open_flows(endpoints: u8, count: u16) -> (SimNetwork, Vec<OpenFlow>) {
    let mut network = SimNetwork::new(2, endpoints);
    let mut flows = Vec::new();
    for caller in (0..count).map(caller) {
        let sequence = network
            .open_flow_with_sequence(0, caller)
            .expect("an endpoint accepts");
        network.advance_ms(20);
        let holder = network.holder_address(caller).expect("the flow is open");
        flows.push(OpenFlow {
            caller,
            holder: holder.octets()[3],
            sequence,
        });
    }
    (network, flows)
}

fn silence(network: &mut SimNetwork, silent: &[u8]) {
    for number in silent {
        let endpoint = network.endpoints.get_mut(&agent_ip(*number));
        endpoint.expect("the endpoint exists").is_unresponsive = true;
    }
}

/// Sends a request on each flow through the second balancer, and asserts that those of endpoints
/// outside `unreachable` are answered within `limit_ms`.
fn check_answers(
    network: &mut SimNetwork,
    flows: &[OpenFlow],
    unreachable: &[u8],
    pauses_ms: &[u64],
    case: &str,
) {
    let before: Vec<_> = flows
        .iter()
        .map(|it| network.answer_count(it.caller))
        .collect();
    for pause_ms in pauses_ms {
        for flow in flows {
            network.send_request(1, flow.caller, flow.sequence, 2);
        }
        network.advance_ms(*pause_ms);
    }
    for (flow, before) in flows.iter().zip(before) {
        assert_eq!(network.reset_count(flow.caller), 0, "{case}");
        if !unreachable.contains(&flow.holder) {
            let holder = flow.holder;
            let answers = network.answer_count(flow.caller);
            assert!(answers > before, "{case}: a flow of endpoint {holder}");
        }
    }
}

/// Guards against lookups that end at a silent endpoint, whose agent answers, and never ask the
/// endpoints behind it (`review/6`).
#[test]
fn silent_endpoints_hide_no_flow() {
    let mut cases: Vec<Vec<u8>> = (0..12).map(|it| vec![it]).collect();
    // First and last of a chain, neighbours, a whole chain but one, all but one.
    cases.extend([vec![0, 10], vec![4, 6], vec![0, 2, 4, 6, 8]]);
    cases.push((1..12).collect());
    for silent in cases {
        for restarts_agents in [false, true] {
            let case = format!("silent {silent:?}, agents start anew: {restarts_agents}");
            let (mut network, flows) = open_flows(12, 24);
            if restarts_agents {
                for number in 0..12 {
                    network.start_agent(number, SERVICE);
                }
            }
            network.start_balancer(1);
            network.advance_ms(1_100);
            silence(&mut network, &silent);
            // A chain has at most six agents, each of which waits for 30 ms.
            check_answers(&mut network, &flows, &silent, &[190], &case);
        }
    }
}

#[test]
fn silence_before_and_after_a_restart() {
    for silent_before_ms in [0, 400, 3_000] {
        let (mut network, flows) = open_flows(12, 24);
        silence(&mut network, &[3]);
        network.advance_ms(silent_before_ms);
        network.start_balancer(1);
        network.advance_ms(50);
        let case = format!("silent for {silent_before_ms} ms");
        check_answers(&mut network, &flows, &[3], &[190], &case);
        silence(&mut network, &[5]);
        network.start_balancer(1);
        check_answers(&mut network, &flows, &[3, 5], &[190], &case);
    }
}

#[test]
fn large_service_with_silent_endpoints() {
    let (mut network, flows) = open_flows(190, 20);
    let silent: Vec<u8> = (0..190).filter(|it| it % 5 == 2).collect();
    silence(&mut network, &silent);
    network.start_balancer(1);
    network.advance_ms(100);
    check_answers(&mut network, &flows, &silent, &[190], "190 endpoints");
}

/// A silent endpoint may hold the flow, so its silence proves nothing.
#[test]
fn silent_holder_is_no_proof() {
    let (mut network, flows) = open_flows(6, 1);
    let holder = flows[0].holder;
    for number in 0..6 {
        network.start_agent(number, SERVICE);
    }
    network.start_balancer(1);
    silence(&mut network, &[holder]);
    for _ in 0..8 {
        network.confirm_unchanged_catalog(1);
        check_answers(&mut network, &flows, &[holder], &[300], "silent");
    }
    network
        .endpoints
        .get_mut(&agent_ip(holder))
        .unwrap()
        .is_unresponsive = false;
    check_answers(&mut network, &flows, &[], &[190], "awake");
}

/// Guards against repeated lookups that begin at the same agents, which are gone: those of all flows
/// ask each agent by the callers' second copies, also when too many flows are looked up for the
/// balancer's own repetitions.
#[test]
fn gone_agents_hide_no_flow() {
    for gone in [vec![0, 10], vec![1, 2], vec![0, 2, 4]] {
        let (mut network, flows) = open_flows(12, 80);
        network.start_balancer(1);
        network.advance_ms(1_100);
        network.isolated.extend(gone.iter().map(|it| agent_ip(*it)));
        let case = format!("gone {gone:?}");
        check_answers(&mut network, &flows, &gone, &[200, 400, 800, 100], &case);
    }
}

/// Guards against lookups that are lost in silence when an agent tracks more than it has room for.
#[test]
fn many_lookups_at_a_silent_endpoint() {
    let (mut network, flows) = open_flows(2, 2);
    let silent = 1 - flows[0].holder;
    silence(&mut network, &[silent]);
    network.start_agent(silent, SERVICE);
    network.start_balancer(1);
    network.advance_ms(1_100);
    for number in 1_000..1_700 {
        network.send_request(1, caller(number), 77, 2);
    }
    check_answers(&mut network, &flows[..1], &[], &[190], "700 lookups");
    let counters = network.agent(silent).counters();
    assert!(counters.lookups_unanswered >= 700, "{counters:?}");
}
