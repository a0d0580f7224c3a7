//! An agent's part of the membership protocol: it answers probes and announces that it is leaving.

use std::net::SocketAddr;

use units::{EndpointId, Incarnation, Millis, ServiceId};

use crate::{KeyScope, MemberId, MemberUpdate, MemberVersion, Message, MessageKind, Output};

/// Maximum number of recent balancers that an agent remembers.
const BALANCERS_MAX: usize = 16;

/// Time without a datagram after which an agent no longer considers a balancer alive.
const BALANCER_TIMEOUT_MS: Millis = Millis::new(3_000);

/// Answers the probes that balancers send to an agent.
///
/// An agent keeps no member table, only the balancers that recently sent it a datagram.
#[derive(Debug)]
pub struct Responder {
    local_id: MemberId,
    scope: KeyScope,
    /// This agent's own member version; it never decreases.
    version: MemberVersion,
    is_leaving: bool,
    /// Balancers that recently sent a datagram, the latest first; at most `BALANCERS_MAX`.
    balancers: Vec<RecentBalancer>,
}

#[derive(Debug)]
struct RecentBalancer {
    address: SocketAddr,
    last_received_ms: Millis,
}

impl Responder {
    /// Creates the responder of an agent for one incarnation of its process.
    #[must_use]
    pub const fn new(endpoint: EndpointId, service: ServiceId, incarnation: Incarnation) -> Self {
        Self {
            local_id: MemberId::Agent(endpoint),
            scope: KeyScope::Service(service),
            version: MemberVersion::new(incarnation, 0),
            is_leaving: false,
            balancers: Vec::new(),
        }
    }

    /// Handles a received message; returns the ack if the message is a probe of this agent.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: SocketAddr,
        message: &Message,
    ) -> Option<Output> {
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
            self.version = known_version.refuting_version();
        }
        let kind = MessageKind::Ack {
            nonce,
            version: self.version,
            is_leaving: self.is_leaving,
        };
        Some(self.build_send_output(from, kind, Vec::new()))
    }

    /// Records that a balancer sent a datagram, so that it is considered alive.
    pub fn record_balancer(&mut self, now: Millis, from: SocketAddr) {
        self.balancers.retain(|it| it.address != from);
        self.balancers.truncate(BALANCERS_MAX - 1);
        let balancer = RecentBalancer {
            address: from,
            last_received_ms: now,
        };
        self.balancers.insert(0, balancer);
    }

    /// Marks this agent as leaving; returns the messages that announce this to the balancers that
    /// contacted it recently.
    pub fn announce_leaving(&mut self) -> Vec<Output> {
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
            .map(|it| self.build_send_output(it, MessageKind::Gossip, vec![update.clone()]))
            .collect()
    }

    /// Returns the addresses of balancers that recently sent this agent a datagram, the latest
    /// first.
    pub fn recent_balancers(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        let recent = self.balancers.iter();
        let recent =
            recent.take_while(move |it| now.since(it.last_received_ms) < BALANCER_TIMEOUT_MS);
        recent.map(|it| it.address)
    }

    /// Returns this agent's own member version.
    #[must_use]
    pub const fn version(&self) -> MemberVersion {
        self.version
    }

    const fn build_send_output(
        &self,
        to: SocketAddr,
        kind: MessageKind,
        updates: Vec<MemberUpdate>,
    ) -> Output {
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
