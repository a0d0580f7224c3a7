//! Test double of a stateful middlebox, such as a NAT, between balancers and one agent.
//!
//! Each sender's address and port gets a path of its own. The middlebox drops all datagrams in both
//! directions on paths whose state it has lost, while new paths work.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tokio::{net::UdpSocket, task::JoinSet};

/// Size of the middlebox's receive buffers, and so of the largest datagram that is forwarded whole.
const DATAGRAM_MAX_BYTES: usize = 64 * 1024;

/// A running middlebox, which stops forwarding when the value is dropped.
#[derive(Debug)]
pub struct Middlebox {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    sender_socket: UdpSocket,
    agent: SocketAddr,
    paths: Mutex<Vec<Path>>,
}

#[derive(Debug)]
struct Path {
    sender: SocketAddr,
    agent_socket: Arc<UdpSocket>,
    is_tracked: bool,
    /// When the agent's first datagram arrived on the path; `None` before that.
    first_response_at: Option<Instant>,
}

impl Middlebox {
    /// Starts a middlebox at `address` that forwards to an agent.
    ///
    /// # Errors
    ///
    /// Fails if the middlebox's address can't be bound.
    pub async fn start(address: SocketAddr, agent: SocketAddr) -> io::Result<Self> {
        let sender_socket = UdpSocket::bind(address).await?;
        let shared = Arc::new(Shared {
            sender_socket,
            agent,
            paths: Mutex::new(Vec::new()),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&shared).forward_to_agent());
        Ok(Self {
            shared,
            _tasks: tasks,
        })
    }

    /// Invalidates the state of every open path, so that datagrams on it are dropped.
    pub fn invalidate_open_paths(&self) {
        self.shared
            .lock_paths()
            .iter_mut()
            .for_each(|it| it.is_tracked = false);
    }

    /// Returns when the agent's first datagram to `sender` arrived on a path that still works.
    #[must_use]
    pub fn first_response_at(&self, sender: std::net::IpAddr) -> Option<Instant> {
        let paths = self.shared.lock_paths();
        let tracked = paths
            .iter()
            .filter(|it| it.is_tracked && it.sender.ip() == sender);
        tracked.filter_map(|it| it.first_response_at).min()
    }
}

impl Shared {
    fn lock_paths(&self) -> MutexGuard<'_, Vec<Path>> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward_to_agent(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        let mut forwarding_tasks = JoinSet::new();
        loop {
            let Ok((len, sender)) = self.sender_socket.recv_from(&mut buffer).await else {
                continue;
            };
            let known = self.find_path(sender);
            let agent_socket = match known {
                Some((_, false)) => continue,
                Some((agent_socket, true)) => agent_socket,
                None => {
                    let Ok(agent_socket) = self.open_path(sender).await else {
                        continue;
                    };
                    let forwarding =
                        Arc::clone(&self).forward_to_sender(sender, Arc::clone(&agent_socket));
                    forwarding_tasks.spawn(forwarding);
                    agent_socket
                }
            };
            // A failed send counts as loss of the datagram.
            drop(agent_socket.send_to(&buffer[..len], self.agent).await);
        }
    }

    fn find_path(&self, sender: SocketAddr) -> Option<(Arc<UdpSocket>, bool)> {
        let paths = self.lock_paths();
        let path = paths.iter().find(|it| it.sender == sender)?;
        Some((Arc::clone(&path.agent_socket), path.is_tracked))
    }

    async fn open_path(&self, sender: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let agent_socket = Arc::new(UdpSocket::bind((self.agent.ip(), 0)).await?);
        let path = Path {
            sender,
            agent_socket: Arc::clone(&agent_socket),
            is_tracked: true,
            first_response_at: None,
        };
        self.lock_paths().push(path);
        Ok(agent_socket)
    }

    async fn forward_to_sender(self: Arc<Self>, sender: SocketAddr, agent_socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        while let Ok(len) = agent_socket.recv(&mut buffer).await {
            if self.record_response(sender) {
                drop(self.sender_socket.send_to(&buffer[..len], sender).await);
            }
        }
    }

    /// Records a datagram from the agent to `sender`; returns whether the path still forwards
    /// datagrams.
    fn record_response(&self, sender: SocketAddr) -> bool {
        let mut paths = self.lock_paths();
        let Some(path) = paths.iter_mut().find(|it| it.sender == sender) else {
            return false;
        };
        if path.is_tracked {
            path.first_response_at.get_or_insert_with(Instant::now);
        }
        path.is_tracked
    }
}
