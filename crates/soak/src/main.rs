//! A soak of the passthrough processes.
//!
//! Real balancers and agents run as processes of their own on loopback addresses, among stand-ins for
//! callers, routers, endpoints and the store. Faults come from outside, drawn from a seed. The
//! promises are checked from what callers and endpoints see; any that is broken ends the run with
//! failure and keeps the logs.

mod caller;
mod endpoint;
mod faults;
mod flags;
mod ledger;
mod network;
mod packet;
mod process;
mod proxy;
mod router;
mod store;

use std::{process::ExitCode, sync::Arc, time::Duration};

use ledger::Ledger;
use network::Network;
use rand::{SeedableRng as _, rngs::StdRng};

/// Undisturbed time at the end before requests count: what the faults left behind, such as requests
/// under way and processes that start, takes it.
const SETTLING: Duration = Duration::from_secs(6);

/// Undisturbed time after that, in which every request must be served.
const CALM: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let flags = flags::Soak::from_env_or_exit();
    let first = flags.seed.unwrap_or(1);
    let length = Duration::from_secs(flags.seconds.unwrap_or(20));
    let mut failed = 0;
    for seed in first..first + flags.runs.unwrap_or(1) {
        // A runtime of its own ends the stand-ins of each run.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(err) => {
                eprintln!("soak: no runtime: {err}");
                return ExitCode::FAILURE;
            }
        };
        let ledger = runtime.block_on(run(&flags.program, seed, length));
        runtime.shutdown_timeout(Duration::from_secs(1));
        println!("{}", ledger.report(seed));
        failed += u32::from(!ledger.is_clean());
    }
    if failed > 0 {
        eprintln!("soak: {failed} runs broke a promise");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Plays one seed and returns what was seen.
async fn run(program: &std::path::Path, seed: u64, length: Duration) -> Arc<Ledger> {
    let ledger = Arc::new(Ledger::default());
    let mut rng = StdRng::seed_from_u64(seed);
    let mut network = match Network::start(program, seed, &ledger).await {
        Ok(network) => network,
        Err(err) => {
            ledger.broken(format!("the network did not start: {err}"));
            return ledger;
        }
    };
    if !network.wait_ready().await {
        ledger.broken("no balancer became ready within 5 s".to_owned());
        return ledger;
    }
    network.start_callers(&mut rng);
    tokio::time::sleep(Duration::from_secs(2)).await;
    faults::play(&mut network, &mut rng, length, &ledger).await;
    tokio::time::sleep(SETTLING).await;
    ledger.count_from_now();
    tokio::time::sleep(CALM).await;
    ledger.stop_counting();
    // The last requests have their deadline.
    tokio::time::sleep(caller::DEADLINE).await;
    network.stop(&ledger).await;
    ledger
}
