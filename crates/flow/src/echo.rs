//! Echo requests and replies that probe whether a tunnel path still carries datagrams.
//!
//! An echo is the payload of a peer datagram. The receiver checks the datagram's MAC before it
//! decodes the echo. The reply goes to the source address and port of the request, so a reply
//! proves that this exact path works.

use units::EndpointId;

/// Length in bytes of an encoded echo request or reply.
pub const ECHO_BYTES: usize = 16;

/// First bytes of every echo, which distinguish it from all other peer payloads.
const MAGIC: [u8; 4] = *b"lhEc";

const REQUEST: u8 = 1;
const REPLY: u8 = 2;

/// An echo request or reply, which probes the tunnel path between a balancer and an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Echo {
    /// Whether the echo is a request or a reply.
    pub kind: EchoKind,
    /// The endpoint whose agent is probed.
    pub endpoint: EndpointId,
    /// Number that the requester chooses and the reply repeats.
    pub nonce: u32,
}

/// Whether an echo is a request or a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EchoKind {
    /// An echo request from a balancer to an agent.
    Request,
    /// An echo reply from an agent to a balancer.
    Reply,
}

impl Echo {
    /// Creates an echo request to an endpoint's agent.
    #[must_use]
    pub const fn new_request(endpoint: EndpointId, nonce: u32) -> Self {
        Self {
            kind: EchoKind::Request,
            endpoint,
            nonce,
        }
    }

    /// Returns the echo reply to this echo request.
    #[must_use]
    pub const fn to_reply(mut self) -> Self {
        self.kind = EchoKind::Reply;
        self
    }

    /// Encodes the echo as the payload of a peer datagram.
    #[must_use]
    pub fn encode(&self) -> [u8; ECHO_BYTES] {
        let mut payload = [0; ECHO_BYTES];
        payload[..4].copy_from_slice(&MAGIC);
        payload[4] = match self.kind {
            EchoKind::Request => REQUEST,
            EchoKind::Reply => REPLY,
        };
        payload[8..12].copy_from_slice(&self.endpoint.get().to_be_bytes());
        payload[12..].copy_from_slice(&self.nonce.to_be_bytes());
        payload
    }

    /// Decodes the payload of a peer datagram; returns `None` if it is not an echo.
    #[must_use]
    pub fn decode(payload: &[u8]) -> Option<Self> {
        let payload: &[u8; ECHO_BYTES] = payload.try_into().ok()?;
        let (magic, rest) = payload.split_first_chunk()?;
        if *magic != MAGIC {
            return None;
        }
        let kind = match rest {
            [REQUEST, 0, 0, 0, ..] => EchoKind::Request,
            [REPLY, 0, 0, 0, ..] => EchoKind::Reply,
            _ => return None,
        };
        let read_u32 = |offset: usize| {
            let bytes = [
                payload[offset],
                payload[offset + 1],
                payload[offset + 2],
                payload[offset + 3],
            ];
            u32::from_be_bytes(bytes)
        };
        Some(Self {
            kind,
            endpoint: EndpointId::new(read_u32(8)),
            nonce: read_u32(12),
        })
    }
}
