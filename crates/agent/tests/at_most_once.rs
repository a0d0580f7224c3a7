//! A request on an at-most-once route runs at most once, even if its caller repeats it at several
//! agents.

#[path = "fixture/cluster.rs"]
mod cluster;
#[path = "fixture/fixture.rs"]
mod fixture;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cluster::Cluster;
use fixture::{wait_until, within_timeout};
use futures_util::future::join_all;
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng};
use stand_ins::{
    caller::{Call, CallError, CallResponse, CallerConnection},
    pattern::Pattern,
    upstream::keys_run_twice,
};

/// Time by which the first-sent times of the tests' requests are ahead of the clock.
///
/// The agents' records cover first-sent times later than their start plus the maximum clock skew of
/// 2 s, and an agent refuses first-sent times that are further ahead than that skew.
const FIRST_SENT_AHEAD_MS: u64 = 1_990;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_attempt_runs_once() {
    let cluster = Cluster::start(3, 2).await;
    let connections = cluster.connect_all().await;
    let sent_ms = covered_first_sent_ms().await;
    for (number, connection) in connections.iter().cycle().take(12).enumerate() {
        let id = format!("p{number}");
        let answer = within_timeout(connection.request(purchase_call(&id, 1, sent_ms))).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
        assert_eq!(cluster.runs_of(&id), 1);
    }
    let counters = cluster.nodes.iter().map(|it| it.agent.counters());
    let started: u64 = counters.map(|it| it.requests_started.get()).sum();
    assert_eq!(started, 12);
}

/// A caller that timed out repeats the request at another agent and gets the cached response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_run_gets_cached_response() {
    let cluster = Cluster::start(3, 2).await;
    let connections = cluster.connect_all().await;
    let sent_ms = covered_first_sent_ms().await;
    for number in 0..6 {
        let id = format!("p{number}");
        let lost = purchase_call(&id, 1, sent_ms)
            .with_header("x-run-time-ms", "300")
            .with_timeout(Duration::from_millis(150));
        let answer = within_timeout(connections[number % 3].request(lost)).await;
        assert_eq!(answer.unwrap_err(), CallError::Timeout);
        let again = purchase_call(&id, 2, sent_ms);
        let answer = within_timeout(connections[(number + 1) % 3].request(again)).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert!(Pattern::matches(&id, 64, &answer.body));
        assert_eq!(cluster.runs_of(&id), 1);
    }
}

/// A run that ended without a response is never repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_timeout_does_not_run() {
    let cluster = Cluster::start(3, 2).await;
    let connections = cluster.connect_all().await;
    let sent_ms = covered_first_sent_ms().await;
    for number in 0..6 {
        let id = format!("p{number}");
        let never_ending = purchase_call(&id, 1, sent_ms)
            .with_header("x-run-time-ms", "60000")
            .with_header("lovagehall-timeout-ms", "200");
        let answer = within_timeout(connections[number % 3].request(never_ending)).await;
        check_outcome_unknown(&answer.unwrap());
        let again = purchase_call(&id, 2, sent_ms);
        let answer = within_timeout(connections[(number + 1) % 3].request(again)).await;
        check_outcome_unknown(&answer.unwrap());
        assert_eq!(cluster.runs_of(&id), 1);
    }
}

/// An attempt that was refused can be repeated anywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_refusal_runs_once() {
    let cluster = Cluster::start(3, 1).await;
    let connections = cluster.connect_all().await;
    let sent_ms = covered_first_sent_ms().await;
    let mut blocking = Vec::new();
    for (number, node) in cluster.nodes.iter().enumerate() {
        let blocker = cluster.connect(number).await;
        let busy = Call::get("/fit").with_header("x-run-time-ms", "60000");
        blocking.push(tokio::spawn(async move { blocker.request(busy).await }));
        wait_until(|| node.upstream.running_requests() == 1).await;
    }
    let ids = ["p0", "p1", "p2", "p3"];
    for id in ids {
        let refused = purchase_call(id, 1, sent_ms).with_header("lovagehall-timeout-ms", "200");
        let answer = within_timeout(connections[0].request(refused))
            .await
            .unwrap();
        check_not_run(&answer);
        assert_eq!(cluster.runs_of(id), 0);
    }
    for blocker in blocking {
        blocker.abort();
    }
    for id in ids {
        let answer = within_timeout(connections[1].request(purchase_call(id, 2, sent_ms))).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
        assert_eq!(cluster.runs_of(id), 1);
    }
}

/// While one agent is unreachable, the outcome of a repeat is unknown: that agent may have run the
/// first attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_agent_makes_outcome_unknown() {
    let cluster = Cluster::start(3, 2).await;
    let connections = cluster.connect_all().await;
    let sent_ms = covered_first_sent_ms().await;
    cluster.nodes[2].refuse_calls();
    for number in 0..12 {
        let id = format!("p{number}");
        let answer = within_timeout(connections[0].request(purchase_call(&id, 2, sent_ms))).await;
        check_outcome_unknown(&answer.unwrap());
        assert_eq!(cluster.runs_of(&id), 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_repeats_run_at_most_once() {
    let cluster = Cluster::start(3, 2).await;
    let connections = cluster.connect_all().await;
    let sent_ms = covered_first_sent_ms().await;
    let callers = (0..40).map(|it| repeat_until_run(&connections, it, sent_ms));
    let outcomes = within_timeout(join_all(callers)).await;
    for (id, has_run) in outcomes {
        let runs = cluster.runs_of(&id);
        assert!(runs <= 1, "{id} ran {runs} times");
        if let Some(has_run) = has_run {
            assert_eq!(runs == 1, has_run, "{id}");
        }
    }
    let upstreams: Vec<_> = cluster.nodes.into_iter().map(|it| it.upstream).collect();
    assert_eq!(keys_run_twice(&upstreams), Vec::<String>::new());
}

/// Sends a purchase up to five times until it has run.
///
/// Returns the purchase's id and whether the purchase ran, `None` if the last attempt's outcome is
/// unknown.
async fn repeat_until_run(
    connections: &[CallerConnection],
    number: u64,
    sent_ms: u64,
) -> (String, Option<bool>) {
    let mut rng = StdRng::seed_from_u64(number);
    let id = format!("p{number}");
    let mut has_run = None;
    for attempt in 1..6 {
        let connection = &connections[rng.random_range(0..connections.len())];
        let call = purchase_call(&id, attempt, sent_ms)
            .with_header("x-run-time-ms", "20")
            .with_timeout(Duration::from_millis(rng.random_range(5..200)));
        has_run = match connection.request(call).await {
            Ok(answer) if answer.status == StatusCode::OK => Some(true),
            Ok(answer) if is_not_run(&answer) => Some(false),
            Ok(_) | Err(CallError::Timeout) => None,
            Err(err) => panic!("{err}"),
        };
        if has_run == Some(true) {
            break;
        }
    }
    (id, has_run)
}

fn purchase_call(id: &str, attempt: u32, sent_ms: u64) -> Call {
    Call::post("/purchase")
        .with_header("x-request-id", id)
        .with_header("idempotency-key", id)
        .with_header("lovagehall-attempt", &attempt.to_string())
        .with_header("lovagehall-first-sent-ms", &sent_ms.to_string())
        .with_body("one jug")
}

/// Returns a first-sent time from which on the agents' records are complete.
async fn covered_first_sent_ms() -> u64 {
    tokio::time::sleep(Duration::from_millis(50)).await;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap() + FIRST_SENT_AHEAD_MS
}

fn check_outcome_unknown(answer: &CallResponse) {
    let body = String::from_utf8_lossy(&answer.body);
    assert!(body.contains("outcome-unknown"), "{body}");
}

fn check_not_run(answer: &CallResponse) {
    assert!(is_not_run(answer), "{answer:?}");
}

fn is_not_run(answer: &CallResponse) -> bool {
    String::from_utf8_lossy(&answer.body).contains("problem:not-run")
}
