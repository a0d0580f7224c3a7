//! Command line of the bench program.

xflags::xflags! {
    /// The demo and the benches.
    cmd program {
        /// Runs both users' deployments in one fleet and ends with a summary.
        cmd demo {
            /// Seed of every random choice.
            optional --seed seed: u64
            /// Length of the load in seconds.
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
