//! Echoes: the question whether a tunnel path still carries datagrams, and its answer.
//!
//! An echo travels as a peer datagram, so its MAC is checked before it gets here. The answer goes
//! back to the address and port that the question came from: it tells of that very path.

use units::EndpointId;

/// Length of an echo.
pub const ECHO_BYTES: usize = 16;

/// First bytes of every echo, apart from all other payloads between processes.
const MAGIC: [u8; 4] = *b"lhEc";

const REQUEST: u8 = 1;
const REPLY: u8 = 2;

/// A question about a path, or the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Echo {
    /// Question or answer.
    pub kind: EchoKind,
    /// The endpoint whose agent is asked.
    pub endpoint: EndpointId,
    /// Chosen by who asks; the answer repeats it.
    pub nonce: u32,
}

/// Question or answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EchoKind {
    /// From a balancer to an agent.
    Request,
    /// From an agent to a balancer.
    Reply,
}

impl Echo {
    /// Asks an endpoint's agent.
    #[must_use]
    pub const fn request(endpoint: EndpointId, nonce: u32) -> Self {
        Self {
            kind: EchoKind::Request,
            endpoint,
            nonce,
        }
    }

    /// Returns the answer to this question.
    #[must_use]
    pub const fn reply(mut self) -> Self {
        self.kind = EchoKind::Reply;
        self
    }

    /// Returns the payload of a peer datagram.
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

    /// Reads a payload; `None` if it is something else.
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
        let number = |at: usize| {
            let bytes = [
                payload[at],
                payload[at + 1],
                payload[at + 2],
                payload[at + 3],
            ];
            u32::from_be_bytes(bytes)
        };
        Some(Self {
            kind,
            endpoint: EndpointId::new(number(8)),
            nonce: number(12),
        })
    }
}
