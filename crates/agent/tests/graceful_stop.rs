//! A graceful stop completes running requests and rejects new ones.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, wait_until, within_timeout};
use http::StatusCode;
use stand_ins::{
    caller::{Call, CallError},
    pattern::Pattern,
    upstream::Behavior,
};

const ANSWER_BYTES: u64 = 8 << 20;
const UPLOAD_BYTES: u64 = 8 << 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_completes_running_requests() {
    let fixture = Fixture::start(4, Behavior::new()).await;
    let connection = fixture.connect().await;
    let call = Call::post("/long/page")
        .with_header("x-request-id", "page")
        .with_header("x-run-time-ms", "700")
        .with_header("x-answer-bytes", &ANSWER_BYTES.to_string())
        .with_generated_body("page", UPLOAD_BYTES);
    let running = tokio::spawn(async move {
        let answer = connection.request(call).await;
        (connection, answer)
    });
    wait_until(|| fixture.upstream.running_requests() == 1).await;
    let load = std::sync::Arc::clone(fixture.agent.load());
    let Fixture {
        agent, upstream, ..
    } = fixture;
    let report = within_timeout(agent.stop()).await;
    assert!(load.get().is_leaving);
    assert_eq!(report.connections_cut, 0);
    assert_eq!(report.requests_cut, 0);
    let (_connection, answer) = within_timeout(running).await.unwrap();
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(Pattern::matches("page", ANSWER_BYTES, &answer.body));
    assert_eq!(upstream.run_count_of("page"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_during_stop_are_answered_or_rejected() {
    let fixture = Fixture::start(4, Behavior::new()).await;
    let connection = fixture.connect().await;
    within_timeout(connection.request(Call::get("/fit")))
        .await
        .unwrap();
    let Fixture {
        agent,
        upstream,
        caller: _caller,
        relay: _relay,
        ..
    } = fixture;
    let stopping = tokio::spawn(agent.stop());
    let mut number = 0;
    loop {
        let id = format!("late{number}");
        let call = Call::get("/fit").with_header("x-request-id", &id);
        number += 1;
        match within_timeout(connection.request(call)).await {
            Ok(answer) => assert_eq!(answer.status, StatusCode::OK),
            Err(CallError::Rejected) => {
                assert_eq!(upstream.run_count_of(&id), 0);
                break;
            }
            Err(err) => panic!("a request during a stop must be answered or rejected: {err}"),
        }
    }
    let report = within_timeout(stopping).await.unwrap();
    assert_eq!(report.requests_cut, 0);
}
