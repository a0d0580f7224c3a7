//! The cases. Each returns the breaks of its rule.

use std::{
    io::{Error, Result},
    net::SocketAddrV4,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    caller::{Caller, CallerFlow, GotReset, Outcome},
    endpoint::Endpoint,
    record::Record,
    swarm::{self, FlowReport, Habit},
    world::{Size, World},
};

/// `drain_ms` of the small sites.
const DRAIN_MS: u64 = 3_000;
/// `contact_ms` of the grown sites; of the small ones it is 4,000.
const CONTACT: Duration = Duration::from_millis(5_000);
const GRACE: Duration = Duration::from_secs(6);
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Source port of a caller that always uses the same one.
/// `reorder_ms` of all sites.
const REORDER_MS: u64 = 2_000;
/// The deadline of `catalogue-stream` on the grown site with long flows.
const LONG_DEADLINE: Duration = Duration::from_millis(3_000);
/// Three intervals of `beat_interval_ms` of the grown site.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3 * 1_200);
/// How long a crashed endpoint is away, `for_s` of `srv_crash` in the site files.
const CRASH: Duration = Duration::from_millis(4_500);
const FIXED_PORT: u16 = 40_001;
/// Number of source ports that a caller uses by turns.
const PORTS: u16 = 4;
const REQUESTS_A_FLOW: u32 = 4;

pub fn run(case: &str, has_trouble: bool, record: &Record) -> Result<Vec<String>> {
    match case {
        "drain" => drain(has_trouble, record),
        "astray" => astray(has_trouble, record),
        "reset" => reset(has_trouble, record),
        _ => Err(Error::other("no such case")),
    }
}

#[derive(Debug, Default)]
struct Tally {
    answered: u32,
    not_opened: u32,
    resets: Vec<GotReset>,
    unanswered: Vec<String>,
    foreign: Vec<String>,
}

impl Tally {
    fn count_answer(&mut self, id: &str, body: &str) {
        self.answered += 1;
        if body != format!("answer to {id}") {
            self.foreign.push(format!("{id} got `{body}`"));
        }
    }
}

fn sum_up(record: &Record, world: &World, tally: &Tally) {
    record.line(&format!(
        "callers: {} answered, {} never opened, {} reset, {} requests without an answer",
        tally.answered,
        tally.not_opened,
        tally.resets.len(),
        tally.unanswered.len()
    ));
    record.line(&format!("answers of other requests: {:?}", tally.foreign));
    for endpoint in &world.endpoints {
        record.line(&format!(
            "{}: took {} flows, ran {} requests, sent {} resets",
            endpoint.name,
            endpoint.taken().len(),
            endpoint.runs().len(),
            endpoint.resets().len()
        ));
    }
}

/// Callers that send one request a flow, all from one port, while an endpoint drains.
fn drain(has_trouble: bool, record: &Record) -> Result<Vec<String>> {
    let size = Size {
        balancers: 2,
        endpoints: 7,
        work: Duration::from_millis(60),
    };
    let mut world = World::start(size, record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let tally = Arc::new(Mutex::new(Tally::default()));
    let mut callers = Vec::new();
    for idx in 1..=28 {
        let mut caller = world.caller(idx)?;
        let (is_over, tally, route) = (Arc::clone(&is_over), Arc::clone(&tally), world.route);
        callers.push(thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{}-{count}", caller.name);
                let Some(mut flow) = open_with_retries(&mut caller, FIXED_PORT, route) else {
                    lock(&tally).not_opened += 1;
                    continue;
                };
                match caller.request(&mut flow, &id, true, DEADLINE) {
                    Outcome::Answered(body) => {
                        lock(&tally).count_answer(&id, &body);
                        caller.close(flow);
                    }
                    Outcome::Reset(it) => lock(&tally).resets.push(it),
                    Outcome::Deadline => {
                        lock(&tally).unanswered.push(id);
                        caller.abort(&flow);
                    }
                }
                caller.rest(Duration::from_millis(500 + u64::from(idx) * 7));
            }
        }));
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    let mut drained_ms = None;
    if has_trouble {
        drained_ms = Some(world.endpoints[0].drain());
    }
    thread::sleep(Duration::from_secs(9));
    let mut cut = Vec::new();
    if has_trouble {
        world.endpoints[0].exit();
        let runs = world.endpoints[0].runs();
        cut.extend(runs.into_iter().filter(|it| !it.answered).map(|it| it.id));
        thread::sleep(Duration::from_secs(3));
        world.agents[0].stop(GRACE);
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ended = caller.join();
    }
    sum_up(record, &world, &lock(&tally));
    record.line(&format!("requests under way when e1 exited: {cut:?}"));
    let mut breaks = Vec::new();
    if let Some(drained_ms) = drained_ms {
        let limit = drained_ms + DRAIN_MS;
        let taken = world.endpoints[0].taken();
        let late: Vec<_> = taken.iter().filter(|it| it.arrived_ms > limit).collect();
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            breaks.push(format!(
                "DRAIN: e1 took {} flows later than {DRAIN_MS} ms after its drain was acknowledged \
                 at {drained_ms} ms, the first by {} at {} ms, the last by {} at {} ms",
                late.len(),
                first.caller,
                first.arrived_ms,
                last.caller,
                last.arrived_ms
            ));
        }
    }
    Ok(breaks)
}

/// Opens a flow; each further try uses a new flow from a new port.
fn open_with_retries(caller: &mut Caller, port: u16, route: SocketAddrV4) -> Option<CallerFlow> {
    let tries = (0..=2).map(|it| port + it * 1_000);
    tries.into_iter().find_map(|it| caller.open(it, route))
}

/// Callers that send several requests a flow and use a few source ports by turns, while the balancers
/// are stopped and started in turn.
fn reset(has_trouble: bool, record: &Record) -> Result<Vec<String>> {
    let size = Size {
        balancers: 3,
        endpoints: 4,
        work: Duration::from_millis(60),
    };
    let mut world = World::start(size, record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let tally = Arc::new(Mutex::new(Tally::default()));
    let breaks = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for idx in 1..=30 {
        let mut caller = world.caller(idx)?;
        let (is_over, tally, route) = (Arc::clone(&is_over), Arc::clone(&tally), world.route);
        let (breaks, endpoints) = (Arc::clone(&breaks), world.endpoints.clone());
        let record = record.clone();
        callers.push(thread::spawn(move || {
            let mut count = 0;
            let mut turn = 0;
            caller.rest(Duration::from_millis(u64::from(idx) * 80));
            while !is_over.load(Ordering::Relaxed) {
                turn += 1;
                let port = FIXED_PORT + turn % PORTS;
                let Some(mut flow) = open_with_retries(&mut caller, port, route) else {
                    lock(&tally).not_opened += 1;
                    continue;
                };
                for nth in 1..=REQUESTS_A_FLOW {
                    count += 1;
                    let id = format!("{}-{count}", caller.name);
                    let is_last = nth == REQUESTS_A_FLOW;
                    let mut got = match caller.request(&mut flow, &id, is_last, DEADLINE) {
                        Outcome::Answered(body) => {
                            lock(&tally).count_answer(&id, &body);
                            None
                        }
                        Outcome::Reset(it) => {
                            lock(&tally).unanswered.push(id.clone());
                            Some(it)
                        }
                        Outcome::Deadline => {
                            lock(&tally).unanswered.push(id);
                            caller.abort(&flow);
                            break;
                        }
                    };
                    if got.is_none() && !is_last {
                        got = caller.idle(&mut flow, Duration::from_millis(400));
                    }
                    if let Some(got) = got {
                        if let Some(broken) = judge_reset(&got, &endpoints) {
                            record.line(&format!("{id}: {broken}"));
                            lock(&breaks).push(broken);
                        }
                        lock(&tally).resets.push(got);
                        break;
                    }
                    if flow.is_closed_by_endpoint() {
                        caller.close(flow);
                        break;
                    }
                }
                caller.rest(Duration::from_millis(300));
            }
        }));
    }
    thread::sleep(CONTACT + Duration::from_secs(7));
    for round in 0..3 {
        if !has_trouble {
            thread::sleep(Duration::from_secs(4));
            continue;
        }
        let begun = Instant::now();
        let idx = round % world.balancers.len();
        world.balancers[idx].stop(GRACE);
        thread::sleep(Duration::from_millis(300));
        world.balancers[idx].spawn()?;
        thread::sleep(Duration::from_secs(4).saturating_sub(begun.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ended = caller.join();
    }
    let tally = lock(&tally);
    sum_up(record, &world, &tally);
    let has_run = |id: &&String| {
        let mut runs = world.endpoints.iter().flat_map(Endpoint::runs);
        runs.any(|it| it.id == **id)
    };
    let lost: Vec<_> = tally.unanswered.iter().filter(has_run).collect();
    record.line(&format!(
        "requests that ran and whose callers got no answer: {lost:?}"
    ));
    let breaks = lock(&breaks).clone();
    Ok(breaks)
}

/// Flows with many requests, while one endpoint is silent and one balancer is stopped.
fn astray(has_trouble: bool, record: &Record) -> Result<Vec<String>> {
    let size = Size {
        balancers: 2,
        endpoints: 12,
        work: Duration::from_millis(20),
    };
    let mut world = World::start(size, record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let habit = Habit {
        flows: 60,
        pause: Duration::from_millis(700),
        deadline: LONG_DEADLINE,
    };
    let swarms = (1..=10)
        .map(|idx| {
            let address = world.caller_address(idx);
            swarm::run(address, world.route, habit, &world.router, record, &is_over)
        })
        .collect::<Result<Vec<_>>>()?;
    thread::sleep(CONTACT + Duration::from_secs(2));
    if has_trouble {
        let mut stopping = world.balancers.remove(0);
        let stop = thread::spawn(move || {
            stopping.stop(GRACE);
            thread::sleep(Duration::from_millis(300));
            stopping.spawn().map(|()| stopping)
        });
        thread::sleep(Duration::from_millis(500));
        world.endpoints[3].go_dark(CRASH, ENTRY_EXPIRY);
        thread::sleep(Duration::from_secs(7));
        let stopped = stop
            .join()
            .map_err(|_panic| Error::other("a thread panicked"))??;
        world.balancers.push(stopped);
    } else {
        thread::sleep(Duration::from_secs(7));
    }
    is_over.store(true, Ordering::Relaxed);
    let mut reports = Vec::new();
    for swarm in swarms {
        reports.extend(
            swarm
                .join()
                .map_err(|_panic| Error::other("a thread panicked"))?,
        );
    }
    let answered: u32 = reports.iter().map(|it| it.answered).sum();
    let given_up = reports.iter().filter(|it| it.given_up_ms.is_some()).count();
    let was_reset = reports.iter().filter(|it| it.was_reset).count();
    record.line(&format!(
        "{} flows: {answered} requests answered, {given_up} flows given up at a request's deadline, \
         {was_reset} reset",
        reports.len()
    ));
    Ok(reports
        .iter()
        .filter_map(|it| judge_astray(it, &world.endpoints))
        .collect())
}

/// Returns how a flow's packets broke FLOW (b), or `None` if they didn't.
fn judge_astray(flow: &FlowReport, endpoints: &[Endpoint]) -> Option<String> {
    let owner = endpoints
        .iter()
        .find(|it| it.opened(flow.endpoint_sequence))?;
    if owner.has_crashed() {
        return None;
    }
    let own = owner.arrivals(flow.own);
    let others = endpoints
        .iter()
        .filter(|it| it.name != owner.name && !it.has_crashed());
    let mut elsewhere: Vec<u64> = others.flat_map(|it| it.arrivals(flow.own)).collect();
    elsewhere.retain(|it| *it > flow.opened_ms + 50);
    elsewhere.sort_unstable();
    // Copies of one packet of the caller arrive at the same moment.
    elsewhere.dedup_by(|later, first| *later - *first < 100);
    let end = flow.given_up_ms.unwrap_or(u64::MAX);
    for (idx, begin) in elsewhere.iter().enumerate() {
        let limit = begin + REORDER_MS;
        let count = elsewhere[idx..]
            .iter()
            .take_while(|it| **it <= limit)
            .count();
        let reached_own = own.iter().any(|it| (*begin..=limit).contains(it));
        if count >= 3 && !reached_own && limit <= end {
            return Some(format!(
                "FLOW: the flow of {} is open at {}, which lives; from {begin} ms on {count} of its \
                 packets reached other endpoints and none its own within {REORDER_MS} ms",
                flow.own, owner.name
            ));
        }
    }
    None
}

/// Returns how a reset on an open flow breaks FLOW, or `None` if the flow's endpoint sent it.
fn judge_reset(got: &GotReset, endpoints: &[Endpoint]) -> Option<String> {
    let owner = endpoints
        .iter()
        .find(|it| it.opened(got.endpoint_sequence))?;
    let sent = |it: &Endpoint| {
        let mut resets = it.resets().into_iter();
        resets.any(|sent| sent.caller == got.caller && sent.at_ms + 500 >= got.at_ms)
    };
    if !got.is_of_system && sent(owner) {
        return None;
    }
    if !owner.holds(got.caller, got.route, got.endpoint_sequence) {
        return None;
    }
    let sender = if got.is_of_system {
        "the system".to_owned()
    } else {
        let senders = endpoints.iter().filter(|it| sent(it));
        senders
            .map(|it| it.name.clone())
            .collect::<Vec<_>>()
            .join(", ")
    };
    Some(format!(
        "FLOW: the flow of {} is open at {}, which lives; its caller got a reset by {sender} at {} ms",
        got.caller, owner.name, got.at_ms
    ))
}

fn lock<T>(it: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    it.lock().unwrap_or_else(PoisonError::into_inner)
}
