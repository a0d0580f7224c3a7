//! The signed envelope: the document's exact bytes, the signing key's id and the signature.

use serde::{Deserialize, Serialize, de::IgnoredAny};
use units::{BundleDigest, BundleVersion, ServiceId};

use crate::{
    Bundle, KEY_SET_SERVICE, KeyId, Refusal, SecretKey, VersionEntry,
    key::parse_hex,
    key_set::{KeySet, OperatorKey},
};

/// Largest envelope accepted: the largest value the platform holds.
pub const ENVELOPE_MAX_BYTES: usize = 1_000_000;

/// Prefix of every signed message, so that a signature made for another use never fits here.
const BUNDLE_CONTEXT: &str = "lovagehall bundle v1\n";

/// Prefix of a signed key set.
const KEY_SET_CONTEXT: &str = "lovagehall key set v1\n";

/// The published JSON object.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Envelope {
    /// The exact text that was signed.
    pub(crate) document: String,
    /// Id of the key that signed it.
    pub(crate) key: KeyId,
    /// 128 hexadecimal digits.
    pub(crate) signature: String,
}

/// The fields that tell what a document is.
#[derive(Debug, Deserialize)]
struct Head {
    service: Option<ServiceId>,
    version: BundleVersion,
    keys: Option<IgnoredAny>,
}

/// Signs a bundle document's exact text and returns the envelope to publish.
#[must_use]
pub fn sign(document: &str, key: &SecretKey) -> Vec<u8> {
    seal(BUNDLE_CONTEXT, document, key)
}

/// Signs a bundle in its plain JSON form and returns the envelope to publish.
///
/// # Panics
///
/// Never: every bundle has a JSON form.
#[must_use]
pub fn sign_bundle(bundle: &Bundle, key: &SecretKey) -> Vec<u8> {
    let document = serde_json::to_string(bundle).expect("a bundle has a JSON form");
    sign(&document, key)
}

/// Returns the digest that names a document: BLAKE3 over the signed text.
///
/// It covers the document rather than the envelope, so that re-spacing an envelope, which needs no
/// key, doesn't make a second document of the same version.
#[must_use]
pub fn digest(document: &str) -> BundleDigest {
    BundleDigest::new(*blake3::hash(document.as_bytes()).as_bytes())
}

/// Reads what an envelope says it holds, without any check; for reports and for telling bundles
/// from key sets.
#[must_use]
pub fn peek(envelope: &[u8]) -> Option<VersionEntry> {
    let envelope = open(envelope).ok()?;
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

/// Parses an envelope, checks its signature and the document's own rules.
///
/// What depends on what a process holds (chain, version, claims) is for [`crate::accept()`].
///
/// # Errors
///
/// The first rule broken: size, schema, key, signature, retirement, document.
pub fn verify(keys: &KeySet, envelope: &[u8]) -> Result<(Bundle, BundleDigest), Refusal> {
    let envelope = open(envelope)?;
    let key = keys
        .find(envelope.key)
        .ok_or(Refusal::UnknownKey { key: envelope.key })?;
    check_signature(BUNDLE_CONTEXT, &envelope, key)?;
    let bundle: Bundle = parse("document", envelope.document.as_bytes())?;
    key.check_retirement(bundle.service, bundle.version)?;
    crate::check(&bundle)?;
    let digest = digest(&envelope.document);
    Ok((bundle, digest))
}

/// Signs a key set document's exact text.
pub(crate) fn sign_key_set(document: &str, root: &SecretKey) -> Vec<u8> {
    seal(KEY_SET_CONTEXT, document, root)
}

/// Checks a key set's signature against the root keys and returns its text.
pub(crate) fn verify_key_set(roots: &[OperatorKey], envelope: &[u8]) -> Result<String, Refusal> {
    let envelope = open(envelope)?;
    let root = roots
        .iter()
        .find(|it| it.public_key.id() == envelope.key)
        .ok_or(Refusal::UnknownKey { key: envelope.key })?;
    check_signature(KEY_SET_CONTEXT, &envelope, root)?;
    Ok(envelope.document)
}

/// Parses JSON, naming the part in the refusal.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(
    part: &'static str,
    bytes: &[u8],
) -> Result<T, Refusal> {
    serde_json::from_slice(bytes).map_err(|err| Refusal::Schema {
        part,
        detail: err.to_string(),
    })
}

fn seal(context: &str, document: &str, key: &SecretKey) -> Vec<u8> {
    let signature = key.sign(format!("{context}{document}").as_bytes());
    let envelope = Envelope {
        document: document.to_owned(),
        key: key.public().id(),
        signature: hex::encode(signature),
    };
    serde_json::to_vec(&envelope).expect("an envelope has a JSON form")
}

fn open(envelope: &[u8]) -> Result<Envelope, Refusal> {
    if envelope.len() > ENVELOPE_MAX_BYTES {
        return Err(Refusal::TooLarge {
            size_bytes: envelope.len(),
        });
    }
    parse("envelope", envelope)
}

fn check_signature(context: &str, envelope: &Envelope, key: &OperatorKey) -> Result<(), Refusal> {
    let message = format!("{context}{}", envelope.document);
    let is_good = parse_hex(&envelope.signature)
        .is_some_and(|signature| key.public_key.has_signed(message.as_bytes(), &signature));
    if is_good {
        return Ok(());
    }
    Err(Refusal::BadSignature { key: envelope.key })
}
