//! The command line of `lovagehall`.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one process of a layer-4 load balancer: a balancer or an agent.
    cmd lovagehall {
        /// Log filter by level and module, for example `info` or `warn, control=debug`.
        optional --log spec: String
        /// Forwards QUIC datagrams between callers and agents through tunnels.
        cmd balancer {
            /// Settings file in JSON.
            required settings: PathBuf
            /// Checks the settings file and exits.
            optional --check-settings
        }
        /// Forwards IP packets between callers and passthrough agents.
        cmd passthrough-balancer {
            /// Settings file in JSON.
            required settings: PathBuf
            /// Checks the settings file and exits.
            optional --check-settings
        }
        /// Forwards IP packets between passthrough balancers and one upstream endpoint.
        cmd passthrough-agent {
            /// Settings file in JSON.
            required settings: PathBuf
            /// Checks the settings file and exits.
            optional --check-settings
        }
        /// Terminates callers' connections and forwards their requests to one upstream endpoint.
        cmd agent {
            /// Settings file in JSON.
            required settings: PathBuf
            /// Checks the settings file and exits.
            optional --check-settings
        }
    }
}
