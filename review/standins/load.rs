//! Steady traffic: a new flow with one purchase each, and what an endpoint took of it.

use std::{
    net::SocketAddrV4,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{client::Client, endpoint::Endpoint, record::Record, world::World};

const FLOW_INTERVAL: Duration = Duration::from_millis(8);
const HOSTS: u8 = 12;
const DEADLINE: Duration = Duration::from_millis(600);

/// Starts clients that open a flow every 8 ms, send a purchase on it and close it, for `span`.
pub fn start_purchases(
    world: &World,
    route: SocketAddrV4,
    span: Duration,
) -> Result<JoinHandle<()>, String> {
    let clients: Result<Vec<Client>, String> = (1..=HOSTS)
        .map(|it| world.client(it, it.into()))
        .collect();
    let (clients, record) = (clients?, world.record.clone());
    Ok(thread::spawn(move || {
        let end = Instant::now() + span;
        let mut threads = Vec::new();
        let mut next = Instant::now();
        for number in 0_u16.. {
            if Instant::now() > end {
                break;
            }
            let client = clients[usize::from(number) % clients.len()].clone();
            threads.push(thread::spawn(move || {
                let Ok(mut flow) = client.open(41_000 + number, route) else {
                    return;
                };
                let _ = flow.request(&format!("purchase-{number}"), DEADLINE);
                flow.close();
            }));
            next += FLOW_INTERVAL;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        for it in threads {
            let _ = it.join();
        }
        record.add("the clients have ended");
    }))
}

/// Returns how many openings the endpoint took later than `bound` after the store acknowledged its
/// drain.
pub fn count_late_openings(
    record: &Record,
    endpoint: &Endpoint,
    acknowledged: Instant,
    bound: Duration,
) -> usize {
    let taken: Vec<Duration> = endpoint.seen(|it| {
        it.openings
            .iter()
            .filter_map(|it| it.0.checked_duration_since(acknowledged))
            .collect()
    });
    let late = taken.iter().filter(|it| **it > bound).count();
    let last_ms = taken.last().map_or(0, Duration::as_millis);
    let summary = format!(
        "{} took {} openings after its drain was acknowledged, the last after {last_ms} ms; {late} \
         of them came later than {} ms",
        endpoint.id(),
        taken.len(),
        bound.as_millis()
    );
    record.add(&summary);
    println!("{summary}");
    late
}

/// Returns a configuration with one route to the service for purchases.
pub fn purchase_config(route: SocketAddrV4) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\
         \"type\":\"non_idempotent\",\"timeout_ms\":600,\"goal_ms\":120,\"priority\":1,\
         \"service\":\"token-ledger\",\"max_attempts\":2}}],\"services\":[{{\
         \"name\":\"token-ledger\",\"health_path\":\"/health\",\"max_conns\":2000,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"tariff-feed\",\
         \"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route.ip(),
        route.port()
    )
}
