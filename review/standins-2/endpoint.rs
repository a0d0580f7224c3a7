//! An endpoint beside an agent: it takes flows, runs requests and answers them.

use std::{
    collections::HashMap,
    io::{Read as _, Write as _},
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    conn::Conn,
    packet::{self, ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
    store::Store,
};

const RETRANSMISSIONS_MAX: u32 = 8;

/// Time for which an endpoint knows that a flow has ended: `max_flow_s` of the small sites, and the
/// usual time that TCP keeps a closed connection.
const ENDED_KEPT: Duration = Duration::from_secs(60);

type FlowId = (SocketAddrV4, SocketAddrV4);

#[derive(Debug)]
enum Flow {
    /// The opening was answered; the caller has not acknowledged it yet.
    Half {
        own: u32,
        caller: u32,
        opened_by: Instant,
    },
    Open {
        own: u32,
        conn: Conn,
        buffer: Vec<u8>,
        closes: bool,
    },
    Ended {
        at: Instant,
    },
}

/// An opening packet by which the endpoint took a flow that then opened.
#[derive(Debug, Clone)]
pub struct TakenOpening {
    pub caller: SocketAddrV4,
    pub arrived_ms: u64,
}

/// A request that the endpoint ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub answered: bool,
}

/// A reset that the endpoint sent.
#[derive(Debug, Clone)]
pub struct SentReset {
    pub caller: SocketAddrV4,
    pub at_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    flows: HashMap<FlowId, Flow>,
    answers: Vec<(Instant, FlowId, String)>,
    taken: Vec<TakenOpening>,
    runs: Vec<Run>,
    resets: Vec<SentReset>,
    /// Packets of callers that are no openings, as they arrived.
    arrivals: Vec<(FlowId, u64)>,
    is_dark: bool,
    has_crashed: bool,
    /// Own sequence numbers of all flows that opened here.
    own_sequences: Vec<u32>,
    is_draining: bool,
    random: u64,
}

/// An endpoint; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    outbound: SocketAddrV4,
    work: Duration,
    store: Store,
    record: Record,
    is_up: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    pub fn start(
        name: &str,
        (service, zone): (&str, &str),
        (address, outbound): (SocketAddrV4, SocketAddrV4),
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        let endpoint = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            outbound,
            work,
            store: store.clone(),
            record: record.clone(),
            is_up: Arc::new(AtomicBool::new(true)),
            state: Arc::new(Mutex::new(State {
                random: u64::from(u32::from(*address.ip())).wrapping_mul(0x9E37_79B9_7F4A_7C15)
                    ^ u64::from(std::process::id()).wrapping_mul(0xD6E8_FEB8_6659_FD93),
                ..State::default()
            })),
        };
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let serving = endpoint.clone();
        thread::spawn(move || serving.serve_packets(&socket));
        let healthy = endpoint.clone();
        thread::spawn(move || healthy.serve_health(&listener));
        Ok(endpoint)
    }

    /// Writes the endpoint's entry in the store; the store has acknowledged it when this returns.
    pub fn register(&self, state: &str) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1}}",
            self.service, self.address, self.zone
        );
        self.store.put(&format!("servers/{}", self.name), &entry);
    }

    /// Reports `draining`; returns when the store acknowledged it.
    pub fn drain(&self) -> u64 {
        self.lock().is_draining = true;
        self.register("draining");
        let at = self.record.now_ms();
        self.record
            .line(&format!("{}: draining, acknowledged", self.name));
        at
    }

    /// Ends the endpoint's process and removes its entry.
    pub fn exit(&self) {
        self.is_up.store(false, Ordering::Relaxed);
        self.store.remove(&format!("servers/{}", self.name));
        self.record.line(&format!("{}: exits", self.name));
    }

    /// Crashes the endpoint for a while: it forgets its flows and answers nothing. Its entry expires
    /// meanwhile, and it registers again when it is back.
    pub fn go_dark(&self, time: Duration, entry_expires_after: Duration) {
        let mut state = self.lock();
        state.is_dark = true;
        state.has_crashed = true;
        state.flows.clear();
        state.answers.clear();
        drop(state);
        self.record
            .line(&format!("{}: crashes and is silent", self.name));
        let endpoint = self.clone();
        thread::spawn(move || {
            thread::sleep(entry_expires_after);
            endpoint.store.remove(&format!("servers/{}", endpoint.name));
            endpoint
                .record
                .line(&format!("{}: its entry expires", endpoint.name));
            thread::sleep(time.saturating_sub(entry_expires_after));
            endpoint.lock().is_dark = false;
            endpoint.register("ready");
            endpoint.record.line(&format!("{}: is back", endpoint.name));
        });
    }

    pub fn has_crashed(&self) -> bool {
        self.lock().has_crashed
    }

    /// Returns the times at which packets of a flow that are no openings arrived here.
    pub fn arrivals(&self, caller: SocketAddrV4) -> Vec<u64> {
        let state = self.lock();
        let of_caller = state.arrivals.iter().filter(|it| it.0.0 == caller);
        of_caller.map(|it| it.1).collect()
    }

    pub fn taken(&self) -> Vec<TakenOpening> {
        self.lock().taken.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn resets(&self) -> Vec<SentReset> {
        self.lock().resets.clone()
    }

    /// Returns whether the flow with this sequence number opened here.
    pub fn opened(&self, own_sequence: u32) -> bool {
        self.lock().own_sequences.contains(&own_sequence)
    }

    /// Returns whether the endpoint runs and holds the flow open.
    pub fn holds(&self, caller: SocketAddrV4, route: SocketAddrV4, own_sequence: u32) -> bool {
        self.is_up.load(Ordering::Relaxed)
            && matches!(
                self.lock().flows.get(&(caller, route)),
                Some(Flow::Open { own, .. }) if *own == own_sequence
            )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve_packets(&self, socket: &UdpSocket) {
        let mut buffer = [0; 2_048];
        while self.is_up.load(Ordering::Relaxed) {
            let mut out = Vec::new();
            if let Ok((len, _)) = socket.recv_from(&mut buffer) {
                out.extend(self.handle(&buffer[..len]));
            }
            out.extend(self.send_due());
            for bytes in out {
                let _lost = socket.send_to(&bytes, self.outbound);
            }
        }
    }

    fn serve_health(&self, listener: &TcpListener) {
        while self.is_up.load(Ordering::Relaxed) {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _set = stream.set_nonblocking(false);
            let _set = stream.set_read_timeout(Some(Duration::from_millis(200)));
            let mut head = [0; 512];
            if stream.read(&mut head).unwrap_or(0) > 0 {
                let _lost = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    fn handle(&self, bytes: &[u8]) -> Vec<Vec<u8>> {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(packet) = packet::decode(bytes).filter(|it| it.is_genuine) else {
            self.record
                .line(&format!("{}: a packet that nobody wrote", self.name));
            return Vec::new();
        };
        if packet.has(SYN) && packet.has(ACK) {
            self.record.line(&format!("{}: a SYN+ACK", self.name));
            return Vec::new();
        }
        if state.is_dark {
            return Vec::new();
        }
        let id = (packet.source, packet.destination);
        if !packet.is_opening() {
            state.arrivals.push((id, self.record.now_ms()));
        }
        if packet.is_opening() {
            return vec![self.answer_opening(state, id, &packet)];
        }
        self.open_flow(state, id, &packet);
        match state.flows.get_mut(&id) {
            Some(Flow::Open {
                own,
                conn,
                buffer,
                closes,
            }) if is_of_flow(&packet, *own) => {
                if packet.has(RST) {
                    state.flows.insert(id, Flow::Ended { at: Instant::now() });
                    return Vec::new();
                }
                let received = conn.receive(&packet);
                let has_news = received.is_some();
                buffer.extend(received.unwrap_or_default());
                if let Some((request, rest)) = take_request(buffer) {
                    *buffer = rest;
                    *closes |= request.closes;
                    state.runs.push(Run {
                        id: request.id.clone(),
                        answered: false,
                    });
                    self.record
                        .line(&format!("{}: runs {} of {}", self.name, request.id, id.0));
                    let due = Instant::now() + self.work;
                    state.answers.push((due, id, request.id));
                }
                let mut out = Vec::new();
                if has_news || !packet.data.is_empty() || packet.has(FIN) {
                    out.push(conn.acknowledge());
                }
                if conn.received_fin && !conn.sent_fin {
                    out.push(conn.send(FIN, &[]));
                }
                if conn.is_closed() {
                    state.flows.insert(id, Flow::Ended { at: Instant::now() });
                }
                out
            }
            Some(Flow::Ended { at }) if at.elapsed() < ENDED_KEPT => {
                self.answer_ended(state, &packet)
            }
            _ => {
                let mut returned = packet.bytes.clone();
                returned[14] |= BOUNCED;
                returned[15] = 0;
                vec![returned]
            }
        }
    }

    fn answer_opening(&self, state: &mut State, id: FlowId, packet: &Packet) -> Vec<u8> {
        let known = match state.flows.get(&id) {
            Some(Flow::Half { own, caller, .. }) if *caller == packet.sequence => Some(*own),
            Some(Flow::Open { own, conn, .. })
                if packet.sequence.wrapping_add(1).wrapping_sub(conn.expected) as i32 <= 0
                    && conn.expected.wrapping_sub(packet.sequence) < 100_000 =>
            {
                Some(*own)
            }
            _ => None,
        };
        let own = known.unwrap_or_else(|| {
            let own = next_random(&mut state.random);
            let half = Flow::Half {
                own,
                caller: packet.sequence,
                opened_by: Instant::now(),
            };
            state.flows.insert(id, half);
            own
        });
        let next = packet.sequence.wrapping_add(1);
        packet::encode(packet.destination, packet.source, SYN | ACK, own, next, &[])
    }

    /// Opens a flow whose opening the caller's packet acknowledges.
    fn open_flow(&self, state: &mut State, id: FlowId, packet: &Packet) {
        let Some(Flow::Half {
            own,
            caller,
            opened_by,
        }) = state.flows.get(&id)
        else {
            return;
        };
        let (own, caller, opened_by) = (*own, *caller, *opened_by);
        if packet.acknowledged != own.wrapping_add(1) || packet.has(RST) {
            return;
        }
        let age_ms = opened_by.elapsed().as_millis() as u64;
        state.taken.push(TakenOpening {
            caller: id.0,
            arrived_ms: self.record.now_ms().saturating_sub(age_ms),
        });
        state.own_sequences.push(own);
        let conn = Conn::new(id.1, id.0, own.wrapping_add(1), caller.wrapping_add(1));
        let open = Flow::Open {
            own,
            conn,
            buffer: Vec::new(),
            closes: false,
        };
        state.flows.insert(id, open);
    }

    /// Answers a packet of a flow that has ended here: a FIN with an ACK, data with an RST.
    fn answer_ended(&self, state: &mut State, packet: &Packet) -> Vec<Vec<u8>> {
        let (from, to) = (packet.destination, packet.source);
        let end = packet
            .sequence
            .wrapping_add(packet.data.len() as u32 + u32::from(packet.has(FIN)));
        if packet.has(RST) {
            return Vec::new();
        }
        if !packet.data.is_empty() {
            let at_ms = self.record.now_ms();
            state.resets.push(SentReset { caller: to, at_ms });
            self.record.line(&format!(
                "{}: data of an ended flow, resets {to}",
                self.name
            ));
            return vec![packet::encode(from, to, RST, packet.acknowledged, end, &[])];
        }
        if packet.has(FIN) {
            return vec![packet::encode(from, to, ACK, packet.acknowledged, end, &[])];
        }
        Vec::new()
    }

    fn send_due(&self) -> Vec<Vec<u8>> {
        let now = Instant::now();
        let mut state = self.lock();
        let state = &mut *state;
        let mut out = Vec::new();
        let due: Vec<_> = state.answers.extract_if(.., |it| it.0 <= now).collect();
        for (_, id, request) in due {
            let Some(Flow::Open { conn, closes, .. }) = state.flows.get_mut(&id) else {
                continue;
            };
            let closes = *closes || state.is_draining;
            let connection = if closes { "close" } else { "keep-alive" };
            let body = format!("answer to {request}");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nServer-Seal: {}\r\nRequest-Id: {request}\r\nConnection: \
                 {connection}\r\nContent-Length: {}\r\n\r\n{body}",
                self.name,
                body.len()
            );
            out.push(conn.send(if closes { FIN } else { 0 }, answer.as_bytes()));
            for run in state.runs.iter_mut().filter(|it| it.id == request) {
                run.answered = true;
            }
        }
        let mut given_up = Vec::new();
        for (id, flow) in &mut state.flows {
            if let Flow::Open { conn, .. } = flow {
                out.extend(conn.retransmit(now));
                if conn.retransmissions > RETRANSMISSIONS_MAX {
                    given_up.push(*id);
                }
            }
        }
        for id in given_up {
            state.flows.remove(&id);
        }
        out
    }
}

fn is_of_flow(packet: &Packet, own: u32) -> bool {
    packet.acknowledged.wrapping_sub(own) < 1_000_000
}

fn next_random(state: &mut u64) -> u32 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 32) as u32
}

struct Request {
    id: String,
    closes: bool,
}

/// Takes a whole request from the front of `buffer`, and returns it with what follows.
fn take_request(buffer: &[u8]) -> Option<(Request, Vec<u8>)> {
    let text = String::from_utf8_lossy(buffer);
    let head_end = text.find("\r\n\r\n")? + 4;
    let header = |name: &str| {
        text[..head_end]
            .lines()
            .filter_map(|it| it.split_once(": "))
            .find(|it| it.0 == name)
            .map(|it| it.1.trim().to_owned())
    };
    let length: usize = header("Content-Length")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    if buffer.len() < head_end + length {
        return None;
    }
    let request = Request {
        id: header("Request-Id").unwrap_or_default(),
        closes: header("Connection").as_deref() == Some("close"),
    };
    Some((request, buffer[head_end + length..].to_vec()))
}
