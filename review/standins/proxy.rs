//! A TCP proxy before the store that loses track of idle connections.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which an idle direction of a connection checks whether it went silent.
const POLL: Duration = Duration::from_millis(20);

struct Connection {
    last_used: Mutex<Instant>,
    is_silent: Mutex<bool>,
    is_closed: Mutex<bool>,
}

#[derive(Clone, Default)]
pub struct Proxy {
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn listen(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let proxy = Self::default();
        let listener = TcpListener::bind(address)?;
        let accepting = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                wait_while(&accepting.is_cut);
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let connection = Arc::new(Connection {
                    last_used: Mutex::new(Instant::now()),
                    is_silent: Mutex::new(false),
                    is_closed: Mutex::new(false),
                });
                accepting
                    .connections
                    .lock()
                    .unwrap()
                    .push(Arc::clone(&connection));
                if let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) {
                    let (shared, is_cut) = (Arc::clone(&connection), Arc::clone(&accepting.is_cut));
                    thread::spawn(move || carry(near, far, &shared, &is_cut));
                    let is_cut = Arc::clone(&accepting.is_cut);
                    thread::spawn(move || carry(far2, near2, &connection, &is_cut));
                }
            }
        });
        Ok(proxy)
    }

    /// Returns whether any connection carried something within the last `span`.
    pub fn was_used_within(&self, span: Duration) -> bool {
        let connections = self.connections.lock().unwrap();
        connections
            .iter()
            .any(|it| it.last_used.lock().unwrap().elapsed() <= span)
    }

    /// Cuts the machine off from the store, silently, or heals the cut. What was sent meanwhile is
    /// carried then.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Makes the open connections that carried nothing for `idle` go silent for good, without a
    /// reset, and returns their number. All other connections, and later ones, work.
    pub fn forget_idle_connections(&self, idle: Duration) -> usize {
        let connections = self.connections.lock().unwrap();
        let mut count = 0;
        for connection in connections.iter() {
            let is_idle = connection.last_used.lock().unwrap().elapsed() > idle;
            if is_idle && !*connection.is_closed.lock().unwrap() {
                *connection.is_silent.lock().unwrap() = true;
                count += 1;
            }
        }
        count
    }
}

fn wait_while(condition: &AtomicBool) {
    while condition.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Carries one direction of a connection until an end closes it.
fn carry(mut from: TcpStream, mut to: TcpStream, connection: &Connection, is_cut: &AtomicBool) {
    let _ = from.set_read_timeout(Some(POLL));
    let mut buffer = [0; 65_536];
    loop {
        let result = from.read(&mut buffer);
        if *connection.is_silent.lock().unwrap() {
            // Both sockets stay open, and nothing is carried any more.
            loop {
                thread::sleep(Duration::from_secs(1));
            }
        }
        match result {
            Ok(0) => break,
            Ok(len) => {
                wait_while(is_cut);
                *connection.last_used.lock().unwrap() = Instant::now();
                if to.write_all(&buffer[..len]).is_err() {
                    break;
                }
            }
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    *connection.is_closed.lock().unwrap() = true;
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
