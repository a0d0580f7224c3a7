//! Callers that send incomplete requests or malformed frames hold no slot and don't block others.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, wait_until, within_timeout};
use http::StatusCode;
use stand_ins::{caller::Call, upstream::Behavior};

/// HEADERS frame of `POST https://a/`, encoded with QPACK's static table.
const POST_HEAD: [u8; 10] = [0x01, 8, 0, 0, 0xd4, 0xd7, 0xc1, 0x50, 1, b'a'];

/// Number of requests that are never completed: more than the slots, fewer than the stream limit.
const REQUESTS: usize = 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_body_holds_no_slot() {
    check_no_slot_held(&POST_HEAD).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partial_head_holds_no_slot() {
    check_no_slot_held(&POST_HEAD[..5]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partial_body_holds_no_slot() {
    let mut start = POST_HEAD.to_vec();
    // A DATA frame of 63 bytes, of which only one is sent.
    start.extend([0x00, 63, b'x']);
    check_no_slot_held(&start).await;
}

/// A caller that violates HTTP/3 loses its own connection only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_frames_close_only_their_connection() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let (good, bad) = (fixture.connect().await, fixture.connect().await);
    let (mut send, _recv) = bad.quic_connection().open_bi().await.unwrap();
    // A DATA frame before HEADERS.
    send.write_all(&[0x00, 1, b'x']).await.unwrap();
    wait_until(|| bad.close_reason().is_some()).await;
    let answer = within_timeout(good.request(Call::get("/fit")))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fixture.upstream.run_count(), 1);
}

/// Checks that other requests are served while requests stay incomplete after the bytes `start`.
async fn check_no_slot_held(start: &[u8]) {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let connection = fixture.connect().await;
    let mut streams = Vec::new();
    for _request in 0..REQUESTS {
        let (mut send, recv) = connection.quic_connection().open_bi().await.unwrap();
        send.write_all(start).await.unwrap();
        streams.push((send, recv));
    }
    for _call in 0..3 {
        let answer = within_timeout(connection.request(Call::get("/fit")))
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(fixture.upstream.run_count(), 3);
}
