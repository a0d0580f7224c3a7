//! Command line of `cargo xtask`.

xflags::xflags! {
    /// Automation of the lovagehall workspace.
    cmd xtask {
        /// Runs the checks of CI: formatting, lints, documentation, tests, models and short soaks.
        cmd ci {}
        /// Generates the code of `crates/wire` from its `proto` folder.
        cmd codegen {
            /// Compares the committed code instead of writing it, and fails if it differs.
            optional --check
        }
        /// Runs both users' deployments in one fleet and prints a summary.
        cmd demo {
            /// Seed of every random choice.
            optional --seed seed: u64
            /// Duration of the load in seconds.
            optional --seconds seconds: u64
        }
        /// Runs the real passthrough programs with randomly injected faults and checks invariants.
        cmd soak {
            /// Seed of the first run.
            optional --seed seed: u64
            /// Number of runs; each uses the next seed.
            optional --runs runs: u64
            /// Duration of the fault injection in each run, in seconds.
            optional --seconds seconds: u64
        }
        /// Runs one bench, or lists the benches when no name is given.
        cmd bench {
            /// Name of the bench to run.
            optional name: String
            /// Seed of every random choice.
            optional --seed seed: u64
            /// Duration of the run in seconds.
            optional --seconds seconds: u64
        }
    }
}
