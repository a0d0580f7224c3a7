//! The commands `key new authority` and `key new process`: certificates for gRPC calls.

use std::path::Path;

use control::PROCESS_DNS_NAME;
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use settings::ProcessTls;

use crate::{
    error::{CtlError, Result},
    files,
    flags::{Authority, Process},
};

/// Name of the file with the certificate authority's certificate.
const CA_FILE: &str = "ca.pem";

/// Name of the file with the certificate authority's private key.
const CA_KEY_FILE: &str = "ca-key.pem";

/// Generates a certificate authority and writes its certificate and private key.
pub(crate) fn new_authority(command: &Authority) -> Result<()> {
    let (pem, key_pem) = generate_authority().map_err(certificate_error)?;
    std::fs::create_dir_all(&command.out).map_err(|source| CtlError::Write {
        path: command.out.clone(),
        source,
    })?;
    files::write_new_secret(&command.out.join(CA_KEY_FILE), &key_pem)?;
    files::write_new_public(&command.out.join(CA_FILE), pem.as_bytes())
}

/// Issues a certificate for a process and prints it as the `tls` field of the process's settings.
pub(crate) fn new_process(command: &Process) -> Result<()> {
    let ca_pem = files::read_text(&command.authority.join(CA_FILE))?;
    let key_path = command.authority.join(CA_KEY_FILE);
    let ca_key_pem = files::read_text(&key_path)?;
    let tls = issue_certificate(&ca_pem, &ca_key_pem, &command.authority)?;
    let text = serde_json::to_string(&tls).expect("certificates have a JSON form");
    println!("{text}");
    Ok(())
}

/// Returns the PEM texts of a self-signed CA certificate and of its private key.
fn generate_authority() -> std::result::Result<(String, String), rcgen::Error> {
    let key = KeyPair::generate()?;
    let pem = authority_params()?.self_signed(&key)?.pem();
    Ok((pem, key.serialize_pem()))
}

fn authority_params() -> std::result::Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![
        KeyUsagePurpose::KeyCertSign,
        KeyUsagePurpose::DigitalSignature,
    ];
    Ok(params)
}

/// Generates a private key for a process and issues a certificate for the key.
fn issue_certificate(ca_pem: &str, ca_key_pem: &str, folder: &Path) -> Result<ProcessTls> {
    let ca_key = KeyPair::from_pem(ca_key_pem).map_err(|err| CtlError::Content {
        path: folder.join(CA_KEY_FILE),
        cause: err.to_string(),
        remedy: "give the folder that `lovagectl key new authority` wrote",
    })?;
    // Only the issuer's name and key go into the certificate, so its parameters can be rebuilt.
    let issuer = Issuer::new(authority_params().map_err(certificate_error)?, ca_key);
    let key = KeyPair::generate().map_err(certificate_error)?;
    let mut params =
        CertificateParams::new(vec![PROCESS_DNS_NAME.to_owned()]).map_err(certificate_error)?;
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params.signed_by(&key, &issuer).map_err(certificate_error)?;
    Ok(ProcessTls {
        ca_pem: ca_pem.to_owned(),
        certificate_pem: certificate.pem(),
        key_pem: key.serialize_pem(),
    })
}

#[expect(clippy::needless_pass_by_value, reason = "passed to `map_err`")]
fn certificate_error(err: rcgen::Error) -> CtlError {
    CtlError::Certificate(err.to_string())
}
