//! A small deployment that runs: the programs, endpoints, clients and the store.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{self, ClientSettings, Requests, Routers},
    endpoint::{Endpoint, EndpointSettings, Seen},
    record::Record,
    store::{Door, Store},
    world::{Node, Plan},
};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const BALANCERS_PER_ZONE: u8 = 2;
pub const BEAT: Duration = Duration::from_millis(770);

/// A service of the deployment.
#[derive(Debug, Clone)]
pub struct Service {
    pub name: &'static str,
    pub endpoints_per_zone: u8,
    pub work: Duration,
    /// Requests a second that a cold endpoint bears; zero if the operator states none.
    pub cold_per_s: u32,
}

/// A route of the operator's configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub address: SocketAddrV4,
    pub service: &'static str,
    pub kind: &'static str,
}

/// Returns the operator's configuration.
pub fn config(version: u64, routes: &[Route], services: &[Service]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(idx, it)| {
            format!(
                "{{\"name\":\"r-{idx}\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"{}\",\
                 \"timeout_ms\":2000,\"goal_ms\":250,\"priority\":1,\"service\":\"{}\",\
                 \"max_attempts\":2}}",
                it.address.ip(),
                it.address.port(),
                it.kind,
                it.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|it| {
            format!(
                "{{\"name\":\"{}\",\"health_path\":\"/health\",\"max_conns\":2000,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":2.0,\"cold_per_s\":{}.0}}",
                it.name, it.cold_per_s
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// An endpoint with the agent beside it.
#[derive(Debug)]
pub struct Side {
    pub zone: usize,
    pub settings: EndpointSettings,
    pub agent: Node,
    pub endpoint: Option<Endpoint>,
}

/// A balancer.
#[derive(Debug)]
pub struct Edge {
    pub zone: usize,
    pub name: String,
    pub ip: Ipv4Addr,
    pub node: Node,
}

/// The running deployment.
#[derive(Debug)]
pub struct Deployment {
    pub plan: Plan,
    folder: PathBuf,
    pub store: Arc<Store>,
    pub door: Door,
    pub edges: Vec<Edge>,
    pub sides: Vec<Side>,
    pub seen: Arc<Seen>,
    pub requests: Arc<Requests>,
    pub routers: Arc<Routers>,
    pub record: Arc<Record>,
    clients: Vec<JoinHandle<()>>,
    stop_clients: Arc<AtomicBool>,
}

impl Deployment {
    /// Starts all machines, and returns when every balancer is ready.
    pub fn start(config: &str, services: &[Service], record: &Arc<Record>) -> io::Result<Self> {
        let plan = Plan::find().ok_or_else(|| io::Error::other("no free ports"))?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::new();
        let store_address = plan.at(Ipv4Addr::new(127, 200, 1, 7), plan.ports.store);
        let door = store.listen(store_address)?;
        store.put("op/config", config, None);
        let seeds: Vec<Ipv4Addr> = (0..ZONES.len()).map(|it| plan.ip(it, 10)).collect();
        let (seen, requests) = (Arc::default(), Arc::default());
        let mut edges = Vec::new();
        let mut sides = Vec::new();
        for (zone, zone_name) in ZONES.iter().enumerate() {
            for idx in 0..BALANCERS_PER_ZONE {
                let ip = plan.ip(zone, 10 + idx);
                let name = format!("edge-{zone_name}-{idx}");
                let settings = plan.balancer_settings(&name, zone_name, ip, &seeds, store_address);
                let node = Node::new("passthrough-balancer", &name, &folder, &settings)?;
                edges.push(Edge {
                    zone,
                    name,
                    ip,
                    node,
                });
            }
            let mut machine = 20;
            for service in services {
                for idx in 0..service.endpoints_per_zone {
                    let ip = plan.ip(zone, machine);
                    machine += 1;
                    let name = format!("side-{zone_name}-{}-{idx}", service.name);
                    let settings = plan.agent_settings(&name, zone_name, ip, service.name);
                    sides.push(Side {
                        zone,
                        settings: EndpointSettings {
                            id: format!("i-{zone_name}-{}-{idx}", service.name),
                            service: service.name.to_owned(),
                            zone: (*zone_name).to_owned(),
                            app: plan.at(ip, plan.ports.app),
                            outbound: plan.at(ip, plan.ports.outbound),
                            slots: 2,
                            queue: 8,
                            work: service.work,
                            cold: Duration::from_secs(2),
                            cold_factor: 1.6,
                            beat: BEAT,
                        },
                        agent: Node::new("passthrough-agent", &name, &folder, &settings)?,
                        endpoint: None,
                    });
                }
            }
        }
        let nodes: Vec<_> = edges
            .iter()
            .map(|it| {
                (
                    it.zone,
                    plan.at(it.ip, plan.ports.packet),
                    plan.at(it.ip, plan.ports.ready),
                )
            })
            .collect();
        let routers = Routers::start(&nodes);
        let mut deployment = Self {
            plan,
            folder,
            store,
            door,
            edges,
            sides,
            seen,
            requests,
            routers,
            record: Arc::clone(record),
            clients: Vec::new(),
            stop_clients: Arc::default(),
        };
        for idx in 0..deployment.sides.len() {
            deployment.start_endpoint(idx, false, Duration::ZERO)?;
            deployment.sides[idx].agent.start()?;
        }
        for edge in &mut deployment.edges {
            edge.node.start()?;
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while self.routers.ready_count() < self.edges.len() {
            if Instant::now() > until {
                return Err(io::Error::other("not all balancers became ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Starts the endpoint of a side machine.
    pub fn start_endpoint(
        &mut self,
        idx: usize,
        is_cold: bool,
        first_beat: Duration,
    ) -> io::Result<()> {
        let settings = &self.sides[idx].settings;
        let endpoint = Endpoint::start(
            settings,
            is_cold,
            first_beat,
            &self.store,
            &self.seen,
            &self.record,
        )?;
        self.sides[idx].endpoint = Some(endpoint);
        Ok(())
    }

    /// Starts a client in each zone that sends `per_s` requests a second to a route, each on a flow
    /// of its own.
    pub fn start_clients(
        &mut self,
        service_address: SocketAddrV4,
        machine: u8,
        per_s: f64,
    ) -> io::Result<()> {
        self.start_clients_with(service_address, machine, |it| it.per_s = per_s)
    }

    /// Starts a client in each zone whose settings `change` adjusts.
    pub fn start_clients_with(
        &mut self,
        service_address: SocketAddrV4,
        machine: u8,
        change: impl Fn(&mut ClientSettings),
    ) -> io::Result<()> {
        for zone in 0..ZONES.len() {
            let mut settings = ClientSettings {
                ip: self.plan.ip(zone, machine),
                port: self.plan.ports.packet,
                zone,
                service_address,
                per_s: 10.0,
                deadline: Duration::from_secs(2),
                next_request: None,
                flows_max: usize::MAX,
            };
            change(&mut settings);
            self.clients.push(client::start_client(
                settings,
                &self.routers,
                &self.requests,
                &self.record,
                &self.stop_clients,
            )?);
        }
        Ok(())
    }

    /// Lets the clients end their last requests.
    pub fn stop_clients(&mut self) {
        self.stop_clients.store(true, Ordering::SeqCst);
        for it in self.clients.drain(..) {
            let _ended = it.join();
        }
    }

    /// Says how many requests ended in which way.
    pub fn say_outcomes(&self) {
        let sent = self
            .requests
            .sent
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut counts: std::collections::BTreeMap<&str, usize> = std::collections::BTreeMap::new();
        for it in sent.iter() {
            *counts.entry(it.outcome).or_default() += 1;
        }
        self.record.say(&format!(
            "requests: {} sent, by outcome {counts:?}",
            sent.len()
        ));
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop_clients.store(true, Ordering::SeqCst);
        for side in &mut self.sides {
            side.agent.kill();
            if let Some(it) = side.endpoint.take() {
                it.crash();
            }
        }
        for edge in &mut self.edges {
            edge.node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _gone = fs::remove_dir_all(&self.folder);
        }
    }
}
