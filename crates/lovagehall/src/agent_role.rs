//! Runs the agent of one upstream endpoint together with its controllers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use agent::{
    Agent, AgentEvent, Config as AgentConfig, PeerSender, RequestMonitor, RequestSample,
    RequestsService, TlsIdentity,
};
use arc_swap::ArcSwap;
use bundle::InForce;
use control::{
    ControlConfig, ControlHandle, PeerLink, PeerPacket, PeerSend, Role,
    inspect::{InspectService, ProcessStatus},
    responder::{ResponderConfig, start_responder},
};
use flow::key::{Secret, ServiceKey, ServiceKeys};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _};
use settings::{AgentSettings, CallerTls};
use timeline::{Event, Recorder};
use tokio::sync::{broadcast, mpsc, watch};
use tonic::service::Routes;
use units::{Incarnation, Millis, ServiceId};

use crate::{common, error::RunError, grpc_server, metrics::CounterExporter};

/// Capacity of the queue of peer datagrams for the responder.
const PEER_QUEUE_CAPACITY: usize = 1_024;

/// Interval at which the agent's request counters and load are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an agent until SIGTERM or SIGINT.
pub(crate) async fn run_agent(settings: AgentSettings) -> Result<(), RunError> {
    let incarnation = common::next_incarnation().await;
    let recorder = Recorder::new();
    let tls = common::peer_tls(&settings.tls);
    let (_balancers, balancers) = watch::channel(settings.balancers.clone());
    let config = ControlConfig::new(
        settings.instance.clone(),
        Role::Agent {
            service: settings.service,
        },
        common::bundle_key_set(&settings.operator_keys, &settings.root_keys),
        tls.clone(),
        settings.control_address,
        balancers,
    )
    .with_recorder(recorder.clone())
    .with_counters(common::new_counters(settings.statsd_address)?);
    let control = control::start_controllers(config)
        .await
        .map_err(|err| RunError::start_failed("the controllers", &err))?;
    let status = ProcessStatus {
        instance: settings.instance.clone(),
        role: "agent",
        zone: settings.zone.clone(),
        incarnation,
        started: Instant::now(),
        control: control.clone(),
        members: None,
    };
    let inspect = InspectService::server(settings.instance.clone(), recorder.clone(), status);
    let requests_service = RequestsService::default();
    let routes = Routes::new(control.bundles_server())
        .add_service(inspect)
        .add_service(requests_service.server());
    let server = grpc_server::spawn_server(settings.control_address, &tls, routes).await?;
    control.wait_until_ready().await;
    let config = agent_config(&settings, incarnation)?.with_peer_tls(tls);
    let started = tokio::select! {
        started = start_when_in_bundle(&control, config) => started?,
        res = common::wait_for_stop_signal() => return res,
    };
    let (agent, in_force) = started;
    agent.activate_calls(&requests_service);
    recorder.record(Event::ProcessStarted { incarnation });
    log::info!(
        "agent {} is serving, incarnation {incarnation}",
        settings.instance
    );
    let exporter = CounterExporter::new(control.counters().clone(), "agent");
    let (counters, gate) = (Arc::clone(agent.counters()), Arc::clone(agent.gate()));
    let export_task = tokio::spawn(exporter.export_periodically(move || {
        let mut values = counters.values();
        values.extend(gate.counters().values());
        values
    }));
    let monitor_task = tokio::spawn(monitor_requests(&agent, settings.service, recorder.clone()));
    let agent = run_until_stop(agent, &in_force, &control, &settings, incarnation).await?;
    recorder.record(Event::ProcessStopping);
    log::info!("agent {} is stopping", settings.instance);
    let report = agent.stop().await;
    export_task.abort();
    monitor_task.abort();
    server.abort();
    let left = report.connections_cut as u64 + u64::from(report.requests_cut);
    recorder.record(Event::ProcessStopped { left });
    log::info!(
        "agent {} stopped after {}; {left} connections and requests were cut off",
        settings.instance,
        report.took_ms
    );
    if left > 0 {
        return Err(RunError::DrainTimedOut { left });
    }
    Ok(())
}

/// Starts the agent as soon as its service's bundle in force lists the agent's endpoint.
async fn start_when_in_bundle(
    control: &ControlHandle,
    config: AgentConfig,
) -> Result<(Agent, Arc<ArcSwap<InForce>>), RunError> {
    let mut changes = control.watch_changes();
    let mut is_wait_logged = false;
    loop {
        changes.mark_unchanged();
        if let Some(in_force) = find_bundle_in_force(control, config.service) {
            let in_force = Arc::new(ArcSwap::from_pointee(in_force));
            match Agent::start(config.clone(), Arc::clone(&in_force)) {
                Ok(agent) => return Ok((agent, in_force)),
                Err(agent::StartError::NotInBundle(_)) => {}
                Err(err) => return Err(RunError::start_failed("the agent", &err)),
            }
        }
        if !is_wait_logged {
            log::warn!(
                "no bundle in force names endpoint {} of service {}; waiting for one",
                config.endpoint,
                config.service
            );
            is_wait_logged = true;
        }
        if changes.changed().await.is_err() {
            return Err(RunError::UnexpectedEnd {
                component: "a controller",
            });
        }
    }
}

/// Runs the agent until SIGTERM or SIGINT.
///
/// Meanwhile, this function passes new bundles from the controllers to the agent, higher bundle
/// versions that the agent saw to the controllers, and peer datagrams to the responder.
async fn run_until_stop(
    mut agent: Agent,
    in_force: &ArcSwap<InForce>,
    control: &ControlHandle,
    settings: &AgentSettings,
    incarnation: Incarnation,
) -> Result<Agent, RunError> {
    let (packets, incoming) = mpsc::channel(PEER_QUEUE_CAPACITY);
    let link = PeerLink {
        incoming,
        sender: TunnelSender(agent.peer_sender()),
    };
    let responder_config = ResponderConfig {
        endpoint: settings.endpoint,
        service: settings.service,
        incarnation,
    };
    let responder = start_responder(responder_config, link)
        .await
        .map_err(|err| RunError::start_failed("the responder", &err))?;
    let mut changes = control.watch_changes();
    let mut highest_seen_version = agent.highest_seen_version();
    let mut events = agent.events();
    let mut stop = std::pin::pin!(common::wait_for_stop_signal());
    loop {
        tokio::select! {
            res = &mut stop => {
                res?;
                responder.announce_leaving();
                return Ok(agent);
            }
            () = control.wait_until_controller_ended() => return Err(RunError::UnexpectedEnd {
                component: "a controller",
            }),
            Ok(()) = changes.changed() => {
                if let Some(newer) = find_bundle_in_force(control, settings.service) {
                    in_force.store(Arc::new(newer));
                }
            }
            Ok(()) = highest_seen_version.changed() => {
                control.pull_bundle(settings.service, *highest_seen_version.borrow_and_update());
            }
            event = events.recv() => log_agent_event(&event),
            Some(it) = agent.receive_peer_datagram() => {
                let packet =
                    PeerPacket { from: it.from, scope: settings.service, payload: it.payload.into() };
                // A full queue drops the datagram; the membership protocol handles that like loss.
                drop(packets.try_send(packet));
            }
        }
    }
}

/// Samples the agent's request counters and load, and records events on changes; never returns.
fn monitor_requests(
    agent: &Agent,
    service: ServiceId,
    recorder: Recorder,
) -> impl Future<Output = ()> + Send + 'static {
    let (counters, gate) = (Arc::clone(agent.counters()), Arc::clone(agent.gate()));
    let load = Arc::clone(agent.load());
    async move {
        let mut monitor = RequestMonitor::new(service);
        let started = Instant::now();
        let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
        loop {
            ticks.tick().await;
            let now_load = gate.load();
            let sample = RequestSample {
                refused: gate.counters().refused_for_lack_of_capacity(),
                outcomes_unknown: counters.outcomes_unknown.get(),
                waiting: now_load.waiting,
                limit: now_load.limit,
                slots: u32::from(load.get().total.get()),
            };
            let now = Millis::from_duration(started.elapsed());
            for event in monitor.observe(now, sample) {
                log::info!("{event}");
                recorder.record(event);
            }
        }
    }
}

fn log_agent_event(event: &Result<AgentEvent, broadcast::error::RecvError>) {
    match event {
        Ok(AgentEvent::PhaseChanged(phase)) => log::info!("phase {phase:?}"),
        Ok(AgentEvent::BundleApplied(version)) => log::info!("bundle version {version} applied"),
        Ok(AgentEvent::NewerBundleSeen(_)) | Err(_) => {}
    }
}

/// Returns the bundle in force of a service: the accepted bundle that this process applies.
fn find_bundle_in_force(control: &ControlHandle, service: ServiceId) -> Option<InForce> {
    let snapshot = control.bundles_in_force();
    let idx = snapshot
        .binary_search_by_key(&service, InForce::service)
        .ok()?;
    Some(snapshot[idx].clone())
}

fn agent_config(
    settings: &AgentSettings,
    incarnation: Incarnation,
) -> Result<AgentConfig, RunError> {
    let config = AgentConfig::new(
        settings.instance.clone(),
        settings.service,
        settings.endpoint,
        incarnation,
        settings.tunnel_address,
        Arc::new(parse_service_keys(settings)?),
        parse_tls_identity(&settings.caller_tls)?,
    );
    Ok(config.with_balancers(settings.balancer_tunnels.clone()))
}

fn parse_service_keys(settings: &AgentSettings) -> Result<ServiceKeys, RunError> {
    let invalid_keys = |err: flow::key::KeyError| RunError::InvalidField {
        field: "service_keys",
        cause: err.to_string(),
    };
    let mut keys = Vec::with_capacity(settings.service_keys.len());
    for key in &settings.service_keys {
        let secret = Secret::new(*key.key.secret_bytes());
        keys.push(ServiceKey::new(key.index, &secret).map_err(invalid_keys)?);
    }
    let current = keys.remove(0);
    ServiceKeys::new(current, keys).map_err(invalid_keys)
}

fn parse_tls_identity(tls: &CallerTls) -> Result<TlsIdentity, RunError> {
    let invalid_pem =
        |field: &'static str, err: rustls_pki_types::pem::Error| RunError::InvalidField {
            field,
            cause: format!("{err}; paste the whole PEM text"),
        };
    let certificates = CertificateDer::pem_slice_iter(tls.certificate_pem.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .map_err(|err| invalid_pem("caller_tls.certificate_pem", err))?;
    let private_key = PrivateKeyDer::from_pem_slice(tls.key_pem.as_bytes())
        .map_err(|err| invalid_pem("caller_tls.key_pem", err))?;
    Ok(TlsIdentity {
        certificates,
        private_key,
    })
}

/// Sends the responder's peer datagrams through the agent's tunnel socket.
#[derive(Debug, Clone)]
struct TunnelSender(PeerSender);

impl PeerSend for TunnelSender {
    fn send_peer(&self, to: SocketAddr, _scope: ServiceId, payload: &[u8]) {
        // The membership protocol handles a failed send like network loss.
        drop(self.0.send(to, payload));
    }
}
