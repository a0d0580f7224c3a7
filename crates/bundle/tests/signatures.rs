//! Envelope verification: size, schema, signature and key.

#[path = "support/sample.rs"]
mod sample;

use bundle::{Bundle, ENVELOPE_MAX_BYTES, KeySet, digest, sign, sign_bundle, verify};
use sample::{first, key, next};

/// Asserts the kind of refusal on verifying an envelope, or "verified".
fn check(envelope: &[u8], expect: &str) {
    let keys = KeySet::new(vec![key(1).public(), key(2).public()]);
    let kind = verify(&keys, envelope).map_or_else(|it| it.kind(), |_| "verified");
    assert_eq!(kind, expect, "{}", String::from_utf8_lossy(envelope));
}

/// Returns a signed sample envelope in which `from` is replaced by `to` after signing.
fn replace_in_envelope(from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(sign_bundle(&first(1), &key(1))).unwrap();
    assert!(text.contains(from));
    text.replacen(from, to, 1).into_bytes()
}

#[test]
fn valid_envelope_verifies() {
    check(&sign_bundle(&first(1), &key(1)), "verified");
    check(&sign_bundle(&next(&first(1)), &key(2)), "verified");
    let reformatted = serde_json::to_string_pretty(&first(1)).unwrap();
    check(&sign(&reformatted, &key(1)), "verified");
}

#[test]
fn forged_envelope_is_refused() {
    check(&sign_bundle(&first(1), &key(3)), "unknown_key");
    let id = |seed| key(seed).public().id().to_string();
    check(&replace_in_envelope(&id(1), &id(2)), "bad_signature");
    check(
        &replace_in_envelope("service-1", "service-2"),
        "bad_signature",
    );
    check(
        &replace_in_envelope("\"signature\":\"", "\"signature\":\"00"),
        "bad_signature",
    );
}

#[test]
fn malformed_envelope_is_refused() {
    check(b"", "schema");
    check(b"{}", "schema");
    check(
        &replace_in_envelope("{\"document\"", "{\"extra\":1,\"document\""),
        "schema",
    );
    check(&vec![b' '; ENVELOPE_MAX_BYTES + 1], "too_large");
    let document = serde_json::to_string(&first(1)).unwrap();
    let unknown = document.replacen("{\"service\"", "{\"color\":1,\"service\"", 1);
    check(&sign(&unknown, &key(1)), "schema");
    check(&sign("{}", &key(1)), "schema");
}

#[test]
fn envelope_size_is_limited() {
    let with_name = |len: usize| {
        let bundle = Bundle {
            name: "x".repeat(len),
            ..first(1)
        };
        sign_bundle(&bundle, &key(1))
    };
    let rest = with_name(0).len();
    check(&with_name(ENVELOPE_MAX_BYTES - rest), "invalid");
    check(&with_name(ENVELOPE_MAX_BYTES - rest + 1), "too_large");
}

#[test]
fn reformatted_envelope_keeps_digest() {
    let compact = sign_bundle(&first(1), &key(1));
    let value: serde_json::Value = serde_json::from_slice(&compact).unwrap();
    let reformatted = serde_json::to_vec_pretty(&value).unwrap();
    let keys = KeySet::new(vec![key(1).public()]);
    let digest_of = |envelope: &[u8]| verify(&keys, envelope).unwrap().1;
    assert_ne!(compact, reformatted);
    assert_eq!(digest_of(&compact), digest_of(&reformatted));
    let document = serde_json::to_string(&first(1)).unwrap();
    assert_eq!(digest_of(&compact), digest(&document));
}

#[test]
fn keys_round_trip_as_text() {
    let text = key(1).public().to_string();
    assert_eq!(text.parse(), Ok(key(1).public()));
    assert_eq!(text[1..].parse::<bundle::PublicKey>().ok(), None);
    let secret: bundle::SecretKey = key(1).to_secret_text().parse().unwrap();
    assert_eq!(secret.public(), key(1).public());
    assert!(!format!("{secret:?}").contains(&key(1).to_secret_text()));
}

#[test]
fn arbitrary_bytes_are_refused() {
    bolero::check!()
        .with_iterations(2_000)
        .for_each(|bytes: &[u8]| {
            let keys = KeySet::new(vec![key(1).public()]);
            verify(&keys, bytes).unwrap_err();
        });
}

#[test]
fn damaged_envelope_is_refused() {
    let good = sign_bundle(&first(1), &key(1));
    let keys = KeySet::new(vec![key(1).public()]);
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(u16, u8)>()
        .for_each(|(at, mask)| {
            let mut bytes = good.clone();
            let idx = usize::from(*at) % bytes.len();
            bytes[idx] ^= mask;
            // Of all changes, only that of letter case in hexadecimal digits still verifies.
            let is_same = bytes.eq_ignore_ascii_case(&good);
            assert!(is_same || verify(&keys, &bytes).is_err());
        });
}
