//! Above a threshold of pending handshakes callers validate their address by a QUIC Retry and still
//! connect.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, within_timeout};
use futures_util::future::join_all;
use http::StatusCode;
use stand_ins::{caller::Call, upstream::Behavior};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_connect_with_retry_for_every_handshake() {
    check_retry_and_connect(0, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_connect_with_retry_above_threshold() {
    check_retry_and_connect(4, 64).await;
}

/// Checks that callers who connect concurrently get responses, and that the agent sent a Retry to
/// at least one.
async fn check_retry_and_connect(retry_from: usize, connections: usize) {
    let change = |it: agent::Config| it.with_handshake_retry_threshold(retry_from);
    let fixture = Fixture::start_with(4, Behavior::new(), change).await;
    let calls = (0..connections).map(|_it| async {
        let connection = fixture.connect().await;
        connection.request(Call::get("/fit")).await.unwrap().status
    });
    let statuses = within_timeout(join_all(calls)).await;
    assert!(statuses.iter().all(|it| *it == StatusCode::OK));
    assert!(fixture.agent.counters().handshakes_retried.get() > 0);
}
