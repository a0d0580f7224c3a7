//! Test double of a caller: an HTTP/3 client whose datagrams are sprayed over all balancers.

mod call;
mod fabric;
mod socket;

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use quinn::{EndpointConfig, crypto::rustls::QuicClientConfig};
use rustls_pki_types::CertificateDer;
use tokio::task::JoinHandle;

pub use call::{Call, CallError, CallResponse};
pub use fabric::{Fabric, Faults};

use socket::SprayingSocket;

/// QUIC idle timeout of a caller's connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between the keep-alive packets of an idle caller connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// A caller whose connections all share one UDP socket.
#[derive(Debug)]
pub struct Caller {
    endpoint: quinn::Endpoint,
    client: quinn::ClientConfig,
}

/// An HTTP/3 connection to one service.
pub struct CallerConnection {
    quic: quinn::Connection,
    requests: h3::client::SendRequest<h3_quinn::OpenStreams, Bytes>,
    driver: JoinHandle<()>,
}

impl Caller {
    /// Creates a caller that trusts the services' `certificates`.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened or a certificate is malformed.
    pub fn new(fabric: Arc<Fabric>, certificates: &[CertificateDer<'static>]) -> io::Result<Self> {
        let socket = Arc::new(SprayingSocket::bind(fabric)?);
        let endpoint = quinn::Endpoint::new_with_abstract_socket(
            EndpointConfig::default(),
            None,
            socket,
            Arc::new(quinn::TokioRuntime),
        )?;
        Ok(Self {
            endpoint,
            client: client_config(certificates)?,
        })
    }

    /// Opens a connection to `service`, which presents a certificate for `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::ConnectionLost`] if no handshake succeeds.
    pub async fn connect(
        &self,
        service: SocketAddr,
        name: &str,
    ) -> Result<CallerConnection, CallError> {
        let lost = |reason: String| CallError::ConnectionLost { reason };
        let connecting = self
            .endpoint
            .connect_with(self.client.clone(), service, name)
            .map_err(|err| lost(err.to_string()))?;
        let quic = connecting.await.map_err(|err| lost(err.to_string()))?;
        let (mut driver, requests) = h3::client::new(h3_quinn::Connection::new(quic.clone()))
            .await
            .map_err(|err| lost(err.to_string()))?;
        let driver = tokio::spawn(async move {
            driver.wait_idle().await;
        });
        Ok(CallerConnection {
            quic,
            requests,
            driver,
        })
    }

    /// Closes all connections of the caller and waits until QUIC has notified the peers.
    pub async fn close_connections(&self) {
        self.endpoint.close(0_u32.into(), b"");
        self.endpoint.wait_idle().await;
    }
}

impl CallerConnection {
    /// Makes a call on the connection and returns the complete response.
    ///
    /// # Errors
    ///
    /// Fails with a [`CallError`] that says whether the request may have run.
    pub async fn request(&self, call: Call) -> Result<CallResponse, CallError> {
        let timeout = call.timeout;
        let executing = call::execute_call(self.requests.clone(), call);
        match tokio::time::timeout(timeout, executing).await {
            Ok(result) => result.map_err(|err| self.with_quic_close_reason(err)),
            Err(_elapsed) => Err(CallError::Timeout),
        }
    }

    /// Returns why the connection is closed, or `None` while it is open.
    #[must_use]
    pub fn close_reason(&self) -> Option<quinn::ConnectionError> {
        self.quic.close_reason()
    }

    /// Returns the QUIC connection below the HTTP/3 connection.
    #[must_use]
    pub fn quic_connection(&self) -> &quinn::Connection {
        &self.quic
    }

    /// Replaces the reason in a connection-lost error by QUIC's close reason, if the connection has
    /// one.
    fn with_quic_close_reason(&self, err: CallError) -> CallError {
        match (err, self.quic.close_reason()) {
            (CallError::ConnectionLost { .. }, Some(reason)) => CallError::ConnectionLost {
                reason: reason.to_string(),
            },
            (err, _) => err,
        }
    }
}

impl fmt::Debug for CallerConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerConnection")
            .field("quic", &self.quic)
            .finish_non_exhaustive()
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.driver.abort();
        self.quic.close(0x100_u32.into(), b"");
    }
}

fn client_config(certificates: &[CertificateDer<'static>]) -> io::Result<quinn::ClientConfig> {
    let mut roots = rustls::RootCertStore::empty();
    for certificate in certificates {
        roots.add(certificate.clone()).map_err(io::Error::other)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(io::Error::other)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(io::Error::other)?;
    let mut client = quinn::ClientConfig::new(Arc::new(quic));
    let mut transport = quinn::TransportConfig::default();
    let idle = IDLE_TIMEOUT.try_into().map_err(io::Error::other)?;
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    client.transport_config(Arc::new(transport));
    Ok(client)
}
