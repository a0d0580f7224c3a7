//! Test network of one soak run: the processes under test and their simulated peers.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{Rng as _, rngs::StdRng};
use serde_json::{Value, json};

use crate::{
    caller::Caller, endpoint::Endpoint, process::Process, proxy::Proxy, report::RunReport,
    router::Router, store::Store,
};

const PEER_PORT: u16 = 27_720;
const CALLER_PORT: u16 = 27_721;
const READY_PORT: u16 = 27_722;
const ENDPOINT_PORT: u16 = 27_723;
const OUTBOUND_PORT: u16 = 27_724;

const BALANCERS: u8 = 3;
const CALLERS: u8 = 12;

/// Numbers of ports that callers use by turns.
const FEW_PORTS: u16 = 4;
const MANY_PORTS: u16 = 58_000;

/// Number of loopback subnets that a run can choose from.
const SUBNETS: u32 = 128;

/// Name, address and number of endpoints of each service.
const SERVICES: [(&str, SocketAddrV4, u8); 2] = [
    (
        "ledger",
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        4,
    ),
    (
        "tariff",
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443),
        2,
    ),
];

/// Availability zones, between which the endpoints of a service alternate.
pub(crate) const ZONES: [&str; 2] = ["a", "b"];

/// Address of a route that all services share, by weights that change.
const SHARED_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 443);

/// Number of callers of the shared route, in addition to `CALLERS`.
const SHARED_ROUTE_CALLERS: u8 = 4;

/// Test network of one soak run: the processes under test and their simulated peers.
#[derive(Debug)]
pub(crate) struct Network {
    /// Second octet of the loopback addresses, which differs between concurrent runs.
    subnet: u8,
    /// Bound socket that reserves the subnet for this run.
    _subnet_reservation: UdpSocket,
    pub(crate) balancers: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) endpoints: Arc<Mutex<Vec<Endpoint>>>,
    pub(crate) store: Store,
    pub(crate) router: Router,
    report: Arc<RunReport>,
    pub(crate) settings_version: u64,
    /// Weights of the services on the shared route; a service without weight is not a target.
    pub(crate) shared_weights: [u32; SERVICES.len()],
    folder: PathBuf,
}

impl Network {
    /// Starts the store, the endpoints, the agents and the balancers of a run.
    pub(crate) async fn start(
        program: &Path,
        seed: u64,
        report: &Arc<RunReport>,
    ) -> io::Result<Self> {
        let (subnet, reservation) = reserve_subnet()?;
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::new();
        let store_address = store.start_server().await?;
        let mut network = Self {
            subnet,
            _subnet_reservation: reservation,
            balancers: Vec::new(),
            agents: Vec::new(),
            proxies: Vec::new(),
            endpoints: Arc::default(),
            store,
            router: Router::start(
                (0..BALANCERS).map(|it| balancer_ip(subnet, it)).collect(),
                READY_PORT,
            ),
            report: Arc::clone(report),
            settings_version: 1,
            shared_weights: [3, 1],
            folder,
        };
        network.publish_settings();
        let mut number = 0;
        for (service, address, count) in SERVICES {
            for _ in 0..count {
                network
                    .start_endpoint(program, number, service, address)
                    .await?;
                number += 1;
            }
        }
        for number in 0..BALANCERS {
            let proxy = Proxy::start(store_address).await?;
            let settings = network.balancer_settings(number, &proxy);
            let name = format!("balancer-{number}");
            let folder = &network.folder;
            let role = "passthrough-balancer";
            let process = Process::start(program, folder, role, (name, &settings), report)?;
            network.balancers.push(process);
            network.proxies.push(proxy);
        }
        Ok(network)
    }

    /// Waits at most 5 s until all balancers are ready; returns whether all are ready.
    pub(crate) async fn wait_until_ready(&self) -> bool {
        for _ in 0..50 {
            if self.router.ready_instance_count() == usize::from(BALANCERS) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Starts the callers. Half of them open a flow for each request, the others reuse their flows. Half
    /// of each use the port of an earlier flow again soon.
    pub(crate) fn start_callers(&self, rng: &mut StdRng) {
        for number in 0..CALLERS {
            let service_address = SERVICES[usize::from(number % 3 / 2)].1;
            let requests_per_flow = if number.is_multiple_of(2) { 1 } else { 40 };
            let ports = match number % 4 {
                0 => 1,
                1 => FEW_PORTS,
                _ => MANY_PORTS,
            };
            let habit = (requests_per_flow, ports);
            self.start_caller(number, service_address, habit, rng.random());
        }
    }

    /// Starts the callers of the shared route, which keep their flows open over its changes.
    pub(crate) fn start_shared_route_callers(&self, rng: &mut StdRng) {
        for number in CALLERS..CALLERS + SHARED_ROUTE_CALLERS {
            self.start_caller(number, SHARED_ADDRESS, (40, MANY_PORTS), rng.random());
        }
    }

    fn start_caller(
        &self,
        number: u8,
        service_address: SocketAddrV4,
        (requests_per_flow, ports): (u32, u16),
        seed: u64,
    ) {
        let caller = Caller {
            ip: Ipv4Addr::new(127, self.subnet, 3, number + 1),
            packet_port: CALLER_PORT,
            service_address,
            router: self.router.clone(),
            endpoints: Arc::clone(&self.endpoints),
            report: Arc::clone(&self.report),
            requests_per_flow,
            ports,
        };
        let report = Arc::clone(&self.report);
        tokio::spawn(async move {
            if let Err(err) = caller.send_requests(seed).await {
                report.record_violation(format!("a caller can't bind its socket: {err}"));
            }
        });
    }

    /// Returns the addresses at which the balancers tell their readiness and metrics.
    pub(crate) fn status_addresses(&self) -> Vec<SocketAddr> {
        let address = |it| SocketAddr::from((balancer_ip(self.subnet, it), READY_PORT));
        (0..BALANCERS).map(address).collect()
    }

    /// Publishes the operator's settings in the store, under the current settings version.
    pub(crate) fn publish_settings(&self) {
        let route_entry = |(name, address, _): &(&str, SocketAddrV4, u8)| {
            json!({
                "name": format!("r-{name}"), "hostname": address.ip().to_string(),
                "prefix": format!("/{}/", address.port()), "type": "idempotent",
                "timeout_ms": 2000, "goal_ms": 200, "priority": 1, "service": name,
            })
        };
        let mut routes: Vec<Value> = SERVICES.iter().map(route_entry).collect();
        let split = SERVICES.iter().zip(self.shared_weights);
        let split: Vec<Value> = split
            .map(|(it, weight)| json!({"service": it.0, "weight": weight}))
            .collect();
        routes.push(json!({
            "name": "r-shared", "hostname": SHARED_ADDRESS.ip().to_string(),
            "prefix": format!("/{}/", SHARED_ADDRESS.port()), "type": "idempotent",
            "timeout_ms": 2000, "goal_ms": 200, "priority": 1, "split": split,
        }));
        let config = json!({
            "version": self.settings_version, "routes": routes, "services": [],
            "limits": {"idle_timeout_ms": 15_000 + self.settings_version},
        });
        self.store.put_entry("op/config", &config);
    }

    /// Takes an availability zone out of use or back, as the operator does.
    pub(crate) fn set_zone_evacuated(&self, zone: &str, is_evacuated: bool) {
        let key = format!("op/evacuate/{zone}");
        if is_evacuated {
            self.store.put_entry(&key, &json!({}));
        } else {
            self.store.remove_entry(&key);
        }
        let endpoints = self
            .endpoints
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for endpoint in endpoints.iter().filter(|it| it.zone == zone) {
            endpoint.set_evacuated(is_evacuated);
        }
    }

    /// Stops all processes under test. Their logs are kept if the run violated an invariant.
    pub(crate) async fn stop_processes(&mut self, report: &RunReport) {
        for process in self.balancers.iter_mut().chain(&mut self.agents) {
            process.check_health();
        }
        for process in &mut self.balancers {
            process.kill();
        }
        for process in &mut self.agents {
            process.terminate().await;
        }
        if report.has_passed() {
            // Logs that can't be removed only use disk space.
            let _left = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!(
                "soak: the logs of the failed run are in {}",
                self.folder.display()
            );
        }
    }

    async fn start_endpoint(
        &mut self,
        program: &Path,
        number: u8,
        service: &'static str,
        service_address: SocketAddrV4,
    ) -> io::Result<()> {
        let ip = Ipv4Addr::new(127, self.subnet, 2, number + 1);
        let at = |port| SocketAddrV4::new(ip, port);
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let settings = json!({
            "instance": format!("agent-{number}"), "availability_zone": zone, "address": ip,
            "service": service, "endpoint_address": at(ENDPOINT_PORT).to_string(),
            "outbound_address": at(OUTBOUND_PORT).to_string(),
            "caller_address": at(CALLER_PORT).to_string(), "peer_port": PEER_PORT,
            "readiness_address": at(READY_PORT).to_string(),
        });
        let name = format!("agent-{number}");
        let (folder, report) = (&self.folder, &self.report);
        let role = "passthrough-agent";
        let process = Process::start(program, folder, role, (name, &settings), report)?;
        self.agents.push(process);
        let endpoint = Endpoint::start(
            format!("e-{number}"),
            (service, zone, [service_address, SHARED_ADDRESS]),
            (at(ENDPOINT_PORT), at(OUTBOUND_PORT)),
            self.store.clone(),
            Arc::clone(&self.report),
        )
        .await?;
        let mut endpoints = self
            .endpoints
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        endpoints.push(endpoint);
        Ok(())
    }

    fn balancer_settings(&self, number: u8, proxy: &Proxy) -> Value {
        let ip = balancer_ip(self.subnet, number);
        let at = |port| SocketAddrV4::new(ip, port).to_string();
        let seed = SocketAddrV4::new(balancer_ip(self.subnet, 0), PEER_PORT).to_string();
        json!({
            "instance": format!("balancer-{number}"), "availability_zone": "a", "address": ip,
            "caller_address": at(CALLER_PORT), "peer_port": PEER_PORT, "link_mbps": 1_000,
            "seeds": [seed], "store_address": proxy.address.to_string(),
            "readiness_address": at(READY_PORT), "stop_grace_s": 6,
        })
    }
}

/// Reserves a loopback subnet that no other run uses. The search for one starts at a subnet derived
/// from the process id.
fn reserve_subnet() -> io::Result<(u8, UdpSocket)> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for offset in 0..SUBNETS {
        let number = (std::process::id() + offset) % SUBNETS;
        let subnet = u8::try_from(64 + number).unwrap_or(64);
        match UdpSocket::bind((Ipv4Addr::new(127, subnet, 0, 1), PEER_PORT)) {
            Ok(reservation) => return Ok((subnet, reservation)),
            Err(err) => last = err,
        }
    }
    Err(last)
}

const fn balancer_ip(subnet: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet, 1, number + 1)
}
