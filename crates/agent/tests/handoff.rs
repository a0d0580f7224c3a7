//! Requests queued at one agent are handed off to agents with free slots and run once.

#[expect(dead_code, reason = "other test files use the rest of the module")]
#[path = "fixture/cluster.rs"]
mod cluster;
#[path = "fixture/fixture.rs"]
mod fixture;

use cluster::Cluster;
use fixture::{wait_until, within_timeout};
use futures_util::future::join_all;
use http::StatusCode;
use stand_ins::{
    caller::{Call, CallerConnection},
    pattern::Pattern,
};

/// All callers are connected to one agent, which hands off requests to all others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_agent_hands_off_to_all_others() {
    let cluster = Cluster::start(3, 2).await;
    let connection = cluster.connect(0).await;
    let calls = (0..90).map(|it| check_call(&connection, it));
    within_timeout(join_all(calls)).await;
    for number in 0..90 {
        assert_eq!(cluster.runs_of(&format!("r{number}")), 1);
    }
    for node in &cluster.nodes {
        assert!(
            node.upstream.run_count() > 0,
            "every agent must run some of the requests"
        );
        assert_eq!(node.upstream.slot_violation_count(), 0);
        assert!(node.upstream.peak_running_requests() <= 2);
    }
}

/// Cancelling a request that was handed off cancels its run at the other agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelling_handed_off_request_cancels_its_run() {
    let cluster = Cluster::start(2, 1).await;
    let mut callers = Vec::new();
    for number in 0..2 {
        let connection = cluster.connect(0).await;
        let never_ending = Call::get("/fit").with_header("x-run-time-ms", "60000");
        callers.push(tokio::spawn(async move {
            connection.request(never_ending).await
        }));
        wait_until(|| busy_slots(&cluster) == number + 1).await;
    }
    for caller in callers {
        caller.abort();
    }
    wait_until(|| busy_slots(&cluster) == 0).await;
}

/// A stopping agent completes the requests that others handed off to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_agent_completes_handed_off_requests() {
    let mut cluster = Cluster::start(2, 1).await;
    let mut callers = Vec::new();
    for number in 0..2 {
        let connection = cluster.connect(0).await;
        let id = format!("r{number}");
        let call = Call::get("/fit")
            .with_header("x-request-id", &id)
            .with_header("x-run-time-ms", "700")
            .with_header("x-answer-bytes", "300000");
        callers.push(tokio::spawn(async move {
            let answer = connection.request(call).await.unwrap();
            assert!(Pattern::matches(&id, 300_000, &answer.body));
        }));
        wait_until(|| busy_slots(&cluster) == number + 1).await;
    }
    let callee = cluster.nodes.remove(1);
    assert_eq!(callee.upstream.running_requests(), 1);
    let report = within_timeout(callee.agent.stop()).await;
    assert_eq!(report.requests_cut, 0);
    for caller in callers {
        within_timeout(caller).await.unwrap();
    }
}

fn busy_slots(cluster: &Cluster) -> usize {
    cluster
        .nodes
        .iter()
        .map(|it| it.upstream.running_requests())
        .sum()
}

async fn check_call(connection: &CallerConnection, number: u64) {
    let id = format!("r{number}");
    let answer_bytes = number * 1000;
    let call = Call::post("/fit")
        .with_header("x-request-id", &id)
        .with_header("x-run-time-ms", "30")
        .with_header("x-answer-bytes", &answer_bytes.to_string())
        .with_generated_body(&id, number * 100);
    let answer = connection.request(call).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(
        answer.headers["x-received-bytes"],
        (number * 100).to_string()
    );
    assert!(Pattern::matches(&id, answer_bytes, &answer.body));
}
