//! The source of the catalog of routes and endpoints, and the tasks that read it.

use std::{fmt::Display, time::Duration};

use passthrough::Catalog;
use serde::Serialize;
use tokio::sync::{mpsc, watch};
use units::{Millis, Revision};

use crate::{EventLog, clock, event_log::LineKind};

/// Time that one watch call waits for a change; each response confirms the current catalog.
const WATCH_WAIT_MS: Millis = Millis::new(1_000);

/// Delay after a change, so that changes in quick succession are read together.
///
/// It is less than a tenth of the three seconds within which a change must take effect.
const COALESCE_DELAY: Duration = Duration::from_millis(250);

/// Delay before the first retry of a failed call; it doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);

/// Longest delay between retries, within which a recovered store is noticed.
///
/// It is a quarter of the three seconds within which a change must take effect.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(750);

/// Longest delay between retries before the first successful read, until which no caller is served.
const INITIAL_RETRY_DELAY_MAX: Duration = Duration::from_millis(150);

/// A source of catalogs that can be read and watched, such as the platform's store.
pub trait CatalogSource: Send + 'static {
    /// The error of a failed call.
    type Error: Display + Send;
    /// An item that was skipped because it is invalid.
    type SkippedItem: Display + Send;

    /// Reads the whole catalog on the first call; later calls wait for a change for up to `wait`.
    ///
    /// Returns `None` if nothing changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the source could not be read. The call can be repeated.
    fn next_catalog(
        &mut self,
        wait: Millis,
    ) -> impl Future<Output = Result<Option<Catalog>, Self::Error>> + Send;

    /// Returns whether the source has nothing newer than `revision`, without waiting for a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the source could not be read.
    fn is_newest_revision(
        &mut self,
        revision: Revision,
    ) -> impl Future<Output = Result<bool, Self::Error>> + Send;

    /// Removes and returns the items that were skipped since the last call.
    fn take_skipped_items(&mut self) -> Vec<Self::SkippedItem>;

    /// Returns the number of calls made so far.
    fn call_count(&self) -> u64;
}

/// The result of a successful read.
#[derive(Debug)]
pub(crate) struct SourceUpdate {
    /// The changed catalog, or `None` if the source confirmed the previous one.
    pub(crate) catalog: Option<Catalog>,
    /// Number of calls made so far.
    pub(crate) calls: u64,
}

/// The source's confirmation that it had nothing newer than `revision`.
#[derive(Debug)]
pub(crate) struct Confirmation {
    /// When the request was sent to the source.
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

/// Reads the source while `reading_enabled` is true, and sends each result to `updates`.
pub(crate) async fn read_while_enabled<S: CatalogSource>(
    mut source: S,
    mut reading_enabled: watch::Receiver<bool>,
    updates: mpsc::Sender<SourceUpdate>,
    log: EventLog,
) {
    let mut failed_calls = 0;
    let mut delay_max = INITIAL_RETRY_DELAY_MAX;
    while reading_enabled.wait_for(|it| *it).await.is_ok() {
        let result = source.next_catalog(WATCH_WAIT_MS).await;
        for skipped in source.take_skipped_items() {
            let cause = skipped.to_string();
            log.write(
                LineKind::StateChange,
                &SourceEvent::ItemSkipped { cause: &cause },
            );
        }
        match result {
            Ok(catalog) => {
                delay_max = RETRY_DELAY_MAX;
                if failed_calls > 0 {
                    log.write(
                        LineKind::StateChange,
                        &SourceEvent::StoreRegained { failed_calls },
                    );
                    failed_calls = 0;
                }
                let changed = catalog.is_some();
                let calls = source.call_count();
                if updates.send(SourceUpdate { catalog, calls }).await.is_err() {
                    return;
                }
                if changed {
                    tokio::time::sleep(COALESCE_DELAY).await;
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
                let delay = RETRY_DELAY_MIN * 2_u32.saturating_pow(failed_calls.min(8));
                failed_calls += 1;
                tokio::time::sleep(delay.min(delay_max)).await;
            }
        }
    }
}

/// Answers requests to confirm that a revision is the newest.
///
/// No confirmation is sent if the call fails or the revision is outdated.
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
            // The watch delivers the newer catalog.
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
