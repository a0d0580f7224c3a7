//! Certificates of a fleet: an authority, a certificate for all processes and one for all services.

use control::PROCESS_DNS_NAME;
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls_pki_types::{CertificateDer, pem::PemObject as _};
use settings::{CallerTls, ProcessTls};

use crate::error::{BenchError, Result};

/// DNS name in the services' certificate.
pub(crate) const SERVICE_NAME: &str = "service.example";

/// Certificates of a fleet's processes and services.
#[derive(Debug, Clone)]
pub(crate) struct Certificates {
    /// Certificate and key for calls between processes.
    pub(crate) process: ProcessTls,
    /// Certificate and key that agents present to callers.
    pub(crate) caller: CallerTls,
    /// Root certificate that callers trust.
    pub(crate) caller_root_pem: String,
}

impl Certificates {
    /// Generates new certificates for a fleet.
    pub(crate) fn new() -> Result<Self> {
        generate_certificates().map_err(|err| BenchError::setup("generating certificates", &err))
    }

    /// Returns the root certificates that callers trust.
    pub(crate) fn caller_roots(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.caller_root_pem.as_bytes())
            .collect::<std::result::Result<_, _>>()
            .map_err(|err| BenchError::setup("reading the callers' root certificate", &err))
    }
}

fn generate_certificates() -> std::result::Result<Certificates, rcgen::Error> {
    let ca_key = KeyPair::generate()?;
    let mut ca_params = CertificateParams::new(Vec::new())?;
    ca_params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    ca_params.key_usages = vec![
        KeyUsagePurpose::KeyCertSign,
        KeyUsagePurpose::DigitalSignature,
    ];
    let ca_pem = ca_params.self_signed(&ca_key)?.pem();
    let issuer = Issuer::new(ca_params, ca_key);
    let (process_pem, process_key_pem) = generate_leaf(PROCESS_DNS_NAME, &issuer)?;
    let (service_pem, service_key_pem) = generate_leaf(SERVICE_NAME, &issuer)?;
    Ok(Certificates {
        process: ProcessTls {
            ca_pem: ca_pem.clone(),
            certificate_pem: process_pem,
            key_pem: process_key_pem,
        },
        caller: CallerTls {
            certificate_pem: service_pem,
            key_pem: service_key_pem,
        },
        caller_root_pem: ca_pem,
    })
}

fn generate_leaf(
    name: &str,
    issuer: &Issuer<'_, KeyPair>,
) -> std::result::Result<(String, String), rcgen::Error> {
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![name.to_owned()])?;
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params.signed_by(&key, issuer)?;
    Ok((certificate.pem(), key.serialize_pem()))
}
