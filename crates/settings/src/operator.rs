//! Settings of the operators' program.

use std::net::SocketAddr;

use bundle::PublicKey;
use serde::{Deserialize, Serialize};
use units::InstanceId;

use crate::{ProcessTls, SettingsError, Validate, check};

/// Settings of the operators' program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Processes asked for their status and time line.
    pub processes: Vec<ProcessAddress>,
    /// Certificates for calls between processes.
    pub tls: ProcessTls,
    /// Keys that bundles are signed with.
    #[serde(default)]
    pub operator_keys: Vec<PublicKey>,
}

/// A process and where it is called.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessAddress {
    /// Name of the process.
    pub instance: InstanceId,
    /// Its control address.
    pub control_address: SocketAddr,
}

impl Validate for OperatorSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        if self.processes.is_empty() {
            return Err(SettingsError::Field {
                field: "processes",
                cause: "the list is empty".to_owned(),
                remedy: "give at least one process with its control address",
            });
        }
        for it in &self.processes {
            check::address("processes.control_address", it.control_address)?;
        }
        check::process_tls(&self.tls)
    }
}
