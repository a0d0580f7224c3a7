//! Faults, drawn from the seed; they come in series and overlap.

use std::{
    sync::{PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use rustix::process::Signal;

use crate::{
    endpoint::Endpoint, ledger::Ledger, network::Network, process::Process, proxy::Harm,
    router::Way, store::Mode,
};

/// What ends a fault that lasts.
#[derive(Debug)]
enum Undo {
    StartBalancer(usize),
    StartAgent(usize),
    Continue { is_balancer: bool, idx: usize },
    Unharm(usize),
    StoreUp,
    RestartEndpoint(usize),
    RegisterEndpoint(usize),
    EndGrey(usize),
    CleanWay,
}

/// Draws and plays faults for `length`, then ends those that still last.
pub(crate) async fn play(
    network: &mut Network,
    rng: &mut StdRng,
    length: Duration,
    ledger: &Ledger,
) {
    let end = Instant::now() + length;
    // Drawn apart, so that seeds kept from before these faults still play what they played.
    let mut late_rng = StdRng::seed_from_u64(rng.clone().random());
    let mut undos: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        if rng.random_range(0..20) == 0 {
            // Whatever still lasts would go on meanwhile and count as over.
            undo_due(network, &mut undos, end_of_all(), ledger).await;
            ledger.disturb_until(Instant::now());
            drain_undisturbed(network, rng, ledger).await;
        }
        if let Some((lasts, undo)) = inflict(network, rng, ledger).await {
            let until = Instant::now() + lasts;
            ledger.disturb_until(until);
            undos.push((until, undo));
        }
        if late_rng.random_range(0..6) == 0 {
            let (lasts, undo) = inflict_late(network, &mut late_rng);
            let until = Instant::now() + lasts;
            ledger.disturb_until(until);
            undos.push((until, undo));
        }
        ledger.faults.fetch_add(1, Ordering::Relaxed);
        let pause = Duration::from_millis(rng.random_range(50..900));
        tokio::time::sleep(pause).await;
        undo_due(network, &mut undos, Instant::now(), ledger).await;
        for process in network.balancers.iter_mut().chain(&mut network.agents) {
            process.check();
        }
    }
    undo_due(network, &mut undos, end_of_all(), ledger).await;
    ledger.disturb_until(Instant::now());
}

/// Returns a moment by which every fault is over.
fn end_of_all() -> Instant {
    Instant::now() + Duration::from_hours(1)
}

/// Inflicts one fault; returns how long it lasts and what ends it, if anything has to.
async fn inflict(
    network: &mut Network,
    rng: &mut StdRng,
    ledger: &Ledger,
) -> Option<(Duration, Undo)> {
    let lasts = Duration::from_millis(rng.random_range(100..2_500));
    let balancer = rng.random_range(0..network.balancers.len());
    let agent = rng.random_range(0..network.agents.len());
    ledger.disturb_until(Instant::now() + Duration::from_millis(200));
    match rng.random_range(0..16) {
        0 => {
            network.balancers[balancer].kill();
            Some((lasts, Undo::StartBalancer(balancer)))
        }
        1 => {
            network.balancers[balancer].terminate().await;
            Some((Duration::from_millis(300), Undo::StartBalancer(balancer)))
        }
        2 => Some(pause(&network.balancers[balancer], lasts, (true, balancer))),
        3 => {
            network.agents[agent].kill();
            Some((lasts, Undo::StartAgent(agent)))
        }
        4 => {
            network.agents[agent].terminate().await;
            Some((Duration::from_millis(300), Undo::StartAgent(agent)))
        }
        5 => Some(pause(&network.agents[agent], lasts, (false, agent))),
        6 | 7 => {
            let harms = [Harm::Delayed, Harm::Reset, Harm::CutOneWay, Harm::Silenced];
            network.proxies[balancer].set(harms[rng.random_range(0..harms.len())]);
            Some((lasts, Undo::Unharm(balancer)))
        }
        8 => {
            let modes = [Mode::Busy, Mode::Slow, Mode::Silent];
            network
                .store
                .set_mode(modes[rng.random_range(0..modes.len())]);
            Some((lasts, Undo::StoreUp))
        }
        9 => {
            network.store.forget_history();
            None
        }
        10 => {
            endpoint(network, agent).crash();
            Some((lasts, Undo::RestartEndpoint(agent)))
        }
        11 => {
            endpoint(network, agent).drain();
            Some((lasts, Undo::RegisterEndpoint(agent)))
        }
        12 => {
            endpoint(network, agent).lapse();
            Some((lasts, Undo::RegisterEndpoint(agent)))
        }
        13 => {
            network.settings_version += rng.random_range(1..4);
            network.publish_settings();
            None
        }
        14 => {
            network.balancers[balancer].reload().await;
            network.agents[agent].reload().await;
            None
        }
        _ => {
            reload_bad_settings(&network.balancers[balancer], ledger).await;
            None
        }
    }
}

/// Makes an endpoint grey or harms the callers' packets; returns how long that lasts and what ends it.
fn inflict_late(network: &Network, rng: &mut StdRng) -> (Duration, Undo) {
    let lasts = Duration::from_millis(rng.random_range(500..4_000));
    let agent = rng.random_range(0..network.agents.len());
    if rng.random() {
        endpoint(network, agent).set_grey(true);
        return (lasts, Undo::EndGrey(agent));
    }
    let ways = [Way::Lossy, Way::Doubled, Way::Delayed];
    network
        .router
        .set_way(ways[rng.random_range(0..ways.len())]);
    (lasts, Undo::CleanWay)
}

/// Lets an endpoint leave while nothing else happens, so that the bound on openings can be checked.
async fn drain_undisturbed(network: &Network, rng: &mut StdRng, ledger: &Ledger) {
    let idx = rng.random_range(0..network.agents.len());
    let leaving = endpoint(network, idx);
    leaving.drain();
    tokio::time::sleep(Duration::from_secs(6)).await;
    leaving.rejoin();
    ledger.faults.fetch_add(1, Ordering::Relaxed);
}

fn pause(
    process: &Process,
    lasts: Duration,
    (is_balancer, idx): (bool, usize),
) -> (Duration, Undo) {
    process.signal(Signal::STOP);
    (lasts, Undo::Continue { is_balancer, idx })
}

/// Gives a process settings that can't be used, and takes them back.
async fn reload_bad_settings(process: &Process, ledger: &Ledger) {
    // A process that is just starting would refuse the bad settings and end, as it should.
    process.loaded().await;
    let good = process.settings();
    let written = process.write_settings("{\"instance\": 3");
    process.reload().await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let result = written
        .and(good)
        .and_then(|good| process.write_settings(&good));
    if let Err(err) = result {
        ledger.broken(format!(
            "settings of {} can't be written: {err}",
            process.name
        ));
    }
}

async fn undo_due(
    network: &mut Network,
    undos: &mut Vec<(Instant, Undo)>,
    now: Instant,
    ledger: &Ledger,
) {
    let (due, later): (Vec<_>, Vec<_>) = undos.drain(..).partition(|it| it.0 <= now);
    *undos = later;
    for (_, undo) in due {
        let started = match undo {
            Undo::StartBalancer(idx) => network.balancers[idx].start_again(),
            Undo::StartAgent(idx) => network.agents[idx].start_again(),
            Undo::Continue { is_balancer, idx } => {
                let list = if is_balancer {
                    &network.balancers
                } else {
                    &network.agents
                };
                list[idx].signal(Signal::CONT);
                Ok(())
            }
            Undo::Unharm(idx) => {
                network.proxies[idx].set(Harm::None);
                Ok(())
            }
            Undo::StoreUp => {
                network.store.set_mode(Mode::Up);
                Ok(())
            }
            Undo::RestartEndpoint(idx) => {
                endpoint(network, idx).restart().await;
                Ok(())
            }
            Undo::EndGrey(idx) => {
                endpoint(network, idx).set_grey(false);
                Ok(())
            }
            Undo::CleanWay => {
                network.router.set_way(Way::Clean);
                Ok(())
            }
            Undo::RegisterEndpoint(idx) => {
                endpoint(network, idx).rejoin();
                Ok(())
            }
        };
        if let Err(err) = started {
            ledger.broken(format!("a process can't start again: {err}"));
        }
    }
}

fn endpoint(network: &Network, idx: usize) -> Endpoint {
    let endpoints = network
        .endpoints
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    endpoints[idx].clone()
}
