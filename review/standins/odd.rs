//! Another writer has left an odd entry with the address of an endpoint, which begins to drain.

use std::{thread, time::Duration};

use crate::{
    load::{LateOpenings, purchase_config, start_purchases},
    record::Record,
    world::{HANMAEUL, World, with_trouble},
};

const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
/// Time for which the endpoint goes on serving after `DRAIN_BOUND`.
const LINGERS: Duration = Duration::from_millis(3_000);

pub fn run(record: &Record) -> Result<bool, String> {
    let mut world = World::start(&HANMAEUL, record.clone())?;
    let route = world.route_address(1);
    world.store.put("op/config", &purchase_config(route));
    world.start_endpoints()?;
    world.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));

    let draining = world.endpoints[0].clone();
    if with_trouble() {
        // `version`, `cold_left_ms` and `born` are missing, and `seq` is of another type.
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"changwon-a\",\"slots\":2,\
             \"state\":\"ready\",\"seq\":\"4\"}}",
            draining.service(),
            draining.address()
        );
        world.store.put("servers/i-2c1d7a90", &entry);
        record.add(format!("another writer leaves servers/i-2c1d7a90: {entry}"));
    }
    thread::sleep(Duration::from_secs(5));

    let traffic = start_purchases(&world, route, Duration::from_secs(9), "purchase", 1..13)?;
    thread::sleep(Duration::from_secs(1));
    let acknowledged = draining.report("draining");
    thread::sleep((DRAIN_BOUND + LINGERS).saturating_sub(acknowledged.elapsed()));
    draining.leave();
    let _ = traffic.join();

    let late = LateOpenings::new(acknowledged, DRAIN_BOUND).count(&world, &draining);
    Ok(late > 0)
}
