//! Accepts callers' connections and limits the number of pending handshakes.

use std::time::Duration;

use tokio::{sync::watch, task::JoinSet};

use super::{AgentState, Phase};
use crate::{connection, endpoint::HANDSHAKES_MAX};

/// Timeout of a caller's QUIC handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts callers' connections until the task is aborted or the QUIC endpoint is closed.
pub(super) async fn accept_connections(state: AgentState, quic: quinn::Endpoint) {
    let mut connections = JoinSet::new();
    let handshakes = watch::Sender::new(0_usize);
    loop {
        tokio::select! {
            incoming = quic.accept() => {
                let Some(incoming) = incoming else {
                    break;
                };
                admit_handshake(&state, &handshakes, &mut connections, incoming);
            }
            Some(_ended) = connections.join_next(), if !connections.is_empty() => (),
        }
    }
}

/// Accepts a handshake, answers it with a QUIC Retry to validate the caller's address, or refuses
/// it.
fn admit_handshake(
    state: &AgentState,
    handshakes: &watch::Sender<usize>,
    connections: &mut JoinSet<()>,
    incoming: quinn::Incoming,
) {
    let pending = *handshakes.borrow();
    if pending >= HANDSHAKES_MAX {
        state.counters.handshakes_refused.add_one();
        incoming.refuse();
        return;
    }
    if pending >= state.config.handshake_retry_threshold && incoming.may_retry() {
        state.counters.handshakes_retried.add_one();
        // A retry fails only if `may_retry` is false, which was checked above.
        let _ = incoming.retry();
        return;
    }
    let Ok(connecting) = incoming.accept() else {
        state.counters.connections_failed.add_one();
        return;
    };
    let handshake = CountGuard::new(handshakes);
    let connection = CountGuard::new(&state.connections);
    connections.spawn(complete_handshake_and_serve(
        state.clone(),
        connecting,
        handshake,
        connection,
    ));
}

async fn complete_handshake_and_serve(
    state: AgentState,
    connecting: quinn::Connecting,
    handshake: CountGuard,
    connection: CountGuard,
) {
    let connected = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting).await;
    drop(handshake);
    let Ok(Ok(quic)) = connected else {
        state.counters.connections_failed.add_one();
        return;
    };
    state.counters.connections.add_one();
    let phase: watch::Receiver<Phase> = state.phase.subscribe();
    connection::serve_connection(state.handler, quic, phase).await;
    drop(connection);
}

/// Guard that increments a count when created and decrements it when dropped.
struct CountGuard(watch::Sender<usize>);

impl CountGuard {
    fn new(count: &watch::Sender<usize>) -> Self {
        count.send_modify(|it| *it += 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.send_modify(|it| *it -= 1);
    }
}
