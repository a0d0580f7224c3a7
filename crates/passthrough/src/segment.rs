//! What a packet's header says, and what a packet format must offer.

use std::{fmt, net::SocketAddrV4};

use crate::Flow;

/// A decoded packet header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one flag of the header"
)]
pub struct Segment {
    /// Address and port of the end that wrote the packet.
    pub source: SocketAddrV4,
    /// Address and port of the other end.
    pub destination: SocketAddrV4,
    /// The packet opens a flow, or with `ack` accepts one.
    pub syn: bool,
    /// `acknowledged` holds.
    pub ack: bool,
    /// The sender sends nothing more.
    pub fin: bool,
    /// The flow is broken off.
    pub rst: bool,
    /// An endpoint handed the packet back since it holds no such flow, or can't accept it.
    pub returned: bool,
    /// What [`PacketFormat::set_tag`] wrote before an endpoint got the packet.
    pub tag: u32,
    /// Position of the first byte of data in the sender's stream.
    pub sequence: u32,
    /// Position of the next byte that the sender expects.
    pub acknowledged: u32,
    /// Bytes of data behind the header.
    pub data_bytes: u16,
}

impl Segment {
    /// Returns whether the packet asks to open a flow.
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.syn && !self.ack
    }

    /// Returns the flow of a packet that its caller wrote.
    #[must_use]
    pub const fn caller_flow(&self) -> Flow {
        Flow {
            caller: self.source,
            service_address: self.destination,
        }
    }
}

/// Why a datagram is not a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentError {
    /// The datagram ends within the header.
    Truncated {
        /// Bytes of the datagram.
        len_bytes: usize,
    },
    /// The header's length of the data differs from the datagram's.
    LengthMismatch {
        /// Bytes of data by the header.
        stated_bytes: usize,
        /// Bytes behind the header.
        found_bytes: usize,
    },
}

impl fmt::Display for SegmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated { len_bytes } => {
                write!(
                    f,
                    "a datagram of {len_bytes} bytes ends within the header; drop it"
                )
            }
            Self::LengthMismatch {
                stated_bytes,
                found_bytes,
            } => write!(
                f,
                "the header states {stated_bytes} bytes of data, the datagram has {found_bytes}; \
                 drop it"
            ),
        }
    }
}

impl std::error::Error for SegmentError {}

/// How packets are laid out. Implemented where the users' formats are known.
pub trait PacketFormat {
    /// Decodes a packet's header and checks its length.
    ///
    /// # Errors
    ///
    /// Says what is wrong with a datagram that is no packet.
    fn decode(datagram: &[u8]) -> Result<Segment, SegmentError>;

    /// Writes the tag that comes back in a returned packet, and clears the mark of a returned one.
    ///
    /// `packet` must have been decoded before.
    fn set_tag(packet: &mut [u8], tag: u32);

    /// Appends to `out` a reset from `source` to `destination` that begins at `sequence`.
    fn write_reset(
        source: SocketAddrV4,
        destination: SocketAddrV4,
        sequence: u32,
        out: &mut Vec<u8>,
    );
}
