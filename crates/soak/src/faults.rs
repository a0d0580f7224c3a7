//! Injection of random faults into the test network. Faults may overlap, and each one is ended
//! again.

use std::{
    sync::{PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use rustix::process::Signal;

use crate::{
    endpoint::Endpoint,
    network::{Network, ZONES},
    process::Process,
    proxy::ConnectionFault,
    report::RunReport,
    router::PacketFault,
    store::{Mode, REWRITE_TIME},
};

/// Action that ends a fault of the test network.
#[derive(Debug)]
enum Recovery {
    StartBalancer(usize),
    StartAgent(usize),
    Resume { is_balancer: bool, idx: usize },
    ClearConnectionFault(usize),
    RestoreStore,
    RestartEndpoint(usize),
    RegisterEndpoint(usize),
    EndGrayFailure(usize),
    ClearPacketFault,
    TakeZoneBack(&'static str),
    ReturnFromCopy,
}

/// Injects random faults for `fault_time`, then ends all faults that still last.
pub(crate) async fn inject_faults(
    network: &mut Network,
    rng: &mut StdRng,
    fault_time: Duration,
    report: &RunReport,
) {
    let end = Instant::now() + fault_time;
    // Partial faults have a random generator of their own. Seeds recorded before partial faults
    // existed thus still produce the same other faults.
    let mut partial_fault_rng = StdRng::seed_from_u64(rng.clone().random());
    let mut series_rng = StdRng::seed_from_u64(partial_fault_rng.clone().random());
    let mut zone_rng = StdRng::seed_from_u64(series_rng.clone().random());
    let mut era_rng = StdRng::seed_from_u64(zone_rng.clone().random());
    let mut recoveries: Vec<(Instant, Recovery)> = Vec::new();
    while Instant::now() < end {
        if rng.random_range(0..20) == 0 {
            // All faults end before the drain. A fault that lasted through the drain would count as
            // ended, and the drain as fault-free; seed 319 found this.
            end_due_faults(network, &mut recoveries, time_after_all_faults(), report).await;
            report.extend_fault_time(Instant::now());
            drain_without_faults(network, rng, report).await;
            if zone_rng.random() {
                evacuate_without_faults(network, &mut zone_rng, report).await;
            }
        }
        if let Some((duration, recovery)) = inject_fault(network, rng, report).await {
            let until = Instant::now() + duration;
            report.extend_fault_time(until);
            recoveries.push((until, recovery));
        }
        if partial_fault_rng.random_range(0..6) == 0 {
            let (duration, recovery) = inject_partial_fault(network, &mut partial_fault_rng);
            let until = Instant::now() + duration;
            report.extend_fault_time(until);
            recoveries.push((until, recovery));
        }
        if series_rng.random_range(0..4) == 0 {
            recoveries.extend(inject_series(network, &mut series_rng, report).await);
        }
        if zone_rng.random_range(0..8) == 0 {
            let zone = ZONES[zone_rng.random_range(0..ZONES.len())];
            network.set_zone_evacuated(zone, true);
            let until = Instant::now() + Duration::from_millis(zone_rng.random_range(50..4_000));
            report.extend_fault_time(until);
            recoveries.push((until, Recovery::TakeZoneBack(zone)));
        }
        if era_rng.random_range(0..12) == 0 && network.store.take_copy() {
            let copy_age = Duration::from_millis(era_rng.random_range(300..4_000));
            let until = Instant::now() + copy_age;
            report.extend_fault_time(until);
            recoveries.push((until, Recovery::ReturnFromCopy));
        }
        report.faults.fetch_add(1, Ordering::Relaxed);
        let pause = Duration::from_millis(rng.random_range(50..900));
        tokio::time::sleep(pause).await;
        end_due_faults(network, &mut recoveries, Instant::now(), report).await;
        for process in network.balancers.iter_mut().chain(&mut network.agents) {
            process.check_health();
        }
    }
    end_due_faults(network, &mut recoveries, time_after_all_faults(), report).await;
    report.extend_fault_time(Instant::now());
}

/// Returns a time later than the end of every fault.
fn time_after_all_faults() -> Instant {
    Instant::now() + Duration::from_hours(1)
}

/// Injects one random fault. Returns the fault's duration and the action that ends the fault,
/// unless it ends by itself.
async fn inject_fault(
    network: &mut Network,
    rng: &mut StdRng,
    report: &RunReport,
) -> Option<(Duration, Recovery)> {
    let duration = Duration::from_millis(rng.random_range(100..2_500));
    let balancer = rng.random_range(0..network.balancers.len());
    let agent = rng.random_range(0..network.agents.len());
    report.extend_fault_time(Instant::now() + Duration::from_millis(200));
    match rng.random_range(0..16) {
        0 => {
            network.balancers[balancer].kill();
            Some((duration, Recovery::StartBalancer(balancer)))
        }
        1 => {
            network.balancers[balancer].terminate().await;
            Some((
                Duration::from_millis(300),
                Recovery::StartBalancer(balancer),
            ))
        }
        2 => Some(pause_process(&network.balancers[balancer], duration, (true, balancer)).await),
        3 => {
            network.agents[agent].kill();
            Some((duration, Recovery::StartAgent(agent)))
        }
        4 => {
            network.agents[agent].terminate().await;
            Some((Duration::from_millis(300), Recovery::StartAgent(agent)))
        }
        5 => Some(pause_process(&network.agents[agent], duration, (false, agent)).await),
        6 | 7 => {
            let choices = [
                ConnectionFault::Delayed,
                ConnectionFault::Reset,
                ConnectionFault::ReplyLoss,
                ConnectionFault::BlackHole,
            ];
            network.proxies[balancer].set_fault(choices[rng.random_range(0..choices.len())]);
            Some((duration, Recovery::ClearConnectionFault(balancer)))
        }
        8 => {
            let modes = [Mode::Busy, Mode::Slow, Mode::Silent];
            network
                .store
                .set_mode(modes[rng.random_range(0..modes.len())]);
            Some((duration, Recovery::RestoreStore))
        }
        9 => {
            network.store.compact_history();
            None
        }
        10 => {
            endpoint_at(network, agent).crash();
            Some((duration, Recovery::RestartEndpoint(agent)))
        }
        11 => {
            endpoint_at(network, agent).announce_drain();
            Some((duration, Recovery::RegisterEndpoint(agent)))
        }
        12 => {
            endpoint_at(network, agent).expire_registration();
            Some((duration, Recovery::RegisterEndpoint(agent)))
        }
        13 => {
            network.settings_version += rng.random_range(1..4);
            network.publish_settings();
            None
        }
        14 => {
            network.balancers[balancer].reload_settings().await;
            network.agents[agent].reload_settings().await;
            None
        }
        _ => {
            reload_invalid_settings(&network.balancers[balancer], report).await;
            None
        }
    }
}

/// Injects a gray failure of an endpoint or a fault on the callers' packets. Returns the fault's
/// duration and the action that ends the fault.
fn inject_partial_fault(network: &Network, rng: &mut StdRng) -> (Duration, Recovery) {
    let duration = Duration::from_millis(rng.random_range(500..4_000));
    let agent = rng.random_range(0..network.agents.len());
    if rng.random() {
        endpoint_at(network, agent).set_gray_failure(true);
        return (duration, Recovery::EndGrayFailure(agent));
    }
    let choices = [
        PacketFault::Loss,
        PacketFault::Duplication,
        PacketFault::Delay,
    ];
    network
        .router
        .set_packet_fault(choices[rng.random_range(0..choices.len())]);
    (duration, Recovery::ClearPacketFault)
}

/// Changes the shared route several times in quick succession, possibly while processes that know
/// the route are lost or their connections to the store go silent. Returns the actions that end
/// what was injected, with their times.
async fn inject_series(
    network: &mut Network,
    rng: &mut StdRng,
    report: &RunReport,
) -> Vec<(Instant, Recovery)> {
    let mut recoveries = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let until = Instant::now() + Duration::from_millis(rng.random_range(100..1_500));
        report.extend_fault_time(until);
        match rng.random_range(0..6) {
            0 => {
                for proxy in &network.proxies {
                    proxy.forget_connections();
                }
            }
            1 => {
                let spared = rng.random_range(0..network.balancers.len() + 1);
                for idx in (0..network.balancers.len()).filter(|it| *it != spared) {
                    network.balancers[idx].kill();
                    recoveries.push((until, Recovery::StartBalancer(idx)));
                }
            }
            _ => {
                let weights = [[3, 1], [1, 3], [1, 0], [0, 1]];
                network.shared_weights = weights[rng.random_range(0..weights.len())];
                network.settings_version += 1;
                network.publish_settings();
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..400))).await;
    }
    recoveries
}

/// Drains an endpoint without other faults, so that the time bound on opening packets to a draining
/// endpoint can be checked.
async fn drain_without_faults(network: &Network, rng: &mut StdRng, report: &RunReport) {
    let idx = rng.random_range(0..network.agents.len());
    let leaving = endpoint_at(network, idx);
    leaving.announce_drain();
    tokio::time::sleep(Duration::from_secs(6)).await;
    leaving.register_ready();
    report.faults.fetch_add(1, Ordering::Relaxed);
}

/// Takes a zone out of use without other faults, so that the time bound on opening packets to its
/// endpoints can be checked.
async fn evacuate_without_faults(network: &Network, rng: &mut StdRng, report: &RunReport) {
    let zone = ZONES[rng.random_range(0..ZONES.len())];
    network.set_zone_evacuated(zone, true);
    tokio::time::sleep(Duration::from_secs(7)).await;
    network.set_zone_evacuated(zone, false);
    report.faults.fetch_add(1, Ordering::Relaxed);
}

async fn pause_process(
    process: &Process,
    duration: Duration,
    (is_balancer, idx): (bool, usize),
) -> (Duration, Recovery) {
    // A process that is paused while it is loaded handles no signals after the pause either; seed
    // 606 found this.
    process.wait_until_loaded().await;
    process.send_signal(Signal::STOP);
    (duration, Recovery::Resume { is_balancer, idx })
}

/// Makes a process reload invalid settings, then restores its settings file.
async fn reload_invalid_settings(process: &Process, report: &RunReport) {
    // A process that is still starting exits when its settings are invalid, which is correct; seed
    // 106 found this.
    process.wait_until_loaded().await;
    let good = process.read_settings();
    let written = process.write_settings("{\"instance\": 3");
    process.reload_settings().await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let result = written
        .and(good)
        .and_then(|good| process.write_settings(&good));
    if let Err(err) = result {
        report.record_violation(format!(
            "the settings file of {} can't be read or written: {err}",
            process.name
        ));
    }
}

async fn end_due_faults(
    network: &mut Network,
    recoveries: &mut Vec<(Instant, Recovery)>,
    now: Instant,
    report: &RunReport,
) {
    let (due, later): (Vec<_>, Vec<_>) = recoveries.drain(..).partition(|it| it.0 <= now);
    *recoveries = later;
    for (_, recovery) in due {
        let started = match recovery {
            Recovery::StartBalancer(idx) => network.balancers[idx].start_if_stopped(),
            Recovery::StartAgent(idx) => network.agents[idx].start_if_stopped(),
            Recovery::Resume { is_balancer, idx } => {
                let list = if is_balancer {
                    &network.balancers
                } else {
                    &network.agents
                };
                list[idx].send_signal(Signal::CONT);
                Ok(())
            }
            Recovery::ClearConnectionFault(idx) => {
                network.proxies[idx].set_fault(ConnectionFault::None);
                Ok(())
            }
            Recovery::ReturnFromCopy => {
                network.store.return_from_copy().await;
                report.store_returns.fetch_add(1, Ordering::Relaxed);
                report.extend_fault_time(Instant::now() + REWRITE_TIME);
                Ok(())
            }
            Recovery::RestoreStore => {
                network.store.set_mode(Mode::Up);
                Ok(())
            }
            Recovery::RestartEndpoint(idx) => {
                endpoint_at(network, idx).restart().await;
                Ok(())
            }
            Recovery::EndGrayFailure(idx) => {
                endpoint_at(network, idx).set_gray_failure(false);
                Ok(())
            }
            Recovery::ClearPacketFault => {
                network.router.set_packet_fault(PacketFault::None);
                Ok(())
            }
            Recovery::TakeZoneBack(zone) => {
                network.set_zone_evacuated(zone, false);
                Ok(())
            }
            Recovery::RegisterEndpoint(idx) => {
                endpoint_at(network, idx).register_ready();
                Ok(())
            }
        };
        if let Err(err) = started {
            report.record_violation(format!("a process can't be restarted: {err}"));
        }
    }
}

fn endpoint_at(network: &Network, idx: usize) -> Endpoint {
    let endpoints = network
        .endpoints
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    endpoints[idx].clone()
}
