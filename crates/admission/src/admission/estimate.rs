//! Estimates of waiting times, latest starts and stragglers from observed running times.

use bundle::RequestClass;
use units::Millis;

use super::{Admission, ROUTES_MAX, Refusal, running::Run};
use crate::running_time::RunningTimes;

/// Quantile of the observed running times that a request is expected not to exceed, in permille.
const RUN_BOUND_PERMILLE: u32 = 990;

/// Time kept free before a request's deadline for the end of the answer to travel to the caller.
const ANSWER_MARGIN_MS: Millis = Millis::new(10);

/// Multiple of its route's median running time above which a running short request is a straggler.
const STRAGGLER_MEDIANS: u64 = 4;

/// Shortest running time that makes a request a straggler; shorter times are within the noise of
/// the clock.
const STRAGGLER_MIN_MS: Millis = Millis::new(10);

/// Multiple of the median running time of all short work; a route whose median exceeds it counts as
/// long work.
const LONG_ROUTE_MEDIANS: u64 = 16;

/// Shortest delay before a retry that a refusal suggests to the caller.
const RETRY_AFTER_MIN_MS: Millis = Millis::new(100);
/// Longest delay before a retry that a refusal suggests to the caller.
const RETRY_AFTER_MAX_MS: Millis = Millis::new(30_000);

/// Delay before a retry that a draining endpoint suggests: none, as another endpoint can serve the
/// retry at once.
const RETRY_AFTER_DRAIN_MS: Millis = Millis::new(0);

impl Admission {
    /// Returns `Long` if the route's median running time is far above that of short work, and
    /// `class` otherwise.
    pub(super) fn observed_class(&self, class: RequestClass, route: u16) -> RequestClass {
        let route_ms = self.route_times(route).and_then(|it| it.quantile_ms(500));
        let short_ms = self.short_times.quantile_ms(500);
        let (Some(route_ms), Some(short_ms)) = (route_ms, short_ms) else {
            return class;
        };
        let bound_ms = scaled(short_ms, LONG_ROUTE_MEDIANS).max(STRAGGLER_MIN_MS);
        if route_ms > bound_ms {
            RequestClass::Long
        } else {
            class
        }
    }

    /// Returns the latest start time from which a request is expected to end before its deadline.
    pub(super) fn latest_start_ms(
        &self,
        route: u16,
        class: RequestClass,
        deadline_ms: Millis,
    ) -> Millis {
        let bound_ms = self.run_bound_ms(route, class).plus(ANSWER_MARGIN_MS);
        Millis::new(deadline_ms.get().saturating_sub(bound_ms.get()))
    }

    /// Returns how long a request with the given class and deadline is expected to wait for a slot.
    pub(super) fn expected_wait_ms(&self, class: RequestClass, deadline_ms: Millis) -> Millis {
        let list = match class {
            RequestClass::Short => &self.waiting_short,
            RequestClass::Long => &self.waiting_long,
        };
        let ahead = u64::try_from(list.count_ahead_of(deadline_ms)).unwrap_or(u64::MAX);
        let free = u64::from(self.free_slots(class));
        if ahead < free {
            return Millis::new(0);
        }
        let run_ms = self.mean_run_ms(class).get();
        let serving_slots = u64::from(self.serving_slots(class));
        let first_free_slot_ms = self.first_free_slot_ms(class).get();
        Millis::new(first_free_slot_ms.saturating_add(ahead.saturating_mul(run_ms) / serving_slots))
    }

    /// Returns the delay after which a retry of a refused request is more likely to succeed.
    pub(super) fn retry_after_ms(&self, class: RequestClass, refusal: Refusal) -> Millis {
        if refusal == Refusal::Draining {
            return RETRY_AFTER_DRAIN_MS;
        }
        self.expected_wait_ms(class, Millis::new(u64::MAX))
            .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    }

    /// Adds the running time of an answered request to the histograms of its route and class.
    pub(super) fn record_run(&mut self, run: Run, running_ms: Millis) {
        let idx = route_index(run.route);
        if self.routes.len() <= idx {
            self.routes.resize(idx + 1, RunningTimes::new());
        }
        self.routes[idx].record(running_ms);
        match run.class {
            RequestClass::Short => self.short_times.record(running_ms),
            RequestClass::Long => self.long_times.record(running_ms),
        }
    }

    /// Demotes running short requests that became stragglers, and returns how many were demoted.
    pub(super) fn demote_stragglers(&mut self) -> u64 {
        let mut demoted = 0;
        for idx in 0..self.running.items.len() {
            let run = self.running.items[idx];
            let is_due = self.demotion_ms(&run).is_some_and(|at| at <= self.now_ms);
            if is_due {
                self.running.items[idx].is_demoted = true;
                demoted += 1;
            }
        }
        demoted
    }

    /// Returns when the next running short request becomes a straggler.
    pub(super) fn next_demotion_ms(&self) -> Option<Millis> {
        self.running
            .items
            .iter()
            .filter_map(|it| self.demotion_ms(it))
            .min()
    }

    /// Returns when a running request becomes a straggler, or `None` if it is long, was already
    /// demoted or has a route with too few samples.
    fn demotion_ms(&self, run: &Run) -> Option<Millis> {
        if !run.is_short() {
            return None;
        }
        let median_ms = self.route_times(run.route)?.quantile_ms(500)?;
        let bound_ms = scaled(median_ms, STRAGGLER_MEDIANS).max(STRAGGLER_MIN_MS);
        Some(run.started_ms.plus(bound_ms))
    }

    /// Returns the running time that nearly all requests of a route stay below, stragglers
    /// excluded.
    ///
    /// Uses the samples of the class while the route has too few, and returns zero while the class
    /// has too few as well.
    fn run_bound_ms(&self, route: u16, class: RequestClass) -> Millis {
        let of_route = self
            .route_times(route)
            .filter(|it| it.quantile_ms(500).is_some());
        let observed = of_route.unwrap_or_else(|| self.class_times(class));
        let Some(median_ms) = observed.quantile_ms(500) else {
            return Millis::new(0);
        };
        let straggler_ms = scaled(median_ms, STRAGGLER_MEDIANS).max(STRAGGLER_MIN_MS);
        let bound_ms = observed
            .quantile_ms(RUN_BOUND_PERMILLE)
            .unwrap_or(median_ms);
        bound_ms.min(straggler_ms)
    }

    /// Returns the mean time that a request of a class holds its slot; zero while there are too few
    /// samples.
    fn mean_run_ms(&self, class: RequestClass) -> Millis {
        let observed = self.class_times(class);
        let cap_ms = observed.quantile_ms(RUN_BOUND_PERMILLE);
        cap_ms
            .and_then(|cap_ms| observed.mean_up_to_ms(cap_ms))
            .unwrap_or_default()
    }

    /// Returns the expected time until the first slot that a class may use becomes free.
    fn first_free_slot_ms(&self, class: RequestClass) -> Millis {
        let is_usable = |run: &&Run| class == RequestClass::Short || !run.is_short();
        let left_ms = |run: &Run| {
            let run_class = if run.is_short() {
                RequestClass::Short
            } else {
                RequestClass::Long
            };
            let run_ms = self.mean_run_ms(run_class).get();
            let passed_ms = self.now_ms.since(run.started_ms).get();
            // A request near or past the mean running time is assumed to need at least another
            // quarter of it.
            Millis::new(run_ms.saturating_sub(passed_ms).max(run_ms / 4))
        };
        let usable = self.running.items.iter().filter(is_usable);
        usable.map(left_ms).min().unwrap_or_default()
    }

    /// Returns how many slots serve the waiting requests of a class, at least 1.
    fn serving_slots(&self, class: RequestClass) -> u32 {
        let serving_slots = match class {
            RequestClass::Short => self
                .concurrency_limit()
                .saturating_sub(self.running.long_len()),
            RequestClass::Long => self.long_slots_max(),
        };
        serving_slots.max(1)
    }

    const fn class_times(&self, class: RequestClass) -> &RunningTimes {
        match class {
            RequestClass::Short => &self.short_times,
            RequestClass::Long => &self.long_times,
        }
    }

    fn route_times(&self, route: u16) -> Option<&RunningTimes> {
        self.routes.get(route_index(route))
    }
}

fn route_index(route: u16) -> usize {
    usize::from(route).min(ROUTES_MAX - 1)
}

fn scaled(base_ms: Millis, factor: u64) -> Millis {
    Millis::new(base_ms.get().saturating_mul(factor))
}
