//! Keys and certificates in settings files.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use units::KeyIndex;

use crate::SettingsError;

/// Size of a shared secret in bytes.
const SECRET_BYTES: usize = 32;

/// A shared secret of 32 bytes, written as 64 hexadecimal digits.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretKey([u8; SECRET_BYTES]);

impl SecretKey {
    /// Creates a shared secret from its raw bytes.
    #[must_use]
    pub const fn new(raw: [u8; SECRET_BYTES]) -> Self {
        Self(raw)
    }

    /// Returns the raw bytes of the shared secret, which must not be logged.
    #[must_use]
    pub const fn secret_bytes(&self) -> &[u8; SECRET_BYTES] {
        &self.0
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey(..)")
    }
}

impl FromStr for SecretKey {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut raw = [0; SECRET_BYTES];
        hex::decode_to_slice(text, &mut raw).map_err(|err| SettingsError::Field {
            field: "key",
            cause: err.to_string(),
            remedy: "give 64 hexadecimal digits, as `lovagectl key new` prints them",
        })?;
        Ok(Self(raw))
    }
}

impl Serialize for SecretKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&hex::encode(self.0))
    }
}

impl<'de> Deserialize<'de> for SecretKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(de::Error::custom)
    }
}

/// A shared secret and its index in the key rotation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedKey {
    /// Index of the key in the rotation, from 0 to 7.
    pub index: KeyIndex,
    /// The shared secret of the key.
    pub key: SecretKey,
}

/// Certificates and private key for calls between processes, in PEM.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessTls {
    /// Certificate of the authority that signs the certificates of all processes.
    pub ca_pem: String,
    /// Certificate of this process.
    pub certificate_pem: String,
    /// Private key of this process.
    pub key_pem: String,
}

/// Certificate and private key that a service presents to its callers, in PEM.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTls {
    /// Certificate chain, which starts with the service's own certificate.
    pub certificate_pem: String,
    /// Private key of the service's certificate.
    pub key_pem: String,
}

impl fmt::Debug for ProcessTls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProcessTls").finish_non_exhaustive()
    }
}

impl fmt::Debug for CallerTls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerTls").finish_non_exhaustive()
    }
}
