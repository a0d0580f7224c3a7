//! The agent applies changes of the current bundle.

#[path = "fixture/fixture.rs"]
mod fixture;

use std::sync::Arc;

use agent::Phase;
use bundle::InForce;
use fixture::{Fixture, in_force, wait_until, within_timeout};
use http::StatusCode;
use stand_ins::{
    caller::Call,
    upstream::{Behavior, Upstream},
};
use units::{BundleVersion, Slots};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn newer_version_in_tunnel_header_is_reported() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let seen = fixture.agent.highest_seen_version();
    fixture.relay.set_bundle_version(BundleVersion::new(9));
    let _connection = fixture.connect().await;
    wait_until(|| *seen.borrow() == BundleVersion::new(9)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoint_leaves_and_serves_again() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    fixture
        .in_force
        .store(Arc::new(leaving_bundle_in_force(&fixture, 2)));
    wait_until(|| fixture.agent.phase() == Phase::Leaving).await;
    assert!(fixture.agent.load().get().is_leaving);
    let back = in_force(3, &fixture.upstream, 1);
    fixture.in_force.store(Arc::new(back));
    wait_until(|| fixture.agent.phase() == Phase::Serving).await;
    assert!(!fixture.agent.load().get().is_leaving);
    let connection = fixture.connect().await;
    let answer = within_timeout(connection.request(Call::get("/fit")))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_go_to_changed_upstream_address() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let connection = fixture.connect().await;
    within_timeout(connection.request(Call::get("/fit")))
        .await
        .unwrap();
    let new_upstream = Upstream::start(Slots::new(1), Behavior::new())
        .await
        .unwrap();
    fixture
        .in_force
        .store(Arc::new(in_force(2, &new_upstream, 1)));
    let mut events = fixture.agent.events();
    while new_upstream.run_count() == 0 {
        within_timeout(connection.request(Call::get("/fit")))
            .await
            .unwrap();
    }
    let applied = agent::AgentEvent::BundleApplied(BundleVersion::new(2));
    assert_eq!(within_timeout(events.recv()).await.unwrap(), applied);
}

fn leaving_bundle_in_force(fixture: &Fixture, version: u64) -> InForce {
    let mut in_force = in_force(version, &fixture.upstream, 1);
    let current = Arc::get_mut(&mut in_force.current).unwrap();
    current.bundle.endpoints[0].is_leaving = true;
    in_force
}
