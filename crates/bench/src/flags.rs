//! Command line of the bench program.

xflags::xflags! {
    /// Runs the demo or a bench.
    cmd program {
        /// Runs the deployments of both users in one fleet and prints a summary.
        cmd demo {
            /// Seed of all random decisions.
            optional --seed seed: u64
            /// Duration of the load in seconds.
            optional --seconds seconds: u64
        }
        /// Runs one bench, or lists the benches when no name is given.
        cmd bench {
            /// Name of the bench to run.
            optional name: String
            /// Seed of all random decisions.
            optional --seed seed: u64
            /// Duration of the measured part in seconds.
            optional --seconds seconds: u64
        }
    }
}
