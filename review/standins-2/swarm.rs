//! Many callers' flows on one address: each stays open for many requests with pauses between them.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    conn::Conn,
    fleet::Router,
    packet::{self, ACK, Packet, RST, SYN},
    record::Record,
};

const COPIES_MS: [u64; 2] = [200, 600];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time of a packet between a caller and the system.
const ONE_WAY: Duration = Duration::from_millis(1);

/// What one flow of the swarm saw.
#[derive(Debug, Clone)]
pub struct FlowReport {
    pub own: SocketAddrV4,
    pub endpoint_sequence: u32,
    pub opened_ms: u64,
    /// Time at which the caller gave the flow up, if it did.
    pub given_up_ms: Option<u64>,
    pub answered: u32,
    pub was_reset: bool,
}

#[derive(Debug)]
enum State {
    Opening {
        sequence: u32,
        begun: Instant,
        copies: u32,
    },
    Idle {
        next_at: Instant,
    },
    Waiting {
        until: Instant,
    },
    Over,
}

#[derive(Debug)]
struct SwarmFlow {
    state: State,
    conn: Option<Conn>,
    buffer: Vec<u8>,
    requests: u32,
    /// Time at which the latest request was sent.
    sent_ms: u64,
    report: FlowReport,
}

/// How a swarm behaves.
#[derive(Debug, Clone, Copy)]
pub struct Habit {
    pub flows: u16,
    pub pause: Duration,
    pub deadline: Duration,
}

/// Runs the flows of one address until `is_over` is set, and returns what they saw.
pub fn run(
    address: SocketAddrV4,
    route: SocketAddrV4,
    habit: Habit,
    router: &Router,
    record: &Record,
    is_over: &Arc<AtomicBool>,
) -> std::io::Result<thread::JoinHandle<Vec<FlowReport>>> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(Duration::from_millis(1)))?;
    let mut swarm = Swarm {
        ip: *address.ip(),
        route,
        habit,
        socket,
        router: router.clone(),
        record: record.clone(),
        flows: HashMap::new(),
        outgoing: Vec::new(),
        incoming: Vec::new(),
    };
    let is_over = Arc::clone(is_over);
    Ok(thread::spawn(move || {
        swarm.open_all();
        while !is_over.load(Ordering::Relaxed) {
            swarm.turn();
        }
        swarm.flows.into_values().map(|it| it.report).collect()
    }))
}

struct Swarm {
    ip: Ipv4Addr,
    route: SocketAddrV4,
    habit: Habit,
    socket: UdpSocket,
    router: Router,
    record: Record,
    flows: HashMap<u16, SwarmFlow>,
    /// Packets on their way to the system, with the time at which they arrive.
    outgoing: Vec<(Instant, SocketAddrV4, Vec<u8>)>,
    /// Packets on their way to the callers.
    incoming: Vec<(Instant, Packet)>,
}

impl Swarm {
    fn open_all(&mut self) {
        for idx in 0..self.habit.flows {
            let port = 10_000 + idx;
            let own = SocketAddrV4::new(self.ip, port);
            let sequence = u32::from(self.ip).wrapping_mul(0x85EB_CA6B) ^ u32::from(port) << 12;
            let opening = packet::encode(own, self.route, SYN, sequence, 0, &[]);
            let flow = SwarmFlow {
                state: State::Opening {
                    sequence,
                    begun: Instant::now(),
                    copies: 0,
                },
                conn: None,
                buffer: Vec::new(),
                requests: 0,
                sent_ms: 0,
                report: FlowReport {
                    own,
                    endpoint_sequence: 0,
                    opened_ms: 0,
                    given_up_ms: None,
                    answered: 0,
                    was_reset: false,
                },
            };
            self.flows.insert(port, flow);
            self.send(own, opening);
            // The flows open over some seconds, as callers come in.
            let end = Instant::now() + Duration::from_millis(20);
            while Instant::now() < end {
                self.turn();
            }
        }
    }

    fn turn(&mut self) {
        let mut buffer = [0; 2_048];
        while let Ok((len, _)) = self.socket.recv_from(&mut buffer) {
            if let Some(packet) = packet::decode(&buffer[..len]) {
                self.incoming.push((Instant::now() + ONE_WAY, packet));
            }
            if self.incoming.len() > 64 {
                break;
            }
        }
        let now = Instant::now();
        let arrived: Vec<_> = self.incoming.extract_if(.., |it| it.0 <= now).collect();
        for (_, packet) in arrived {
            self.receive(&packet);
        }
        self.run_timers();
        let now = Instant::now();
        let due: Vec<_> = self.outgoing.extract_if(.., |it| it.0 <= now).collect();
        for (_, own, bytes) in due {
            if let Some(balancer) = self.router.choose(own, self.route) {
                let _lost = self.socket.send_to(&bytes, balancer);
            }
        }
    }

    fn send(&mut self, own: SocketAddrV4, bytes: Vec<u8>) {
        self.outgoing.push((Instant::now() + ONE_WAY, own, bytes));
    }

    fn receive(&mut self, it: &Packet) {
        let now_ms = self.record.now_ms();
        let pause = self.habit.pause;
        let Some(flow) = self.flows.get_mut(&it.destination.port()) else {
            return;
        };
        let own = flow.report.own;
        if it.has(RST) {
            if !matches!(flow.state, State::Over) {
                flow.report.was_reset = flow.conn.is_some();
                flow.state = State::Over;
            }
            return;
        }
        if let State::Opening { sequence, .. } = flow.state {
            let next = sequence.wrapping_add(1);
            if it.has(SYN) && it.acknowledged == next {
                let conn = Conn::new(own, self.route, next, it.sequence.wrapping_add(1));
                let bytes = conn.acknowledge();
                flow.conn = Some(conn);
                flow.report.endpoint_sequence = it.sequence;
                flow.report.opened_ms = now_ms;
                flow.state = State::Idle {
                    next_at: Instant::now(),
                };
                self.send(own, bytes);
            }
            return;
        }
        let Some(conn) = &mut flow.conn else {
            return;
        };
        if it.has(SYN) || it.acknowledged.wrapping_sub(conn.next) as i32 > 0 {
            return;
        }
        let data = conn.receive(it).unwrap_or_default();
        flow.buffer.extend(data);
        let text = String::from_utf8_lossy(&flow.buffer).into_owned();
        let is_whole = text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
            let length = head
                .lines()
                .find_map(|it| it.strip_prefix("Content-Length: "));
            length.and_then(|it| it.parse().ok()) == Some(body.len())
        });
        if is_whole && matches!(flow.state, State::Waiting { .. }) {
            flow.buffer.clear();
            flow.report.answered += 1;
            self.record.line(&format!(
                "{own}: request {}, sent at {} ms, answered",
                flow.requests, flow.sent_ms
            ));
            flow.state = State::Idle {
                next_at: Instant::now() + pause,
            };
        }
        if !it.data.is_empty() {
            let bytes = conn.acknowledge();
            self.send(own, bytes);
        }
    }

    fn run_timers(&mut self) {
        let now = Instant::now();
        let now_ms = self.record.now_ms();
        let (route, deadline) = (self.route, self.habit.deadline);
        let mut out = Vec::new();
        for (port, flow) in &mut self.flows {
            let own = flow.report.own;
            match &mut flow.state {
                State::Opening {
                    sequence,
                    begun,
                    copies,
                } => {
                    let age = now.duration_since(*begun);
                    let due = COPIES_MS.get(*copies as usize).copied().unwrap_or(u64::MAX);
                    if age > OPENING_TIMEOUT {
                        flow.state = State::Over;
                    } else if age.as_millis() as u64 >= due {
                        *copies += 1;
                        out.push((
                            own,
                            packet::encode(own, route, SYN, *sequence, *copies, &[]),
                        ));
                    }
                }
                State::Idle { next_at } if now >= *next_at => {
                    let Some(conn) = &mut flow.conn else {
                        continue;
                    };
                    flow.requests += 1;
                    let text = format!(
                        "POST /purchase HTTP/1.1\r\nHost: {route}\r\nRequest-Id: {}-{port}-{}\r\n\
                         Connection: keep-alive\r\nContent-Length: 4\r\n\r\nbody",
                        own.ip(),
                        flow.requests
                    );
                    out.push((own, conn.send(0, text.as_bytes())));
                    flow.sent_ms = now_ms;
                    flow.state = State::Waiting {
                        until: now + deadline,
                    };
                }
                State::Waiting { until } if now >= *until => {
                    if let Some(conn) = &flow.conn {
                        let (next, expected) = (conn.next, conn.expected);
                        out.push((
                            own,
                            packet::encode(own, route, RST | ACK, next, expected, &[]),
                        ));
                    }
                    flow.report.given_up_ms = Some(now_ms);
                    self.record.line(&format!(
                        "{own}: request {}, sent at {} ms, not answered",
                        flow.requests, flow.sent_ms
                    ));
                    flow.state = State::Over;
                }
                State::Waiting { .. } => {
                    if let Some(conn) = &mut flow.conn {
                        let again = conn.retransmit(now);
                        out.extend(again.into_iter().map(|it| (own, it)));
                    }
                }
                State::Idle { .. } | State::Over => {}
            }
        }
        for (own, bytes) in out {
            self.send(own, bytes);
        }
    }
}
