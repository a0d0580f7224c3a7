//! One time line over all processes.

use serde::{Deserialize, Serialize};
use units::InstanceId;

use crate::{Event, RecordedEvent, Stamp};

/// What one process handed out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessEvents {
    /// The process.
    pub instance: InstanceId,
    /// Its events, sorted by stamp.
    pub events: Vec<RecordedEvent>,
    /// Events that had given way in its ring.
    pub dropped: u64,
    /// Events of a kind this program does not know.
    pub unreadable: u64,
}

/// A process that could not be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableProcess {
    /// Its address as asked.
    pub address: String,
    /// What went wrong.
    pub cause: String,
}

/// One event of the merged time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// When it happened.
    pub stamp: Stamp,
    /// Where it happened.
    pub instance: InstanceId,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// A process whose part of the time line is incomplete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The process.
    pub instance: InstanceId,
    /// Older events that gave way in its ring.
    pub dropped: u64,
    /// Events of a kind this program does not know.
    pub unreadable: u64,
}

/// The events of many processes in one order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// Sorted by stamp, then by instance.
    pub rows: Vec<Row>,
    /// Processes asked that answered, sorted.
    pub instances: Vec<InstanceId>,
    /// Processes with missing events, sorted.
    pub gaps: Vec<Gap>,
    /// Processes that could not be asked.
    pub unreachable: Vec<UnreachableProcess>,
}

impl Timeline {
    /// Merges what processes handed out and names those that could not be asked.
    #[must_use]
    pub fn new(collected: Vec<ProcessEvents>, unreachable: Vec<UnreachableProcess>) -> Self {
        let mut timeline = Self {
            unreachable,
            ..Self::default()
        };
        for part in collected {
            timeline.add(part);
        }
        timeline.rows.sort_by(|a, b| key(a).cmp(&key(b)));
        timeline.instances.sort();
        timeline.instances.dedup();
        timeline.gaps.sort_by(|a, b| a.instance.cmp(&b.instance));
        timeline
    }

    fn add(&mut self, part: ProcessEvents) {
        if part.dropped > 0 || part.unreadable > 0 {
            self.gaps.push(Gap {
                instance: part.instance.clone(),
                dropped: part.dropped,
                unreadable: part.unreadable,
            });
        }
        let rows = part.events.into_iter().map(|it| Row {
            stamp: it.stamp,
            instance: part.instance.clone(),
            event: it.event,
        });
        self.rows.extend(rows);
        self.instances.push(part.instance);
    }
}

fn key(row: &Row) -> (Stamp, &InstanceId) {
    (row.stamp, &row.instance)
}
