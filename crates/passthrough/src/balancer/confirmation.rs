//! Adopts the store's confirmations that other balancers received.
//!
//! Invariant: a confirmation never counts as younger than the store's answer is. Its age when it was
//! sent is counted back from the earliest time at which the message can have been composed
//! ([`crate::clock_echo`]), not from the time of receipt. So a confirmation that lies at a slow link or
//! in the socket of a stopped process doesn't hide that the balancers that read the store are lost.
//! Catalogs take effect at once however long they were on their way.

use std::net::Ipv4Addr;

use units::{Millis, Revision};

use super::{Balancer, catalog_sync::DigestPurpose};
use crate::{
    Outbox, PacketFormat,
    clock_echo::{ClockMark, StampClock},
    message::Digest,
};

/// Minimum gain in age by which a confirmation is news for the balancers of the zone. The same answer
/// of the store arrives on several ways with slightly different bounds.
const NEWS_MIN_MS: Millis = Millis::new(100);

/// Minimum interval between two requests for a message with an echo, to any balancer.
const ECHO_REQUEST_INTERVAL_MS: Millis = Millis::new(50);

/// Interval between two confirmations above which a reader of the store tells a small fleet at once,
/// not with its next regular digest.
///
/// After a change the next confirmation comes 1.25 s later. With half a second until the next digest,
/// others would take the readers for lost.
const LATE_CONFIRMATION_MS: Millis = Millis::new(1_100);

/// The stamps by which messages are dated.
#[derive(Debug)]
pub(super) struct MessageClock {
    stamps: StampClock,
    next_echo_request: Millis,
}

impl MessageClock {
    pub(super) fn new(address: Ipv4Addr, now: Millis) -> Self {
        Self {
            stamps: StampClock::new(address, now),
            next_echo_request: now,
        }
    }

    pub(super) const fn stamps(&self) -> StampClock {
        self.stamps
    }
}

impl<F: PacketFormat> Balancer<F> {
    /// Returns what a message to `peer` carries so that the receiver can date it.
    pub(super) fn clock_mark(&self, now: Millis, peer: Ipv4Addr) -> ClockMark {
        ClockMark {
            stamp: self.message_clock.stamps().stamp(now),
            echo: self.peers.echo(now, peer),
        }
    }

    /// Returns whether other balancers may soon take the readers of the store for lost, unless they are
    /// told of the store's answer at `at`.
    pub(super) fn is_confirmation_awaited(&self, at: Millis) -> bool {
        self.confirmed_at
            .is_some_and(|it| at.since(it) >= LATE_CONFIRMATION_MS)
    }

    /// Records the store's answer, given at `at` or later, that the catalog in force is the newest.
    pub(super) fn record_confirmation(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the earliest time at which the store can have given a confirmation that another
    /// balancer sent, or `None` if the message doesn't confirm this balancer's catalog or can't be
    /// dated.
    pub(super) fn date_confirmation(
        &self,
        now: Millis,
        revision: Revision,
        age_ms: u32,
        mark: ClockMark,
    ) -> Option<Millis> {
        if revision != self.view.catalog().revision || age_ms == u32::MAX || self.is_era_left() {
            return None;
        }
        let age = Millis::new(u64::from(age_ms));
        self.message_clock
            .stamps()
            .happened_after(now, age, mark.echo)
    }

    /// Adopts a confirmation that another balancer received, if it is younger than the latest one.
    /// Returns whether it is news for other balancers.
    pub(super) fn adopt_confirmation(&mut self, at: Option<Millis>) -> bool {
        let Some(at) = at else {
            return false;
        };
        let Some(latest) = self.confirmed_at else {
            self.record_confirmation(at);
            return true;
        };
        if at <= latest {
            return false;
        }
        self.detect_store_recovery(at);
        self.record_confirmation(at);
        at.since(latest) >= NEWS_MIN_MS
    }

    /// Asks for a message that can be dated, if a digest can't and may bring a younger confirmation.
    pub(super) fn request_echo(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        digest: &Digest<'_>,
        out: &mut impl Outbox,
    ) {
        let own = self.view.catalog().revision.get();
        let claimed = now.since(Millis::new(u64::from(digest.confirmed_age_ms)));
        let is_news = self
            .confirmed_at
            .is_none_or(|it| claimed.since(it) >= NEWS_MIN_MS);
        if digest.revision != own || digest.confirmed_age_ms == u32::MAX || !is_news {
            return;
        }
        let stamps = self.message_clock.stamps();
        let is_datable = stamps.composed_after(now, digest.mark.echo).is_some();
        if is_datable || now < self.message_clock.next_echo_request {
            return;
        }
        self.message_clock.next_echo_request = now.plus(ECHO_REQUEST_INTERVAL_MS);
        self.send_digest(now, peer, DigestPurpose::EchoRequest, out);
    }
}
