//! A store that comes back from an older copy of its data, in a new era.

mod support;

use std::net::SocketAddrV4;

use passthrough::{Catalog, Endpoint, EndpointState, Event, ZoneKey};
use support::{SimNetwork, agent_ip, balancer_ip, caller, route_to_service};
use units::{Millis, Revision, SettingsVersion};

/// Time after the store's return in which writes of before may be missing.
const REWRITE_TIME_MS: u64 = 4_000;

fn in_force(network: &SimNetwork, number: u8) -> &Catalog {
    network.balancer(number).catalog_view().catalog()
}

fn endpoint_mut(catalog: &mut Catalog, number: u8) -> &mut Endpoint {
    let address = agent_ip(number);
    let mut endpoints = catalog.endpoints.iter_mut();
    endpoints
        .find(|it| it.agent_address() == address)
        .expect("the endpoint is listed")
}

fn remove_endpoint(catalog: &mut Catalog, number: u8) {
    let address = agent_ip(number);
    catalog.endpoints.retain(|it| it.agent_address() != address);
}

/// Opens flows through a balancer, and returns how many of them an endpoint was offered.
fn openings_at(network: &mut SimNetwork, balancer: u8, endpoint: u8, first_caller: u16) -> usize {
    let ip = agent_ip(endpoint);
    let before = network.endpoints[&ip].openings;
    for number in first_caller..first_caller + 4 {
        network
            .open_flow_with_sequence(balancer, caller(number))
            .expect("an endpoint is left");
        network.confirm_unchanged_catalog(0);
    }
    network.endpoints[&ip].openings - before
}

fn confirm_for(network: &mut SimNetwork, ms: u64) {
    for _ in 0..ms / 100 {
        network.confirm_unchanged_catalog(0);
        network.advance_ms(100);
    }
}

/// Guards against a fleet that keeps its list since the revisions of the new era are lower.
#[test]
fn list_of_a_later_era_is_newer() {
    let mut network = SimNetwork::new(5, 3);
    let copy = network.catalog.clone();
    for _ in 0..4 {
        network.update_catalog(&[0], |it| endpoint_mut(it, 0).cold_left_ms = Millis::new(9));
        network.advance_ms(50);
    }
    let lost = network.catalog.clone();
    network.restore_store(&copy);
    network.update_catalog(&[0], |it| endpoint_mut(it, 0).cold_left_ms = Millis::new(5));
    network.advance_ms(700);
    assert!(network.catalog.revision.number() < lost.revision.number());
    for number in 0..5 {
        assert_eq!(in_force(&network, number), &network.catalog, "{number}");
    }
    // A connection to the store's former self, and news of before that arrive late.
    let restored = std::mem::replace(&mut network.catalog, lost);
    network.deliver_catalog(3);
    network.advance_ms(700);
    assert_eq!(in_force(&network, 3), &restored);
    let rises = network.events.iter();
    let rises = rises.filter(|it| matches!(it.1, Event::StoreEraRose { from: 0, to: 1, .. }));
    assert_eq!(rises.count(), 5);
}

#[test]
fn older_settings_of_a_copy_are_not_taken() {
    let mut network = SimNetwork::new(3, 2);
    let copy = network.catalog.clone();
    let mut added = support::SERVICE_ADDRESS;
    added.set_port(444);
    let new_settings = |it: &mut Catalog| {
        it.settings_version = SettingsVersion::new(7);
        it.routes.push(route_to_service(added, support::SERVICE));
    };
    network.update_catalog(&[0], new_settings);
    network.advance_ms(200);
    network.restore_store(&copy);
    network.add_endpoint(2, support::SERVICE);
    network.update_catalog(&[0], |_| {});
    network.advance_ms(200);
    // A balancer that starts in between reads the older settings, and is told the later ones.
    network.start_balancer(3);
    network.advance_ms(1_500);
    for number in 0..4 {
        let catalog = in_force(&network, number);
        assert_eq!(catalog.endpoints.len(), 3, "balancer {number}");
        assert_eq!(catalog.revision, network.catalog.revision);
        assert_eq!(
            catalog.settings_version,
            SettingsVersion::new(7),
            "{number}"
        );
        assert!(catalog.find_route(added).is_some(), "balancer {number}");
    }
    network.update_catalog(&[0], new_settings);
    network.update_catalog(&[0], |it| it.settings_version = SettingsVersion::new(8));
    network.advance_ms(1_500);
    for number in 0..4 {
        assert_eq!(in_force(&network, number), &network.catalog, "{number}");
    }
}

/// Guards against openings for an endpoint whose drain was lost, by balancers that saw it and by one
/// that starts from the copy.
#[test]
fn draining_endpoint_stays_draining() {
    for is_rewritten in [false, true] {
        let mut network = SimNetwork::new(2, 3);
        let copy = network.catalog.clone();
        let drain = |it: &mut Catalog| endpoint_mut(it, 1).state = EndpointState::Draining;
        network.update_catalog(&[0], drain);
        network.advance_ms(200);
        network.restore_store(&copy);
        network.update_catalog(&[0], |_| {});
        network.start_balancer(2);
        network.advance_ms(100);
        let mut told = in_force(&network, 2).clone();
        assert_eq!(endpoint_mut(&mut told, 1).state, EndpointState::Draining);
        for (balancer, first_caller) in [(2, 1), (0, 20), (1, 40)] {
            let openings = openings_at(&mut network, balancer, 1, first_caller);
            assert_eq!(openings, 0, "balancer {balancer}");
            if is_rewritten {
                network.update_catalog(&[0], drain);
            }
        }
        confirm_for(&mut network, 2 * REWRITE_TIME_MS);
        // An entry that stands is renewed by its endpoint, which would have written that it drains.
        let state = if is_rewritten {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        let mut catalog = in_force(&network, 1).clone();
        assert_eq!(endpoint_mut(&mut catalog, 1).state, state);
        assert_eq!(network.balancer(0).catalog_view().held_back_count(), 0);
    }
}

#[test]
fn entry_of_a_later_process_is_believed() {
    let mut network = SimNetwork::new(1, 3);
    let copy = network.catalog.clone();
    network.update_catalog(&[0], |it| {
        endpoint_mut(it, 1).state = EndpointState::Draining;
    });
    network.advance_ms(200);
    network.restore_store(&copy);
    network.update_catalog(&[0], |it| endpoint_mut(it, 1).born_ms += 1);
    assert_eq!(in_force(&network, 0), &network.catalog);
}

/// Guards against an agent that is told by a balancer without a former list that its draining
/// endpoint is ready.
#[test]
fn agent_keeps_its_endpoint_draining() {
    let mut network = SimNetwork::new(1, 2);
    let copy = network.catalog.clone();
    network.update_catalog(&[0], |it| {
        endpoint_mut(it, 1).state = EndpointState::Draining;
    });
    network.advance_ms(200);
    network.restore_store(&copy);
    let _gone = network.freeze_balancer(0);
    network.start_balancer(1);
    network.advance_ms(100);
    assert_eq!(openings_at_alone(&mut network, 1, 1), 0);
    // A process that started later is believed at once.
    network.update_catalog(&[1], |it| endpoint_mut(it, 1).born_ms += 1);
    network.advance_ms(100);
    assert!(openings_at_alone(&mut network, 1, 20) > 0);
}

fn openings_at_alone(network: &mut SimNetwork, balancer: u8, first_caller: u16) -> usize {
    let before = network.endpoints[&agent_ip(1)].openings;
    for number in first_caller..first_caller + 10 {
        let _sequence = network.open_flow_with_sequence(balancer, caller(number));
    }
    network.endpoints[&agent_ip(1)].openings - before
}

#[test]
fn endpoint_that_left_stays_out() {
    let mut network = SimNetwork::new(2, 3);
    // The store has been available, so that a missing entry means that its endpoint is gone.
    confirm_for(&mut network, 3_000);
    let copy = network.catalog.clone();
    network.update_catalog(&[0], |it| remove_endpoint(it, 1));
    network.advance_ms(200);
    network.restore_store(&copy);
    network.update_catalog(&[0], |_| {});
    network.advance_ms(100);
    for (balancer, first_caller) in [(0, 1), (1, 20)] {
        assert_eq!(openings_at(&mut network, balancer, 1, first_caller), 0);
    }
    // Its host is used again by a process that started later.
    network.update_catalog(&[0], |it| endpoint_mut(it, 1).born_ms += 1);
    network.advance_ms(100);
    assert!(openings_at(&mut network, 0, 1, 40) > 0);
}

#[test]
fn evacuation_outlives_the_copy() {
    let zone = ZoneKey::from_name("b");
    for is_rewritten in [false, true] {
        let mut network = SimNetwork::new(2, 3);
        network.start_balancer(3);
        confirm_for(&mut network, 3_000);
        let copy = network.catalog.clone();
        network.isolated.insert(balancer_ip(3));
        let evacuate = |it: &mut Catalog| it.evacuated_zones = vec![zone];
        network.update_catalog(&[0], evacuate);
        network.advance_ms(100);
        network.restore_store(&copy);
        // One balancer starts in between, and one was cut off in the lost seconds or for longer.
        if is_rewritten {
            network.isolated.clear();
        }
        network.update_catalog(&[0], |_| {});
        network.isolated.clear();
        network.start_balancer(2);
        network.advance_ms(100);
        assert!(in_force(&network, 2).is_evacuated(zone));
        network.advance_ms(900);
        assert!(in_force(&network, 3).is_evacuated(zone));
        assert_eq!(in_force(&network, 3).revision, network.catalog.revision);
        confirm_for(&mut network, REWRITE_TIME_MS / 2);
        // The time in which the operator may write again doesn't pass while the store is away.
        network.advance_ms(2 * REWRITE_TIME_MS);
        confirm_for(&mut network, REWRITE_TIME_MS / 2);
        let is_evacuated = |network: &SimNetwork, number| {
            assert!(number < 2);
            in_force(network, number).is_evacuated(zone)
        };
        assert!(is_evacuated(&network, 0) && is_evacuated(&network, 1));
        if is_rewritten {
            network.update_catalog(&[0], evacuate);
            network.advance_ms(100);
            network.update_catalog(&[0], |it| it.evacuated_zones.clear());
            network.advance_ms(100);
            assert!(!is_evacuated(&network, 0), "the operator ended it");
        } else {
            confirm_for(&mut network, REWRITE_TIME_MS + 1_000);
            assert!(!is_evacuated(&network, 0) && !is_evacuated(&network, 1));
        }
    }
}

#[test]
fn endpoint_that_the_copy_lacks_keeps_its_state_for_two_seconds() {
    let mut network = SimNetwork::new(1, 2);
    let copy = network.catalog.clone();
    network.add_endpoint(2, support::SERVICE);
    network.update_catalog(&[0], |_| {});
    confirm_for(&mut network, 3_000);
    network.restore_store(&copy);
    network.deliver_catalog(0);
    network.advance_ms(50);
    let before = network.endpoints[&agent_ip(2)].openings;
    for number in 1..6 {
        network.open_flow_with_sequence(0, caller(number)).unwrap();
    }
    assert!(network.endpoints[&agent_ip(2)].openings > before);
    confirm_for(&mut network, 3_500);
    assert_eq!(openings_at(&mut network, 0, 2, 20), 0, "it is gone");
}

/// Guards against resets and confirmations by the list of an era that another balancer has seen to be
/// over.
#[test]
fn list_of_a_left_era_proves_nothing() {
    for is_told in [false, true] {
        let mut network = SimNetwork::new(2, 3);
        network.open_flow_with_sequence(0, caller(1)).unwrap();
        if is_told {
            // The other balancer has had a response of the new era, but not the list.
            assert!(network.observe_era(1, 1));
            network.advance_ms(1_000);
            assert!(!network.observe_era(0, 0), "a response of the left era");
            let before = network.catalog.clone();
            network.update_catalog(&[0], |_| {});
            assert_eq!(in_force(&network, 0), &before, "a list of the left era");
            network.catalog = before;
        }
        for number in 0..3 {
            network
                .endpoints
                .get_mut(&agent_ip(number))
                .unwrap()
                .restart();
            network.start_agent(number, support::SERVICE);
        }
        for round in 0..10 {
            network.confirm_unchanged_catalog(0);
            network.send_request(0, caller(9), 77, round);
            network.advance_ms(100);
            if let Some(request) = network.take_confirmation_request(0) {
                network.confirm_revision(0, request);
            }
        }
        assert_eq!(network.reset_count(caller(9)) == 0, is_told);
        let copy = network.catalog.clone();
        network.restore_store(&copy);
        network.deliver_catalog(1);
        network.advance_ms(200);
        for round in 10..20 {
            network.send_request(0, caller(9), 77, round);
            network.advance_ms(100);
        }
        assert!(network.reset_count(caller(9)) > 0);
    }
}

/// Plays three returns of the store from copies while messages are lost, repeated and reordered,
/// balancers restart, settings change and endpoints come and go.
fn check_convergence(seed: u64) {
    const BALANCERS: u8 = 6;
    let mut network = SimNetwork::new(BALANCERS, 6);
    network.disorder = seed;
    let mut copy = network.catalog.clone();
    let mut drained = [None; BALANCERS as usize];
    let mut latest = [(Revision::default(), SettingsVersion::default()); BALANCERS as usize];
    let mut version = 1;
    for step in 0..90_u64 {
        let reader = u8::try_from((seed + step) % u64::from(BALANCERS)).unwrap();
        match step % 30 {
            10 => copy = network.catalog.clone(),
            12 => {
                let drain = |it: &mut Catalog| endpoint_mut(it, 2).state = EndpointState::Draining;
                network.update_catalog(&[reader], drain);
            }
            14 => {
                version += 2;
                let change = |it: &mut Catalog| it.settings_version = SettingsVersion::new(version);
                network.update_catalog(&[reader], change);
            }
            // The store returns; readers see it one after another.
            18 => network.restore_store(&copy),
            19..=22 => network.deliver_catalog(reader),
            // The operator and the endpoint write again, and then the endpoint starts anew.
            24 => network.update_catalog(&[reader], |it| {
                it.settings_version = SettingsVersion::new(version);
                endpoint_mut(it, 2).state = EndpointState::Draining;
            }),
            28 => {
                network.update_catalog(&[reader], |it| {
                    endpoint_mut(it, 2).state = EndpointState::Ready;
                    endpoint_mut(it, 2).born_ms += 1;
                });
            }
            17 | 23 => {
                network.start_balancer_without_store(reader);
                latest[usize::from(reader)] = Default::default();
                drained[usize::from(reader)] = None;
            }
            _ => {}
        }
        for _ in 0..10 {
            network.advance_ms(20);
            for number in 0..BALANCERS {
                let catalog = in_force(&network, number);
                let now = (catalog.revision, catalog.settings_version);
                let last = &mut latest[usize::from(number)];
                assert!(
                    now.0 >= last.0 && now.1 >= last.1,
                    "{seed}: {now:?} {last:?}"
                );
                *last = now;
                let address = agent_ip(2);
                let mut endpoints = catalog.endpoints.iter();
                let Some(endpoint) = endpoints.find(|it| it.agent_address() == address) else {
                    continue;
                };
                // The birth of the process that this balancer saw drain; it must not reopen.
                let drained = &mut drained[usize::from(number)];
                let is_ready = endpoint.state == EndpointState::Ready;
                assert!(
                    !(is_ready && *drained == Some(endpoint.born_ms)),
                    "{seed}: balancer {number} reopens a draining endpoint"
                );
                if !is_ready {
                    *drained = Some(endpoint.born_ms);
                }
            }
        }
    }
    for _ in 0..80 {
        for number in 0..BALANCERS {
            if network.balancer(number).should_read_store() {
                network.deliver_catalog(number);
            }
        }
        network.advance_ms(100);
    }
    assert_eq!(network.catalog.revision.era().get(), 3);
    for number in 0..BALANCERS {
        assert_eq!(
            in_force(&network, number),
            &network.catalog,
            "{seed}: {number}"
        );
    }
}

#[test]
fn lists_converge_to_the_new_era() {
    for seed in 1..=12 {
        check_convergence(seed);
    }
}

/// Guards against a reset of a flow whose holder the copy lacks, by a balancer that read the new list
/// before those that know the holder: they have no endpoint to tell of yet. Found by soak seed 324.
#[test]
fn holder_that_the_copy_lacks_is_found() {
    let mut network = SimNetwork::new(1, 3);
    confirm_for(&mut network, 3_000);
    let flows: Vec<_> = (1..10)
        .map(|it| {
            (
                caller(it),
                network.open_flow_with_sequence(0, caller(it)).unwrap(),
            )
        })
        .collect();
    let held = |it: &&(SocketAddrV4, u32)| network.holder_address(it.0) == Some(agent_ip(2));
    let (held, sequence) = *flows.iter().find(held).expect("one of three holds some");
    let mut copy = network.catalog.clone();
    remove_endpoint(&mut copy, 2);
    network.restore_store(&copy);
    network.start_balancer(1);
    network.advance_ms(100);
    network.send_request(1, held, sequence, 2);
    network.advance_ms(1_000);
    assert_eq!(network.reset_count(held), 0);
    assert_eq!(network.answer_count(held), 2);
}

/// Guards against a proof from revisions of two histories: an endpoint that registers again after
/// the loss may hold flows by lost settings.
#[test]
fn registration_of_another_era_proves_nothing() {
    for is_same_era in [true, false] {
        let mut network = SimNetwork::new(1, 2);
        network.add_endpoint(2, "other");
        if !is_same_era {
            let copy = network.catalog.clone();
            network.restore_store(&copy);
        }
        network.catalog.revision = Revision::new(network.catalog.revision.get() + 5);
        for endpoint in &mut network.catalog.endpoints {
            endpoint.registered_at = network.catalog.revision;
        }
        if !is_same_era {
            network.catalog.settings_changed_at = Revision::new(10);
        }
        for number in 0..2 {
            network.start_agent(number, support::SERVICE);
        }
        network.start_agent(2, "other");
        network.start_balancer(0);
        network.advance_ms(2_000);
        for round in 0..10 {
            network.send_request(0, caller(9), 77, round);
            network.advance_ms(100);
        }
        assert_eq!(network.reset_count(caller(9)) > 0, is_same_era);
        assert!(network.has_balancer(0) && network.sent_bytes(balancer_ip(0)) > 0);
    }
}
