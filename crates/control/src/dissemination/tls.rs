//! Mutual TLS between processes.

use std::fmt;

use tonic::transport::{Certificate, ClientTlsConfig, Endpoint, Identity, Server, ServerTlsConfig};

use crate::PeerTls;

/// Error that the certificates for calls between processes are invalid.
#[derive(Debug)]
pub struct TlsError(tonic::transport::Error);

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the certificates for calls between processes are invalid ({:?}); check the PEM texts \
             in the setting `tls`",
            self.0
        )
    }
}

impl std::error::Error for TlsError {}

/// Returns the TLS configuration for calling other processes, with mutual authentication.
///
/// # Errors
///
/// Returns an error if the PEM texts are invalid.
pub fn client_tls(tls: &PeerTls) -> Result<ClientTlsConfig, TlsError> {
    let config = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(&tls.ca_pem))
        .identity(process_identity(tls))
        .domain_name(&tls.server_name);
    Endpoint::from_static("https://127.0.0.1:1")
        .tls_config(config.clone())
        .map_err(TlsError)?;
    Ok(config)
}

/// Returns the TLS configuration for serving other processes, with mutual authentication.
///
/// Clients without a certificate from the authority are rejected.
///
/// # Errors
///
/// Returns an error if the PEM texts are invalid.
pub fn server_tls(tls: &PeerTls) -> Result<ServerTlsConfig, TlsError> {
    let config = ServerTlsConfig::new()
        .identity(process_identity(tls))
        .client_ca_root(Certificate::from_pem(&tls.ca_pem));
    Server::builder()
        .tls_config(config.clone())
        .map_err(TlsError)?;
    Ok(config)
}

fn process_identity(tls: &PeerTls) -> Identity {
    Identity::from_pem(&tls.certificate_pem, &tls.key_pem)
}
