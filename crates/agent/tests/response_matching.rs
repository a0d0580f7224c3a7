//! Each request gets its own complete response, also if datagrams are lost, duplicated or
//! reordered.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, within_timeout};
use futures_util::future::join_all;
use http::StatusCode;
use stand_ins::{
    caller::{Call, CallerConnection, Faults},
    pattern::Pattern,
    upstream::Behavior,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn out_of_order_responses_match() {
    check_responses_match(Faults::default()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_match_on_bad_network() {
    let faults = Faults {
        drop_percent: 2,
        duplicate_percent: 5,
        delay_max_ms: 20,
        delay_percent: 10,
    };
    check_responses_match(faults).await;
}

async fn check_responses_match(faults: Faults) {
    let fixture = Fixture::start(4, Behavior::new()).await;
    let connections = [fixture.connect().await, fixture.connect().await];
    fixture.fabric.set_faults(faults);
    let calls = (0..60).map(|it| check_call(&connections[it % 2], it));
    within_timeout(join_all(calls)).await;
    assert_eq!(fixture.upstream.slot_violation_count(), 0);
}

async fn check_call(connection: &CallerConnection, number: usize) {
    let id = format!("r{number}");
    let answer_bytes = (number * 7919 % 100_000) as u64;
    let run_time_ms = number * 31 % 40;
    let call = Call::get("/fit")
        .with_header("x-request-id", &id)
        .with_header("x-run-time-ms", &run_time_ms.to_string())
        .with_header("x-answer-bytes", &answer_bytes.to_string());
    let answer = connection.request(call).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(Pattern::matches(&id, answer_bytes, &answer.body));
}
