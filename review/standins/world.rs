//! A small deployment on loopback addresses: the project's programs, the store, endpoints, routers.

use std::{
    collections::HashMap,
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    client::{Client, Router},
    endpoint::{Endpoint, EndpointPlan},
    proxy::Proxy,
    record::Record,
    store::Store,
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;

/// Sends a signal to a process that this one started.
pub fn send_signal(pid: i32, signal: i32) {
    // SAFETY: the call has no effect on this process's memory.
    unsafe { kill(pid, signal) };
}

/// Ports that the programs and stand-ins use, counted from a free base.
const PORTS: u16 = 8;

/// Port of the metrics in the templates of the deploy file.
const METRICS_PORT: u16 = 9_464;

/// Numbers of a site's sheet.
pub struct Site {
    pub zones: &'static [&'static str],
    /// Zone of each `edge` machine.
    pub edges: &'static [usize],
    /// Service and zone of each `side` machine.
    pub sides: &'static [(&'static str, usize)],
    pub slots: u16,
    pub work_ms: u64,
    pub grace_s: u64,
}

pub const HANMAEUL: Site = Site {
    zones: &["changwon-a", "jinju-b", "gimhae-c"],
    edges: &[0, 0, 0, 1, 1, 2],
    sides: &[
        ("token-ledger", 0),
        ("token-ledger", 0),
        ("token-ledger", 0),
        ("token-ledger", 1),
        ("token-ledger", 1),
        ("token-ledger", 2),
        ("token-ledger", 2),
        ("tariff-feed", 0),
        ("tariff-feed", 1),
        ("tariff-feed", 2),
    ],
    slots: 2,
    work_ms: 13,
    grace_s: 6,
};

pub const DIAMANT: Site = Site {
    zones: &["tunis-a", "tunis-b", "tunis-c"],
    edges: &[0, 0, 1, 1, 2],
    sides: &[
        ("finder", 0),
        ("finder", 0),
        ("finder", 0),
        ("finder", 1),
        ("finder", 1),
        ("finder", 2),
        ("finder", 2),
        ("wear-intake", 0),
        ("wear-intake", 1),
        ("wear-intake", 2),
    ],
    slots: 5,
    work_ms: 34,
    grace_s: 6,
};

/// A process of the project.
pub struct Program {
    pub name: String,
    pub ip: Ipv4Addr,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..self.command.len() - 1])
            .arg(&self.settings)
            .env("LOVAGEHALL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Replaces a part of the program's settings file.
    pub fn replace_setting(&self, old: &str, new: &str) -> Result<(), String> {
        let text = fs::read_to_string(&self.settings).map_err(|err| err.to_string())?;
        if !text.contains(old) {
            return Err(format!("the settings of {} have no {old}", self.name));
        }
        fs::write(&self.settings, text.replace(old, new)).map_err(|err| err.to_string())
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|it| it.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Returns the id of the running process.
    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |it| it.id().cast_signed())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct World {
    pub record: Record,
    pub store: Store,
    pub edges: Vec<Program>,
    pub agents: Vec<Program>,
    pub endpoints: Vec<Endpoint>,
    /// A proxy between each edge and the store.
    pub proxies: Vec<Proxy>,
    pub router: Router,
    site: &'static Site,
    net: u8,
    base: u16,
    folder: PathBuf,
}

impl World {
    pub fn start(site: &'static Site, record: Record) -> Result<Self, String> {
        let error = |err: std::io::Error| err.to_string();
        let (net, base) = find_free_ports()?;
        let folder = std::env::temp_dir().join(format!("case-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(error)?;
        let store_address = SocketAddrV4::new(Ipv4Addr::new(127, net, 9, 1), base + 6);
        let store = Store::listen(store_address.into()).map_err(error)?;
        let edge_ip = |idx: usize| Ipv4Addr::new(127, net, 1, 10 + idx as u8);
        let nodes: Vec<(Ipv4Addr, String)> = site
            .edges
            .iter()
            .enumerate()
            .map(|(idx, zone)| (edge_ip(idx), site.zones[*zone].to_owned()))
            .collect();
        let mut world = Self {
            router: Router::start(&nodes, base, base + 2),
            record,
            store,
            edges: Vec::new(),
            agents: Vec::new(),
            endpoints: Vec::new(),
            proxies: Vec::new(),
            site,
            net,
            base,
            folder,
        };
        for (idx, (ip, zone)) in nodes.iter().enumerate() {
            let address = SocketAddrV4::new(Ipv4Addr::new(127, net, 8, 10 + idx as u8), base + 6);
            let proxy = Proxy::listen(address.into(), SocketAddr::V4(store_address));
            world.proxies.push(proxy.map_err(error)?);
            let name = format!("edge-{zone}-{idx}");
            let program = world.program(
                "balancer",
                &name,
                *ip,
                zone,
                &[("platform.address", address.to_string())],
            );
            world.edges.push(program?);
        }
        for idx in 0..site.sides.len() {
            let program = world.agent_program(idx);
            world.agents.push(program?);
        }
        for program in world.edges.iter_mut().chain(&mut world.agents) {
            program.start().map_err(error)?;
            // All machines start within 0.3 s of each other.
            std::thread::sleep(Duration::from_millis(15));
        }
        Ok(world)
    }

    /// Starts the endpoints beside the agents.
    pub fn start_endpoints(&mut self) -> Result<(), String> {
        for idx in 0..self.site.sides.len() {
            let (service, zone) = self.site.sides[idx];
            let plan = EndpointPlan {
                id: format!("i-7f3a91c{idx}"),
                service: service.to_owned(),
                zone: self.site.zones[zone].to_owned(),
                app: SocketAddrV4::new(self.side_ip(idx), self.base + 5),
                outbound: SocketAddrV4::new(self.side_ip(idx), self.base + 4),
                slots: self.site.slots,
                work: Duration::from_millis(self.site.work_ms),
            };
            let endpoint = Endpoint::start(plan, self.store.clone(), self.record.clone());
            self.endpoints
                .push(endpoint.map_err(|err| err.to_string())?);
        }
        Ok(())
    }

    /// Waits until all edges are in rotation.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        while self.router.ready_count() < self.edges.len() {
            if Instant::now() > end {
                return Err("the edges aren't all ready after 15 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns the two edges that called the store lately.
    pub fn store_readers(&self) -> Result<Vec<usize>, String> {
        let span = Duration::from_millis(1_500);
        let readers: Vec<usize> = (0..self.edges.len())
            .filter(|it| self.proxies[*it].was_used_within(span))
            .collect();
        self.record
            .add(format!("machines that read the store: {readers:?}"));
        if readers.len() != 2 {
            return Err(format!(
                "{} machines read the store, not two",
                readers.len()
            ));
        }
        Ok(readers)
    }

    /// Waits until an edge calls the store, which answers a waiting watch once a second.
    pub fn wait_for_call(&self, edge: usize) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(3);
        while !self.proxies[edge].was_used_within(Duration::from_millis(5)) {
            if Instant::now() > end {
                return Err("the store wasn't called for 3 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    /// Stops an edge and gives it a port of its own for the messages of other machines. Returns that
    /// port and the port that all others use.
    pub fn move_peer_port(&mut self, edge: usize) -> Result<(u16, u16), String> {
        let (own, peers) = (self.base + 7, self.base + 1);
        let program = &mut self.edges[edge];
        program.kill();
        program.replace_setting(
            &format!("\"peer_port\": {peers}"),
            &format!("\"peer_port\": {own}"),
        )?;
        Ok((own, peers))
    }

    pub fn client(&self, number: u8, zone: usize) -> Result<Client, String> {
        let ip = Ipv4Addr::new(127, self.net, 3, number);
        let zone = self.site.zones[zone % self.site.zones.len()];
        Client::start(ip, zone, self.router.clone(), self.record.clone())
            .map_err(|err| err.to_string())
    }

    /// Returns the address and port of a route.
    pub fn route_address(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 7, number), 8_443)
    }

    fn side_ip(&self, idx: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, 10 + idx as u8)
    }

    fn agent_program(&self, idx: usize) -> Result<Program, String> {
        let (service, zone) = self.site.sides[idx];
        let zone = self.site.zones[zone];
        let name = format!("side-{zone}-{idx}");
        let ip = self.side_ip(idx);
        let fields = [
            ("service", service.to_owned()),
            ("app", format!("{ip}:{}", self.base + 5)),
        ];
        self.program("agent", &name, ip, zone, &fields)
    }

    /// Fills in the settings of a role from its template in the deploy file's folder.
    fn program(
        &self,
        role: &str,
        name: &str,
        ip: Ipv4Addr,
        zone: &str,
        more: &[(&str, String)],
    ) -> Result<Program, String> {
        let read = |path: &str| fs::read_to_string(path).map_err(|err| format!("{path}: {err}"));
        let deploy = read("deploy/system.toml")?;
        let field = |name: &str| role_field(&deploy, role, name);
        let command = field("run")?.split(' ').map(str::to_owned).collect();
        let mut settings = read(&field("template")?)?;
        let base = self.base;
        let seeds: Vec<String> = (0..3)
            .map(|idx| format!("\"127.{}.1.{}:{}\"", self.net, 10 + 2 * idx, base + 3))
            .collect();
        let mut fields: HashMap<&str, String> = HashMap::from([
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("listen.packet_addr", format!("{ip}:{base}")),
            ("listen.ready", format!("{ip}:{}", base + 2)),
            ("listen.outbound", format!("{ip}:{}", base + 4)),
        ]);
        fields.extend(more.iter().cloned());
        for (key, value) in &fields {
            settings = settings.replace(&format!("{{{{{key}|json}}}}"), &format!("\"{value}\""));
            settings = settings.replace(&format!("{{{{{key}}}}}"), value);
        }
        let plain = [
            ("{{internal_ports.0}}", (base + 1).to_string()),
            ("{{limits.link_mbps}}", "1000.0".to_owned()),
            ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{bounds.grace_s}}", self.site.grace_s.to_string()),
        ];
        for (key, value) in plain {
            settings = settings.replace(key, &value);
        }
        if settings.contains("{{") {
            return Err(format!(
                "the template of {role} names fields that aren't known here"
            ));
        }
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|err| err.to_string())?;
        Ok(Program {
            name: name.to_owned(),
            ip,
            command,
            settings: path,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        })
    }
}

impl Drop for World {
    /// Ends all processes and removes the temporary folder.
    fn drop(&mut self) {
        self.edges.clear();
        self.agents.clear();
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs are kept in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a text field of a role in the deploy file.
fn role_field(deploy: &str, role: &str, field: &str) -> Result<String, String> {
    let section = format!("[roles.{role}]");
    deploy
        .split_once(&section)
        .and_then(|it| {
            it.1.lines()
                .take_while(|line| !line.starts_with('['))
                .find_map(|line| line.strip_prefix(&format!("{field} = \"")))
        })
        .and_then(|it| it.strip_suffix('"'))
        .map(str::to_owned)
        .ok_or_else(|| format!("deploy/system.toml names no {field} of {role}"))
}

/// Finds a loopback network and consecutive ports that nobody uses.
fn find_free_ports() -> Result<(u8, u16), String> {
    let clock = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.subsec_nanos());
    let mut draw = clock ^ std::process::id().wrapping_mul(0x9E37_79B9);
    for _ in 0..64 {
        draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let net = 100 + (draw >> 24) as u8 % 100;
        let base = 12_000 + (draw >> 8) as u16 % 18_000;
        let is_free = (base..base + PORTS).all(|port| {
            let ip = Ipv4Addr::new(127, net, 1, 10);
            UdpSocket::bind((ip, port)).is_ok() && TcpListener::bind((ip, port)).is_ok()
        });
        // Another run may use the network with other ports.
        let metrics = SocketAddrV4::new(Ipv4Addr::new(127, net, 1, 10), METRICS_PORT);
        if is_free && TcpListener::bind(metrics).is_ok() {
            return Ok((net, base));
        }
    }
    Err("no free ports were found".to_owned())
}

/// Returns whether the case runs with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns whether the programs that a case starts have been built.
pub fn is_built() -> bool {
    Path::new("target/release/lovagehall").exists()
}
