//! Detects that the process was paused, so that it does not act on state that has expired in the
//! meantime.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use timeline::Event;
use units::Millis;

use crate::{dissemination::DisseminatorMsg, shared::SharedState};

/// Number of the pause detector's ticks within the pause threshold.
const TICKS_PER_THRESHOLD: u64 = 5;

/// Detects pauses of the process from late ticks.
///
/// After a late tick, state that expires is not fresh until peers have confirmed it in exchanges
/// that began after that tick.
#[derive(Debug)]
pub struct PauseDetector {
    threshold: Millis,
    last_tick_ms: AtomicU64,
    /// Number of pauses of the process detected.
    pauses: AtomicU64,
    /// Number of pauses after which peers have confirmed the state; at most `pauses`.
    confirmed: AtomicU64,
}

impl PauseDetector {
    /// Creates a detector that reports a pause when ticks are more than `threshold` apart.
    #[must_use]
    pub const fn new(threshold: Millis, now: Millis) -> Self {
        Self {
            threshold,
            last_tick_ms: AtomicU64::new(now.get()),
            pauses: AtomicU64::new(0),
            confirmed: AtomicU64::new(0),
        }
    }

    /// Records a tick of the pause detector; returns the length of the pause if the tick is late.
    pub fn record_tick(&self, now: Millis) -> Option<Millis> {
        let last = self.last_tick_ms.swap(now.get(), Ordering::SeqCst);
        let elapsed = now.since(Millis::new(last));
        if elapsed <= self.threshold {
            return None;
        }
        self.pauses.fetch_add(1, Ordering::SeqCst);
        Some(elapsed)
    }

    /// Returns the number of pauses of the process, to be passed to [`Self::confirm_state`] later.
    #[must_use]
    pub fn pause_count(&self) -> u64 {
        self.pauses.load(Ordering::SeqCst)
    }

    /// Records that peers confirmed the state in exchanges that began after `pauses` pauses.
    pub fn confirm_state(&self, pauses: u64) {
        self.confirmed.fetch_max(pauses, Ordering::SeqCst);
    }

    /// Returns whether state that expires may be acted on.
    ///
    /// After a pause the result is false as soon as the process runs, even before the late tick is
    /// recorded.
    #[must_use]
    pub fn is_state_fresh(&self, now: Millis) -> bool {
        let last = Millis::new(self.last_tick_ms.load(Ordering::SeqCst));
        now.since(last) <= self.threshold
            && self.confirmed.load(Ordering::SeqCst) == self.pause_count()
    }
}

/// Actor that ticks the pause detector and starts a confirmation with peers after a pause.
#[derive(Debug)]
pub(crate) struct PauseMonitor;

#[derive(Debug)]
pub(crate) struct PauseMonitorState {
    shared: Arc<SharedState>,
    disseminator: ActorRef<DisseminatorMsg>,
}

/// Message that the pause monitor sends itself at a fixed interval.
#[derive(Debug)]
pub(crate) struct Tick;

impl Actor for PauseMonitor {
    type Msg = Tick;
    type State = PauseMonitorState;
    type Arguments = PauseMonitorState;

    async fn pre_start(
        &self,
        myself: ActorRef<Tick>,
        args: PauseMonitorState,
    ) -> Result<PauseMonitorState, ActorProcessingErr> {
        let interval = args.shared.timing.pause_threshold_ms.get() / TICKS_PER_THRESHOLD;
        myself.send_interval(Millis::new(interval.max(1)).to_duration(), || Tick);
        Ok(args)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Tick>,
        _tick: Tick,
        state: &mut PauseMonitorState,
    ) -> Result<(), ActorProcessingErr> {
        let shared = &state.shared;
        let Some(for_ms) = shared.pause_detector.record_tick(shared.now()) else {
            return Ok(());
        };
        shared.counters.increment("process.paused");
        shared.recorder.record(Event::Paused { for_ms });
        log::warn!("the process was paused for {for_ms}; confirming its state with peers");
        let pauses = shared.pause_detector.pause_count();
        state
            .disseminator
            .cast(DisseminatorMsg::ConfirmAfterPause { pauses })?;
        Ok(())
    }
}

impl PauseMonitorState {
    pub(crate) const fn new(
        shared: Arc<SharedState>,
        disseminator: ActorRef<DisseminatorMsg>,
    ) -> Self {
        Self {
            shared,
            disseminator,
        }
    }
}
