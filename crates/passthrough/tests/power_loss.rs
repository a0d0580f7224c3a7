//! Loss of power of all machines: balancers, agents and endpoints start anew under the same
//! addresses, and the store, which was away, still lists the endpoints that died.

mod support;

use std::net::SocketAddrV4;

use passthrough::{EndpointKey, Event};
use support::{
    Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet, route_to_service,
};
use units::{Millis, Revision, SettingsVersion};

const OTHER_SERVICE: &str = "photos";

/// Numbers of the first endpoints of `SERVICE` and `OTHER_SERVICE`.
const ENDPOINTS: [(&str, u8); 2] = [(SERVICE, 0), (OTHER_SERVICE, 10)];
const ENDPOINTS_PER_SERVICE: u8 = 4;
const BALANCERS: u8 = 3;
const FLOWS: u16 = 12;

/// Time from the last change of the list until all dead flows are reset: a lookup, its repetition,
/// and the time in which balancers tell each other what they know.
const RESET_BOUND_MS: u64 = 700;

fn endpoint_numbers() -> impl Iterator<Item = (&'static str, u8)> {
    let numbers = ENDPOINTS.map(|(service, first)| {
        (first..first + ENDPOINTS_PER_SERVICE).map(move |it| (service, it))
    });
    numbers.into_iter().flatten()
}

/// Opens flows in a network that runs for long, and takes the power of all machines away and gives
/// it back. No endpoint has registered anew, and no balancer runs.
fn network_after_power_loss() -> (SimNetwork, Vec<(SocketAddrV4, u32)>) {
    let mut network = SimNetwork::new(0, 0);
    for (service, number) in endpoint_numbers() {
        network.add_endpoint(number, service);
    }
    for number in 0..BALANCERS {
        network.start_balancer(number);
    }
    network.advance_ms(16_000);
    let flows = (0..FLOWS).map(|number| {
        let caller = caller(number);
        let sequence = network.open_flow_with_sequence(0, caller);
        (caller, sequence.expect("an endpoint accepts"))
    });
    let flows = flows.collect();
    // The settings have changed since the endpoints registered.
    change_settings(&mut network, SERVICE);
    for number in 0..BALANCERS {
        let _dead = network.freeze_balancer(number);
    }
    for (service, number) in endpoint_numbers() {
        network
            .endpoints
            .get_mut(&agent_ip(number))
            .expect("was added")
            .restart();
        network.start_agent(number, service);
    }
    network.advance_ms(1_600);
    (network, flows)
}

/// Changes the settings by one write to the store; their version skips a number. No balancer reads
/// them yet.
fn change_settings(network: &mut SimNetwork, service: &str) {
    network.update_catalog(&[], |it| {
        it.settings_changed_at = Revision::new(it.revision.get() + 1);
        it.settings_version = SettingsVersion::new(it.settings_version.get() + 2);
        it.idle_timeout_ms = Millis::new(it.idle_timeout_ms.get() + 1_000);
        it.routes = vec![route_to_service(SERVICE_ADDRESS, service)];
    });
}

/// Lets an endpoint that started anew register under a new id, beside its old entry.
fn register_again(network: &mut SimNetwork, service: &str, number: u8) {
    network.update_catalog(&[], |it| {
        let old = it
            .endpoints
            .iter()
            .find(|it| it.agent_address() == agent_ip(number));
        let mut endpoint = *old.expect("entries of dead endpoints stay");
        endpoint.key = EndpointKey::from_name(&format!("{service}-{number}-again"));
        endpoint.registered_at = Revision::new(it.revision.get() + 1);
        endpoint.born_ms += 1;
        it.endpoints.push(endpoint);
    });
}

fn send_on_all_flows(network: &mut SimNetwork, flows: &[(SocketAddrV4, u32)], balancer: u8) {
    for (caller, sequence) in flows {
        network.send_request(balancer, *caller, *sequence, 2);
    }
}

/// Guards against dead flows that stay silent until all agents have run for the idle timeout,
/// because the settings changed while the endpoints registered.
#[test]
fn dead_flows_are_reset_although_the_settings_change() {
    let (mut network, flows) = network_after_power_loss();
    let numbers: Vec<(&str, u8)> = endpoint_numbers().collect();
    let (early, late) = numbers.split_at(5);
    for (service, number) in early {
        register_again(&mut network, service, *number);
    }
    network.start_balancer(0);
    network.start_balancer(1);
    network.advance_ms(200);
    change_settings(&mut network, SERVICE);
    network.deliver_catalog(0);
    network.advance_ms(100);
    // This balancer never has the former settings.
    network.start_balancer(2);
    for (service, number) in late {
        register_again(&mut network, service, *number);
        network.deliver_catalog(0);
        network.advance_ms(40);
    }
    for (idx, flow) in flows.iter().enumerate() {
        let balancer = u8::try_from(idx).unwrap() % BALANCERS;
        send_on_all_flows(&mut network, &[*flow], balancer);
    }
    network.advance_ms(RESET_BOUND_MS);
    for (caller, _) in &flows {
        assert_eq!(network.reset_count(*caller), 1, "{caller}");
    }
}

/// Guards against a reset of a flow that was placed by settings that no running balancer has seen,
/// although the targets before and after them are the same.
#[test]
fn flow_by_settings_that_were_missed_is_not_reset() {
    let (mut network, _) = network_after_power_loss();
    for (service, number) in endpoint_numbers() {
        register_again(&mut network, service, number);
    }
    network.start_balancer(1);
    network.start_balancer(2);
    network.advance_ms(1_400);
    // Balancer 0 hears of nothing else and places flows by settings that are soon replaced.
    let running = [1, 2].map(|it| (it, network.freeze_balancer(it)));
    change_settings(&mut network, OTHER_SERVICE);
    network.start_balancer(0);
    network.advance_ms(20);
    let open = caller(100);
    let sequence = network.open_flow_with_sequence(0, open);
    let sequence = sequence.expect("an endpoint accepts");
    network.advance_ms(20);
    assert_eq!(network.answer_count(open), 1);
    let _gone = network.freeze_balancer(0);
    change_settings(&mut network, SERVICE);
    for (service, number) in endpoint_numbers() {
        network.start_agent(number, service);
    }
    // Balancer 2 hears of the change from balancer 1, and tells what it knew before.
    for (number, balancer) in running {
        network.unfreeze_balancer(number, balancer);
    }
    network.advance_ms(1);
    network.deliver_catalog(1);
    for _ in 0..5 {
        send_on_all_flows(&mut network, &[(open, sequence)], 1);
        network.advance_ms(200);
        network.confirm_unchanged_catalog(1);
    }
    assert_eq!(network.reset_count(open), 0);
    assert_eq!(
        network.holder_address(open).map(|it| it.octets()[3] / 10),
        Some(1)
    );
}

/// Guards against a reset of a flow at a former target whose endpoint outlived the loss of power.
#[test]
fn flow_that_a_surviving_endpoint_holds_is_not_reset() {
    let (mut network, _) = network_after_power_loss();
    network.start_balancer(0);
    network.advance_ms(1_400);
    let open = caller(100);
    let sequence = network.open_flow_with_sequence(0, open);
    let sequence = sequence.expect("an endpoint accepts");
    network.advance_ms(20);
    change_settings(&mut network, OTHER_SERVICE);
    let holder = network.holder_address(open).expect("is open");
    let _gone = network.freeze_balancer(0);
    // All but the holder start anew; its agent does, too.
    for (service, number) in endpoint_numbers() {
        network.start_agent(number, service);
        if agent_ip(number) != holder {
            register_again(&mut network, service, number);
        }
    }
    for number in 0..BALANCERS {
        network.start_balancer(number);
    }
    // A change that moves no target is no news of what the route led to before.
    network.advance_ms(200);
    change_settings(&mut network, OTHER_SERVICE);
    for number in 0..BALANCERS {
        network.deliver_catalog(number);
    }
    for attempt in 0..10 {
        send_on_all_flows(&mut network, &[(open, sequence)], attempt % BALANCERS);
        network.advance_ms(200);
        network.confirm_unchanged_catalog(attempt % BALANCERS);
    }
    assert_eq!(network.reset_count(open), 0);
}

/// Guards against dead flows whose last copy arrives before the balancer's first list, and checks that
/// openings are held likewise, but no packet for longer than a second.
#[test]
fn packets_before_the_first_list_are_held() {
    for (wait_ms, is_held) in [(500, true), (1_100, false)] {
        let (mut network, flows) = network_after_power_loss();
        for (service, number) in endpoint_numbers() {
            register_again(&mut network, service, number);
        }
        network.start_balancer_without_store(0);
        let open = caller(100);
        let opening = encode_packet(open, SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(0, &opening);
        send_on_all_flows(&mut network, &flows, 0);
        network.advance_ms(wait_ms);
        network.deliver_catalog(0);
        network.advance_ms(RESET_BOUND_MS);
        let is_reset = |it: &(SocketAddrV4, u32)| network.reset_count(it.0) == 1;
        assert_eq!(flows.iter().all(is_reset), is_held, "{wait_ms}");
        assert_eq!(flows.iter().any(is_reset), is_held, "{wait_ms}");
        let is_accepted = network.received.iter().any(|it| it.1.destination == open);
        assert_eq!(is_accepted, is_held, "{wait_ms}");
    }
}

/// Guards against a dead flow that stays silent because an agent dropped the only lookup of it, and
/// checks that an agent that never answers costs a bounded number of lookups.
#[test]
fn lookup_with_lost_chains_is_repeated() {
    for is_back in [true, false] {
        let (mut network, flows) = network_after_power_loss();
        for (service, number) in endpoint_numbers() {
            register_again(&mut network, service, number);
        }
        network.start_balancer(0);
        network.advance_ms(100);
        network.isolated.insert(agent_ip(2));
        let begin = network.events.len();
        send_on_all_flows(&mut network, &flows[..1], 0);
        network.advance_ms(100);
        if is_back {
            network.isolated.remove(&agent_ip(2));
        }
        network.advance_ms(4_000);
        let resets = network.reset_count(flows[0].0);
        assert_eq!(resets, usize::from(is_back));
        let started = |it: &&(_, Event)| matches!(it.1, Event::LookupStarted { .. });
        let lookups = network.events[begin..].iter().filter(started).count();
        assert!((2..=4).contains(&lookups), "{lookups} lookups");
    }
}

/// Lookups of very many dead flows overrun the agents, and repeating them would keep them overrun.
#[test]
fn lookups_of_very_many_flows_are_not_repeated() {
    const FLOWS: u16 = 200;
    let (mut network, _) = network_after_power_loss();
    for (service, number) in endpoint_numbers() {
        register_again(&mut network, service, number);
    }
    network.start_balancer(0);
    network.advance_ms(100);
    network.isolated.insert(agent_ip(2));
    let begin = network.events.len();
    for number in 0..FLOWS {
        let data = encode_packet(
            caller(1_000 + number),
            SERVICE_ADDRESS,
            Flags::ACK,
            9,
            5,
            40,
        );
        network.send_caller_packet(0, &data);
    }
    network.advance_ms(1_400);
    let started = |it: &&(_, Event)| matches!(it.1, Event::LookupStarted { .. });
    let lookups = network.events[begin..].iter().filter(started).count();
    assert_eq!(lookups, usize::from(FLOWS));
}
