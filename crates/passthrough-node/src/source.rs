//! Where the list of endpoints and routes comes from.

use std::{fmt::Display, time::Duration};

use passthrough::Catalog;
use serde::Serialize;
use tokio::sync::{mpsc, watch};
use units::{Millis, Revision};

use crate::{EventLog, clock, event_log::LineKind};

/// Time that one watch waits for a change; each answer confirms the list in force.
const WATCH_WAIT_MS: Millis = Millis::new(1_000);

/// Pause after a change, so that changes in quick succession come together.
///
/// A tenth of the three seconds within which a change has to hold.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);

/// Pause after the first failed call.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(60);

/// Longest pause after failed calls; a store that is back is found within it.
///
/// A quarter of the three seconds within which a change has to hold.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(750);

/// Longest pause after failed calls of a process that has not read anything yet and so serves nobody.
const FIRST_RETRY_PAUSE_MAX: Duration = Duration::from_millis(150);

/// A source of catalogs that can be read and watched.
pub trait CatalogSource: Send + 'static {
    /// Why a call failed.
    type Error: Display + Send;
    /// An item that could not be used.
    type SkippedItem: Display + Send;

    /// Reads everything the first time, then waits for a change; `None` if none came in time.
    ///
    /// # Errors
    ///
    /// Says why the source could not be read; the next call tries again.
    fn next_catalog(
        &mut self,
        wait: Millis,
    ) -> impl Future<Output = Result<Option<Catalog>, Self::Error>> + Send;

    /// Asks whether anything newer than `revision` exists, without waiting.
    ///
    /// # Errors
    ///
    /// Says why the source could not be asked.
    fn is_newest(
        &mut self,
        revision: Revision,
    ) -> impl Future<Output = Result<bool, Self::Error>> + Send;

    /// Takes the items that could not be used since the last call.
    fn take_skipped(&mut self) -> Vec<Self::SkippedItem>;

    /// Returns the calls made so far.
    fn call_count(&self) -> u64;
}

/// What the reader learned.
#[derive(Debug)]
pub(crate) struct Reading {
    /// A changed list, none if the source confirmed the last one.
    pub(crate) catalog: Option<Catalog>,
    /// Calls made so far.
    pub(crate) calls: u64,
}

/// The source's word that nothing newer existed.
#[derive(Debug)]
pub(crate) struct Confirmation {
    /// When the source was asked.
    pub(crate) asked_at: Millis,
    pub(crate) revision: Revision,
}

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum SourceEvent<'a> {
    StoreLost { cause: &'a str },
    StoreRegained { failed_calls: u32 },
    ItemSkipped { cause: &'a str },
    ConfirmationFailed { cause: &'a str },
}

/// Reads the source while `on_duty` says so, and hands on what it learned.
pub(crate) async fn read<S: CatalogSource>(
    mut source: S,
    mut on_duty: watch::Receiver<bool>,
    readings: mpsc::Sender<Reading>,
    log: EventLog,
) {
    let mut failed_calls = 0;
    let mut longest_pause = FIRST_RETRY_PAUSE_MAX;
    while on_duty.wait_for(|it| *it).await.is_ok() {
        let result = source.next_catalog(WATCH_WAIT_MS).await;
        for skipped in source.take_skipped() {
            let cause = skipped.to_string();
            log.write(
                LineKind::StateChange,
                &SourceEvent::ItemSkipped { cause: &cause },
            );
        }
        match result {
            Ok(catalog) => {
                longest_pause = RETRY_PAUSE_MAX;
                if failed_calls > 0 {
                    log.write(
                        LineKind::StateChange,
                        &SourceEvent::StoreRegained { failed_calls },
                    );
                    failed_calls = 0;
                }
                let changed = catalog.is_some();
                let calls = source.call_count();
                if readings.send(Reading { catalog, calls }).await.is_err() {
                    return;
                }
                if changed {
                    tokio::time::sleep(CHANGE_PAUSE).await;
                }
            }
            Err(err) => {
                if failed_calls == 0 {
                    let cause = err.to_string();
                    log.write(
                        LineKind::StateChange,
                        &SourceEvent::StoreLost { cause: &cause },
                    );
                }
                let pause = RETRY_PAUSE_MIN * 2_u32.saturating_pow(failed_calls.min(8));
                failed_calls += 1;
                tokio::time::sleep(pause.min(longest_pause)).await;
            }
        }
    }
}

/// Answers questions whether a revision is the newest; a source that fails gives no answer.
pub(crate) async fn confirm<S: CatalogSource>(
    mut source: S,
    mut questions: mpsc::Receiver<Revision>,
    answers: mpsc::Sender<Confirmation>,
    log: EventLog,
) {
    while let Some(revision) = questions.recv().await {
        let asked_at = clock::now();
        match source.is_newest(revision).await {
            Ok(true) => {
                if answers
                    .send(Confirmation { asked_at, revision })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            // The watch brings what is newer.
            Ok(false) => {}
            Err(err) => {
                let cause = err.to_string();
                log.write(
                    LineKind::Failure,
                    &SourceEvent::ConfirmationFailed { cause: &cause },
                );
            }
        }
    }
}
