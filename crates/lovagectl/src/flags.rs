//! The command line of `lovagectl`.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
};

use bundle::PublicKey;
use units::ServiceId;

xflags::xflags! {
    /// Manages the keys and bundles of a lovagehall fleet and inspects its processes.
    cmd lovagectl {
        /// Generates keys and certificates, and signs key sets.
        cmd key {
            /// Generates a key or certificate.
            cmd new {
                /// Generates an operator's key pair; prints the public key, writes the secret key.
                cmd operator {
                    /// File to create for the secret key; must not exist.
                    required --out out: PathBuf
                }
                /// Generates a fleet key and prints it, for the settings of balancers.
                cmd fleet {
                    /// Index of the key in rotation, 0 to 6; 0 if not given.
                    optional --index index: u8
                }
                /// Derives a service's key and prints it, for the settings of its agents.
                cmd service {
                    /// Id of the service.
                    required service: ServiceId
                    /// File with the fleet key as `key new fleet` prints it.
                    required --fleet-key fleet_key: PathBuf
                }
                /// Generates the certificate authority that signs the certificates of processes.
                cmd authority {
                    /// Folder in which to create `ca.pem` and `ca-key.pem`; neither may exist.
                    required --out out: PathBuf
                }
                /// Issues a certificate for a process and prints the `tls` field of its settings.
                cmd process {
                    /// Folder that `key new authority` wrote.
                    required --authority authority: PathBuf
                }
            }
            /// Checks and signs a key set, and writes the file to publish.
            cmd sign-set {
                /// Key set document in JSON.
                required document: PathBuf
                /// File with the secret root key.
                required --root root: PathBuf
                /// File to create for the signed key set; must not exist.
                required --out out: PathBuf
            }
        }
        /// Checks, signs and compares bundles.
        cmd bundle {
            /// Checks a bundle document by every rule that needs no other document.
            cmd check {
                /// Bundle document in JSON.
                required document: PathBuf
            }
            /// Checks and signs a bundle document, and writes the file to publish.
            cmd sign {
                /// Bundle document in JSON.
                required document: PathBuf
                /// File with the operator's secret key.
                required --key key: PathBuf
                /// Signed bundle of the previous version; required from version 2 on.
                optional --previous previous: PathBuf
                /// File to create for the signed bundle; must not exist.
                required --out out: PathBuf
            }
            /// Verifies a signed bundle against operators' public keys.
            cmd verify {
                /// Signed bundle.
                required bundle: PathBuf
                /// Public key that may have signed the bundle; can be given several times.
                repeated --public-key public_key: PublicKey
                /// Settings file with `operator_keys` that may have signed the bundle.
                optional --settings settings: PathBuf
            }
            /// Shows the differences between two bundle documents or signed bundles.
            cmd diff {
                /// Old document or signed bundle.
                required before: PathBuf
                /// New document or signed bundle.
                required after: PathBuf
            }
        }
        /// Shows the services, members and counters of each process.
        cmd status {
            /// Settings file of this program in JSON.
            required --settings settings: PathBuf
            /// Prints JSON instead of text.
            optional --json
        }
        /// Shows the log lines of passthrough processes that concern one flow.
        cmd explain {
            /// Log files; standard input if none is given.
            repeated files: PathBuf
            /// Flow, or a part of its name, such as the caller's address and port.
            required --flow flow: String
        }
        /// Asks a passthrough balancer where an opening would go now, and why, without sending it.
        cmd where {
            /// Address and port of the balancer's metrics.
            required --balancer balancer: SocketAddr
            /// Address and port that callers of the route send to.
            required --route route: SocketAddrV4
            /// Caller's address and port; the flow's choices depend on them. One of no caller if not
            /// given.
            optional --caller caller: SocketAddrV4
            /// Prints JSON instead of a table.
            optional --json
        }
        /// Shows the events of all processes merged in one order.
        cmd timeline {
            /// Settings file of this program in JSON.
            required --settings settings: PathBuf
            /// Output format: `text`, `json` or `svg`; `text` if not given.
            optional --format format: Format
            /// Shows only the events of the last given number of seconds.
            optional --last-seconds last_seconds: u64
            /// Output file; standard output if not given.
            optional --out out: PathBuf
        }
    }
}

/// Output format of a timeline.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text with one line per timeline event.
    #[default]
    Text,
    /// A JSON object.
    Json,
    /// An SVG image.
    Svg,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "svg" => Ok(Self::Svg),
            _ => Err(format!("format `{text}` is unknown; use text, json or svg")),
        }
    }
}
