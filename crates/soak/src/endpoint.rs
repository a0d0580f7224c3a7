//! A stand-in for an upstream endpoint.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddrV4,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use passthrough::{PacketFormat as _, Segment};
use platform::PlatformPackets;
use serde_json::json;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinHandle,
};

use crate::{
    ledger::Ledger,
    packet::{self, flag},
    store::Store,
};

/// Bound within which a leaving endpoint gets no openings any more.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(12);

#[derive(Debug)]
struct State {
    /// Distinguishes runs; sequence numbers derive from it.
    run: u32,
    is_up: bool,
    /// Resets one of three requests, although its health looks good.
    is_grey: bool,
    draining_since: Option<Instant>,
    /// Flows whose opening was accepted, by caller and service address; `true` once open.
    flows: BTreeMap<(SocketAddrV4, SocketAddrV4), bool>,
    /// Requests that ran, by their ids.
    ran: BTreeSet<Vec<u8>>,
}

/// An endpoint; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    /// Addresses whose flows may come here.
    service_address: SocketAddrV4,
    address: SocketAddrV4,
    outbound: SocketAddrV4,
    state: Arc<Mutex<State>>,
    store: Store,
    ledger: Arc<Ledger>,
    listener: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Endpoint {
    /// Starts an endpoint and registers it.
    pub(crate) async fn start(
        name: String,
        (service, service_address): (&'static str, SocketAddrV4),
        (address, outbound): (SocketAddrV4, SocketAddrV4),
        store: Store,
        ledger: Arc<Ledger>,
    ) -> io::Result<Self> {
        let endpoint = Self {
            name,
            service,
            service_address,
            address,
            outbound,
            state: Arc::new(Mutex::new(State {
                run: 1,
                is_up: true,
                is_grey: false,
                draining_since: None,
                flows: BTreeMap::new(),
                ran: BTreeSet::new(),
            })),
            store,
            ledger,
            listener: Arc::default(),
        };
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let serving = endpoint.clone();
        tokio::spawn(async move { serving.serve(socket).await });
        endpoint.listen().await;
        endpoint.register("ready");
        Ok(endpoint)
    }

    /// Ends the process: flows are gone, nothing is answered.
    pub(crate) fn crash(&self) {
        let mut state = self.lock();
        state.is_up = false;
        state.run += 1;
        state.flows.clear();
        drop(state);
        if let Some(listener) = self
            .listener
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
        {
            listener.abort();
        }
    }

    /// Starts the process again; it knows nothing of before.
    pub(crate) async fn restart(&self) {
        self.listen().await;
        let mut state = self.lock();
        state.is_up = true;
        state.draining_since = None;
        drop(state);
        self.register("ready");
    }

    /// Announces that the endpoint leaves; it serves on.
    pub(crate) fn drain(&self) {
        self.lock().draining_since = Some(Instant::now());
        self.register("draining");
    }

    /// Begins or ceases to reset one of three requests.
    pub(crate) fn set_grey(&self, is_grey: bool) {
        self.lock().is_grey = is_grey;
    }

    /// Takes the entry away, as when its time has run out.
    pub(crate) fn lapse(&self) {
        self.store.remove(&self.key());
    }

    /// Takes a drain or a lapse back.
    pub(crate) fn rejoin(&self) {
        let mut state = self.lock();
        state.draining_since = None;
        let is_up = state.is_up;
        drop(state);
        if is_up {
            self.register("ready");
        }
    }

    fn register(&self, state: &str) {
        let run = self.lock().run;
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 4, "state": state, "cold_left_ms": 0, "seq": 1, "born": run,
        });
        self.store.put(&self.key(), &entry);
    }

    /// Returns whether the endpoint lives and holds the flow.
    pub(crate) fn holds(&self, caller: SocketAddrV4, service_address: SocketAddrV4) -> bool {
        let state = self.lock();
        state.is_up && state.flows.get(&(caller, service_address)) == Some(&true)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    /// Accepts connections while the process lives; agents see by it that the process is there.
    async fn listen(&self) {
        let address = self.address;
        let task = tokio::spawn(async move {
            let Ok(listener) = TcpListener::bind(address).await else {
                return;
            };
            while listener.accept().await.is_ok() {}
        });
        let old = {
            let mut place = self.listener.lock().unwrap_or_else(PoisonError::into_inner);
            place.replace(task)
        };
        if let Some(old) = old {
            old.abort();
        }
        tokio::task::yield_now().await;
    }

    async fn serve(&self, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; 2_048];
        while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
            for (delay, answer) in self.on_packet(&buffer[..len]) {
                let (socket, outbound, endpoint) =
                    (Arc::clone(&socket), self.outbound, self.clone());
                let run = self.lock().run;
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let is_same_run = {
                        let state = endpoint.lock();
                        state.is_up && state.run == run
                    };
                    if is_same_run {
                        // Lost if the agent is away, as on any network.
                        let _lost = socket.send_to(&answer, outbound).await;
                    }
                });
            }
        }
    }

    fn on_packet(&self, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let Some(segment) = packet::read(bytes) else {
            self.broken("got a packet that its sender did not write so");
            return Vec::new();
        };
        if segment.destination != self.service_address {
            self.broken("got a packet of another service");
        }
        let mut state = self.lock();
        if !state.is_up {
            return Vec::new();
        }
        let id = (segment.source, segment.destination);
        // Far apart for every endpoint and run, so that nobody takes the end of another's handshake.
        let own = u32::from(*self.address.ip()).wrapping_mul(0x85EB_CA6B);
        let own_sequence = state.run.wrapping_mul(0x9E37_79B9) ^ own;
        if segment.is_opening_packet() {
            let is_late = state
                .draining_since
                .is_some_and(|it| it.elapsed() > DRAIN_BOUND);
            if is_late && self.ledger.is_settled() && !state.flows.contains_key(&id) {
                self.broken("got an opening later than 3 s after it announced to leave");
            }
            state.flows.entry(id).or_insert(false);
            return vec![Self::answer(
                &segment,
                flag::SYN | flag::ACK,
                own_sequence,
                &[],
            )];
        }
        let is_mine = state.flows.contains_key(&id)
            && segment.acknowledged.wrapping_sub(own_sequence) < 1_000_000;
        if !is_mine {
            let mut returned = bytes.to_vec();
            returned[14] |= flag::BOUNCED;
            return vec![(Duration::ZERO, returned)];
        }
        state.flows.insert(id, true);
        if segment.fin || segment.rst {
            state.flows.remove(&id);
            return vec![Self::answer(
                &segment,
                flag::ACK | flag::FIN,
                own_sequence + 1,
                &[],
            )];
        }
        let request = &bytes[bytes.len() - usize::from(segment.data_bytes)..];
        if request.is_empty() {
            return Vec::new();
        }
        if state.is_grey && state.ran.len().is_multiple_of(3) {
            state.ran.insert(request.to_vec());
            state.flows.remove(&id);
            return vec![Self::answer(&segment, flag::RST, own_sequence + 1, &[])];
        }
        let mut answer = Self::answer(&segment, flag::ACK, own_sequence + 1, request);
        if state.ran.insert(request.to_vec()) {
            answer.0 = WORK;
        }
        vec![answer]
    }

    fn answer(to: &Segment, flags: u8, sequence: u32, data: &[u8]) -> (Duration, Vec<u8>) {
        let acknowledged = to.sequence + u32::from(to.data_bytes) + u32::from(to.syn);
        let bytes = packet::write(
            to.destination,
            to.source,
            flags,
            (sequence, acknowledged),
            data,
        );
        debug_assert!(
            PlatformPackets::decode_segment(&bytes).is_ok(),
            "packets are well formed"
        );
        (Duration::ZERO, bytes)
    }

    fn broken(&self, what: &str) {
        self.ledger
            .broken(format!("endpoint {} of {} {what}", self.name, self.service));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
