//! Deterministic request and response bodies, which a receiver verifies without a stored copy.

use bytes::Bytes;

/// Size of the chunks that a body is generated in; the last chunk of a body may be shorter.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// A generated body, as chunks. Each byte is derived from the request id and the byte's offset.
#[derive(Debug, Clone)]
pub struct Pattern {
    seed: u64,
    sent_bytes: u64,
    total_bytes: u64,
}

impl Pattern {
    /// Creates the generated body of length `total_bytes` for `request_id`.
    #[must_use]
    pub fn new(request_id: &str, total_bytes: u64) -> Self {
        Self {
            seed: hash_text(request_id),
            sent_bytes: 0,
            total_bytes,
        }
    }

    /// Returns whether `body` is the complete generated body of length `total_bytes` for
    /// `request_id`.
    #[must_use]
    pub fn matches(request_id: &str, total_bytes: u64, body: &[u8]) -> bool {
        if body.len() as u64 != total_bytes {
            return false;
        }
        let mut rest = body;
        for chunk in Self::new(request_id, total_bytes) {
            let (head, tail) = rest.split_at(chunk.len());
            if head != chunk {
                return false;
            }
            rest = tail;
        }
        true
    }
}

impl Iterator for Pattern {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        let left = self.total_bytes - self.sent_bytes;
        if left == 0 {
            return None;
        }
        let len = usize::try_from(left)
            .unwrap_or(CHUNK_BYTES)
            .min(CHUNK_BYTES);
        let start = self.sent_bytes;
        self.sent_bytes += len as u64;
        let mut chunk = Vec::with_capacity(len + 8);
        let mut word = start / 8;
        while chunk.len() < len {
            chunk.extend_from_slice(&splitmix64(self.seed ^ word).to_le_bytes());
            word += 1;
        }
        chunk.truncate(len);
        Some(chunk.into())
    }
}

/// Returns the FNV-1a hash of the text after one mixing step of splitmix64.
fn hash_text(text: &str) -> u64 {
    let fold = |acc: u64, byte: u8| (acc ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    splitmix64(text.bytes().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// Applies one step of the splitmix64 generator to a word: the increment and the finalizer.
fn splitmix64(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
