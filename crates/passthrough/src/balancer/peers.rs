//! Tracks the other balancers by their status digests.
//!
//! In a small fleet every balancer sends its digest to every other one. In a large fleet each digest
//! goes to a few balancers and carries the ages of what its sender knows about some others, so that
//! the bytes of a balancer don't grow with the fleet. An age only grows on its way, so news of a
//! balancer that is gone can't be mistaken for a sign of life, whatever is reordered or repeated.

use std::{cmp::Reverse, net::Ipv4Addr};

use units::Millis;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    Event, Outbox, ZoneKey,
    clock_echo::{ClockEcho, HeardStamp},
    message::{Member, PeerStatus},
};

/// Maximum number of known balancers. Further ones are ignored and counted.
const PEERS_MAX: usize = 1_024;

/// Maximum number of known balancers in a small fleet.
pub(crate) const SMALL_FLEET_MAX: usize = 24;

/// Time without a status digest after which a balancer of a small fleet counts as lost: three
/// digest intervals.
const PEER_TIMEOUT_MS: Millis = Millis::new(1_600);

/// Additional time until a balancer counts as lost, for each known balancer of a large fleet.
///
/// A balancer's digests bring news of twenty others in each of some ten datagrams a second. The
/// time after which everybody has heard of everybody grows with the number of balancers.
const PEER_TIMEOUT_PER_PEER_MS: u64 = 60;

/// Time for which a balancer is remembered after it counts as lost.
const PEER_RETENTION_MS: Millis = Millis::new(18_400);

/// Minimum ratio of link capacities at which a balancer stands by for a balancer with a faster
/// link.
///
/// With half as many instances in rotation, each instance carries twice the traffic; another factor
/// of two leaves headroom for load peaks.
const NARROW_LINK_RATIO: u32 = 4;

/// Number of relays in an availability zone. With two relays, the loss of one has no effect.
const RELAYS_PER_ZONE: usize = 2;

/// Number of balancers of the own zone that get a regular digest in a large fleet.
const NEAR_PARTNERS: usize = 4;

/// Number of balancers of other zones that get a regular digest in a large fleet.
const FAR_PARTNERS: usize = 2;

/// Number of balancers without a known status that get a regular digest in a large fleet.
const UNHEARD_PARTNERS: usize = 2;

/// Number of members in a digest of a small fleet, whose balancers hear each other directly.
const MEMBERS_IN_SMALL_FLEET: usize = 8;

/// Number of members in a digest of a large fleet.
const MEMBERS_IN_LARGE_FLEET: usize = 20;

/// Time for which a changed status goes before others in the digests of a large fleet.
const STATUS_NEWS_MS: Millis = Millis::new(3_000);

/// Difference in age within which two statuses count as equally fresh.
const FRESHNESS_STEP_MS: Millis = Millis::new(500);

#[derive(Debug, Clone, Copy)]
struct Peer {
    address: Ipv4Addr,
    /// Time at which the balancer sent its latest known status, or `None` if none is known.
    last_heard_at: Option<Millis>,
    added_at: Millis,
    is_lost: bool,
    status: PeerStatus,
    /// Time of the latest change of `status`.
    status_changed_at: Millis,
    /// The latest stamp of the balancer's clock, which messages to it echo.
    stamp: Option<HeardStamp>,
}

impl Peer {
    const fn is_silent(&self, now: Millis, timeout: Millis) -> bool {
        match self.last_heard_at {
            Some(at) => now.since(at).get() > timeout.get(),
            None => true,
        }
    }
}

/// The other balancers that this balancer knows of.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Known balancers, sorted by address; at most `PEERS_MAX`.
    known: Vec<Peer>,
    /// Number of digest rounds, which varies the choice of partners and members.
    rounds: u64,
    /// Number of balancers that were ignored because `PEERS_MAX` were known.
    ignored: u64,
}

/// A balancer with what decides its rank as a store reader or relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ranked {
    address: Ipv4Addr,
    zone: ZoneKey,
}

impl Peers {
    /// Returns the number of digest rounds so far, which varies what digests list.
    pub(crate) fn round_count(&self) -> usize {
        usize::try_from(self.rounds).unwrap_or(0)
    }

    /// Adds a balancer that may be running, unless it is known already.
    pub(crate) fn add_peer(&mut self, address: Ipv4Addr, now: Millis) {
        let Err(idx) = self.find_peer(address) else {
            return;
        };
        if self.known.len() >= PEERS_MAX {
            self.ignored += 1;
            return;
        }
        let peer = Peer {
            address,
            last_heard_at: None,
            added_at: now,
            is_lost: true,
            status: PeerStatus::default(),
            status_changed_at: now,
            stamp: None,
        };
        self.known.insert(idx, peer);
    }

    /// Records a status that the balancer at `address` sent at `heard_at`.
    pub(crate) fn record_status(
        &mut self,
        now: Millis,
        address: Ipv4Addr,
        heard_at: Millis,
        status: PeerStatus,
        out: &mut impl Outbox,
    ) {
        self.add_peer(address, now);
        let timeout = self.timeout();
        let Ok(idx) = self.find_peer(address) else {
            return;
        };
        let peer = &mut self.known[idx];
        if peer.last_heard_at.is_some_and(|it| it >= heard_at) {
            return;
        }
        peer.last_heard_at = Some(heard_at);
        if peer.status != status {
            peer.status = status;
            peer.status_changed_at = now;
        }
        if peer.is_lost && !peer.is_silent(now, timeout) {
            peer.is_lost = false;
            peer.status_changed_at = now;
            out.report_event(Event::PeerFound { balancer: address });
        }
    }

    /// Records a stamp that came with a message of a balancer.
    pub(crate) fn record_stamp(&mut self, now: Millis, address: Ipv4Addr, stamp: u32) {
        let Ok(idx) = self.find_peer(address) else {
            return;
        };
        let heard = HeardStamp::new(stamp, now);
        let latest = &mut self.known[idx].stamp;
        if latest.is_none_or(|it| !heard.is_overtaken_by(it)) {
            *latest = Some(heard);
        }
    }

    /// Returns the echo for a message to a balancer.
    pub(crate) fn echo(&self, now: Millis, address: Ipv4Addr) -> Option<ClockEcho> {
        let idx = self.find_peer(address).ok()?;
        self.known[idx].stamp.and_then(|it| it.echo(now))
    }

    /// Records what another balancer's digest tells about a third one.
    ///
    /// In a small fleet only the third balancer's own digests count, since all send to all.
    pub(crate) fn record_member(&mut self, now: Millis, member: Member, out: &mut impl Outbox) {
        let address = member.address();
        match member.age() {
            Some(age) if !self.is_small_fleet() => {
                let is_expired = age > self.timeout().plus(PEER_RETENTION_MS);
                if age > now || (is_expired && self.find_peer(address).is_err()) {
                    return;
                }
                let heard_at = Millis::new(now.get() - age.get());
                self.record_status(now, address, heard_at, member.status(), out);
            }
            _ => self.add_peer(address, now),
        }
    }

    /// Leaves a time in which this balancer stood still out of the ages of all statuses.
    pub(crate) fn forgive_silence(&mut self, stalled: Millis) {
        for peer in &mut self.known {
            peer.last_heard_at = peer.last_heard_at.map(|at| at.plus(stalled));
            peer.added_at = peer.added_at.plus(stalled);
        }
    }

    /// Marks balancers without a recent status as lost, and removes those that have been lost for
    /// `PEER_RETENTION_MS`.
    pub(crate) fn remove_silent_peers(&mut self, now: Millis, out: &mut impl Outbox) {
        let timeout = self.timeout();
        for peer in &mut self.known {
            let silent = now.since(peer.last_heard_at.unwrap_or(peer.added_at));
            if !peer.is_lost && silent > timeout {
                peer.is_lost = true;
                out.report_event(Event::PeerLost {
                    balancer: peer.address,
                    silent_ms: silent.get(),
                });
            }
        }
        let retention = timeout.plus(PEER_RETENTION_MS);
        self.known
            .retain(|it| now.since(it.last_heard_at.unwrap_or(it.added_at)) <= retention);
    }

    /// Returns the number of known balancers.
    pub(crate) const fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns how many balancers were ignored because too many were known.
    pub(crate) const fn ignored_count(&self) -> u64 {
        self.ignored
    }

    /// Returns whether so few balancers are known that each sends its digests to all others.
    pub(crate) const fn is_small_fleet(&self) -> bool {
        self.known.len() <= SMALL_FLEET_MAX
    }

    /// Returns the addresses of all known balancers.
    pub(crate) fn peer_addresses(&self) -> Vec<Ipv4Addr> {
        self.known.iter().map(|it| it.address).collect()
    }

    /// Chooses the balancers that get this round's digest.
    pub(crate) fn choose_partners(&mut self, own: Ipv4Addr, zone: ZoneKey) -> Vec<Ipv4Addr> {
        self.rounds += 1;
        if self.is_small_fleet() {
            return self.peer_addresses();
        }
        // Every balancer goes through the others in an order of its own, so that each one is heard
        // of at regular intervals.
        let seed = xxh3_64(&own.octets());
        let mut order: Vec<&Peer> = self.known.iter().collect();
        order.sort_unstable_by_key(|it| xxh3_64_with_seed(&it.address.octets(), seed));
        let is_near = |it: &Peer| it.last_heard_at.is_some() && it.status.zone == zone;
        let is_far = |it: &Peer| it.last_heard_at.is_some() && it.status.zone != zone;
        let is_unheard = |it: &Peer| it.last_heard_at.is_none();
        let mut chosen = self.take_by_turns(&order, is_near, NEAR_PARTNERS);
        chosen.extend(self.take_by_turns(&order, is_far, FAR_PARTNERS));
        chosen.extend(self.take_by_turns(&order, is_unheard, UNHEARD_PARTNERS));
        chosen
    }

    /// Returns this round's `count` balancers of those in `order` that satisfy a condition.
    fn take_by_turns(
        &self,
        order: &[&Peer],
        condition: impl Fn(&Peer) -> bool,
        count: usize,
    ) -> Vec<Ipv4Addr> {
        let matching: Vec<Ipv4Addr> = order
            .iter()
            .filter(|it| condition(it))
            .map(|it| it.address)
            .collect();
        let turn = usize::try_from(self.rounds)
            .unwrap_or(0)
            .wrapping_mul(count);
        let start = turn % matching.len().max(1);
        matching
            .iter()
            .cycle()
            .skip(start)
            .take(count.min(matching.len()))
            .copied()
            .collect()
    }

    /// Chooses the members that a digest to `receiver` lists: those with a status that changed
    /// lately first, then those with the latest news of being alive.
    ///
    /// A balancer that is gone is thus listed ever more rarely, and news of one that lives reach
    /// everybody within a few rounds.
    pub(crate) fn choose_members(
        &self,
        now: Millis,
        own: Ipv4Addr,
        receiver: Ipv4Addr,
    ) -> Vec<Member> {
        let count = if self.is_small_fleet() {
            MEMBERS_IN_SMALL_FLEET
        } else {
            MEMBERS_IN_LARGE_FLEET
        };
        // Balancers that started together are in the same round, and must still list others.
        let seed = xxh3_64_with_seed(
            &receiver.octets(),
            xxh3_64_with_seed(&own.octets(), self.rounds),
        );
        let freshness = |it: &Peer| {
            it.last_heard_at
                .map_or(u64::MAX, |at| now.since(at).get() / FRESHNESS_STEP_MS.get())
        };
        let mut order: Vec<(bool, u64, u64, &Peer)> = self
            .known
            .iter()
            .filter(|it| it.address != receiver)
            .map(|it| {
                let is_old = now.since(it.status_changed_at) > STATUS_NEWS_MS;
                let draw = xxh3_64_with_seed(&it.address.octets(), seed);
                (is_old, freshness(it), draw, it)
            })
            .collect();
        // News get at most half of the places, so that the ages of all others keep spreading.
        order.sort_unstable_by_key(|it| (it.0, it.1, it.2));
        let news = order.iter().take_while(|it| !it.0).count();
        if news > count / 2 {
            order[count / 2..].sort_unstable_by_key(|it| (it.1, it.2));
        }
        order
            .iter()
            .take(count)
            .map(|(_, _, _, it)| {
                let age = it.last_heard_at.map(|at| now.since(at));
                Member::new(it.address, it.status, age)
            })
            .collect()
    }

    /// Returns the rank of this balancer, whose address is `own`, among the live balancers as a
    /// reader of the store. All balancers compute the same order.
    ///
    /// Wide links come first, and the first two readers are in different zones if there are any.
    pub(crate) fn store_reader_rank(
        &self,
        now: Millis,
        own: Ipv4Addr,
        status: PeerStatus,
    ) -> usize {
        let mut ranked = self.ranked_balancers(now, own, status);
        if let Some(first) = ranked.first().copied()
            && let Some(idx) = ranked.iter().position(|it| it.zone != first.zone)
        {
            ranked[1..=idx].rotate_right(1);
        }
        ranked
            .iter()
            .position(|it| it.address == own)
            .unwrap_or(ranked.len())
    }

    /// Returns the balancers that forward changes of the catalog to their own zone, without this
    /// balancer.
    pub(crate) fn relay_addresses(
        &self,
        now: Millis,
        own: Ipv4Addr,
        status: PeerStatus,
    ) -> Vec<Ipv4Addr> {
        let ranked = self.ranked_balancers(now, own, status);
        let is_relay = |idx: usize, it: &Ranked| {
            let before = ranked[..idx].iter().filter(|other| other.zone == it.zone);
            before.count() < RELAYS_PER_ZONE
        };
        ranked
            .iter()
            .enumerate()
            .filter(|(idx, it)| it.address != own && is_relay(*idx, it))
            .map(|it| it.1.address)
            .collect()
    }

    /// Returns whether this balancer forwards changes of the catalog to its zone.
    pub(crate) fn is_relay(&self, now: Millis, own: Ipv4Addr, status: PeerStatus) -> bool {
        let ranked = self.ranked_balancers(now, own, status);
        ranked
            .iter()
            .filter(|it| it.zone == status.zone)
            .take(RELAYS_PER_ZONE)
            .any(|it| it.address == own)
    }

    /// Returns whether a balancer is known to be in an availability zone.
    pub(crate) fn is_in_zone(&self, address: Ipv4Addr, zone: ZoneKey) -> bool {
        let known = self.find_peer(address).map(|it| &self.known[it]);
        known.is_ok_and(|it| it.last_heard_at.is_some() && it.status.zone == zone)
    }

    /// Returns the known balancers of an availability zone.
    pub(crate) fn addresses_in_zone(&self, zone: ZoneKey) -> Vec<Ipv4Addr> {
        self.known
            .iter()
            .filter(|it| it.last_heard_at.is_some() && it.status.zone == zone)
            .map(|it| it.address)
            .collect()
    }

    /// Returns whether balancers with much faster links make up at least half of the zone's
    /// balancers, so that this balancer can stand by.
    ///
    /// Routers distribute packets evenly over the instances in rotation as long as these are at
    /// least half of the zone, so a narrow link would receive more than it can carry.
    pub(crate) fn should_stand_by(&self, now: Millis, own: Ipv4Addr, status: PeerStatus) -> bool {
        let timeout = self.timeout();
        let in_zone = |it: &&Peer| it.last_heard_at.is_some() && it.status.zone == status.zone;
        let known = 1 + self.known.iter().filter(in_zone).count();
        let is_available = |it: &&Peer| {
            it.status.has_settings && !it.status.stopping && !it.is_silent(now, timeout)
        };
        let available = self.known.iter().filter(in_zone).filter(is_available);
        let mut links: Vec<_> = available
            .map(|it| (it.status.link_mbps, it.address))
            .collect();
        links.push((status.link_mbps, own));
        links.sort_unstable_by(|a, b| b.cmp(a));
        let half = known.div_ceil(2);
        let Some(slowest_needed) = links.get(half - 1) else {
            return false;
        };
        status.link_mbps.saturating_mul(NARROW_LINK_RATIO) <= slowest_needed.0
    }

    /// Returns the live balancers, this one included, in the order in which they take on duties:
    /// wide links first.
    fn ranked_balancers(&self, now: Millis, own: Ipv4Addr, status: PeerStatus) -> Vec<Ranked> {
        let timeout = self.timeout();
        let live = self
            .known
            .iter()
            .filter(|it| !it.status.stopping && !it.is_silent(now, timeout))
            .map(|it| (it.address, it.status));
        let mut all: Vec<(Ipv4Addr, PeerStatus)> = live.collect();
        all.push((own, status));
        all.sort_unstable_by_key(|it| (Reverse(it.1.link_mbps), xxh3_64(&it.0.octets()), it.0));
        all.into_iter()
            .map(|(address, status)| Ranked {
                address,
                zone: status.zone,
            })
            .collect()
    }

    /// Returns the time without news of a balancer after which it counts as lost.
    const fn timeout(&self) -> Millis {
        if self.is_small_fleet() {
            return PEER_TIMEOUT_MS;
        }
        let growth = PEER_TIMEOUT_PER_PEER_MS * self.known.len() as u64;
        PEER_TIMEOUT_MS.plus(Millis::new(growth))
    }

    fn find_peer(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.known.binary_search_by_key(&address, |it| it.address)
    }
}
