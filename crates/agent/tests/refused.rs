//! A request that was refused as "not run" did not run.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, within_timeout};
use futures_util::future::join_all;
use http::StatusCode;
use stand_ins::{
    caller::{Call, CallError, CallResponse, CallerConnection},
    upstream::Behavior,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_requests_did_not_run() {
    let fixture = Fixture::start(2, Behavior::new()).await;
    let connection = fixture.connect().await;
    let calls = (0..120).map(|it| send_call(&connection, it));
    let answers = within_timeout(join_all(calls)).await;
    let mut refused = 0;
    for (id, answer) in &answers {
        if is_refused(answer) {
            refused += 1;
            assert_eq!(
                fixture.upstream.run_count_of(id),
                0,
                "{id} was refused but ran"
            );
        }
    }
    assert!(
        refused > 0,
        "two slots can't run 120 requests of 20 ms in 200 ms"
    );
    assert_eq!(fixture.upstream.slot_violation_count(), 0);
    assert_eq!(fixture.upstream.peak_running_requests(), 2);
}

async fn send_call(
    connection: &CallerConnection,
    number: usize,
) -> (String, Result<CallResponse, CallError>) {
    let id = format!("r{number}");
    let call = Call::get("/fit")
        .with_header("x-request-id", &id)
        .with_header("x-run-time-ms", "20")
        .with_header("lovagehall-timeout-ms", "200");
    let answer = connection.request(call).await;
    (id, answer)
}

fn is_refused(answer: &Result<CallResponse, CallError>) -> bool {
    match answer {
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
            let body = String::from_utf8_lossy(&answer.body);
            assert!(body.contains("urn:lovagehall:problem:not-run"), "{body}");
            assert!(answer.headers.contains_key("retry-after"));
            true
        }
        Err(CallError::Rejected) => true,
        _ => false,
    }
}
