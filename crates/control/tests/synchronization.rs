//! A process synchronizes with peers at startup and after a pause before it relies on its state.

#[path = "support/node.rs"]
mod node;
#[path = "../../bundle/tests/support/sample.rs"]
mod sample;

use std::time::Duration;

use bundle::{KeySet, sign_bundle};
use control::Role;
use node::Fleet;
use sample::{endpoint, first, key, next};
use stand_ins::platform::{Fault, Platform};

async fn fleet_and_platform() -> (Fleet, Platform, Role) {
    let fleet = Fleet::new(KeySet::new(vec![key(1).public()]));
    let address = "127.0.0.1:0".parse().unwrap();
    let platform = Platform::start(address).await.unwrap();
    let mut bundle = first(1);
    for _ in 1..=3 {
        platform
            .publish_bundle(&sign_bundle(&bundle, &key(1)))
            .unwrap();
        bundle = next(&bundle);
    }
    let role = Role::Balancer {
        platform: platform.address(),
    };
    (fleet, platform, role)
}

/// Guards against serving the platform's stale version because the first known peer is unreachable.
///
/// The peer that holds the newest version becomes known only after the first exchange.
#[tokio::test]
async fn startup_waits_for_peer_found_late() {
    let (fleet, platform, role) = fleet_and_platform().await;
    let ready_peer = fleet.start("survivor", role).await;
    ready_peer.wait_for_version(1, 3).await;
    platform.set_fault(Fault::StaleBy(2));
    let unreachable = endpoint(1).control_address;
    fleet.peers.send_replace(vec![unreachable]);
    let node = fleet.start("late", role).await;
    node.wait_for_counter("spread.exchanges", 1).await;
    fleet
        .peers
        .send_replace(vec![unreachable, ready_peer.address]);
    node.handle.wait_until_ready().await;
    assert_eq!(
        node.handle.version_vector()[0].version.get(),
        3,
        "must be the version of the ready peer, not that of the stale platform"
    );
}

#[tokio::test]
async fn process_becomes_ready_without_peers() {
    let (fleet, platform, role) = fleet_and_platform().await;
    platform.set_fault(Fault::StaleBy(2));
    let node = fleet.start("alone", role).await;
    node.handle.wait_until_ready().await;
    assert_eq!(
        node.handle.version_vector()[0].version.get(),
        1,
        "must serve the only version available"
    );
}

#[tokio::test]
async fn state_is_stale_after_pause() {
    let (fleet, _platform, role) = fleet_and_platform().await;
    let node = fleet.start("paused", role).await;
    node.handle.wait_until_ready().await;
    node.wait_for_version(1, 3).await;
    // Blocks the runtime's only thread, so that the process's ticks stop.
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(
        !node.handle.is_state_fresh(),
        "must be stale before the next tick"
    );
    node.wait_for_counter("process.paused", 1).await;
    while !node.handle.is_state_fresh() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
