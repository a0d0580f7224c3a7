//! Bundles are checked, signed, verified and compared; an invalid document isn't signed.

#[path = "support/program.rs"]
mod program;

use program::{TempFolder, run_lovagectl, run_lovagectl_ok};
use serde_json::{Value, json};

fn bundle_document() -> Value {
    json!({
        "service": 1,
        "name": "ledger",
        "version": 1,
        "previous": null,
        "addresses": ["127.0.0.1:4430"],
        "endpoints": [endpoint(1), endpoint(2)],
        "routes": [{
            "method": null,
            "path_prefix": "/",
            "class": "short",
            "retry": "idempotent",
            "timeout_ms": 1_000,
        }],
        "sharing": {
            "short_reserve_percent": 50,
            "retry_budget_percent": 10,
            "cold_start_ramp_ms": 1_000,
            "body_max_bytes": 1_000_000,
        },
        "leaving": { "drain_timeout_ms": 10_000 },
    })
}

fn endpoint(id: u32) -> Value {
    json!({
        "id": id,
        "zone": "z1",
        "tunnel_address": format!("127.0.0.{id}:7000"),
        "control_address": format!("127.0.0.{id}:7001"),
        "upstream_address": format!("127.0.0.{id}:8080"),
        "slots": 2,
        "weight": 100,
    })
}

/// Generates an operator's key pair; returns the path of the secret key, and the public key.
fn new_operator_key(folder: &TempFolder, name: &str) -> (String, String) {
    let file = folder.path_of(name);
    let out = run_lovagectl_ok(&["key", "new", "operator", "--out", &file]);
    let public = out.split_whitespace().last().unwrap().to_owned();
    (file, public)
}

/// Returns the bundle digest in a command's output.
fn printed_digest(out: &str) -> String {
    let line = out.lines().find(|it| it.starts_with("digest")).unwrap();
    line.split_whitespace().last().unwrap().to_owned()
}

#[test]
fn verify_accepts_only_the_signer_and_the_signed_text() {
    let folder = TempFolder::new("sign");
    let (key, public) = new_operator_key(&folder, "a.key");
    let (_other_key, other_public) = new_operator_key(&folder, "b.key");
    let first = folder.write_file("v1.json", &bundle_document().to_string());
    let signed = folder.path_of("v1.signed");
    run_lovagectl_ok(&["bundle", "check", &first]);
    let out = run_lovagectl_ok(&["bundle", "sign", &first, "--key", &key, "--out", &signed]);
    let verified = run_lovagectl_ok(&["bundle", "verify", &signed, "--public-key", &public]);
    assert_eq!(printed_digest(&out), printed_digest(&verified));
    let result = run_lovagectl(&["bundle", "verify", &signed, "--public-key", &other_public]);
    assert_eq!(result.status, 1);
    assert!(result.stderr.contains("unknown_key"), "{}", result.stderr);

    let text = std::fs::read_to_string(&signed).unwrap();
    let forged = folder.write_file("forged", &text.replace("ledger", "lodger"));
    let result = run_lovagectl(&["bundle", "verify", &forged, "--public-key", &public]);
    assert!(result.stderr.contains("bad_signature"), "{}", result.stderr);
}

#[test]
fn sign_requires_the_next_version_and_the_previous_digest() {
    let folder = TempFolder::new("chain");
    let (key, _public) = new_operator_key(&folder, "a.key");
    let first = folder.write_file("v1.json", &bundle_document().to_string());
    let signed = folder.path_of("v1.signed");
    let out = run_lovagectl_ok(&["bundle", "sign", &first, "--key", &key, "--out", &signed]);
    let target = folder.path_of("v2.signed");
    let sign = |version: u64, previous: &str, with_previous: bool| {
        let mut next = bundle_document();
        next["version"] = json!(version);
        next["previous"] = json!(previous);
        let file = folder.write_file("v2.json", &next.to_string());
        let mut args = vec!["bundle", "sign", &file, "--key", &key, "--out", &target];
        if with_previous {
            args.extend(["--previous", &signed]);
        }
        run_lovagectl(&args)
    };
    let digest = printed_digest(&out);
    let wrong_digest = "00".repeat(32);
    assert!(sign(2, &digest, false).stderr.contains("--previous"));
    assert!(sign(3, &digest, true).stderr.contains("must be 2"));
    assert!(sign(2, &wrong_digest, true).stderr.contains(&digest));
    assert_eq!(sign(2, &digest, true).status, 0);
}

#[test]
fn check_refuses_invalid_documents() {
    let folder = TempFolder::new("bad-documents");
    let check = |change: fn(&mut Value), expect: &str| {
        let mut bundle = bundle_document();
        change(&mut bundle);
        let file = folder.write_file("bad.json", &bundle.to_string());
        let result = run_lovagectl(&["bundle", "check", &file]);
        assert_eq!(result.status, 1, "{bundle}");
        assert!(result.stderr.contains(expect), "{}", result.stderr);
    };
    check(|it| it["extra"] = json!(1), "schema");
    check(|it| it["endpoints"] = json!([]), "no_upstreams");
    check(|it| it["service"] = json!("x"), "schema");
    check(
        |it| {
            it["endpoints"][0]["is_leaving"] = json!(true);
            it["endpoints"][1]["is_leaving"] = json!(true);
        },
        "no_upstreams",
    );
}

#[test]
fn diff_names_endpoints_by_id() {
    let folder = TempFolder::new("diff");
    let mut next = bundle_document();
    next["version"] = json!(2);
    next["endpoints"] = json!([endpoint(2)]);
    next["endpoints"][0]["weight"] = json!(50);
    let before = folder.write_file("before.json", &bundle_document().to_string());
    let after = folder.write_file("after.json", &next.to_string());
    let out = run_lovagectl_ok(&["bundle", "diff", &before, &after]);
    assert!(out.contains("~ version: 1 -> 2\n"), "{out}");
    assert!(
        out.contains("~ endpoints[id 2].weight: 100 -> 50\n"),
        "{out}"
    );
    assert!(out.contains("- endpoints[id 1].slots: 2\n"), "{out}");
    assert_eq!(run_lovagectl_ok(&["bundle", "diff", &before, &before]), "");
}
