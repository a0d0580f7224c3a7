//! Clients that open a flow for each request, and the router before the balancers.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
};

const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIME: Duration = Duration::from_millis(1_400);
const RETRANSMIT: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1_600);
const RESET_WINDOW: u32 = 76_800;
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A balancer as the routers see it.
#[derive(Debug)]
struct Node {
    zone: usize,
    packet_addr: SocketAddrV4,
    misses: u64,
}

/// The routers, which hand packets to the balancers that are in rotation.
#[derive(Debug)]
pub struct Routers {
    nodes: Mutex<Vec<Node>>,
}

impl Routers {
    pub fn start(nodes: &[(usize, SocketAddrV4, SocketAddrV4)]) -> Arc<Self> {
        let node = |it: &(usize, SocketAddrV4, SocketAddrV4)| Node {
            zone: it.0,
            packet_addr: it.1,
            misses: 2,
        };
        let routers = Arc::new(Self {
            nodes: Mutex::new(nodes.iter().map(node).collect()),
        });
        for idx in 0..nodes.len() {
            let routers = Arc::clone(&routers);
            let address = nodes[idx].2;
            thread::spawn(move || {
                loop {
                    let is_ready = probe(address);
                    let mut nodes = routers.nodes.lock().unwrap_or_else(PoisonError::into_inner);
                    nodes[idx].misses = if is_ready { 0 } else { nodes[idx].misses + 1 };
                    drop(nodes);
                    thread::sleep(PROBE_INTERVAL);
                }
            });
        }
        routers
    }

    pub fn ready_count(&self) -> usize {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        nodes.iter().filter(|it| it.misses == 0).count()
    }

    /// Chooses the balancer for a packet: steadily, by a hash over the nodes in rotation.
    fn choose(&self, zone: usize, packet: &Packet) -> Option<SocketAddrV4> {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        let in_zone: Vec<&Node> = nodes.iter().filter(|it| it.zone == zone).collect();
        let rotation: Vec<&Node> = in_zone.iter().copied().filter(|it| it.misses < 2).collect();
        let all: Vec<&Node> = nodes.iter().filter(|it| it.misses < 2).collect();
        let pool = if rotation.is_empty() {
            all
        } else if rotation.len() * 2 < in_zone.len() {
            in_zone
        } else {
            rotation
        };
        let score = |it: &&&Node| {
            let mut hasher = DefaultHasher::new();
            (packet.src, packet.dst, it.packet_addr).hash(&mut hasher);
            hasher.finish()
        };
        pool.iter().max_by_key(score).map(|it| it.packet_addr)
    }
}

fn probe(ready: SocketAddrV4) -> bool {
    let timeout = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&ready.into(), timeout) else {
        return false;
    };
    let _set = stream.set_read_timeout(Some(timeout));
    let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    if stream.write_all(request).is_err() {
        return false;
    }
    let mut start = [0_u8; 12];
    stream.read_exact(&mut start).is_ok() && start.ends_with(b"200")
}

/// A request of a client, with what became of it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub request: u64,
    pub at: Instant,
    pub client: SocketAddrV4,
    pub seq: u32,
    pub service_address: SocketAddrV4,
    /// How the attempt ended; empty while it hasn't.
    pub outcome: &'static str,
}

/// What all clients have sent.
#[derive(Debug, Default)]
pub struct Requests {
    pub sent: Mutex<Vec<Sent>>,
    next: AtomicU64,
}

impl Requests {
    fn end(&self, request: u64, outcome: &'static str) {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(it) = sent.iter_mut().rev().find(|it| it.request == request) {
            it.outcome = outcome;
        }
    }
}

#[derive(Debug, Clone)]
pub struct ClientSettings {
    pub ip: Ipv4Addr,
    /// The port at which clients get packets.
    pub port: u16,
    pub zone: usize,
    pub service_address: SocketAddrV4,
    pub per_s: f64,
    pub deadline: Duration,
    /// Time after its answer at which a flow gets its next request, or `None` if each request has a
    /// flow of its own.
    pub next_request: Option<Duration>,
    /// Number of flows after which no further ones are opened.
    pub flows_max: usize,
}

/// Starts a client, which sends requests until `stop` is set.
pub fn start_client(
    settings: ClientSettings,
    routers: &Arc<Routers>,
    requests: &Arc<Requests>,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> std::io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind(SocketAddrV4::new(settings.ip, settings.port))?;
    socket.set_read_timeout(Some(Duration::from_millis(1)))?;
    let mut client = Client {
        settings,
        socket,
        routers: Arc::clone(routers),
        requests: Arc::clone(requests),
        record: Arc::clone(record),
        attempts: HashMap::new(),
        next_port: 20_000,
        opened: 0,
    };
    let stop = Arc::clone(stop);
    Ok(thread::spawn(move || client.run(&stop)))
}

#[derive(Debug)]
struct Attempt {
    request: u64,
    began: Instant,
    seq: u32,
    ack: u32,
    is_open: bool,
    copies: u32,
    sent: u32,
    resend_at: Instant,
    data: Vec<u8>,
    /// Time of the next request, while the flow is idle.
    idle_until: Option<Instant>,
}

struct Client {
    settings: ClientSettings,
    socket: UdpSocket,
    routers: Arc<Routers>,
    requests: Arc<Requests>,
    record: Arc<Record>,
    attempts: HashMap<u16, Attempt>,
    next_port: u16,
    opened: usize,
}

impl Client {
    fn run(&mut self, stop: &AtomicBool) {
        let mut buffer = [0_u8; 2048];
        let interval = Duration::from_secs_f64(1.0 / self.settings.per_s);
        let mut next = Instant::now();
        loop {
            let now = Instant::now();
            let is_stopped = stop.load(Ordering::SeqCst);
            let is_idle = self.attempts.values().all(|it| it.idle_until.is_some());
            if is_stopped && is_idle {
                return;
            }
            if !is_stopped && now >= next && self.opened < self.settings.flows_max {
                self.opened += 1;
                next += interval;
                self.begin(now);
            }
            if let Ok((count, _)) = self.socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::decode(&buffer[..count])
            {
                self.on_packet(&packet);
            }
            self.run_timers(Instant::now());
        }
    }

    fn send(&self, packet: &Packet) {
        if let Some(node) = self.routers.choose(self.settings.zone, packet) {
            let _lost = self.socket.send_to(&packet.encode(), node);
        }
    }

    fn own(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.settings.ip, port)
    }

    fn begin(&mut self, now: Instant) {
        let port = self.next_port;
        self.next_port = if port == 59_999 { 20_000 } else { port + 1 };
        let request = self.requests.next.fetch_add(1, Ordering::SeqCst) + 1;
        let seq = (request as u32).wrapping_mul(2_654_435_761);
        let (own, to) = (self.own(port), self.settings.service_address);
        let sent = Sent {
            request,
            at: now,
            client: own,
            seq,
            service_address: to,
            outcome: "",
        };
        self.requests
            .sent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sent);
        self.record.write(&format!(
            "client {own} opens a flow to {to} seq={seq} request {request}"
        ));
        let attempt = Attempt {
            request,
            began: now,
            seq,
            ack: 0,
            is_open: false,
            copies: 0,
            sent: 0,
            resend_at: now,
            data: format!("GET {request} /").into_bytes(),
            idle_until: None,
        };
        self.send(&Packet::new(own, to, SYN, seq, 0));
        self.attempts.insert(port, attempt);
    }

    fn end(&mut self, port: u16, outcome: &'static str) {
        if let Some(it) = self.attempts.remove(&port) {
            self.record
                .write(&format!("client ends request {}: {outcome}", it.request));
            self.requests.end(it.request, outcome);
        }
    }

    fn on_packet(&mut self, packet: &Packet) {
        let port = packet.dst.port();
        let (own, to) = (self.own(port), self.settings.service_address);
        let Some(attempt) = self.attempts.get_mut(&port) else {
            if packet.has(FIN) {
                let ack = packet.seq.wrapping_add(1);
                self.send(&Packet::new(own, to, ACK, packet.ack, ack));
            }
            return;
        };
        if packet.has(RST) {
            // On an open flow, a reset counts only near the client's last acknowledgement.
            let distance = packet
                .seq
                .wrapping_sub(attempt.ack)
                .cast_signed()
                .unsigned_abs();
            if attempt.is_open && distance > RESET_WINDOW {
                return;
            }
            let outcome = if packet.sum == 0 {
                "reset by the system"
            } else {
                "reset"
            };
            return self.end(port, outcome);
        }
        if packet.has(SYN) {
            if !attempt.is_open && packet.ack == attempt.seq.wrapping_add(1) {
                attempt.is_open = true;
                attempt.seq = attempt.seq.wrapping_add(1);
                attempt.ack = packet.seq.wrapping_add(1);
                attempt.resend_at = Instant::now();
                self.run_timers(Instant::now());
            }
            return;
        }
        if packet.data.is_empty() || packet.seq != attempt.ack {
            return;
        }
        let expected = format!("SEAL {} ", attempt.request);
        let is_own = String::from_utf8_lossy(&packet.data).starts_with(&expected);
        let seq = attempt.seq.wrapping_add(attempt.data.len() as u32);
        let ack = packet.seq.wrapping_add(packet.data.len() as u32);
        if let (true, Some(pause)) = (is_own, self.settings.next_request) {
            let request = attempt.request;
            attempt.seq = seq;
            attempt.ack = ack;
            attempt.idle_until = Some(Instant::now() + pause);
            self.send(&Packet::new(own, to, ACK, seq, ack));
            self.record
                .write(&format!("client {own} got the answer to request {request}"));
            return self.requests.end(request, "answered");
        }
        self.send(&Packet::new(own, to, ACK | FIN, seq, ack));
        self.end(
            port,
            if is_own {
                "answered"
            } else {
                "answered with foreign data"
            },
        );
    }

    fn run_timers(&mut self, now: Instant) {
        let mut packets = Vec::new();
        let mut ended = Vec::new();
        let (ip, to, deadline) = (
            self.settings.ip,
            self.settings.service_address,
            self.settings.deadline,
        );
        for (port, it) in &mut self.attempts {
            let own = SocketAddrV4::new(ip, *port);
            if let Some(until) = it.idle_until {
                if now < until {
                    continue;
                }
                it.idle_until = None;
                it.request = self.requests.next.fetch_add(1, Ordering::SeqCst) + 1;
                it.began = now;
                it.sent = 0;
                it.resend_at = now;
                it.data = format!("GET {} /", it.request).into_bytes();
                let (request, seq) = (it.request, it.seq);
                let sent = Sent {
                    request,
                    at: now,
                    client: own,
                    seq,
                    service_address: to,
                    outcome: "",
                };
                self.requests
                    .sent
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(sent);
                self.record.write(&format!(
                    "client {own} sends request {request} on its open flow"
                ));
            }
            let age = now.duration_since(it.began);
            if age >= deadline {
                ended.push((*port, "deadline"));
            } else if it.is_open {
                if now >= it.resend_at {
                    let wait = (RETRANSMIT * 2_u32.pow(it.sent.min(3))).min(RETRANSMIT_MAX);
                    it.sent += 1;
                    it.resend_at = now + wait;
                    let packet = Packet::new(own, to, ACK, it.seq, it.ack);
                    packets.push(packet.with_data(&it.data));
                }
            } else if age >= OPENING_TIME {
                ended.push((*port, "never opened"));
            } else if COPIES.get(it.copies as usize).is_some_and(|at| age >= *at) {
                it.copies += 1;
                packets.push(Packet::new(own, to, SYN, it.seq, it.copies));
            }
        }
        for packet in packets {
            self.send(&packet);
        }
        for (port, outcome) in ended {
            self.end(port, outcome);
        }
    }
}
