//! Settings files of the programs: their form, their checks and their errors.
//!
//! A settings file is JSON, read once at start. This crate parses and checks it; it opens no file
//! and starts nothing. What changes while a process runs comes in bundles, never from here.

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

/// Settings that can check their own values.
pub trait Validate {
    /// Checks every value.
    ///
    /// # Errors
    ///
    /// Names the first field whose value can't be used, and the remedy.
    fn validate(&self) -> Result<(), SettingsError>;
}

/// Parses and checks a settings file's text.
///
/// # Errors
///
/// Fails on malformed JSON, unknown fields and values that can't be used.
pub fn parse<S: DeserializeOwned + Validate>(text: &str) -> Result<S, SettingsError> {
    let settings: S = serde_json::from_str(text).map_err(|err| error::from_json(&err))?;
    settings.validate()?;
    Ok(settings)
}
