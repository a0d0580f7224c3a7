//! How balancers come to hold the newest list of endpoints and routes.

mod support;

use passthrough::Event;
use support::{World, balancer_ip};
use units::{Millis, Revision, SettingsVersion};

#[test]
fn change_reaches_balancers_that_cannot_read() {
    let mut world = World::new(5, 3);
    world.change(&[2], |catalog| {
        catalog.settings_version = SettingsVersion::new(7);
    });
    world.run(700);
    for number in 0..5 {
        let catalog = world.balancer(number).view().catalog();
        assert_eq!(
            catalog.settings_version,
            SettingsVersion::new(7),
            "balancer {number}"
        );
    }
}

#[test]
fn empty_balancer_is_ready_only_with_settings() {
    let mut world = World::new(2, 3);
    world.start_blind_balancer(3);
    assert!(!world.balancer(3).is_ready());
    world.run(1_200);
    assert!(world.balancer(3).is_ready());
}

#[test]
fn older_list_is_ignored() {
    let mut world = World::new(1, 3);
    let old = world.catalog.clone();
    world.change(&[0], |catalog| {
        catalog.settings_version = SettingsVersion::new(9);
    });
    let newest = world.catalog.revision;
    world.catalog = old;
    world.publish_to(0);
    assert_eq!(world.balancer(0).view().catalog().revision, newest);
    // A newer revision with older settings is no progress either.
    world.catalog.revision = Revision::new(newest.get() + 5);
    world.publish_to(0);
    let settings = world.balancer(0).view().catalog().settings_version;
    assert_eq!(settings, SettingsVersion::new(9));
}

#[test]
fn large_list_is_sent_in_parts() {
    let mut world = World::new(1, 200);
    world.change(&[0], |_| {});
    world.start_blind_balancer(1);
    world.run(1_500);
    assert_eq!(world.balancer(1).view().catalog().endpoints.len(), 200);
}

#[test]
fn two_balancers_read_the_store() {
    let mut world = World::new(6, 3);
    for _ in 0..20 {
        confirm(&mut world);
        world.run(100);
    }
    let readers = (0..6)
        .filter(|it| world.balancer(*it).should_read_store())
        .count();
    assert_eq!(readers, 2);
}

#[test]
fn readers_that_are_cut_off_are_replaced() {
    let mut world = World::new(5, 3);
    for _ in 0..20 {
        confirm(&mut world);
        world.run(100);
    }
    let cut: Vec<u8> = (0..5)
        .filter(|it| world.balancer(*it).should_read_store())
        .collect();
    let before = world.events.len();
    // The readers wait for the store for ever; they still reach the others.
    world.run(2_000);
    for number in 0..5 {
        assert!(
            world.balancer(number).should_read_store(),
            "balancer {number}, cut {cut:?}"
        );
    }
    let duties = world.events[before..]
        .iter()
        .filter(|it| matches!(it.1, Event::StoreDuty { reads: true, .. }))
        .count();
    assert_eq!(duties, 3);
}

#[test]
fn lapsed_entries_keep_their_endpoints_for_two_seconds() {
    let mut world = World::new(1, 3);
    confirm(&mut world);
    // The store is away; meanwhile all entries lapse.
    world.run(4_000);
    let entries = world.catalog.endpoints.clone();
    world.change(&[0], |catalog| catalog.endpoints.clear());
    world.run(100);
    world
        .open(0, support::caller(1))
        .expect("the endpoints live");
    // One entry comes back, the others belong to endpoints that are gone.
    world.change(&[0], |catalog| catalog.endpoints.push(entries[0]));
    for _ in 0..33 {
        confirm(&mut world);
        world.run(100);
    }
    let gone: Vec<_> = entries[1..]
        .iter()
        .map(passthrough::Endpoint::agent)
        .collect();
    let before: Vec<_> = gone.iter().map(|it| world.endpoints[it].openings).collect();
    for number in 10..40 {
        world
            .open(0, support::caller(number))
            .expect("one endpoint is left");
    }
    let after: Vec<_> = gone.iter().map(|it| world.endpoints[it].openings).collect();
    assert_eq!(before, after);
}

#[test]
fn missing_entry_of_a_steady_store_takes_no_openings() {
    let mut world = World::new(1, 2);
    for _ in 0..30 {
        confirm(&mut world);
        world.run(100);
    }
    let gone = world.catalog.endpoints[0];
    world.change(&[0], |catalog| {
        catalog.endpoints.retain(|it| it.key != gone.key);
    });
    let before = world.endpoints[&gone.agent()].openings;
    for number in 0..20 {
        world
            .open(0, support::caller(number))
            .expect("one endpoint is left");
    }
    assert_eq!(world.endpoints[&gone.agent()].openings, before);
}

/// The store confirms to its readers that nothing changed.
fn confirm(world: &mut World) {
    for number in 0..6 {
        if world.has_balancer(number) && world.balancer(number).should_read_store() {
            world.confirm(number);
        }
    }
}

#[test]
fn stopping_reader_hands_its_duty_on() {
    let mut world = World::new(4, 3);
    for _ in 0..20 {
        confirm(&mut world);
        world.run(100);
    }
    let reader = (0..4)
        .find(|it| world.balancer(*it).should_read_store())
        .unwrap();
    world.stop_balancer(reader);
    world.run(Millis::new(600).get());
    let readers = (0..4)
        .filter(|it| *it != reader && world.balancer(*it).should_read_store())
        .count();
    assert_eq!(readers, 2, "stopped {}", balancer_ip(reader));
}
