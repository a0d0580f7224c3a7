//! A caller with one address: it opens flows, sends requests and waits for their answers.

use std::{
    net::{SocketAddrV4, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use crate::{
    conn::Conn,
    fleet::Router,
    packet::{self, ACK, FIN, Packet, RST, SYN},
    record::Record,
};

/// Times after the opening packet at which its copies are sent.
const COPIES_MS: [u64; 2] = [200, 600];
/// Time of a packet between a caller and the system, as the sheet of the small site states it.
const ONE_WAY: Duration = Duration::from_millis(1);
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Distance of a reset's sequence number within which an open flow takes the reset.
const RESET_WINDOW: i64 = 76_800;

/// A reset that a caller got on an open flow.
#[derive(Debug, Clone)]
pub struct GotReset {
    pub caller: SocketAddrV4,
    pub route: SocketAddrV4,
    /// The sequence number with which the flow's endpoint opened it.
    pub endpoint_sequence: u32,
    pub is_of_system: bool,
    pub at_ms: u64,
}

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    Answered(String),
    Reset(GotReset),
    Deadline,
}

/// An open flow.
#[derive(Debug)]
pub struct CallerFlow {
    own: SocketAddrV4,
    route: SocketAddrV4,
    endpoint_sequence: u32,
    conn: Conn,
    buffer: Vec<u8>,
    reset: Option<GotReset>,
}

impl CallerFlow {
    pub fn is_closed_by_endpoint(&self) -> bool {
        self.conn.received_fin
    }
}

pub struct Caller {
    pub name: String,
    socket: UdpSocket,
    ip: std::net::Ipv4Addr,
    router: Router,
    record: Record,
    sequence: u32,
}

impl Caller {
    pub fn new(
        name: &str,
        address: SocketAddrV4,
        router: &Router,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        Ok(Self {
            name: name.to_owned(),
            socket,
            ip: *address.ip(),
            router: router.clone(),
            record: record.clone(),
            sequence: u32::from(*address.ip()).wrapping_mul(0x85EB_CA6B),
        })
    }

    /// Opens a flow from `port`, or returns `None` if no endpoint took it.
    pub fn open(&mut self, port: u16, route: SocketAddrV4) -> Option<CallerFlow> {
        let own = SocketAddrV4::new(self.ip, port);
        // Later flows of one port begin above all that earlier ones used.
        self.sequence = self.sequence.wrapping_add(10_000_000);
        let sequence = self.sequence;
        let begun = Instant::now();
        let mut copies = 0;
        self.send(
            own,
            route,
            &packet::encode(own, route, SYN, sequence, 0, &[]),
        );
        while begun.elapsed() < OPENING_TIMEOUT {
            let due = COPIES_MS.get(copies as usize).copied().unwrap_or(u64::MAX);
            if begun.elapsed().as_millis() as u64 >= due {
                copies += 1;
                self.send(
                    own,
                    route,
                    &packet::encode(own, route, SYN, sequence, copies, &[]),
                );
            }
            let Some(it) = self.receive(own, route) else {
                continue;
            };
            if it.has(RST) {
                return None;
            }
            let is_answer = it.has(SYN) && it.has(ACK);
            if !is_answer || it.acknowledged != sequence.wrapping_add(1) {
                // It belongs to an earlier flow of the port.
                self.refuse(&it);
            } else {
                let next = sequence.wrapping_add(1);
                let conn = Conn::new(own, route, next, it.sequence.wrapping_add(1));
                self.send(own, route, &conn.acknowledge());
                return Some(CallerFlow {
                    own,
                    route,
                    endpoint_sequence: it.sequence,
                    conn,
                    buffer: Vec::new(),
                    reset: None,
                });
            }
        }
        None
    }

    /// Sends a request on an open flow and waits for its answer.
    pub fn request(
        &mut self,
        flow: &mut CallerFlow,
        id: &str,
        closes: bool,
        deadline: Duration,
    ) -> Outcome {
        let connection = if closes { "close" } else { "keep-alive" };
        let text = format!(
            "POST /purchase HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nConnection: {connection}\r\n\
             Content-Length: 4\r\n\r\nbody",
            flow.route
        );
        let bytes = flow.conn.send(0, text.as_bytes());
        self.record.line(&format!(
            "{}: sends {id} from port {}",
            self.name,
            flow.own.port()
        ));
        self.send(flow.own, flow.route, &bytes);
        let end = Instant::now() + deadline;
        while Instant::now() < end {
            self.pump(flow);
            if let Some(reset) = flow.reset.clone() {
                return Outcome::Reset(reset);
            }
            let text = String::from_utf8_lossy(&flow.buffer).into_owned();
            let whole = text.split_once("\r\n\r\n").filter(|(head, body)| {
                let length = head
                    .lines()
                    .find_map(|it| it.strip_prefix("Content-Length: "));
                length.and_then(|it| it.parse().ok()) == Some(body.len())
            });
            if let Some((_, body)) = whole {
                flow.buffer.clear();
                self.record.line(&format!("{}: got `{body}`", self.name));
                return Outcome::Answered(body.to_owned());
            }
        }
        self.record
            .line(&format!("{}: no answer to {id}", self.name));
        Outcome::Deadline
    }

    /// Keeps an open flow for a while without a request; returns a reset that came meanwhile.
    pub fn idle(&mut self, flow: &mut CallerFlow, time: Duration) -> Option<GotReset> {
        let end = Instant::now() + time;
        while Instant::now() < end && flow.reset.is_none() && !flow.conn.received_fin {
            self.pump(flow);
        }
        flow.reset.clone()
    }

    /// Closes a flow after the endpoint has closed it.
    pub fn close(&mut self, mut flow: CallerFlow) {
        let bytes = flow.conn.send(FIN, &[]);
        self.send(flow.own, flow.route, &bytes);
        let end = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end && flow.reset.is_none() && !flow.conn.is_closed() {
            self.pump(&mut flow);
        }
    }

    /// Gives a flow up: the caller has no further use for it.
    pub fn abort(&self, flow: &CallerFlow) {
        let (next, expected) = (flow.conn.next, flow.conn.expected);
        let bytes = packet::encode(flow.own, flow.route, RST | ACK, next, expected, &[]);
        self.send(flow.own, flow.route, &bytes);
    }

    /// Waits without a flow; packets of flows that the caller doesn't have get a reset.
    pub fn rest(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if let Some(it) = self.receive_any() {
                self.refuse(&it);
            }
        }
    }

    /// Answers a packet of a flow that the caller doesn't have.
    fn refuse(&self, it: &Packet) {
        if it.has(RST) || !it.has(ACK) {
            return;
        }
        let positions = it.data.len() as u32 + u32::from(it.has(FIN)) + u32::from(it.has(SYN));
        let end = it.sequence.wrapping_add(positions);
        let (own, route) = (it.destination, it.source);
        let bytes = packet::encode(own, route, RST | ACK, it.acknowledged, end, &[]);
        self.send(own, route, &bytes);
    }

    fn pump(&mut self, flow: &mut CallerFlow) {
        for bytes in flow.conn.retransmit(Instant::now()) {
            self.send(flow.own, flow.route, &bytes);
        }
        let Some(it) = self.receive(flow.own, flow.route) else {
            return;
        };
        if it.has(RST) {
            let distance = i64::from(it.sequence.wrapping_sub(flow.conn.expected) as i32).abs();
            if distance <= RESET_WINDOW {
                let at_ms = self.record.now_ms();
                self.record.line(&format!(
                    "{}: reset on the open flow of {} by {}",
                    self.name,
                    flow.own,
                    if it.is_system_reset {
                        "the system"
                    } else {
                        "an endpoint"
                    }
                ));
                flow.reset = Some(GotReset {
                    caller: flow.own,
                    route: flow.route,
                    endpoint_sequence: flow.endpoint_sequence,
                    is_of_system: it.is_system_reset,
                    at_ms,
                });
            }
            return;
        }
        if it.has(SYN) {
            // A copy of the endpoint's answer, or another endpoint's.
            if it.sequence == flow.endpoint_sequence {
                let bytes = flow.conn.acknowledge();
                self.send(flow.own, flow.route, &bytes);
            }
            return;
        }
        if it.acknowledged.wrapping_sub(flow.conn.next) as i32 > 0 {
            // It acknowledges what was never sent: not a packet of this flow.
            return;
        }
        let received = flow.conn.receive(&it);
        flow.buffer.extend(received.unwrap_or_default());
        if !it.data.is_empty() || it.has(FIN) {
            let bytes = flow.conn.acknowledge();
            self.send(flow.own, flow.route, &bytes);
        }
    }

    fn send(&self, own: SocketAddrV4, route: SocketAddrV4, bytes: &[u8]) {
        thread::sleep(ONE_WAY);
        if let Some(balancer) = self.router.choose(own, route) {
            let _lost = self.socket.send_to(bytes, balancer);
        }
    }

    fn receive(&self, own: SocketAddrV4, route: SocketAddrV4) -> Option<Packet> {
        let packet = self.receive_any()?;
        if packet.destination == own && packet.source == route {
            return Some(packet);
        }
        self.refuse(&packet);
        None
    }

    fn receive_any(&self) -> Option<Packet> {
        let mut buffer = [0; 2_048];
        let (len, _) = self.socket.recv_from(&mut buffer).ok()?;
        thread::sleep(ONE_WAY);
        let packet = packet::decode(&buffer[..len])?;
        if !packet.is_genuine && !packet.is_system_reset {
            self.record
                .line(&format!("{}: a packet that nobody wrote", self.name));
            return None;
        }
        Some(packet)
    }
}
