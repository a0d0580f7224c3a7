//! Messages wait at the link of one machine, and the two machines that read the store are cut off from it.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    load::{LateOpenings, purchase_config, start_purchases},
    record::Record,
    relay::start_relay,
    world::{HANMAEUL, World, with_trouble},
};

/// Wait of each message at the link of one machine. Half a second and less doesn't count as slowed.
const LINK_WAIT: Duration = Duration::from_millis(400);
const CUT: Duration = Duration::from_millis(5_500);
const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
/// Time for which the endpoint goes on serving after `DRAIN_BOUND`.
const LINGERS: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record) -> Result<bool, String> {
    let mut world = World::start(&HANMAEUL, record.clone())?;
    let route = world.route_address(1);
    world.store.put("op/config", &purchase_config(route));
    world.start_endpoints()?;
    world.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));

    let readers = world.store_readers()?;
    let linked = (0..world.edges.len())
        .find(|it| !readers.contains(it))
        .ok_or("no machine is left")?;
    let (own_port, peer_port) = world.move_peer_port(linked)?;
    let machine = world.edges[linked].ip;
    let others: Vec<_> = world
        .edges
        .iter()
        .chain(&world.agents)
        .map(|it| it.ip)
        .filter(|it| *it != machine)
        .collect();
    let link = start_relay(machine, own_port, &others, peer_port).map_err(|it| it.to_string())?;
    world.edges[linked].start().map_err(|it| it.to_string())?;
    record.add(format!("{} runs behind a relay", world.edges[linked].name));
    thread::sleep(Duration::from_secs(7));

    let readers = world.store_readers()?;
    let traffic = start_purchases(&world, route, Duration::from_secs(9), "purchase", 1..13)?;
    thread::sleep(Duration::from_secs(1));
    if with_trouble() {
        let wait_ms = std::env::var("LINK_WAIT_MS")
            .ok()
            .and_then(|it| it.parse().ok());
        link.set(wait_ms.map_or(LINK_WAIT, Duration::from_millis));
        record.add(format!(
            "messages wait at the link of {}",
            world.edges[linked].name
        ));
    }
    thread::sleep(Duration::from_secs(2));
    world.wait_for_call(readers[0])?;
    thread::sleep(Duration::from_millis(300));

    let cut_at = Instant::now();
    if with_trouble() {
        for idx in &readers {
            record.add(format!(
                "{} is cut off from the store",
                world.edges[*idx].name
            ));
            world.proxies[*idx].set_cut(true);
        }
    }
    thread::sleep(Duration::from_millis(20));
    let draining = world.endpoints[0].clone();
    let acknowledged = draining.report("draining");
    thread::sleep((DRAIN_BOUND + LINGERS).saturating_sub(acknowledged.elapsed()));
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    for idx in &readers {
        world.proxies[*idx].set_cut(false);
    }
    draining.leave();
    let _ = traffic.join();

    let mut out_of_touch: Vec<_> = readers.iter().map(|it| world.edges[*it].ip).collect();
    out_of_touch.push(machine);
    let late = LateOpenings::new(acknowledged, DRAIN_BOUND)
        .without_machines(&out_of_touch)
        .count(&world, &draining);
    Ok(late > 0)
}
