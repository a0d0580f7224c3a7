//! Finds out that the process was paused, before it acts on time-bound facts.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use timeline::Event;
use units::Millis;

use crate::{dissemination::SpreadMsg, shared::Shared};

/// Beats in the time that counts as a pause.
const BEATS_PER_PAUSE: u64 = 5;

/// Tells a pause of the process from beats that come late.
///
/// Facts are fresh from the first beat on, until a beat is late; then not until a confirmation that
/// began after the late beat.
#[derive(Debug)]
pub struct PauseDetector {
    pause: Millis,
    last_beat_ms: AtomicU64,
    /// Pauses found.
    pauses: AtomicU64,
    /// Pauses whose facts were confirmed since; at most `pauses`.
    confirmed: AtomicU64,
}

impl PauseDetector {
    /// Takes a beat later than `pause` as the end of a pause.
    #[must_use]
    pub const fn new(pause: Millis, now: Millis) -> Self {
        Self {
            pause,
            last_beat_ms: AtomicU64::new(now.get()),
            pauses: AtomicU64::new(0),
            confirmed: AtomicU64::new(0),
        }
    }

    /// Notes a beat and returns the length of the pause that it ends, if it ends one.
    pub fn tick(&self, now: Millis) -> Option<Millis> {
        let last = self.last_beat_ms.swap(now.get(), Ordering::SeqCst);
        let silent = now.since(Millis::new(last));
        if silent <= self.pause {
            return None;
        }
        self.pauses.fetch_add(1, Ordering::SeqCst);
        Some(silent)
    }

    /// Returns how many pauses were found, to hand to [`Self::confirm`] later.
    #[must_use]
    pub fn pause_count(&self) -> u64 {
        self.pauses.load(Ordering::SeqCst)
    }

    /// Notes that facts were confirmed with peers after `pauses` pauses had been found.
    pub fn confirm(&self, pauses: u64) {
        self.confirmed.fetch_max(pauses, Ordering::SeqCst);
    }

    /// Returns whether time-bound facts may be acted on.
    ///
    /// False as soon as the process runs again, also before the late beat was noted.
    #[must_use]
    pub fn is_fresh(&self, now: Millis) -> bool {
        let last = Millis::new(self.last_beat_ms.load(Ordering::SeqCst));
        now.since(last) <= self.pause && self.confirmed.load(Ordering::SeqCst) == self.pause_count()
    }
}

/// Beats, and has peers asked after a pause.
#[derive(Debug)]
pub(crate) struct Freshness;

#[derive(Debug)]
pub(crate) struct FreshnessState {
    shared: Arc<Shared>,
    spread: ActorRef<SpreadMsg>,
}

/// The one message of the actor.
#[derive(Debug)]
pub(crate) struct Beat;

impl Actor for Freshness {
    type Msg = Beat;
    type State = FreshnessState;
    type Arguments = FreshnessState;

    async fn pre_start(
        &self,
        myself: ActorRef<Beat>,
        args: FreshnessState,
    ) -> Result<FreshnessState, ActorProcessingErr> {
        let interval = args.shared.timing.pause_threshold_ms.get() / BEATS_PER_PAUSE;
        myself.send_interval(Millis::new(interval.max(1)).to_duration(), || Beat);
        Ok(args)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Beat>,
        _beat: Beat,
        state: &mut FreshnessState,
    ) -> Result<(), ActorProcessingErr> {
        let shared = &state.shared;
        let Some(for_ms) = shared.pauses.tick(shared.now()) else {
            return Ok(());
        };
        shared.counters.increment("process.paused");
        shared.recorder.record(Event::Paused { for_ms });
        log::warn!("the process was paused for {for_ms}; asking peers before going on");
        let pauses = shared.pauses.pause_count();
        state.spread.cast(SpreadMsg::Confirm { pauses })?;
        Ok(())
    }
}

impl FreshnessState {
    pub(crate) const fn new(shared: Arc<Shared>, spread: ActorRef<SpreadMsg>) -> Self {
        Self { shared, spread }
    }
}
