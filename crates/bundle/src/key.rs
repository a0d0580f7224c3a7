//! Operator keys: ed25519 key pairs and the short ids that identify them in envelopes.

use std::{fmt, str::FromStr};

use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use units::ParseUnitError;

/// Length of a key id, which is the start of the public key's digest.
const KEY_ID_BYTES: usize = 8;

/// The id of a public key: the first bytes of its BLAKE3 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId([u8; KEY_ID_BYTES]);

/// The public half of an operator's key.
#[derive(Clone, PartialEq, Eq)]
pub struct PublicKey(VerifyingKey);

/// The secret half of an operator's key; never leaves the operator's machine.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Creates a secret key from a seed of 32 random bytes.
    #[must_use]
    pub fn new(seed: [u8; 32]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Returns the public key that belongs to this secret key.
    #[must_use]
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key())
    }

    /// Returns the secret seed as hexadecimal digits, for the operator's key file.
    #[must_use]
    pub fn to_secret_text(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    pub(crate) fn sign(&self, message: &[u8]) -> [u8; 64] {
        self.0.sign(message).to_bytes()
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretKey(of {})", self.public().id())
    }
}

impl FromStr for SecretKey {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The error must not contain the parsed text, which is a secret.
        parse_hex(text.trim())
            .map(Self::new)
            .ok_or(ParseUnitError::Format {
                expected: "secret key",
                text: "(not shown)".to_owned(),
                allowed: "64 hexadecimal digits, as `lovagectl key new` writes them",
            })
    }
}

impl PublicKey {
    /// Returns the id of the public key, by which envelopes name it.
    #[must_use]
    pub fn id(&self) -> KeyId {
        let digest = blake3::hash(self.0.as_bytes());
        let mut raw = [0; KEY_ID_BYTES];
        raw.copy_from_slice(&digest.as_bytes()[..KEY_ID_BYTES]);
        KeyId(raw)
    }

    /// Returns whether `signature` is a valid signature of `message` by this key.
    ///
    /// Uses strict verification, so that only the owner of the key can create a second valid
    /// signature of the same message.
    pub(crate) fn verifies_signature(&self, message: &[u8], signature: &[u8; 64]) -> bool {
        let signature = Signature::from_bytes(signature);
        self.0.verify_strict(message, &signature).is_ok()
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0.as_bytes()))
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PublicKey({self})")
    }
}

impl FromStr for PublicKey {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_hex(text)
            .and_then(|raw| VerifyingKey::from_bytes(&raw).ok())
            .map(Self)
            .ok_or_else(|| ParseUnitError::Format {
                expected: "public key",
                text: text.to_owned(),
                allowed: "the 64 hexadecimal digits of an ed25519 public key",
            })
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyId({self})")
    }
}

impl FromStr for KeyId {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_hex(text)
            .map(Self)
            .ok_or_else(|| ParseUnitError::Format {
                expected: "key id",
                text: text.to_owned(),
                allowed: "16 hexadecimal digits",
            })
    }
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

serde_as_text!(KeyId);
serde_as_text!(PublicKey);

/// Parses the hexadecimal digits of exactly `N` bytes.
pub(crate) fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let mut raw = [0; N];
    hex::decode_to_slice(text, &mut raw).ok()?;
    Some(raw)
}
