//! When an opening without an answer is offered to a second endpoint, and how often.
//!
//! This answers single slow openings: an agent that waits for CPU time, a chain of full candidates,
//! a queue on one link. It is no answer to load, to which each extra opening adds.

use units::{BasisPoints, Millis};

use crate::EndpointLoad;

/// Share of openings, in percent, whose wait is at most the delay of an extra opening.
pub const DELAY_QUANTILE_PERCENT: u32 = 95;

/// Shortest delay of an extra opening.
///
/// An opening takes two to three milliseconds within a zone. A shorter delay would repeat openings
/// whose answers are on their way.
const DELAY_MIN: Millis = Millis::new(5);

/// Number of waits below which the delay is unknown: too few to tell a high quantile.
const WAITS_MIN: u32 = 100;

/// Number of waits at which all counts are halved, so that the quantile follows the last thousands of
/// openings.
const WAITS_MAX: u32 = 4_096;

/// Waits of this many milliseconds and more are counted together.
const WAIT_CEILING_MS: usize = 100;

/// Mean share of busy slots, in thousandths, from which a service counts as busy.
///
/// Above two thirds, the second endpoint is itself likely to be full, and waiting is caused by load.
const BUSY: u16 = 667;

/// Number of slices of the time for which the budget is kept, and the duration of one.
const BUDGET_SLICES: usize = 10;
const BUDGET_SLICE_MS: u64 = 1_000;

/// Why an opening that waits is not offered to a second endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExtraRefusal {
    /// The service's endpoints are busy, or their loads are unknown.
    Busy,
    /// The share of extra openings that the operator allows is spent.
    NoBudget,
}

/// Permission for one extra opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExtraGrant {
    /// Number of further extra openings that the budget has room for now.
    pub budget_left: u64,
}

/// A balancer's decisions on extra openings.
///
/// Each balancer keeps its own record and budget. As each spends at most the allowed share of the
/// openings that it placed, the fleet does, too.
#[derive(Debug, Clone)]
pub struct ExtraOpenings {
    /// Largest allowed number of extra openings as a share of all openings; zero turns them off.
    share: BasisPoints,
    waits: WaitRecord,
    budget: SlidingBudget,
}

impl ExtraOpenings {
    /// Creates decisions that allow no extra openings.
    #[must_use]
    pub fn new() -> Self {
        Self {
            share: BasisPoints::default(),
            waits: WaitRecord::new(),
            budget: SlidingBudget::default(),
        }
    }

    /// Changes the allowed share of extra openings.
    pub const fn set_share(&mut self, share: BasisPoints) {
        self.share = share;
    }

    /// Records an opening that was placed for the first time.
    pub fn record_opening(&mut self, now: Millis) {
        self.budget.current_slice(now).placed += 1;
    }

    /// Records the time that an opening waited for its answer.
    pub fn record_wait(&mut self, wait: Millis) {
        self.waits.record(wait);
    }

    /// Returns the time after which an opening without an answer is offered to a second endpoint, or
    /// `None` if extra openings are off or too few waits are known.
    #[must_use]
    pub fn delay(&self) -> Option<Millis> {
        if self.share.get() == 0 {
            return None;
        }
        self.waits.quantile().map(|it| it.max(DELAY_MIN))
    }

    /// Decides on an extra opening at a service whose endpoints have the mean load `load`, and spends
    /// the budget if it is granted.
    ///
    /// Load comes first: where it is the cause of the wait, an extra opening makes other openings
    /// wait longer.
    ///
    /// # Errors
    ///
    /// Returns why the opening is not offered to a second endpoint.
    pub fn request_extra(
        &mut self,
        now: Millis,
        load: Option<EndpointLoad>,
    ) -> Result<ExtraGrant, ExtraRefusal> {
        if load.is_none_or(|it| it.working.saturating_add(it.idle) >= BUSY) {
            return Err(ExtraRefusal::Busy);
        }
        let allowed = self.budget.placed(now) * u64::from(self.share.get()) / 10_000;
        let spent = self.budget.spent(now);
        if spent >= allowed {
            return Err(ExtraRefusal::NoBudget);
        }
        self.budget.current_slice(now).spent += 1;
        Ok(ExtraGrant {
            budget_left: allowed - spent - 1,
        })
    }
}

impl Default for ExtraOpenings {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts of the latest openings by their wait.
#[derive(Debug, Clone)]
struct WaitRecord {
    /// Counts by whole milliseconds; the last one has no upper bound.
    counts: Vec<u32>,
    /// Invariant: `total` is the sum of `counts`.
    total: u32,
}

impl WaitRecord {
    fn new() -> Self {
        Self {
            counts: vec![0; WAIT_CEILING_MS + 1],
            total: 0,
        }
    }

    fn record(&mut self, wait: Millis) {
        let idx = usize::try_from(wait.get()).unwrap_or(usize::MAX);
        self.counts[idx.min(WAIT_CEILING_MS)] += 1;
        self.total += 1;
        if self.total >= WAITS_MAX {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
    }

    fn quantile(&self) -> Option<Millis> {
        if self.total < WAITS_MIN {
            return None;
        }
        let rank = (self.total * DELAY_QUANTILE_PERCENT).div_ceil(100);
        let mut below = 0;
        let wait = self.counts.iter().position(|it| {
            below += it;
            below >= rank
        });
        wait.and_then(|it| u64::try_from(it).ok()).map(Millis::new)
    }
}

/// Openings within one slice of time.
#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    /// Number of the slice since the clock's zero.
    number: u64,
    placed: u64,
    spent: u64,
}

/// Openings placed and extra openings spent within the last `BUDGET_SLICES` slices.
#[derive(Debug, Clone, Default)]
struct SlidingBudget {
    /// The slice with the number `n` is at `n % BUDGET_SLICES`, unless an older one still is.
    slices: [Slice; BUDGET_SLICES],
}

impl SlidingBudget {
    fn current_slice(&mut self, now: Millis) -> &mut Slice {
        let number = now.get() / BUDGET_SLICE_MS;
        let slice = &mut self.slices[usize::try_from(number).unwrap_or(0) % BUDGET_SLICES];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = &Slice> {
        let number = now.get() / BUDGET_SLICE_MS;
        let is_recent = move |it: &&Slice| it.number + BUDGET_SLICES as u64 > number;
        self.slices.iter().filter(is_recent)
    }

    fn placed(&self, now: Millis) -> u64 {
        self.recent(now).map(|it| it.placed).sum()
    }

    fn spent(&self, now: Millis) -> u64 {
        self.recent(now).map(|it| it.spent).sum()
    }
}
