//! Filter that finds the route rule of a request in the current bundle.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bundle::{InForce, RouteRule};
use http::StatusCode;

use super::{EarlyResponse, Exchange, Filter, Rule};
use crate::problem::Problem;

/// Applies the first route rule whose method and path prefix match the request.
#[derive(Debug, Clone)]
pub(crate) struct Route {
    pub(crate) in_force: Arc<ArcSwap<InForce>>,
}

impl Filter for Route {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), EarlyResponse> {
        let in_force = self.in_force.load();
        let bundle = &in_force.current.bundle;
        let found = bundle
            .routes
            .iter()
            .position(|it| rule_matches(it, exchange));
        let Some(index) = found else {
            let detail = "the service has no such route; check method and path";
            return Err(Problem::not_run(StatusCode::NOT_FOUND, detail).into());
        };
        let rule = &bundle.routes[index];
        exchange.rule = Rule {
            index: u16::try_from(index).unwrap_or(u16::MAX),
            class: rule.class,
            retry: rule.retry,
            timeout_ms: rule.timeout_ms,
            body_max_bytes: bundle.sharing.body_max_bytes.get(),
        };
        if exchange.content_length().unwrap_or(0) > exchange.rule.body_max_bytes {
            let detail = "the body is too large; send less";
            return Err(Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail).into());
        }
        Ok(())
    }
}

fn rule_matches(rule: &RouteRule, exchange: &Exchange) -> bool {
    let method = rule.method.as_deref();
    method.is_none_or(|it| it == exchange.method.as_str())
        && exchange.uri.path().starts_with(&rule.path_prefix)
}
