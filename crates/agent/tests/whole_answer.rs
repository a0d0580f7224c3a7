//! A caller gets the whole answer to its own request.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, soon};
use http::StatusCode;
use stand_ins::{caller::Call, pattern::Pattern, upstream::Behavior};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_answer() {
    check(0, 64).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_answer() {
    check(0, 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_both_ways() {
    check(24 << 20, 24 << 20).await;
}

async fn check(sent_bytes: u64, answer_bytes: u64) {
    let fixture = Fixture::start(2, Behavior::new()).await;
    let connection = fixture.connect().await;
    let call = Call::post("/long/photo")
        .with_header("x-request-id", "photo-1")
        .with_header("x-answer-bytes", &answer_bytes.to_string())
        .with_generated_body("photo-1", sent_bytes);
    let answer = soon(connection.request(call)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["x-received-bytes"], sent_bytes.to_string());
    assert!(Pattern::matches("photo-1", answer_bytes, &answer.body));
    assert_eq!(fixture.upstream.runs_of("photo-1"), 1);
}
