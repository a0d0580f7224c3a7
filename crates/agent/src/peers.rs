//! gRPC connections to the other agents of the service.

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

/// Timeout for connecting to another agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between HTTP/2 keep-alive pings, and timeout of each.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of connections to other agents; beyond it the oldest is closed.
const CHANNELS_MAX: usize = 256;

/// Connections to the other agents of the service, each opened on first use.
pub(crate) struct Peers {
    in_force: Arc<ArcSwap<InForce>>,
    /// Client TLS; `None` if this process has no client certificate.
    tls: Option<ClientTlsConfig>,
    /// At most [`CHANNELS_MAX`] connections, oldest first.
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

    /// Returns a gRPC client for the agent of an endpoint.
    ///
    /// Returns `None` if the agent's address is unknown or this process has no client certificate.
    pub(crate) fn client_for_endpoint(
        &self,
        endpoint: EndpointId,
    ) -> Option<RequestsClient<Channel>> {
        let address = self.control_address(endpoint)?;
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, channel)) = channels.iter().find(|it| it.0 == address) {
            return Some(RequestsClient::new(channel.clone()));
        }
        let channel = self.connect(address)?;
        if channels.len() >= CHANNELS_MAX {
            channels.remove(0);
        }
        channels.push((address, channel.clone()));
        Some(RequestsClient::new(channel))
    }

    /// Looks up the control address of an endpoint in the current bundle, then in the previous one.
    fn control_address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let in_force = self.in_force.load();
        let bundles = [Some(&in_force.current), in_force.previous.as_ref()];
        bundles.into_iter().flatten().find_map(|it| {
            let endpoints = &it.bundle.endpoints;
            let idx = endpoints.binary_search_by_key(&endpoint, |it| it.id).ok()?;
            Some(endpoints[idx].control_address)
        })
    }

    fn connect(&self, address: SocketAddr) -> Option<Channel> {
        let endpoint = Endpoint::from_shared(format!("https://{address}"))
            .ok()?
            .tls_config(self.tls.clone()?)
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
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
