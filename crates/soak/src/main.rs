//! Randomised fault-injection test of the passthrough processes.
//!
//! Each run starts the real balancer and agent programs on loopback addresses, together with
//! simulated callers, a router, endpoints and a store. A seed determines the injected faults. The
//! invariants are checked on what callers and endpoints observe. A violation fails the run, and the
//! processes' logs are kept.

mod caller;
mod endpoint;
mod eras;
mod faults;
mod flags;
mod network;
mod packet;
mod process;
mod proxy;
mod report;
mod router;
mod store;

use std::{process::ExitCode, sync::Arc, time::Duration};

use network::Network;
use rand::{SeedableRng as _, rngs::StdRng};
use report::RunReport;

/// Time after the last fault until requests must be served again. Running requests and starting
/// processes recover in this time.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Length of the fault-free phase after the recovery, in which every request must be served.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let flags = flags::Soak::from_env_or_exit();
    let first_seed = flags.seed.unwrap_or(1);
    let fault_time = Duration::from_secs(flags.seconds.unwrap_or(20));
    let mut failed = 0;
    for seed in first_seed..first_seed + flags.runs.unwrap_or(1) {
        // Each run has its own runtime, whose shutdown ends the run's simulated peers.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(err) => {
                eprintln!("soak: the tokio runtime can't be created: {err}");
                return ExitCode::FAILURE;
            }
        };
        let report = runtime.block_on(run_seed(&flags.program, seed, fault_time));
        runtime.shutdown_timeout(Duration::from_secs(1));
        println!("{}", report.format_summary(seed));
        failed += u32::from(!report.has_passed());
    }
    if failed > 0 {
        eprintln!(
            "soak: {failed} runs violated an invariant or served no request in the fault-free phase"
        );
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Runs the soak test with one seed and returns the run's report.
async fn run_seed(program: &std::path::Path, seed: u64, fault_time: Duration) -> Arc<RunReport> {
    let report = Arc::new(RunReport::default());
    let mut rng = StdRng::seed_from_u64(seed);
    let mut network = match Network::start(program, seed, &report).await {
        Ok(network) => network,
        Err(err) => {
            report.record_violation(format!("the test network can't be started: {err}"));
            return report;
        }
    };
    if !network.wait_until_ready().await {
        report.record_violation("not all balancers became ready within 5 s".to_owned());
        return report;
    }
    network.start_callers(&mut rng);
    // Seeds recorded before the shared route existed thus still produce the same faults.
    network.start_shared_route_callers(&mut rng.clone());
    tokio::time::sleep(Duration::from_secs(2)).await;
    faults::inject_faults(&mut network, &mut rng, fault_time, &report).await;
    tokio::time::sleep(RECOVERY_TIME).await;
    report.begin_fault_free_phase();
    tokio::time::sleep(FAULT_FREE_TIME).await;
    report.end_fault_free_phase();
    eras::check_balancers(&network, &report).await;
    // Requests that began in the fault-free phase may run until their deadline.
    tokio::time::sleep(caller::DEADLINE).await;
    network.stop_processes(&report).await;
    report
}
