//! Merges the events of many processes into one timeline.

use serde::{Deserialize, Serialize};
use units::InstanceId;

use crate::{Event, RecordedEvent, Stamp};

/// The events fetched from one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessEvents {
    /// Instance id of the process.
    pub instance: InstanceId,
    /// Events of the process, sorted by stamp.
    pub events: Vec<RecordedEvent>,
    /// Number of older events that the process's full ring had dropped.
    pub dropped: u64,
    /// Number of the process's events of a kind that this program doesn't know.
    pub unreadable: u64,
}

/// A process whose events could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableProcess {
    /// Instance id and address at which the process was queried.
    pub address: String,
    /// Why the query of the process failed.
    pub cause: String,
}

/// One event of the merged timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// When the event happened, by the hybrid logical clock of the process.
    pub stamp: Stamp,
    /// Instance id of the process that recorded the event.
    pub instance: InstanceId,
    /// The state change that the event reports.
    #[serde(flatten)]
    pub event: Event,
}

/// A process whose events in the timeline are incomplete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Instance id of the process.
    pub instance: InstanceId,
    /// Number of older events that the process's full ring had dropped.
    pub dropped: u64,
    /// Number of the process's events of a kind that this program doesn't know.
    pub unreadable: u64,
}

/// The events of many processes in one order, and the processes whose events are missing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// Events of all processes, sorted by stamp, then by instance.
    pub rows: Vec<Row>,
    /// Processes whose events were fetched, sorted.
    pub instances: Vec<InstanceId>,
    /// Processes with missing events, sorted by instance.
    pub gaps: Vec<Gap>,
    /// Processes whose events could not be fetched.
    pub unreachable: Vec<UnreachableProcess>,
}

impl Timeline {
    /// Merges the events collected from processes into one timeline.
    #[must_use]
    pub fn new(collected: Vec<ProcessEvents>, unreachable: Vec<UnreachableProcess>) -> Self {
        let mut timeline = Self {
            unreachable,
            ..Self::default()
        };
        for process in collected {
            timeline.add_process(process);
        }
        timeline.rows.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        timeline.instances.sort();
        timeline.instances.dedup();
        timeline.gaps.sort_by(|a, b| a.instance.cmp(&b.instance));
        timeline
    }

    fn add_process(&mut self, process: ProcessEvents) {
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
