//! Callers that send as fast as they can, and the stand-in for every agent.

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

use super::tables::{Fixture, SINK};
use crate::error::{BenchError, Result};

/// Threads that send, so that the relay never waits for long.
const SENDERS: u64 = 2;

/// Flows of each sender.
const FLOWS: usize = 256;

const DATAGRAM_BYTES: usize = 1_200;

const SINK_BUFFER_BYTES: usize = 65_536;

/// Running callers and the agents' stand-in.
#[derive(Debug)]
pub(super) struct Load {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts sending bursts to every service address.
    pub(super) fn start(fixture: &Fixture, seed: u64, burst: usize) -> Result<Self> {
        let failed = |err: io::Error| BenchError::setup("binding the callers' sockets", &err);
        let is_over = Arc::new(AtomicBool::new(false));
        let sink = UdpSocket::bind(SINK).map_err(failed)?;
        sink.set_read_timeout(Some(Duration::from_millis(50)))
            .map_err(failed)?;
        let flag = Arc::clone(&is_over);
        let mut threads = vec![std::thread::spawn(move || drain(&sink, &flag))];
        for sender in 0..SENDERS {
            let mut rng = StdRng::seed_from_u64(seed ^ sender);
            let flows: Vec<_> = (0..FLOWS)
                .map(|_idx| {
                    let (local, datagram) = fixture.established(&mut rng, DATAGRAM_BYTES);
                    (local, datagram.repeat(burst))
                })
                .collect();
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(failed)?;
            let state = UdpSocketState::new((&socket).into()).map_err(failed)?;
            let flag = Arc::clone(&is_over);
            let run = move || send(&socket, &state, &flows, &mut rng, &flag);
            threads.push(std::thread::spawn(run));
        }
        Ok(Self { is_over, threads })
    }

    pub(super) fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers don't panic");
        }
    }
}

fn send(
    socket: &UdpSocket,
    state: &UdpSocketState,
    flows: &[(SocketAddr, Vec<u8>)],
    rng: &mut StdRng,
    is_over: &AtomicBool,
) {
    while !is_over.load(Ordering::Relaxed) {
        let (to, contents) = &flows[rng.random_range(0..flows.len())];
        let transmit = Transmit {
            destination: *to,
            ecn: None,
            contents,
            segment_size: (contents.len() > DATAGRAM_BYTES).then_some(DATAGRAM_BYTES),
            src_ip: None,
        };
        // Full buffers are what this load is for.
        let _full = state.try_send(socket.into(), &transmit);
    }
}

fn drain(sink: &UdpSocket, is_over: &AtomicBool) {
    let mut buffer = vec![0; SINK_BUFFER_BYTES];
    while !is_over.load(Ordering::Relaxed) {
        let _received = sink.recv(&mut buffer);
    }
}
