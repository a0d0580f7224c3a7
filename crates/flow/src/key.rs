//! Fleet and service keys, with rotation.

use std::{fmt, str::FromStr};

use aes::{
    Aes128,
    cipher::{Array, KeyInit},
};
use siphasher::sip128::SipHasher24;
use units::{KeyIndex, ServiceId};

/// Size of a secret in bytes.
pub const SECRET_BYTES: usize = 32;

/// Highest key index that fits the three index bits of a connection id.
pub const KEY_INDEX_MAX: u8 = 7;

/// The reserved service id from which balancers derive the key for datagrams between balancers.
///
/// No bundle may use this service id.
pub const FLEET_SCOPE: ServiceId = ServiceId::new(0);

const SERVICE_CONTEXT: &str = "lovagehall 2026-12 service key";
const CID_CONTEXT: &str = "lovagehall 2026-12 connection id";
const TUNNEL_CONTEXT: &str = "lovagehall 2026-12 tunnel mac";
const PEER_CONTEXT: &str = "lovagehall 2026-12 peer mac";
const RESET_CONTEXT: &str = "lovagehall 2026-12 stateless reset";

/// Secret key bytes from a settings file; the `Debug` output never contains them.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Creates a secret from its raw bytes.
    #[must_use]
    pub const fn new(raw: [u8; SECRET_BYTES]) -> Self {
        Self(raw)
    }

    /// Returns the secret as hexadecimal digits, to be written to a settings file.
    #[must_use]
    pub fn expose_hex(&self) -> String {
        hex::encode(self.0)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl FromStr for Secret {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut raw = [0; SECRET_BYTES];
        hex::decode_to_slice(text, &mut raw).map_err(|_malformed| KeyError::MalformedSecret)?;
        Ok(Self(raw))
    }
}

/// The fleet's root key, which only balancers hold.
#[derive(Debug, Clone)]
pub struct FleetKey {
    /// Key index, at most `KEY_INDEX_MAX`.
    index: KeyIndex,
    root: Secret,
}

impl FleetKey {
    /// Creates a fleet key from a root secret.
    ///
    /// # Errors
    ///
    /// Returns an error if the key index doesn't fit a connection id.
    pub fn new(index: KeyIndex, root: Secret) -> Result<Self, KeyError> {
        check_index_range(index)?;
        Ok(Self { index, root })
    }

    /// Returns the index that selects this key during key rotation.
    #[must_use]
    pub const fn index(&self) -> KeyIndex {
        self.index
    }

    /// Derives the secret that the agents of `service` receive.
    #[must_use]
    pub fn service_secret(&self, service: ServiceId) -> Secret {
        let mut hasher = blake3::Hasher::new_derive_key(SERVICE_CONTEXT);
        hasher.update(&self.root.0);
        hasher.update(&service.get().to_be_bytes());
        Secret(*hasher.finalize().as_bytes())
    }
}

/// One service's key, expanded into ciphers and MACs once instead of for every datagram.
#[derive(Clone)]
pub struct ServiceKey {
    /// Key index, at most `KEY_INDEX_MAX`.
    index: KeyIndex,
    pub(crate) cid: Aes128,
    pub(crate) tunnel: SipHasher24,
    pub(crate) peer: SipHasher24,
    reset: [u8; SECRET_BYTES],
}

impl ServiceKey {
    /// Expands a service's secret into its cipher, MAC and reset keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the key index doesn't fit a connection id.
    pub fn new(index: KeyIndex, secret: &Secret) -> Result<Self, KeyError> {
        check_index_range(index)?;
        Ok(Self::from_secret(index, secret))
    }

    /// Derives a service's key from the fleet key.
    #[must_use]
    pub fn derive(fleet: &FleetKey, service: ServiceId) -> Self {
        Self::from_secret(fleet.index, &fleet.service_secret(service))
    }

    /// Returns the index that selects this key during key rotation.
    #[must_use]
    pub const fn index(&self) -> KeyIndex {
        self.index
    }

    /// Returns the stateless reset token of a connection id.
    #[must_use]
    pub fn reset_token(&self, cid: &[u8]) -> [u8; 16] {
        let digest = blake3::keyed_hash(&self.reset, cid);
        let mut token = [0; 16];
        token.copy_from_slice(&digest.as_bytes()[..16]);
        token
    }

    fn from_secret(index: KeyIndex, secret: &Secret) -> Self {
        Self {
            index,
            cid: Aes128::new(&Array::from(derive_128_bit_key(CID_CONTEXT, secret))),
            tunnel: SipHasher24::new_with_key(&derive_128_bit_key(TUNNEL_CONTEXT, secret)),
            peer: SipHasher24::new_with_key(&derive_128_bit_key(PEER_CONTEXT, secret)),
            reset: blake3::derive_key(RESET_CONTEXT, &secret.0),
        }
    }
}

impl fmt::Debug for ServiceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServiceKey")
            .field("index", &self.index)
            .finish_non_exhaustive()
    }
}

/// A service's keys during rotation: the current key signs new packets, and every key is accepted.
#[derive(Debug, Clone)]
pub struct ServiceKeys {
    /// Current and accepted keys; sorted by key index, without duplicates, never empty.
    keys: Vec<ServiceKey>,
    /// Position of the current key in `keys`.
    current: usize,
}

impl ServiceKeys {
    /// Creates the key set of a service from its current key and the other accepted keys.
    ///
    /// The other keys are the previous or the next ones of a key rotation.
    ///
    /// # Errors
    ///
    /// Returns an error if two keys have the same key index.
    pub fn new(current: ServiceKey, accepted: Vec<ServiceKey>) -> Result<Self, KeyError> {
        let index = current.index;
        let mut keys = accepted;
        keys.push(current);
        keys.sort_by_key(|it| it.index);
        if let Some(pair) = keys.windows(2).find(|it| it[0].index == it[1].index) {
            return Err(KeyError::DuplicateIndex(pair[0].index));
        }
        let current = keys.partition_point(|it| it.index < index);
        Ok(Self { keys, current })
    }

    /// Derives a service's keys from the fleet keys.
    ///
    /// # Errors
    ///
    /// Returns an error if two keys have the same key index.
    pub fn derive(
        current: &FleetKey,
        accepted: &[FleetKey],
        service: ServiceId,
    ) -> Result<Self, KeyError> {
        let accepted = accepted.iter().map(|it| ServiceKey::derive(it, service));
        Self::new(ServiceKey::derive(current, service), accepted.collect())
    }

    /// Returns the key that signs new packets and encrypts new connection ids.
    #[must_use]
    pub fn current(&self) -> &ServiceKey {
        &self.keys[self.current]
    }

    /// Finds the key with the given key index.
    #[must_use]
    pub fn find(&self, index: KeyIndex) -> Option<&ServiceKey> {
        let idx = self.keys.binary_search_by_key(&index, |it| it.index).ok()?;
        Some(&self.keys[idx])
    }
}

/// The reason why a key is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The text of a secret is not 64 hexadecimal digits.
    MalformedSecret,
    /// The key index doesn't fit the three index bits of a connection id.
    IndexTooLarge(KeyIndex),
    /// Two keys of one service have this key index.
    DuplicateIndex(KeyIndex),
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MalformedSecret => {
                f.write_str("the secret is malformed; give 64 hexadecimal digits")
            }
            Self::IndexTooLarge(index) => {
                write!(
                    f,
                    "key index {index} is too large; use 0 to {KEY_INDEX_MAX}"
                )
            }
            Self::DuplicateIndex(index) => {
                write!(
                    f,
                    "two keys have index {index}; give each key its own index"
                )
            }
        }
    }
}

impl std::error::Error for KeyError {}

fn check_index_range(index: KeyIndex) -> Result<(), KeyError> {
    if index.get() > KEY_INDEX_MAX {
        return Err(KeyError::IndexTooLarge(index));
    }
    Ok(())
}

fn derive_128_bit_key(context: &str, secret: &Secret) -> [u8; 16] {
    let long = blake3::derive_key(context, &secret.0);
    let mut short = [0; 16];
    short.copy_from_slice(&long[..16]);
    short
}
