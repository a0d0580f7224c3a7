//! Simulated upstream endpoint of the soak test.

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
    packet::{self, flag},
    report::RunReport,
    store::Store,
};

/// Time after an endpoint announces its drain from which it must receive no opening packets of new
/// flows.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Time after the operator takes an endpoint's zone out of use from which the endpoint must receive no
/// opening packets of new flows.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Time that an endpoint takes to process a request.
const PROCESSING_TIME: Duration = Duration::from_millis(12);

/// A flow whose opening packet the endpoint accepted.
#[derive(Debug, Clone, Copy)]
struct EndpointFlow {
    /// The endpoint's initial sequence number.
    sequence: u32,
    /// The caller's initial sequence number, the same in all copies of the opening packet.
    opening: u32,
    is_established: bool,
}

#[derive(Debug)]
struct State {
    /// Number of the endpoint's current run, which increases with each crash.
    run: u32,
    /// Number of flows accepted so far. The endpoint's sequence numbers derive from it and the run.
    accepted: u32,
    is_up: bool,
    /// Whether the endpoint has a gray failure: it resets a third of its requests but still appears
    /// healthy.
    has_gray_failure: bool,
    draining_since: Option<Instant>,
    evacuated_since: Option<Instant>,
    /// Flows by caller and service address.
    flows: BTreeMap<(SocketAddrV4, SocketAddrV4), EndpointFlow>,
    /// Callers and service addresses whose latest flow here has ended.
    ended: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Contents of the requests that the endpoint has processed.
    processed_requests: BTreeSet<Vec<u8>>,
}

/// Handle of a simulated endpoint; clones refer to the same endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    pub(crate) zone: &'static str,
    /// The addresses of the routes whose flows the endpoint accepts.
    service_addresses: [SocketAddrV4; 2],
    address: SocketAddrV4,
    outbound: SocketAddrV4,
    state: Arc<Mutex<State>>,
    store: Store,
    report: Arc<RunReport>,
    listener: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Endpoint {
    /// Starts an endpoint and registers it as ready in the store.
    pub(crate) async fn start(
        name: String,
        (service, zone, service_addresses): (&'static str, &'static str, [SocketAddrV4; 2]),
        (address, outbound): (SocketAddrV4, SocketAddrV4),
        store: Store,
        report: Arc<RunReport>,
    ) -> io::Result<Self> {
        let endpoint = Self {
            name,
            service,
            zone,
            service_addresses,
            address,
            outbound,
            state: Arc::new(Mutex::new(State {
                run: 1,
                accepted: 0,
                is_up: true,
                has_gray_failure: false,
                draining_since: None,
                evacuated_since: None,
                flows: BTreeMap::new(),
                ended: BTreeSet::new(),
                processed_requests: BTreeSet::new(),
            })),
            store,
            report,
            listener: Arc::default(),
        };
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let serving = endpoint.clone();
        tokio::spawn(async move { serving.serve_packets(socket).await });
        endpoint.accept_connections().await;
        endpoint.register_in_state("ready");
        Ok(endpoint)
    }

    /// Simulates a crash of the endpoint, which loses its flows and answers no packets until its
    /// restart.
    pub(crate) fn crash(&self) {
        let mut state = self.lock_state();
        state.is_up = false;
        state.run += 1;
        state.flows.clear();
        state.ended.clear();
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

    /// Restarts a crashed endpoint without its earlier flows and registers it as ready.
    pub(crate) async fn restart(&self) {
        self.accept_connections().await;
        let mut state = self.lock_state();
        state.is_up = true;
        state.draining_since = None;
        drop(state);
        self.register_in_state("ready");
    }

    /// Announces in the store that the endpoint is draining; the endpoint continues to serve.
    pub(crate) fn announce_drain(&self) {
        self.lock_state().draining_since = Some(Instant::now());
        self.register_in_state("draining");
    }

    /// Records that the operator has taken the endpoint's zone out of use or back.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) {
        self.lock_state().evacuated_since = is_evacuated.then(Instant::now);
    }

    /// Starts or ends a gray failure of the endpoint, which then resets a third of its requests.
    pub(crate) fn set_gray_failure(&self, has_gray_failure: bool) {
        self.lock_state().has_gray_failure = has_gray_failure;
    }

    /// Removes the endpoint's entry from the store, as if its lease had expired.
    pub(crate) fn expire_registration(&self) {
        self.store.remove_entry(&self.store_key());
    }

    /// Registers the endpoint as ready after a drain or an expired registration, if it is running.
    pub(crate) fn register_ready(&self) {
        let mut state = self.lock_state();
        state.draining_since = None;
        let is_up = state.is_up;
        drop(state);
        if is_up {
            self.register_in_state("ready");
        }
    }

    fn register_in_state(&self, state: &str) {
        let run = self.lock_state().run;
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 4, "state": state, "cold_left_ms": 0, "seq": 1, "born": run,
        });
        self.store.put_entry(&self.store_key(), &entry);
    }

    /// Returns whether the endpoint is running and holds the established flow that it accepted with the
    /// given sequence number.
    pub(crate) fn holds_flow(
        &self,
        caller: SocketAddrV4,
        service_address: SocketAddrV4,
        sequence: u32,
    ) -> bool {
        let state = self.lock_state();
        let held = state.flows.get(&(caller, service_address));
        state.is_up && held.is_some_and(|it| it.is_established && it.sequence == sequence)
    }

    fn store_key(&self) -> String {
        format!("servers/{}", self.name)
    }

    /// Accepts TCP connections, by which agents check that the endpoint is running.
    async fn accept_connections(&self) {
        let address = self.address;
        let task = tokio::spawn(async move {
            let Ok(listener) = TcpListener::bind(address).await else {
                return;
            };
            while listener.accept().await.is_ok() {}
        });
        let old = {
            let mut listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner);
            listener.replace(task)
        };
        if let Some(old) = old {
            old.abort();
        }
        tokio::task::yield_now().await;
    }

    async fn serve_packets(&self, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; 2_048];
        while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
            for (delay, answer) in self.handle_packet(&buffer[..len]) {
                let (socket, outbound, endpoint) =
                    (Arc::clone(&socket), self.outbound, self.clone());
                let run = self.lock_state().run;
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let is_same_run = {
                        let state = endpoint.lock_state();
                        state.is_up && state.run == run
                    };
                    if is_same_run {
                        // A packet to an agent that isn't running is lost.
                        let _lost = socket.send_to(&answer, outbound).await;
                    }
                });
            }
        }
    }

    fn handle_packet(&self, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let Some(segment) = packet::decode(bytes) else {
            self.record_violation("received a packet that is malformed or has a wrong checksum");
            return Vec::new();
        };
        if !self.service_addresses.contains(&segment.destination) {
            self.record_violation("received a packet of another service");
        }
        let mut state = self.lock_state();
        if !state.is_up {
            return Vec::new();
        }
        let id = (segment.source, segment.destination);
        if segment.is_opening_packet() {
            let is_late = |since: Option<Instant>, bound| {
                let known = state.flows.get(&id);
                let is_new = known.is_none_or(|it| it.opening != segment.sequence);
                let is_over = since.is_some_and(|it| it.elapsed() > bound);
                is_new && is_over && self.report.time_bounds_apply()
            };
            if is_late(state.draining_since, DRAIN_BOUND) {
                self.record_violation(
                    "received an opening more than 3 s after it announced its drain",
                );
            }
            if is_late(state.evacuated_since, EVACUATION_BOUND) {
                self.record_violation(
                    "received an opening more than 5 s after its zone was taken out of use",
                );
            }
            let known = state.flows.get(&id).copied();
            let known = known.filter(|it| it.opening == segment.sequence);
            let flow = known.unwrap_or_else(|| EndpointFlow {
                sequence: self.next_sequence(&mut state),
                opening: segment.sequence,
                is_established: false,
            });
            state.ended.remove(&id);
            state.flows.insert(id, flow);
            return vec![Self::reply_packet(
                &segment,
                flag::SYN | flag::ACK,
                flow.sequence,
                &[],
            )];
        }
        let is_own =
            |it: &&mut EndpointFlow| segment.acknowledged.wrapping_sub(it.sequence) < 1_000_000;
        let Some(flow) = state.flows.get_mut(&id).filter(is_own) else {
            if state.ended.contains(&id) {
                return Self::answer_for_ended_flow(&segment);
            }
            let mut returned = bytes.to_vec();
            returned[14] |= flag::BOUNCED;
            return vec![(Duration::ZERO, returned)];
        };
        flow.is_established = true;
        let own_sequence = flow.sequence;
        if segment.fin || segment.rst {
            state.flows.remove(&id);
            state.ended.insert(id);
            return vec![Self::reply_packet(
                &segment,
                flag::ACK | flag::FIN,
                own_sequence.wrapping_add(1),
                &[],
            )];
        }
        let request = &bytes[bytes.len() - usize::from(segment.data_bytes)..];
        if request.is_empty() {
            return Vec::new();
        }
        if state.has_gray_failure && state.processed_requests.len().is_multiple_of(3) {
            state.processed_requests.insert(request.to_vec());
            state.flows.remove(&id);
            state.ended.insert(id);
            return vec![Self::reply_packet(
                &segment,
                flag::RST,
                own_sequence.wrapping_add(1),
                &[],
            )];
        }
        let mut answer =
            Self::reply_packet(&segment, flag::ACK, own_sequence.wrapping_add(1), request);
        if state.processed_requests.insert(request.to_vec()) {
            answer.0 = PROCESSING_TIME;
        }
        vec![answer]
    }

    /// Returns an initial sequence number that is far from those of other flows, endpoints and runs.
    ///
    /// With initial sequence numbers close together an endpoint accepted the end of another one's
    /// handshake, and two endpoints held one flow; seeds 318, 330 and 335 found this.
    fn next_sequence(&self, state: &mut State) -> u32 {
        state.accepted += 1;
        let address_hash = u32::from(*self.address.ip()).wrapping_mul(0x85EB_CA6B);
        let flow_hash = state.accepted.wrapping_mul(0xC2B2_AE35);
        state.run.wrapping_mul(0x9E37_79B9) ^ address_hash ^ flow_hash
    }

    /// Answers a packet of a flow that has ended: data with a reset, a FIN with an acknowledgement.
    fn answer_for_ended_flow(segment: &Segment) -> Vec<(Duration, Vec<u8>)> {
        let flags = match (segment.rst, segment.fin, segment.data_bytes) {
            (true, ..) | (_, false, 0) => return Vec::new(),
            (_, true, 0) => flag::ACK,
            _ => flag::RST,
        };
        vec![Self::reply_packet(
            segment,
            flags,
            segment.acknowledged,
            &[],
        )]
    }

    fn reply_packet(to: &Segment, flags: u8, sequence: u32, data: &[u8]) -> (Duration, Vec<u8>) {
        let positions = u32::from(to.data_bytes) + u32::from(to.syn);
        let acknowledged = to.sequence.wrapping_add(positions);
        let bytes = packet::encode(
            to.destination,
            to.source,
            flags,
            (sequence, acknowledged),
            data,
        );
        debug_assert!(
            PlatformPackets::decode_segment(&bytes).is_ok(),
            "a created packet can be decoded"
        );
        (Duration::ZERO, bytes)
    }

    fn record_violation(&self, what: &str) {
        self.report
            .record_violation(format!("endpoint {} of {} {what}", self.name, self.service));
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
