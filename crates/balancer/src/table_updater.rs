//! Keeps the routing table in step with bundles, time and the endpoints' liveness.
//!
//! Pure: snapshots and time in, tables out. The process's controllers call it and publish what it
//! returns; the datapath only reads the published table.

use std::sync::Arc;

use bundle::{Bundle, Endpoint, InForce};
use flow::{
    key::{FLEET_SCOPE, FleetKey, KeyError, ServiceKeys},
    table::{
        BUNDLE_PROPAGATION_MS, BundleRollout, EndpointRegistry, Liveness, RoutingTable,
        ServiceInput,
    },
};
use units::{BundleVersion, EndpointId, Millis, ServiceId};

/// Time past its service's drain timeout for which a removed endpoint can still be reached.
const RETIRED_GRACE_MS: Millis = Millis::new(60_000);

/// Most removed endpoints kept per service; the oldest go first.
const RETIRED_MAX: usize = 256;

/// Share of its weight that an endpoint starts with, in percent.
const RAMP_START_PERCENT: u64 = 10;

/// Share of its weight that an endpoint ends with, in percent.
const RAMP_END_PERCENT: u64 = 100;

/// Builds routing tables from what is in force.
#[derive(Debug)]
pub struct RoutingTableUpdater {
    current_key: FleetKey,
    accepted_keys: Vec<FleetKey>,
    fleet_keys: Arc<ServiceKeys>,
    registry: EndpointRegistry,
    /// Sorted by service id, without duplicates.
    services: Vec<ServiceState>,
    /// Whether the first snapshot was taken; its endpoints are not new.
    is_started: bool,
}

/// What is kept of one service between tables.
#[derive(Debug)]
struct ServiceState {
    id: ServiceId,
    keys: Arc<ServiceKeys>,
    version: BundleVersion,
    in_force: InForce,
    changed_at: Millis,
    /// How far the change to the bundle in force has come.
    rollout: BundleRollout,
    /// Endpoints that no held bundle names, with the time they are forgotten; oldest first.
    retired: Vec<(Endpoint, Millis)>,
    /// Endpoints that ramp to their full weight, with the time they began.
    ramping: Vec<(EndpointId, Millis)>,
    /// Endpoints in force whose agents were taken as dead at the last update.
    dead: Vec<EndpointId>,
}

impl RoutingTableUpdater {
    /// Makes a feed that derives every service's keys from the fleet's.
    ///
    /// # Errors
    ///
    /// Returns an error if two keys have the same index.
    pub fn new(current_key: FleetKey, accepted_keys: Vec<FleetKey>) -> Result<Self, KeyError> {
        let fleet_keys = ServiceKeys::derive(&current_key, &accepted_keys, FLEET_SCOPE)?;
        Ok(Self {
            current_key,
            accepted_keys,
            fleet_keys: Arc::new(fleet_keys),
            registry: EndpointRegistry::new(),
            services: Vec::new(),
            is_started: false,
        })
    }

    /// Returns the cells of every endpoint heard of.
    #[must_use]
    pub const fn registry(&self) -> &EndpointRegistry {
        &self.registry
    }

    /// Takes in a snapshot of what is in force and the time; returns a table if one is needed.
    pub fn update(&mut self, now: Millis, snapshot: &[InForce]) -> Option<RoutingTable> {
        let mut is_changed = !self.is_started;
        for in_force in snapshot {
            is_changed |= self.take(now, in_force);
        }
        self.is_started = true;
        for service in &mut self.services {
            is_changed |= service.expire(now);
            service.follow_liveness(now, &self.registry);
            service.ramp(now, &self.registry);
        }
        if !is_changed {
            return None;
        }
        Some(self.table())
    }

    fn take(&mut self, now: Millis, in_force: &InForce) -> bool {
        let id = in_force.service();
        match self.services.binary_search_by_key(&id, |it| it.id) {
            Ok(idx) => self.services[idx].take(now, in_force),
            Err(idx) => {
                // Indexes were checked when the fleet's own keys were derived.
                let keys = ServiceKeys::derive(&self.current_key, &self.accepted_keys, id);
                let Ok(keys) = keys else { return false };
                let service = ServiceState::new(now, in_force.clone(), Arc::new(keys));
                self.services.insert(idx, service);
                true
            }
        }
    }

    fn table(&mut self) -> RoutingTable {
        let retired: Vec<Vec<Endpoint>> = self
            .services
            .iter()
            .map(ServiceState::retired_endpoints)
            .collect();
        let mut inputs = Vec::with_capacity(self.services.len());
        for (service, retired) in self.services.iter().zip(&retired) {
            inputs.push(service.input(retired));
        }
        let table = RoutingTable::new(&inputs, &mut self.registry);
        table.with_fleet_keys(Arc::clone(&self.fleet_keys))
    }
}

impl ServiceState {
    fn new(now: Millis, in_force: InForce, keys: Arc<ServiceKeys>) -> Self {
        Self {
            id: in_force.service(),
            keys,
            version: in_force.current.bundle.version,
            rollout: bundle_rollout(&in_force, Millis::new(0)),
            in_force,
            changed_at: now,
            retired: Vec::new(),
            ramping: Vec::new(),
            dead: Vec::new(),
        }
    }

    /// Takes a newer bundle; returns whether it was newer.
    fn take(&mut self, now: Millis, in_force: &InForce) -> bool {
        let version = in_force.current.bundle.version;
        if version <= self.version {
            return false;
        }
        let before = &self.in_force.current.bundle;
        let after = &in_force.current.bundle;
        let forget_at = now
            .plus(before.leaving.drain_timeout_ms)
            .plus(RETIRED_GRACE_MS);
        let gone: Vec<Endpoint> = before
            .endpoints
            .iter()
            .filter(|it| !names(&after.endpoints, it.id))
            .cloned()
            .collect();
        let fresh: Vec<(EndpointId, Millis)> = after
            .endpoints
            .iter()
            .filter(|it| !serves(&before.endpoints, it.id))
            .map(|it| (it.id, ramp_start(now, before, it.id)))
            .collect();
        self.retired
            .retain(|(it, _)| !names(&after.endpoints, it.id));
        self.retired
            .extend(gone.into_iter().map(|it| (it, forget_at)));
        let excess = self.retired.len().saturating_sub(RETIRED_MAX);
        self.retired.drain(..excess);
        for (endpoint, begun_at) in fresh {
            self.begin_ramp(begun_at, endpoint);
        }
        self.version = version;
        self.in_force = in_force.clone();
        self.changed_at = now;
        self.rollout = bundle_rollout(in_force, Millis::new(0));
        true
    }

    /// Ends what its time is over for; returns whether a new table is needed.
    fn expire(&mut self, now: Millis) -> bool {
        let held = self.retired.len();
        self.retired.retain(|(_, forget_at)| now < *forget_at);
        let before = self.rollout;
        self.rollout = bundle_rollout(&self.in_force, now.since(self.changed_at));
        self.rollout != before || self.retired.len() != held
    }

    /// Lets endpoints that are back from the dead ramp up again.
    fn follow_liveness(&mut self, now: Millis, registry: &EndpointRegistry) {
        let is_dead = |id| {
            registry
                .find(id)
                .is_some_and(|it| it.liveness() == Liveness::Dead)
        };
        let back: Vec<EndpointId> = self
            .dead
            .iter()
            .copied()
            .filter(|&it| !is_dead(it))
            .collect();
        for endpoint in back {
            self.begin_ramp(now, endpoint);
        }
        let endpoints = &self.in_force.current.bundle.endpoints;
        self.dead = endpoints
            .iter()
            .map(|it| it.id)
            .filter(|&it| is_dead(it))
            .collect();
    }

    fn begin_ramp(&mut self, now: Millis, endpoint: EndpointId) {
        self.ramping.retain(|it| it.0 != endpoint);
        self.ramping.push((endpoint, now));
    }

    /// Raises the weights of endpoints that are new or back.
    fn ramp(&mut self, now: Millis, registry: &EndpointRegistry) {
        let length_ms = self.in_force.current.bundle.sharing.cold_start_ramp_ms;
        for (endpoint, begun_at) in &self.ramping {
            if let Some(cell) = registry.find(*endpoint) {
                cell.set_ramp_percent(ramp_percent(now.since(*begun_at), length_ms));
            }
        }
        // Kept until the cell exists and shows the full weight.
        self.ramping.retain(|(endpoint, begun_at)| {
            now.since(*begun_at) < length_ms || registry.find(*endpoint).is_none()
        });
    }

    fn retired_endpoints(&self) -> Vec<Endpoint> {
        let previous = self.in_force.previous.as_ref();
        let is_named = |id| previous.is_some_and(|it| names(&it.bundle.endpoints, id));
        let retired = self.retired.iter().map(|it| &it.0);
        retired.filter(|it| !is_named(it.id)).cloned().collect()
    }

    fn input<'a>(&'a self, retired: &'a [Endpoint]) -> ServiceInput<'a> {
        ServiceInput {
            in_force: &self.in_force,
            keys: Arc::clone(&self.keys),
            rollout: self.rollout,
            retired,
        }
    }
}

/// When an endpoint begins to ramp: one that not every balancer knows opens no flows until then.
fn ramp_start(now: Millis, before: &Bundle, endpoint: EndpointId) -> Millis {
    if names(&before.endpoints, endpoint) {
        return now;
    }
    now.plus(BUNDLE_PROPAGATION_MS)
}

/// How far a change has come that took effect `since_ms` ago.
fn bundle_rollout(in_force: &InForce, since_ms: Millis) -> BundleRollout {
    match in_force.previous {
        Some(_) => BundleRollout::after(since_ms),
        None => BundleRollout::Complete,
    }
}

/// Share of its weight that an endpoint has this long after it began to ramp.
fn ramp_percent(since_ms: Millis, length_ms: Millis) -> u8 {
    if since_ms >= length_ms {
        return u8::try_from(RAMP_END_PERCENT).unwrap_or(u8::MAX);
    }
    let span = RAMP_END_PERCENT - RAMP_START_PERCENT;
    let percent = RAMP_START_PERCENT + span * since_ms.get() / length_ms.get();
    u8::try_from(percent).unwrap_or(u8::MAX)
}

/// Whether the sorted list has the endpoint.
fn names(endpoints: &[Endpoint], id: EndpointId) -> bool {
    endpoints.binary_search_by_key(&id, |it| it.id).is_ok()
}

/// Whether the sorted list has the endpoint and it takes new work.
fn serves(endpoints: &[Endpoint], id: EndpointId) -> bool {
    let found = endpoints.binary_search_by_key(&id, |it| it.id);
    found.is_ok_and(|idx| !endpoints[idx].is_leaving)
}
