//! An application endpoint: it holds flows, runs requests in its slots and registers in the store.

use std::{
    collections::{HashMap, VecDeque},
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
    store::Store,
};

const RETRANSMIT: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1_600);
const RETRANSMISSIONS_MAX: u32 = 8;
/// Time for which an ended flow is remembered.
const ENDED_TIME: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
pub struct EndpointSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    /// The address of the node beside the endpoint that takes the endpoint's packets.
    pub outbound: SocketAddrV4,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Time for which the endpoint is cold after a start.
    pub cold: Duration,
    /// Factor by which work takes longer on a cold endpoint.
    pub cold_factor: f64,
    pub beat: Duration,
}

/// An opening packet that an endpoint took.
#[derive(Debug, Clone)]
pub struct Taken {
    pub at: Instant,
    pub client: SocketAddrV4,
    pub seq: u32,
    pub endpoint: String,
    /// Whether the endpoint was cold.
    pub is_cold: bool,
}

/// A request that an endpoint began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: u64,
    pub service: String,
}

/// A packet of a flow, other than an opening packet, that reached an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub client: SocketAddrV4,
    /// Whether the endpoint holds the flow, opened by the client.
    pub is_held: bool,
}

/// What all endpoints have seen.
#[derive(Debug, Default)]
pub struct Seen {
    pub taken: Mutex<Vec<Taken>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub runs: Mutex<Vec<Run>>,
    pub forged: Mutex<Vec<String>>,
}

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Endpoint {
    /// Starts an endpoint, which is cold if `is_cold`, and which first writes its entry after
    /// `first_beat`.
    pub fn start(
        settings: &EndpointSettings,
        is_cold: bool,
        first_beat: Duration,
        store: &Arc<Store>,
        seen: &Arc<Seen>,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let udp = UdpSocket::bind(settings.app)?;
        udp.set_read_timeout(Some(Duration::from_millis(1)))?;
        let health = TcpListener::bind(settings.app)?;
        health.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let now = Instant::now();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let mut process = Process {
            settings: settings.clone(),
            udp,
            health,
            store: Arc::clone(store),
            seen: Arc::clone(seen),
            record: Arc::clone(record),
            born,
            cold_until: is_cold.then(|| now + settings.cold),
            next_beat: now + first_beat,
            beats: 0,
            written: String::new(),
            flows: HashMap::new(),
            ended: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            next_seq: born as u32 ^ u32::from(settings.app.ip().octets()[3]) << 20,
        };
        record.write(&format!("endpoint {} starts, cold={is_cold}", settings.id));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || process.run(&stopped));
        Ok(Self { stop, thread })
    }

    /// Ends the endpoint at once, as a crash does: it says nothing and drops its flows.
    pub fn crash(self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ended = self.thread.join();
    }
}

#[derive(Debug)]
struct Flow {
    is_open: bool,
    client_seq: u32,
    my_seq: u32,
    response: Vec<u8>,
    sent: u32,
    resend_at: Option<Instant>,
}

type FlowKey = (SocketAddrV4, SocketAddrV4);

struct Process {
    settings: EndpointSettings,
    udp: UdpSocket,
    health: TcpListener,
    store: Arc<Store>,
    seen: Arc<Seen>,
    record: Arc<Record>,
    born: u128,
    cold_until: Option<Instant>,
    next_beat: Instant,
    beats: u64,
    written: String,
    flows: HashMap<FlowKey, Flow>,
    ended: HashMap<FlowKey, Instant>,
    waiting: VecDeque<(FlowKey, u64)>,
    running: Vec<(Instant, FlowKey, u64)>,
    next_seq: u32,
}

impl Process {
    fn run(&mut self, stop: &AtomicBool) {
        let mut buffer = [0_u8; 2048];
        while !stop.load(Ordering::SeqCst) {
            if let Ok((count, _)) = self.udp.recv_from(&mut buffer)
                && let Some(packet) = Packet::decode(&buffer[..count])
            {
                self.on_packet(packet);
            }
            // A health check gets a connection; nobody asks more here.
            while self.health.accept().is_ok() {}
            let now = Instant::now();
            self.work(now);
            self.resend(now);
            if now >= self.next_beat {
                self.next_beat = now + self.settings.beat;
                self.write_beat(now);
            }
        }
    }

    fn cold_left(&self, now: Instant) -> Duration {
        self.cold_until
            .map_or(Duration::ZERO, |it| it.saturating_duration_since(now))
    }

    fn write_beat(&mut self, now: Instant) {
        if self.store.is_down() {
            return;
        }
        self.beats += 1;
        let it = &self.settings;
        let cold_left = self.cold_left(now).as_millis();
        let entry = |seq: u64| {
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":{cold_left},\"seq\":{seq},\
                 \"born\":{}}}",
                it.service, it.app, it.zone, it.slots, self.born
            )
        };
        let key = format!("servers/{}", it.id);
        let lease = it.beat * 3;
        // The entry changes when more than `seq` changes.
        let content = entry(0);
        if content != self.written || !self.store.renew(&key, lease) {
            let revision = self.store.put(&key, &entry(self.beats), Some(lease));
            self.record.write(&format!(
                "store acknowledged {key} cold_left_ms={cold_left} revision={revision}"
            ));
            self.written = content;
        }
    }

    fn send(&self, packet: &Packet) {
        let _lost = self.udp.send_to(&packet.encode(), self.settings.outbound);
    }

    fn on_packet(&mut self, mut packet: Packet) {
        let now = Instant::now();
        let key = (packet.src, packet.dst);
        if !packet.is_genuine() {
            let text = format!(
                "{} got a packet that its sender didn't write so",
                self.settings.id
            );
            self.seen
                .forged
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(text);
            return;
        }
        if packet.has(SYN) {
            return self.on_opening(now, key, &packet);
        }
        self.note_arrival(now, key, &packet);
        let Some(flow) = self.flows.get_mut(&key) else {
            if self.ended.contains_key(&key) {
                if packet.has(FIN) {
                    let ack = packet.seq.wrapping_add(1);
                    self.send(&Packet::new(packet.dst, packet.src, ACK, packet.ack, ack));
                } else if !packet.data.is_empty() {
                    self.send(&Packet::new(packet.dst, packet.src, RST, packet.ack, 0));
                }
                return;
            }
            return self.bounce(&mut packet);
        };
        if !flow.is_open {
            if !packet.has(ACK) || packet.ack != flow.my_seq.wrapping_add(1) {
                return self.bounce(&mut packet);
            }
            flow.is_open = true;
            flow.my_seq = flow.my_seq.wrapping_add(1);
        }
        if packet.has(RST) {
            self.flows.remove(&key);
            self.ended.insert(key, now);
            return;
        }
        if !flow.response.is_empty()
            && packet.has(ACK)
            && packet.ack == flow.my_seq.wrapping_add(flow.response.len() as u32)
        {
            flow.my_seq = packet.ack;
            flow.response.clear();
            flow.sent = 0;
            flow.resend_at = None;
        }
        if !packet.data.is_empty() {
            let is_new = packet.seq == flow.client_seq;
            if is_new {
                flow.client_seq = flow.client_seq.wrapping_add(packet.data.len() as u32);
            }
            let ack = Packet::new(packet.dst, packet.src, ACK, flow.my_seq, flow.client_seq);
            self.send(&ack);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let request = text.split(' ').nth(1).and_then(|it| it.parse().ok());
            if let (true, Some(request)) = (is_new, request) {
                self.waiting.push_back((key, request));
            }
        }
        if packet.has(FIN) {
            let seq = packet.ack;
            let ack = packet
                .seq
                .wrapping_add(packet.data.len() as u32)
                .wrapping_add(1);
            self.send(&Packet::new(packet.dst, packet.src, ACK | FIN, seq, ack));
            self.flows.remove(&key);
            self.ended.insert(key, now);
        }
    }

    fn note_arrival(&self, now: Instant, key: FlowKey, packet: &Packet) {
        let is_held = self.flows.get(&key).is_some_and(|it| {
            it.is_open || (packet.has(ACK) && packet.ack == it.my_seq.wrapping_add(1))
        });
        if !is_held {
            self.record.write(&format!(
                "endpoint {} gets a packet of {} that it doesn't hold",
                self.settings.id, packet.src
            ));
        }
        let arrival = Arrival {
            at: now,
            client: packet.src,
            is_held,
        };
        self.seen
            .arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(arrival);
    }

    fn on_opening(&mut self, now: Instant, key: FlowKey, packet: &Packet) {
        let load = self.waiting.len() + self.running.len();
        let is_known = self
            .flows
            .get(&key)
            .is_some_and(|it| it.client_seq == packet.seq.wrapping_add(1));
        if !is_known {
            if load >= self.settings.slots + self.settings.queue {
                return self.bounce(&mut packet.clone());
            }
            self.next_seq = self
                .next_seq
                .wrapping_mul(1_664_525)
                .wrapping_add(1_013_904_223);
            let flow = Flow {
                is_open: false,
                client_seq: packet.seq.wrapping_add(1),
                my_seq: self.next_seq,
                response: Vec::new(),
                sent: 0,
                resend_at: None,
            };
            self.flows.insert(key, flow);
            let is_cold = !self.cold_left(now).is_zero();
            self.record.write(&format!(
                "endpoint {} takes the opening of {} seq={} cold={is_cold}",
                self.settings.id, packet.src, packet.seq
            ));
            let taken = Taken {
                at: now,
                client: packet.src,
                seq: packet.seq,
                endpoint: self.settings.id.clone(),
                is_cold,
            };
            self.seen
                .taken
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(taken);
        }
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        if flow.is_open {
            return;
        }
        let (seq, ack) = (flow.my_seq, flow.client_seq);
        self.send(&Packet::new(packet.dst, packet.src, SYN | ACK, seq, ack));
    }

    /// Returns a packet of a flow that the endpoint doesn't hold or can't accept.
    fn bounce(&self, packet: &mut Packet) {
        packet.flags |= BOUNCED;
        packet.pad = 0;
        let _lost = self
            .udp
            .send_to(&packet.encode_as_is(), self.settings.outbound);
    }

    fn work(&mut self, now: Instant) {
        let mut done = Vec::new();
        self.running.retain(|it| {
            if it.0 <= now {
                done.push((it.1, it.2));
            }
            it.0 > now
        });
        for (key, request) in done {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.response = format!("SEAL {request} {}", self.settings.id).into_bytes();
                flow.resend_at = Some(now);
            }
        }
        while self.running.len() < self.settings.slots {
            let Some((key, request)) = self.waiting.pop_front() else {
                break;
            };
            if !self.flows.contains_key(&key) {
                continue;
            }
            let mut work = self.settings.work;
            if !self.cold_left(now).is_zero() {
                work = work.mul_f64(self.settings.cold_factor);
            }
            self.record.write(&format!(
                "endpoint {} runs request {request}",
                self.settings.id
            ));
            let run = Run {
                request,
                service: self.settings.service.clone(),
            };
            self.seen
                .runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(run);
            self.running.push((now + work, key, request));
        }
    }

    fn resend(&mut self, now: Instant) {
        let mut packets = Vec::new();
        let mut given_up = Vec::new();
        for (key, flow) in &mut self.flows {
            if flow.resend_at.is_none_or(|it| it > now) {
                continue;
            }
            if flow.sent > RETRANSMISSIONS_MAX {
                given_up.push(*key);
                continue;
            }
            let wait = (RETRANSMIT * 2_u32.pow(flow.sent.min(3))).min(RETRANSMIT_MAX);
            flow.sent += 1;
            flow.resend_at = Some(now + wait);
            let packet = Packet::new(key.1, key.0, ACK, flow.my_seq, flow.client_seq);
            packets.push(packet.with_data(&flow.response));
        }
        for key in given_up {
            self.flows.remove(&key);
        }
        for packet in packets {
            self.send(&packet);
        }
        self.ended
            .retain(|_, at| now.duration_since(*at) < ENDED_TIME);
    }
}
