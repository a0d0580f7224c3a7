//! Messages survive encoding; malformed ones and those above their key's rights are rejected.

use std::net::SocketAddr;

use membership::{
    BalancerInfo, DecodeError, KeyScope, MemberId, MemberUpdate, MemberVersion, Message,
    MessageKind, decode, encode,
};
use units::{EndpointId, Incarnation, Millis, ServiceId};

const SERVICE: KeyScope = KeyScope::Service(ServiceId::new(7));

fn balancer(name: &str) -> MemberId {
    MemberId::balancer(&name.parse().unwrap())
}

fn agent(id: u32) -> MemberId {
    MemberId::Agent(EndpointId::new(id))
}

fn update(id: MemberId, balancer_info: Option<BalancerInfo>) -> MemberUpdate {
    MemberUpdate {
        id,
        version: MemberVersion::new(Incarnation::new(9), 3),
        is_suspect: true,
        is_leaving: true,
        age_ms: Millis::new(150),
        balancer_info,
    }
}

fn balancer_info(name: &str, address: &str) -> BalancerInfo {
    BalancerInfo {
        name: name.parse().unwrap(),
        address: address.parse().unwrap(),
        control_address: "10.9.9.9:9".parse().unwrap(),
    }
}

fn gossip() -> Message {
    Message {
        kind: MessageKind::Gossip,
        sender: balancer("b-1"),
        updates: vec![
            update(agent(5), None),
            update(balancer("b-4"), None),
            update(balancer("b-2"), Some(balancer_info("b-2", "10.1.2.3:4"))),
            update(
                balancer("b-3"),
                Some(balancer_info("b-3", "[2001:db8::1]:9")),
            ),
        ],
    }
}

fn bare(kind: MessageKind, sender: MemberId) -> Message {
    Message {
        kind,
        sender,
        updates: Vec::new(),
    }
}

#[test]
fn round_trip() {
    let check = |scope, message: Message| {
        let bytes = encode(&message);
        assert_eq!(bytes.len(), message.encoded_len());
        assert_eq!(decode(scope, &bytes), Ok(message));
    };
    let version = MemberVersion::new(Incarnation::new(1), 2);
    let probe = MessageKind::Probe {
        nonce: 1,
        target: agent(3),
        known_version: version,
        is_suspect: true,
    };
    let ack = MessageKind::Ack {
        nonce: 2,
        version,
        is_leaving: true,
    };
    let target = balancer("b-9");
    check(SERVICE, bare(probe, balancer("b-1")));
    check(SERVICE, bare(ack, agent(3)));
    check(
        KeyScope::Fleet,
        bare(
            MessageKind::IndirectProbe { nonce: 3, target },
            balancer("b-1"),
        ),
    );
    let relayed = MessageKind::IndirectAck {
        nonce: 4,
        target,
        version,
    };
    check(KeyScope::Fleet, bare(relayed, balancer("b-1")));
    check(
        KeyScope::Fleet,
        bare(
            MessageKind::Sync {
                salt: 9,
                balancer_digests: 5,
                exception_digests: u64::MAX,
            },
            balancer("b-1"),
        ),
    );
    check(KeyScope::Fleet, gossip());
}

#[test]
fn rejected() {
    let check =
        |bytes: &[u8]| assert_eq!(decode(KeyScope::Fleet, bytes), Err(DecodeError::Malformed));
    let good = encode(&gossip());
    check(&[]);
    check(&good[..20]);
    check(&good[1..]);
    check(&good[..good.len() - 1]);
    let mut long = good.clone();
    long.push(0);
    check(&long);
}

/// Who holds only a service's key condemns nobody and speaks for nobody else.
#[test]
fn service_key_limits() {
    let check = |message: &Message| {
        assert_eq!(
            decode(SERVICE, &encode(message)),
            Err(DecodeError::Forbidden)
        );
    };
    check(&gossip());
    check(&bare(
        MessageKind::Sync {
            salt: 0,
            balancer_digests: 0,
            exception_digests: 0,
        },
        balancer("b-1"),
    ));
    let target = agent(1);
    check(&bare(
        MessageKind::IndirectProbe { nonce: 1, target },
        agent(5),
    ));
    let mut own = gossip();
    own.sender = agent(5);
    own.updates.truncate(1);
    check(&own);
    own.updates[0].is_suspect = false;
    own.sender = agent(6);
    check(&own);
}

/// What decodes means the same when encoded again.
#[test]
fn random_bytes() {
    let good = encode(&gossip());
    bolero::check!()
        .with_iterations(5_000)
        .with_type::<(Vec<u8>, u16, u8)>()
        .for_each(|(bytes, at, flip)| {
            decode(KeyScope::Fleet, bytes).unwrap_err();
            let mut changed = good.clone();
            changed[usize::from(*at) % good.len()] ^= flip;
            if let Ok(message) = decode(KeyScope::Fleet, &changed) {
                assert_eq!(decode(KeyScope::Fleet, &encode(&message)), Ok(message));
            }
        });
}

#[test]
fn address_kinds() {
    let mapped: SocketAddr = "[::ffff:10.1.2.3]:4".parse().unwrap();
    let mut message = gossip();
    message.updates.truncate(3);
    message.updates[2].balancer_info.as_mut().unwrap().address = mapped;
    let back = decode(KeyScope::Fleet, &encode(&message)).unwrap();
    let address = back.updates[2].balancer_info.as_ref().unwrap().address;
    assert_eq!(address, "10.1.2.3:4".parse().unwrap());
}
