//! An agent's side: it answers probes and says when it leaves.

use std::net::SocketAddr;

use units::{EndpointId, Incarnation, Millis, ServiceId};

use crate::{KeyScope, MemberId, MemberUpdate, Message, MessageKind, Output, Version};

/// Balancers remembered at most.
const BALANCERS_MAX: usize = 16;

/// Time after which a balancer that sent nothing is no longer taken as alive.
const BALANCER_SILENT_MS: Millis = Millis::new(3_000);

/// Answers probes of an agent.
///
/// An agent holds nothing of the fleet but the few balancers that lately sent something.
#[derive(Debug)]
pub struct Responder {
    local_id: MemberId,
    scope: KeyScope,
    /// Only grows.
    version: Version,
    is_leaving: bool,
    /// Latest first, at most `BALANCERS_MAX`.
    balancers: Vec<Heard>,
}

#[derive(Debug)]
struct Heard {
    address: SocketAddr,
    at_ms: Millis,
}

impl Responder {
    /// Makes the responder of an agent's run.
    #[must_use]
    pub const fn new(endpoint: EndpointId, service: ServiceId, incarnation: Incarnation) -> Self {
        Self {
            local_id: MemberId::Agent(endpoint),
            scope: KeyScope::Service(service),
            version: Version::new(incarnation, 0),
            is_leaving: false,
            balancers: Vec::new(),
        }
    }

    /// Takes a message; answers it if it is a probe of this agent.
    pub fn handle(&mut self, now: Millis, from: SocketAddr, message: &Message) -> Option<Output> {
        let MessageKind::Probe {
            nonce,
            target,
            known_version,
            is_suspect,
        } = message.kind
        else {
            return None;
        };
        if target != self.local_id {
            return None;
        }
        self.record_balancer(now, from);
        if is_suspect
            && known_version >= self.version
            && known_version.incarnation == self.version.incarnation
        {
            self.version = known_version.refutation();
        }
        let kind = MessageKind::Ack {
            nonce,
            version: self.version,
            is_leaving: self.is_leaving,
        };
        Some(self.send(from, kind, Vec::new()))
    }

    /// Takes any datagram of a balancer as proof that it lives.
    pub fn record_balancer(&mut self, now: Millis, from: SocketAddr) {
        self.balancers.retain(|it| it.address != from);
        self.balancers.truncate(BALANCERS_MAX - 1);
        let heard = Heard {
            address: from,
            at_ms: now,
        };
        self.balancers.insert(0, heard);
    }

    /// Takes no new work from now on, and says so to the balancers heard of.
    pub fn leave(&mut self) -> Vec<Output> {
        self.is_leaving = true;
        let update = MemberUpdate {
            id: self.local_id,
            version: self.version,
            is_suspect: false,
            is_leaving: true,
            age_ms: Millis::new(0),
            balancer_info: None,
        };
        let addresses = self.balancers.iter().map(|it| it.address);
        addresses
            .map(|it| self.send(it, MessageKind::Gossip, vec![update.clone()]))
            .collect()
    }

    /// Returns the balancers heard of lately, the latest first.
    pub fn recent_balancers(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        let lately = self.balancers.iter();
        let lately = lately.take_while(move |it| now.since(it.at_ms) < BALANCER_SILENT_MS);
        lately.map(|it| it.address)
    }

    /// Returns this agent's version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    const fn send(&self, to: SocketAddr, kind: MessageKind, updates: Vec<MemberUpdate>) -> Output {
        let message = Message {
            kind,
            sender: self.local_id,
            updates,
        };
        Output::Send {
            to,
            scope: self.scope,
            message,
        }
    }
}
