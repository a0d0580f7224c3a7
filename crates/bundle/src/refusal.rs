//! Reasons to refuse an envelope, with the remedy for the operator.

use std::fmt;

use units::{BundleDigest, BundleVersion, ServiceId};

use crate::{Claim, KeyId};

/// Why an envelope was refused.
///
/// A refusal changes nothing: the bundles and the key set in force stay in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The envelope exceeds the largest value size of the platform.
    TooLarge {
        /// Size of the envelope in bytes.
        size_bytes: usize,
    },
    /// The envelope or a document doesn't match its schema or has an unknown field.
    Schema {
        /// Name of the text that doesn't parse, such as the envelope.
        part: &'static str,
        /// Position and description of the parse error.
        detail: String,
    },
    /// The key set in force doesn't contain the signing key.
    UnknownKey {
        /// Id of the signing key.
        key: KeyId,
    },
    /// The signature isn't a valid signature of this document by the named key.
    BadSignature {
        /// Id of the key that the envelope names.
        key: KeyId,
    },
    /// The signing key was retired before the offered version of the service.
    RetiredKey {
        /// Id of the retired key.
        key: KeyId,
        /// Last version of the service for which the key is valid; 0 for none.
        last: BundleVersion,
        /// Version of the refused document.
        offered: BundleVersion,
    },
    /// The value of a field of the document is invalid.
    Invalid {
        /// Name of the invalid field.
        field: &'static str,
        /// What is wrong with the value and what to write instead.
        detail: String,
    },
    /// The bundle has no endpoint that accepts new work.
    NoUpstreams,
    /// The bundle and its predecessor have no endpoint in common.
    AllReplaced,
    /// The same document is already in force.
    AlreadyHeld,
    /// A higher version of the bundle or key set is in force.
    LowerVersion {
        /// Version of the bundle or key set in force.
        held: BundleVersion,
        /// Version of the refused document.
        offered: BundleVersion,
    },
    /// Another document of the same version is in force and takes precedence.
    Forked {
        /// The version that both documents have.
        version: BundleVersion,
        /// Digest of the document in force.
        held: BundleDigest,
        /// Digest of the refused document.
        offered: BundleDigest,
    },
    /// The document doesn't name the document in force as its predecessor.
    BrokenChain {
        /// Digest of the document in force.
        held: BundleDigest,
        /// Digest that the refused document names as its predecessor.
        named: Option<BundleDigest>,
    },
    /// The bundle in force of another service owns the same endpoint or address.
    Claimed {
        /// The resource that both services claim.
        claim: Claim,
        /// The service that owns the resource.
        owner: ServiceId,
    },
}

/// What could make a refused document acceptable later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remedy {
    /// Nothing: the document itself must change.
    None,
    /// A change of the bundles in force at this process.
    OtherBundles,
    /// A new envelope in which the document is signed again, or a new key set.
    OtherEnvelope,
}

impl Refusal {
    /// Returns the kind of the refusal, as used in the names of counters.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too_large",
            Self::Schema { .. } => "schema",
            Self::UnknownKey { .. } => "unknown_key",
            Self::BadSignature { .. } => "bad_signature",
            Self::RetiredKey { .. } => "retired_key",
            Self::Invalid { .. } => "invalid",
            Self::NoUpstreams => "no_upstreams",
            Self::AllReplaced => "all_replaced",
            Self::AlreadyHeld => "already_held",
            Self::LowerVersion { .. } => "lower_version",
            Self::Forked { .. } => "forked",
            Self::BrokenChain { .. } => "broken_chain",
            Self::Claimed { .. } => "claimed",
        }
    }

    /// Returns whether the document was refused because it was read repeatedly or late, rather than
    /// because of an operator's error.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        matches!(self, Self::AlreadyHeld | Self::LowerVersion { .. })
    }

    /// Returns what could make the same document acceptable later.
    #[must_use]
    pub const fn remedy(&self) -> Remedy {
        match self {
            Self::BrokenChain { .. } | Self::Claimed { .. } | Self::AllReplaced => {
                Remedy::OtherBundles
            }
            Self::TooLarge { .. }
            | Self::Schema { .. }
            | Self::UnknownKey { .. }
            | Self::BadSignature { .. }
            | Self::RetiredKey { .. } => Remedy::OtherEnvelope,
            Self::Invalid { .. }
            | Self::NoUpstreams
            | Self::AlreadyHeld
            | Self::LowerVersion { .. }
            | Self::Forked { .. } => Remedy::None,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size_bytes } => write!(
                f,
                "the envelope is {size_bytes} B; reduce it to at most {} B",
                crate::ENVELOPE_MAX_BYTES
            ),
            Self::Schema { part, detail } => {
                write!(
                    f,
                    "the {part} doesn't parse: {detail}; correct it and sign it again"
                )
            }
            Self::UnknownKey { key } => write!(
                f,
                "key {key} isn't in the key set; sign with a listed key or publish a key set with it"
            ),
            Self::BadSignature { key } => write!(
                f,
                "the signature isn't a valid signature of this document by key {key}; sign it again"
            ),
            Self::RetiredKey { key, last, offered } => write!(
                f,
                "key {key} is retired after version {last} but signed version {offered}; \
                 sign it with a key that isn't retired"
            ),
            Self::Invalid { field, detail } => write!(f, "`{field}` {detail}"),
            Self::NoUpstreams => f.write_str(
                "no endpoint accepts new work; keep one that isn't leaving and has a weight above 0",
            ),
            Self::AllReplaced => f.write_str(
                "no endpoint of the version in force is kept; add the new endpoints in one version \
                 and remove the old ones in the next",
            ),
            Self::AlreadyHeld => f.write_str("the document is already in force; nothing to do"),
            Self::LowerVersion { held, offered } => write!(
                f,
                "version {offered} is lower than version {held} in force; to roll back, sign the old \
                 content as version {}",
                held.get() + 1
            ),
            Self::Forked {
                version,
                held,
                offered,
            } => write!(
                f,
                "two documents were signed as version {version}: {held} is in force and {offered} is \
                 refused; sign version {} with {held} as its predecessor",
                version.get() + 1
            ),
            Self::BrokenChain { held, named } => {
                f.write_str("the document names ")?;
                match named {
                    Some(named) => write!(f, "{named}")?,
                    None => f.write_str("nothing")?,
                }
                write!(
                    f,
                    " as its predecessor, but {held} is in force; set `previous` to {held} and sign \
                     again"
                )
            }
            Self::Claimed { claim, owner } => write!(
                f,
                "{claim} belongs to service {owner}; remove it from one of the two bundles"
            ),
        }
    }
}

impl std::error::Error for Refusal {}
