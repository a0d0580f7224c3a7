//! What was seen, and which promises were broken.

use std::{
    fmt::Write as _,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Time after the last disturbance from which bounds of time hold, by the users.
const SETTLED_AFTER: Duration = Duration::from_secs(4);

/// Counts, broken promises, and until when anything is disturbed.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) served: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) resets: AtomicU64,
    pub(crate) log_lines: AtomicU64,
    pub(crate) faults: AtomicU64,
    counted_served: AtomicU64,
    counted_failed: AtomicU64,
    counts: AtomicBool,
    broken: Mutex<Vec<String>>,
    disturbed_until: Mutex<Option<Instant>>,
}

impl Ledger {
    /// Records a broken promise.
    pub(crate) fn broken(&self, what: String) {
        lock(&self.broken).push(what);
    }

    /// Something is disturbed until `end`.
    pub(crate) fn disturb_until(&self, end: Instant) {
        let mut until = lock(&self.disturbed_until);
        *until = Some(until.map_or(end, |it| it.max(end)));
    }

    /// Returns whether nothing has been disturbed for so long that bounds of time hold.
    pub(crate) fn is_settled(&self) -> bool {
        lock(&self.disturbed_until).is_none_or(|it| it.elapsed() > SETTLED_AFTER)
    }

    /// Requests that begin from now on must be served.
    pub(crate) fn count_from_now(&self) {
        self.counts.store(true, Ordering::Relaxed);
    }

    pub(crate) fn stop_counting(&self) {
        self.counts.store(false, Ordering::Relaxed);
    }

    /// Returns whether a request that begins now must be served.
    pub(crate) fn is_counting(&self) -> bool {
        self.counts.load(Ordering::Relaxed)
    }

    /// Records the end of a request.
    pub(crate) fn ended(&self, served: bool, must_be_served: bool, what: &str) {
        let counter = if served { &self.served } else { &self.failed };
        counter.fetch_add(1, Ordering::Relaxed);
        if !must_be_served {
            return;
        }
        if served {
            self.counted_served.fetch_add(1, Ordering::Relaxed);
        } else {
            self.counted_failed.fetch_add(1, Ordering::Relaxed);
            self.broken(format!(
                "a request was not served in the calm at the end: {what}"
            ));
        }
    }

    pub(crate) fn is_clean(&self) -> bool {
        lock(&self.broken).is_empty() && self.counted_served.load(Ordering::Relaxed) > 0
    }

    /// Returns one line about the run, and one for each broken promise.
    pub(crate) fn report(&self, seed: u64) -> String {
        let load = |it: &AtomicU64| it.load(Ordering::Relaxed);
        let broken = lock(&self.broken);
        let mut text = format!(
            "{{\"soak\":{{\"seed\":{seed},\"faults\":{},\"served\":{},\"failed\":{},\"resets\":{},\
             \"calm_served\":{},\"calm_failed\":{},\"log_lines\":{},\"broken\":{}}}}}",
            load(&self.faults),
            load(&self.served),
            load(&self.failed),
            load(&self.resets),
            load(&self.counted_served),
            load(&self.counted_failed),
            load(&self.log_lines),
            broken.len(),
        );
        for what in broken.iter().take(8) {
            // Writing to a string never fails.
            let _infallible = write!(text, "\n  seed {seed}: {what}");
        }
        text
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
