//! Accepts callers' connections and bounds handshakes.

use std::time::Duration;

use tokio::{sync::watch, task::JoinSet};

use super::{Parts, Phase};
use crate::{connection, endpoint::HANDSHAKES_MAX};

/// Longest time for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections until aborted.
pub(super) async fn run(parts: Parts, quic: quinn::Endpoint) {
    let mut connections = JoinSet::new();
    let handshakes = watch::Sender::new(0_usize);
    loop {
        tokio::select! {
            incoming = quic.accept() => {
                let Some(incoming) = incoming else {
                    break;
                };
                take(&parts, &handshakes, &mut connections, incoming);
            }
            Some(_ended) = connections.join_next(), if !connections.is_empty() => (),
        }
    }
}

/// Takes a handshake, asks for proof of the caller's address first, or refuses it.
fn take(
    parts: &Parts,
    handshakes: &watch::Sender<usize>,
    connections: &mut JoinSet<()>,
    incoming: quinn::Incoming,
) {
    let under_way = *handshakes.borrow();
    if under_way >= HANDSHAKES_MAX {
        parts.counters.handshakes_refused.add_one();
        incoming.refuse();
        return;
    }
    if under_way >= parts.config.handshake_retry_threshold && incoming.may_retry() {
        parts.counters.handshakes_retried.add_one();
        // It may retry, so this can't fail.
        let _ = incoming.retry();
        return;
    }
    let Ok(connecting) = incoming.accept() else {
        parts.counters.connections_failed.add_one();
        return;
    };
    let handshake = Counted::new(handshakes);
    let connection = Counted::new(&parts.connections);
    connections.spawn(serve(parts.clone(), connecting, handshake, connection));
}

async fn serve(
    parts: Parts,
    connecting: quinn::Connecting,
    handshake: Counted,
    connection: Counted,
) {
    let connected = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting).await;
    drop(handshake);
    let Ok(Ok(quic)) = connected else {
        parts.counters.connections_failed.add_one();
        return;
    };
    parts.counters.connections.add_one();
    let phase: watch::Receiver<Phase> = parts.phase.subscribe();
    connection::serve(parts.handler, quic, phase).await;
    drop(connection);
}

/// Counts one of something while it is held.
struct Counted(watch::Sender<usize>);

impl Counted {
    fn new(count: &watch::Sender<usize>) -> Self {
        count.send_modify(|it| *it += 1);
        Self(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.send_modify(|it| *it -= 1);
    }
}
