//! Callers that send datagrams at full rate, and the UDP sink that stands in for every agent.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use quinn_udp::{Transmit, UdpSocketState};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::tables::{Fixture, SINK_ADDRESS};
use crate::error::{BenchError, Result};

/// Number of sending threads. There are several, so that the relay is rarely idle.
const SENDERS: u64 = 2;

/// Number of flows that each sending thread uses.
const FLOWS_PER_SENDER: usize = 256;

const DATAGRAM_BYTES: usize = 1_200;

const SINK_BUFFER_BYTES: usize = 65_536;

/// Threads of the running callers and of the sink.
#[derive(Debug)]
pub(super) struct Load {
    is_stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the sink and the callers, which send bursts of datagrams to random services.
    pub(super) fn start(fixture: &Fixture, seed: u64, burst: usize) -> Result<Self> {
        let failed = |err: io::Error| BenchError::setup("binding the callers' sockets", &err);
        let is_stopping = Arc::new(AtomicBool::new(false));
        let sink = UdpSocket::bind(SINK_ADDRESS).map_err(failed)?;
        sink.set_read_timeout(Some(Duration::from_millis(50)))
            .map_err(failed)?;
        let flag = Arc::clone(&is_stopping);
        let mut threads = vec![std::thread::spawn(move || discard_datagrams(&sink, &flag))];
        for sender in 0..SENDERS {
            let mut rng = StdRng::seed_from_u64(seed ^ sender);
            let flows: Vec<_> = (0..FLOWS_PER_SENDER)
                .map(|_idx| {
                    let (local, datagram) =
                        fixture.build_established_datagram(&mut rng, DATAGRAM_BYTES);
                    (local, datagram.repeat(burst))
                })
                .collect();
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(failed)?;
            let state = UdpSocketState::new((&socket).into()).map_err(failed)?;
            let flag = Arc::clone(&is_stopping);
            let run = move || send_bursts(&socket, &state, &flows, &mut rng, &flag);
            threads.push(std::thread::spawn(run));
        }
        Ok(Self {
            is_stopping,
            threads,
        })
    }

    pub(super) fn stop(self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers don't panic");
        }
    }
}

fn send_bursts(
    socket: &UdpSocket,
    state: &UdpSocketState,
    flows: &[(SocketAddr, Vec<u8>)],
    rng: &mut StdRng,
    is_stopping: &AtomicBool,
) {
    while !is_stopping.load(Ordering::Relaxed) {
        let (to, contents) = &flows[rng.random_range(0..flows.len())];
        let transmit = Transmit {
            destination: *to,
            ecn: None,
            contents,
            segment_size: (contents.len() > DATAGRAM_BYTES).then_some(DATAGRAM_BYTES),
            src_ip: None,
        };
        // A full send buffer is expected, because the callers saturate the relay.
        let _full = state.try_send(socket.into(), &transmit);
    }
}

fn discard_datagrams(sink: &UdpSocket, is_stopping: &AtomicBool) {
    let mut buffer = vec![0; SINK_BUFFER_BYTES];
    while !is_stopping.load(Ordering::Relaxed) {
        let _received = sink.recv(&mut buffer);
    }
}
