//! Distribution of the catalog among balancers.

mod support;

use passthrough::Event;
use support::{SimNetwork, balancer_ip};
use units::{Millis, Revision, SettingsVersion};

#[test]
fn catalog_change_reaches_balancers_that_do_not_read_the_store() {
    let mut network = SimNetwork::new(5, 3);
    network.update_catalog(&[2], |catalog| {
        catalog.settings_version = SettingsVersion::new(7);
    });
    network.advance_ms(700);
    for number in 0..5 {
        let catalog = network.balancer(number).catalog_view().catalog();
        assert_eq!(
            catalog.settings_version,
            SettingsVersion::new(7),
            "balancer {number}"
        );
    }
}

#[test]
fn balancer_is_ready_only_with_settings() {
    let mut network = SimNetwork::new(2, 3);
    network.start_balancer_without_store(3);
    assert!(!network.balancer(3).is_ready());
    network.advance_ms(1_200);
    assert!(network.balancer(3).is_ready());
}

#[test]
fn older_catalog_is_ignored() {
    let mut network = SimNetwork::new(1, 3);
    let old = network.catalog.clone();
    network.update_catalog(&[0], |catalog| {
        catalog.settings_version = SettingsVersion::new(9);
    });
    let newest = network.catalog.revision;
    network.catalog = old;
    network.deliver_catalog(0);
    assert_eq!(
        network.balancer(0).catalog_view().catalog().revision,
        newest
    );
    // A catalog with a newer revision but older settings must be ignored, too.
    network.catalog.revision = Revision::new(newest.get() + 5);
    network.deliver_catalog(0);
    let settings = network
        .balancer(0)
        .catalog_view()
        .catalog()
        .settings_version;
    assert_eq!(settings, SettingsVersion::new(9));
}

#[test]
fn large_catalog_is_sent_in_chunks() {
    let mut network = SimNetwork::new(1, 200);
    network.update_catalog(&[0], |_| {});
    network.start_balancer_without_store(1);
    network.advance_ms(1_500);
    assert_eq!(
        network.balancer(1).catalog_view().catalog().endpoints.len(),
        200
    );
}

#[test]
fn two_balancers_read_the_store() {
    let mut network = SimNetwork::new(6, 3);
    for _ in 0..20 {
        confirm_catalog_to_store_readers(&mut network);
        network.advance_ms(100);
    }
    let readers = (0..6)
        .filter(|it| network.balancer(*it).should_read_store())
        .count();
    assert_eq!(readers, 2);
}

#[test]
fn store_readers_that_lose_the_store_are_replaced() {
    let mut network = SimNetwork::new(5, 3);
    for _ in 0..20 {
        confirm_catalog_to_store_readers(&mut network);
        network.advance_ms(100);
    }
    let former_readers: Vec<u8> = (0..5)
        .filter(|it| network.balancer(*it).should_read_store())
        .collect();
    let before = network.events.len();
    // The balancers that read the store lose it but still reach the other balancers.
    network.advance_ms(2_000);
    for number in 0..5 {
        assert!(
            network.balancer(number).should_read_store(),
            "balancer {number}, former readers {former_readers:?}"
        );
    }
    let duties = network.events[before..]
        .iter()
        .filter(|it| matches!(it.1, Event::StoreDuty { reads: true, .. }))
        .count();
    assert_eq!(duties, 3);
}

#[test]
fn endpoints_with_lapsed_entries_are_kept_for_two_seconds_after_an_outage() {
    let mut network = SimNetwork::new(1, 3);
    confirm_catalog_to_store_readers(&mut network);
    // All store entries of the endpoints lapse during an outage of the store.
    network.advance_ms(4_000);
    let entries = network.catalog.endpoints.clone();
    network.update_catalog(&[0], |catalog| catalog.endpoints.clear());
    network.advance_ms(100);
    network
        .open_flow_with_sequence(0, support::caller(1))
        .expect("the endpoints are running");
    // One endpoint's entry is renewed; the other entries belong to endpoints that are gone.
    network.update_catalog(&[0], |catalog| catalog.endpoints.push(entries[0]));
    for _ in 0..33 {
        confirm_catalog_to_store_readers(&mut network);
        network.advance_ms(100);
    }
    let gone: Vec<_> = entries[1..]
        .iter()
        .map(passthrough::Endpoint::agent_address)
        .collect();
    let before: Vec<_> = gone
        .iter()
        .map(|it| network.endpoints[it].openings)
        .collect();
    for number in 10..40 {
        network
            .open_flow_with_sequence(0, support::caller(number))
            .expect("one endpoint is left");
    }
    let after: Vec<_> = gone
        .iter()
        .map(|it| network.endpoints[it].openings)
        .collect();
    assert_eq!(before, after);
}

#[test]
fn endpoint_without_store_entry_gets_no_openings() {
    let mut network = SimNetwork::new(1, 2);
    for _ in 0..30 {
        confirm_catalog_to_store_readers(&mut network);
        network.advance_ms(100);
    }
    let gone = network.catalog.endpoints[0];
    network.update_catalog(&[0], |catalog| {
        catalog.endpoints.retain(|it| it.key != gone.key);
    });
    let before = network.endpoints[&gone.agent_address()].openings;
    for number in 0..20 {
        network
            .open_flow_with_sequence(0, support::caller(number))
            .expect("one endpoint is left");
    }
    assert_eq!(network.endpoints[&gone.agent_address()].openings, before);
}

/// Lets the store confirm to the balancers that read it that the catalog did not change.
fn confirm_catalog_to_store_readers(network: &mut SimNetwork) {
    for number in 0..6 {
        if network.has_balancer(number) && network.balancer(number).should_read_store() {
            network.confirm_unchanged_catalog(number);
        }
    }
}

#[test]
fn store_reader_that_shuts_down_is_replaced() {
    let mut network = SimNetwork::new(4, 3);
    for _ in 0..20 {
        confirm_catalog_to_store_readers(&mut network);
        network.advance_ms(100);
    }
    let reader = (0..4)
        .find(|it| network.balancer(*it).should_read_store())
        .unwrap();
    network.shut_down_balancer(reader);
    network.advance_ms(Millis::new(600).get());
    let readers = (0..4)
        .filter(|it| *it != reader && network.balancer(*it).should_read_store())
        .count();
    assert_eq!(readers, 2, "stopped {}", balancer_ip(reader));
}

#[test]
fn first_of_two_routes_with_one_address_holds_everywhere() {
    let mut network = SimNetwork::new(3, 3);
    network.update_catalog(&[0], |catalog| {
        let other = support::route_to_service(support::SERVICE_ADDRESS, "other");
        catalog.routes.push(other);
    });
    network.advance_ms(50);
    network.update_catalog(&[0], |catalog| {
        catalog.settings_version = SettingsVersion::new(2);
    });
    network.advance_ms(50);
    for number in 0..3 {
        let balancer = network.balancer(number);
        let routes = &balancer.catalog_view().catalog().routes;
        assert_eq!(
            routes,
            &[support::route_to_service(
                support::SERVICE_ADDRESS,
                support::SERVICE
            )],
            "balancer {number}"
        );
        assert_eq!(balancer.counters().deltas_diverged, 0, "balancer {number}");
    }
}
