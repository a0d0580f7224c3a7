//! Connection ids encode their owner, and only holders of the service's key can decode it.

use flow::{
    cid::{self, CID_BYTES, CidOwner},
    key::{FleetKey, KeyError, Secret, ServiceKey, ServiceKeys},
};
use units::{EndpointId, Incarnation, KeyIndex, ServiceId};

fn fleet_key(index: u8, fill: u8) -> FleetKey {
    FleetKey::new(KeyIndex::new(index), Secret::new([fill; 32])).expect("index fits")
}

fn keys(current: &FleetKey, accepted: &[FleetKey], service: u32) -> ServiceKeys {
    ServiceKeys::derive(current, accepted, ServiceId::new(service))
        .expect("key indexes are distinct")
}

const OWNER: CidOwner = CidOwner {
    endpoint: EndpointId::new(5_800),
    incarnation: Incarnation::new(1_764_840_000),
};

fn issue_cid(keys: &ServiceKeys) -> [u8; CID_BYTES] {
    cid::encode(keys, OWNER.endpoint, OWNER.incarnation, *b"random")
}

#[test]
fn connection_id_decodes_to_its_owner() {
    let keys = keys(&fleet_key(7, 1), &[], 1);
    assert_eq!(cid::decode(&keys, &issue_cid(&keys)), Some(OWNER));
}

#[test]
fn connection_id_of_another_service_does_not_decode() {
    let fleet = fleet_key(0, 1);
    let cid_bytes = issue_cid(&keys(&fleet, &[], 1));
    assert_eq!(cid::decode(&keys(&fleet, &[], 2), &cid_bytes), None);
}

#[test]
fn old_connection_id_decodes_while_its_key_is_accepted() {
    let (old, new) = (fleet_key(0, 1), fleet_key(1, 2));
    let cid_bytes = issue_cid(&keys(&old, &[], 1));
    let both = keys(&new, std::slice::from_ref(&old), 1);
    assert_eq!(cid::decode(&both, &cid_bytes), Some(OWNER));
    assert_eq!(cid::decode(&keys(&new, &[], 1), &cid_bytes), None);
}

#[test]
fn duplicate_key_index_is_refused() {
    let service = ServiceId::new(1);
    let res = ServiceKeys::derive(&fleet_key(3, 1), &[fleet_key(3, 2)], service);
    assert_eq!(res.err(), Some(KeyError::DuplicateIndex(KeyIndex::new(3))));
}

#[test]
fn key_index_above_7_is_refused() {
    let res = ServiceKey::new(KeyIndex::new(8), &Secret::new([1; 32]));
    assert_eq!(res.err(), Some(KeyError::IndexTooLarge(KeyIndex::new(8))));
}

#[test]
fn debug_output_hides_secrets() {
    let secret: Secret = "ab".repeat(32).parse().expect("64 digits");
    let debug_output = format!(
        "{secret:?} {:?} {:?}",
        fleet_key(0, 0xab),
        keys(&fleet_key(0, 0xab), &[], 1)
    );
    assert!(
        !debug_output.contains("ab, ")
            && !debug_output.contains("171")
            && !debug_output.contains("abab")
    );
    assert_eq!(secret.expose_hex(), "ab".repeat(32));
    assert_eq!("abc".parse::<Secret>(), Err(KeyError::MalformedSecret));
}

#[test]
fn arbitrary_bytes_never_panic() {
    let keys = keys(&fleet_key(0, 1), &[fleet_key(1, 2)], 1);
    bolero::check!()
        .with_iterations(20_000)
        .for_each(|bytes: &[u8]| {
            let _owner = cid::decode(&keys, bytes);
        });
}
