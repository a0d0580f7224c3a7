//! Updates of the routing table as bundles, time and endpoint liveness change.
//!
//! The updater performs no I/O and reads no clock: its inputs are the bundles in force and
//! timestamps, its outputs are routing tables. The process's controllers call the updater and
//! publish the tables that it returns; the datapath only reads the published table.

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

/// Time after the service's drain timeout during which a removed endpoint remains routable.
const RETIRED_GRACE_MS: Millis = Millis::new(60_000);

/// Maximum number of removed endpoints kept routable per service; the oldest are discarded first.
const RETIRED_MAX: usize = 256;

/// Effective percentage of an endpoint's weight at the beginning of its slow start.
const RAMP_START_PERCENT: u64 = 10;

/// Effective percentage of an endpoint's weight at the end of its slow start.
const RAMP_END_PERCENT: u64 = 100;

/// Builds a new routing table whenever the bundles in force or their rollouts change.
#[derive(Debug)]
pub struct RoutingTableUpdater {
    current_key: FleetKey,
    accepted_keys: Vec<FleetKey>,
    fleet_keys: Arc<ServiceKeys>,
    registry: EndpointRegistry,
    /// State of each service; sorted by service id, without duplicates.
    services: Vec<ServiceState>,
    /// Whether a first snapshot was applied; endpoints of the first snapshot need no slow start.
    is_started: bool,
}

/// State of one service that is kept from one routing table to the next.
#[derive(Debug)]
struct ServiceState {
    id: ServiceId,
    keys: Arc<ServiceKeys>,
    version: BundleVersion,
    in_force: InForce,
    changed_at: Millis,
    /// Progress of the change from the previous bundle to the bundle in force.
    rollout: BundleRollout,
    /// Endpoints removed from the bundle in force and their expiry times; oldest first.
    retired: Vec<(Endpoint, Millis)>,
    /// Endpoints in slow start and the time when the slow start of each begins.
    ramping: Vec<(EndpointId, Millis)>,
    /// Endpoints of the bundle in force whose agents were dead at the last update.
    dead: Vec<EndpointId>,
}

impl RoutingTableUpdater {
    /// Creates an updater that derives every service's keys from the fleet keys.
    ///
    /// # Errors
    ///
    /// Returns an error if two fleet keys have the same key index.
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

    /// Returns the registry with the status of every known endpoint.
    #[must_use]
    pub const fn registry(&self) -> &EndpointRegistry {
        &self.registry
    }

    /// Applies a snapshot of the bundles in force.
    ///
    /// Returns a new routing table if a bundle, a rollout or the removed endpoints changed.
    pub fn update(&mut self, now: Millis, snapshot: &[InForce]) -> Option<RoutingTable> {
        let mut is_changed = !self.is_started;
        for in_force in snapshot {
            is_changed |= self.apply_service(now, in_force);
        }
        self.is_started = true;
        for service in &mut self.services {
            is_changed |= service.advance_rollout_and_expire_retired(now);
            service.restart_ramps_of_recovered_endpoints(now, &self.registry);
            service.update_ramps(now, &self.registry);
        }
        if !is_changed {
            return None;
        }
        Some(self.build_table())
    }

    /// Applies one service's bundle in force; returns whether the bundle was new.
    fn apply_service(&mut self, now: Millis, in_force: &InForce) -> bool {
        let id = in_force.service();
        match self.services.binary_search_by_key(&id, |it| it.id) {
            Ok(idx) => self.services[idx].apply_bundle(now, in_force),
            Err(idx) => {
                // Derivation cannot fail: `new` checked the key indexes with the fleet scope.
                let keys = ServiceKeys::derive(&self.current_key, &self.accepted_keys, id);
                let Ok(keys) = keys else { return false };
                let service = ServiceState::new(now, in_force.clone(), Arc::new(keys));
                self.services.insert(idx, service);
                true
            }
        }
    }

    /// Builds a routing table from the state of all services.
    fn build_table(&mut self) -> RoutingTable {
        let retired: Vec<Vec<Endpoint>> = self
            .services
            .iter()
            .map(ServiceState::retired_endpoints)
            .collect();
        let mut inputs = Vec::with_capacity(self.services.len());
        for (service, retired) in self.services.iter().zip(&retired) {
            inputs.push(service.table_input(retired));
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

    /// Applies a bundle in force if its version is higher than the current; returns whether it is.
    fn apply_bundle(&mut self, now: Millis, in_force: &InForce) -> bool {
        let version = in_force.current.bundle.version;
        if version <= self.version {
            return false;
        }
        let before = &self.in_force.current.bundle;
        let after = &in_force.current.bundle;
        let expires_at = now
            .plus(before.leaving.drain_timeout_ms)
            .plus(RETIRED_GRACE_MS);
        let removed: Vec<Endpoint> = before
            .endpoints
            .iter()
            .filter(|it| !contains_endpoint(&after.endpoints, it.id))
            .cloned()
            .collect();
        let added: Vec<(EndpointId, Millis)> = after
            .endpoints
            .iter()
            .filter(|it| !contains_active_endpoint(&before.endpoints, it.id))
            .map(|it| (it.id, ramp_start_time(now, before, it.id)))
            .collect();
        self.retired
            .retain(|(it, _)| !contains_endpoint(&after.endpoints, it.id));
        self.retired
            .extend(removed.into_iter().map(|it| (it, expires_at)));
        let excess = self.retired.len().saturating_sub(RETIRED_MAX);
        self.retired.drain(..excess);
        for (endpoint, started_at) in added {
            self.start_ramp(started_at, endpoint);
        }
        self.version = version;
        self.in_force = in_force.clone();
        self.changed_at = now;
        self.rollout = bundle_rollout(in_force, Millis::new(0));
        true
    }

    /// Advances the bundle rollout and drops expired removed endpoints.
    ///
    /// Returns whether a new routing table is needed.
    fn advance_rollout_and_expire_retired(&mut self, now: Millis) -> bool {
        let retired_before = self.retired.len();
        self.retired.retain(|(_, expires_at)| now < *expires_at);
        let before = self.rollout;
        self.rollout = bundle_rollout(&self.in_force, now.since(self.changed_at));
        self.rollout != before || self.retired.len() != retired_before
    }

    /// Restarts the slow start of endpoints that were dead at the last update and no longer are.
    fn restart_ramps_of_recovered_endpoints(&mut self, now: Millis, registry: &EndpointRegistry) {
        let is_dead = |id| {
            registry
                .find(id)
                .is_some_and(|it| it.liveness() == Liveness::Dead)
        };
        let recovered: Vec<EndpointId> = self
            .dead
            .iter()
            .copied()
            .filter(|&it| !is_dead(it))
            .collect();
        for endpoint in recovered {
            self.start_ramp(now, endpoint);
        }
        let endpoints = &self.in_force.current.bundle.endpoints;
        self.dead = endpoints
            .iter()
            .map(|it| it.id)
            .filter(|&it| is_dead(it))
            .collect();
    }

    /// Starts or restarts the slow start of an endpoint.
    fn start_ramp(&mut self, now: Millis, endpoint: EndpointId) {
        self.ramping.retain(|it| it.0 != endpoint);
        self.ramping.push((endpoint, now));
    }

    /// Updates the effective weights of endpoints in slow start.
    fn update_ramps(&mut self, now: Millis, registry: &EndpointRegistry) {
        let length_ms = self.in_force.current.bundle.sharing.cold_start_ramp_ms;
        for (endpoint, started_at) in &self.ramping {
            if let Some(status) = registry.find(*endpoint) {
                status.set_ramp_percent(ramp_percent(now.since(*started_at), length_ms));
            }
        }
        // An endpoint stays listed until it is registered and its full weight is set.
        self.ramping.retain(|(endpoint, started_at)| {
            now.since(*started_at) < length_ms || registry.find(*endpoint).is_none()
        });
    }

    /// Returns the removed endpoints that the previous bundle does not list either.
    fn retired_endpoints(&self) -> Vec<Endpoint> {
        let previous = self.in_force.previous.as_ref();
        let is_listed = |id| previous.is_some_and(|it| contains_endpoint(&it.bundle.endpoints, id));
        let retired = self.retired.iter().map(|it| &it.0);
        retired.filter(|it| !is_listed(it.id)).cloned().collect()
    }

    fn table_input<'a>(&'a self, retired: &'a [Endpoint]) -> ServiceInput<'a> {
        ServiceInput {
            in_force: &self.in_force,
            keys: Arc::clone(&self.keys),
            rollout: self.rollout,
            retired,
        }
    }
}

/// Returns the time when an endpoint's slow start begins.
///
/// An endpoint that the previous bundle lacks opens no flows before every balancer knows the
/// endpoint, so its slow start begins only then.
fn ramp_start_time(now: Millis, before: &Bundle, endpoint: EndpointId) -> Millis {
    if contains_endpoint(&before.endpoints, endpoint) {
        return now;
    }
    now.plus(BUNDLE_PROPAGATION_MS)
}

/// Returns the rollout progress of a bundle change that took effect `since_ms` ago.
fn bundle_rollout(in_force: &InForce, since_ms: Millis) -> BundleRollout {
    match in_force.previous {
        Some(_) => BundleRollout::from_elapsed(since_ms),
        None => BundleRollout::Complete,
    }
}

/// Returns the effective percentage of an endpoint's weight `since_ms` after its slow start began.
fn ramp_percent(since_ms: Millis, length_ms: Millis) -> u8 {
    if since_ms >= length_ms {
        return u8::try_from(RAMP_END_PERCENT).unwrap_or(u8::MAX);
    }
    let percent_range = RAMP_END_PERCENT - RAMP_START_PERCENT;
    let percent = RAMP_START_PERCENT + percent_range * since_ms.get() / length_ms.get();
    u8::try_from(percent).unwrap_or(u8::MAX)
}

/// Returns whether `endpoints`, which is sorted by id, contains the endpoint.
fn contains_endpoint(endpoints: &[Endpoint], id: EndpointId) -> bool {
    endpoints.binary_search_by_key(&id, |it| it.id).is_ok()
}

/// Returns whether `endpoints`, which is sorted by id, contains the endpoint as not leaving.
fn contains_active_endpoint(endpoints: &[Endpoint], id: EndpointId) -> bool {
    let found = endpoints.binary_search_by_key(&id, |it| it.id);
    found.is_ok_and(|idx| !endpoints[idx].is_leaving)
}
