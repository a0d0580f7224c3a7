//! Runs a balancer: the datapath, its routing table and the controllers.

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

use self::tables::TablePublisher;
use crate::{common, error::RunError, grpc_server, metrics::CounterExporter};

/// Capacity of the queue of peer datagrams for the members controller.
const PEER_QUEUE_CAPACITY: usize = 4_096;

/// Time without datagrams from callers and agents after which a graceful stop ends early.
const DRAIN_IDLE_MS: Millis = Millis::new(1_000);

/// Runs a balancer until SIGTERM or SIGINT.
pub(crate) async fn run_balancer(settings: BalancerSettings) -> Result<(), RunError> {
    let incarnation = common::next_incarnation().await;
    let recorder = Recorder::new();
    let updater = new_table_updater(&settings)?;
    let publisher = TablePublisher::new(updater);
    let (datapath, peer_datagrams) = Datapath::bind(
        datapath_config(&settings, &recorder),
        publisher.shared_table(),
    )
    .map_err(|err| RunError::start_failed("the datapath", &err))?;
    let handle = datapath.handle();
    let link = PeerLink {
        incoming: forward_peer_datagrams(peer_datagrams),
        sender: TunnelSender(handle.clone()),
    };
    let members = start_members_controller(&settings, incarnation, &recorder, link).await?;
    let tls = common::peer_tls(&settings.tls);
    let role = Role::Balancer {
        platform: settings.platform_address,
    };
    let config = ControlConfig::new(
        settings.instance.clone(),
        role,
        common::bundle_key_set(&settings.operator_keys, &settings.root_keys),
        tls.clone(),
        settings.control_address,
        members.watch_control_addresses(),
    )
    .with_recorder(recorder.clone())
    .with_counters(common::new_counters(settings.statsd_address)?);
    let control = control::start_controllers(config)
        .await
        .map_err(|err| RunError::start_failed("the controllers", &err))?;
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
    let server = grpc_server::spawn_server(settings.control_address, &tls, routes).await?;
    let exporter = CounterExporter::new(control.counters().clone(), "datapath");
    let export_task =
        tokio::spawn(exporter.export_periodically(move || handle.counters().named_values()));
    let (stop_sender, stop_receiver) = oneshot::channel::<()>();
    let datapath_task = tokio::spawn(datapath.run(async move {
        // The datapath stops when the sender is dropped.
        drop(stop_receiver.await);
    }));
    control.wait_until_ready().await;
    recorder.record(Event::ProcessStarted { incarnation });
    log::info!(
        "balancer {} is serving, incarnation {incarnation}",
        settings.instance
    );
    let publisher_task = tokio::spawn(publisher.publish_changes(control.clone(), members.clone()));
    tokio::select! {
        res = common::wait_for_stop_signal() => res?,
        () = control.wait_until_controller_ended() => return Err(RunError::UnexpectedEnd { component: "a controller" }),
    }
    recorder.record(Event::ProcessStopping);
    log::info!("balancer {} is stopping", settings.instance);
    members.announce_leaving();
    drop(stop_sender);
    let report = datapath_task
        .await
        .map_err(|_panic| RunError::UnexpectedEnd {
            component: "the datapath",
        })?;
    publisher_task.abort();
    export_task.abort();
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

/// Creates the routing table updater with the fleet keys from the settings.
fn new_table_updater(settings: &BalancerSettings) -> Result<RoutingTableUpdater, RunError> {
    let invalid_keys = |err: flow::key::KeyError| RunError::InvalidField {
        field: "fleet_keys",
        cause: err.to_string(),
    };
    let mut keys = Vec::with_capacity(settings.fleet_keys.len());
    for key in &settings.fleet_keys {
        let secret = Secret::new(*key.key.secret_bytes());
        keys.push(FleetKey::new(key.index, secret).map_err(invalid_keys)?);
    }
    let current = keys.remove(0);
    RoutingTableUpdater::new(current, keys).map_err(invalid_keys)
}

fn datapath_config(settings: &BalancerSettings, recorder: &Recorder) -> DatapathConfig {
    let listen_at = settings
        .listen_ip
        .map_or(ListenAt::ServiceAddresses, ListenAt::Ip);
    DatapathConfig::new(settings.tunnel_address, listen_at)
        .with_drain(settings.drain_timeout_ms, DRAIN_IDLE_MS)
        .with_recorder(recorder.clone())
}

async fn start_members_controller(
    settings: &BalancerSettings,
    incarnation: Incarnation,
    recorder: &Recorder,
    link: PeerLink<TunnelSender>,
) -> Result<MembersHandle, RunError> {
    let own_info = BalancerInfo {
        name: settings.instance.clone(),
        address: settings.tunnel_address,
        control_address: settings.control_address,
    };
    let config = MembersConfig::new(own_info, incarnation, recorder.clone())
        .with_seeds(settings.peer_tunnels.clone(), settings.peers.clone());
    start_members(config, link)
        .await
        .map_err(|err| RunError::start_failed("the members controller", &err))
}

/// Forwards peer datagrams from the datapath to the members controller.
fn forward_peer_datagrams(
    mut datagrams: mpsc::Receiver<balancer::PeerDatagram>,
) -> mpsc::Receiver<PeerPacket> {
    let (sender, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
    tokio::spawn(async move {
        while let Some(it) = datagrams.recv().await {
            let packet = PeerPacket {
                from: it.from,
                scope: it.scope,
                payload: it.payload,
            };
            // A full queue drops the datagram; the membership protocol handles that like loss.
            if let Err(mpsc::error::TrySendError::Closed(_)) = sender.try_send(packet) {
                return;
            }
        }
    });
    receiver
}

/// Sends the controllers' peer datagrams through the datapath's tunnel sockets.
#[derive(Debug, Clone)]
struct TunnelSender(DatapathHandle);

impl PeerSend for TunnelSender {
    fn send_peer(&self, to: std::net::SocketAddr, scope: ServiceId, payload: &[u8]) {
        // The membership protocol handles a failed send like loss; the datapath counts sent
        // datagrams.
        drop(self.0.send_peer(to, scope, payload));
    }
}
