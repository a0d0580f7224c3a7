//! Follows the bundle in force: slots, the upstream's address, leaving.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use admission::Config;
use bundle::InForce;
use units::{BundleVersion, EndpointId};

use super::{AgentEvent, Parts, Phase};

/// Time between looks at the bundle in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the upstream must have taken no connection until the endpoint counts as away.
const AWAY_AFTER: Duration = Duration::from_secs(1);

/// What a bundle says of the agent's own endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Own {
    pub(super) version: BundleVersion,
    pub(super) upstream_address: SocketAddr,
    pub(super) admission: Config,
    pub(super) retry_budget_percent: u8,
    pub(super) phase: Phase,
}

impl Own {
    /// Finds the endpoint in the bundle in force.
    pub(super) fn find(in_force: &InForce, endpoint: EndpointId) -> Option<Self> {
        let bundle = &in_force.current.bundle;
        let endpoints = &bundle.endpoints;
        let idx = endpoints.binary_search_by_key(&endpoint, |it| it.id).ok()?;
        let own = &endpoints[idx];
        let sharing = &bundle.sharing;
        Some(Self {
            version: bundle.version,
            upstream_address: own.upstream_address,
            admission: Config::new(own.slots)
                .with_short_reserve_percent(sharing.short_reserve_percent)
                .with_cold_start_ramp_ms(sharing.cold_start_ramp_ms),
            retry_budget_percent: sharing.retry_budget_percent,
            phase: if own.is_leaving {
                Phase::Leaving
            } else {
                Phase::Serving
            },
        })
    }

    /// Leaves while the upstream is away: refusing at once, it would look idle and draw flows.
    fn or_away(self, unreachable_since: Option<Instant>) -> Self {
        let is_away = unreachable_since.is_some_and(|it| it.elapsed() >= AWAY_AFTER);
        let phase = if is_away { Phase::Leaving } else { self.phase };
        Self { phase, ..self }
    }
}

/// Applies each newer bundle until aborted.
pub(super) async fn run(parts: Parts) {
    let mut interval = tokio::time::interval(LOOK_INTERVAL);
    let mut applied = None;
    let mut newer_version = parts.newer_version.subscribe();
    loop {
        tokio::select! {
            _tick = interval.tick() => {
                let own = Own::find(&parts.in_force.load(), parts.config.endpoint)
                    .map(|it| it.or_away(parts.handler.client.unreachable_since()));
                if applied != Some(own) {
                    apply(&parts, own);
                    applied = Some(own);
                }
            }
            Ok(()) = newer_version.changed() => {
                let seen = *newer_version.borrow_and_update();
                parts.emit(AgentEvent::NewerBundleSeen(seen));
            }
        }
    }
}

/// Applies what the bundle says; an endpoint it no longer names is leaving.
fn apply(parts: &Parts, own: Option<Own>) {
    let Some(own) = own else {
        parts.set_phase(Phase::Leaving);
        return;
    };
    parts.gate.reconfigure(own.admission);
    parts
        .handler
        .retry_limiter
        .set_percent(own.retry_budget_percent);
    parts.handler.client.set_address(own.upstream_address);
    parts.set_phase(own.phase);
    let is_newer = parts.version.send_if_modified(|it| {
        let is_newer = own.version > *it;
        *it = own.version.max(*it);
        is_newer
    });
    if is_newer {
        parts.emit(AgentEvent::BundleApplied(own.version));
    }
}
