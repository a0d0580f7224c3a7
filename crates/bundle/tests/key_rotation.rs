//! Rotation of key sets, and validity of bundles that retired keys signed.

#[path = "support/sample.rs"]
mod sample;

use bundle::{
    Bundle, Change, KeySet, KeySetDocument, LastVersion, OperatorKey, Source, Store, sign_bundle,
};
use sample::{first, key, next};
use units::{BundleVersion, ServiceId};

const ROOT: u8 = 9;

/// Returns the key set from settings, with operator key 1 and one root key.
fn settings_key_set() -> KeySet {
    KeySet::new(vec![key(1).public()]).with_roots(vec![key(ROOT).public()])
}

fn last_version(service: u32, version: u64) -> LastVersion {
    LastVersion {
        service: ServiceId::new(service),
        version: BundleVersion::new(version),
    }
}

/// Returns a key set in which key 1 is retired after `retired_after` and key 2 may sign.
fn rotated_key_set(version: u64, retired_after: Vec<LastVersion>) -> KeySetDocument {
    KeySetDocument {
        version: BundleVersion::new(version),
        keys: vec![
            OperatorKey::new(key(1).public()).with_retired_after(retired_after),
            OperatorKey::new(key(2).public()),
        ],
    }
}

#[test]
fn retired_key_limits_versions() {
    let mut store = Store::new(settings_key_set());
    let set = rotated_key_set(1, vec![last_version(1, 1)]).sign(&key(ROOT));
    store.offer_key_set(&set).unwrap();
    let mut offer = |bundle: &Bundle, seed| {
        let res = store.offer_bundle(Source::Platform, &sign_bundle(bundle, &key(seed)));
        res.map_or_else(|it| it.kind(), |_| "accepted")
    };
    assert_eq!(
        offer(&first(1), 1),
        "accepted",
        "a version before the retirement stays valid"
    );
    let second = next(&first(1));
    assert_eq!(offer(&second, 1), "retired_key");
    assert_eq!(
        offer(&second, 2),
        "accepted",
        "the new key signs the next version"
    );
    assert_eq!(
        offer(&first(2), 1),
        "retired_key",
        "a retired key is valid for no version of an unlisted service"
    );
    assert_eq!(offer(&first(2), 2), "accepted");
}

#[test]
fn bundle_above_retirement_stays_in_force() {
    let mut store = Store::new(settings_key_set());
    let second = next(&first(1));
    store
        .offer_bundle(Source::Platform, &sign_bundle(&second, &key(1)))
        .unwrap();
    let set = rotated_key_set(1, vec![last_version(1, 1)]).sign(&key(ROOT));
    let change = store.offer_key_set(&set).unwrap();
    let expect = Change::KeySet {
        version: BundleVersion::new(1),
        retired_key_services: vec![ServiceId::new(1)],
    };
    assert_eq!(change, expect);
    assert_eq!(
        store.in_force()[0].current.bundle,
        second,
        "the bundle in force stays"
    );
}

#[test]
fn key_set_versions_only_increase() {
    let mut store = Store::new(settings_key_set());
    let mut offer = |document: &KeySetDocument, seed| {
        let res = store.offer_key_set(&document.sign(&key(seed)));
        res.map_or_else(|it| it.kind(), |_| "accepted")
    };
    assert_eq!(
        offer(&rotated_key_set(2, vec![]), 1),
        "unknown_key",
        "key 1 isn't a root key"
    );
    assert_eq!(
        offer(&rotated_key_set(2, vec![]), ROOT),
        "accepted",
        "versions may be skipped"
    );
    assert_eq!(offer(&rotated_key_set(2, vec![]), ROOT), "already_held");
    assert_eq!(offer(&rotated_key_set(1, vec![]), ROOT), "lower_version");
    let fork = offer(&rotated_key_set(2, vec![last_version(1, 1)]), ROOT);
    assert!(["accepted", "forked"].contains(&fork));
    assert_eq!(
        offer(&rotated_key_set(2, vec![]), ROOT) == "forked",
        fork == "accepted"
    );
}

#[test]
fn unusable_key_set_is_refused() {
    let mut no_active_key = rotated_key_set(1, vec![]);
    no_active_key.keys.truncate(1);
    let mut duplicate_key = rotated_key_set(1, vec![]);
    duplicate_key.keys.push(OperatorKey::new(key(2).public()));
    let mut unsorted = rotated_key_set(1, vec![]);
    unsorted.keys[0].retired_after = Some(vec![last_version(2, 1), last_version(1, 1)]);
    for document in [
        no_active_key,
        duplicate_key,
        unsorted,
        rotated_key_set(0, vec![]),
    ] {
        let res = settings_key_set().accept(&document.sign(&key(ROOT)));
        assert_eq!(res.unwrap_err().kind(), "invalid", "{document:?}");
    }
}

#[test]
fn fresh_store_accepts_bundle_of_retired_key() {
    let envelope = sign_bundle(&first(1), &key(1));
    let set = rotated_key_set(7, vec![last_version(1, 1)]).sign(&key(ROOT));
    let mut fresh = Store::new(settings_key_set());
    fresh.offer_key_set(&set).unwrap();
    fresh.offer_bundle(Source::Platform, &envelope).unwrap();
    assert_eq!(&*fresh.in_force()[0].current.envelope, envelope.as_slice());
    let rolled = sign_bundle(&next(&first(1)), &key(2));
    fresh.offer_bundle(Source::Platform, &rolled).unwrap();
}

#[test]
fn bundle_signature_doesnt_verify_as_key_set() {
    let document = rotated_key_set(1, vec![]);
    let as_bundle = bundle::sign(&serde_json::to_string(&document).unwrap(), &key(ROOT));
    assert_eq!(
        settings_key_set().accept(&as_bundle).unwrap_err().kind(),
        "bad_signature"
    );
}
