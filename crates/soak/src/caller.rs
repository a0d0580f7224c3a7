//! Simulated caller of the soak test, which sends requests over flows and checks the packets it
//! receives.

use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use passthrough::{Flow, Segment};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use tokio::net::UdpSocket;

use crate::{
    endpoint::Endpoint,
    packet::{self, flag},
    report::RunReport,
    router::{PacketFault, Router},
};

/// Time for which a caller waits for an answer to a request, over all attempts.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);

/// Wait for an answer after each copy of a flow's opening packet. The attempt to open the flow ends
/// after the last wait.
const OPENING_COPY_WAITS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// Time after which a request without an answer is first retransmitted; the time doubles with each
/// retransmission.
const FIRST_RETRANSMIT_AFTER: Duration = Duration::from_millis(200);

/// Delay of a packet under [`PacketFault::Delay`].
const PACKET_DELAY: Duration = Duration::from_millis(60);

/// Distance from the caller's acknowledgement number within which it takes packets of its flow.
const RESET_WINDOW_BYTES: u32 = 76_800;

/// Maximum number of attempts of one request.
const ATTEMPTS_MAX: u32 = 3;

/// Configuration of a simulated caller.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) ip: Ipv4Addr,
    pub(crate) packet_port: u16,
    pub(crate) service_address: SocketAddrV4,
    pub(crate) router: Router,
    pub(crate) endpoints: Arc<std::sync::Mutex<Vec<Endpoint>>>,
    pub(crate) report: Arc<RunReport>,
    /// Number of requests on one flow before the caller closes it.
    pub(crate) requests_per_flow: u32,
    /// Number of ports that the caller uses by turns.
    pub(crate) ports: u16,
}

/// First port of a caller.
const FIRST_PORT: u16 = 1_024;

/// A flow that the caller has opened, with its sequence numbers.
struct OpenFlow {
    address: SocketAddrV4,
    sequence: u32,
    acknowledged: u32,
    /// The sequence number with which the endpoint accepted the flow.
    endpoint_sequence: u32,
}

impl OpenFlow {
    /// Returns whether an endpoint's sequence number is near enough to be of this flow.
    const fn is_near(&self, sequence: u32) -> bool {
        let distance = sequence.wrapping_sub(self.acknowledged).cast_signed();
        distance.unsigned_abs() <= RESET_WINDOW_BYTES
    }
}

/// Reason for which an attempt to open a flow or to send a request ended without an answer.
enum AttemptError {
    Reset,
    Timeout,
}

impl Caller {
    /// Sends one request after another until the runtime shuts down, and reports their outcomes.
    pub(crate) async fn send_requests(self, seed: u64) -> io::Result<()> {
        let socket = UdpSocket::bind((self.ip, self.packet_port)).await?;
        let mut rng = StdRng::seed_from_u64(seed);
        // Seeds recorded before openings had random numbers thus still produce the same pauses.
        let mut openings = StdRng::seed_from_u64(!seed);
        let mut port = FIRST_PORT;
        let mut open: Option<(OpenFlow, u32)> = None;
        for number in 0_u64.. {
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..120))).await;
            let must_be_served = self.report.is_fault_free_phase();
            let request = format!("{}/{number}/{seed}", self.ip).into_bytes();
            let started = Instant::now();
            let mut is_served = false;
            let mut failures = String::new();
            for attempt in 0..ATTEMPTS_MAX {
                if started.elapsed() > DEADLINE {
                    break;
                }
                if open.is_none() {
                    port = FIRST_PORT + (port + 1 - FIRST_PORT) % self.ports;
                    let opening = openings.random();
                    match self.open_flow(&socket, port, opening, started).await {
                        Ok(flow) => open = Some((flow, 0)),
                        Err(error) => {
                            failures.push_str(" opening:");
                            failures.push_str(error.name());
                        }
                    }
                }
                let Some((mut flow, used)) = open.take() else {
                    continue;
                };
                let mut data = request.clone();
                data.extend(attempt.to_be_bytes());
                match self.send_request(&socket, &mut flow, &data, started).await {
                    Ok(()) => {
                        is_served = true;
                        if used + 1 < self.requests_per_flow {
                            open = Some((flow, used + 1));
                        } else {
                            self.send_packet(
                                &socket,
                                flow.address,
                                flag::FIN | flag::ACK,
                                &flow,
                                &[],
                            )
                            .await;
                        }
                        break;
                    }
                    Err(error) => {
                        failures.push_str(" request:");
                        failures.push_str(error.name());
                    }
                }
            }
            let what = format!("caller {} port {port}:{failures}", self.ip);
            self.report.record_request(is_served, must_be_served, &what);
        }
        Ok(())
    }

    async fn open_flow(
        &self,
        socket: &UdpSocket,
        port: u16,
        opening: u32,
        started: Instant,
    ) -> Result<OpenFlow, AttemptError> {
        let address = SocketAddrV4::new(self.ip, port);
        let mut flow = OpenFlow {
            address,
            sequence: opening,
            acknowledged: 0,
            endpoint_sequence: 0,
        };
        for (copy, wait) in (0..).zip(OPENING_COPY_WAITS) {
            flow.acknowledged = copy;
            self.send_packet(socket, address, flag::SYN, &flow, &[])
                .await;
            let end = Instant::now() + wait;
            while let Some((segment, is_system_reset)) =
                self.receive_packet(socket, address, end).await
            {
                if segment.syn && segment.ack && segment.acknowledged == opening.wrapping_add(1) {
                    flow.sequence = segment.acknowledged;
                    flow.acknowledged = segment.sequence.wrapping_add(1);
                    flow.endpoint_sequence = segment.sequence;
                    self.send_packet(socket, address, flag::ACK, &flow, &[])
                        .await;
                    return Ok(flow);
                }
                if is_system_reset {
                    return Err(AttemptError::Reset);
                }
            }
            if started.elapsed() > DEADLINE {
                break;
            }
        }
        Err(AttemptError::Timeout)
    }

    async fn send_request(
        &self,
        socket: &UdpSocket,
        flow: &mut OpenFlow,
        data: &[u8],
        started: Instant,
    ) -> Result<(), AttemptError> {
        let mut wait = FIRST_RETRANSMIT_AFTER;
        while started.elapsed() < DEADLINE {
            self.send_packet(socket, flow.address, flag::ACK, flow, data)
                .await;
            let end = Instant::now() + wait;
            while let Some((segment, is_system_reset)) =
                self.receive_packet(socket, flow.address, end).await
            {
                if !flow.is_near(segment.sequence) {
                    // The packet is of an earlier flow of the port.
                    continue;
                }
                if is_system_reset || segment.rst {
                    self.count_and_check_reset(flow);
                    return Err(AttemptError::Reset);
                }
                if usize::from(segment.data_bytes) == data.len() {
                    let len = u32::try_from(data.len()).unwrap_or(0);
                    flow.sequence = flow.sequence.wrapping_add(len);
                    return Ok(());
                }
            }
            wait *= 2;
        }
        Err(AttemptError::Timeout)
    }

    /// Counts a received reset, and records a violation if an endpoint still holds the reset flow.
    fn count_and_check_reset(&self, flow: &OpenFlow) {
        let address = flow.address;
        self.report.resets.fetch_add(1, Ordering::Relaxed);
        let endpoints = self
            .endpoints
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(holder) = endpoints
            .iter()
            .find(|it| it.holds_flow(address, self.service_address, flow.endpoint_sequence))
        {
            self.report.record_violation(format!(
                "flow {address} was reset while endpoint {} held it",
                holder.name
            ));
        }
    }

    /// Waits until `end` for a packet to the caller's `address`. The returned flag tells whether
    /// the packet is a reset that the system under test created.
    async fn receive_packet(
        &self,
        socket: &UdpSocket,
        address: SocketAddrV4,
        end: Instant,
    ) -> Option<(Segment, bool)> {
        let mut buffer = [0; 2_048];
        loop {
            let received = tokio::time::timeout_at(end.into(), socket.recv_from(&mut buffer)).await;
            let (len, _) = received.ok()?.ok()?;
            let Some(segment) = packet::decode(&buffer[..len]) else {
                self.report.record_violation(format!(
                    "caller {address} received a packet that is malformed or has a wrong checksum"
                ));
                continue;
            };
            if segment.source != self.service_address {
                self.report.record_violation(format!(
                    "caller {address} received a packet of another service"
                ));
            }
            if segment.destination == address {
                return Some((segment, packet::is_system_reset(&segment, &buffer[..len])));
            }
        }
    }

    async fn send_packet(
        &self,
        socket: &UdpSocket,
        from: SocketAddrV4,
        flags: u8,
        flow: &OpenFlow,
        data: &[u8],
    ) {
        let numbers = (flow.sequence, flow.acknowledged);
        let bytes = packet::encode(from, self.service_address, flags, numbers, data);
        let hash = Flow {
            caller: from,
            service_address: self.service_address,
        };
        let balancer = self.router.instance_for_flow(hash.hash());
        let is_affected = rand::rng().random_range(0..5) == 0;
        match self.router.packet_fault() {
            PacketFault::Loss if is_affected => return,
            PacketFault::Delay if is_affected => tokio::time::sleep(PACKET_DELAY).await,
            PacketFault::Duplication => {
                let _lost = socket.send_to(&bytes, (balancer, self.packet_port)).await;
            }
            PacketFault::None | PacketFault::Loss | PacketFault::Delay => {}
        }
        // A packet to a balancer that isn't running is lost.
        let _lost = socket.send_to(&bytes, (balancer, self.packet_port)).await;
    }
}

impl AttemptError {
    const fn name(&self) -> &'static str {
        match self {
            Self::Reset => " reset,",
            Self::Timeout => " timeout,",
        }
    }
}
