//! The mean load of a service's endpoints in each availability zone.

/// Load of one endpoint, in thousandths of its concurrency slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that the endpoint runs, has queued or is about to receive.
    pub working: u16,
    /// Load to expect of the endpoint's idle flows.
    pub idle: u16,
}

/// Sum of the loads of a number of endpoints.
#[derive(Debug, Clone, Copy, Default)]
struct LoadSum {
    working: u32,
    idle: u32,
    count: u32,
}

impl LoadSum {
    fn add(&mut self, load: EndpointLoad) {
        self.working += u32::from(load.working);
        self.idle += u32::from(load.idle);
        self.count += 1;
    }

    fn mean(self) -> Option<EndpointLoad> {
        let mean = |sum: u32| u16::try_from(sum / self.count.max(1)).unwrap_or(u16::MAX);
        (self.count > 0).then(|| EndpointLoad {
            working: mean(self.working),
            idle: mean(self.idle),
        })
    }
}

/// Loads of a service's endpoints by availability zone.
#[derive(Debug, Clone, Default)]
pub struct ZoneLoads {
    /// Sums of the loads by zone, sorted by zone.
    zones: Vec<(u64, LoadSum)>,
    all: LoadSum,
}

impl ZoneLoads {
    /// Adds the load of an endpoint of a zone.
    pub fn record_endpoint(&mut self, zone: u64, load: EndpointLoad) {
        let idx = match self.zones.binary_search_by_key(&zone, |it| it.0) {
            Ok(idx) => idx,
            Err(idx) => {
                self.zones.insert(idx, (zone, LoadSum::default()));
                idx
            }
        };
        self.zones[idx].1.add(load);
        self.all.add(load);
    }

    /// Returns the mean load of the endpoints of a zone, or `None` if none is recorded.
    #[must_use]
    pub fn mean_of_zone(&self, zone: u64) -> Option<EndpointLoad> {
        let idx = self.zones.binary_search_by_key(&zone, |it| it.0).ok()?;
        self.zones[idx].1.mean()
    }

    /// Returns the mean load of all endpoints, or `None` if none is recorded.
    #[must_use]
    pub fn mean(&self) -> Option<EndpointLoad> {
        self.all.mean()
    }

    /// Returns the zones with recorded endpoints, in ascending order.
    pub(crate) fn zones(&self) -> impl Iterator<Item = u64> {
        self.zones.iter().map(|it| it.0)
    }
}
