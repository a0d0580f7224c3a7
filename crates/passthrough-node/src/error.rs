//! Errors that end a balancer or agent process.

use std::{fmt, io, net::SocketAddr};

/// An error that prevents a balancer or agent process from running.
#[derive(Debug)]
pub enum NodeError {
    /// A UDP socket or TCP listener could not be opened.
    Socket {
        /// Purpose of the socket, for the error message.
        purpose: &'static str,
        /// The address to which the socket should be bound.
        address: SocketAddr,
        /// The operating system's error.
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
