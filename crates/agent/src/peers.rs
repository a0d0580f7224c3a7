//! Calls to the other agents of the service.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use bundle::InForce;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};
use units::EndpointId;
use wire::requests::requests_client::RequestsClient;

/// Longest time to open a connection to another agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between signs of life asked of a connection, and longest wait for one.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Connections kept; the oldest gives way.
const CHANNELS_MAX: usize = 256;

/// Connections to the other agents of the service, opened on first use.
pub(crate) struct Peers {
    in_force: Arc<ArcSwap<InForce>>,
    /// `None` if this process has no certificate for calls.
    tls: Option<ClientTlsConfig>,
    /// At most `CHANNELS_MAX`, the oldest first.
    channels: Mutex<Vec<(SocketAddr, Channel)>>,
}

impl Peers {
    pub(crate) fn new(in_force: Arc<ArcSwap<InForce>>, tls: Option<ClientTlsConfig>) -> Self {
        Self {
            in_force,
            tls,
            channels: Mutex::default(),
        }
    }

    /// Returns what calls the agent beside an endpoint, `None` if its address isn't known.
    pub(crate) fn client(&self, endpoint: EndpointId) -> Option<RequestsClient<Channel>> {
        let address = self.address(endpoint)?;
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, channel)) = channels.iter().find(|it| it.0 == address) {
            return Some(RequestsClient::new(channel.clone()));
        }
        let channel = self.open(address)?;
        if channels.len() >= CHANNELS_MAX {
            channels.remove(0);
        }
        channels.push((address, channel.clone()));
        Some(RequestsClient::new(channel))
    }

    /// Finds where an endpoint's agent takes calls, by the bundle in force or the one before.
    fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let in_force = self.in_force.load();
        let bundles = [Some(&in_force.current), in_force.previous.as_ref()];
        bundles.into_iter().flatten().find_map(|it| {
            let endpoints = &it.bundle.endpoints;
            let idx = endpoints.binary_search_by_key(&endpoint, |it| it.id).ok()?;
            Some(endpoints[idx].control_address)
        })
    }

    fn open(&self, address: SocketAddr) -> Option<Channel> {
        let endpoint = Endpoint::from_shared(format!("https://{address}"))
            .ok()?
            .tls_config(self.tls.clone()?)
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true);
        Some(endpoint.connect_lazy())
    }
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers").finish_non_exhaustive()
    }
}
