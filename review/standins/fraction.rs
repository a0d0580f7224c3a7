//! A bound in the settings becomes a fraction, and later all processes are killed.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    load::{purchase_config, start_purchases},
    record::Record,
    world::{HANMAEUL, SIGHUP, World, send_signal, with_trouble},
};

/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(record: &Record) -> Result<bool, String> {
    let mut world = World::start(&HANMAEUL, record.clone())?;
    let route = world.route_address(1);
    world.store.put("op/config", &purchase_config(route));
    world.start_endpoints()?;
    world.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));

    if with_trouble() {
        for program in &world.edges {
            program.replace_setting("\"stop_grace_s\": 6", "\"stop_grace_s\": 6.5")?;
            send_signal(program.pid(), SIGHUP);
        }
        record.add("the settings files change: `grace_s` is 6.5 instead of 6");
    }
    thread::sleep(Duration::from_secs(3));
    let before = start_purchases(&world, route, Duration::from_secs(4), "before", 1..13)?;
    let (sent_before, served_before) = before.join().map_err(|_| "the clients failed")?;

    record.add("all processes are killed");
    for program in world.edges.iter_mut().chain(&mut world.agents) {
        program.kill();
    }
    thread::sleep(RESTART_DELAY);
    for program in world.edges.iter_mut().chain(&mut world.agents) {
        program.start().map_err(|err| err.to_string())?;
    }
    record.add("all processes are started again");
    let back = Instant::now();
    while back.elapsed() < RECOVERY {
        thread::sleep(RESTART_DELAY);
        for program in &mut world.edges {
            if program.has_ended() {
                record.add(format!(
                    "{} has ended by itself; it is started again",
                    program.name
                ));
                program.start().map_err(|err| err.to_string())?;
            }
        }
    }
    let after = start_purchases(&world, route, Duration::from_secs(4), "after", 21..33)?;
    let (sent_after, served_after) = after.join().map_err(|_| "the clients failed")?;

    let summary = format!(
        "served before the final fault: {served_before} of {sent_before}; sent later than 12 s after \
         the machines were back: {served_after} of {sent_after}"
    );
    record.add(&summary);
    println!("{summary}");
    if served_before * 4 < sent_before {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    Ok(served_after * 4 < sent_after)
}
