//! Command line of the soak.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs the real programs under random faults.
    cmd soak {
        /// The program under test.
        required program: PathBuf
        /// Seed of the first run.
        optional --seed seed: u64
        /// Runs, each with the next seed.
        optional --runs runs: u64
        /// Length of the faults in each run, in seconds.
        optional --seconds seconds: u64
    }
}
