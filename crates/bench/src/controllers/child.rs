//! The control process: a balancer's controllers, reporting what is in force.

use std::{
    io::{Read as _, Write as _},
    net::SocketAddr,
    path::Path,
    thread,
};

use bundle::{KeySet, PublicKey};
use control::{Config, Handle, PeerTls, Role, server_tls, start};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::watch};
use units::InstanceId;
use wire::bundles::bundles_server::BundlesServer;

use super::report::{Report, now_us};
use crate::error::{BenchError, Result};

/// Threads of the runtime; a control process is idle most of the time.
const THREADS: usize = 1;

/// What a control process is told.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ChildSettings {
    pub(super) instance: InstanceId,
    pub(super) control_address: SocketAddr,
    pub(super) platform: SocketAddr,
    pub(super) peers: Vec<SocketAddr>,
    pub(super) operator: PublicKey,
    pub(super) ca_pem: String,
    pub(super) certificate_pem: String,
    pub(super) key_pem: String,
    pub(super) seed: u64,
}

/// Runs a control process until its standard input ends.
pub(crate) fn run(settings: &Path) -> Result<()> {
    let bytes =
        std::fs::read(settings).map_err(|err| BenchError::setup("reading settings", &err))?;
    let settings: ChildSettings = serde_json::from_slice(&bytes)
        .map_err(|err| BenchError::setup("parsing settings", &err))?;
    end_with_parent();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .map_err(|err| BenchError::setup("starting the runtime", &err))?
        .block_on(serve(settings))
}

async fn serve(settings: ChildSettings) -> Result<()> {
    let listener = TcpListener::bind(settings.control_address)
        .await
        .map_err(|err| BenchError::setup("binding the control address", &err))?;
    let tls = PeerTls::new(settings.ca_pem, settings.certificate_pem, settings.key_pem);
    let (_peers, peers) = watch::channel(settings.peers);
    let role = Role::Balancer {
        platform: settings.platform,
    };
    let keys = KeySet::new(vec![settings.operator]);
    let config = Config::new(
        settings.instance,
        role,
        keys,
        tls.clone(),
        settings.control_address,
        peers,
    )
    .with_seed(settings.seed);
    let handle = start(config)
        .await
        .map_err(|err| BenchError::setup("starting controllers", &err))?;
    tokio::spawn(report(handle.clone()));
    let tls = server_tls(&tls).map_err(|err| BenchError::setup("reading certificates", &err))?;
    serve_calls(listener, tls, handle.calls()).await
}

async fn serve_calls(
    listener: TcpListener,
    tls: tonic::transport::ServerTlsConfig,
    calls: BundlesServer<control::BundleCalls>,
) -> Result<()> {
    tonic::transport::Server::builder()
        .tls_config(tls)
        .map_err(|err| BenchError::setup("reading certificates", &err))?
        .add_service(calls)
        .serve_with_incoming(tonic::transport::server::TcpIncoming::from(listener))
        .await
        .map_err(|err| BenchError::setup("serving calls", &err))
}

/// Reports what is held at the start, then every change.
async fn report(handle: Handle) {
    let mut changes = handle.changes();
    handle.ready().await;
    changes.mark_unchanged();
    let mut reported = Vec::new();
    report_new(&handle, &mut reported);
    print(&Report::Ready);
    while changes.changed().await.is_ok() {
        report_new(&handle, &mut reported);
    }
}

fn report_new(handle: &Handle, reported: &mut Vec<(u32, u64)>) {
    let at_us = now_us();
    let held: Vec<(u32, u64)> = handle
        .snapshot()
        .iter()
        .map(|it| (it.service().get(), it.current.bundle.version.get()))
        .collect();
    for &(service, version) in held.iter().filter(|it| !reported.contains(it)) {
        print(&Report::InForce {
            service,
            version,
            at_us,
        });
    }
    *reported = held;
}

fn print(report: &Report) {
    let line = serde_json::to_string(report).expect("a report has a JSON form");
    let mut out = std::io::stdout().lock();
    // The parent may be gone; then this process is about to end.
    drop(writeln!(out, "{line}").and_then(|()| out.flush()));
}

/// Ends this process when the parent has ended.
fn end_with_parent() {
    thread::spawn(|| {
        let mut rest = Vec::new();
        drop(std::io::stdin().read_to_end(&mut rest));
        std::process::exit(0);
    });
}
