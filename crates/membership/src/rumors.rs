//! Claims on their way through the fleet.

use units::Millis;

use crate::{MemberId, MemberUpdate, message::CLAIMS_MAX_BYTES};

/// Times that a update is sent on by each balancer that learns it.
const SENDS: u8 = 6;

/// Times that a balancer is introduced; exchanges bring the rest, and nothing fails meanwhile.
const INTRODUCTION_SENDS: u8 = 3;

/// Times that a update is sent on while many are under way, as when a zone fails.
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
    update: MemberUpdate,
    /// When the update was first made, by this process's clock.
    made_ms: Millis,
    sent: u8,
}

impl Rumor {
    const fn is_introduction(&self) -> bool {
        let is_plain = !self.update.is_suspect && !self.update.is_leaving;
        is_plain && self.update.version.refutations == 0 && self.update.balancer_info.is_some()
    }

    /// Returns how many times to send the update in all.
    const fn sends(&self, is_bulk: bool) -> u8 {
        match (self.is_introduction(), is_bulk) {
            (true, _) => INTRODUCTION_SENDS,
            (false, true) => BULK_SENDS,
            (false, false) => SENDS,
        }
    }
}

impl Rumors {
    /// Starts to pass a update on; it replaces an older one about the same member.
    pub(crate) fn add(&mut self, now: Millis, update: MemberUpdate) {
        self.remove(update.id);
        let made_ms = Millis::new(now.get().saturating_sub(update.age_ms.get()));
        self.rumors.push(Rumor {
            update,
            made_ms,
            sent: 0,
        });
    }

    /// Stops passing on what was said about a member.
    pub(crate) fn remove(&mut self, id: MemberId) {
        self.rumors.retain(|it| it.update.id != id);
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }

    /// Takes the updates of one datagram.
    pub(crate) fn take(&mut self, now: Millis) -> Vec<MemberUpdate> {
        self.rumors
            .sort_by_key(|it| (it.is_introduction(), it.sent));
        let mut updates = Vec::new();
        let mut bytes = 0;
        for it in &mut self.rumors {
            bytes += it.update.encoded_len();
            if bytes > CLAIMS_MAX_BYTES {
                break;
            }
            it.sent += 1;
            let mut update = it.update.clone();
            update.age_ms = now.since(it.made_ms);
            updates.push(update);
        }
        let is_bulk = self.rumors.len() >= BULK;
        self.rumors.retain(|it| it.sent < it.sends(is_bulk));
        updates
    }
}
