//! When each process of a fleet put which version in force.

use crate::{benches::publisher::Publication, controllers::Report};

/// When each process of a fleet put which version in force.
#[derive(Debug)]
pub(super) struct Holdings {
    /// By process, in the order of the reports.
    by_process: Vec<Vec<Holding>>,
}

#[derive(Debug, Clone, Copy)]
struct Holding {
    service: u32,
    version: u64,
    at_us: u64,
}

impl Holdings {
    pub(super) fn new(processes: usize) -> Self {
        Self {
            by_process: vec![Vec::new(); processes],
        }
    }

    pub(super) fn add(&mut self, idx: usize, report: Report) {
        if let Report::InForce {
            service,
            version,
            at_us,
        } = report
        {
            self.by_process[idx].push(Holding {
                service,
                version,
                at_us,
            });
        }
    }

    /// Returns whether every process holds all of these or higher versions.
    pub(super) fn all_hold(&self, publications: &[Publication]) -> bool {
        publications
            .iter()
            .all(|it| self.in_force_everywhere_us(*it).is_some())
    }

    /// Returns when the last process put this or a higher version in force.
    pub(super) fn in_force_everywhere_us(&self, publication: Publication) -> Option<u64> {
        let first = |holdings: &Vec<Holding>| {
            holdings
                .iter()
                .find(|it| it.service == publication.service && it.version >= publication.version)
                .map(|it| it.at_us)
        };
        let all: Option<Vec<u64>> = self.by_process.iter().map(first).collect();
        all?.into_iter().max()
    }
}
