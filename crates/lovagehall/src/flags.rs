//! Command line of the program.

use std::path::PathBuf;

xflags::xflags! {
    /// A layer-4 load balancer for services that nobody watches at night.
    cmd lovagehall {
        /// Specification of what is logged, for example `info` or `warn, control=debug`.
        optional --log spec: String
        /// Forwards datagrams between callers and agents.
        cmd balancer {
            /// Settings file, JSON.
            required settings: PathBuf
            /// Checks the settings file and ends.
            optional --check-settings
        }
        /// Forwards flows whole, as packets, between callers and agents.
        cmd passthrough-balancer {
            /// Settings file, JSON.
            required settings: PathBuf
            /// Checks the settings file and ends.
            optional --check-settings
        }
        /// Forwards flows whole to one upstream endpoint and back.
        cmd passthrough-agent {
            /// Settings file, JSON.
            required settings: PathBuf
            /// Checks the settings file and ends.
            optional --check-settings
        }
        /// Answers callers beside one upstream endpoint.
        cmd agent {
            /// Settings file, JSON.
            required settings: PathBuf
            /// Checks the settings file and ends.
            optional --check-settings
        }
    }
}
