//! Several entries of the store that name the same host.

mod support;

use std::net::SocketAddrV4;

use passthrough::{Endpoint, EndpointKey, EndpointState, ServiceKey};
use support::{Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet};
use units::Revision;

const DRAINING: u8 = 1;

/// Number of keys that are tried for the other entry, so that its hash is below and above that of the
/// endpoint's entry.
const KEYS: u8 = 6;

/// What another entry with the host of an endpoint says.
#[derive(Debug, Clone, Copy)]
struct OtherEntry {
    service: &'static str,
    port: u16,
    /// Whether the entry was created after that of the endpoint.
    is_newer: bool,
}

const OTHER_ENTRIES: [OtherEntry; 5] = [
    OtherEntry {
        service: SERVICE,
        port: 9_000,
        is_newer: true,
    },
    OtherEntry {
        service: SERVICE,
        port: 9_000,
        is_newer: false,
    },
    OtherEntry {
        service: SERVICE,
        port: 9_001,
        is_newer: true,
    },
    OtherEntry {
        service: "photos",
        port: 9_000,
        is_newer: true,
    },
    OtherEntry {
        service: "photos",
        port: 9_000,
        is_newer: false,
    },
];

fn add_other_entry(endpoints: &mut Vec<Endpoint>, other: OtherEntry, key: u8) {
    let beside = *endpoints
        .iter()
        .find(|it| it.agent_address() == agent_ip(DRAINING))
        .unwrap();
    let registered = if other.is_newer { 11 } else { 1 };
    endpoints.push(Endpoint {
        key: EndpointKey::from_name(&format!("other-{key}")),
        service: ServiceKey::from_name(other.service),
        address: SocketAddrV4::new(agent_ip(DRAINING), other.port),
        state: EndpointState::Ready,
        registered_at: Revision::new(registered),
        ..beside
    });
}

/// Opens flows of the callers from number `first` on, and returns how many of them the endpoint
/// `DRAINING` was offered.
fn openings_at_endpoint(network: &mut SimNetwork, first: u16) -> usize {
    let before = network.endpoints[&agent_ip(DRAINING)].openings;
    for number in first..first + 40 {
        let opening = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(0, &opening);
        network.advance_ms(20);
    }
    network.endpoints[&agent_ip(DRAINING)].openings - before
}

/// Guards against an entry that hides another one with the same host, so that the agent is never told
/// that its endpoint drains.
#[test]
fn draining_endpoint_is_not_hidden_by_another_entry() {
    for other in OTHER_ENTRIES {
        for key in 0..KEYS {
            let mut network = SimNetwork::new(2, 3);
            network.update_catalog(&[0], |it| add_other_entry(&mut it.endpoints, other, key));
            network.advance_ms(1_500);
            assert!(openings_at_endpoint(&mut network, 0) > 0);
            network.update_catalog(&[0], |it| {
                let own = EndpointKey::from_name(&format!("{SERVICE}-{DRAINING}"));
                for endpoint in it.endpoints.iter_mut().filter(|it| it.key == own) {
                    endpoint.state = EndpointState::Draining;
                }
            });
            network.advance_ms(50);
            let late = openings_at_endpoint(&mut network, 100);
            assert_eq!(late, 0, "{other:?} with key {key}");
        }
    }
}

/// Checks that an endpoint is used again when the entry of its predecessor is gone, which was draining
/// on the same host.
#[test]
fn endpoint_is_used_once_its_draining_predecessor_is_gone() {
    let mut network = SimNetwork::new(2, 3);
    network.update_catalog(&[0], |it| {
        add_other_entry(&mut it.endpoints, OTHER_ENTRIES[0], 0);
        it.endpoints
            .iter_mut()
            .find(|it| it.key == EndpointKey::from_name("other-0"))
            .unwrap()
            .state = EndpointState::Draining;
    });
    network.advance_ms(50);
    assert_eq!(openings_at_endpoint(&mut network, 0), 0);
    network.update_catalog(&[0], |it| {
        let own = EndpointKey::from_name(&format!("{SERVICE}-{DRAINING}"));
        it.endpoints
            .retain(|it| it.key != EndpointKey::from_name("other-0"));
        // The store lists the endpoint's own entry unchanged.
        for endpoint in it.endpoints.iter_mut().filter(|it| it.key == own) {
            endpoint.state = EndpointState::Ready;
        }
    });
    network.advance_ms(1_500);
    assert!(openings_at_endpoint(&mut network, 100) > 0);
}
