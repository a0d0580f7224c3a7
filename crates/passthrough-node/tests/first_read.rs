//! The first read of the catalog source after the start of a process.

use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use passthrough::Catalog;
use passthrough_node::{CatalogSource, read_first_catalog};
use units::{Millis, Revision, StoreEra};

/// Maximum number of calls with which a process that starts burdens the source at the same time.
const READS_MAX: usize = 4;

/// How the source treats one call.
#[derive(Debug, Clone, Copy)]
enum Call {
    Silent,
    Fails,
    Answers,
}

/// A source of which each reader's first call is the next of `calls`; the last one repeats.
struct ScriptedSource {
    calls: &'static [Call],
    begun: Arc<AtomicUsize>,
}

impl CatalogSource for ScriptedSource {
    type Error = &'static str;
    type SkippedItem = &'static str;

    async fn next_catalog(&mut self, _wait: Millis) -> Result<Option<Catalog>, &'static str> {
        let number = self.begun.fetch_add(1, Ordering::Relaxed);
        match self.calls[number.min(self.calls.len() - 1)] {
            Call::Silent => pending().await,
            Call::Fails => Err("the store is away"),
            Call::Answers => Ok(Some(Catalog {
                revision: Revision::new(7),
                ..Catalog::default()
            })),
        }
    }

    async fn is_newest_revision(&mut self, _revision: Revision) -> Result<bool, &'static str> {
        Ok(true)
    }

    fn take_skipped_items(&mut self) -> Vec<&'static str> {
        Vec::new()
    }

    fn expect_era(&mut self, _era: StoreEra) {}

    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    fn take_operator_requests(&mut self) -> Vec<String> {
        Vec::new()
    }

    fn call_count(&self) -> u64 {
        0
    }

    fn new_reader(&self) -> Self {
        Self {
            calls: self.calls,
            begun: Arc::clone(&self.begun),
        }
    }
}

/// Guards against a process that waits for an answer to a call that reached the source before it was
/// back.
#[tokio::test]
async fn unanswered_first_read_is_repeated() {
    for (calls, is_read) in [
        (&[Call::Answers][..], true),
        (&[Call::Silent, Call::Answers], true),
        (&[Call::Silent, Call::Silent, Call::Answers], true),
        (&[Call::Silent, Call::Fails, Call::Answers], true),
        (&[Call::Fails], false),
    ] {
        let begun = Arc::new(AtomicUsize::new(0));
        let mut source = ScriptedSource {
            calls,
            begun: Arc::clone(&begun),
        };
        let result = read_first_catalog(&mut source, &mut 0).await;
        assert_eq!(result.is_ok(), is_read, "{calls:?}");
        assert!(begun.load(Ordering::Relaxed) <= READS_MAX, "{calls:?}");
    }
}
