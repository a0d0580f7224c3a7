//! Requests that wait at one agent run at another with a free slot, once.

#[expect(dead_code, reason = "other test files use the rest of it")]
#[path = "fixture/cluster.rs"]
mod cluster;
#[path = "fixture/fixture.rs"]
mod fixture;

use cluster::Cluster;
use fixture::{soon, until};
use futures_util::future::join_all;
use http::StatusCode;
use stand_ins::{
    caller::{Call, CallerConnection},
    pattern::Pattern,
};

/// All callers are connected to one agent; the others' slots serve them too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_agent() {
    let cluster = Cluster::start(3, 2).await;
    let connection = cluster.connect(0).await;
    let calls = (0..90).map(|it| call(&connection, it));
    soon(join_all(calls)).await;
    for number in 0..90 {
        assert_eq!(cluster.runs_of(&format!("r{number}")), 1);
    }
    for node in &cluster.nodes {
        assert!(node.upstream.run_count() > 0, "every agent takes a share");
        assert_eq!(node.upstream.violations(), 0);
        assert!(node.upstream.busy_peak() <= 2);
    }
}

/// A caller that cancels ends its run at the other agent too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_elsewhere() {
    let cluster = Cluster::start(2, 1).await;
    let mut callers = Vec::new();
    for number in 0..2 {
        let connection = cluster.connect(0).await;
        let endless = Call::get("/fit").with_header("x-run-time-ms", "60000");
        callers.push(tokio::spawn(
            async move { connection.request(endless).await },
        ));
        until(|| busy(&cluster) == number + 1).await;
    }
    for caller in callers {
        caller.abort();
    }
    until(|| busy(&cluster) == 0).await;
}

/// An agent that stops ends what it took from others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_callee() {
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
        until(|| busy(&cluster) == number + 1).await;
    }
    let callee = cluster.nodes.remove(1);
    assert_eq!(callee.upstream.busy(), 1);
    let report = soon(callee.agent.stop()).await;
    assert_eq!(report.requests_cut, 0);
    for caller in callers {
        soon(caller).await.unwrap();
    }
}

fn busy(cluster: &Cluster) -> usize {
    cluster.nodes.iter().map(|it| it.upstream.busy()).sum()
}

async fn call(connection: &CallerConnection, number: u64) {
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
