//! `key new` generates keys and certificates that the settings accept, and never overwrites a file.

#[path = "support/program.rs"]
mod program;

use std::{fs, os::unix::fs::PermissionsExt as _};

use program::{TempFolder, run_lovagectl, run_lovagectl_ok};
use settings::{ProcessTls, SharedKey};

#[test]
fn operator_key_is_secret_and_never_overwritten() {
    let folder = TempFolder::new("operator");
    let file = folder.path_of("operator.key");
    let out = run_lovagectl_ok(&["key", "new", "operator", "--out", &file]);
    let secret = fs::read_to_string(&file).unwrap();
    assert!(!out.contains(secret.trim()));
    let mode = fs::metadata(&file).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);

    let second_run = run_lovagectl(&["key", "new", "operator", "--out", &file]);
    assert_eq!(second_run.status, 1);
    assert!(
        second_run.stderr.contains("exists"),
        "{}",
        second_run.stderr
    );
    assert_eq!(fs::read_to_string(&file).unwrap(), secret);
}

#[test]
fn service_key_is_derived_from_the_fleet_key() {
    let folder = TempFolder::new("service");
    let fleet = run_lovagectl_ok(&["key", "new", "fleet", "--index", "3"]);
    let file = folder.write_file("fleet.json", &fleet);
    let derive = |id| run_lovagectl_ok(&["key", "new", "service", id, "--fleet-key", &file]);
    let fleet_key: SharedKey = serde_json::from_str(&fleet).unwrap();
    let first: SharedKey = serde_json::from_str(&derive("1")).unwrap();
    assert_eq!(first.index, fleet_key.index);
    assert_ne!(first.key, fleet_key.key);
    assert_eq!(derive("1"), derive("1"));
    assert_ne!(derive("1"), derive("2"));
}

#[test]
fn errors_name_the_remedy() {
    let folder = TempFolder::new("bad-values");
    let text = folder.write_file("text", "hello");
    let check = |args: &[&str], status, expect: &str| {
        let result = run_lovagectl(args);
        assert_eq!(result.status, status, "{args:?}");
        assert!(result.stderr.contains(expect), "{}", result.stderr);
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
fn processes_share_the_authority_but_no_key() {
    let folder = TempFolder::new("process");
    let authority = folder.path_of("authority");
    run_lovagectl_ok(&["key", "new", "authority", "--out", &authority]);
    let issue = || run_lovagectl_ok(&["key", "new", "process", "--authority", &authority]);
    let first: ProcessTls = serde_json::from_str(&issue()).unwrap();
    let second: ProcessTls = serde_json::from_str(&issue()).unwrap();
    assert_eq!(first.ca_pem, second.ca_pem);
    assert_ne!(first.key_pem, second.key_pem);
    let second_run = run_lovagectl(&["key", "new", "authority", "--out", &authority]);
    assert_eq!(second_run.status, 1);
}

#[test]
fn help_lists_the_commands() {
    let out = run_lovagectl_ok(&["--help"]);
    for word in ["bundle", "status", "timeline", "key"] {
        assert!(out.contains(word), "{out}");
    }
}
