//! Idle connections to the store go silent for good. Later the two machines that read the store lose
//! power, and an endpoint begins to drain.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    load::{LateOpenings, purchase_config, start_purchases},
    record::Record,
    world::{HANMAEUL, World, with_trouble},
};

/// Time without data after which a connection is forgotten between its ends.
const IDLE: Duration = Duration::from_secs(4);
/// Time from the silence of the connections until the loss of the two machines. The rules' time in
/// which a machine isn't in touch is 4 s.
const CALM: Duration = Duration::from_secs(12);
/// Time for which the two machines are dark.
const DARK: Duration = Duration::from_millis(3_500);
const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
/// Time for which the endpoint goes on serving after `DRAIN_BOUND`.
const LINGERS: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record) -> Result<bool, String> {
    let mut world = World::start(&HANMAEUL, record.clone())?;
    let route = world.route_address(1);
    world.store.put("op/config", &purchase_config(route));
    world.start_endpoints()?;
    world.wait_until_ready()?;
    thread::sleep(Duration::from_secs(9));

    if with_trouble() {
        for (program, proxy) in world.edges.iter().zip(&world.proxies) {
            let count = proxy.forget_idle_connections(IDLE);
            let name = &program.name;
            record.add(format!(
                "{count} idle connections of {name} to the store go silent"
            ));
        }
    }
    thread::sleep(CALM);

    let readers = world.store_readers()?;
    let traffic = start_purchases(&world, route, Duration::from_secs(8), "purchase", 1..13)?;
    thread::sleep(Duration::from_secs(1));
    // The machine that reads the store has just been answered, and calls again.
    world.wait_for_call(readers[0])?;
    // The other machines have heard of the store's answer.
    thread::sleep(Duration::from_millis(500));

    let dark_at = Instant::now();
    if with_trouble() {
        for idx in &readers {
            record.add(format!("{} loses power", world.edges[*idx].name));
            world.edges[*idx].kill();
        }
    }
    thread::sleep(Duration::from_millis(20));
    let draining = world.endpoints[0].clone();
    let acknowledged = draining.report("draining");

    thread::sleep(DARK.saturating_sub(dark_at.elapsed()));
    if with_trouble() {
        for idx in &readers {
            record.add(format!("{} starts again", world.edges[*idx].name));
            world.edges[*idx].start().map_err(|err| err.to_string())?;
        }
    }
    thread::sleep((DRAIN_BOUND + LINGERS).saturating_sub(acknowledged.elapsed()));
    draining.leave();
    let _ = traffic.join();

    let lost: Vec<_> = readers.iter().map(|it| world.edges[*it].ip).collect();
    let late = LateOpenings::new(acknowledged, DRAIN_BOUND)
        .without_machines(&lost)
        .count(&world, &draining);
    Ok(late > 0)
}
