//! Age of the store's confirmations that balancers pass on to each other.

mod support;

use passthrough::Event;
use support::{SimNetwork, balancer_ip};

/// Time within which a change of the catalog must take effect everywhere.
const BOUND_MS: u64 = 3_000;

/// Longest time until a balancer that takes over has read the store, if its first call fails: the
/// time limit of a call, the delays after it and after a watch whose history is gone, and two more
/// calls.
const READ_AFTER_FAILURE_MS: u64 = 900 + 60 + 120 + 100;

/// Additional time until all balancers of a large fleet have taken over.
const STANDBY_DELAY_MAX_MS: u64 = 1_000;

fn readers(network: &SimNetwork, balancers: u8) -> Vec<u8> {
    (0..balancers)
        .filter(|it| network.balancer(*it).should_read_store())
        .collect()
}

/// Lets the balancers that read the store read it once a second.
fn read_store_for(network: &mut SimNetwork, balancers: u8, seconds: u64) {
    for _ in 0..seconds {
        for reader in readers(network, balancers) {
            network.confirm_unchanged_catalog(reader);
        }
        network.advance_ms(1_000);
    }
}

fn fleet(balancers: u8) -> SimNetwork {
    let mut network = SimNetwork::new(0, 2);
    network.balancer_zones = 3;
    for number in 0..balancers {
        network.start_balancer(number);
    }
    network.advance_ms(2_100);
    read_store_for(&mut network, balancers, 8);
    network
}

/// Cuts both readers off from the store while messages wait at the links of `slow` other balancers,
/// and checks that the others read the store in time.
fn check_takeover(balancers: u8, slow: usize, wait_ms: u64, bound_ms: u64) {
    for phase_ms in [0, 170, 330] {
        let mut network = fleet(balancers);
        let lost = readers(&network, balancers);
        assert_eq!(lost.len(), 2);
        let others = (0..balancers).filter(|it| !lost.contains(it));
        for number in others.clone().take(slow) {
            network.link_waits.insert(balancer_ip(number), wait_ms);
        }
        read_store_for(&mut network, balancers, 3);
        network.advance_ms(phase_ms);
        let cut_off = readers(&network, balancers);
        for reader in &cut_off {
            network.confirm_unchanged_catalog(*reader);
        }
        network.advance_ms(bound_ms);
        let reading = readers(&network, balancers);
        let others = (0..balancers).filter(|it| !cut_off.contains(it));
        let missing: Vec<u8> = others.filter(|it| !reading.contains(it)).collect();
        assert!(
            missing.is_empty(),
            "{balancers} balancers, phase {phase_ms} ms, {wait_ms} ms at {slow} links: {missing:?} \
             don't read the store {bound_ms} ms after its last answer"
        );
    }
}

/// Guards against confirmations that go round among balancers and hardly age, since each hop through
/// a slow link takes the time on the way off their age.
#[test]
fn slow_link_hides_no_lost_reader() {
    let bound_ms = BOUND_MS - READ_AFTER_FAILURE_MS;
    for wait_ms in [50, 200, 400] {
        check_takeover(6, 1, wait_ms, bound_ms);
        check_takeover(6, 3, wait_ms, bound_ms);
    }
    check_takeover(40, 3, 400, bound_ms + STANDBY_DELAY_MAX_MS);
}

/// Checks that nobody reads the store needlessly if messages take 20 ms and some balancers are busy
/// for 100 ms.
#[test]
fn ordinary_delays_cause_no_takeover() {
    for balancers in [6, 40] {
        let mut network = fleet(balancers);
        for number in 0..balancers {
            let wait_ms = if number % 5 == 0 { 100 } else { 10 };
            network.link_waits.insert(balancer_ip(number), wait_ms);
        }
        let before = network.events.len();
        read_store_for(&mut network, balancers, 30);
        let duties = network.events[before..]
            .iter()
            .filter(|it| matches!(it.1, Event::StoreDuty { .. }))
            .count();
        assert_eq!(duties, 0, "{balancers} balancers");
    }
}

/// Checks that a change, whose chunks bring no confirmation of their own to a balancer that has just
/// been heard of, makes nobody read the store.
#[test]
fn changes_cause_no_takeover() {
    for balancers in [6, 40] {
        let mut network = fleet(balancers);
        let before = network.events.len();
        for step in 0..20_u64 {
            let active = readers(&network, balancers);
            network.update_catalog(&active, |catalog| {
                catalog.endpoints[0].born_ms = 10 + step;
            });
            network.advance_ms(1_250);
            let newest = network.catalog.revision;
            for number in 0..balancers {
                let catalog = network.balancer(number).catalog_view().catalog();
                assert_eq!(catalog.revision, newest, "balancer {number}");
            }
        }
        let duties = network.events[before..]
            .iter()
            .filter(|it| matches!(it.1, Event::StoreDuty { .. }))
            .count();
        assert_eq!(duties, 0, "{balancers} balancers");
    }
}

/// Guards against a takeover because the confirmation after a change, 1.25 s later, waits for the next
/// regular digest.
#[test]
fn confirmation_after_a_change_is_not_late() {
    for phase_ms in (0..500).step_by(20) {
        let mut network = fleet(6);
        network.advance_ms(phase_ms);
        let active = readers(&network, 6);
        network.update_catalog(&active, |catalog| catalog.endpoints[0].born_ms = 10);
        network.advance_ms(1_270);
        for reader in &active {
            network.confirm_unchanged_catalog(*reader);
        }
        network.advance_ms(500);
        assert_eq!(readers(&network, 6), active, "phase {phase_ms} ms");
    }
}
