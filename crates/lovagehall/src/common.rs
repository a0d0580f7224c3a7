//! Helpers that the balancer role and the agent role share.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bundle::{KeySet, PublicKey};
use control::{Counters, PROCESS_DNS_NAME, PeerTls};
use settings::ProcessTls;
use tokio::signal::unix::{SignalKind, signal};
use units::Incarnation;

use crate::error::RunError;

/// Waits for the next full second of the wall clock; returns it as this run's incarnation number.
///
/// Without the wait, two runs that start within one second would get the same incarnation number.
pub(crate) async fn next_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let next_second = Duration::from_secs(since_epoch.as_secs() + 1);
    tokio::time::sleep(next_second.saturating_sub(since_epoch)).await;
    Incarnation::new(u32::try_from(next_second.as_secs()).unwrap_or(u32::MAX))
}

/// Waits for SIGTERM or SIGINT, which ask for a graceful stop.
pub(crate) async fn wait_for_stop_signal() -> Result<(), RunError> {
    let start_error = |err: std::io::Error| RunError::start_failed("signal handling", &err);
    let mut terminate = signal(SignalKind::terminate()).map_err(start_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(start_error)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Builds the key set that verifies signed bundles.
pub(crate) fn bundle_key_set(operator_keys: &[PublicKey], root_keys: &[PublicKey]) -> KeySet {
    KeySet::new(operator_keys.to_vec()).with_roots(root_keys.to_vec())
}

/// Converts the TLS settings to the form that the control crate takes.
pub(crate) fn peer_tls(tls: &ProcessTls) -> PeerTls {
    PeerTls {
        ca_pem: tls.ca_pem.clone(),
        certificate_pem: tls.certificate_pem.clone(),
        key_pem: tls.key_pem.clone(),
        server_name: PROCESS_DNS_NAME.to_owned(),
    }
}

/// Creates the process's metric counters; sends them to `statsd_address` if it is set.
pub(crate) fn new_counters(statsd_address: Option<SocketAddr>) -> Result<Counters, RunError> {
    match statsd_address {
        None => Ok(Counters::new()),
        Some(address) => {
            Counters::with_statsd(address).map_err(|err| RunError::start_failed("counters", &err))
        }
    }
}
