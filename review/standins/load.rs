//! Steady traffic: a new flow with one purchase each, and what an endpoint took of it.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    ops::Range,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{Client, Outcome},
    endpoint::Endpoint,
    world::World,
};

const FLOW_INTERVAL: Duration = Duration::from_millis(8);
const DEADLINE: Duration = Duration::from_millis(600);

/// Starts clients on `hosts` that open a flow every 8 ms, send a purchase on it and close it, for `span`.
/// Returns how many purchases were sent and how many were answered.
pub fn start_purchases(
    world: &World,
    route: SocketAddrV4,
    span: Duration,
    name: &'static str,
    hosts: Range<u8>,
) -> Result<JoinHandle<(usize, usize)>, String> {
    let clients: Result<Vec<Client>, String> =
        hosts.map(|it| world.client(it, it.into())).collect();
    let clients = clients?;
    let record = world.record.clone();
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
                    return false;
                };
                let outcome = flow.request(&format!("{name}-{number}"), DEADLINE);
                flow.close();
                matches!(outcome, Outcome::Answered(_))
            }));
            next += FLOW_INTERVAL;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        let sent = threads.len();
        let answers = threads.into_iter().map(|it| it.join().unwrap_or(false));
        let answered = answers.filter(|it| *it).count();
        record.add(format!("{answered} of {sent} purchases were answered"));
        (sent, answered)
    }))
}

/// Counts the openings that an endpoint took too late after the store acknowledged its drain.
pub struct LateOpenings {
    acknowledged: Instant,
    bound: Duration,
    /// Openings whose client sent a copy to one of these machines don't count.
    out_of_touch: Vec<Ipv4Addr>,
}

impl LateOpenings {
    pub fn new(acknowledged: Instant, bound: Duration) -> Self {
        Self {
            acknowledged,
            bound,
            out_of_touch: Vec::new(),
        }
    }

    pub fn without_machines(mut self, machines: &[Ipv4Addr]) -> Self {
        self.out_of_touch = machines.to_vec();
        self
    }

    pub fn count(&self, world: &World, endpoint: &Endpoint) -> usize {
        let bound_ms = self.bound.as_millis();
        let (mut all, mut late, mut last_ms) = (0, 0, 0);
        endpoint.seen(|it| {
            for (at, flow) in &it.openings {
                let Some(after) = at.checked_duration_since(self.acknowledged) else {
                    continue;
                };
                let machines = world.router.machines_of_opening(flow.0);
                if machines.iter().any(|it| self.out_of_touch.contains(it)) {
                    continue;
                }
                all += 1;
                last_ms = after.as_millis();
                if after > self.bound {
                    late += 1;
                    world.record.add(format!(
                        "BROKEN: {} took the opening of {}, sent to {machines:?}, {last_ms} ms after \
                         the acknowledgement",
                        endpoint.id(),
                        flow.0
                    ));
                }
            }
        });
        let summary = format!(
            "{} took {all} openings through machines in touch after its drain was acknowledged, the \
             last after {last_ms} ms; {late} of them came later than {bound_ms} ms",
            endpoint.id(),
        );
        world.record.add(&summary);
        println!("{summary}");
        late
    }
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
