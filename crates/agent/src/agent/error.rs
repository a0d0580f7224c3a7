//! Errors on the start of an agent.

use std::{fmt, io};

use units::EndpointId;

/// Error on the start of an agent.
#[derive(Debug)]
pub enum StartError {
    /// The current bundle doesn't contain the endpoint.
    NotInBundle(EndpointId),
    /// The tunnel socket can't be bound, or a certificate or key is invalid.
    Endpoint(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotInBundle(endpoint) => write!(
                f,
                "the current bundle doesn't contain endpoint {endpoint}; publish a bundle that \
                 does or correct the agent's settings"
            ),
            Self::Endpoint(err) => write!(
                f,
                "the agent can't open its QUIC endpoint ({err}); check the tunnel address, \
                 certificate and key"
            ),
        }
    }
}

impl std::error::Error for StartError {}
