//! Mapping between service addresses and the local IPs that stand for them in the QUIC library.

use std::{
    net::{IpAddr, Ipv6Addr, SocketAddr},
    sync::{Mutex, PoisonError},
};

/// Maximum number of service addresses over the lifetime of an agent.
const ADDRESSES_MAX: usize = 1024;

/// Service addresses, each with an IP that stands for it.
///
/// The QUIC library keeps only a local IP for each path, not a port. The library gets an IP made
/// from the index of the service address, which stays the same for the lifetime of the process.
#[derive(Debug, Default)]
pub(crate) struct ServiceAddresses {
    /// Append-only list of service addresses, at most `ADDRESSES_MAX`.
    assigned: Mutex<Vec<SocketAddr>>,
}

impl ServiceAddresses {
    /// Returns the IP that stands for the service address `address`, assigned on first use; `None`
    /// if the table is full.
    pub(crate) fn assign_ip(&self, address: SocketAddr) -> Option<IpAddr> {
        let mut assigned = self.assigned.lock().unwrap_or_else(PoisonError::into_inner);
        let idx = match assigned.iter().position(|it| *it == address) {
            Some(idx) => idx,
            None if assigned.len() < ADDRESSES_MAX => {
                assigned.push(address);
                assigned.len() - 1
            }
            None => return None,
        };
        Some(IpAddr::V6(Ipv6Addr::from(idx as u128)))
    }

    /// Returns the service address that `ip` stands for.
    pub(crate) fn resolve(&self, ip: IpAddr) -> Option<SocketAddr> {
        let IpAddr::V6(ip) = ip else {
            return None;
        };
        let idx = usize::try_from(u128::from(ip)).ok()?;
        let assigned = self.assigned.lock().unwrap_or_else(PoisonError::into_inner);
        assigned.get(idx).copied()
    }
}
