//! The cases.

use std::{
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, Route, Service, ZONES, config},
    endpoint::{Arrival, Taken},
    record::Record,
};

/// Plays a case, and returns whether the rule held.
pub fn play(case: &str, has_trouble: bool, record: &Arc<Record>) -> io::Result<bool> {
    match case {
        "store-moves" => store_moves(has_trouble, record),
        "route-kill" => route_kill(has_trouble, record),
        "lapse-kill" => lapse_kill(has_trouble, record),
        "cold-power" => cold_power(has_trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}

const LEDGER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const FEED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// CONFIG: the settings files name a new address of the store; half of the processes also get SIGHUP.
/// The old address is given up; then the configuration changes.
fn store_moves(has_trouble: bool, record: &Arc<Record>) -> io::Result<bool> {
    const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
    const CONTACT_S: f64 = 4.0;
    let service = |name, endpoints_per_zone| Service {
        name,
        endpoints_per_zone,
        work: Duration::from_millis(13),
        cold_per_s: 0,
    };
    let services = [service("ledger", 2), service("feed", 1)];
    let route = |address, service| Route {
        address,
        service,
        kind: "idempotent",
    };
    let first = config(
        7,
        &[route(LEDGER, "ledger"), route(FEED, "feed")],
        &services,
    );
    let mut day = Deployment::start(&first, &services, record)?;
    day.start_clients(LEDGER, 100, 15.0)?;
    day.start_clients(FEED, 101, 5.0)?;
    pause(4.0);
    let new_address = day
        .plan
        .at(Ipv4Addr::new(127, 200, 1, 8), day.plan.ports.store);
    let _new_door = day.store.listen(new_address)?;
    if has_trouble {
        let seeds: Vec<Ipv4Addr> = (0..ZONES.len()).map(|it| day.plan.ip(it, 10)).collect();
        for (idx, edge) in day.edges.iter().enumerate() {
            let settings = day.plan.balancer_settings(
                &edge.name,
                ZONES[edge.zone],
                edge.ip,
                &seeds,
                new_address,
            );
            edge.node.write_settings(&settings)?;
            // The file may also change without any signal.
            if idx % 2 == 0 {
                edge.node.signal("HUP");
            }
        }
        record.say(&format!(
            "the settings files name the store at {new_address}; half of the balancers got SIGHUP"
        ));
        pause(10.0);
        day.door.close();
        record.say("the store has left its former address");
    }
    pause(CONTACT_S + 1.0);
    let second = config(9, &[route(LEDGER, "feed"), route(FEED, "feed")], &services);
    day.store.put("op/config", &second, None);
    let acknowledged = Instant::now();
    record.say("the store acknowledged version 9, which leads the route to feed");
    pause(10.0);
    day.stop_clients();
    day.say_outcomes();
    let sent = day
        .requests
        .sent
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let runs = day
        .seen
        .runs
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let by_request: HashMap<u64, &str> = runs
        .iter()
        .map(|it| (it.request, it.service.as_str()))
        .collect();
    let late = sent
        .iter()
        .filter(|it| it.service_address == LEDGER && it.at > acknowledged + CONFIG_APPLY);
    let (mut old, mut new) = (0, 0);
    for it in late {
        match by_request.get(&it.request) {
            Some(&"ledger") => old += 1,
            Some(_) => new += 1,
            None => {}
        }
    }
    record.say(&format!(
        "of the requests sent later than {} ms after the acknowledgement, the old service ran {old}, \
         the new one {new}",
        CONFIG_APPLY.as_millis()
    ));
    let are_running = day.edges.iter_mut().all(|it| it.node.is_running());
    if !are_running || old + new == 0 {
        return Err(io::Error::other("nothing to judge"));
    }
    Ok(old == 0)
}

/// FLOW: a change of a route's service is acknowledged, and right after it all processes are killed.
/// They start again after a moment; endpoints live on. Clients with open flows go on later.
fn route_kill(has_trouble: bool, record: &Arc<Record>) -> io::Result<bool> {
    const REORDER: Duration = Duration::from_millis(2_000);
    const PACKETS_MIN: usize = 3;
    const DOWN_S: f64 = 0.6;
    let service = |name, endpoints_per_zone| Service {
        name,
        endpoints_per_zone,
        work: Duration::from_millis(13),
        cold_per_s: 0,
    };
    let services = [service("ledger", 2), service("feed", 1)];
    let route = |address, service| Route {
        address,
        service,
        kind: "idempotent",
    };
    let first = config(
        7,
        &[route(LEDGER, "ledger"), route(FEED, "feed")],
        &services,
    );
    let mut day = Deployment::start(&first, &services, record)?;
    day.start_clients(FEED, 101, 5.0)?;
    day.start_clients_with(LEDGER, 100, |it| {
        it.per_s = 10.0;
        it.flows_max = 10;
        it.next_request = Some(Duration::from_secs(9));
        it.deadline = Duration::from_secs(4);
    })?;
    pause(2.5);
    let second = config(9, &[route(LEDGER, "feed"), route(FEED, "feed")], &services);
    day.store.put("op/config", &second, None);
    record.say("the store acknowledged version 9, which leads the route to feed");
    if has_trouble {
        for edge in &mut day.edges {
            edge.node.kill();
        }
        for side in &mut day.sides {
            side.agent.kill();
        }
        record.say("all processes of the system are killed");
        pause(DOWN_S);
        for edge in &mut day.edges {
            edge.node.start()?;
        }
        for side in &mut day.sides {
            side.agent.start()?;
        }
        record.say("all processes of the system are started again");
    }
    let began = Instant::now();
    pause(12.0);
    day.stop_clients();
    day.say_outcomes();
    let sent = day
        .requests
        .sent
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let arrivals = day
        .seen
        .arrivals
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let (mut judged, mut broken) = (0, 0);
    for it in sent
        .iter()
        .filter(|it| it.service_address == LEDGER && it.at > began)
    {
        judged += 1;
        let in_time = |arrival: &&Arrival| {
            arrival.client == it.client && arrival.at >= it.at && arrival.at <= it.at + REORDER
        };
        let own = arrivals
            .iter()
            .filter(in_time)
            .filter(|it| it.is_held)
            .count();
        let other = arrivals
            .iter()
            .filter(in_time)
            .filter(|it| !it.is_held)
            .count();
        let is_broken = own == 0 && other >= PACKETS_MIN;
        broken += usize::from(is_broken);
        record.write(&format!(
            "flow of {}: within {} ms of request {}, {other} packets reached other endpoints and \
             {own} its own; {:?}",
            it.client,
            REORDER.as_millis(),
            it.request,
            it.outcome
        ));
    }
    record.say(&format!(
        "{judged} open flows were used again, {:.1} s or more after the start; {broken} of them are broken",
        sent.iter()
            .filter(|it| it.service_address == LEDGER && it.at > began)
            .map(|it| it.at.duration_since(began).as_secs_f64())
            .fold(f64::INFINITY, f64::min)
    ));
    if judged == 0 {
        return Err(io::Error::other("nothing to judge"));
    }
    Ok(broken == 0)
}

/// FLOW: a route is led to another service; the store is down for a while, and its leases run out;
/// later all processes are killed and started again. Clients with open flows go on after that.
fn lapse_kill(has_trouble: bool, record: &Arc<Record>) -> io::Result<bool> {
    const OUTAGE_S: f64 = 4.5;
    const DOWN_S: f64 = 0.6;
    let service = |name, endpoints_per_zone| Service {
        name,
        endpoints_per_zone,
        work: Duration::from_millis(13),
        cold_per_s: 0,
    };
    let services = [service("ledger", 2), service("feed", 1)];
    let route = |address, service| Route {
        address,
        service,
        kind: "idempotent",
    };
    let first = config(
        7,
        &[route(LEDGER, "ledger"), route(FEED, "feed")],
        &services,
    );
    let mut day = Deployment::start(&first, &services, record)?;
    day.start_clients(FEED, 101, 5.0)?;
    day.start_clients_with(LEDGER, 100, |it| {
        it.per_s = 20.0;
        it.flows_max = 10;
        it.next_request = Some(Duration::from_millis(14_000));
        it.deadline = Duration::from_secs(4);
    })?;
    pause(1.0);
    let second = config(9, &[route(LEDGER, "feed"), route(FEED, "feed")], &services);
    day.store.put("op/config", &second, None);
    record.say("the store acknowledged version 9, which leads the route to feed");
    pause(0.5);
    if has_trouble {
        record.say("the store is down");
        day.store.set_down(true);
    }
    pause(OUTAGE_S);
    day.store.set_down(false);
    record.say("the store is up");
    pause(2.0);
    if has_trouble {
        for edge in &mut day.edges {
            edge.node.kill();
        }
        for side in &mut day.sides {
            side.agent.kill();
        }
        record.say("all processes of the system are killed");
        pause(DOWN_S);
        for edge in &mut day.edges {
            edge.node.start()?;
        }
        for side in &mut day.sides {
            side.agent.start()?;
        }
        record.say("all processes of the system are started again");
    }
    let began = Instant::now();
    pause(8.5);
    day.stop_clients();
    day.say_outcomes();
    let sent = day
        .requests
        .sent
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let later: Vec<_> = sent
        .iter()
        .filter(|it| it.service_address == LEDGER && it.at > began)
        .collect();
    let resets = later
        .iter()
        .filter(|it| it.outcome == "reset by the system")
        .count();
    let first_s = later
        .iter()
        .map(|it| it.at.duration_since(began).as_secs_f64())
        .fold(f64::INFINITY, f64::min);
    record.say(&format!(
        "{} open flows were used again, {first_s:.1} s or more after the start; {resets} of them were \
         reset by the system",
        later.len()
    ));
    if later.is_empty() {
        return Err(io::Error::other("nothing to judge"));
    }
    Ok(resets == 0)
}

/// FAILBACK: a zone loses power for a second; its machines and endpoints come back at once, the
/// endpoints cold.
fn cold_power(has_trouble: bool, record: &Arc<Record>) -> io::Result<bool> {
    const COLD_PER_S: u32 = 10;
    const COLD_OVERRUN: f64 = 1.5;
    const COLD_SLACK: f64 = 5.0;
    const ZONE: usize = 2;
    /// Requests a second of each of the three zones.
    const PER_S: f64 = 200.0;
    /// Time from an endpoint's start to its first beat; the interval between two is 770 ms.
    const FIRST_BEAT: Duration = Duration::from_millis(600);
    let desk = Service {
        name: "desk",
        endpoints_per_zone: 2,
        work: Duration::from_millis(13),
        cold_per_s: COLD_PER_S,
    };
    let routes = [Route {
        address: LEDGER,
        service: "desk",
        kind: "idempotent",
    }];
    let services = [desk];
    let mut day = Deployment::start(&config(7, &routes, &services), &services, record)?;
    day.start_clients(LEDGER, 100, PER_S)?;
    pause(5.0);
    if has_trouble {
        record.say("zone-c loses power");
        for edge in day.edges.iter_mut().filter(|it| it.zone == ZONE) {
            edge.node.kill();
        }
        for side in day.sides.iter_mut().filter(|it| it.zone == ZONE) {
            side.agent.kill();
            if let Some(it) = side.endpoint.take() {
                it.crash();
            }
        }
        pause(1.0);
        record.say("zone-c has power again");
        for edge in day.edges.iter_mut().filter(|it| it.zone == ZONE) {
            edge.node.start()?;
        }
        for idx in 0..day.sides.len() {
            if day.sides[idx].zone == ZONE {
                day.sides[idx].agent.start()?;
                day.start_endpoint(idx, true, FIRST_BEAT)?;
            }
        }
    }
    pause(5.0);
    day.stop_clients();
    day.say_outcomes();
    let limit = f64::from(COLD_PER_S) * COLD_OVERRUN + COLD_SLACK;
    let most = most_in_a_second(&day, record);
    record.say(&format!(
        "a cold endpoint got at most {most} requests in one second; {limit} are allowed"
    ));
    Ok(most as f64 <= limit)
}

/// Returns the most openings that a cold endpoint took in any one second, of those that were sent
/// within that second.
fn most_in_a_second(day: &Deployment, record: &Record) -> usize {
    let sent = day
        .requests
        .sent
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let sent_at: HashMap<(SocketAddrV4, u32), Instant> =
        sent.iter().map(|it| ((it.client, it.seq), it.at)).collect();
    let taken = day
        .seen
        .taken
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let mut by_endpoint: HashMap<&str, Vec<&Taken>> = HashMap::new();
    for it in taken.iter().filter(|it| it.is_cold) {
        by_endpoint.entry(&it.endpoint).or_default().push(it);
    }
    let mut most = 0;
    for (endpoint, taken) in by_endpoint {
        let mut most_here = 0;
        for end in &taken {
            let is_inside = |it: &&&Taken| {
                let since = |at: Instant| end.at.saturating_duration_since(at);
                let sent = sent_at.get(&(it.client, it.seq));
                it.at <= end.at
                    && since(it.at) < Duration::from_secs(1)
                    && sent.is_some_and(|at| since(*at) < Duration::from_secs(1))
            };
            most_here = most_here.max(taken.iter().filter(is_inside).count());
        }
        record.say(&format!(
            "endpoint {endpoint} took {} openings while cold, at most {most_here} in one second",
            taken.len()
        ));
        most = most.max(most_here);
    }
    most
}
