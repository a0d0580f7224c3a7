//! Keys and certificates are made once, never overwritten, and fit the settings.

#[path = "support/program.rs"]
mod program;

use std::{fs, os::unix::fs::PermissionsExt as _};

use program::{Folder, run, run_well};
use settings::{ProcessTls, SharedKey};

#[test]
fn operator_key() {
    let folder = Folder::new("operator");
    let file = folder.path("operator.key");
    let out = run_well(&["key", "new", "operator", "--out", &file]);
    let secret = fs::read_to_string(&file).unwrap();
    assert!(!out.contains(secret.trim()));
    let mode = fs::metadata(&file).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);

    let again = run(&["key", "new", "operator", "--out", &file]);
    assert_eq!(again.status, 1);
    assert!(again.err.contains("exists"), "{}", again.err);
    assert_eq!(fs::read_to_string(&file).unwrap(), secret);
}

#[test]
fn service_key() {
    let folder = Folder::new("service");
    let fleet = run_well(&["key", "new", "fleet", "--index", "3"]);
    let file = folder.write("fleet.json", &fleet);
    let service = |id| run_well(&["key", "new", "service", id, "--fleet-key", &file]);
    let root: SharedKey = serde_json::from_str(&fleet).unwrap();
    let first: SharedKey = serde_json::from_str(&service("1")).unwrap();
    assert_eq!(first.index, root.index);
    assert_ne!(first.key, root.key);
    assert_eq!(service("1"), service("1"));
    assert_ne!(service("1"), service("2"));
}

#[test]
fn bad_values() {
    let folder = Folder::new("bad-values");
    let text = folder.write("text", "hello");
    let check = |args: &[&str], status, expect: &str| {
        let ended = run(args);
        assert_eq!(ended.status, status, "{args:?}");
        assert!(ended.err.contains(expect), "{}", ended.err);
    };
    check(&["key", "new", "fleet", "--index", "7"], 1, "use 0 to 6");
    check(
        &["key", "new", "service", "1", "--fleet-key", &text],
        1,
        "key new fleet",
    );
    check(
        &["key", "new", "service", "0", "--fleet-key", &text],
        1,
        "reserved",
    );
    check(
        &["key", "new", "service", "1", "--fleet-key", "missing"],
        1,
        "readable file",
    );
    check(
        &["key", "new", "process", "--authority", "missing"],
        1,
        "readable file",
    );
    check(&["key", "old"], 2, "unexpected argument");
}

#[test]
fn process_certificate() {
    let folder = Folder::new("process");
    let authority = folder.path("authority");
    run_well(&["key", "new", "authority", "--out", &authority]);
    let process = || run_well(&["key", "new", "process", "--authority", &authority]);
    let first: ProcessTls = serde_json::from_str(&process()).unwrap();
    let second: ProcessTls = serde_json::from_str(&process()).unwrap();
    assert_eq!(first.ca_pem, second.ca_pem);
    assert_ne!(first.key_pem, second.key_pem);
    let again = run(&["key", "new", "authority", "--out", &authority]);
    assert_eq!(again.status, 1);
}

#[test]
fn help_text() {
    let out = run_well(&["--help"]);
    for word in ["bundle", "status", "timeline", "key"] {
        assert!(out.contains(word), "{out}");
    }
}
