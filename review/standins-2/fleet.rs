//! The processes of the system, started as the deploy file says, and the routers before them.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The ports of a run, the same on all its instances.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub caller: u16,
    pub peer: u16,
    pub ready: u16,
    pub outbound: u16,
    pub app: u16,
    pub metrics: u16,
}

impl Ports {
    /// Finds ports that are free on `address`, for TCP and UDP alike.
    pub fn find(address: Ipv4Addr) -> Option<Self> {
        let mut held = Vec::new();
        let mut free = || {
            for _ in 0..200 {
                let listener = TcpListener::bind((address, 0)).ok()?;
                let port = listener.local_addr().ok()?.port();
                if let Ok(socket) = UdpSocket::bind((address, port)) {
                    held.push((listener, socket));
                    return Some(port);
                }
            }
            None
        };
        Some(Self {
            caller: free()?,
            peer: free()?,
            ready: free()?,
            outbound: free()?,
            app: free()?,
            metrics: free()?,
        })
    }
}

/// What the settings of a process are made of.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub service: String,
    pub seeds: Vec<Ipv4Addr>,
    pub store: SocketAddrV4,
}

/// A role of the deploy file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Balancer,
    Agent,
}

/// A process of the system; it is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    role: Role,
    settings: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Process {
    pub fn start(
        role: Role,
        machine: &Machine,
        ports: Ports,
        folder: &Path,
        record: &Record,
    ) -> std::io::Result<Self> {
        let template = match role {
            Role::Balancer => "deploy/balancer.json.template",
            Role::Agent => "deploy/agent.json.template",
        };
        let text = render(&fs::read_to_string(template)?, machine, ports);
        let settings = folder.join(format!("{}.json", machine.name));
        fs::write(&settings, text)?;
        let mut process = Self {
            name: machine.name.clone(),
            role,
            settings,
            child: None,
            record: record.clone(),
        };
        process.spawn()?;
        Ok(process)
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let wanted = match self.role {
            Role::Balancer => "passthrough-balancer",
            Role::Agent => "passthrough-agent",
        };
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy
            .lines()
            .filter_map(|it| it.strip_prefix("run = \"")?.strip_suffix('"'))
            .find(|it| it.contains(wanted))
            .ok_or_else(|| std::io::Error::other("the deploy file has no such role"))?;
        let mut words: Vec<&str> = run.split(' ').collect();
        let settings = self.settings.to_string_lossy().into_owned();
        for word in &mut words {
            if *word == "/etc/lovagehall/boot.yaml" {
                *word = &settings;
            }
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(words[0])
            .args(&words[1..])
            .env("LOVAGEHALL_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        self.record.line(&format!("{}: started", self.name));
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else {
            return;
        };
        let script = format!("kill -{signal} {}", child.id());
        let _gone = Command::new("sh").args(["-c", &script]).status();
        self.record.line(&format!("{}: SIG{signal}", self.name));
    }

    /// Stops the process with SIGTERM, and with SIGKILL after the grace.
    pub fn stop(&mut self, grace: Duration) {
        self.signal("TERM");
        let end = Instant::now() + grace;
        while Instant::now() < end && self.is_running() {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        self.record.line(&format!("{}: has ended", self.name));
    }

    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _gone = child.kill();
            let _status = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills a settings template as the platform does, for the placeholders that the project uses.
fn render(template: &str, machine: &Machine, ports: Ports) -> String {
    let at = |port: u16| format!("{}:{port}", machine.ip);
    let quoted = |text: &str| format!("\"{text}\"");
    let seeds: Vec<String> = machine
        .seeds
        .iter()
        .map(|it| format!("\"{it}:8166\""))
        .collect();
    let values = [
        ("{{node_name|json}}", quoted(&machine.name)),
        ("{{zone|json}}", quoted(&machine.zone)),
        ("{{ip|json}}", quoted(&machine.ip.to_string())),
        ("{{service|json}}", quoted(&machine.service)),
        ("{{app|json}}", quoted(&at(ports.app))),
        ("{{listen.outbound|json}}", quoted(&at(ports.outbound))),
        ("{{listen.packet_addr|json}}", quoted(&at(ports.caller))),
        ("{{internal_ports.0}}", ports.peer.to_string()),
        ("{{listen.ready|json}}", quoted(&at(ports.ready))),
        ("{{ip}}", machine.ip.to_string()),
        ("{{limits.link_mbps}}", "1000.0".to_owned()),
        ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
        (
            "{{platform.address|json}}",
            quoted(&machine.store.to_string()),
        ),
        ("{{bounds.grace_s}}", "6.0".to_owned()),
    ];
    let mut text = template.to_owned();
    for (placeholder, value) in values {
        text = text.replace(placeholder, &value);
    }
    // The port of the template may be taken on this machine.
    text.replace(":9464\"", &format!(":{}\"", ports.metrics))
}

#[derive(Debug, Clone)]
struct Rotation {
    balancer: SocketAddrV4,
    ready: SocketAddrV4,
    misses: u32,
}

/// The platform's routers: they send each flow's packets to a balancer in rotation.
#[derive(Debug, Clone)]
pub struct Router {
    nodes: Arc<Mutex<Vec<Rotation>>>,
}

impl Router {
    /// Starts the probes, twice a second; a node is out of rotation after two misses.
    pub fn start(machines: &[Machine], ports: Ports, record: &Record) -> Self {
        let nodes = machines
            .iter()
            .map(|it| Rotation {
                balancer: SocketAddrV4::new(it.ip, ports.caller),
                ready: SocketAddrV4::new(it.ip, ports.ready),
                misses: 2,
            })
            .collect();
        let router = Self {
            nodes: Arc::new(Mutex::new(nodes)),
        };
        let (probing, record) = (router.clone(), record.clone());
        thread::spawn(move || {
            loop {
                probing.probe_all(&record);
                thread::sleep(PROBE_INTERVAL);
            }
        });
        router
    }

    pub fn in_rotation(&self) -> usize {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        nodes.iter().filter(|it| it.misses < 2).count()
    }

    /// Chooses the balancer of a flow; only the flows of a node that joins or leaves move.
    pub fn choose(&self, caller: SocketAddrV4, route: SocketAddrV4) -> Option<SocketAddrV4> {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        let in_rotation = nodes.iter().filter(|it| it.misses < 2).count();
        let uses_all = in_rotation * 2 < nodes.len();
        nodes
            .iter()
            .filter(|it| uses_all || it.misses < 2)
            .map(|it| it.balancer)
            .max_by_key(|it| {
                let text = format!("{caller} {route} {it}");
                text.bytes().fold(0xCBF2_9CE4_8422_2325_u64, |hash, byte| {
                    let hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
                    hash ^ (hash >> 29)
                })
            })
    }

    fn probe_all(&self, record: &Record) {
        let count = self
            .nodes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len();
        for idx in 0..count {
            let address = {
                let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
                nodes[idx].ready
            };
            let is_ready = probe(address).unwrap_or(false);
            let mut nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
            let node = &mut nodes[idx];
            let was_in = node.misses < 2;
            node.misses = if is_ready { 0 } else { node.misses + 1 };
            let is_in = node.misses < 2;
            if was_in != is_in {
                let change = if is_in { "in" } else { "out of" };
                record.line(&format!("router: {} is {change} rotation", node.balancer));
            }
        }
    }
}

fn probe(address: SocketAddrV4) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_millis(300))?;
    stream.set_read_timeout(Some(Duration::from_millis(300)))?;
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 64];
    let len = stream.read(&mut head)?;
    Ok(head[..len].starts_with(b"HTTP/1.1 200"))
}
