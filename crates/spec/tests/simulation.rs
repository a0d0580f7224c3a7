//! Randomised simulations of the agents' request decisions, with and without faults.

use spec::simulation::{Faults, run_simulation};
use units::Millis;

/// Simulated time of each simulation run.
const RUN_LENGTH_MS: Millis = Millis::new(60_000);

#[test]
fn random_faults_violate_no_invariant() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(40)
        .for_each(|seed| {
            let report = run_simulation(*seed, RUN_LENGTH_MS, Faults::all());
            let report = report.unwrap_or_else(|violation| panic!("seed {seed}: {violation:?}"));
            assert!(
                report.runs > 0 && report.unknown > 0,
                "seed {seed} runs too few requests or meets too few unknown outcomes: {report:?}"
            );
        });
}

#[test]
fn fault_free_run_has_no_unknown_outcome() {
    for seed in 0..5 {
        let report = run_simulation(seed, RUN_LENGTH_MS, Faults::none()).unwrap();
        assert_eq!(report.unknown, 0);
        assert!(report.answered > 1_000, "{report:?}");
    }
}
