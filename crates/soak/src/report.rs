//! Report of a soak run: counts of requests, faults and resets, and the violated invariants.

use std::{
    fmt::Write as _,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Time after the last fault from which time bounds apply, as required by the users.
const TIME_BOUNDS_APPLY_AFTER: Duration = Duration::from_secs(4);

/// Counts, violated invariants and the end of the latest fault of a soak run.
#[derive(Debug, Default)]
pub(crate) struct RunReport {
    pub(crate) served: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) resets: AtomicU64,
    pub(crate) log_lines: AtomicU64,
    pub(crate) faults: AtomicU64,
    /// Number of times that the store came back from an older copy.
    pub(crate) store_returns: AtomicU64,
    fault_free_served: AtomicU64,
    fault_free_failed: AtomicU64,
    is_fault_free_phase: AtomicBool,
    violations: Mutex<Vec<String>>,
    faults_end: Mutex<Option<Instant>>,
}

impl RunReport {
    /// Records a violated invariant, described by `what`.
    pub(crate) fn record_violation(&self, what: String) {
        lock(&self.violations).push(what);
    }

    /// Records that a fault lasts until `end`.
    pub(crate) fn extend_fault_time(&self, end: Instant) {
        let mut until = lock(&self.faults_end);
        *until = Some(until.map_or(end, |it| it.max(end)));
    }

    /// Returns whether the last fault ended long enough ago that time bounds apply again.
    pub(crate) fn time_bounds_apply(&self) -> bool {
        lock(&self.faults_end).is_none_or(|it| it.elapsed() > TIME_BOUNDS_APPLY_AFTER)
    }

    /// Begins the fault-free phase, in which every new request must be served.
    pub(crate) fn begin_fault_free_phase(&self) {
        self.is_fault_free_phase.store(true, Ordering::Relaxed);
    }

    pub(crate) fn end_fault_free_phase(&self) {
        self.is_fault_free_phase.store(false, Ordering::Relaxed);
    }

    /// Returns whether the fault-free phase lasts, in which every new request must be served.
    pub(crate) fn is_fault_free_phase(&self) -> bool {
        self.is_fault_free_phase.load(Ordering::Relaxed)
    }

    /// Counts a request as served or failed. A failed request that had to be served is a violation.
    pub(crate) fn record_request(&self, served: bool, must_be_served: bool, what: &str) {
        let counter = if served { &self.served } else { &self.failed };
        counter.fetch_add(1, Ordering::Relaxed);
        if !must_be_served {
            return;
        }
        if served {
            self.fault_free_served.fetch_add(1, Ordering::Relaxed);
        } else {
            self.fault_free_failed.fetch_add(1, Ordering::Relaxed);
            self.record_violation(format!(
                "a request was not served in the fault-free phase at the end: {what}"
            ));
        }
    }

    pub(crate) fn has_passed(&self) -> bool {
        lock(&self.violations).is_empty() && self.fault_free_served.load(Ordering::Relaxed) > 0
    }

    /// Formats the run's JSON line, followed by a line for each of the first eight violations.
    pub(crate) fn format_summary(&self, seed: u64) -> String {
        let load = |it: &AtomicU64| it.load(Ordering::Relaxed);
        let violations = lock(&self.violations);
        let mut text = format!(
            "{{\"soak\":{{\"seed\":{seed},\"faults\":{},\"store_returns\":{},\"served\":{},\"failed\":{},\"resets\":{},\
             \"calm_served\":{},\"calm_failed\":{},\"log_lines\":{},\"broken\":{}}}}}",
            load(&self.faults),
            load(&self.store_returns),
            load(&self.served),
            load(&self.failed),
            load(&self.resets),
            load(&self.fault_free_served),
            load(&self.fault_free_failed),
            load(&self.log_lines),
            violations.len(),
        );
        for what in violations.iter().take(8) {
            // Writing to a string never fails.
            let _infallible = write!(text, "\n  seed {seed}: {what}");
        }
        text
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
