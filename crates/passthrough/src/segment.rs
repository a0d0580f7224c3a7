//! Decoded packet headers, and the trait that packet formats implement.

use std::{fmt, net::SocketAddrV4};

use crate::Flow;

/// A decoded packet header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one flag of the header"
)]
pub struct Segment {
    /// Address and port of the packet's sender.
    pub source: SocketAddrV4,
    /// Address and port of the packet's receiver.
    pub destination: SocketAddrV4,
    /// SYN flag: the packet opens a flow or, together with `ack`, accepts one.
    pub syn: bool,
    /// ACK flag: the acknowledgement number in `acknowledged` is valid.
    pub ack: bool,
    /// FIN flag: the sender sends no more data on the flow.
    pub fin: bool,
    /// RST flag: the sender aborts the flow.
    pub rst: bool,
    /// Whether an endpoint returned the packet because it doesn't hold the flow or can't accept it.
    pub returned: bool,
    /// The tag set by [`PacketFormat::set_tag`] before the packet was delivered to an endpoint.
    pub tag: u32,
    /// Sequence number of the packet's first byte of data.
    pub sequence: u32,
    /// Acknowledgement number: the next sequence number that the packet's sender expects.
    pub acknowledged: u32,
    /// Number of data bytes after the header.
    pub data_bytes: u16,
}

impl Segment {
    /// Returns whether the packet is an opening packet, with which a caller requests a new flow.
    #[must_use]
    pub const fn is_opening_packet(&self) -> bool {
        self.syn && !self.ack
    }

    /// Returns the flow of a packet that was sent by its endpoint.
    #[must_use]
    pub const fn endpoint_flow(&self) -> Flow {
        Flow {
            caller: self.destination,
            service_address: self.source,
        }
    }

    /// Returns the flow of a packet that was sent by its caller.
    #[must_use]
    pub const fn caller_flow(&self) -> Flow {
        Flow {
            caller: self.source,
            service_address: self.destination,
        }
    }
}

/// Error for a datagram that is not a valid packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentError {
    /// The datagram ends within the header.
    Truncated {
        /// Size of the datagram in bytes.
        len_bytes: usize,
    },
    /// The data length in the header differs from the number of bytes after the header.
    LengthMismatch {
        /// Data length that the header states, in bytes.
        stated_bytes: usize,
        /// Number of bytes that follow the header.
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

/// A packet format that the integration of a platform implements.
pub trait PacketFormat {
    /// Decodes a packet's header and checks the data length that the header states.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid packet.
    fn decode_segment(datagram: &[u8]) -> Result<Segment, SegmentError>;

    /// Sets the tag by which an agent recognizes a packet that its endpoint returns, and clears the
    /// packet's returned flag.
    ///
    /// The caller must have decoded `packet` successfully before.
    fn set_tag(packet: &mut [u8], tag: u32);

    /// Appends to `out` a reset packet from `source` to `destination` with the given sequence
    /// number.
    fn write_reset(
        source: SocketAddrV4,
        destination: SocketAddrV4,
        sequence: u32,
        out: &mut Vec<u8>,
    );
}
