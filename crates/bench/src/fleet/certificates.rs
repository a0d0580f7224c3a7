//! Certificates of one fleet: an authority, one for all processes and one for the services.

use control::PROCESS_DNS_NAME;
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls_pki_types::{CertificateDer, pem::PemObject as _};
use settings::{CallerTls, ProcessTls};

use crate::error::{BenchError, Result};

/// Name in every service's certificate.
pub(crate) const SERVICE_NAME: &str = "service.example";

/// Certificates of one fleet.
#[derive(Debug, Clone)]
pub(crate) struct Certificates {
    /// For calls between processes.
    pub(crate) process: ProcessTls,
    /// For callers.
    pub(crate) caller: CallerTls,
    /// What callers trust.
    pub(crate) caller_root_pem: String,
}

impl Certificates {
    /// Makes fresh certificates.
    pub(crate) fn new() -> Result<Self> {
        make().map_err(|err| BenchError::setup("making certificates", &err))
    }

    /// The certificates that callers trust.
    pub(crate) fn caller_roots(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.caller_root_pem.as_bytes())
            .collect::<std::result::Result<_, _>>()
            .map_err(|err| BenchError::setup("reading the callers' root", &err))
    }
}

fn make() -> std::result::Result<Certificates, rcgen::Error> {
    let ca_key = KeyPair::generate()?;
    let mut ca_params = CertificateParams::new(Vec::new())?;
    ca_params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    ca_params.key_usages = vec![
        KeyUsagePurpose::KeyCertSign,
        KeyUsagePurpose::DigitalSignature,
    ];
    let ca_pem = ca_params.self_signed(&ca_key)?.pem();
    let issuer = Issuer::new(ca_params, ca_key);
    let (process_pem, process_key_pem) = leaf(PROCESS_DNS_NAME, &issuer)?;
    let (service_pem, service_key_pem) = leaf(SERVICE_NAME, &issuer)?;
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

fn leaf(
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
