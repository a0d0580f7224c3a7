//! Malformed and oversized requests are refused before they reach the upstream.

#[path = "fixture/fixture.rs"]
mod fixture;

use fixture::{Fixture, within_timeout};
use http::{Method, StatusCode};
use stand_ins::{caller::Call, upstream::Behavior};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_headers_are_refused() {
    let long = "x".repeat(9000);
    let cases = [
        (Call::get(&format!("/{long}")), StatusCode::URI_TOO_LONG),
        (
            Call::new(Method::TRACE, "/fit"),
            StatusCode::METHOD_NOT_ALLOWED,
        ),
        (
            call_with_many_headers(),
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        ),
        (
            Call::get("/fit").with_header("lovagehall-timeout-ms", "soon"),
            StatusCode::BAD_REQUEST,
        ),
        (Call::post("/purchase"), StatusCode::BAD_REQUEST),
        (
            Call::post("/purchase").with_header("idempotency-key", &"k".repeat(200)),
            StatusCode::BAD_REQUEST,
        ),
        (
            purchase_call().with_header("lovagehall-attempt", "none"),
            StatusCode::BAD_REQUEST,
        ),
        (
            purchase_call().with_header("lovagehall-attempt", "2"),
            StatusCode::BAD_REQUEST,
        ),
    ];
    check_refused(&cases).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_bodies_are_refused() {
    let cases = [
        (
            Call::post("/fit").with_header("content-length", "99999999999"),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
        (
            Call::post("/fit")
                .with_header("content-length", "many")
                .with_body("abc"),
            StatusCode::BAD_REQUEST,
        ),
        (
            Call::post("/fit").with_header("content-length", "9"),
            StatusCode::BAD_REQUEST,
        ),
    ];
    check_refused(&cases).await;
}

async fn check_refused(cases: &[(Call, StatusCode)]) {
    let fixture = Fixture::start(2, Behavior::new()).await;
    let connection = fixture.connect().await;
    for (call, status) in cases {
        let answer = within_timeout(connection.request(call.clone())).await;
        assert_eq!(answer.unwrap().status, *status, "{call:?}");
    }
    assert_eq!(fixture.upstream.run_count(), 0);
    let answer = within_timeout(connection.request(Call::get("/fit")))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}

/// Returns a call with more headers than allowed, but fewer bytes than the HTTP/3 settings allow.
fn call_with_many_headers() -> Call {
    (0..110).fold(Call::get("/fit"), |call, it| {
        call.with_header(&format!("x-{it}"), "1")
    })
}

fn purchase_call() -> Call {
    Call::post("/purchase").with_header("idempotency-key", "k1")
}
