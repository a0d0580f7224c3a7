//! The two relays that the bench compares: the balancer's datapath and a plain relay. Each runs on
//! a thread of its own.

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

use super::tables::{Fixture, LISTEN_IP, SINK_ADDRESS};
use crate::error::{BenchError, Result};

const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// Number of receive calls after which a task of the plain relay yields; the balancer yields after
/// as many.
const RECEIVES_PER_TURN: usize = 8;

/// Kind of relay that forwards the callers' datagrams.
#[derive(Debug, Clone, Copy)]
pub(super) enum Relay {
    /// The balancer's datapath, which routes each datagram.
    Balancer,
    /// A plain relay with the balancer's kind of sockets and batched I/O, which sends every
    /// datagram unchanged to one address.
    Plain,
}

/// Number of datagrams that a relay forwarded and the processor time that this took.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    datagrams: u64,
    /// Processor time that the relay's thread used, in nanoseconds.
    cpu_ns: u64,
}

impl Sample {
    /// Returns how many datagrams the relay forwarded per second of processor time.
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    pub(super) fn datagrams_per_cpu_second(&self) -> f64 {
        self.datagrams as f64 * 1e9 / self.cpu_ns.max(1) as f64
    }
}

/// A relay that is running on a thread of its own.
#[derive(Debug)]
pub(super) struct RunningRelay {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<io::Result<Sample>>,
}

impl Relay {
    /// Returns the name of the relay's thread, which profilers show.
    const fn thread_name(self) -> &'static str {
        match self {
            Self::Balancer => "balancer",
            Self::Plain => "plain",
        }
    }

    pub(super) fn start(self, fixture: &Fixture) -> Result<RunningRelay> {
        let (stop, stopped) = oneshot::channel();
        let (ready_sender, ready_receiver) = mpsc::channel();
        let table = Arc::new(ArcSwap::new(Arc::clone(&fixture.table)));
        let builder = std::thread::Builder::new().name(self.thread_name().to_owned());
        let relay = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(async {
                match self {
                    Self::Balancer => run_balancer(table, &ready_sender, stopped).await,
                    Self::Plain => run_plain(&table.load(), &ready_sender, stopped).await,
                }
            })
        };
        let thread = builder
            .spawn(relay)
            .map_err(|err| BenchError::setup("starting a relay", &err))?;
        ready_receiver
            .recv()
            .map_err(|err| BenchError::setup("starting a relay", &err))?;
        Ok(RunningRelay { stop, thread })
    }
}

impl RunningRelay {
    pub(super) fn stop(self) -> Result<Sample> {
        let _ended = self.stop.send(());
        let sample = self.thread.join().expect("relays don't panic");
        sample.map_err(|err| BenchError::setup("running a relay", &err))
    }
}

async fn run_balancer(
    table: Arc<ArcSwap<RoutingTable>>,
    ready_sender: &mpsc::Sender<()>,
    stopped: oneshot::Receiver<()>,
) -> io::Result<Sample> {
    let ip = IpAddr::V4(LISTEN_IP);
    let config = Config::new(SocketAddr::new(ip, 0), ListenAt::Ip(ip))
        .with_drain(Millis::new(0), Millis::new(0));
    let (datapath, _peers) = Datapath::bind(config, table).map_err(io::Error::other)?;
    let handle = datapath.handle();
    let _receiver = ready_sender.send(());
    let start_ns = thread_cpu_ns()?;
    datapath
        .run(async {
            let _stop_result = stopped.await;
        })
        .await;
    let counters = handle.counters();
    let unsent = counters.get(Counter::SendBlocked) + counters.get(Counter::SendFailed);
    Ok(Sample {
        datagrams: counters.get(Counter::Established) - unsent,
        cpu_ns: thread_cpu_ns()? - start_ns,
    })
}

async fn run_plain(
    table: &RoutingTable,
    ready_sender: &mpsc::Sender<()>,
    stopped: oneshot::Receiver<()>,
) -> io::Result<Sample> {
    let (outward, outward_state) = bind(SocketAddr::from((LISTEN_IP, 0)))?;
    let plain = Rc::new(Plain {
        buffers: RefCell::new(vec![0; BATCH_SIZE * RECEIVE_BUFFER_BYTES]),
        outward,
        outward_state,
        datagrams: Cell::new(0),
    });
    let tasks = LocalSet::new();
    for local in table.service_addresses() {
        let (inward, state) = bind(local)?;
        tasks.spawn_local(Rc::clone(&plain).forward_all(inward, state));
    }
    let _receiver = ready_sender.send(());
    let start_ns = thread_cpu_ns()?;
    let _stop_result = tasks.run_until(stopped).await;
    Ok(Sample {
        datagrams: plain.datagrams.get(),
        cpu_ns: thread_cpu_ns()? - start_ns,
    })
}

/// State that the tasks of the plain relay share.
struct Plain {
    buffers: RefCell<Vec<u8>>,
    outward: UdpSocket,
    outward_state: UdpSocketState,
    datagrams: Cell<u64>,
}

impl Plain {
    /// Forwards the datagrams that arrive at one service socket until that socket fails.
    async fn forward_all(self: Rc<Self>, inward: UdpSocket, state: UdpSocketState) {
        while inward.readable().await.is_ok() {
            for _turn in 0..RECEIVES_PER_TURN {
                if self.forward_batch(&inward, &state).is_err() {
                    break;
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn forward_batch(&self, inward: &UdpSocket, state: &UdpSocketState) -> io::Result<()> {
        let mut bytes = self.buffers.borrow_mut();
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        let count = inward.try_io(Interest::READABLE, || {
            let mut chunks = bytes.chunks_exact_mut(RECEIVE_BUFFER_BYTES);
            let mut slices: [_; BATCH_SIZE] = std::array::from_fn(|_idx| {
                IoSliceMut::new(chunks.next().expect("BATCH_SIZE buffers"))
            });
            state.recv(inward.into(), &mut slices, &mut metas)
        })?;
        for (meta, buffer) in metas[..count]
            .iter()
            .zip(bytes.chunks(RECEIVE_BUFFER_BYTES))
        {
            let transmit = Transmit {
                destination: SINK_ADDRESS,
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

/// Binds a UDP socket with the buffer sizes that the balancer uses: those of its tunnel socket for
/// port 0, otherwise those of its service sockets.
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

/// Returns the processor time that the calling thread has used, in nanoseconds.
fn thread_cpu_ns() -> io::Result<u64> {
    let stat = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = stat.split_whitespace().next().unwrap_or_default();
    first.parse().map_err(io::Error::other)
}
