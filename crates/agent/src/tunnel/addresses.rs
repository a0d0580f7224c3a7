//! Service addresses, as the QUIC library carries them.

use std::{
    net::{IpAddr, Ipv6Addr, SocketAddr},
    sync::{Mutex, PoisonError},
};

/// Most service addresses of one agent's life.
const ADDRESSES_MAX: usize = 1024;

/// Numbers for service addresses.
///
/// The QUIC library remembers only a local IP for each path. It gets one made of the address's
/// number, which stays the same for the life of the process.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    /// Grows only, at most `ADDRESSES_MAX`.
    numbered: Mutex<Vec<SocketAddr>>,
}

impl Addresses {
    /// Returns the IP that stands for `address`, `None` if there are too many.
    pub(crate) fn number(&self, address: SocketAddr) -> Option<IpAddr> {
        let mut numbered = self.numbered.lock().unwrap_or_else(PoisonError::into_inner);
        let idx = match numbered.iter().position(|it| *it == address) {
            Some(idx) => idx,
            None if numbered.len() < ADDRESSES_MAX => {
                numbered.push(address);
                numbered.len() - 1
            }
            None => return None,
        };
        Some(IpAddr::V6(Ipv6Addr::from(idx as u128)))
    }

    /// Returns the address that `ip` stands for.
    pub(crate) fn find(&self, ip: IpAddr) -> Option<SocketAddr> {
        let IpAddr::V6(ip) = ip else {
            return None;
        };
        let idx = usize::try_from(u128::from(ip)).ok()?;
        let numbered = self.numbered.lock().unwrap_or_else(PoisonError::into_inner);
        numbered.get(idx).copied()
    }
}
