//! A process keeps its bundles in force during faults of the platform and recovers afterwards.

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

/// Publishes a bundle version during a platform fault, waits until `counter` rises, and clears the
/// fault.
///
/// The bundle published before the fault must stay in force during the fault, and the bundle
/// published after the fault must come into force.
async fn check_fault(fault: Fault, counter: &str) {
    let fleet = Fleet::new(KeySet::new(vec![key(1).public()]));
    let platform = Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let role = Role::Balancer {
        platform: platform.address(),
    };
    let node = fleet.start("b0", role).await;
    let mut bundle = first(1);
    for version in 1..=2 {
        platform
            .publish_bundle(&sign_bundle(&bundle, &key(1)))
            .unwrap();
        node.wait_for_version(1, version).await;
        bundle = next(&bundle);
    }
    let before = node.handle.counters().get(counter);
    platform.set_fault(fault);
    platform
        .publish_bundle(&sign_bundle(&bundle, &key(1)))
        .unwrap();
    node.wait_for_counter(counter, before + 1).await;
    assert_eq!(
        node.handle.bundles_in_force().len(),
        1,
        "{fault:?}: the bundle must stay in force"
    );
    assert_eq!(
        node.handle.version_vector()[0].version.get(),
        2,
        "{fault:?}"
    );
    platform.set_fault(Fault::None);
    platform
        .publish_bundle(&sign_bundle(&next(&bundle), &key(1)))
        .unwrap();
    node.wait_for_version(1, 4).await;
}

#[tokio::test]
async fn bundle_stays_while_platform_is_down() {
    check_fault(Fault::Down, "platform.failed.http").await;
}

#[tokio::test]
async fn bundle_stays_while_platform_returns_errors() {
    check_fault(Fault::Erroring, "platform.failed.status").await;
}

#[tokio::test]
async fn bundle_stays_while_platform_body_is_garbled() {
    check_fault(Fault::InvalidJson, "platform.failed.form").await;
}

#[tokio::test]
async fn bundle_stays_while_platform_is_slow() {
    let delay = Duration::from_mins(1);
    check_fault(Fault::Slow(delay), "platform.failed.timeout").await;
}

#[tokio::test]
async fn bundle_stays_while_platform_hangs() {
    check_fault(Fault::Hanging, "platform.failed.timeout").await;
}

#[tokio::test]
async fn bundle_stays_while_platform_is_stale() {
    check_fault(Fault::StaleBy(10), "platform.stale").await;
}

#[tokio::test]
async fn bundle_stays_while_platform_index_is_empty() {
    check_fault(Fault::Empty, "platform.calls.index").await;
}

#[tokio::test]
async fn bundle_stays_when_publications_are_refused() {
    let fleet = Fleet::new(KeySet::new(vec![key(1).public()]));
    let platform = Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let role = Role::Balancer {
        platform: platform.address(),
    };
    let node = fleet.start("b0", role).await;
    platform
        .publish_bundle(&sign_bundle(&first(1), &key(1)))
        .unwrap();
    node.wait_for_version(1, 1).await;
    let modified = |change: fn(&mut bundle::Bundle), seed| {
        let mut bundle = next(&first(1));
        change(&mut bundle);
        sign_bundle(&bundle, &key(seed))
    };
    let cases = [
        (
            modified(|it| it.name = "forged".to_owned(), 2),
            "unknown_key",
        ),
        (modified(|it| it.endpoints.clear(), 1), "no_upstreams"),
        (
            modified(|it| it.endpoints = vec![endpoint(99)], 1),
            "all_replaced",
        ),
        (
            modified(|it| it.previous = Some(bundle::digest("")), 1),
            "broken_chain",
        ),
    ];
    for (envelope, kind) in cases {
        platform.publish_bundle(&envelope).unwrap();
        node.wait_for_counter(&format!("bundles.refused.{kind}"), 1)
            .await;
        assert_eq!(
            node.handle.bundles_in_force()[0].current.bundle,
            first(1),
            "{kind}"
        );
    }
    platform.publish_bundle(&modified(|_| {}, 1)).unwrap();
    node.wait_for_version(1, 2).await;
}
