//! The relays that are compared, each on one thread.

use std::{
    fs,
    io::{self, IoSliceMut},
    net::{IpAddr, SocketAddr},
    sync::{Arc, mpsc},
    thread::JoinHandle,
};

use arc_swap::ArcSwap;
use balancer::{Config, Counter, Datapath, ListenAt};
use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSocketState};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::Interest, net::UdpSocket, sync::oneshot};
use units::Millis;

use super::tables::{Fixture, LISTEN_IP, SINK};
use crate::error::{BenchError, Result};

const BUFFER_BYTES: usize = 65_536;

/// Kernel buffers of the plain relay's sockets; the balancer's default.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// What forwards the callers' datagrams.
#[derive(Debug, Clone, Copy)]
pub(super) enum Relay {
    /// The balancer's datagram path.
    Balancer,
    /// The same batched I/O, sending every datagram to one address as it came.
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
    address: Option<SocketAddr>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<io::Result<Sample>>,
}

impl Relay {
    pub(super) fn start(self, fixture: &Fixture) -> Result<Running> {
        let (stop, stopped) = oneshot::channel();
        let (tell, told) = mpsc::channel();
        let table = Arc::new(ArcSwap::new(Arc::clone(&fixture.table)));
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(async {
                match self {
                    Self::Balancer => route(table, &tell, stopped).await,
                    Self::Plain => copy(&tell, stopped).await,
                }
            })
        });
        let address = told
            .recv()
            .map_err(|err| BenchError::setup("starting a relay", &err))?;
        Ok(Running {
            address,
            stop,
            thread,
        })
    }
}

impl Running {
    /// Returns the one address that the relay listens at, if it has only one.
    pub(super) const fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    pub(super) fn stop(self) -> Result<Sample> {
        let _ended = self.stop.send(());
        let sample = self.thread.join().expect("relays don't panic");
        sample.map_err(|err| BenchError::setup("running a relay", &err))
    }
}

async fn route(
    table: Arc<ArcSwap<flow::table::RoutingTable>>,
    tell: &mpsc::Sender<Option<SocketAddr>>,
    stopped: oneshot::Receiver<()>,
) -> io::Result<Sample> {
    let ip = IpAddr::V4(LISTEN_IP);
    let config = Config::new(SocketAddr::new(ip, 0), ListenAt::Ip(ip))
        .with_drain(Millis::new(0), Millis::new(0));
    let (datapath, _peers) = Datapath::bind(config, table).map_err(io::Error::other)?;
    let handle = datapath.handle();
    let _receiver = tell.send(None);
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
    tell: &mpsc::Sender<Option<SocketAddr>>,
    mut stopped: oneshot::Receiver<()>,
) -> io::Result<Sample> {
    let (inward, inward_state) = bind()?;
    let (outward, outward_state) = bind()?;
    let mut bytes = vec![0; BATCH_SIZE * BUFFER_BYTES];
    let mut metas = [RecvMeta::default(); BATCH_SIZE];
    let _receiver = tell.send(Some(inward.local_addr()?));
    let start_ns = cpu_ns()?;
    let mut datagrams = 0;
    loop {
        tokio::select! {
            _told = &mut stopped => break,
            ready = inward.readable() => ready?,
        }
        let received = inward.try_io(Interest::READABLE, || {
            let mut chunks = bytes.chunks_exact_mut(BUFFER_BYTES);
            let mut slices: [_; BATCH_SIZE] = std::array::from_fn(|_idx| {
                IoSliceMut::new(chunks.next().expect("BATCH_SIZE buffers"))
            });
            inward_state.recv((&inward).into(), &mut slices, &mut metas)
        });
        let count = match received {
            Ok(count) => count,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => continue,
            Err(err) => return Err(err),
        };
        for (meta, buffer) in metas[..count].iter().zip(bytes.chunks(BUFFER_BYTES)) {
            let transmit = Transmit {
                destination: SINK,
                ecn: meta.ecn,
                contents: &buffer[..meta.len],
                segment_size: (meta.len > meta.stride).then_some(meta.stride),
                src_ip: None,
            };
            if outward_state.try_send((&outward).into(), &transmit).is_ok() {
                datagrams += meta.len.div_ceil(meta.stride) as u64;
            }
        }
    }
    Ok(Sample {
        datagrams,
        cpu_ns: cpu_ns()? - start_ns,
    })
}

fn bind() -> io::Result<(UdpSocket, UdpSocketState)> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from((LISTEN_IP, 0)).into())?;
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
