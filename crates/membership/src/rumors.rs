//! Claims on their way through the fleet.

use units::Millis;

use crate::{Claim, MemberId, message::CLAIMS_MAX_BYTES};

/// Times that a claim is sent on by each balancer that learns it.
const SENDS: u8 = 6;

/// Times that a balancer is introduced; exchanges bring the rest, and nothing fails meanwhile.
const INTRODUCTION_SENDS: u8 = 3;

/// Times that a claim is sent on while many are under way, as when a zone fails.
const BULK_SENDS: u8 = 4;

/// Claims under way that count as many.
const BULK: usize = 100;

/// Claims still to be passed on; the least often sent go first.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    /// At most one for each member.
    rumors: Vec<Rumor>,
}

#[derive(Debug)]
struct Rumor {
    claim: Claim,
    /// When the claim was first made, by this process's clock.
    made_ms: Millis,
    sent: u8,
}

impl Rumor {
    const fn is_introduction(&self) -> bool {
        let is_plain = !self.claim.is_suspect && !self.claim.is_leaving;
        is_plain && self.claim.version.epoch == 0 && self.claim.introduction.is_some()
    }

    /// Returns how many times to send the claim in all.
    const fn sends(&self, is_bulk: bool) -> u8 {
        match (self.is_introduction(), is_bulk) {
            (true, _) => INTRODUCTION_SENDS,
            (false, true) => BULK_SENDS,
            (false, false) => SENDS,
        }
    }
}

impl Rumors {
    /// Starts to pass a claim on; it replaces an older one about the same member.
    pub(crate) fn add(&mut self, now: Millis, claim: Claim) {
        self.remove(claim.id);
        let made_ms = Millis::new(now.get().saturating_sub(claim.age_ms.get()));
        self.rumors.push(Rumor {
            claim,
            made_ms,
            sent: 0,
        });
    }

    /// Stops passing on what was said about a member.
    pub(crate) fn remove(&mut self, id: MemberId) {
        self.rumors.retain(|it| it.claim.id != id);
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }

    /// Takes the claims of one datagram.
    pub(crate) fn take(&mut self, now: Millis) -> Vec<Claim> {
        self.rumors
            .sort_by_key(|it| (it.is_introduction(), it.sent));
        let mut claims = Vec::new();
        let mut bytes = 0;
        for it in &mut self.rumors {
            bytes += it.claim.wire_bytes();
            if bytes > CLAIMS_MAX_BYTES {
                break;
            }
            it.sent += 1;
            let mut claim = it.claim.clone();
            claim.age_ms = now.since(it.made_ms);
            claims.push(claim);
        }
        let is_bulk = self.rumors.len() >= BULK;
        self.rumors.retain(|it| it.sent < it.sends(is_bulk));
        claims
    }
}
