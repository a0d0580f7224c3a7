//! Command-line flags of `soak`.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs the real passthrough programs with randomly injected faults.
    cmd soak {
        /// Path of the program under test.
        required program: PathBuf
        /// Seed of the first soak run.
        optional --seed seed: u64
        /// Number of runs; each uses the next seed.
        optional --runs runs: u64
        /// Duration of the fault injection in each run, in seconds.
        optional --seconds seconds: u64
    }
}
