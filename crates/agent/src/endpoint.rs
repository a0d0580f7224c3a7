//! The QUIC endpoint: connection ids, resets, limits and TLS.

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

/// Requests that one connection may have open at once.
const STREAMS_MAX: u32 = 64;

/// Control streams that a caller may open: HTTP/3 needs three, the rest is for extensions.
const CONTROL_STREAMS_MAX: u32 = 8;

/// Bytes of one request's body that may wait in the agent.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes of all bodies of one connection that may wait in the agent.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Bytes of answers that may wait for a connection's acknowledgements.
const SEND_WINDOW_BYTES: u64 = 1024 * 1024;

/// Longest silence before a connection counts as lost.
const IDLE_TIMEOUT_MS: u32 = 30_000;

/// Time without packets after which the caller is probed.
///
/// A caller that went away is found within the idle timeout; one behind an address translator
/// keeps its binding.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// Handshakes under way from which on new ones are refused.
pub(crate) const HANDSHAKES_MAX: usize = 4096;

/// Bytes of early datagrams that may wait for one handshake.
const HANDSHAKE_BUFFER_BYTES: u64 = 64 * 1024;

/// Bytes of early datagrams that may wait for all handshakes.
const HANDSHAKE_BUFFERS_BYTES: u64 = 16 * 1024 * 1024;

/// The certificate chain and key that an agent presents.
#[derive(Debug)]
pub struct TlsIdentity {
    /// The service's certificate first.
    pub certificates: Vec<CertificateDer<'static>>,
    /// The key of the first certificate.
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

/// Opens the endpoint over the tunnel.
pub(crate) fn open(
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
    let minter = Minter {
        codec: CidCodec::new(Arc::clone(&identity.keys)),
        endpoint: identity.endpoint,
        incarnation: identity.incarnation,
    };
    config.cid_generator(move || Box::new(minter.clone()));
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
    // Early data can be replayed.
    rustls.max_early_data_size = 0;
    let quic = QuicServerConfig::try_from(rustls).map_err(io::Error::other)?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config
        .transport_config(Arc::new(transport_config()))
        .max_incoming(HANDSHAKES_MAX)
        .incoming_buffer_size(HANDSHAKE_BUFFER_BYTES)
        .incoming_buffer_size_total(HANDSHAKE_BUFFERS_BYTES);
    Ok(config)
}

fn transport_config() -> TransportConfig {
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(QUIC_DATAGRAM_MAX_BYTES);
    let mut config = TransportConfig::default();
    config
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX))
        .max_concurrent_uni_streams(VarInt::from_u32(CONTROL_STREAMS_MAX))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(SEND_WINDOW_BYTES)
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .datagram_receive_buffer_size(None)
        .mtu_discovery_config(Some(mtu));
    config
}

/// Mints connection ids that lead every balancer to this run of the agent.
#[derive(Debug, Clone)]
struct Minter {
    codec: CidCodec,
    endpoint: EndpointId,
    incarnation: Incarnation,
}

impl ConnectionIdGenerator for Minter {
    fn generate_cid(&mut self) -> ConnectionId {
        let cid = self
            .codec
            .encode(self.endpoint, self.incarnation, rand::random());
        ConnectionId::new(&cid)
    }

    fn validate(&self, cid: &ConnectionId) -> Result<(), InvalidCid> {
        let owner = self.codec.decode(cid).ok_or(InvalidCid)?;
        let is_mine = owner.endpoint == self.endpoint && owner.incarnation == self.incarnation;
        if is_mine { Ok(()) } else { Err(InvalidCid) }
    }

    fn cid_len(&self) -> usize {
        CID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Derives reset tokens from the service's keys, so that a later run can reset an earlier one's
/// flows.
struct ResetKey(Arc<ServiceKeys>);

impl fmt::Debug for ResetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ResetKey(..)")
    }
}

/// Length of a stateless reset token.
const TOKEN_BYTES: usize = 16;

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        // Only connection ids of the minter are signed; another's token must not be guessable.
        let token = data
            .try_into()
            .ok()
            .and_then(|cid| reset::reset_token(&self.0, cid));
        signature_out.copy_from_slice(&token.unwrap_or_else(rand::random::<[u8; TOKEN_BYTES]>));
    }

    fn signature_len(&self) -> usize {
        TOKEN_BYTES
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let mut expected = [0; TOKEN_BYTES];
        self.sign(data, &mut expected);
        if expected == signature {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}
