//! Clients that open flows and send requests, and the platform's routers before the balancers.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
};

/// Waits after each copy of a flow's opening packet.
const OPENING_WAITS_MS: [u64; 3] = [200, 400, 800];
const RETRANSMIT: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1_600);
const READY_INTERVAL: Duration = Duration::from_millis(500);
/// Distance from the client's last acknowledgement within which a reset counts on an open flow.
const RESET_WINDOW: u32 = 76_800;

struct Node {
    ip: Ipv4Addr,
    zone: String,
    misses: u32,
}

/// The routers: they forward a client's packets to the nodes in rotation of the client's zone.
#[derive(Clone)]
pub struct Router {
    nodes: Arc<Mutex<Vec<Node>>>,
    /// The machines that each client's copies of an opening packet were sent to.
    openings: Arc<Mutex<HashMap<SocketAddrV4, Vec<Ipv4Addr>>>>,
    packet_port: u16,
}

impl Router {
    pub fn start(nodes: &[(Ipv4Addr, String)], packet_port: u16, ready_port: u16) -> Self {
        let router = Self {
            nodes: Arc::new(Mutex::new(
                nodes
                    .iter()
                    .map(|(ip, zone)| Node {
                        ip: *ip,
                        zone: zone.clone(),
                        misses: 2,
                    })
                    .collect(),
            )),
            openings: Arc::default(),
            packet_port,
        };
        for (idx, (ip, _)) in nodes.iter().enumerate() {
            let (router, address) = (router.clone(), SocketAddrV4::new(*ip, ready_port));
            thread::spawn(move || {
                loop {
                    let begun = Instant::now();
                    let is_ready = probe(address);
                    {
                        let mut nodes = router.nodes.lock().unwrap();
                        let misses = nodes[idx].misses;
                        nodes[idx].misses = if is_ready { 0 } else { misses + 1 };
                    }
                    thread::sleep(READY_INTERVAL.saturating_sub(begun.elapsed()));
                }
            });
        }
        router
    }

    pub fn ready_count(&self) -> usize {
        let nodes = self.nodes.lock().unwrap();
        nodes.iter().filter(|it| it.misses < 2).count()
    }

    /// Returns the machines that the opening packets of a client's flow were sent to.
    pub fn machines_of_opening(&self, src: SocketAddrV4) -> Vec<Ipv4Addr> {
        let openings = self.openings.lock().unwrap();
        openings.get(&src).cloned().unwrap_or_default()
    }

    /// Returns the node that a packet is forwarded to. Only the flows of a node that joins or
    /// leaves the rotation move.
    fn pick(&self, zone: &str, src: SocketAddrV4, dst: SocketAddrV4) -> SocketAddrV4 {
        let nodes = self.nodes.lock().unwrap();
        let own: Vec<&Node> = nodes.iter().filter(|it| it.zone == zone).collect();
        let ready: Vec<&Node> = own.iter().copied().filter(|it| it.misses < 2).collect();
        let anywhere: Vec<&Node> = nodes.iter().filter(|it| it.misses < 2).collect();
        let candidates = if ready.is_empty() && !anywhere.is_empty() {
            anywhere
        } else if ready.len() * 2 < own.len() {
            own
        } else {
            ready
        };
        let weight = |it: &&&Node| {
            let mut hash = 0xCBF2_9CE4_8422_2325_u64;
            for byte in format!("{src}{dst}{}", it.ip).bytes() {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3);
            }
            hash ^ (hash >> 29)
        };
        let chosen = candidates.iter().max_by_key(weight).map(|it| it.ip);
        SocketAddrV4::new(chosen.unwrap_or(Ipv4Addr::LOCALHOST), self.packet_port)
    }
}

/// Asks a node whether it is ready.
fn probe(address: SocketAddrV4) -> bool {
    let limit = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let mut head = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut head).is_ok()
        && head.ends_with(b"200")
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Answered(String),
    /// A reset of the system's own.
    SystemReset,
    EndpointReset,
    Timeout,
}

/// A client's host, on which many flows may be open.
#[derive(Clone)]
pub struct Client {
    ip: Ipv4Addr,
    zone: String,
    socket: Arc<UdpSocket>,
    flows: Arc<Mutex<HashMap<u16, Sender<Packet>>>>,
    router: Router,
    record: Record,
}

pub struct ClientFlow {
    client: Client,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    incoming: Receiver<Packet>,
    next: u32,
    acknowledged: u32,
}

impl Client {
    pub fn start(
        ip: Ipv4Addr,
        zone: &str,
        router: Router,
        record: Record,
    ) -> std::io::Result<Self> {
        let client = Self {
            ip,
            zone: zone.to_owned(),
            socket: Arc::new(UdpSocket::bind((ip, router.packet_port))?),
            flows: Arc::default(),
            router,
            record,
        };
        let receiving = client.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok((len, _)) = receiving.socket.recv_from(&mut buffer) {
                let Some(packet) = Packet::decode(&buffer[..len]) else {
                    continue;
                };
                if !packet.is_genuine() && !packet.is_system_reset() {
                    let line = format!("client {} got a packet that nobody wrote so", packet.dst);
                    receiving.record.add(line);
                    continue;
                }
                let flows = receiving.flows.lock().unwrap();
                if let Some(flow) = flows.get(&packet.dst.port()) {
                    let _ = flow.send(packet);
                }
            }
        });
        Ok(client)
    }

    /// Opens a flow from a new port.
    pub fn open(&self, port: u16, dst: SocketAddrV4) -> Result<ClientFlow, Outcome> {
        let (sender, incoming) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let mut flow = ClientFlow {
            client: self.clone(),
            src: SocketAddrV4::new(self.ip, port),
            dst,
            incoming,
            next: u32::from(port) << 12,
            acknowledged: 0,
        };
        for (copy, wait) in (0..).zip(OPENING_WAITS_MS) {
            flow.send(SYN, flow.next, copy, &[]);
            let end = Instant::now() + Duration::from_millis(wait);
            while let Some(packet) = flow.receive(end) {
                if packet.has(SYN) && packet.has(ACK) {
                    flow.next = flow.next.wrapping_add(1);
                    flow.acknowledged = packet.seq.wrapping_add(1);
                    flow.send(ACK, flow.next, flow.acknowledged, &[]);
                    return Ok(flow);
                }
                if packet.has(RST) {
                    return Err(Outcome::SystemReset);
                }
            }
        }
        Err(Outcome::Timeout)
    }
}

impl ClientFlow {
    /// Sends a request on the open flow and waits for its answer.
    pub fn request(&mut self, request_id: &str, deadline: Duration) -> Outcome {
        let body = "card=4711";
        let text = format!(
            "POST /work HTTP/1.1\r\nHost: service\r\nRequest-Id: {request_id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (client, dst) = (self.src, self.dst);
        let record = self.client.record.clone();
        record.add(format!("client {client} sends {request_id} to {dst}"));
        let sequence = self.next;
        self.next = sequence.wrapping_add(text.len() as u32);
        let end = Instant::now() + deadline;
        let mut wait = RETRANSMIT;
        while Instant::now() < end {
            self.send(ACK, sequence, self.acknowledged, text.as_bytes());
            let copy_at = (Instant::now() + wait).min(end);
            while let Some(packet) = self.receive(copy_at) {
                let distance = packet.seq.wrapping_sub(self.acknowledged).cast_signed();
                if packet.is_system_reset() {
                    if distance.unsigned_abs() <= RESET_WINDOW {
                        record.add(format!(
                            "client {client} gets a system reset on an open flow"
                        ));
                        return Outcome::SystemReset;
                    }
                } else if packet.has(RST) {
                    record.add(format!("client {client} gets a reset of its endpoint"));
                    return Outcome::EndpointReset;
                } else if !packet.data.is_empty() && packet.seq == self.acknowledged {
                    self.acknowledged = packet.seq.wrapping_add(packet.data.len() as u32);
                    self.send(ACK, self.next, self.acknowledged, &[]);
                    let answer = String::from_utf8_lossy(&packet.data).into_owned();
                    record.add(format!("client {client} is answered {request_id}"));
                    return Outcome::Answered(answer);
                } else if !packet.data.is_empty() {
                    // A copy of an earlier answer.
                    self.send(ACK, self.next, self.acknowledged, &[]);
                }
            }
            wait = (wait * 2).min(RETRANSMIT_MAX);
        }
        record.add(format!("client {client} gives up {request_id}"));
        Outcome::Timeout
    }

    pub fn close(self) {
        self.send(FIN | ACK, self.next, self.acknowledged, &[]);
        let end = Instant::now() + Duration::from_millis(200);
        while let Some(packet) = self.receive(end) {
            if packet.has(FIN) {
                let ack = packet.seq.wrapping_add(1);
                self.send(ACK, self.next.wrapping_add(1), ack, &[]);
                break;
            }
        }
        self.client.flows.lock().unwrap().remove(&self.src.port());
    }

    fn receive(&self, end: Instant) -> Option<Packet> {
        let left = end.saturating_duration_since(Instant::now());
        self.incoming.recv_timeout(left).ok()
    }

    fn send(&self, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(self.src, self.dst, flags, seq, ack, data);
        let client = &self.client;
        let node = client.router.pick(&client.zone, self.src, self.dst);
        if flags == SYN {
            let mut openings = client.router.openings.lock().unwrap();
            openings.entry(self.src).or_default().push(*node.ip());
        }
        // A packet to a node that isn't running is lost.
        let _ = client.socket.send_to(&packet.encode(), node);
    }
}
