//! `key sign-set` signs valid key sets and refuses invalid ones.

#[path = "support/program.rs"]
mod program;

use bundle::{KeySet, PublicKey};
use program::{TempFolder, run_lovagectl, run_lovagectl_ok};
use serde_json::{Value, json};

/// Generates a key pair; returns the path of the secret key, and the public key.
fn new_key_pair(folder: &TempFolder, name: &str) -> (String, String) {
    let file = folder.path_of(name);
    let out = run_lovagectl_ok(&["key", "new", "operator", "--out", &file]);
    let public = out.split_whitespace().last().unwrap().to_owned();
    (file, public)
}

/// Returns a key set document in which the public key `new` replaces `old`.
fn rotated_key_set(old: &str, new: &str) -> Value {
    json!({
        "version": 1,
        "keys": [
            { "public_key": old, "retired_after": [{ "service": 1, "version": 7 }] },
            { "public_key": new },
        ],
    })
}

#[test]
fn signed_set_is_accepted_with_the_root_key() {
    let folder = TempFolder::new("rotated-set");
    let (root_file, root) = new_key_pair(&folder, "root");
    let (_, old) = new_key_pair(&folder, "old");
    let (_, new) = new_key_pair(&folder, "new");
    let document = folder.write_file("set.json", &rotated_key_set(&old, &new).to_string());
    let out = folder.path_of("set.signed");
    run_lovagectl_ok(&[
        "key", "sign-set", &document, "--root", &root_file, "--out", &out,
    ]);
    let root: PublicKey = root.parse().unwrap();
    let trusted = KeySet::new(Vec::new()).with_roots(vec![root]);
    let accepted = trusted.accept(&std::fs::read(out).unwrap()).unwrap();
    assert_eq!(accepted.keys().len(), 2);
}

#[test]
fn invalid_set_is_not_signed() {
    let folder = TempFolder::new("unusable-set");
    let (root_file, _) = new_key_pair(&folder, "root");
    let (_, old) = new_key_pair(&folder, "old");
    let duplicate_key = rotated_key_set(&old, &old);
    let mut none_in_use = rotated_key_set(&old, &old);
    none_in_use["keys"].as_array_mut().unwrap().truncate(1);
    let mut unknown_field = rotated_key_set(&old, &old);
    unknown_field["colour"] = json!(1);
    for (name, set) in [
        ("twice", duplicate_key),
        ("none", none_in_use),
        ("field", unknown_field),
    ] {
        let document = folder.write_file(name, &set.to_string());
        let out = folder.path_of("set.signed");
        let result = run_lovagectl(&[
            "key", "sign-set", &document, "--root", &root_file, "--out", &out,
        ]);
        assert_ne!(result.status, 0, "{name}");
        assert!(!std::path::Path::new(&out).exists(), "{name}");
    }
}
