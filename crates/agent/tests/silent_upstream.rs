//! Unresponsive or closed connections to the upstream are detected and replaced.

#[path = "fixture/fixture.rs"]
mod fixture;

use std::net::TcpListener;

use agent::Phase;
use fixture::{Fixture, wait_until, within_timeout};
use http::StatusCode;
use stand_ins::{
    caller::{Call, CallResponse, CallerConnection},
    upstream::{Behavior, Upstream},
};
use units::Slots;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_idle_connection_is_replaced() {
    let fixture = Fixture::start(2, Behavior::new()).await;
    let connection = fixture.connect().await;
    check_answered(&connection).await;
    fixture.upstream.silence_open_connections();
    wait_until(|| fixture.agent.counters().upstream_silent.get() > 0).await;
    check_answered(&connection).await;
    assert_eq!(fixture.upstream.accepted_connections(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_idle_connection_is_kept() {
    let fixture = Fixture::start(2, Behavior::new()).await;
    let connection = fixture.connect().await;
    check_answered(&connection).await;
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
    check_answered(&connection).await;
    assert_eq!(fixture.agent.counters().upstream_silent.get(), 0);
}

/// The endpoint leaves while its upstream accepts no connection, and serves again afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoint_leaves_while_upstream_is_unreachable() {
    let mut fixture = Fixture::start(2, Behavior::new()).await;
    let connection = fixture.connect().await;
    check_answered(&connection).await;
    let address = fixture.upstream.address();
    let spare = Upstream::start(Slots::new(2), Behavior::new()).await;
    drop(std::mem::replace(&mut fixture.upstream, spare.unwrap()));
    wait_until(|| TcpListener::bind(address).is_ok()).await;
    wait_until(|| fixture.agent.counters().upstream_silent.get() > 0).await;

    let call = Call::get("/fit").with_header("x-request-id", "refused");
    let answer = within_timeout(connection.request(call)).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(String::from_utf8_lossy(&answer.body).contains("problem:not-run"));
    wait_until(|| fixture.agent.phase() == Phase::Leaving).await;
    assert!(fixture.agent.load().get().is_leaving);

    let back = Upstream::start_at(address, Slots::new(2), Behavior::new()).await;
    fixture.upstream = back.unwrap();
    wait_until(|| fixture.agent.phase() == Phase::Serving).await;
    check_answered(&fixture.connect().await).await;
}

/// An idempotent request is sent again if its connection breaks; an at-most-once request is not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_idempotent_request_is_sent_again() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let connection = fixture.connect().await;
    // Ten requests earn the retry budget for one retry.
    for _request in 0..10 {
        check_answered(&connection).await;
    }
    let answer = within_timeout(run_and_close(&fixture, &connection, Call::get("/fit"))).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fixture.upstream.run_count_of("closed"), 2);

    tokio::time::sleep(std::time::Duration::from_millis(2100)).await;
    let purchase = Call::post("/purchase").with_header("idempotency-key", "k1");
    let answer = within_timeout(run_and_close(&fixture, &connection, purchase)).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(String::from_utf8_lossy(&answer.body).contains("outcome-unknown"));
    assert_eq!(fixture.upstream.run_count_of("closed"), 3);
}

/// Closes the upstream's connections while a call runs.
async fn run_and_close(
    fixture: &Fixture,
    connection: &CallerConnection,
    call: Call,
) -> CallResponse {
    let call = call
        .with_header("x-request-id", "closed")
        .with_header("x-run-time-ms", "300");
    let closing = async {
        wait_until(|| fixture.upstream.running_requests() == 1).await;
        fixture.upstream.close_open_connections();
    };
    tokio::join!(connection.request(call), closing).0.unwrap()
}

async fn check_answered(connection: &CallerConnection) {
    let answer = within_timeout(connection.request(Call::get("/fit")))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}
