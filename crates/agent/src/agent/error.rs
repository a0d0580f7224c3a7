//! Why an agent could not start.

use std::{fmt, io};

use units::EndpointId;

/// Why an agent could not start.
#[derive(Debug)]
pub enum StartError {
    /// The bundle in force doesn't name the endpoint.
    NotInBundle(EndpointId),
    /// The tunnel socket or the certificate is unusable.
    Endpoint(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotInBundle(endpoint) => write!(
                f,
                "the bundle in force names no endpoint {endpoint}; publish one that does or \
                 correct the agent's settings"
            ),
            Self::Endpoint(err) => write!(
                f,
                "the agent can't open its endpoint ({err}); check tunnel address, certificate \
                 and key"
            ),
        }
    }
}

impl std::error::Error for StartError {}
