//! What both roles start in the same way.

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

/// Waits for the next full second and returns it as this run's incarnation.
///
/// The wait keeps two runs that start within one second apart.
pub(crate) async fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let next_second = Duration::from_secs(since_epoch.as_secs() + 1);
    tokio::time::sleep(next_second.saturating_sub(since_epoch)).await;
    Incarnation::new(u32::try_from(next_second.as_secs()).unwrap_or(u32::MAX))
}

/// Waits for the signal to stop gracefully.
pub(crate) async fn stop_signal() -> Result<(), RunError> {
    let failed = |err: std::io::Error| RunError::start("signal handling", &err);
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Keys that bundles are verified with.
pub(crate) fn key_set(operator_keys: &[PublicKey], root_keys: &[PublicKey]) -> KeySet {
    KeySet::new(operator_keys.to_vec()).with_roots(root_keys.to_vec())
}

/// Certificates in the form that the controllers take.
pub(crate) fn peer_tls(tls: &ProcessTls) -> PeerTls {
    PeerTls {
        ca_pem: tls.ca_pem.clone(),
        certificate_pem: tls.certificate_pem.clone(),
        key_pem: tls.key_pem.clone(),
        server_name: PROCESS_DNS_NAME.to_owned(),
    }
}

/// Counters, sent to a statsd address if one is set.
pub(crate) fn counters(statsd_address: Option<SocketAddr>) -> Result<Counters, RunError> {
    match statsd_address {
        None => Ok(Counters::new()),
        Some(address) => {
            Counters::with_statsd(address).map_err(|err| RunError::start("counters", &err))
        }
    }
}
