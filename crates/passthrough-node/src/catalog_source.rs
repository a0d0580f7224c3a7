//! The source of the catalog of routes and endpoints, and the tasks that read it.

use std::fmt::Display;

use passthrough::Catalog;
use serde::Serialize;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};
use units::{Millis, Revision, StoreEra};

use crate::{
    ChangeSeen, EventLog, ReadSchedule, clock,
    event_log::LineKind,
    read_schedule::{FIRST_READ_REPEAT_DELAY, FIRST_READS_MAX},
};

/// A source of catalogs that can be read and watched, such as the platform's store.
pub trait CatalogSource: Send + 'static {
    /// The error of a failed call to the source.
    type Error: Display + Send + 'static;
    /// An invalid item of the source that was skipped, with the reason.
    type SkippedItem: Display + Send;

    /// Reads the whole catalog on the first call; later calls wait for a change for up to `wait`.
    ///
    /// Returns `None` if the catalog did not change.
    ///
    /// # Errors
    ///
    /// Returns an error if the source could not be read; the caller may call again.
    fn next_catalog(
        &mut self,
        wait: Millis,
    ) -> impl Future<Output = Result<Option<Catalog>, Self::Error>> + Send;

    /// Returns whether `revision` is the newest catalog revision of the source, without waiting for
    /// a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the source could not be read.
    fn is_newest_revision(
        &mut self,
        revision: Revision,
    ) -> impl Future<Output = Result<bool, Self::Error>> + Send;

    /// Tells the source of an era that another process has seen, so that it refuses data of older
    /// ones.
    fn expect_era(&mut self, era: StoreEra);

    /// Returns the era of the latest catalog or confirmation.
    fn era(&self) -> StoreEra;

    /// Removes and returns the invalid items that were skipped since the last call, each once.
    fn take_skipped_items(&mut self) -> Vec<Self::SkippedItem>;

    /// Removes and returns what the operator requested since the last call, as text for the log.
    fn take_operator_requests(&mut self) -> Vec<String>;

    /// Returns the number of calls made to the source so far.
    fn call_count(&self) -> u64;

    /// Creates another reader of the same source, which has read nothing.
    #[must_use]
    fn new_reader(&self) -> Self;
}

/// The result of a successful read of the catalog source.
#[derive(Debug)]
pub(crate) struct SourceUpdate {
    /// Time at which the source answered, or an earlier one.
    pub(crate) answered_at: Millis,
    /// The changed catalog, or `None` if the source confirmed the previous one.
    pub(crate) catalog: Option<Catalog>,
    /// The source's era at the read.
    pub(crate) era: StoreEra,
    /// Number of calls made to the source so far.
    pub(crate) calls: u64,
    /// Number of invalid items that were skipped so far.
    pub(crate) skipped_items: u64,
}

/// The source's confirmation that `revision` was its newest catalog revision.
#[derive(Debug)]
pub(crate) struct Confirmation {
    /// Time at which the request for the confirmation was sent to the source.
    pub(crate) asked_at: Millis,
    pub(crate) revision: Revision,
}

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum SourceEvent<'a> {
    StoreLost { cause: &'a str, after_ms: u64 },
    StoreRegained { failed_calls: u32 },
    ItemSkipped { cause: &'a str },
    ZoneRequested { request: &'a str },
    ConfirmationFailed { cause: &'a str },
}

/// Reads the catalog source while `reading_enabled` is true, and sends each result to `updates`.
pub(crate) async fn read_while_enabled<S: CatalogSource>(
    mut source: S,
    mut reading_enabled: watch::Receiver<bool>,
    newest_era: watch::Receiver<StoreEra>,
    updates: mpsc::Sender<SourceUpdate>,
    log: EventLog,
) {
    let mut schedule = ReadSchedule::default();
    let mut skipped_items = 0;
    let mut abandoned_calls = 0;
    loop {
        if !*reading_enabled.borrow() {
            if reading_enabled.wait_for(|it| *it).await.is_err() {
                return;
            }
            schedule.resume();
        }
        source.expect_era(*newest_era.borrow());
        let called_at = clock::now();
        let wait = schedule.wait();
        let result = if schedule.has_read() {
            source.next_catalog(wait).await
        } else {
            read_first_catalog(&mut source, &mut abandoned_calls).await
        };
        let received_at = clock::now();
        for skipped in source.take_skipped_items() {
            skipped_items += 1;
            let cause = skipped.to_string();
            log.write_line(
                LineKind::StateChange,
                &SourceEvent::ItemSkipped { cause: &cause },
            );
        }
        for request in source.take_operator_requests() {
            log.write_line(
                LineKind::StateChange,
                &SourceEvent::ZoneRequested { request: &request },
            );
        }
        let failed_calls = schedule.failed_calls();
        let delay = match result {
            Ok(catalog) => {
                if failed_calls > 0 {
                    log.write_line(
                        LineKind::StateChange,
                        &SourceEvent::StoreRegained { failed_calls },
                    );
                }
                let change = if catalog.is_some() {
                    ChangeSeen::Yes
                } else {
                    ChangeSeen::No
                };
                // A call that found no change was answered when its wait was over, also if the answer
                // then lay in the socket of a process that stood still.
                let answered_at = match change {
                    ChangeSeen::Yes => received_at,
                    ChangeSeen::No => received_at.min(called_at.plus(wait)),
                };
                let calls = source.call_count() + abandoned_calls;
                let update = SourceUpdate {
                    answered_at,
                    catalog,
                    era: source.era(),
                    calls,
                    skipped_items,
                };
                if updates.send(update).await.is_err() {
                    return;
                }
                schedule.on_answer(change)
            }
            Err(err) => {
                if failed_calls == 0 {
                    let cause = err.to_string();
                    let after_ms = clock::now().since(called_at).get();
                    log.write_line(
                        LineKind::StateChange,
                        &SourceEvent::StoreLost {
                            cause: &cause,
                            after_ms,
                        },
                    );
                }
                schedule.on_failure()
            }
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

/// Reads the first catalog, and reads it once more on another connection each time that the source
/// leaves the earlier calls unanswered for a while.
///
/// A source that was away when the process started may never answer the calls that reached it before
/// it was back, and no caller is served until one is answered. A source that is merely slow still
/// answers the first one. `source` becomes the reader that was answered, and `abandoned_calls` grows
/// by the calls of the others.
///
/// # Errors
///
/// Returns the error of the last call if all calls failed.
pub async fn read_first_catalog<S: CatalogSource>(
    source: &mut S,
    abandoned_calls: &mut u64,
) -> Result<Option<Catalog>, S::Error> {
    let mut reads = JoinSet::new();
    let mut started = 0;
    loop {
        if started < FIRST_READS_MAX {
            started += 1;
            let mut reader = source.new_reader();
            reads.spawn(async move {
                let result = reader.next_catalog(Millis::new(0)).await;
                (reader, result)
            });
        }
        let pause = tokio::time::sleep(FIRST_READ_REPEAT_DELAY);
        tokio::select! {
            Some(Ok((reader, result))) = reads.join_next() => {
                if result.is_ok() || reads.is_empty() {
                    *abandoned_calls += source.call_count() + reads.len() as u64;
                    *source = reader;
                    return result;
                }
                *abandoned_calls += reader.call_count();
            }
            () = pause => {}
        }
    }
}

/// Answers requests to confirm that a catalog revision is the newest.
///
/// No confirmation is sent if the call to the source fails or the revision is outdated.
pub(crate) async fn answer_confirmation_requests<S: CatalogSource>(
    mut source: S,
    mut requests: mpsc::Receiver<Revision>,
    confirmations: mpsc::Sender<Confirmation>,
    log: EventLog,
) {
    while let Some(revision) = requests.recv().await {
        let asked_at = clock::now();
        match source.is_newest_revision(revision).await {
            Ok(true) => {
                if confirmations
                    .send(Confirmation { asked_at, revision })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            // The task that watches the source delivers the newer catalog.
            Ok(false) => {}
            Err(err) => {
                let cause = err.to_string();
                log.write_line(
                    LineKind::Failure,
                    &SourceEvent::ConfirmationFailed { cause: &cause },
                );
            }
        }
    }
}
