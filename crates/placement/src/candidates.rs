//! How the list of candidates for an opening is divided among the availability zones.
//!
//! Each candidate decides by its current load whether it takes the opening or passes it on. The
//! reported loads, which are up to a second old, only decide whom the opening meets first.

use crate::{EndpointLoad, ZoneLoads};

/// Mean share of busy slots in the own zone, in thousandths, from which the list of candidates
/// holds as many endpoints of other zones as of the own zone.
///
/// At three quarters, four endpoints of two slots in a row are full for one opening in ten.
const CROWDED: u16 = 750;

/// Mean load of a service, in thousandths of its slots, below which long flows are left to the own
/// zone even if it holds more of them than others.
///
/// Crests of up to twice the ordinary rate then still find slots.
const ROOM_FOR_CRESTS: u32 = 500;

/// Factor by which the share of openings that start in another zone exceeds the own zone's excess
/// over the mean.
///
/// Requests on open flows can't be moved. Where they are two thirds of the work, moving a share of
/// all the work takes three times this share of the openings.
const OPENINGS_PER_EXCESS: u32 = 3;

/// How an opening's candidates are divided among the zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanKind {
    /// The own zone has room: its endpoints come first, and a few of other zones last.
    OwnZone,
    /// The own zone is crowded: its endpoints come first and take half the list.
    Shared,
    /// The own zone is more loaded than others, and this opening begins in another zone.
    Spilled,
}

/// The order in which an opening meets the zones, and how many endpoints of each zone it meets
/// before the rest of any zone.
#[derive(Debug, Clone)]
pub struct CandidatePlan {
    kind: PlanKind,
    own_zone: u64,
    /// Other zones, least loaded first; empty if their loads don't matter.
    others: Vec<u64>,
    /// Number of endpoints of the own zone before the rest of the list.
    own_quota: usize,
    /// Number of endpoints of each zone in `others` before the rest of the list.
    other_quota: usize,
}

impl CandidatePlan {
    /// Plans a list of `places` candidates for an opening that reached `own_zone`.
    ///
    /// `draw` is an evenly distributed number below 1,000, the same for each copy of the opening.
    ///
    /// The plan answers crests that come to one zone after the other: with more endpoints in a
    /// zone than places on the list, a list of the own zone alone would queue openings there while
    /// other zones have free slots. The share of openings that start elsewhere grows with the own
    /// zone's excess over the mean, so that balancers with the same reports don't all leave a zone
    /// at once.
    #[must_use]
    pub fn new(loads: &ZoneLoads, own_zone: u64, places: usize, draw: u16) -> Self {
        let own = loads.mean_of_zone(own_zone);
        let (Some(own), Some(mean)) = (own, loads.mean()) else {
            return Self::own_zone_first(own_zone, places);
        };
        let is_spilled = u32::from(draw) < spilled_thousandths(own, mean);
        if !is_spilled && own.working < CROWDED {
            return Self::own_zone_first(own_zone, places);
        }
        let mut others: Vec<u64> = loads.zones().filter(|it| *it != own_zone).collect();
        others.sort_by_key(|it| loads.mean_of_zone(*it).map(total));
        let own_quota = places / 2;
        Self {
            kind: if is_spilled {
                PlanKind::Spilled
            } else {
                PlanKind::Shared
            },
            own_zone,
            own_quota,
            other_quota: (places - own_quota).div_ceil(others.len().max(1)),
            others,
        }
    }

    /// Plans a list that ends with one endpoint in four of another zone.
    ///
    /// These answer a crest that is too young for the reports to show it.
    const fn own_zone_first(own_zone: u64, places: usize) -> Self {
        Self {
            kind: PlanKind::OwnZone,
            own_zone,
            others: Vec::new(),
            own_quota: places - places / 4,
            other_quota: places / 4,
        }
    }

    /// Returns how the candidates are divided.
    #[must_use]
    pub const fn kind(&self) -> PlanKind {
        self.kind
    }

    /// Sorts endpoints into the planned order; endpoints of one zone keep their order.
    ///
    /// Endpoints are only moved among those with the same `rank`.
    pub fn sort_endpoints<T: Copy, R: Ord>(
        &self,
        endpoints: &mut [T],
        zone_of: impl Fn(&T) -> u64,
        rank_of: impl Fn(&T) -> R,
    ) {
        endpoints.sort_by_cached_key(|it| (rank_of(it), self.zone_position(zone_of(it))));
        // The first endpoints of each zone come before those over the zone's quota.
        let mut over_quota = Vec::new();
        for ranked in endpoints.chunk_by_mut(|a, b| rank_of(a) == rank_of(b)) {
            let (mut begin, mut end) = (0, 0);
            for idx in 0..ranked.len() {
                let position = self.zone_position(zone_of(&ranked[idx]));
                if idx > 0 && position != self.zone_position(zone_of(&ranked[idx - 1])) {
                    begin = idx;
                }
                if idx - begin < self.quota_at(position) {
                    ranked[end] = ranked[idx];
                    end += 1;
                } else {
                    over_quota.push(ranked[idx]);
                }
            }
            ranked[end..].copy_from_slice(&over_quota);
            over_quota.clear();
        }
    }

    /// Returns how many endpoints of the zone at a position come before the rest of any zone.
    const fn quota_at(&self, position: usize) -> usize {
        if position == self.own_position() {
            self.own_quota
        } else {
            self.other_quota
        }
    }

    const fn own_position(&self) -> usize {
        match self.kind {
            PlanKind::Spilled => self.others.len(),
            PlanKind::OwnZone | PlanKind::Shared => 0,
        }
    }

    /// Returns the position of a zone in the order in which the opening meets the zones.
    fn zone_position(&self, zone: u64) -> usize {
        if zone == self.own_zone {
            return self.own_position();
        }
        let known = self.others.iter().position(|it| *it == zone);
        match self.kind {
            PlanKind::Spilled => known.unwrap_or(self.others.len() + 1),
            PlanKind::OwnZone | PlanKind::Shared => known.unwrap_or(self.others.len()) + 1,
        }
    }
}

/// Returns the share of openings that start in another zone, in thousandths.
fn spilled_thousandths(own: EndpointLoad, mean: EndpointLoad) -> u32 {
    let excess = |own: u16, mean: u16| {
        let excess = u32::from(own.saturating_sub(mean)) * 1_000 / u32::from(own.max(1));
        (excess * OPENINGS_PER_EXCESS).min(1_000)
    };
    let of_requests = if own.working < CROWDED {
        0
    } else {
        excess(own.working, mean.working)
    };
    let of_flows = if total(mean) < ROOM_FOR_CRESTS {
        0
    } else {
        excess(own.idle, mean.idle)
    };
    of_requests.max(of_flows)
}

fn total(load: EndpointLoad) -> u32 {
    u32::from(load.working) + u32::from(load.idle)
}
