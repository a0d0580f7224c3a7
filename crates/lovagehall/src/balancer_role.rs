//! The balancer: the datapath, its table, and the controllers that feed it.

mod tables;

use std::time::Instant;

use balancer::{
    Config as DatapathConfig, Datapath, DatapathHandle, DrainEnd, ListenAt, RoutingTableUpdater,
};
use control::{
    ControlConfig, PeerLink, PeerPacket, PeerSend, Role,
    inspect::{InspectService, ProcessStatus},
    members::{MembersConfig, MembersHandle, start_members},
};
use flow::key::{FleetKey, Secret};
use membership::BalancerInfo;
use settings::BalancerSettings;
use timeline::{Event, Recorder};
use tokio::sync::{mpsc, oneshot};
use tonic::service::Routes;
use units::{Incarnation, Millis, ServiceId};

use self::tables::Tables;
use crate::{calls, common, error::RunError, metrics::Export};

/// Peer datagrams that may wait for the members controller.
const PEER_PACKETS_MAX: usize = 4_096;

/// Time without callers' datagrams that ends a graceful stop.
const QUIET_MS: Millis = Millis::new(1_000);

/// Runs a balancer until the stop signal.
pub(crate) async fn run(settings: BalancerSettings) -> Result<(), RunError> {
    let incarnation = common::incarnation().await;
    let recorder = Recorder::new();
    let feed = feed(&settings)?;
    let tables = Tables::new(feed);
    let (datapath, peer_datagrams) =
        Datapath::bind(datapath_config(&settings, &recorder), tables.shared())
            .map_err(|err| RunError::start("the datapath", &err))?;
    let handle = datapath.handle();
    let link = PeerLink {
        incoming: forward(peer_datagrams),
        sender: TunnelSender(handle.clone()),
    };
    let members = members(&settings, incarnation, &recorder, link).await?;
    let tls = common::peer_tls(&settings.tls);
    let role = Role::Balancer {
        platform: settings.platform_address,
    };
    let config = ControlConfig::new(
        settings.instance.clone(),
        role,
        common::key_set(&settings.operator_keys, &settings.root_keys),
        tls.clone(),
        settings.control_address,
        members.watch_control_addresses(),
    )
    .with_recorder(recorder.clone())
    .with_counters(common::counters(settings.statsd_address)?);
    let control = control::start_controllers(config)
        .await
        .map_err(|err| RunError::start("the controllers", &err))?;
    let status = ProcessStatus {
        instance: settings.instance.clone(),
        role: "balancer",
        zone: settings.zone.clone(),
        incarnation,
        started: Instant::now(),
        control: control.clone(),
        members: Some(members.clone()),
    };
    let inspect = InspectService::server(settings.instance.clone(), recorder.clone(), status);
    let routes = Routes::new(control.bundles_server()).add_service(inspect);
    let server = calls::serve(settings.control_address, &tls, routes).await?;
    let export = Export::new(control.counters().clone(), "datapath");
    let exporting = tokio::spawn(export.run(move || handle.counters().list()));
    let (stop, stopped) = oneshot::channel::<()>();
    let forwarding = tokio::spawn(datapath.run(async move {
        // A dropped sender stops the datapath too.
        drop(stopped.await);
    }));
    control.wait_until_ready().await;
    recorder.record(Event::ProcessStarted { incarnation });
    log::info!(
        "balancer {} serves, incarnation {incarnation}",
        settings.instance
    );
    let following = tokio::spawn(tables.follow(control.clone(), members.clone()));
    tokio::select! {
        res = common::stop_signal() => res?,
        () = control.wait_until_ended() => return Err(RunError::Ended { part: "a controller" }),
    }
    recorder.record(Event::ProcessStopping);
    log::info!("balancer {} stops", settings.instance);
    members.leave();
    drop(stop);
    let report = forwarding.await.map_err(|_panic| RunError::Ended {
        part: "the datapath",
    })?;
    following.abort();
    exporting.abort();
    server.abort();
    let left = if report.end == DrainEnd::Quiet {
        0
    } else {
        report.datagrams
    };
    recorder.record(Event::ProcessStopped { left });
    log::info!(
        "balancer {} stopped after {}",
        settings.instance,
        report.elapsed_ms
    );
    Ok(())
}

fn feed(settings: &BalancerSettings) -> Result<RoutingTableUpdater, RunError> {
    let unusable = |err: flow::key::KeyError| RunError::Field {
        field: "fleet_keys",
        cause: err.to_string(),
    };
    let mut keys = Vec::with_capacity(settings.fleet_keys.len());
    for key in &settings.fleet_keys {
        let secret = Secret::new(*key.key.expose());
        keys.push(FleetKey::new(key.index, secret).map_err(unusable)?);
    }
    let current = keys.remove(0);
    RoutingTableUpdater::new(current, keys).map_err(unusable)
}

fn datapath_config(settings: &BalancerSettings, recorder: &Recorder) -> DatapathConfig {
    let listen_at = settings
        .listen_ip
        .map_or(ListenAt::ServiceAddresses, ListenAt::Ip);
    DatapathConfig::new(settings.tunnel_address, listen_at)
        .with_drain(settings.drain_timeout_ms, QUIET_MS)
        .with_recorder(recorder.clone())
}

async fn members(
    settings: &BalancerSettings,
    incarnation: Incarnation,
    recorder: &Recorder,
    link: PeerLink<TunnelSender>,
) -> Result<MembersHandle, RunError> {
    let introduction = BalancerInfo {
        name: settings.instance.clone(),
        address: settings.tunnel_address,
        control_address: settings.control_address,
    };
    let config = MembersConfig::new(introduction, incarnation, recorder.clone())
        .with_seeds(settings.peer_tunnels.clone(), settings.peers.clone());
    start_members(config, link)
        .await
        .map_err(|err| RunError::start("the members controller", &err))
}

/// Passes the datapath's peer datagrams on in the controllers' form.
fn forward(mut datagrams: mpsc::Receiver<balancer::PeerDatagram>) -> mpsc::Receiver<PeerPacket> {
    let (sender, receiver) = mpsc::channel(PEER_PACKETS_MAX);
    tokio::spawn(async move {
        while let Some(it) = datagrams.recv().await {
            let packet = PeerPacket {
                from: it.from,
                scope: it.scope,
                payload: it.payload,
            };
            // Dropping a datagram when the controller is behind is as good as a loss.
            if let Err(mpsc::error::TrySendError::Closed(_)) = sender.try_send(packet) {
                return;
            }
        }
    });
    receiver
}

/// Sends the controllers' datagrams through the datapath's tunnel.
#[derive(Debug, Clone)]
struct TunnelSender(DatapathHandle);

impl PeerSend for TunnelSender {
    fn send_peer(&self, to: std::net::SocketAddr, scope: ServiceId, payload: &[u8]) {
        // A failure is as good as a loss; the datapath counts what it sent.
        drop(self.0.send_peer(to, scope, payload));
    }
}
