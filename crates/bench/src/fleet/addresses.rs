//! Loopback addresses of a fleet's processes: one per process, with fixed ports.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
};

/// UDP port of the tunnel sockets.
const TUNNEL_PORT: u16 = 7_000;

/// TCP port of calls between processes.
const CONTROL_PORT: u16 = 7_001;

/// TCP port of an upstream's and the platform's HTTP servers.
const UPSTREAM_PORT: u16 = 8_080;

/// Port of the first service's address; each further service has the next one.
pub(super) const SERVICE_PORT: u16 = 4_430;

/// Number of loopback address blocks that fleets share.
const BLOCKS: u32 = 200;

/// Second byte of the addresses in the first block.
const FIRST_BLOCK: u8 = 20;

/// Distance between the first blocks of two processes with consecutive ids.
const BLOCKS_PER_PROCESS: u32 = 7;

/// Number of fleets that this bench process has started.
static STARTED_FLEETS: AtomicU32 = AtomicU32::new(0);

/// Assigns a loopback address to each process of a fleet.
///
/// Fleets with different address blocks never share an address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AddressPlan {
    /// Second byte of every address of the fleet, which identifies its block.
    block: u8,
}

impl AddressPlan {
    /// Picks the fleet's address block from the process id and the number of earlier fleets, so
    /// that several fleets can run at the same time.
    pub(crate) fn new() -> Self {
        let earlier_fleets = STARTED_FLEETS.fetch_add(1, Ordering::Relaxed);
        let number = std::process::id()
            .wrapping_mul(BLOCKS_PER_PROCESS)
            .wrapping_add(earlier_fleets);
        let block = u8::try_from(number % BLOCKS).unwrap_or_default() + FIRST_BLOCK;
        Self { block }
    }

    /// Returns the address of a balancer's tunnel socket.
    pub(crate) fn balancer_tunnel(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(1, idx), TUNNEL_PORT)
    }

    /// Returns the address on which a balancer serves gRPC calls.
    pub(crate) fn balancer_control(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(1, idx), CONTROL_PORT)
    }

    /// Returns the address that a balancer binds for the service with this index in the plan.
    pub(crate) fn balancer_service(self, idx: usize, service_idx: usize) -> SocketAddr {
        let port = SERVICE_PORT + u16::try_from(service_idx).unwrap_or_default();
        SocketAddr::new(self.host(1, idx), port)
    }

    /// Returns the address of an agent's tunnel socket.
    pub(crate) fn agent_tunnel(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(2, idx), TUNNEL_PORT)
    }

    /// Returns the address on which an agent serves gRPC calls.
    pub(crate) fn agent_control(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(2, idx), CONTROL_PORT)
    }

    /// Returns the HTTP address of an upstream.
    pub(crate) fn upstream(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(3, idx), UPSTREAM_PORT)
    }

    /// Returns the address of the platform's configuration service.
    pub(crate) fn platform(self) -> SocketAddr {
        SocketAddr::new(self.host(4, 0), UPSTREAM_PORT)
    }

    /// Returns the address of the middlebox in front of an agent.
    pub(crate) fn middlebox(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(5, idx), TUNNEL_PORT)
    }

    /// Returns the address of a baseline that runs inside the bench.
    pub(crate) fn baseline(self) -> SocketAddr {
        SocketAddr::new(self.host(6, 0), TUNNEL_PORT)
    }

    fn host(self, group: u8, idx: usize) -> IpAddr {
        let last = u8::try_from(idx + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, self.block, group, last))
    }
}
