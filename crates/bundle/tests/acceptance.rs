//! Acceptance rules: which offered bundles a process puts in force, given the bundles in force.

#[path = "support/sample.rs"]
mod sample;

use bundle::{Bundle, Change, KeySet, Source, Store, sign_bundle};
use sample::{endpoint, first, key, next};
use units::{BundleVersion, Weight};

/// Returns a store in which version 1 of services 1 and 2 is in force.
fn store() -> Store {
    let mut store = Store::new(KeySet::new(vec![key(1).public()]));
    for service in [1, 2] {
        let envelope = sign_bundle(&first(service), &key(1));
        store.offer_bundle(Source::Platform, &envelope).unwrap();
    }
    store
}

/// Offers a signed bundle to the store; returns "accepted" or the kind of the refusal.
fn offer(store: &mut Store, source: Source, bundle: &Bundle) -> String {
    let before = store.in_force().to_vec();
    let res = store.offer_bundle(source, &sign_bundle(bundle, &key(1)));
    match res {
        Ok(_) => "accepted".to_owned(),
        Err(refusal) => {
            assert_eq!(store.in_force(), before, "a refusal changes nothing");
            assert!(
                refusal.to_string().len() > 20,
                "a refusal message includes the remedy"
            );
            refusal.kind().to_owned()
        }
    }
}

/// Asserts the results of offering a changed version 2 of service 1 from the platform and a peer.
fn check(change: impl Fn(&mut Bundle), from_platform: &str, from_peer: &str) {
    let mut bundle = next(&first(1));
    change(&mut bundle);
    let sources = [(Source::Platform, from_platform), (Source::Peer, from_peer)];
    for (source, expect) in sources {
        assert_eq!(offer(&mut store(), source, &bundle), expect, "{source:?}");
    }
}

#[test]
fn next_version_is_accepted() {
    check(|_| {}, "accepted", "accepted");
    check(
        |it| it.endpoints[0].is_leaving = true,
        "accepted",
        "accepted",
    );
    check(|it| it.endpoints.truncate(1), "accepted", "accepted");
}

#[test]
fn document_rules_apply_to_all_sources() {
    let both = |change: fn(&mut Bundle), expect| check(change, expect, expect);
    both(|it| it.endpoints.clear(), "no_upstreams");
    both(
        |it| {
            it.endpoints.iter_mut().for_each(|it| it.is_leaving = true);
        },
        "no_upstreams",
    );
    both(
        |it| {
            it.endpoints
                .iter_mut()
                .for_each(|it| it.weight = Weight::new(0));
        },
        "no_upstreams",
    );
    both(|it| it.endpoints.reverse(), "invalid");
    both(|it| it.endpoints[1].id = it.endpoints[0].id, "invalid");
    both(
        |it| it.endpoints[1].tunnel_address = it.endpoints[0].tunnel_address,
        "invalid",
    );
    both(|it| it.endpoints[0].upstream_address.set_port(0), "invalid");
    both(|it| it.endpoints[0].slots = units::Slots::new(0), "invalid");
    both(|it| it.addresses.clear(), "invalid");
    both(|it| it.previous = None, "invalid");
    both(|it| it.version = BundleVersion::new(0), "invalid");
    both(|it| it.name.clear(), "invalid");
    both(|it| it.routes[0].path_prefix.clear(), "invalid");
    both(|it| it.routes[0].method = Some("get".to_owned()), "invalid");
    both(
        |it| it.routes[0].timeout_ms = units::Millis::new(0),
        "invalid",
    );
    both(|it| it.sharing.short_reserve_percent = 101, "invalid");
    both(
        |it| it.leaving.drain_timeout_ms = units::Millis::new(0),
        "invalid",
    );
}

#[test]
fn publication_rules_apply_to_platform_only() {
    check(
        |it| it.previous = Some(bundle::digest("x")),
        "broken_chain",
        "accepted",
    );
    check(
        |it| it.endpoints = vec![endpoint(91), endpoint(92)],
        "all_replaced",
        "accepted",
    );
    check(|it| it.endpoints.push(endpoint(21)), "claimed", "accepted");
    check(
        |it| it.addresses = first(2).addresses,
        "claimed",
        "accepted",
    );
}

#[test]
fn missed_versions_are_skipped() {
    let later = next(&next(&next(&first(1))));
    let mut store = store();
    assert_eq!(offer(&mut store, Source::Platform, &later), "accepted");
    assert_eq!(offer(&mut store, Source::Platform, &later), "already_held");
    assert_eq!(offer(&mut store, Source::Peer, &first(1)), "lower_version");
    assert_eq!(
        offer(&mut store, Source::Platform, &next(&first(1))),
        "lower_version"
    );
}

#[test]
fn forked_version_converges() {
    let mut forks: Vec<Bundle> = ["left", "right", "third"]
        .into_iter()
        .map(|name| Bundle {
            name: name.to_owned(),
            ..next(&first(1))
        })
        .collect();
    forks.sort_by_key(|it| bundle::digest(&serde_json::to_string(it).unwrap()));
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2], [1, 2, 0]] {
        let mut store = store();
        for idx in order {
            let change = store.offer_bundle(Source::Peer, &sign_bundle(&forks[idx], &key(1)));
            if let Ok(Change::Bundle { is_fork, .. }) = change {
                assert_eq!(
                    is_fork,
                    idx != order[0],
                    "a second document of the same version is reported as a fork"
                );
            }
        }
        let held = &store.find(forks[0].service).unwrap().current.bundle;
        assert_eq!(held, &forks[0], "the lower digest wins in any order");
    }
}

#[test]
fn lower_service_keeps_disputed_claims() {
    let mut conflicting = next(&first(2));
    conflicting.endpoints.insert(0, endpoint(11));
    conflicting.addresses.insert(0, first(1).addresses[0]);
    let mut store = store();
    assert_eq!(offer(&mut store, Source::Peer, &conflicting), "accepted");
    let (view, disputes) = store.resolve_disputes();
    assert_eq!(
        disputes.len(),
        5,
        "one address and the four claims of one endpoint"
    );
    assert_eq!(
        view[0].current.bundle,
        first(1),
        "the service with the lower id keeps its claims"
    );
    assert_eq!(view[1].current.bundle.endpoints, first(2).endpoints);
    assert_eq!(view[1].current.bundle.addresses, first(2).addresses);
    assert_eq!(view[1].current.digest, store.in_force()[1].current.digest);
}

#[test]
fn version_vectors_select_newer_bundles() {
    let mut ahead = store();
    let behind = store();
    assert!(
        ahead
            .entries_newer_than(&behind.version_vector())
            .is_empty()
    );
    offer(&mut ahead, Source::Platform, &next(&first(2)));
    let newer = ahead.entries_newer_than(&behind.version_vector());
    assert_eq!(newer.len(), 1);
    assert!(behind.should_fetch(newer[0].0) && !ahead.should_fetch(newer[0].0));
    assert_eq!(newer[0].1, ahead.in_force()[1].current.envelope);
    assert!(
        behind
            .entries_newer_than(&ahead.version_vector())
            .is_empty()
    );
    assert_eq!(ahead.entries_newer_than(&[]).len(), 2);
}
