//! Bundles reach processes that cannot read the platform, read stale data or never read it.

#[path = "support/node.rs"]
mod node;
#[path = "../../bundle/tests/support/sample.rs"]
mod sample;

use std::time::Duration;

use bundle::{Bundle, KeySet, KeySetDocument, LastVersion, OperatorKey, sign_bundle};
use control::Role;
use node::{Fleet, Node, WAIT_TIMEOUT};
use sample::{first, key, next};
use stand_ins::platform::{Fault, Platform};
use units::{BundleVersion, ServiceId};

const ROOT: u8 = 9;

fn new_fleet() -> Fleet {
    Fleet::new(KeySet::new(vec![key(1).public()]).with_roots(vec![key(ROOT).public()]))
}

async fn start_platform() -> Platform {
    Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

async fn start_balancers(fleet: &Fleet, platform: &Platform, count: usize) -> Vec<Node> {
    let role = Role::Balancer {
        platform: platform.address(),
    };
    let mut nodes = Vec::new();
    for idx in 0..count {
        nodes.push(fleet.start(&format!("b{idx}"), role).await);
    }
    nodes
}

/// Stops a process without leaving and removes it from the peers.
fn kill_node(fleet: &Fleet, node: Node) {
    fleet
        .peers
        .send_modify(|it| it.retain(|peer| *peer != node.address));
    drop(node);
}

/// Waits until `other` is among the node's peers.
async fn wait_for_peer(node: &Node, other: &Node) {
    let wait = async {
        while !node.handle.peer_addresses().contains(&other.address) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("{:?}", node.handle.peer_addresses()));
}

fn publish_bundle(platform: &Platform, bundle: &Bundle) {
    platform
        .publish_bundle(&sign_bundle(bundle, &key(1)))
        .unwrap();
}

#[tokio::test]
async fn single_platform_reader_supplies_all() {
    let (fleet, platform) = (new_fleet(), start_platform().await);
    platform.set_fault(Fault::Down);
    platform.set_reader_fault("lovagehall/b3", Fault::None);
    let nodes = start_balancers(&fleet, &platform, 6).await;
    let mut bundle = first(1);
    for version in 1..=5 {
        publish_bundle(&platform, &bundle);
        for node in &nodes {
            node.wait_for_version(1, version).await;
        }
        bundle = next(&bundle);
    }
}

#[tokio::test]
async fn restart_keeps_newest_despite_stale_platform() {
    let (fleet, platform) = (new_fleet(), start_platform().await);
    let mut bundle = first(1);
    for _ in 1..=11 {
        publish_bundle(&platform, &bundle);
        bundle = next(&bundle);
    }
    let mut nodes = start_balancers(&fleet, &platform, 3).await;
    for node in &nodes {
        node.wait_for_version(1, 11).await;
    }
    platform.set_fault(Fault::StaleBy(10));
    for idx in 0..3 {
        kill_node(&fleet, nodes.remove(0));
        let role = Role::Balancer {
            platform: platform.address(),
        };
        let node = fleet.start(&format!("again{idx}"), role).await;
        node.handle.wait_until_ready().await;
        let held = node.handle.version_vector();
        assert_eq!(
            held[0].version,
            BundleVersion::new(11),
            "must hold the newest version, not that of the stale platform"
        );
        node.wait_for_counter("platform.stale", 1).await;
        nodes.push(node);
    }
}

#[tokio::test]
async fn tunnel_header_version_triggers_pull() {
    let (fleet, platform) = (new_fleet(), start_platform().await);
    publish_bundle(&platform, &first(1));
    publish_bundle(&platform, &first(2));
    let nodes = start_balancers(&fleet, &platform, 2).await;
    for node in &nodes {
        node.wait_for_version(2, 1).await;
        node.wait_for_version(1, 1).await;
    }
    let service = ServiceId::new(2);
    let agent = fleet.start("a1", Role::Agent { service }).await;
    agent.handle.wait_until_ready().await;
    agent.wait_for_version(2, 1).await;
    assert_eq!(
        agent.handle.version_vector().len(),
        1,
        "an agent holds only the bundle of its own service"
    );
    publish_bundle(&platform, &next(&first(2)));
    for node in &nodes {
        node.wait_for_version(2, 2).await;
    }
    agent.handle.pull_bundle(service, BundleVersion::new(2));
    agent.wait_for_version(2, 2).await;
    agent.handle.pull_bundle(service, BundleVersion::new(2));
    assert_eq!(agent.handle.counters().get("spread.cues"), 1);
}

#[tokio::test]
async fn agent_follows_replaced_balancers() {
    let (fleet, platform) = (new_fleet(), start_platform().await);
    publish_bundle(&platform, &first(1));
    let mut nodes = start_balancers(&fleet, &platform, 2).await;
    let (_seeds, seeds) = tokio::sync::watch::channel(vec![nodes[0].address]);
    let service = ServiceId::new(1);
    let agent = fleet
        .start_with_peers("a1", Role::Agent { service }, seeds)
        .await;
    agent.wait_for_version(1, 1).await;
    wait_for_peer(&agent, &nodes[1]).await;
    kill_node(&fleet, nodes.remove(0));
    publish_bundle(&platform, &next(&first(1)));
    nodes[0].wait_for_version(1, 2).await;
    agent.handle.pull_bundle(service, BundleVersion::new(2));
    agent.wait_for_version(1, 2).await;
}

#[tokio::test]
async fn balancer_recovers_bundle_from_agent() {
    let (fleet, platform) = (new_fleet(), start_platform().await);
    let service = ServiceId::new(1);
    let agent = fleet.start("a1", Role::Agent { service }).await;
    let mut old = first(1);
    old.endpoints[0].control_address = agent.address;
    let new = next(&old);
    let newest = sign_bundle(&new, &key(1));
    agent.handle.offer_bundle(&newest).await.unwrap();
    publish_bundle(&platform, &old);
    let nodes = start_balancers(&fleet, &platform, 1).await;
    nodes[0].wait_for_version(1, 2).await;
}

#[tokio::test]
async fn key_set_reaches_all_balancers() {
    let (fleet, platform) = (new_fleet(), start_platform().await);
    let nodes = start_balancers(&fleet, &platform, 3).await;
    let last = LastVersion {
        service: ServiceId::new(1),
        version: BundleVersion::new(1),
    };
    let set = KeySetDocument {
        version: BundleVersion::new(1),
        keys: vec![
            OperatorKey::new(key(1).public()).with_retired_after(vec![last]),
            OperatorKey::new(key(2).public()),
        ],
    };
    publish_bundle(&platform, &first(1));
    platform.publish_key_set(&set.sign(&key(ROOT))).unwrap();
    for node in &nodes {
        node.wait_for_version(0, 1).await;
        node.wait_for_version(1, 1).await;
    }
    let second = next(&first(1));
    publish_bundle(&platform, &second);
    nodes[0]
        .wait_for_counter("bundles.refused.retired_key", 1)
        .await;
    platform
        .publish_bundle(&sign_bundle(&second, &key(2)))
        .unwrap();
    for node in &nodes {
        node.wait_for_version(1, 2).await;
    }
}

/// Checks that a process with a certificate from another authority gets no bundle.
///
/// The process trusts either its own authority or that of the balancer it calls.
async fn check_foreign_process(trusted_authority: TrustedAuthority) {
    let (fleet, platform) = (new_fleet(), start_platform().await);
    publish_bundle(&platform, &first(1));
    let nodes = start_balancers(&fleet, &platform, 1).await;
    nodes[0].wait_for_version(1, 1).await;
    let mut other = Fleet::new(KeySet::new(vec![key(1).public()]));
    if trusted_authority == TrustedAuthority::Ours {
        other.tls.ca_pem.clone_from(&fleet.tls.ca_pem);
    }
    other.peers.send_replace(vec![nodes[0].address]);
    let service = ServiceId::new(1);
    let foreign = other.start("x", Role::Agent { service }).await;
    foreign.handle.wait_until_ready().await;
    foreign.handle.pull_bundle(service, BundleVersion::new(1));
    foreign.wait_for_counter("spread.failed", 1).await;
    assert!(
        foreign.handle.version_vector().is_empty(),
        "a process without our certificate must not get a bundle"
    );
}

#[derive(PartialEq)]
enum TrustedAuthority {
    Ours,
    Own,
}

#[tokio::test]
async fn foreign_certificates_are_rejected() {
    check_foreign_process(TrustedAuthority::Own).await;
    check_foreign_process(TrustedAuthority::Ours).await;
}
