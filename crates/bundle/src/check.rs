//! Validation of a bundle document by itself, independent of the bundles in force.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use units::Millis;

use crate::{Bundle, Endpoint, Refusal, RouteRule, Sharing};

/// Largest number of endpoints in the bundle of one service.
const ENDPOINTS_MAX: usize = 4_096;

/// Largest number of service addresses in the bundle of one service.
const ADDRESSES_MAX: usize = 256;

/// Largest number of route rules in the bundle of one service.
const ROUTES_MAX: usize = 1_024;

/// Largest length of a service's name.
const NAME_MAX_BYTES: usize = 64;

/// Longest request timeout, drain timeout or cold-start ramp: one day.
const DURATION_MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// Validates a bundle document by itself, independent of the bundles in force.
///
/// # Errors
///
/// Returns the first rule that the document breaks.
pub fn validate_bundle(bundle: &Bundle) -> Result<(), Refusal> {
    check_identity_and_version(bundle)?;
    check_addresses(&bundle.addresses)?;
    check_endpoints(&bundle.endpoints)?;
    bundle.routes.iter().try_for_each(check_route)?;
    check_sharing(&bundle.sharing)?;
    check_duration("drain_timeout_ms", bundle.leaving.drain_timeout_ms)
}

fn check_identity_and_version(bundle: &Bundle) -> Result<(), Refusal> {
    if bundle.service.get() == 0 {
        return invalid_field("service", "is 0, which is reserved; use 1 or higher");
    }
    if bundle.name.is_empty() || bundle.name.len() > NAME_MAX_BYTES {
        return invalid_field("name", "is empty or too long; use 1 to 64 bytes");
    }
    if bundle.version.get() == 0 {
        return invalid_field("version", "is 0; use 1 for the first version");
    }
    if (bundle.version.get() == 1) != bundle.previous.is_none() {
        return invalid_field(
            "previous",
            "must be null for version 1 and the predecessor's digest for all later versions",
        );
    }
    if bundle.routes.len() > ROUTES_MAX {
        return invalid_field(
            "routes",
            format_args!("has more than {ROUTES_MAX} rules; merge some"),
        );
    }
    Ok(())
}

fn check_addresses(addresses: &[SocketAddr]) -> Result<(), Refusal> {
    if addresses.is_empty() || addresses.len() > ADDRESSES_MAX {
        return invalid_field(
            "addresses",
            format_args!("must list 1 to {ADDRESSES_MAX} addresses"),
        );
    }
    if !addresses.is_sorted_by(|a, b| a < b) {
        return invalid_field("addresses", "must be sorted without duplicates");
    }
    addresses
        .iter()
        .try_for_each(|it| check_address("addresses", it))
}

fn check_endpoints(endpoints: &[Endpoint]) -> Result<(), Refusal> {
    if endpoints.len() > ENDPOINTS_MAX {
        return invalid_field(
            "endpoints",
            format_args!("lists more than {ENDPOINTS_MAX} endpoints; split the service"),
        );
    }
    if !endpoints.is_sorted_by(|a, b| a.id < b.id) {
        return invalid_field("endpoints", "must be sorted by id without duplicates");
    }
    if !endpoints
        .iter()
        .any(|it| !it.is_leaving && it.weight.get() > 0)
    {
        return Err(Refusal::NoUpstreams);
    }
    endpoints.iter().try_for_each(check_endpoint)?;
    check_unique(
        "tunnel_address",
        endpoints.iter().map(|it| it.tunnel_address),
    )?;
    check_unique(
        "control_address",
        endpoints.iter().map(|it| it.control_address),
    )?;
    check_unique(
        "upstream_address",
        endpoints.iter().map(|it| it.upstream_address),
    )
}

fn check_endpoint(endpoint: &Endpoint) -> Result<(), Refusal> {
    if endpoint.slots.get() == 0 {
        return invalid_field(
            "slots",
            format_args!("of endpoint {} is 0; use 1 or more", endpoint.id),
        );
    }
    check_address("tunnel_address", &endpoint.tunnel_address)?;
    check_address("control_address", &endpoint.control_address)?;
    check_address("upstream_address", &endpoint.upstream_address)
}

fn check_address(field: &'static str, address: &SocketAddr) -> Result<(), Refusal> {
    if address.port() == 0 || address.ip().is_unspecified() {
        return invalid_field(
            field,
            format_args!(
                "{address} isn't a usable address; use a specific IP address and a port other than 0"
            ),
        );
    }
    Ok(())
}

fn check_unique(
    field: &'static str,
    addresses: impl Iterator<Item = SocketAddr>,
) -> Result<(), Refusal> {
    let mut seen = BTreeSet::new();
    for address in addresses {
        if !seen.insert(address) {
            return invalid_field(
                field,
                format_args!(
                    "{address} is used by two endpoints; use a different address for each"
                ),
            );
        }
    }
    Ok(())
}

fn check_route(route: &RouteRule) -> Result<(), Refusal> {
    if !route.path_prefix.starts_with('/') {
        return invalid_field(
            "path_prefix",
            format_args!("`{}` must start with `/`", route.path_prefix),
        );
    }
    let is_method =
        |it: &String| !it.is_empty() && it.bytes().all(|byte| byte.is_ascii_uppercase());
    if !route.method.iter().all(is_method) {
        return invalid_field(
            "method",
            "must consist of upper case letters, or be null to match any method",
        );
    }
    check_duration("timeout_ms", route.timeout_ms)
}

fn check_sharing(sharing: &Sharing) -> Result<(), Refusal> {
    if sharing.short_reserve_percent > 100 {
        return invalid_field("short_reserve_percent", "is over 100; use 0 to 100");
    }
    if sharing.retry_budget_percent > 100 {
        return invalid_field("retry_budget_percent", "is over 100; use 0 to 100");
    }
    if sharing.cold_start_ramp_ms.get() > DURATION_MAX_MS {
        return invalid_field(
            "cold_start_ramp_ms",
            format_args!("is over {DURATION_MAX_MS} ms; use 0 to {DURATION_MAX_MS} ms"),
        );
    }
    Ok(())
}

fn check_duration(field: &'static str, duration: Millis) -> Result<(), Refusal> {
    if (1..=DURATION_MAX_MS).contains(&duration.get()) {
        return Ok(());
    }
    invalid_field(
        field,
        format_args!("is {duration}; use 1 to {DURATION_MAX_MS} ms"),
    )
}

fn invalid_field(field: &'static str, detail: impl fmt::Display) -> Result<(), Refusal> {
    Err(Refusal::Invalid {
        field,
        detail: detail.to_string(),
    })
}
