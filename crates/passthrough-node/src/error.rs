//! Why a process ended.

use std::{fmt, io, net::SocketAddr};

/// Why a process could not start or go on.
#[derive(Debug)]
pub enum NodeError {
    /// A socket could not be opened.
    Socket {
        /// What the socket is for.
        purpose: &'static str,
        /// The address asked for.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Signals can't be received.
    Signal(io::Error),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Socket {
                purpose,
                address,
                source,
            } => write!(
                f,
                "no socket for {purpose} at {address}: {source}; see whether another process uses \
                 the address, and correct the settings"
            ),
            Self::Signal(source) => {
                write!(
                    f,
                    "signals can't be received: {source}; see the process's limits"
                )
            }
        }
    }
}

impl std::error::Error for NodeError {}
