//! Decides which balancers read the store, and which leave callers to balancers with faster links.

use units::Millis;

use super::Balancer;
use crate::{Event, Outbox, PacketFormat};

/// Age of the latest store confirmation above which every balancer reads the store itself.
///
/// Balancers that read the store renew the confirmation once a second, so an older confirmation
/// means that these readers failed or are partitioned.
const CONFIRMATION_STALE_MS: Millis = Millis::new(1_700);

/// Number of balancers that read the store in normal operation. With two readers, the loss of one
/// has no effect.
const STORE_READERS: usize = 2;

/// Number of balancers of a large fleet that begin to read the store at the same time when the
/// readers have failed.
const STANDBY_READERS: usize = 4;

/// Time after which the next `STANDBY_READERS` balancers begin to read the store, too. A balancer
/// that reads the store tells the others within it.
const STANDBY_READERS_STEP_MS: u64 = 250;

/// Maximum additional age of the latest store confirmation at which every balancer of a large fleet
/// reads the store itself.
const STANDBY_READERS_DELAY_MAX_MS: u64 = 1_000;

/// Minimum time for which a balancer that took over reads the store after the store's first answer.
///
/// That answer makes the confirmation young again, long before the ranks of the lost readers have
/// passed to others.
const TAKEOVER_DURATION_MIN_MS: Millis = Millis::new(1_000);

/// A takeover of reading the store from readers that were lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Takeover {
    /// Time of the store's first answer, until then the time of the takeover.
    since: Millis,
    is_answered: bool,
}

impl<F: PacketFormat> Balancer<F> {
    /// Enters standby if enough balancers of the zone have much faster links, or leaves standby.
    pub(super) fn update_standby(&mut self, now: Millis, out: &mut impl Outbox) {
        let stands_by = self
            .peers
            .should_stand_by(now, self.config.address, self.status());
        if stands_by == self.is_standby {
            return;
        }
        self.is_standby = stands_by;
        out.report_event(Event::Standby {
            stands_by,
            link_mbps: self.config.link_mbps,
            peers: self.peers.len(),
        });
    }

    /// Updates this balancer's rank among the balancers that may read the store.
    pub(super) fn update_reader_rank(&mut self, now: Millis) {
        self.reader_rank = self
            .peers
            .store_reader_rank(now, self.config.address, self.status());
    }

    /// Starts or stops reading the store, depending on the age of the latest store confirmation and
    /// on this balancer's rank among the readers.
    pub(super) fn update_store_reader(&mut self, now: Millis, out: &mut impl Outbox) {
        let is_stale = self.takeover_at().is_none_or(|it| now >= it);
        let has_just_begun = self
            .takeover
            .is_some_and(|it| now.since(it.since) < TAKEOVER_DURATION_MIN_MS);
        let is_reader = self.reader_rank < STORE_READERS && !self.stopping;
        let reads = is_stale || has_just_begun || is_reader;
        if reads == self.reads_store {
            return;
        }
        self.reads_store = reads;
        self.takeover = reads.then_some(Takeover {
            since: now,
            is_answered: false,
        });
        out.report_event(Event::StoreDuty {
            reads,
            peers: self.peers.len(),
            freshest_age_ms: u64::from(self.confirmed_age_ms(now)),
        });
    }

    /// Records that the store answered this balancer.
    pub(super) const fn record_store_answer(&mut self, now: Millis) {
        if let Some(takeover) = &mut self.takeover
            && !takeover.is_answered
        {
            *takeover = Takeover {
                since: now,
                is_answered: true,
            };
        }
    }

    /// Returns the time at which this balancer reads the store itself unless the store confirms the
    /// catalog before, or `None` if the store has never confirmed it.
    pub(super) fn takeover_at(&self) -> Option<Millis> {
        let stale_after = CONFIRMATION_STALE_MS.plus(self.standby_reader_delay());
        self.confirmed_at.map(|it| it.plus(stale_after))
    }

    /// Returns how much longer than others this balancer waits until it takes over from failed store
    /// readers. In a large fleet a few take over first, so that not all call the store at once.
    fn standby_reader_delay(&self) -> Millis {
        if self.peers.is_small_fleet() {
            return Millis::new(0);
        }
        let step = (self.reader_rank / STANDBY_READERS) as u64;
        Millis::new((step * STANDBY_READERS_STEP_MS).min(STANDBY_READERS_DELAY_MAX_MS))
    }
}
