//! Settings of `lovagectl`, the operators' program.

use std::net::SocketAddr;

use bundle::PublicKey;
use serde::{Deserialize, Serialize};
use units::InstanceId;

use crate::{ProcessTls, SettingsError, Validate, check};

/// Settings of `lovagectl`, the operators' program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Processes from which `lovagectl` requests status and timeline.
    pub processes: Vec<ProcessAddress>,
    /// Certificates for calls between processes.
    pub tls: ProcessTls,
    /// Public keys that bundles may be signed with.
    #[serde(default)]
    pub operator_keys: Vec<PublicKey>,
}

/// A process of the fleet and the address on which the process accepts calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessAddress {
    /// Instance name of the process.
    pub instance: InstanceId,
    /// Address on which the process accepts calls.
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
            check::check_address("processes.control_address", it.control_address)?;
        }
        check::check_process_tls(&self.tls)
    }
}
