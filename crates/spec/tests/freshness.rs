//! Randomised runs of the spread of confirmations, without and with deliberate defects.

use spec::freshness::{Mutation, Trouble, run};

/// True time of each run.
const RUN_LENGTH_MS: u64 = 60_000;

fn too_young_us(mutation: Mutation) -> u64 {
    (0..60)
        .map(|seed| run(seed, RUN_LENGTH_MS, Trouble::All, mutation).too_young_us)
        .max()
        .unwrap_or(0)
}

#[test]
fn no_confirmation_is_younger_than_the_stores_answer() {
    for seed in 0..400 {
        let report = run(seed, RUN_LENGTH_MS, Trouble::All, Mutation::None);
        assert_eq!(report.too_young_us, 0, "seed {seed}: {report:?}");
        assert!(report.adopted > 50, "seed {seed}: {report:?}");
    }
}

/// Checks that the bound is close enough not to hide readers that work.
#[test]
fn ordinary_delays_add_little_to_the_age() {
    for seed in 0..40 {
        let report = run(seed, RUN_LENGTH_MS, Trouble::None, Mutation::None);
        assert_eq!(report.too_young_us, 0, "seed {seed}: {report:?}");
        assert!(report.oldest_us < 1_700_000, "seed {seed}: {report:?}");
    }
}

#[test]
fn every_mutation_makes_a_confirmation_too_young() {
    for mutation in [
        Mutation::DateByReceipt,
        Mutation::RecordStampEarly,
        Mutation::TrustClockRates,
        Mutation::ReuseStamps,
    ] {
        assert!(too_young_us(mutation) > 0, "{mutation:?}");
    }
}
