//! What the platform's faults do to a process: nothing in force is lost, and it recovers.

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

/// Publishes under a fault, waits for the counter that shows it, then lets the fault pass.
async fn check(fault: Fault, shown_by: &str) {
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
        platform.publish(&sign_bundle(&bundle, &key(1))).unwrap();
        node.holds(1, version).await;
        bundle = next(&bundle);
    }
    let before = node.handle.counters().get(shown_by);
    platform.set_fault(fault);
    platform.publish(&sign_bundle(&bundle, &key(1))).unwrap();
    node.counts(shown_by, before + 1).await;
    assert_eq!(node.handle.snapshot().len(), 1, "{fault:?}: stays in force");
    assert_eq!(node.handle.held()[0].version.get(), 2, "{fault:?}");
    platform.set_fault(Fault::None);
    platform
        .publish(&sign_bundle(&next(&bundle), &key(1)))
        .unwrap();
    node.holds(1, 4).await;
}

#[tokio::test]
async fn down() {
    check(Fault::Down, "platform.failed.http").await;
}

#[tokio::test]
async fn erroring() {
    check(Fault::Erroring, "platform.failed.status").await;
}

#[tokio::test]
async fn garbled() {
    check(Fault::InvalidJson, "platform.failed.form").await;
}

#[tokio::test]
async fn slow() {
    let by = Duration::from_mins(1);
    check(Fault::Slow(by), "platform.failed.timeout").await;
}

#[tokio::test]
async fn hanging() {
    check(Fault::Hanging, "platform.failed.timeout").await;
}

#[tokio::test]
async fn stale() {
    check(Fault::StaleBy(10), "platform.stale").await;
}

#[tokio::test]
async fn empty() {
    check(Fault::Empty, "platform.calls.index").await;
}

#[tokio::test]
async fn bad_publications() {
    let fleet = Fleet::new(KeySet::new(vec![key(1).public()]));
    let platform = Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let role = Role::Balancer {
        platform: platform.address(),
    };
    let node = fleet.start("b0", role).await;
    platform.publish(&sign_bundle(&first(1), &key(1))).unwrap();
    node.holds(1, 1).await;
    let bad = |change: fn(&mut bundle::Bundle), seed| {
        let mut bundle = next(&first(1));
        change(&mut bundle);
        sign_bundle(&bundle, &key(seed))
    };
    let cases = [
        (bad(|it| it.name = "forged".to_owned(), 2), "unknown_key"),
        (bad(|it| it.endpoints.clear(), 1), "no_upstreams"),
        (
            bad(|it| it.endpoints = vec![endpoint(99)], 1),
            "all_replaced",
        ),
        (
            bad(|it| it.previous = Some(bundle::digest("")), 1),
            "broken_chain",
        ),
    ];
    for (envelope, kind) in cases {
        platform.publish(&envelope).unwrap();
        node.counts(&format!("bundles.refused.{kind}"), 1).await;
        assert_eq!(node.handle.snapshot()[0].current.bundle, first(1), "{kind}");
    }
    platform.publish(&bad(|_| {}, 1)).unwrap();
    node.holds(1, 2).await;
}
