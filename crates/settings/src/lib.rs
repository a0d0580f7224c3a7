//! The settings files of all programs: their fields, validation and errors.
//!
//! A settings file is JSON. This crate parses and validates its text, and performs no I/O. The
//! configuration of services, which changes while processes run, comes in bundles or from the
//! platform's store instead.

mod agent;
mod balancer;
mod check;
mod credentials;
mod error;
mod operator;
mod passthrough;

pub use agent::AgentSettings;
pub use balancer::BalancerSettings;
pub use credentials::{CallerTls, ProcessTls, SecretKey, SharedKey};
pub use error::SettingsError;
pub use operator::{OperatorSettings, ProcessAddress};
pub use passthrough::{PassthroughAgentSettings, PassthroughBalancerSettings};

use serde::de::DeserializeOwned;

/// Settings whose values can be validated after parsing.
pub trait Validate {
    /// Validates the values of all settings fields.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first field with an invalid value, and how to correct it.
    fn validate(&self) -> Result<(), SettingsError>;
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns an error for malformed JSON, unknown fields and invalid values.
pub fn parse_settings<S: DeserializeOwned + Validate>(text: &str) -> Result<S, SettingsError> {
    let settings: S =
        serde_json::from_str(text).map_err(|err| error::settings_error_from_json(&err))?;
    settings.validate()?;
    Ok(settings)
}
