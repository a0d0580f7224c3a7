//! Under a flood of handshakes callers prove their address first, and get through.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, soon};
use futures_util::future::join_all;
use http::StatusCode;
use stand_ins::{caller::Call, upstream::Behavior};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_handshake() {
    check(0, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn above_bound() {
    check(4, 64).await;
}

/// Opens connections at once; each must work, and some must have proved their address.
async fn check(retry_from: usize, connections: usize) {
    let change = |it: agent::Config| it.with_handshake_retry_threshold(retry_from);
    let fixture = Fixture::start_with(4, Behavior::new(), change).await;
    let calls = (0..connections).map(|_it| async {
        let connection = fixture.connect().await;
        connection.request(Call::get("/fit")).await.unwrap().status
    });
    let statuses = soon(join_all(calls)).await;
    assert!(statuses.iter().all(|it| *it == StatusCode::OK));
    assert!(fixture.agent.counters().handshakes_retried.get() > 0);
}
