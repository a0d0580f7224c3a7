//! Bundles are checked, signed, verified and compared; nothing bad is signed.

#[path = "support/program.rs"]
mod program;

use program::{Folder, run, run_well};
use serde_json::{Value, json};

fn document() -> Value {
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

/// Makes an operator's key; returns its file and its public key.
fn operator(folder: &Folder, name: &str) -> (String, String) {
    let file = folder.path(name);
    let out = run_well(&["key", "new", "operator", "--out", &file]);
    let public = out.split_whitespace().last().unwrap().to_owned();
    (file, public)
}

fn digest(out: &str) -> String {
    let line = out.lines().find(|it| it.starts_with("digest")).unwrap();
    line.split_whitespace().last().unwrap().to_owned()
}

#[test]
fn sign_and_verify() {
    let folder = Folder::new("sign");
    let (key, public) = operator(&folder, "a.key");
    let (_other, stranger) = operator(&folder, "b.key");
    let first = folder.write("v1.json", &document().to_string());
    let signed = folder.path("v1.signed");
    run_well(&["bundle", "check", &first]);
    let out = run_well(&["bundle", "sign", &first, "--key", &key, "--out", &signed]);
    let verified = run_well(&["bundle", "verify", &signed, "--public-key", &public]);
    assert_eq!(digest(&out), digest(&verified));
    let refused = run(&["bundle", "verify", &signed, "--public-key", &stranger]);
    assert_eq!(refused.status, 1);
    assert!(refused.err.contains("unknown_key"), "{}", refused.err);

    let text = std::fs::read_to_string(&signed).unwrap();
    let forged = folder.write("forged", &text.replace("ledger", "lodger"));
    let refused = run(&["bundle", "verify", &forged, "--public-key", &public]);
    assert!(refused.err.contains("bad_signature"), "{}", refused.err);
}

#[test]
fn chain_kept() {
    let folder = Folder::new("chain");
    let (key, _public) = operator(&folder, "a.key");
    let first = folder.write("v1.json", &document().to_string());
    let signed = folder.path("v1.signed");
    let out = run_well(&["bundle", "sign", &first, "--key", &key, "--out", &signed]);
    let target = folder.path("v2.signed");
    let sign = |version: u64, previous: &str, with_previous: bool| {
        let mut next = document();
        next["version"] = json!(version);
        next["previous"] = json!(previous);
        let file = folder.write("v2.json", &next.to_string());
        let mut args = vec!["bundle", "sign", &file, "--key", &key, "--out", &target];
        if with_previous {
            args.extend(["--previous", &signed]);
        }
        run(&args)
    };
    let digest = digest(&out);
    let other = "00".repeat(32);
    assert!(sign(2, &digest, false).err.contains("--previous"));
    assert!(sign(3, &digest, true).err.contains("must be 2"));
    assert!(sign(2, &other, true).err.contains(&digest));
    assert_eq!(sign(2, &digest, true).status, 0);
}

#[test]
fn bad_documents() {
    let folder = Folder::new("bad-documents");
    let check = |change: fn(&mut Value), expect: &str| {
        let mut bundle = document();
        change(&mut bundle);
        let file = folder.write("bad.json", &bundle.to_string());
        let ended = run(&["bundle", "check", &file]);
        assert_eq!(ended.status, 1, "{bundle}");
        assert!(ended.err.contains(expect), "{}", ended.err);
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
fn diff_lines() {
    let folder = Folder::new("diff");
    let mut next = document();
    next["version"] = json!(2);
    next["endpoints"] = json!([endpoint(2)]);
    next["endpoints"][0]["weight"] = json!(50);
    let before = folder.write("before.json", &document().to_string());
    let after = folder.write("after.json", &next.to_string());
    let out = run_well(&["bundle", "diff", &before, &after]);
    assert!(out.contains("~ version: 1 -> 2\n"), "{out}");
    assert!(
        out.contains("~ endpoints[id 2].weight: 100 -> 50\n"),
        "{out}"
    );
    assert!(out.contains("- endpoints[id 1].slots: 2\n"), "{out}");
    assert_eq!(run_well(&["bundle", "diff", &before, &before]), "");
}
