//! A relay for the messages between one machine and all others, which wait at the machine's link.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

struct Waiting {
    due: Instant,
    from: Ipv4Addr,
    to: SocketAddrV4,
    bytes: Vec<u8>,
}

/// The wait at a machine's link, in milliseconds.
#[derive(Clone)]
pub struct LinkWait(Arc<AtomicU64>);

impl LinkWait {
    pub fn set(&self, wait: Duration) {
        self.0.store(wait.as_millis() as u64, Ordering::SeqCst);
    }

    fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::SeqCst))
    }
}

/// Relays between `machine`, which uses `own_port`, and `others`, which use `peer_port`. Each side
/// sees the other's address as the sender.
pub fn start_relay(
    machine: Ipv4Addr,
    own_port: u16,
    others: &[Ipv4Addr],
    peer_port: u16,
) -> std::io::Result<LinkWait> {
    let wait = LinkWait(Arc::default());
    let (to_machine, arriving) = channel();
    let inbound = UdpSocket::bind((machine, peer_port))?;
    let target = SocketAddrV4::new(machine, own_port);
    receive(inbound, wait.clone(), to_machine, move |sender| {
        (sender, target)
    });
    let (from_machine, leaving) = channel();
    for other in others {
        let outbound = UdpSocket::bind((*other, own_port))?;
        let target = SocketAddrV4::new(*other, peer_port);
        receive(outbound, wait.clone(), from_machine.clone(), move |_| {
            (machine, target)
        });
    }
    thread::spawn(move || deliver(&arriving));
    thread::spawn(move || deliver(&leaving));
    Ok(wait)
}

fn receive(
    socket: UdpSocket,
    wait: LinkWait,
    queue: Sender<Waiting>,
    route: impl Fn(Ipv4Addr) -> (Ipv4Addr, SocketAddrV4) + Send + 'static,
) {
    thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while let Ok((len, sender)) = socket.recv_from(&mut buffer) {
            let std::net::IpAddr::V4(sender) = sender.ip() else {
                continue;
            };
            let (from, to) = route(sender);
            let waiting = Waiting {
                due: Instant::now() + wait.get(),
                from,
                to,
                bytes: buffer[..len].to_vec(),
            };
            if queue.send(waiting).is_err() {
                return;
            }
        }
    });
}

/// Sends each datagram when it is due, in order, as from its sender.
fn deliver(queue: &Receiver<Waiting>) {
    let mut sockets: HashMap<Ipv4Addr, UdpSocket> = HashMap::new();
    while let Ok(next) = queue.recv() {
        thread::sleep(next.due.saturating_duration_since(Instant::now()));
        if !sockets.contains_key(&next.from)
            && let Ok(socket) = UdpSocket::bind((next.from, 0))
        {
            sockets.insert(next.from, socket);
        }
        if let Some(socket) = sockets.get(&next.from) {
            // A datagram to a machine that isn't running is lost.
            let _ = socket.send_to(&next.bytes, next.to);
        }
    }
}
