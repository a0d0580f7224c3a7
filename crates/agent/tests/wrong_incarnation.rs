//! Only datagrams of this incarnation's flows reach the QUIC library, so that a reset never ends a
//! live flow.
//!
//! All incarnations of a service's agents share one reset key, so the library would answer an
//! unknown connection id with a valid reset.

#[path = "fixture/fixture.rs"]
mod fixture;

use std::sync::Arc;

use agent::{Agent, Counter, Counters};
use fixture::{ENDPOINT, Fixture, INCARNATION, keys, wait_until, within_timeout};
use flow::cid::CidCodec;
use http::StatusCode;
use stand_ins::{caller::Call, relay::opening_candidate, upstream::Behavior};
use units::{EndpointId, Incarnation};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagram_for_other_endpoint_is_dropped() {
    let other = EndpointId::new(71);
    check_dropped(other, INCARNATION, |it| &it.dropped_foreign_incarnation).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagram_for_later_incarnation_is_dropped() {
    let later = Incarnation::new(INCARNATION.get() + 1);
    check_dropped(ENDPOINT, later, |it| &it.dropped_foreign_incarnation).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_connection_id_is_dropped() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    check_not_reset(&fixture, &[0x40; 120], |it| &it.dropped_unknown_flow).await;
}

/// The next incarnation of an agent resets the flows that a failed incarnation left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flow_of_earlier_incarnation_is_reset() {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let connection = fixture.connect().await;
    let mut config = fixture.config.clone();
    config.incarnation = Incarnation::new(INCARNATION.get() + 1);
    let successor = Agent::start(config, Arc::clone(&fixture.in_force)).unwrap();
    let address = successor.tunnel_address().unwrap();
    fixture
        .relay
        .set_agent(opening_candidate(ENDPOINT, address));

    let call = Call::get("/fit").with_header("x-request-id", "orphan");
    within_timeout(connection.request(call)).await.unwrap_err();
    assert_eq!(
        connection.close_reason(),
        Some(quinn::ConnectionError::Reset)
    );
    assert!(successor.counters().resets_sent.get() > 0);
    assert_eq!(fixture.upstream.run_count_of("orphan"), 0);

    let fresh = fixture.connect().await;
    let answer = within_timeout(fresh.request(Call::get("/fit")))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}

async fn check_dropped(
    endpoint: EndpointId,
    incarnation: Incarnation,
    counter: impl Fn(&Counters) -> &Counter,
) {
    let fixture = Fixture::start(1, Behavior::new()).await;
    let cid = CidCodec::new(keys()).encode(endpoint, incarnation, [5; 6]);
    let mut datagram = [0x40; 120];
    datagram[1..=cid.len()].copy_from_slice(&cid);
    check_not_reset(&fixture, &datagram, counter).await;
}

async fn check_not_reset(
    fixture: &Fixture,
    datagram: &[u8],
    counter: impl Fn(&Counters) -> &Counter,
) {
    let caller = "127.0.0.1:9".parse().unwrap();
    let relay = &fixture.relay;
    relay
        .inject_datagram(caller, INCARNATION, datagram)
        .await
        .unwrap();
    wait_until(|| counter(fixture.agent.counters()).get() == 1).await;
    let connection = fixture.connect().await;
    within_timeout(connection.request(Call::get("/fit")))
        .await
        .unwrap();
    assert_eq!(fixture.agent.counters().resets_sent.get(), 0);
}
