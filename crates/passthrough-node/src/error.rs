//! Errors that end a process.

use std::{fmt, io, net::SocketAddr};

/// An error that prevents a process from running.
#[derive(Debug)]
pub enum NodeError {
    /// A socket could not be opened.
    Socket {
        /// What the socket is for.
        purpose: &'static str,
        /// The address to bind.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A signal handler could not be installed.
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
                "can't open the socket for {purpose} at {address}: {source}; check that no other \
                 process uses the address, or correct the settings"
            ),
            Self::Signal(source) => {
                write!(
                    f,
                    "can't install a signal handler: {source}; check the process's limits"
                )
            }
        }
    }
}

impl std::error::Error for NodeError {}
