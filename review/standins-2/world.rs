//! A small deployment on loopback addresses: store, endpoints, processes of the system, routers.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use crate::{
    caller::Caller,
    endpoint::Endpoint,
    fleet::{Machine, Ports, Process, Role, Router},
    record::Record,
    store::Store,
};

pub const SERVICE: &str = "ledger";

/// The size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub balancers: u8,
    pub endpoints: u8,
    pub work: Duration,
}

pub struct World {
    pub record: Record,
    pub endpoints: Vec<Endpoint>,
    pub agents: Vec<Process>,
    pub balancers: Vec<Process>,
    pub router: Router,
    pub route: SocketAddrV4,
    ports: Ports,
    net: u8,
    folder: PathBuf,
}

impl World {
    /// Starts a deployment and waits until all balancers are in rotation.
    pub fn start(size: Size, record: &Record) -> std::io::Result<Self> {
        let net = 20 + (std::process::id() % 200) as u8;
        let ip = |kind: u8, idx: u8| Ipv4Addr::new(127, net, kind, idx);
        let other = std::io::Error::other;
        let ports = Ports::find(ip(1, 1)).ok_or_else(|| other("no free ports"))?;
        let folder = std::env::temp_dir().join(format!("lovagehall-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::default();
        let store_address = store.serve(ip(9, 1))?;
        let route = SocketAddrV4::new(ip(8, 1), 8443);
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\
             \"type\":\"non_idempotent\",\"timeout_ms\":2000,\"goal_ms\":250,\"priority\":1,\
             \"service\":\"{SERVICE}\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            route.ip(),
            route.port()
        );
        store.put("op/config", &config);
        let seeds: Vec<Ipv4Addr> = (1..=size.balancers.min(3)).map(|it| ip(1, it)).collect();
        let machine = |name: String, ip: Ipv4Addr| Machine {
            name,
            zone: "zone-a".to_owned(),
            ip,
            service: SERVICE.to_owned(),
            seeds: seeds.clone(),
            store: store_address,
        };
        let mut endpoints = Vec::new();
        let mut agents = Vec::new();
        for idx in 1..=size.endpoints {
            let host = ip(2, idx);
            let endpoint = Endpoint::start(
                &format!("e{idx}"),
                (SERVICE, "zone-a"),
                (
                    SocketAddrV4::new(host, ports.app),
                    SocketAddrV4::new(host, ports.outbound),
                ),
                size.work,
                &store,
                record,
            )?;
            endpoint.register("ready");
            endpoints.push(endpoint);
            let side = machine(format!("side-zone-a-{idx}"), host);
            agents.push(Process::start(Role::Agent, &side, ports, &folder, record)?);
        }
        let mut balancers = Vec::new();
        let mut edges = Vec::new();
        for idx in 1..=size.balancers {
            let edge = machine(format!("edge-zone-a-{idx}"), ip(1, idx));
            balancers.push(Process::start(
                Role::Balancer,
                &edge,
                ports,
                &folder,
                record,
            )?);
            edges.push(edge);
        }
        let router = Router::start(&edges, ports, record);
        let end = Instant::now() + Duration::from_secs(10);
        while router.in_rotation() < edges.len() {
            if Instant::now() > end {
                return Err(other("not all balancers became ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(Self {
            record: record.clone(),
            endpoints,
            agents,
            balancers,
            router,
            route,
            ports,
            net,
            folder,
        })
    }

    /// Creates a caller with an address of its own.
    pub fn caller(&self, idx: u8) -> std::io::Result<Caller> {
        let address = self.caller_address(idx);
        Caller::new(
            &format!("caller-{idx}"),
            address,
            &self.router,
            &self.record,
        )
    }

    /// Returns where a caller receives packets.
    pub fn caller_address(&self, idx: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 4, idx), self.ports.caller)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for process in self.agents.iter_mut().chain(&mut self.balancers) {
            process.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _kept = std::fs::remove_dir_all(&self.folder);
        }
    }
}
