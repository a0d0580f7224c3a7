//! A box between balancers and one agent that keeps track of paths, until it loses track of them.
//!
//! Each sender's address and port gets a path of its own. Paths that the box lost track of carry
//! nothing any more, in either direction, while new ones work.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tokio::{net::UdpSocket, task::JoinSet};

/// Largest datagram carried.
const DATAGRAM_MAX_BYTES: usize = 64 * 1024;

/// A running box; it ends when dropped.
#[derive(Debug)]
pub struct Middlebox {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    front: UdpSocket,
    agent: SocketAddr,
    paths: Mutex<Vec<Path>>,
}

#[derive(Debug)]
struct Path {
    sender: SocketAddr,
    back: Arc<UdpSocket>,
    is_tracked: bool,
    /// When the agent first answered on it.
    first_response_at: Option<Instant>,
}

impl Middlebox {
    /// Starts a box at `address` in front of an agent.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(address: SocketAddr, agent: SocketAddr) -> io::Result<Self> {
        let front = UdpSocket::bind(address).await?;
        let shared = Arc::new(Shared {
            front,
            agent,
            paths: Mutex::new(Vec::new()),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&shared).carry_in());
        Ok(Self {
            shared,
            _tasks: tasks,
        })
    }

    /// Loses track of every path there is.
    pub fn invalidate_open_paths(&self) {
        self.shared
            .lock()
            .iter_mut()
            .for_each(|it| it.is_tracked = false);
    }

    /// Returns when the agent first answered on a path from `sender`'s address that works now.
    #[must_use]
    pub fn first_response_at(&self, sender: std::net::IpAddr) -> Option<Instant> {
        let paths = self.shared.lock();
        let working = paths
            .iter()
            .filter(|it| it.is_tracked && it.sender.ip() == sender);
        working.filter_map(|it| it.first_response_at).min()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<Path>> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn carry_in(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        let mut answering = JoinSet::new();
        loop {
            let Ok((len, sender)) = self.front.recv_from(&mut buffer).await else {
                continue;
            };
            let known = self.find(sender);
            let back = match known {
                Some((_, false)) => continue,
                Some((back, true)) => back,
                None => {
                    let Ok(back) = self.open(sender).await else {
                        continue;
                    };
                    let carrying = Arc::clone(&self).carry_out(sender, Arc::clone(&back));
                    answering.spawn(carrying);
                    back
                }
            };
            // A failure is as good as a loss.
            drop(back.send_to(&buffer[..len], self.agent).await);
        }
    }

    fn find(&self, sender: SocketAddr) -> Option<(Arc<UdpSocket>, bool)> {
        let paths = self.lock();
        let path = paths.iter().find(|it| it.sender == sender)?;
        Some((Arc::clone(&path.back), path.is_tracked))
    }

    async fn open(&self, sender: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let back = Arc::new(UdpSocket::bind((self.agent.ip(), 0)).await?);
        let path = Path {
            sender,
            back: Arc::clone(&back),
            is_tracked: true,
            first_response_at: None,
        };
        self.lock().push(path);
        Ok(back)
    }

    async fn carry_out(self: Arc<Self>, sender: SocketAddr, back: Arc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        while let Ok(len) = back.recv(&mut buffer).await {
            if self.note_answer(sender) {
                drop(self.front.send_to(&buffer[..len], sender).await);
            }
        }
    }

    /// Notes that the agent answered; returns whether the path still carries.
    fn note_answer(&self, sender: SocketAddr) -> bool {
        let mut paths = self.lock();
        let Some(path) = paths.iter_mut().find(|it| it.sender == sender) else {
            return false;
        };
        if path.is_tracked {
            path.first_response_at.get_or_insert_with(Instant::now);
        }
        path.is_tracked
    }
}
