//! Merges the events of many processes into one timeline.

use serde::{Deserialize, Serialize};
use units::InstanceId;

use crate::{Event, RecordedEvent, Stamp};

/// The events fetched from one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessEvents {
    /// The process.
    pub instance: InstanceId,
    /// Events of the process, sorted by stamp.
    pub events: Vec<RecordedEvent>,
    /// Number of older events that the ring of the process had dropped.
    pub dropped: u64,
    /// Number of events of a kind that this program doesn't know.
    pub unreadable: u64,
}

/// A process whose events could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableProcess {
    /// Name and address of the process as queried.
    pub address: String,
    /// Why the query failed.
    pub cause: String,
}

/// One event of the merged timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// When the event happened.
    pub stamp: Stamp,
    /// Process that recorded the event.
    pub instance: InstanceId,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// A process whose events in the timeline are incomplete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The process.
    pub instance: InstanceId,
    /// Number of older events that the ring of the process had dropped.
    pub dropped: u64,
    /// Number of events of a kind that this program doesn't know.
    pub unreadable: u64,
}

/// The events of many processes in one order, and what is missing from them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// Sorted by stamp, then by instance.
    pub rows: Vec<Row>,
    /// Processes whose events were fetched, sorted.
    pub instances: Vec<InstanceId>,
    /// Processes with missing events, sorted by instance.
    pub gaps: Vec<Gap>,
    /// Processes whose events could not be fetched.
    pub unreachable: Vec<UnreachableProcess>,
}

impl Timeline {
    /// Merges the events of processes and lists the processes that could not be reached.
    #[must_use]
    pub fn new(collected: Vec<ProcessEvents>, unreachable: Vec<UnreachableProcess>) -> Self {
        let mut timeline = Self {
            unreachable,
            ..Self::default()
        };
        for process in collected {
            timeline.add(process);
        }
        timeline.rows.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        timeline.instances.sort();
        timeline.instances.dedup();
        timeline.gaps.sort_by(|a, b| a.instance.cmp(&b.instance));
        timeline
    }

    fn add(&mut self, process: ProcessEvents) {
        if process.dropped > 0 || process.unreadable > 0 {
            self.gaps.push(Gap {
                instance: process.instance.clone(),
                dropped: process.dropped,
                unreadable: process.unreadable,
            });
        }
        let rows = process.events.into_iter().map(|it| Row {
            stamp: it.stamp,
            instance: process.instance.clone(),
            event: it.event,
        });
        self.rows.extend(rows);
        self.instances.push(process.instance);
    }
}

fn sort_key(row: &Row) -> (Stamp, &InstanceId) {
    (row.stamp, &row.instance)
}
