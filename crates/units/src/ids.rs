//! Identifiers of services, endpoints, instances and bundles.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{ParseUnitError, number::number_newtype};

/// Maximum length of the name of an instance or availability zone.
const NAME_MAX_BYTES: usize = 64;

/// The allowed format of instance and zone names, for error messages.
const NAME_ALLOWED: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

number_newtype! {
    /// The id of a service, unique in the fleet and never reused.
    ServiceId(u32), "service id", ""
}

number_newtype! {
    /// The id of an upstream endpoint, unique in the fleet while any bundle lists it.
    EndpointId(u32), "endpoint id", ""
}

number_newtype! {
    /// The incarnation number of a process: the start time of its current run in seconds since the
    /// Unix epoch, so that later runs have higher numbers.
    Incarnation(u32), "incarnation", ""
}

number_newtype! {
    /// The version of a service's bundle, which starts at 1 and increases by 1.
    BundleVersion(u64), "bundle version", ""
}

number_newtype! {
    /// The era of the platform's data, which rises when the data come back from an older copy.
    StoreEra(u16), "store era", ""
}

number_newtype! {
    /// A revision of the platform's data, as a position in its change history; higher revisions are
    /// newer.
    ///
    /// The upper 16 bits are the era and the lower 48 bits the number within it, so that each
    /// revision of a later era is newer than all revisions of earlier ones.
    Revision(u64), "revision", ""
}

impl Revision {
    /// Highest number of a revision within its era.
    pub const NUMBER_MAX: u64 = (1 << 48) - 1;

    /// Creates the revision with a number within an era, or returns `None` if the number exceeds
    /// [`Self::NUMBER_MAX`].
    #[must_use]
    pub fn in_era(era: StoreEra, number: u64) -> Option<Self> {
        (number <= Self::NUMBER_MAX).then_some(Self((u64::from(era.get()) << 48) | number))
    }

    /// Returns the era that the revision belongs to.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        StoreEra::new((self.0 >> 48) as u16)
    }

    /// Returns the revision's number within its era.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & Self::NUMBER_MAX
    }
}

number_newtype! {
    /// The version of the operator's settings for passthrough flows; higher versions are newer.
    SettingsVersion(u64), "settings version", ""
}

number_newtype! {
    /// The index of a key in the rotation, which connection ids and tunnel headers carry.
    KeyIndex(u8), "key index", ""
}

/// Defines an identifier type that wraps a name, from the type's docs and its label in errors.
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $label:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier's name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                validate_name(text, $label)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
            }
        }
    };
}

name_id! {
    /// The name of a balancer or agent process, unique among the running processes of the fleet.
    InstanceId, "instance id"
}

name_id! {
    /// The name of an availability zone.
    Zone, "zone"
}

/// The BLAKE3 digest of a signed bundle's exact bytes.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleDigest([u8; 32]);

impl BundleDigest {
    /// Creates a bundle digest from its raw bytes.
    #[must_use]
    pub const fn new(raw: [u8; 32]) -> Self {
        Self(raw)
    }

    /// Returns the raw bytes of the bundle digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for BundleDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for BundleDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BundleDigest({self})")
    }
}

impl FromStr for BundleDigest {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseUnitError::Format {
            expected: "bundle digest",
            text: text.to_owned(),
            allowed: "64 hexadecimal digits",
        };
        if text.len() != 64 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut raw = [0; 32];
        for (idx, byte) in raw.iter_mut().enumerate() {
            let digits = &text[idx * 2..idx * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_malformed| invalid())?;
        }
        Ok(Self(raw))
    }
}

impl Serialize for BundleDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for BundleDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(de::Error::custom)
    }
}

fn validate_name(text: &str, expected: &'static str) -> Result<(), ParseUnitError> {
    if text.is_empty() {
        return Err(ParseUnitError::Empty { expected });
    }
    let allowed = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
    if text.len() <= NAME_MAX_BYTES && text.chars().all(allowed) {
        return Ok(());
    }
    Err(ParseUnitError::Format {
        expected,
        text: text.to_owned(),
        allowed: NAME_ALLOWED,
    })
}
