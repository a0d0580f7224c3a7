//! The signed envelope: the exact text of a document, the id of the signing key and the signature.

use serde::{Deserialize, Serialize, de::IgnoredAny};
use units::{BundleDigest, BundleVersion, ServiceId};

use crate::{
    Bundle, KEY_SET_SERVICE, KeyId, Refusal, SecretKey, VersionEntry,
    key::parse_hex,
    key_set::{KeySet, OperatorKey},
};

/// Largest accepted envelope; equals the largest value size of the platform.
pub const ENVELOPE_MAX_BYTES: usize = 1_000_000;

/// Domain separation prefix of signed bundles: a signature made for another purpose never verifies.
const BUNDLE_CONTEXT: &str = "lovagehall bundle v1\n";

/// Domain separation prefix of signed key sets.
const KEY_SET_CONTEXT: &str = "lovagehall key set v1\n";

/// The JSON object in which a signed document is published.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Envelope {
    /// The exact text of the document that was signed.
    pub(crate) document: String,
    /// Id of the key that signed the document.
    pub(crate) key: KeyId,
    /// The signature as 128 hexadecimal digits.
    pub(crate) signature: String,
}

/// The fields that identify a document as a bundle or key set, with its version.
#[derive(Debug, Deserialize)]
struct Head {
    service: Option<ServiceId>,
    version: BundleVersion,
    keys: Option<IgnoredAny>,
}

/// Signs the exact text of a bundle document and returns the envelope to publish.
#[must_use]
pub fn sign(document: &str, key: &SecretKey) -> Vec<u8> {
    sign_with_context(BUNDLE_CONTEXT, document, key)
}

/// Serializes a bundle to compact JSON, signs it and returns the envelope to publish.
///
/// # Panics
///
/// Never panics, as every bundle can be serialized to JSON.
#[must_use]
pub fn sign_bundle(bundle: &Bundle, key: &SecretKey) -> Vec<u8> {
    let document = serde_json::to_string(bundle).expect("a bundle can be serialized to JSON");
    sign(&document, key)
}

/// Returns the digest that identifies a document: BLAKE3 over the signed text.
///
/// The digest covers the document rather than the envelope. Whitespace in the envelope can be
/// changed without a key, which must not create a second document of the same version.
#[must_use]
pub fn digest(document: &str) -> BundleDigest {
    BundleDigest::new(*blake3::hash(document.as_bytes()).as_bytes())
}

/// Reads the service, version and digest from an envelope without verifying its signature; returns
/// `None` if the envelope doesn't parse.
///
/// Used in reports and to distinguish bundles from key sets.
#[must_use]
pub fn peek_version_entry(envelope: &[u8]) -> Option<VersionEntry> {
    let envelope = parse_envelope(envelope).ok()?;
    let head: Head = serde_json::from_str(&envelope.document).ok()?;
    let service = match (head.service, head.keys) {
        (Some(service), _) => service,
        (None, Some(_)) => KEY_SET_SERVICE,
        (None, None) => return None,
    };
    Some(VersionEntry {
        service,
        version: head.version,
        digest: digest(&envelope.document),
    })
}

/// Parses the envelope of a bundle, verifies its signature and validates the bundle by itself.
///
/// [`crate::accept()`] checks the rules that depend on the bundles in force (predecessor, version,
/// claims).
///
/// # Errors
///
/// Returns the first rule that the envelope breaks, in this order: size, schema, key, signature,
/// retirement of the key, document.
pub fn verify(keys: &KeySet, envelope: &[u8]) -> Result<(Bundle, BundleDigest), Refusal> {
    let envelope = parse_envelope(envelope)?;
    let key = keys
        .find(envelope.key)
        .ok_or(Refusal::UnknownKey { key: envelope.key })?;
    check_signature(BUNDLE_CONTEXT, &envelope, key)?;
    let bundle: Bundle = parse_json("document", envelope.document.as_bytes())?;
    key.check_retirement(bundle.service, bundle.version)?;
    crate::validate_bundle(&bundle)?;
    let digest = digest(&envelope.document);
    Ok((bundle, digest))
}

/// Signs the exact text of a key set document and returns the envelope to publish.
pub(crate) fn sign_key_set(document: &str, root: &SecretKey) -> Vec<u8> {
    sign_with_context(KEY_SET_CONTEXT, document, root)
}

/// Verifies the signature of a key set with the root keys and returns the signed text.
pub(crate) fn verify_key_set(roots: &[OperatorKey], envelope: &[u8]) -> Result<String, Refusal> {
    let envelope = parse_envelope(envelope)?;
    let root = roots
        .iter()
        .find(|it| it.public_key.id() == envelope.key)
        .ok_or(Refusal::UnknownKey { key: envelope.key })?;
    check_signature(KEY_SET_CONTEXT, &envelope, root)?;
    Ok(envelope.document)
}

/// Parses JSON; on failure, the refusal names `part` as the text that doesn't parse.
pub(crate) fn parse_json<T: serde::de::DeserializeOwned>(
    part: &'static str,
    bytes: &[u8],
) -> Result<T, Refusal> {
    serde_json::from_slice(bytes).map_err(|err| Refusal::Schema {
        part,
        detail: err.to_string(),
    })
}

/// Signs a document with a domain separation prefix and returns the envelope to publish.
fn sign_with_context(context: &str, document: &str, key: &SecretKey) -> Vec<u8> {
    let signature = key.sign(format!("{context}{document}").as_bytes());
    let envelope = Envelope {
        document: document.to_owned(),
        key: key.public().id(),
        signature: hex::encode(signature),
    };
    serde_json::to_vec(&envelope).expect("an envelope can be serialized to JSON")
}

/// Checks the size of an envelope and parses the envelope.
fn parse_envelope(envelope: &[u8]) -> Result<Envelope, Refusal> {
    if envelope.len() > ENVELOPE_MAX_BYTES {
        return Err(Refusal::TooLarge {
            size_bytes: envelope.len(),
        });
    }
    parse_json("envelope", envelope)
}

fn check_signature(context: &str, envelope: &Envelope, key: &OperatorKey) -> Result<(), Refusal> {
    let message = format!("{context}{}", envelope.document);
    let is_valid = parse_hex(&envelope.signature).is_some_and(|signature| {
        key.public_key
            .verifies_signature(message.as_bytes(), &signature)
    });
    if is_valid {
        return Ok(());
    }
    Err(Refusal::BadSignature { key: envelope.key })
}
