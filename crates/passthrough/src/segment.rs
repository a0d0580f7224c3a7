//! Decoded packet headers, and the interface of packet formats.

use std::{fmt, net::SocketAddrV4};

use crate::Flow;

/// A decoded packet header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one flag of the header"
)]
pub struct Segment {
    /// Address and port of the sender.
    pub source: SocketAddrV4,
    /// Address and port of the receiver.
    pub destination: SocketAddrV4,
    /// The packet opens a flow or, together with `ack`, accepts one.
    pub syn: bool,
    /// `acknowledged` is valid.
    pub ack: bool,
    /// The sender sends no more data.
    pub fin: bool,
    /// The flow is aborted.
    pub rst: bool,
    /// An endpoint returned the packet because it doesn't hold the flow or can't accept it.
    pub returned: bool,
    /// The tag set by [`PacketFormat::set_tag`] before the packet was delivered to an endpoint.
    pub tag: u32,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Next sequence number that the sender expects.
    pub acknowledged: u32,
    /// Bytes of data after the header.
    pub data_bytes: u16,
}

impl Segment {
    /// Returns whether the packet requests to open a flow.
    #[must_use]
    pub const fn is_opening_packet(&self) -> bool {
        self.syn && !self.ack
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
        /// Size of the datagram.
        len_bytes: usize,
    },
    /// The data length in the header differs from the actual one.
    LengthMismatch {
        /// Data length stated in the header.
        stated_bytes: usize,
        /// Bytes after the header.
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

/// A packet format, which is implemented by the platform's integration.
pub trait PacketFormat {
    /// Decodes a packet's header and checks its length.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid packet.
    fn decode_segment(datagram: &[u8]) -> Result<Segment, SegmentError>;

    /// Sets the tag by which a returned packet is recognized, and clears the flag of a returned
    /// packet.
    ///
    /// `packet` must have been decoded successfully before.
    fn set_tag(packet: &mut [u8], tag: u32);

    /// Appends to `out` a reset from `source` to `destination` with the given sequence number.
    fn write_reset(
        source: SocketAddrV4,
        destination: SocketAddrV4,
        sequence: u32,
        out: &mut Vec<u8>,
    );
}
