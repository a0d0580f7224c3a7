//! Configuration of the QUIC endpoint: connection ids, stateless resets, limits and TLS.

use std::{fmt, io, sync::Arc, time::Duration};

use flow::{
    cid::{CID_BYTES, CidCodec},
    key::ServiceKeys,
    reset,
};
use quinn::{
    EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::QuicServerConfig,
};
use quinn_proto::{
    ConnectionId, ConnectionIdGenerator, InvalidCid,
    crypto::{CryptoError, HmacKey},
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use units::{EndpointId, Incarnation};

use crate::tunnel::{Identity, QUIC_DATAGRAM_MAX_BYTES, TunnelSocket};

/// Maximum number of concurrent requests of a connection.
const REQUEST_STREAMS_MAX: u32 = 64;

/// Maximum number of unidirectional streams of a caller; HTTP/3 needs three, extensions use the
/// rest.
const CONTROL_STREAMS_MAX: u32 = 8;

/// Receive window of a stream: request body bytes buffered in the agent.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Receive window of a connection: body bytes of all its requests buffered in the agent.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Send window of a connection: response bytes that are not acknowledged yet.
const SEND_WINDOW_BYTES: u64 = 1024 * 1024;

/// Time without a packet from the caller after which a connection counts as lost.
const IDLE_TIMEOUT_MS: u32 = 30_000;

/// Time without packets after which the agent sends a PING.
///
/// A caller that is gone is detected within the idle timeout, and a caller behind a NAT keeps its
/// binding.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Threshold of pending handshakes at which new ones are refused.
pub(crate) const HANDSHAKES_MAX: usize = 4096;

/// Maximum bytes of datagrams buffered for one handshake that is not accepted yet.
const HANDSHAKE_BUFFER_BYTES: u64 = 64 * 1024;

/// Maximum bytes of datagrams buffered for all handshakes that are not accepted yet.
const HANDSHAKE_BUFFER_TOTAL_BYTES: u64 = 16 * 1024 * 1024;

/// Certificate chain and private key that an agent presents to callers.
#[derive(Debug)]
pub struct TlsIdentity {
    /// Certificate chain, the service's certificate first.
    pub certificates: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate.
    pub private_key: PrivateKeyDer<'static>,
}

impl Clone for TlsIdentity {
    fn clone(&self) -> Self {
        Self {
            certificates: self.certificates.clone(),
            private_key: self.private_key.clone_key(),
        }
    }
}

/// Opens the QUIC endpoint on the tunnel socket.
pub(crate) fn open_quic_endpoint(
    socket: Arc<TunnelSocket>,
    identity: &Identity,
    tls: TlsIdentity,
) -> io::Result<quinn::Endpoint> {
    quinn::Endpoint::new_with_abstract_socket(
        endpoint_config(identity)?,
        Some(server_config(tls)?),
        socket,
        Arc::new(quinn::TokioRuntime),
    )
}

fn endpoint_config(identity: &Identity) -> io::Result<EndpointConfig> {
    let reset_key = ResetKey(Arc::clone(&identity.keys));
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    let generator = AgentCidGenerator {
        codec: CidCodec::new(Arc::clone(&identity.keys)),
        endpoint: identity.endpoint,
        incarnation: identity.incarnation,
    };
    config.cid_generator(move || Box::new(generator.clone()));
    config
        .max_udp_payload_size(QUIC_DATAGRAM_MAX_BYTES)
        .map_err(io::Error::other)?;
    Ok(config)
}

fn server_config(tls: TlsIdentity) -> io::Result<ServerConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut rustls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(io::Error::other)?
        .with_no_client_auth()
        .with_single_cert(tls.certificates, tls.private_key)
        .map_err(io::Error::other)?;
    rustls.alpn_protocols = vec![b"h3".to_vec()];
    // Disables 0-RTT, because early data can be replayed.
    rustls.max_early_data_size = 0;
    let quic = QuicServerConfig::try_from(rustls).map_err(io::Error::other)?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config
        .transport_config(Arc::new(transport_config()))
        .max_incoming(HANDSHAKES_MAX)
        .incoming_buffer_size(HANDSHAKE_BUFFER_BYTES)
        .incoming_buffer_size_total(HANDSHAKE_BUFFER_TOTAL_BYTES);
    Ok(config)
}

fn transport_config() -> TransportConfig {
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(QUIC_DATAGRAM_MAX_BYTES);
    let mut config = TransportConfig::default();
    config
        .max_concurrent_bidi_streams(VarInt::from_u32(REQUEST_STREAMS_MAX))
        .max_concurrent_uni_streams(VarInt::from_u32(CONTROL_STREAMS_MAX))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(SEND_WINDOW_BYTES)
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .datagram_receive_buffer_size(None)
        .mtu_discovery_config(Some(mtu));
    config
}

/// Generates connection ids from which every balancer can derive this incarnation of the agent.
#[derive(Debug, Clone)]
struct AgentCidGenerator {
    codec: CidCodec,
    endpoint: EndpointId,
    incarnation: Incarnation,
}

impl ConnectionIdGenerator for AgentCidGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let cid = self
            .codec
            .encode(self.endpoint, self.incarnation, rand::random());
        ConnectionId::new(&cid)
    }

    fn validate(&self, cid: &ConnectionId) -> Result<(), InvalidCid> {
        let owner = self.codec.decode(cid).ok_or(InvalidCid)?;
        let is_own = owner.endpoint == self.endpoint && owner.incarnation == self.incarnation;
        if is_own { Ok(()) } else { Err(InvalidCid) }
    }

    fn cid_len(&self) -> usize {
        CID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Derives stateless reset tokens from the service's keys, so that a later incarnation can reset
/// the flows of an earlier one.
struct ResetKey(Arc<ServiceKeys>);

impl fmt::Debug for ResetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ResetKey(..)")
    }
}

/// Length of a stateless reset token.
const RESET_TOKEN_BYTES: usize = 16;

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        // A reset token is derived only from a connection id that `AgentCidGenerator` made. For any
        // other id the token is random, so that it can't be guessed.
        let token = data
            .try_into()
            .ok()
            .and_then(|cid| reset::reset_token(&self.0, cid));
        signature_out
            .copy_from_slice(&token.unwrap_or_else(rand::random::<[u8; RESET_TOKEN_BYTES]>));
    }

    fn signature_len(&self) -> usize {
        RESET_TOKEN_BYTES
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let mut expected = [0; RESET_TOKEN_BYTES];
        self.sign(data, &mut expected);
        if expected == signature {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}
