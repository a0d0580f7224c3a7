//! Connection ids carry their owner, for holders of the key only.

use flow::{
    cid::{self, CID_BYTES, CidOwner},
    key::{FleetKey, KeyError, Secret, ServiceKey, ServiceKeys},
};
use units::{EndpointId, Incarnation, KeyIndex, ServiceId};

fn fleet(index: u8, fill: u8) -> FleetKey {
    FleetKey::new(KeyIndex::new(index), Secret::new([fill; 32])).expect("index fits")
}

fn keys(current: &FleetKey, accepted: &[FleetKey], service: u32) -> ServiceKeys {
    ServiceKeys::derive(current, accepted, ServiceId::new(service)).expect("distinct")
}

const OWNER: CidOwner = CidOwner {
    endpoint: EndpointId::new(5_800),
    incarnation: Incarnation::new(1_764_840_000),
};

fn mint(keys: &ServiceKeys) -> [u8; CID_BYTES] {
    cid::encode(keys, OWNER.endpoint, OWNER.incarnation, *b"random")
}

#[test]
fn round_trip() {
    let keys = keys(&fleet(7, 1), &[], 1);
    assert_eq!(cid::decode(&keys, &mint(&keys)), Some(OWNER));
}

#[test]
fn other_service() {
    let fleet = fleet(0, 1);
    let minted = mint(&keys(&fleet, &[], 1));
    assert_eq!(cid::decode(&keys(&fleet, &[], 2), &minted), None);
}

#[test]
fn key_rotation() {
    let (old, new) = (fleet(0, 1), fleet(1, 2));
    let minted = mint(&keys(&old, &[], 1));
    let both = keys(&new, std::slice::from_ref(&old), 1);
    assert_eq!(cid::decode(&both, &minted), Some(OWNER));
    assert_eq!(cid::decode(&keys(&new, &[], 1), &minted), None);
}

#[test]
fn duplicate_index() {
    let service = ServiceId::new(1);
    let res = ServiceKeys::derive(&fleet(3, 1), &[fleet(3, 2)], service);
    assert_eq!(res.err(), Some(KeyError::DuplicateIndex(KeyIndex::new(3))));
}

#[test]
fn index_bound() {
    let res = ServiceKey::new(KeyIndex::new(8), &Secret::new([1; 32]));
    assert_eq!(res.err(), Some(KeyError::IndexTooLarge(KeyIndex::new(8))));
}

#[test]
fn hidden_secrets() {
    let secret: Secret = "ab".repeat(32).parse().expect("64 digits");
    let shown = format!(
        "{secret:?} {:?} {:?}",
        fleet(0, 0xab),
        keys(&fleet(0, 0xab), &[], 1)
    );
    assert!(!shown.contains("ab, ") && !shown.contains("171") && !shown.contains("abab"));
    assert_eq!(secret.expose_hex(), "ab".repeat(32));
    assert_eq!("abc".parse::<Secret>(), Err(KeyError::MalformedSecret));
}

#[test]
fn any_bytes() {
    let keys = keys(&fleet(0, 1), &[fleet(1, 2)], 1);
    bolero::check!()
        .with_iterations(20_000)
        .for_each(|bytes: &[u8]| {
            let _owner = cid::decode(&keys, bytes);
        });
}
