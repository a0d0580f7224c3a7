//! The relays that are compared, each on one thread.

use std::{
    cell::{Cell, RefCell},
    fs,
    io::{self, IoSliceMut},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::{Arc, mpsc},
    thread::JoinHandle,
};

use arc_swap::ArcSwap;
use balancer::{Config, Counter, Datapath, ListenAt};
use flow::table::RoutingTable;
use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSocketState};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::Interest, net::UdpSocket, sync::oneshot, task::LocalSet};
use units::Millis;

use super::tables::{Fixture, LISTEN_IP, SINK};
use crate::error::{BenchError, Result};

const BUFFER_BYTES: usize = 65_536;

/// Receive calls after which a task of the plain relay lets others run; the balancer's number.
const RECEIVES_A_TURN: usize = 8;

/// What forwards the callers' datagrams.
#[derive(Debug, Clone, Copy)]
pub(super) enum Relay {
    /// The balancer's datagram path.
    Balancer,
    /// The same sockets and batched I/O, sending every datagram to one address as it came.
    Plain,
}

/// What a relay did.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    datagrams: u64,
    /// Processor time of the relay's thread.
    cpu_ns: u64,
}

impl Sample {
    /// Returns datagrams a second of processor time.
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    pub(super) fn rate(&self) -> f64 {
        self.datagrams as f64 * 1e9 / self.cpu_ns.max(1) as f64
    }
}

/// A relay on its thread.
#[derive(Debug)]
pub(super) struct Running {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<io::Result<Sample>>,
}

impl Relay {
    /// Returns the name of the relay's thread, for profiles.
    const fn name(self) -> &'static str {
        match self {
            Self::Balancer => "balancer",
            Self::Plain => "plain",
        }
    }

    pub(super) fn start(self, fixture: &Fixture) -> Result<Running> {
        let (stop, stopped) = oneshot::channel();
        let (tell, told) = mpsc::channel();
        let table = Arc::new(ArcSwap::new(Arc::clone(&fixture.table)));
        let builder = std::thread::Builder::new().name(self.name().to_owned());
        let relay = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(async {
                match self {
                    Self::Balancer => route(table, &tell, stopped).await,
                    Self::Plain => copy(&table.load(), &tell, stopped).await,
                }
            })
        };
        let thread = builder
            .spawn(relay)
            .map_err(|err| BenchError::setup("starting a relay", &err))?;
        told.recv()
            .map_err(|err| BenchError::setup("starting a relay", &err))?;
        Ok(Running { stop, thread })
    }
}

impl Running {
    pub(super) fn stop(self) -> Result<Sample> {
        let _ended = self.stop.send(());
        let sample = self.thread.join().expect("relays don't panic");
        sample.map_err(|err| BenchError::setup("running a relay", &err))
    }
}

async fn route(
    table: Arc<ArcSwap<RoutingTable>>,
    tell: &mpsc::Sender<()>,
    stopped: oneshot::Receiver<()>,
) -> io::Result<Sample> {
    let ip = IpAddr::V4(LISTEN_IP);
    let config = Config::new(SocketAddr::new(ip, 0), ListenAt::Ip(ip))
        .with_drain(Millis::new(0), Millis::new(0));
    let (datapath, _peers) = Datapath::bind(config, table).map_err(io::Error::other)?;
    let handle = datapath.handle();
    let _receiver = tell.send(());
    let start_ns = cpu_ns()?;
    datapath
        .run(async {
            let _told = stopped.await;
        })
        .await;
    let counters = handle.counters();
    let lost = counters.get(Counter::SendBlocked) + counters.get(Counter::SendFailed);
    Ok(Sample {
        datagrams: counters.get(Counter::Established) - lost,
        cpu_ns: cpu_ns()? - start_ns,
    })
}

async fn copy(
    table: &RoutingTable,
    tell: &mpsc::Sender<()>,
    stopped: oneshot::Receiver<()>,
) -> io::Result<Sample> {
    let (outward, outward_state) = bind(SocketAddr::from((LISTEN_IP, 0)))?;
    let plain = Rc::new(Plain {
        buffers: RefCell::new(vec![0; BATCH_SIZE * BUFFER_BYTES]),
        outward,
        outward_state,
        datagrams: Cell::new(0),
    });
    let tasks = LocalSet::new();
    for local in table.service_addresses() {
        let (inward, state) = bind(local)?;
        tasks.spawn_local(Rc::clone(&plain).serve(inward, state));
    }
    let _receiver = tell.send(());
    let start_ns = cpu_ns()?;
    let _told = tasks.run_until(stopped).await;
    Ok(Sample {
        datagrams: plain.datagrams.get(),
        cpu_ns: cpu_ns()? - start_ns,
    })
}

/// What the plain relay's tasks share.
struct Plain {
    buffers: RefCell<Vec<u8>>,
    outward: UdpSocket,
    outward_state: UdpSocketState,
    datagrams: Cell<u64>,
}

impl Plain {
    /// Forwards what comes to one socket, for ever.
    async fn serve(self: Rc<Self>, inward: UdpSocket, state: UdpSocketState) {
        while inward.readable().await.is_ok() {
            for _turn in 0..RECEIVES_A_TURN {
                if self.forward(&inward, &state).is_err() {
                    break;
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn forward(&self, inward: &UdpSocket, state: &UdpSocketState) -> io::Result<()> {
        let mut bytes = self.buffers.borrow_mut();
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        let count = inward.try_io(Interest::READABLE, || {
            let mut chunks = bytes.chunks_exact_mut(BUFFER_BYTES);
            let mut slices: [_; BATCH_SIZE] = std::array::from_fn(|_idx| {
                IoSliceMut::new(chunks.next().expect("BATCH_SIZE buffers"))
            });
            state.recv(inward.into(), &mut slices, &mut metas)
        })?;
        for (meta, buffer) in metas[..count].iter().zip(bytes.chunks(BUFFER_BYTES)) {
            let transmit = Transmit {
                destination: SINK,
                ecn: meta.ecn,
                contents: &buffer[..meta.len],
                segment_size: (meta.len > meta.stride).then_some(meta.stride),
                src_ip: None,
            };
            let outward = (&self.outward).into();
            if self.outward_state.try_send(outward, &transmit).is_ok() {
                let datagrams = meta.len.div_ceil(meta.stride) as u64;
                self.datagrams.set(self.datagrams.get() + datagrams);
            }
        }
        Ok(())
    }
}

fn bind(address: SocketAddr) -> io::Result<(UdpSocket, UdpSocketState)> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    let config = Config::new(address, ListenAt::ServiceAddresses);
    let buffer_bytes = match address.port() {
        0 => config.tunnel_buffer_bytes,
        _ => config.service_buffer_bytes,
    };
    let buffer_bytes = usize::try_from(buffer_bytes.get()).unwrap_or(usize::MAX);
    socket.set_recv_buffer_size(buffer_bytes)?;
    socket.set_send_buffer_size(buffer_bytes)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    let socket = UdpSocket::from_std(socket.into())?;
    let state = UdpSocketState::new((&socket).into())?;
    Ok((socket, state))
}

/// Returns the processor time that this thread has had.
fn cpu_ns() -> io::Result<u64> {
    let stat = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = stat.split_whitespace().next().unwrap_or_default();
    first.parse().map_err(io::Error::other)
}
