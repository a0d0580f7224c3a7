//! Loss of the balancers that read the store.

mod support;

use passthrough::Balancer;
use support::{SimNetwork, TestFormat};

const BALANCERS: u8 = 6;

/// Time within which a change of the catalog must take effect everywhere.
const BOUND_MS: u64 = 3_000;

/// Longest time until a balancer that takes over has read the store, if its first call fails: the
/// time limit of a call, the delays after it and after a watch whose history is gone, and two more
/// calls.
const READ_AFTER_FAILURE_MS: u64 = 900 + 60 + 120 + 100;

/// Lets the balancers that read the store read it once a second for `ms` milliseconds.
fn read_store_for(network: &mut SimNetwork, ms: u64) {
    for _ in 0..ms / 1_000 {
        for reader in store_readers(network) {
            network.confirm_unchanged_catalog(reader);
        }
        network.advance_ms(1_000);
    }
}

fn store_readers(network: &SimNetwork) -> Vec<u8> {
    (0..BALANCERS)
        .filter(|it| network.has_balancer(*it) && network.balancer(*it).should_read_store())
        .collect()
}

/// Removes the balancers that read the store, `ms` milliseconds after the store's last answer.
fn remove_readers(network: &mut SimNetwork, ms: u64) -> Vec<(u8, Balancer<TestFormat>)> {
    let readers = store_readers(network);
    assert_eq!(readers.len(), 2);
    for reader in &readers {
        network.confirm_unchanged_catalog(*reader);
    }
    network.advance_ms(ms);
    let lost = readers
        .into_iter()
        .map(|it| (it, network.freeze_balancer(it)));
    lost.collect()
}

/// Guards against a look-out for lost readers that is as late as the next digest.
#[test]
fn lost_readers_are_replaced_in_time() {
    for phase_ms in (0..500).step_by(50) {
        let mut network = SimNetwork::new(BALANCERS, 3);
        read_store_for(&mut network, 3_000);
        network.advance_ms(phase_ms);
        // A digest tells the others of the store's answer.
        let lost = remove_readers(&mut network, 501);
        network.advance_ms(BOUND_MS - READ_AFTER_FAILURE_MS - 501);
        let readers = store_readers(&network);
        let remaining = usize::from(BALANCERS) - lost.len();
        assert_eq!(readers.len(), remaining, "phase {phase_ms} ms: {readers:?}");
    }
}

/// Guards against a pause between the takeover and the time at which the ranks of the lost readers
/// have passed to others.
#[test]
fn store_is_read_without_a_pause_after_a_takeover() {
    let mut network = SimNetwork::new(BALANCERS, 3);
    read_store_for(&mut network, 3_000);
    let _lost = remove_readers(&mut network, 300);
    network.advance_ms(1_450);
    assert!(!store_readers(&network).is_empty());
    for step in 0..40 {
        for reader in store_readers(&network) {
            network.confirm_unchanged_catalog(reader);
        }
        network.advance_ms(100);
        let readers = store_readers(&network);
        assert!(readers.len() >= 2, "{} ms: {readers:?}", step * 100);
    }
    assert_eq!(store_readers(&network).len(), 2);
}

/// Guards against readers that are lost again just after others have taken over.
#[test]
fn readers_lost_in_a_row_are_replaced_in_time() {
    let mut network = SimNetwork::new(BALANCERS, 3);
    for _ in 0..2 {
        read_store_for(&mut network, 4_000);
        let _lost = remove_readers(&mut network, 501);
        network.advance_ms(BOUND_MS - READ_AFTER_FAILURE_MS - 501);
        let remaining = (0..BALANCERS)
            .filter(|it| network.has_balancer(*it))
            .count();
        assert_eq!(store_readers(&network).len(), remaining);
    }
}
