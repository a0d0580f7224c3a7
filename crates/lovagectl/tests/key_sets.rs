//! Key sets are checked and signed; nothing unusable is.

#[path = "support/program.rs"]
mod program;

use bundle::{KeySet, PublicKey};
use program::{Folder, run, run_well};
use serde_json::{Value, json};

fn key(folder: &Folder, name: &str) -> (String, String) {
    let file = folder.path(name);
    let out = run_well(&["key", "new", "operator", "--out", &file]);
    let public = out.split_whitespace().last().unwrap().to_owned();
    (file, public)
}

fn rotated(old: &str, new: &str) -> Value {
    json!({
        "version": 1,
        "keys": [
            { "public_key": old, "retired_after": [{ "service": 1, "version": 7 }] },
            { "public_key": new },
        ],
    })
}

#[test]
fn rotated_set() {
    let folder = Folder::new("rotated-set");
    let (root_file, root) = key(&folder, "root");
    let (_, old) = key(&folder, "old");
    let (_, new) = key(&folder, "new");
    let document = folder.write("set.json", &rotated(&old, &new).to_string());
    let out = folder.path("set.signed");
    run_well(&[
        "key", "sign-set", &document, "--root", &root_file, "--out", &out,
    ]);
    let root: PublicKey = root.parse().unwrap();
    let trusting = KeySet::new(Vec::new()).with_roots(vec![root]);
    let accepted = trusting.accept(&std::fs::read(out).unwrap()).unwrap();
    assert_eq!(accepted.keys().len(), 2);
}

#[test]
fn unusable_set() {
    let folder = Folder::new("unusable-set");
    let (root_file, _) = key(&folder, "root");
    let (_, old) = key(&folder, "old");
    let twice = rotated(&old, &old);
    let mut none_left = rotated(&old, &old);
    none_left["keys"].as_array_mut().unwrap().truncate(1);
    let mut unknown_field = rotated(&old, &old);
    unknown_field["colour"] = json!(1);
    for (name, set) in [
        ("twice", twice),
        ("none", none_left),
        ("field", unknown_field),
    ] {
        let document = folder.write(name, &set.to_string());
        let out = folder.path("set.signed");
        let ended = run(&[
            "key", "sign-set", &document, "--root", &root_file, "--out", &out,
        ]);
        assert_ne!(ended.status, 0, "{name}");
        assert!(!std::path::Path::new(&out).exists(), "{name}");
    }
}
