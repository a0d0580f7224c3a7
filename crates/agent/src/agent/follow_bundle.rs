//! Applies changes of the current bundle to the running agent.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use admission::Config;
use bundle::InForce;
use units::{BundleVersion, EndpointId};

use super::{AgentEvent, AgentState, Phase};

/// Interval at which the agent checks the current bundle for changes.
const BUNDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a successful connection to the upstream after which the endpoint reports that it is
/// leaving.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the agent's endpoint in a bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EndpointSettings {
    pub(super) version: BundleVersion,
    pub(super) upstream_address: SocketAddr,
    pub(super) admission: Config,
    pub(super) retry_budget_percent: u8,
    pub(super) phase: Phase,
}

impl EndpointSettings {
    /// Reads the endpoint's settings from the current bundle; returns `None` if the bundle has no
    /// such endpoint.
    pub(super) fn from_bundle(in_force: &InForce, endpoint: EndpointId) -> Option<Self> {
        let bundle = &in_force.current.bundle;
        let endpoints = &bundle.endpoints;
        let idx = endpoints.binary_search_by_key(&endpoint, |it| it.id).ok()?;
        let settings = &endpoints[idx];
        let sharing = &bundle.sharing;
        Some(Self {
            version: bundle.version,
            upstream_address: settings.upstream_address,
            admission: Config::new(settings.slots)
                .with_short_reserve_percent(sharing.short_reserve_percent)
                .with_cold_start_ramp_ms(sharing.cold_start_ramp_ms),
            retry_budget_percent: sharing.retry_budget_percent,
            phase: if settings.is_leaving {
                Phase::Leaving
            } else {
                Phase::Serving
            },
        })
    }

    /// Changes the phase to `Leaving` if the upstream has been unreachable for
    /// [`UNREACHABLE_TIMEOUT`].
    ///
    /// An endpoint that refuses every request at once would look idle and attract flows.
    fn leaving_if_unreachable(self, unreachable_since: Option<Instant>) -> Self {
        let is_unreachable =
            unreachable_since.is_some_and(|it| it.elapsed() >= UNREACHABLE_TIMEOUT);
        let phase = if is_unreachable {
            Phase::Leaving
        } else {
            self.phase
        };
        Self { phase, ..self }
    }
}

/// Applies changes of the endpoint's settings and reports newer bundle versions until the task is
/// aborted.
pub(super) async fn apply_bundles(state: AgentState) {
    let mut interval = tokio::time::interval(BUNDLE_CHECK_INTERVAL);
    let mut applied = None;
    let mut highest_seen_version = state.highest_seen_version.subscribe();
    loop {
        tokio::select! {
            _tick = interval.tick() => {
                let settings =
                    EndpointSettings::from_bundle(&state.in_force.load(), state.config.endpoint)
                        .map(|it| {
                            it.leaving_if_unreachable(state.handler.client.unreachable_since())
                        });
                if applied != Some(settings) {
                    apply_settings(&state, settings);
                    applied = Some(settings);
                }
            }
            Ok(()) = highest_seen_version.changed() => {
                let seen = *highest_seen_version.borrow_and_update();
                state.emit_event(AgentEvent::NewerBundleSeen(seen));
            }
        }
    }
}

/// Applies the endpoint's settings from a bundle; an endpoint that the bundle no longer contains is
/// leaving.
fn apply_settings(state: &AgentState, settings: Option<EndpointSettings>) {
    let Some(settings) = settings else {
        state.set_phase(Phase::Leaving);
        return;
    };
    state.gate.reconfigure(settings.admission);
    state
        .handler
        .retry_limiter
        .set_retry_budget_percent(settings.retry_budget_percent);
    state.handler.client.set_address(settings.upstream_address);
    state.set_phase(settings.phase);
    let is_newer = state.version.send_if_modified(|it| {
        let is_newer = settings.version > *it;
        *it = settings.version.max(*it);
        is_newer
    });
    if is_newer {
        state.emit_event(AgentEvent::BundleApplied(settings.version));
    }
}
