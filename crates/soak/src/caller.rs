//! A stand-in for a caller.

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
    ledger::Ledger,
    packet::{self, flag},
    router::{Router, Way},
};

/// Time that a caller waits for an answer.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);

/// When copies of an opening are sent, and when the attempt ends.
const OPENING_COPIES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// Time after which a request is sent again; doubles each time.
const RESEND: Duration = Duration::from_millis(200);

/// Time by which a delayed packet comes late.
const WAY_DELAY: Duration = Duration::from_millis(60);

/// Attempts of one request.
const ATTEMPTS: u32 = 3;

/// What a caller needs.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) ip: Ipv4Addr,
    pub(crate) packet_port: u16,
    pub(crate) service_address: SocketAddrV4,
    pub(crate) router: Router,
    pub(crate) endpoints: Arc<std::sync::Mutex<Vec<Endpoint>>>,
    pub(crate) ledger: Arc<Ledger>,
    /// Requests on one flow before it is closed.
    pub(crate) requests_per_flow: u32,
}

/// An open flow.
struct Open {
    address: SocketAddrV4,
    sequence: u32,
    acknowledged: u32,
}

/// Why an attempt ended without an answer.
enum Ended {
    Reset,
    Silence,
}

impl Caller {
    /// Sends requests until the runtime ends.
    pub(crate) async fn run(self, seed: u64) -> io::Result<()> {
        let socket = UdpSocket::bind((self.ip, self.packet_port)).await?;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut port = 1_024;
        let mut open: Option<(Open, u32)> = None;
        for number in 0_u64.. {
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..120))).await;
            let must_be_served = self.ledger.is_counting();
            let request = format!("{}/{number}/{seed}", self.ip).into_bytes();
            let begun = Instant::now();
            let mut is_served = false;
            let mut how = String::new();
            for attempt in 0..ATTEMPTS {
                if begun.elapsed() > DEADLINE {
                    break;
                }
                if open.is_none() {
                    port = if port >= 60_000 { 1_024 } else { port + 1 };
                    match self.open(&socket, port, begun).await {
                        Ok(flow) => open = Some((flow, 0)),
                        Err(ended) => {
                            how.push_str(" opening:");
                            how.push_str(ended.name());
                        }
                    }
                }
                let Some((mut flow, used)) = open.take() else {
                    continue;
                };
                let mut data = request.clone();
                data.extend(attempt.to_be_bytes());
                match self.request(&socket, &mut flow, &data, begun).await {
                    Ok(()) => {
                        is_served = true;
                        if used + 1 < self.requests_per_flow {
                            open = Some((flow, used + 1));
                        } else {
                            self.send(&socket, flow.address, flag::FIN | flag::ACK, &flow, &[])
                                .await;
                        }
                        break;
                    }
                    Err(ended) => {
                        how.push_str(" request:");
                        how.push_str(ended.name());
                    }
                }
            }
            let what = format!("caller {} port {port}:{how}", self.ip);
            self.ledger.ended(is_served, must_be_served, &what);
        }
        Ok(())
    }

    async fn open(&self, socket: &UdpSocket, port: u16, begun: Instant) -> Result<Open, Ended> {
        let address = SocketAddrV4::new(self.ip, port);
        let mut flow = Open {
            address,
            sequence: u32::from(port) << 8,
            acknowledged: 0,
        };
        for (copy, wait) in (0..).zip(OPENING_COPIES) {
            flow.acknowledged = copy;
            self.send(socket, address, flag::SYN, &flow, &[]).await;
            let end = Instant::now() + wait;
            while let Some((segment, is_own_reset)) = self.receive(socket, address, end).await {
                if segment.syn && segment.ack {
                    flow.sequence += 1;
                    flow.acknowledged = segment.sequence + 1;
                    self.send(socket, address, flag::ACK, &flow, &[]).await;
                    return Ok(flow);
                }
                if is_own_reset {
                    return Err(Ended::Reset);
                }
            }
            if begun.elapsed() > DEADLINE {
                break;
            }
        }
        Err(Ended::Silence)
    }

    async fn request(
        &self,
        socket: &UdpSocket,
        flow: &mut Open,
        data: &[u8],
        begun: Instant,
    ) -> Result<(), Ended> {
        let mut wait = RESEND;
        while begun.elapsed() < DEADLINE {
            self.send(socket, flow.address, flag::ACK, flow, data).await;
            let end = Instant::now() + wait;
            while let Some((segment, is_own_reset)) = self.receive(socket, flow.address, end).await
            {
                if is_own_reset || segment.rst {
                    self.on_reset(flow.address);
                    return Err(Ended::Reset);
                }
                if usize::from(segment.data_bytes) == data.len() {
                    flow.sequence += u32::try_from(data.len()).unwrap_or(0);
                    return Ok(());
                }
            }
            wait *= 2;
        }
        Err(Ended::Silence)
    }

    /// A reset must not end a flow that its endpoint holds.
    fn on_reset(&self, address: SocketAddrV4) {
        self.ledger.resets.fetch_add(1, Ordering::Relaxed);
        let endpoints = self
            .endpoints
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(holder) = endpoints
            .iter()
            .find(|it| it.holds(address, self.service_address))
        {
            self.ledger.broken(format!(
                "flow {address} was reset while endpoint {} held it",
                holder.name
            ));
        }
    }

    /// Waits for a packet of the flow; the flag says whether it is a reset of the system's own.
    async fn receive(
        &self,
        socket: &UdpSocket,
        address: SocketAddrV4,
        end: Instant,
    ) -> Option<(Segment, bool)> {
        let mut buffer = [0; 2_048];
        loop {
            let received = tokio::time::timeout_at(end.into(), socket.recv_from(&mut buffer)).await;
            let (len, _) = received.ok()?.ok()?;
            let Some(segment) = packet::read(&buffer[..len]) else {
                self.ledger
                    .broken(format!("caller {address} got a packet not written so"));
                continue;
            };
            if segment.source != self.service_address {
                self.ledger
                    .broken(format!("caller {address} got a packet of another service"));
            }
            if segment.destination == address {
                return Some((segment, packet::is_own_reset(&segment, &buffer[..len])));
            }
        }
    }

    async fn send(
        &self,
        socket: &UdpSocket,
        from: SocketAddrV4,
        flags: u8,
        flow: &Open,
        data: &[u8],
    ) {
        let numbers = (flow.sequence, flow.acknowledged);
        let bytes = packet::write(from, self.service_address, flags, numbers, data);
        let hash = Flow {
            caller: from,
            service_address: self.service_address,
        };
        let balancer = self.router.pick(hash.hash());
        let is_hit = rand::rng().random_range(0..5) == 0;
        match self.router.way() {
            Way::Lossy if is_hit => return,
            Way::Delayed if is_hit => tokio::time::sleep(WAY_DELAY).await,
            Way::Doubled => {
                let _lost = socket.send_to(&bytes, (balancer, self.packet_port)).await;
            }
            Way::Clean | Way::Lossy | Way::Delayed => {}
        }
        // Lost if the balancer is away, as on any network.
        let _lost = socket.send_to(&bytes, (balancer, self.packet_port)).await;
    }
}

impl Ended {
    const fn name(&self) -> &'static str {
        match self {
            Self::Reset => " reset,",
            Self::Silence => " silence,",
        }
    }
}
