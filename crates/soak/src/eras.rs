//! Checks that all balancers follow the store into its latest era.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::{network::Network, report::RunReport};

/// Prefix of the names of all metrics.
const METRIC_PREFIX: &str = "lovagehall_";

/// Records a violation for each balancer whose list or settings are not the store's latest.
pub(crate) async fn check_balancers(network: &Network, report: &RunReport) {
    let expected = [
        ("store_era", network.store.era()),
        ("settings_version", network.settings_version),
    ];
    for address in network.status_addresses() {
        let Some(metrics) = read_metrics(address).await else {
            report.record_violation(format!("{address} doesn't tell its metrics"));
            continue;
        };
        for (name, value) in expected {
            let found = find_gauge(&metrics, name);
            if found != Some(value) {
                report.record_violation(format!(
                    "the balancer at {address} has {name} {found:?} instead of {value} at the end"
                ));
            }
        }
    }
}

/// Finds the value of a metric by its name without the program's prefix.
fn find_gauge(metrics: &str, name: &str) -> Option<u64> {
    let mut lines = metrics.lines().filter_map(|it| it.split_once(' '));
    let is_named = |it: &str| it.strip_prefix(METRIC_PREFIX) == Some(name);
    lines.find(|it| is_named(it.0))?.1.trim().parse().ok()
}

async fn read_metrics(address: SocketAddr) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        Some(response)
    };
    tokio::time::timeout(Duration::from_secs(1), exchange)
        .await
        .ok()?
}
