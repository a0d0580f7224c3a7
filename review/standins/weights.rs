//! Weights of a route change while flows are open on it.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Outcome,
    record::Record,
    world::{DIAMANT, World, with_trouble},
};

const CLIENTS: u8 = 6;
const FLOWS_PER_CLIENT: u16 = 20;
/// Time from the change of the configuration until the second request on each flow.
const PAUSE: Duration = Duration::from_secs(4);

pub fn run(record: &Record) -> Result<bool, String> {
    let mut world = World::start(&DIAMANT, record.clone())?;
    let route = world.route_address(1);
    let config = |version: u32, idle_timeout_ms: u32, finder: u32, intake: u32| {
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\
             \"prefix\":\"/{}/\",\"type\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":200,\
             \"priority\":2,\"split\":[{{\"service\":\"finder\",\"weight\":{finder}}},\
             {{\"service\":\"wear-intake\",\"weight\":{intake}}}],\"max_attempts\":2}}],\
             \"services\":[{{\"name\":\"finder\",\"health_path\":\"/health\",\"max_conns\":2000,\
             \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"wear-intake\",\
             \"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":{idle_timeout_ms}}}}}",
            route.ip(),
            route.port()
        )
    };
    world.store.put("op/config", &config(7, 15_000, 90, 10));
    world.start_endpoints()?;
    world.wait_until_ready()?;
    thread::sleep(Duration::from_secs(6));

    let mut flows = Vec::new();
    for number in 1..=CLIENTS {
        let client = world.client(number, number.into())?;
        for port in 0..FLOWS_PER_CLIENT {
            let Ok(mut flow) = client.open(41_000 + port, route) else {
                continue;
            };
            let id = format!("first-{number}-{port}");
            if matches!(
                flow.request(&id, Duration::from_secs(2)),
                Outcome::Answered(_)
            ) {
                flows.push((number, port, flow));
            }
        }
    }
    record.add(format!("{} flows are open and answered", flows.len()));
    if flows.len() < 100 {
        return Err(format!("only {} flows could be opened", flows.len()));
    }

    let change = if with_trouble() {
        config(12, 15_000, 50, 50)
    } else {
        config(12, 20_000, 90, 10)
    };
    world.store.put("op/config", &change);
    let changed = Instant::now();
    record.add("store acknowledges: configuration 12");
    thread::sleep(PAUSE.saturating_sub(changed.elapsed()));

    let mut threads = Vec::new();
    for (number, port, mut flow) in flows {
        let endpoints = world.endpoints.clone();
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let holder = endpoints
                .iter()
                .find(|it| it.holds_open(flow.src, flow.dst));
            let holder = holder.map(|it| (it.id().to_owned(), it.service().to_owned()));
            let outcome = flow.request(&format!("second-{number}-{port}"), Duration::from_secs(3));
            let is_broken = outcome == Outcome::SystemReset
                && endpoints.iter().any(|it| it.holds_open(flow.src, flow.dst));
            if is_broken {
                record.add(format!(
                    "BROKEN: flow {} was reset by the system while {holder:?} held it open",
                    flow.src
                ));
            }
            (is_broken, matches!(outcome, Outcome::Answered(_)))
        }));
    }
    let results: Vec<(bool, bool)> = threads.into_iter().flat_map(|it| it.join()).collect();
    let broken = results.iter().filter(|it| it.0).count();
    let answered = results.iter().filter(|it| it.1).count();
    let all = results.len();
    let summary = format!("{all} open flows: {answered} answered again, {broken} reset");
    record.add(&summary);
    println!("{summary}");
    if !with_trouble() && answered < all {
        return Err("without the disruption some flows weren't answered".to_owned());
    }
    Ok(broken > 0)
}
