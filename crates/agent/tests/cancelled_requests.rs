//! A request that the caller cancels or whose deadline passes is cancelled at the upstream too.

#[path = "fixture/fixture.rs"]
mod fixture;

use std::time::Duration;

use fixture::{Fixture, wait_until, within_timeout};
use http::StatusCode;
use stand_ins::{
    caller::{Call, CallError},
    upstream::{Behavior, RunEnd},
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_request_releases_slot() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let connection = fixture.connect().await;
    let call = never_ending_call().with_timeout(Duration::from_millis(300));
    let answer = within_timeout(connection.request(call)).await;
    assert_eq!(answer.unwrap_err(), CallError::Timeout);
    check_slot_released(&fixture).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_connection_releases_slot() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let connection = fixture.connect().await;
    let running = tokio::spawn(async move { connection.request(never_ending_call()).await });
    wait_until(|| fixture.upstream.running_requests() == 1).await;
    running.abort();
    check_slot_released(&fixture).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn passed_deadline_releases_slot() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let connection = fixture.connect().await;
    let call = never_ending_call().with_header("lovagehall-timeout-ms", "300");
    let answer = within_timeout(connection.request(call)).await.unwrap();
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    let body = String::from_utf8_lossy(&answer.body);
    assert!(body.contains("outcome-unknown"), "{body}");
    let deadline = fixture.upstream.runs()[0].deadline_ms.unwrap();
    assert!(
        deadline.get() <= 300,
        "the upstream got a deadline of {deadline}"
    );
    check_slot_released(&fixture).await;
}

async fn check_slot_released(fixture: &Fixture) {
    wait_until(|| fixture.upstream.running_requests() == 0).await;
    assert_eq!(fixture.upstream.runs()[0].end, Some(RunEnd::Cancelled));
    let connection = fixture.connect().await;
    let answer = within_timeout(connection.request(Call::get("/fit")))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}

fn never_ending_call() -> Call {
    Call::get("/fit").with_header("x-run-time-ms", "60000")
}
