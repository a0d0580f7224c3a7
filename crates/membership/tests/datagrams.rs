//! Messages round-trip through the codec; malformed and forbidden ones are rejected.

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

fn gossip_message() -> Message {
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

fn message_without_updates(kind: MessageKind, sender: MemberId) -> Message {
    Message {
        kind,
        sender,
        updates: Vec::new(),
    }
}

#[test]
fn messages_round_trip() {
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
    check(SERVICE, message_without_updates(probe, balancer("b-1")));
    check(SERVICE, message_without_updates(ack, agent(3)));
    check(
        KeyScope::Fleet,
        message_without_updates(
            MessageKind::IndirectProbe { nonce: 3, target },
            balancer("b-1"),
        ),
    );
    let relayed = MessageKind::IndirectAck {
        nonce: 4,
        target,
        version,
    };
    check(
        KeyScope::Fleet,
        message_without_updates(relayed, balancer("b-1")),
    );
    check(
        KeyScope::Fleet,
        message_without_updates(
            MessageKind::Sync {
                salt: 9,
                balancer_digests: 5,
                exception_digests: u64::MAX,
            },
            balancer("b-1"),
        ),
    );
    check(KeyScope::Fleet, gossip_message());
}

#[test]
fn malformed_messages_are_rejected() {
    let check =
        |bytes: &[u8]| assert_eq!(decode(KeyScope::Fleet, bytes), Err(DecodeError::Malformed));
    let good = encode(&gossip_message());
    check(&[]);
    check(&good[..20]);
    check(&good[1..]);
    check(&good[..good.len() - 1]);
    let mut too_long = good.clone();
    too_long.push(0);
    check(&too_long);
}

/// A holder of a service key alone can neither report suspicions nor send updates about other
/// members.
#[test]
fn service_key_forbids_updates_about_others() {
    let check = |message: &Message| {
        assert_eq!(
            decode(SERVICE, &encode(message)),
            Err(DecodeError::Forbidden)
        );
    };
    check(&gossip_message());
    check(&message_without_updates(
        MessageKind::Sync {
            salt: 0,
            balancer_digests: 0,
            exception_digests: 0,
        },
        balancer("b-1"),
    ));
    let target = agent(1);
    check(&message_without_updates(
        MessageKind::IndirectProbe { nonce: 1, target },
        agent(5),
    ));
    let mut agent_message = gossip_message();
    agent_message.sender = agent(5);
    agent_message.updates.truncate(1);
    check(&agent_message);
    agent_message.updates[0].is_suspect = false;
    agent_message.sender = agent(6);
    check(&agent_message);
}

/// Any message that decodes from corrupted bytes round-trips through the codec.
#[test]
fn decodable_corrupted_messages_round_trip() {
    let good = encode(&gossip_message());
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
fn mapped_address_decodes_as_ipv4() {
    let mapped: SocketAddr = "[::ffff:10.1.2.3]:4".parse().unwrap();
    let mut message = gossip_message();
    message.updates.truncate(3);
    message.updates[2].balancer_info.as_mut().unwrap().address = mapped;
    let decoded = decode(KeyScope::Fleet, &encode(&message)).unwrap();
    let address = decoded.updates[2].balancer_info.as_ref().unwrap().address;
    assert_eq!(address, "10.1.2.3:4".parse().unwrap());
}
