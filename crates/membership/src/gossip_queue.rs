//! The queue of membership updates to disseminate by gossip.

use units::Millis;

use crate::{MemberId, MemberUpdate, message::UPDATES_BYTES_MAX};

/// Number of times that each balancer transmits a membership update.
const TRANSMISSIONS: u8 = 6;

/// Number of transmissions of an update that only announces a balancer.
///
/// Anti-entropy delivers the announcements that gossip missed, and nothing fails in the meantime.
const BALANCER_INFO_TRANSMISSIONS: u8 = 3;

/// Number of transmissions of an update while many are queued, as when a zone fails.
const BULK_TRANSMISSIONS: u8 = 4;

/// Minimum length of the gossip queue for which `BULK_TRANSMISSIONS` applies.
const BULK_UPDATES_MIN: usize = 100;

/// Membership updates to disseminate; updates with the fewest transmissions go first.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    /// Queued updates, at most one for each member.
    entries: Vec<QueuedUpdate>,
}

#[derive(Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    /// When the state that the update describes began, by this process's clock.
    created_ms: Millis,
    transmissions: u8,
}

impl QueuedUpdate {
    const fn is_balancer_info_only(&self) -> bool {
        let is_plain = !self.update.is_suspect && !self.update.is_leaving;
        is_plain && self.update.version.refutations == 0 && self.update.balancer_info.is_some()
    }

    /// Returns the number of transmissions after which the update leaves the gossip queue.
    const fn transmission_limit(&self, is_bulk: bool) -> u8 {
        match (self.is_balancer_info_only(), is_bulk) {
            (true, _) => BALANCER_INFO_TRANSMISSIONS,
            (false, true) => BULK_TRANSMISSIONS,
            (false, false) => TRANSMISSIONS,
        }
    }
}

impl GossipQueue {
    /// Queues an update and drops an older update about the same member.
    pub(crate) fn enqueue(&mut self, now: Millis, update: MemberUpdate) {
        self.remove_update_about(update.id);
        let created_ms = Millis::new(now.get().saturating_sub(update.age_ms.get()));
        self.entries.push(QueuedUpdate {
            update,
            created_ms,
            transmissions: 0,
        });
    }

    /// Drops the queued update about a member, if there is one.
    pub(crate) fn remove_update_about(&mut self, id: MemberId) {
        self.entries.retain(|it| it.update.id != id);
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the updates for the next gossip datagram and counts a transmission of each.
    pub(crate) fn next_batch(&mut self, now: Millis) -> Vec<MemberUpdate> {
        self.entries
            .sort_by_key(|it| (it.is_balancer_info_only(), it.transmissions));
        let mut updates = Vec::new();
        let mut bytes = 0;
        for it in &mut self.entries {
            bytes += it.update.encoded_len();
            if bytes > UPDATES_BYTES_MAX {
                break;
            }
            it.transmissions += 1;
            let mut update = it.update.clone();
            update.age_ms = now.since(it.created_ms);
            updates.push(update);
        }
        let is_bulk = self.entries.len() >= BULK_UPDATES_MIN;
        self.entries
            .retain(|it| it.transmissions < it.transmission_limit(is_bulk));
        updates
    }
}
