//! Command line of the program.

use std::path::PathBuf;

use bundle::PublicKey;
use units::ServiceId;

xflags::xflags! {
    /// Works with the keys, bundles and processes of a lovagehall fleet.
    cmd lovagectl {
        /// Makes keys and certificates.
        cmd key {
            /// Makes a key or certificate.
            cmd new {
                /// Makes an operator's key pair; prints the public key, writes the secret one.
                cmd operator {
                    /// File for the secret key; must not exist.
                    required --out out: PathBuf
                }
                /// Prints a new root key of the fleet, for the settings of balancers.
                cmd fleet {
                    /// Index in rotation, 0 to 6.
                    optional --index index: u8
                }
                /// Prints a service's key, for the settings of its agents.
                cmd service {
                    /// The service's id.
                    required service: ServiceId
                    /// File with the fleet's key as `key new fleet` prints it.
                    required --fleet-key fleet_key: PathBuf
                }
                /// Makes the authority that certifies processes.
                cmd authority {
                    /// Folder for `ca.pem` and `ca-key.pem`; neither may exist.
                    required --out out: PathBuf
                }
                /// Prints the `tls` field for a process's settings, with a certificate of its own.
                cmd process {
                    /// Folder of the authority.
                    required --authority authority: PathBuf
                }
            }
            /// Checks and signs a key set, and writes what to publish.
            cmd sign-set {
                /// The key set document, JSON.
                required document: PathBuf
                /// File with the secret half of a root key.
                required --root root: PathBuf
                /// File for the signed key set; must not exist.
                required --out out: PathBuf
            }
        }
        /// Checks, signs and compares bundles.
        cmd bundle {
            /// Checks a document by every rule that needs no other document.
            cmd check {
                /// The bundle document, JSON.
                required document: PathBuf
            }
            /// Checks and signs a document, and writes what to publish.
            cmd sign {
                /// The bundle document, JSON.
                required document: PathBuf
                /// File with the operator's secret key.
                required --key key: PathBuf
                /// The signed bundle of the version before; needed from version 2 on.
                optional --previous previous: PathBuf
                /// File for the signed bundle; must not exist.
                required --out out: PathBuf
            }
            /// Checks a signed bundle against operators' public keys.
            cmd verify {
                /// The signed bundle.
                required bundle: PathBuf
                /// A public key that may have signed it; may be given again.
                repeated --public-key public_key: PublicKey
                /// Settings file whose `operator_keys` may have signed it.
                optional --settings settings: PathBuf
            }
            /// Shows what differs between two documents or signed bundles.
            cmd diff {
                /// The one before.
                required before: PathBuf
                /// The one after.
                required after: PathBuf
            }
        }
        /// Shows what each process holds.
        cmd status {
            /// Settings file of the operators' program, JSON.
            required --settings settings: PathBuf
            /// Prints JSON.
            optional --json
        }
        /// Shows what the logs of passthrough processes say of one flow.
        cmd explain {
            /// Log files; standard input when none is given.
            repeated files: PathBuf
            /// The flow, or a part of its name, such as the caller's address and port.
            required --flow flow: String
        }
        /// Shows what happened, over all processes in one order.
        cmd timeline {
            /// Settings file of the operators' program, JSON.
            required --settings settings: PathBuf
            /// `text`, `json` or `svg`; `text` when not given.
            optional --format format: Format
            /// Only events of the last seconds.
            optional --last-seconds last_seconds: u64
            /// File to write instead of standard output.
            optional --out out: PathBuf
        }
    }
}

/// Form of a time line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// A line for each event.
    #[default]
    Text,
    /// JSON.
    Json,
    /// A picture.
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
