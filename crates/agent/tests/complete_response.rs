//! A caller gets the complete response to its request.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, within_timeout};
use http::StatusCode;
use stand_ins::{caller::Call, pattern::Pattern, upstream::Behavior};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_response_is_complete() {
    check_complete_response(0, 64).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_response_is_complete() {
    check_complete_response(0, 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_request_and_response_are_complete() {
    check_complete_response(24 << 20, 24 << 20).await;
}

async fn check_complete_response(sent_bytes: u64, answer_bytes: u64) {
    let fixture = Fixture::start(2, Behavior::new()).await;
    let connection = fixture.connect().await;
    let call = Call::post("/long/photo")
        .with_header("x-request-id", "photo-1")
        .with_header("x-answer-bytes", &answer_bytes.to_string())
        .with_generated_body("photo-1", sent_bytes);
    let answer = within_timeout(connection.request(call)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["x-received-bytes"], sent_bytes.to_string());
    assert!(Pattern::matches("photo-1", answer_bytes, &answer.body));
    assert_eq!(fixture.upstream.run_count_of("photo-1"), 1);
}
