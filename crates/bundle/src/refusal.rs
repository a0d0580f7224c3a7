//! Why an envelope was not put in force, and what the operator does about it.

use std::fmt;

use units::{BundleDigest, BundleVersion, ServiceId};

use crate::{Claim, KeyId};

/// Why an envelope was not put in force.
///
/// What was in force stays in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The envelope is larger than the platform's largest value.
    TooLarge {
        /// Size of the envelope.
        size_bytes: usize,
    },
    /// The envelope or a document isn't of the expected form, or has an unknown field.
    Schema {
        /// What was being parsed.
        part: &'static str,
        /// Where and how it differs.
        detail: String,
    },
    /// The signing key is in no key set held here.
    UnknownKey {
        /// Id of the key.
        key: KeyId,
    },
    /// The signature isn't the named key's over this document.
    BadSignature {
        /// Id of the key.
        key: KeyId,
    },
    /// The key was retired before this version.
    RetiredKey {
        /// Id of the key.
        key: KeyId,
        /// Last version of the service the key is good for, 0 for none.
        last: BundleVersion,
        /// Version offered.
        offered: BundleVersion,
    },
    /// A field's value is out of its limits.
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// What is wrong and what to write.
        detail: String,
    },
    /// The bundle has no endpoint that takes new work.
    NoUpstreams,
    /// No endpoint is in both this version and the one before.
    AllReplaced,
    /// The very document is in force already.
    AlreadyHeld,
    /// A higher version is in force.
    LowerVersion {
        /// Version in force.
        held: BundleVersion,
        /// Version offered.
        offered: BundleVersion,
    },
    /// Another document of the same version is in force and takes precedence.
    Forked {
        /// The version signed twice.
        version: BundleVersion,
        /// The document in force.
        held: BundleDigest,
        /// The document offered.
        offered: BundleDigest,
    },
    /// The document doesn't follow the one in force.
    BrokenChain {
        /// Digest of the version in force.
        held: BundleDigest,
        /// What the document names as its predecessor.
        named: Option<BundleDigest>,
    },
    /// Another service's bundle in force owns the same endpoint or address.
    Claimed {
        /// What is claimed twice.
        claim: Claim,
        /// Who owns it.
        owner: ServiceId,
    },
}

/// What may make a refused document acceptable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remedy {
    /// Nothing: only another document.
    None,
    /// Other bundles in force here.
    OtherBundles,
    /// The document in another envelope, signed again, or another key set.
    OtherEnvelope,
}

impl Refusal {
    /// Returns the refusal's kind as used in counters.
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

    /// Returns whether this is an ordinary repeat or stale read, not an operator's mistake.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        matches!(self, Self::AlreadyHeld | Self::LowerVersion { .. })
    }

    /// Returns what may make the same document acceptable.
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
                "the envelope is {size_bytes} B; keep it at or under {} B",
                crate::ENVELOPE_MAX_BYTES
            ),
            Self::Schema { part, detail } => {
                write!(
                    f,
                    "the {part} doesn't parse: {detail}; correct it and sign again"
                )
            }
            Self::UnknownKey { key } => write!(
                f,
                "key {key} isn't in the key set; sign with a listed key or publish a key set with it"
            ),
            Self::BadSignature { key } => write!(
                f,
                "the signature isn't key {key}'s over this document; sign the document again"
            ),
            Self::RetiredKey { key, last, offered } => write!(
                f,
                "key {key} is retired after version {last} and signed version {offered}; \
                 sign with a key in use"
            ),
            Self::Invalid { field, detail } => write!(f, "`{field}` {detail}"),
            Self::NoUpstreams => f.write_str(
                "no endpoint takes new work; keep one that isn't leaving and has a weight above 0",
            ),
            Self::AllReplaced => f.write_str(
                "no endpoint of the version in force is kept; add the new endpoints in one version \
                 and take the old ones out in the next",
            ),
            Self::AlreadyHeld => f.write_str("the document is in force already; nothing to do"),
            Self::LowerVersion { held, offered } => write!(
                f,
                "version {offered} is lower than version {held} in force; sign the old content as \
                 version {} to return to it",
                held.get() + 1
            ),
            Self::Forked {
                version,
                held,
                offered,
            } => write!(
                f,
                "version {version} was signed as two documents; {held} is in force and {offered} \
                 isn't; sign version {} on top of {held}",
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
                "{claim} belongs to service {owner}; take it out of one of the two bundles"
            ),
        }
    }
}

impl std::error::Error for Refusal {}
