//! Distribution of the catalog and of membership in fleets of many balancers.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};

use passthrough::{EndpointState, Event};
use support::{SimNetwork, balancer_ip, route_to_service};
use units::{Revision, SettingsVersion};

/// Number of balancers that are started with the store's catalog, in five availability zones.
const BALANCERS: u8 = 60;

fn large_fleet(balancers: u8, endpoints: u8) -> SimNetwork {
    let mut network = SimNetwork::new(0, endpoints);
    network.balancer_zones = 5;
    for number in 0..balancers {
        network.start_balancer(number);
    }
    for _ in 0..80 {
        confirm_to_readers(&mut network, balancers);
        network.advance_ms(100);
    }
    network
}

/// Lets the store confirm the catalog to the balancers that read it.
fn confirm_to_readers(network: &mut SimNetwork, balancers: u8) {
    for reader in readers(network, balancers) {
        network.confirm_unchanged_catalog(reader);
    }
}

fn readers(network: &SimNetwork, balancers: u8) -> Vec<u8> {
    (0..balancers)
        .filter(|it| network.balancer(*it).should_read_store())
        .collect()
}

fn revision_of(network: &SimNetwork, number: u8) -> Revision {
    network.balancer(number).catalog_view().catalog().revision
}

fn sent_by_all(network: &SimNetwork, balancers: u8) -> usize {
    (0..balancers)
        .map(|it| network.sent_bytes(balancer_ip(it)))
        .sum()
}

#[test]
fn every_balancer_knows_all_others() {
    check_membership(40);
    check_membership(59);
    check_membership(150);
}

/// Checks that all balancers of a quiet fleet know each other and count none as lost.
fn check_membership(balancers: u8) {
    let mut network = large_fleet(balancers, 2);
    network.advance_ms(20_000);
    for number in 0..balancers {
        assert_eq!(
            network.balancer(number).known_balancer_count(),
            usize::from(balancers) - 1,
            "balancer {number}"
        );
    }
    let lost = network
        .events
        .iter()
        .filter(|it| matches!(it.1, Event::PeerLost { .. }))
        .count();
    assert_eq!(lost, 0, "{balancers} balancers");
}

#[test]
fn two_balancers_in_different_zones_read_the_store() {
    let mut network = large_fleet(BALANCERS, 2);
    let before = network.events.len();
    for _ in 0..50 {
        confirm_to_readers(&mut network, BALANCERS);
        network.advance_ms(200);
    }
    let found = readers(&network, BALANCERS);
    assert_eq!(found.len(), 2, "{found:?}");
    assert_ne!(
        network.balancer_zone(found[0]),
        network.balancer_zone(found[1])
    );
    let duties = network.events[before..]
        .iter()
        .filter(|it| matches!(it.1, Event::StoreDuty { .. }))
        .count();
    assert_eq!(duties, 0, "the readers don't change in a quiet fleet");
}

#[test]
fn readers_have_wide_links() {
    let mut network = SimNetwork::new(0, 2);
    network.balancer_zones = 5;
    for number in 0..BALANCERS {
        let link_mbps = if number < 50 { 20 } else { 200 };
        network.links.insert(number, link_mbps);
        network.start_balancer(number);
    }
    for _ in 0..80 {
        confirm_to_readers(&mut network, BALANCERS);
        network.advance_ms(100);
    }
    let found = readers(&network, BALANCERS);
    assert!(found.iter().all(|it| *it >= 50), "{found:?}");
}

#[test]
fn change_reaches_all_balancers_soon_and_in_few_bytes() {
    let mut network = large_fleet(BALANCERS, 20);
    let reader = readers(&network, BALANCERS)[0];
    network.update_catalog(&[reader], |catalog| {
        for number in 0..1_700_u16 {
            let [high, low] = number.to_be_bytes();
            let address = SocketAddrV4::new(Ipv4Addr::new(198, 19, high, low), 443);
            catalog
                .routes
                .push(route_to_service(address, support::SERVICE));
        }
        catalog.settings_version = SettingsVersion::new(2);
    });
    network.advance_ms(2_000);
    let newest = network.catalog.revision;
    for number in 0..BALANCERS {
        assert_eq!(revision_of(&network, number), newest, "balancer {number}");
    }
    // The change of an endpoint must not carry the routes again. The regular messages of a second
    // are not counted.
    let sent = |network: &mut SimNetwork| {
        let before = sent_by_all(network, BALANCERS);
        network.advance_ms(1_000);
        sent_by_all(network, BALANCERS) - before
    };
    let regular = sent(&mut network);
    network.update_catalog(&[reader], |catalog| {
        catalog.endpoints[3].state = EndpointState::Draining;
    });
    let with_change = sent(&mut network);
    let newest = network.catalog.revision;
    for number in 0..BALANCERS {
        assert_eq!(revision_of(&network, number), newest, "balancer {number}");
    }
    let change = with_change.saturating_sub(regular);
    let limit = usize::from(BALANCERS) * 600;
    assert!(change < limit, "{change} bytes for one endpoint");
}

#[test]
fn regular_bytes_of_a_balancer_do_not_grow_with_the_fleet() {
    let rate = |balancers: u8, endpoints: u8| {
        let mut network = large_fleet(balancers, endpoints);
        let before = sent_by_all(&network, balancers);
        for _ in 0..10 {
            confirm_to_readers(&mut network, balancers);
            network.advance_ms(1_000);
        }
        (sent_by_all(&network, balancers) - before) / 10 / usize::from(balancers)
    };
    let (small, large) = (rate(30, 70), rate(120, 200));
    assert!(
        large * 10 <= small * 13,
        "{small} and {large} bytes a second and balancer"
    );
}

/// Changes the catalog many times while messages are lost, repeated and reordered and balancers
/// restart, and checks that no balancer goes back and that all converge.
fn check_convergence(seed: u64, balancers: u8) {
    let mut network = large_fleet(balancers, 20);
    network.disorder = seed;
    let mut highest = vec![(Revision::new(0), SettingsVersion::new(0)); usize::from(balancers)];
    let removed = network.catalog.endpoints[5].key;
    let mut is_removed = vec![false; usize::from(balancers)];
    for step in 0..40_u64 {
        let active = readers(&network, balancers);
        network.update_catalog(&active, |catalog| match step % 4 {
            0 => catalog.settings_version = SettingsVersion::new(2 + step),
            1 => {
                let idx = usize::try_from(step).unwrap_or(0) % catalog.endpoints.len();
                catalog.endpoints[idx].state = EndpointState::Draining;
            }
            2 => catalog.endpoints.retain(|it| it.key != removed),
            _ => catalog.routes.push(route_to_service(
                SocketAddrV4::new(
                    Ipv4Addr::new(198, 19, 0, 1),
                    u16::try_from(step).unwrap_or(0),
                ),
                support::SERVICE,
            )),
        });
        if step % 5 == 4 {
            let restarted = u8::try_from(step * 7 % u64::from(balancers)).unwrap_or(0);
            network.start_balancer_without_store(restarted);
            highest[usize::from(restarted)] = (Revision::new(0), SettingsVersion::new(0));
            is_removed[usize::from(restarted)] = false;
        }
        for _ in 0..10 {
            network.advance_ms(20);
            for number in 0..balancers {
                let idx = usize::from(number);
                let catalog = network.balancer(number).catalog_view().catalog();
                let found = (catalog.revision, catalog.settings_version);
                assert!(
                    found.0 >= highest[idx].0 && found.1 >= highest[idx].1,
                    "seed {seed}, balancer {number}: {found:?} after {:?}",
                    highest[idx]
                );
                highest[idx] = found;
                let lists_removed = catalog.find_endpoint(removed).is_some();
                assert!(
                    !(is_removed[idx] && lists_removed),
                    "seed {seed}, balancer {number} lists a removed endpoint again"
                );
                is_removed[idx] |= !lists_removed && catalog.revision > Revision::new(10);
            }
        }
        confirm_to_readers(&mut network, balancers);
    }
    for _ in 0..20 {
        confirm_to_readers(&mut network, balancers);
        network.advance_ms(100);
    }
    for number in 0..balancers {
        let catalog = network.balancer(number).catalog_view().catalog();
        assert_eq!(catalog, &network.catalog, "seed {seed}, balancer {number}");
    }
}

#[test]
fn catalogs_converge_under_loss_and_restarts() {
    for seed in 1..=4 {
        check_convergence(seed, 8);
    }
    check_convergence(5, 40);
}

#[test]
fn dead_agent_of_another_zone_is_found_by_turns() {
    let mut network = large_fleet(30, 150);
    network.kill_agent(77);
    let before = network.events.len();
    network.advance_ms(6_000);
    let finders = network.events[before..]
        .iter()
        .filter(
            |it| matches!(it.1, Event::AgentLost { agent, .. } if agent == support::agent_ip(77)),
        )
        .count();
    assert_eq!(finders, 30, "every balancer finds the dead agent");
}
