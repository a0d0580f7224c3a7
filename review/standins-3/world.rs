//! A small deployment on loopback addresses: the programs with their settings files, the store and
//! the addresses of all machines.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// One process of the system with what starts it.
#[derive(Debug)]
pub struct Node {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn new(
        role: &'static str,
        name: &str,
        folder: &Path,
        settings: &str,
    ) -> std::io::Result<Self> {
        let node = Self {
            role,
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        node.write_settings(settings)?;
        Ok(node)
    }

    pub fn write_settings(&self, settings: &str) -> std::io::Result<()> {
        // The file is replaced as a whole.
        let part = self.settings.with_extension("part");
        fs::write(&part, settings)?;
        fs::rename(part, &self.settings)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/lovagehall")
            .arg(self.role)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _gone = child.kill();
            let _ended = child.wait();
        }
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _sent = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The ports of the day, which are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub packet: u16,
    pub ready: u16,
    pub peer: u16,
    pub outbound: u16,
    pub app: u16,
    pub store: u16,
}

/// The addresses of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    net: u8,
    pub ports: Ports,
}

impl Plan {
    /// Finds a part of the loopback range and ports that are free.
    pub fn find() -> Option<Self> {
        let pid = std::process::id();
        for attempt in 0..200_u32 {
            let net = 16 + ((pid + attempt * 7) % 200) as u8;
            let first = 20_000 + ((pid * 13 + attempt * 101) % 20_000) as u16;
            let ports = Ports {
                packet: first,
                ready: first + 1,
                peer: first + 2,
                outbound: first + 3,
                app: first + 4,
                store: first + 5,
            };
            let plan = Self { net, ports };
            let is_free = (0..6).all(|idx| {
                let ip = plan.ip(0, 1);
                let address = SocketAddrV4::new(ip, first + idx);
                let any = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, first + idx);
                UdpSocket::bind(address).is_ok()
                    && TcpListener::bind(address).is_ok()
                    && UdpSocket::bind(any).is_ok()
                    && TcpListener::bind(any).is_ok()
            });
            if is_free {
                return Some(plan);
            }
        }
        None
    }

    /// Returns the address of a machine in a zone.
    pub fn ip(&self, zone: usize, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, zone as u8 + 1, machine)
    }

    pub fn at(&self, ip: Ipv4Addr, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(ip, port)
    }

    /// Returns the settings of a balancer as the deploy file's template makes them.
    pub fn balancer_settings(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        seeds: &[Ipv4Addr],
        store: SocketAddrV4,
    ) -> String {
        let ports = self.ports;
        let seeds: Vec<String> = seeds
            .iter()
            .map(|it| format!("\"{it}:{}\"", ports.peer))
            .collect();
        format!(
            "{{\"instance\":\"{name}\",\"availability_zone\":\"{zone}\",\"address\":\"{ip}\",\
             \"caller_address\":\"{ip}:{}\",\"peer_port\":{},\"link_mbps\":1000.0,\
             \"seeds\":[{}],\"store_address\":\"{store}\",\"readiness_address\":\"{ip}:{}\",\
             \"metrics_address\":\"{ip}:9464\",\"stop_grace_s\":6}}",
            ports.packet,
            ports.peer,
            seeds.join(","),
            ports.ready
        )
    }

    /// Returns the settings of an agent as the deploy file's template makes them.
    pub fn agent_settings(&self, name: &str, zone: &str, ip: Ipv4Addr, service: &str) -> String {
        let ports = self.ports;
        format!(
            "{{\"instance\":\"{name}\",\"availability_zone\":\"{zone}\",\"address\":\"{ip}\",\
             \"service\":\"{service}\",\"endpoint_address\":\"{ip}:{}\",\
             \"outbound_address\":\"{ip}:{}\",\"caller_address\":\"{ip}:{}\",\"peer_port\":{},\
             \"readiness_address\":\"{ip}:{}\",\"metrics_address\":\"{ip}:9464\"}}",
            ports.app, ports.outbound, ports.packet, ports.peer, ports.ready
        )
    }
}
