//! Command line of `cargo xtask`.

xflags::xflags! {
    /// Automation of the lovagehall workspace.
    cmd xtask {
        /// Formats, lints, tests and model-checks the workspace; what CI runs.
        cmd ci {}
        /// Generates the committed code of `crates/wire` from its `proto` folder.
        cmd codegen {
            /// Fails if the committed code differs instead of writing it.
            optional --check
        }
        /// Runs both users' deployments in one fleet and ends with a summary.
        cmd demo {
            /// Seed of every random choice.
            optional --seed seed: u64
            /// Length of the load in seconds.
            optional --seconds seconds: u64
        }
        /// Runs the real programs under random faults and checks the promises.
        cmd soak {
            /// Seed of the first run.
            optional --seed seed: u64
            /// Runs, each with the next seed.
            optional --runs runs: u64
            /// Length of the faults in each run, in seconds.
            optional --seconds seconds: u64
        }
        /// Runs one bench, or lists the benches when no name is given.
        cmd bench {
            /// The bench to run.
            optional name: String
            /// Seed of every random choice.
            optional --seed seed: u64
            /// Length of the run in seconds.
            optional --seconds seconds: u64
        }
    }
}
