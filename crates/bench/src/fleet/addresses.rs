//! Loopback addresses: one per process, with fixed ports.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
};

/// Port of tunnel datagrams.
const TUNNEL_PORT: u16 = 7_000;

/// Port of calls between processes.
const CONTROL_PORT: u16 = 7_001;

/// Port of an upstream's HTTP.
const UPSTREAM_PORT: u16 = 8_080;

/// First port of the services' addresses.
pub(super) const SERVICE_PORT: u16 = 4_430;

/// Blocks of loopback addresses that fleets use.
const BLOCKS: u32 = 200;

/// Second byte of the first block.
const FIRST_BLOCK: u8 = 20;

/// Blocks between those of two processes with consecutive ids.
const BLOCKS_PER_PROCESS: u32 = 7;

/// Fleets that this process started.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// Hands out one loopback address per process of one fleet.
///
/// Fleets with different `block`s never share an address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AddressPlan {
    /// Second byte of every address.
    block: u8,
}

impl AddressPlan {
    /// Picks the block from the process id and the fleets before, so that fleets run side by side.
    pub(crate) fn new() -> Self {
        let before = FLEETS.fetch_add(1, Ordering::Relaxed);
        let number = std::process::id()
            .wrapping_mul(BLOCKS_PER_PROCESS)
            .wrapping_add(before);
        let block = u8::try_from(number % BLOCKS).unwrap_or_default() + FIRST_BLOCK;
        Self { block }
    }

    /// Address of a balancer's tunnel socket.
    pub(crate) fn balancer_tunnel(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(1, idx), TUNNEL_PORT)
    }

    /// Address where a balancer is called.
    pub(crate) fn balancer_control(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(1, idx), CONTROL_PORT)
    }

    /// Address a balancer binds for the service with this position in the plan.
    pub(crate) fn balancer_service(self, idx: usize, service_idx: usize) -> SocketAddr {
        let port = SERVICE_PORT + u16::try_from(service_idx).unwrap_or_default();
        SocketAddr::new(self.host(1, idx), port)
    }

    /// Address of an agent's tunnel socket.
    pub(crate) fn agent_tunnel(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(2, idx), TUNNEL_PORT)
    }

    /// Address where an agent is called.
    pub(crate) fn agent_control(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(2, idx), CONTROL_PORT)
    }

    /// Address of an upstream.
    pub(crate) fn upstream(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(3, idx), UPSTREAM_PORT)
    }

    /// Address of the platform service.
    pub(crate) fn platform(self) -> SocketAddr {
        SocketAddr::new(self.host(4, 0), UPSTREAM_PORT)
    }

    /// Address of the box in front of an agent.
    pub(crate) fn middlebox(self, idx: usize) -> SocketAddr {
        SocketAddr::new(self.host(5, idx), TUNNEL_PORT)
    }

    /// Address of what a bench sends itself.
    pub(crate) fn baseline(self) -> SocketAddr {
        SocketAddr::new(self.host(6, 0), TUNNEL_PORT)
    }

    fn host(self, group: u8, idx: usize) -> IpAddr {
        let last = u8::try_from(idx + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, self.block, group, last))
    }
}
