//! An endpoint of a service: it takes flows over UDP, answers requests, and registers in the store.

use std::{
    collections::HashMap,
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
    store::Store,
};

/// Interval after which an unacknowledged answer is first sent again; it doubles each time.
const RETRANSMIT: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1_600);
const RETRANSMITS: u32 = 8;

type FlowId = (SocketAddrV4, SocketAddrV4);

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// The opening packet was accepted.
    Half,
    Open,
    Ended,
}

struct Flow {
    phase: Phase,
    initial: u32,
    /// Next sequence number that the endpoint sends.
    next: u32,
    /// Next sequence number expected of the client.
    expected: u32,
    /// Latest acknowledgement of the client.
    acknowledged: u32,
}

/// What an endpoint has taken, for the check at the end.
#[derive(Default)]
pub struct Seen {
    /// When each opening packet arrived that the endpoint took.
    pub openings: Vec<(Instant, FlowId)>,
}

pub struct EndpointPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub slots: u16,
    pub work: Duration,
}

struct Inner {
    plan: EndpointPlan,
    up: AtomicBool,
    flows: Mutex<HashMap<FlowId, Flow>>,
    seen: Mutex<Seen>,
    store: Store,
    record: Record,
    socket: UdpSocket,
}

#[derive(Clone)]
pub struct Endpoint(Arc<Inner>);

impl Endpoint {
    pub fn start(plan: EndpointPlan, store: Store, record: Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(plan.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let listener = TcpListener::bind(plan.app)?;
        listener.set_nonblocking(true)?;
        let endpoint = Self(Arc::new(Inner {
            plan,
            up: AtomicBool::new(true),
            flows: Mutex::default(),
            seen: Mutex::default(),
            store,
            record,
            socket,
        }));
        let taking = endpoint.clone();
        thread::spawn(move || taking.receive());
        let accepting = endpoint.clone();
        thread::spawn(move || {
            let mut connections = Vec::new();
            while accepting.0.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => connections.push(stream),
                    Err(_) => thread::sleep(Duration::from_millis(5)),
                }
                if connections.len() > 16 {
                    connections.remove(0);
                }
            }
        });
        endpoint.report("ready");
        Ok(endpoint)
    }

    pub fn id(&self) -> &str {
        &self.0.plan.id
    }

    pub fn service(&self) -> &str {
        &self.0.plan.service
    }

    pub fn address(&self) -> SocketAddrV4 {
        self.0.plan.app
    }

    pub fn is_up(&self) -> bool {
        self.0.up.load(Ordering::SeqCst)
    }

    /// Writes the endpoint's entry; returns the time of the store's acknowledgement.
    pub fn report(&self, state: &str) -> Instant {
        let plan = &self.0.plan;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1,\"born\":1769247347000}}",
            plan.service, plan.app, plan.zone, plan.slots
        );
        self.0.store.put(&format!("servers/{}", plan.id), &entry);
        let acknowledged = Instant::now();
        let line = format!(
            "store acknowledges: {} ({}) is {state}",
            plan.id, plan.service
        );
        self.0.record.add(line);
        acknowledged
    }

    /// Ends the endpoint after a drain; its entry goes with it.
    pub fn leave(&self) {
        self.0.up.store(false, Ordering::SeqCst);
        self.0.store.remove(&format!("servers/{}", self.0.plan.id));
        self.0.record.add(format!("{} has left", self.0.plan.id));
    }

    pub fn seen<T>(&self, read: impl FnOnce(&Seen) -> T) -> T {
        read(&self.0.seen.lock().unwrap())
    }

    /// Whether the endpoint is running and holds the flow open.
    pub fn holds_open(&self, client: SocketAddrV4, service: SocketAddrV4) -> bool {
        let flows = self.0.flows.lock().unwrap();
        self.is_up()
            && flows
                .get(&(client, service))
                .is_some_and(|it| it.phase == Phase::Open)
    }

    fn receive(&self) {
        let mut buffer = [0; 2_048];
        while self.is_up() {
            let Ok((len, _)) = self.0.socket.recv_from(&mut buffer) else {
                continue;
            };
            match Packet::decode(&buffer[..len]) {
                Some(packet) if packet.is_genuine() => self.take_packet(packet),
                _ => {
                    self.0
                        .record
                        .add(format!("{} got a packet that nobody wrote so", self.id()));
                }
            }
        }
    }

    fn take_packet(&self, packet: Packet) {
        let id = (packet.src, packet.dst);
        let mut flows = self.0.flows.lock().unwrap();
        if packet.has(SYN) && !packet.has(ACK) {
            let initial = initial_sequence(&self.0.plan.id, id);
            let is_new = !flows.contains_key(&id);
            let flow = flows.entry(id).or_insert(Flow {
                phase: Phase::Half,
                initial,
                next: initial.wrapping_add(1),
                expected: packet.seq.wrapping_add(1),
                acknowledged: initial,
            });
            let answer = (flow.initial, flow.expected);
            drop(flows);
            if is_new {
                self.0
                    .seen
                    .lock()
                    .unwrap()
                    .openings
                    .push((Instant::now(), id));
                let line = format!("{} takes the opening of {}", self.id(), packet.src);
                self.0.record.add(line);
            }
            return self.send(id, SYN | ACK, answer.0, answer.1, &[]);
        }
        let Some(flow) = flows
            .get_mut(&id)
            .filter(|it| it.phase != Phase::Half || packet.ack == it.initial.wrapping_add(1))
        else {
            drop(flows);
            let mut returned = packet;
            returned.flags |= BOUNCED;
            returned.pad = 0;
            let _ = self
                .0
                .socket
                .send_to(&returned.encode(), self.0.plan.outbound);
            return;
        };
        if flow.phase == Phase::Ended {
            let (next, expected) = (flow.next, flow.expected);
            drop(flows);
            if packet.has(FIN) {
                self.send(id, ACK, next, expected, &[]);
            } else if !packet.data.is_empty() {
                self.send(id, RST, next, expected, &[]);
            }
            return;
        }
        flow.phase = Phase::Open;
        flow.acknowledged = packet.ack;
        if packet.has(RST) {
            flow.phase = Phase::Ended;
            return;
        }
        if packet.has(FIN) {
            flow.phase = Phase::Ended;
            flow.expected = packet.seq.wrapping_add(1);
            let (next, expected) = (flow.next, flow.expected);
            flow.next = next.wrapping_add(1);
            drop(flows);
            return self.send(id, FIN | ACK, next, expected, &[]);
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq != flow.expected {
            // A copy of a request that is running or answered already.
            let (next, expected) = (flow.next, flow.expected);
            drop(flows);
            return self.send(id, ACK, next, expected, &[]);
        }
        flow.expected = packet.seq.wrapping_add(packet.data.len() as u32);
        drop(flows);
        let endpoint = self.clone();
        thread::spawn(move || endpoint.run_request(id, &packet.data));
    }

    fn run_request(&self, id: FlowId, request: &[u8]) {
        let text = String::from_utf8_lossy(request);
        let request_id = text
            .lines()
            .find_map(|it| it.strip_prefix("Request-Id: "))
            .unwrap_or("?")
            .to_owned();
        self.0
            .record
            .add(format!("{} runs {request_id} of {}", self.id(), id.0));
        thread::sleep(self.0.plan.work);
        if !self.is_up() {
            return;
        }
        let body = format!("done {request_id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nServer-Seal: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id(),
            body.len()
        );
        let (sequence, end) = {
            let mut flows = self.0.flows.lock().unwrap();
            let Some(flow) = flows.get_mut(&id) else {
                return;
            };
            let sequence = flow.next;
            flow.next = sequence.wrapping_add(answer.len() as u32);
            (sequence, flow.next)
        };
        let mut wait = RETRANSMIT;
        for _ in 0..=RETRANSMITS {
            let expected = match self.0.flows.lock().unwrap().get(&id) {
                Some(flow) if flow.phase == Phase::Open && flow.acknowledged != end => {
                    flow.expected
                }
                _ => return,
            };
            if !self.is_up() {
                return;
            }
            self.send(id, ACK, sequence, expected, answer.as_bytes());
            thread::sleep(wait);
            wait = (wait * 2).min(RETRANSMIT_MAX);
        }
    }

    fn send(&self, id: FlowId, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(id.1, id.0, flags, seq, ack, data);
        // A packet to an agent that isn't running is lost.
        let _ = self
            .0
            .socket
            .send_to(&packet.encode(), self.0.plan.outbound);
    }
}

/// Initial sequence numbers of different endpoints and flows are far apart.
fn initial_sequence(endpoint: &str, flow: FlowId) -> u32 {
    format!("{endpoint}{}{}", flow.0, flow.1)
        .bytes()
        .fold(0x811C_9DC5_u32, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        })
}
