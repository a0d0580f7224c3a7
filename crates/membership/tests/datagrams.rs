//! Messages survive encoding; malformed ones and those above their key's rights are rejected.

use std::net::SocketAddr;

use membership::{
    Claim, Introduction, Kind, MemberId, Message, Reject, Scope, Version, decode, encode,
};
use units::{EndpointId, Incarnation, Millis, ServiceId};

const SERVICE: Scope = Scope::Service(ServiceId::new(7));

fn balancer(name: &str) -> MemberId {
    MemberId::balancer(&name.parse().unwrap())
}

fn agent(id: u32) -> MemberId {
    MemberId::Agent(EndpointId::new(id))
}

fn claim(id: MemberId, introduction: Option<Introduction>) -> Claim {
    Claim {
        id,
        version: Version::new(Incarnation::new(9), 3),
        is_suspect: true,
        is_leaving: true,
        age_ms: Millis::new(150),
        introduction,
    }
}

fn introduction(name: &str, address: &str) -> Introduction {
    Introduction {
        name: name.parse().unwrap(),
        address: address.parse().unwrap(),
        control_address: "10.9.9.9:9".parse().unwrap(),
    }
}

fn gossip() -> Message {
    Message {
        kind: Kind::Gossip,
        sender: balancer("b-1"),
        claims: vec![
            claim(agent(5), None),
            claim(balancer("b-4"), None),
            claim(balancer("b-2"), Some(introduction("b-2", "10.1.2.3:4"))),
            claim(
                balancer("b-3"),
                Some(introduction("b-3", "[2001:db8::1]:9")),
            ),
        ],
    }
}

fn bare(kind: Kind, sender: MemberId) -> Message {
    Message {
        kind,
        sender,
        claims: Vec::new(),
    }
}

#[test]
fn round_trip() {
    let check = |scope, message: Message| {
        let bytes = encode(&message);
        assert_eq!(bytes.len(), message.wire_bytes());
        assert_eq!(decode(scope, &bytes), Ok(message));
    };
    let version = Version::new(Incarnation::new(1), 2);
    let probe = Kind::Probe {
        nonce: 1,
        target: agent(3),
        seen: version,
        is_suspect: true,
    };
    let ack = Kind::Ack {
        nonce: 2,
        version,
        is_leaving: true,
    };
    let target = balancer("b-9");
    check(SERVICE, bare(probe, balancer("b-1")));
    check(SERVICE, bare(ack, agent(3)));
    check(
        Scope::Fleet,
        bare(Kind::ProbeFor { nonce: 3, target }, balancer("b-1")),
    );
    let relayed = Kind::AckFor {
        nonce: 4,
        target,
        version,
    };
    check(Scope::Fleet, bare(relayed, balancer("b-1")));
    check(
        Scope::Fleet,
        bare(
            Kind::Sync {
                salt: 9,
                known: 5,
                digest: u64::MAX,
            },
            balancer("b-1"),
        ),
    );
    check(Scope::Fleet, gossip());
}

#[test]
fn rejected() {
    let check = |bytes: &[u8]| assert_eq!(decode(Scope::Fleet, bytes), Err(Reject::Malformed));
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
        assert_eq!(decode(SERVICE, &encode(message)), Err(Reject::Forbidden));
    };
    check(&gossip());
    check(&bare(
        Kind::Sync {
            salt: 0,
            known: 0,
            digest: 0,
        },
        balancer("b-1"),
    ));
    let target = agent(1);
    check(&bare(Kind::ProbeFor { nonce: 1, target }, agent(5)));
    let mut own = gossip();
    own.sender = agent(5);
    own.claims.truncate(1);
    check(&own);
    own.claims[0].is_suspect = false;
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
            decode(Scope::Fleet, bytes).unwrap_err();
            let mut changed = good.clone();
            changed[usize::from(*at) % good.len()] ^= flip;
            if let Ok(message) = decode(Scope::Fleet, &changed) {
                assert_eq!(decode(Scope::Fleet, &encode(&message)), Ok(message));
            }
        });
}

#[test]
fn address_kinds() {
    let mapped: SocketAddr = "[::ffff:10.1.2.3]:4".parse().unwrap();
    let mut message = gossip();
    message.claims.truncate(3);
    message.claims[2].introduction.as_mut().unwrap().address = mapped;
    let back = decode(Scope::Fleet, &encode(&message)).unwrap();
    let address = back.claims[2].introduction.as_ref().unwrap().address;
    assert_eq!(address, "10.1.2.3:4".parse().unwrap());
}
