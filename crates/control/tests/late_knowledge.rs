//! A process that knows too little, at its start or after a pause, asks before it goes on.

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
        platform.publish(&sign_bundle(&bundle, &key(1))).unwrap();
        bundle = next(&bundle);
    }
    let role = Role::Balancer {
        platform: platform.address(),
    };
    (fleet, platform, role)
}

#[tokio::test]
async fn peers_known_late() {
    let (fleet, platform, role) = fleet_and_platform().await;
    let survivor = fleet.start("survivor", role).await;
    survivor.holds(1, 3).await;
    platform.set_fault(Fault::StaleBy(2));
    let nobody = endpoint(1).control_address;
    fleet.peers.send_replace(vec![nobody]);
    let node = fleet.start("late", role).await;
    node.counts("spread.exchanges", 1).await;
    fleet.peers.send_replace(vec![nobody, survivor.address]);
    node.handle.wait_until_ready().await;
    assert_eq!(
        node.handle.version_vector()[0].version.get(),
        3,
        "not what the stale service shows"
    );
}

#[tokio::test]
async fn nobody_to_ask() {
    let (fleet, platform, role) = fleet_and_platform().await;
    platform.set_fault(Fault::StaleBy(2));
    let node = fleet.start("alone", role).await;
    node.handle.wait_until_ready().await;
    assert_eq!(
        node.handle.version_vector()[0].version.get(),
        1,
        "serves what there is"
    );
}

#[tokio::test]
async fn paused_process() {
    let (fleet, _platform, role) = fleet_and_platform().await;
    let node = fleet.start("paused", role).await;
    node.handle.wait_until_ready().await;
    node.holds(1, 3).await;
    // Blocks the only thread, so that nothing of the process runs.
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(!node.handle.is_fresh(), "at once, before any beat");
    node.counts("process.paused", 1).await;
    while !node.handle.is_fresh() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
