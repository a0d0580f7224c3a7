//! Handle by which the rest of the process uses the members controller.

use std::{fmt, net::SocketAddr, sync::Arc};

use ractor::ActorRef;
use tokio::sync::watch;
use units::EndpointId;

use super::{MembersMsg, MembersView, MonitoredAgent, PublishedState};

/// Handle to the running members controller; clones refer to the same controller.
#[derive(Clone)]
pub struct MembersHandle {
    pub(super) actor: ActorRef<MembersMsg>,
    pub(super) shared: Arc<PublishedState>,
}

impl MembersHandle {
    /// Returns the latest published view of the fleet.
    #[must_use]
    pub fn view(&self) -> Arc<MembersView> {
        self.shared.view.load_full()
    }

    /// Returns a receiver that is notified of every change of the fleet's view.
    #[must_use]
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.shared.generation.subscribe()
    }

    /// Returns a receiver of the control addresses of the other balancers that are not dead.
    #[must_use]
    pub fn watch_control_addresses(&self) -> watch::Receiver<Vec<SocketAddr>> {
        self.shared.control_addresses.subscribe()
    }

    /// Waits until the members controller has ended.
    ///
    /// A controller that ends without [`Self::stop_controller`] is a bug, and the process should
    /// exit too.
    pub async fn wait_until_controller_ended(&self) {
        let mut is_ended = self.shared.is_ended.subscribe();
        drop(is_ended.wait_for(|it| *it).await);
    }

    /// Replaces the agents whose liveness is monitored.
    pub fn set_agents(&self, agents: Vec<MonitoredAgent>) {
        self.send_to_controller(MembersMsg::SetAgents(agents));
    }

    /// Probes an endpoint's agent at once, after an instance list or a health check indicated that
    /// the agent is gone.
    pub fn probe_endpoint(&self, endpoint: EndpointId) {
        self.send_to_controller(MembersMsg::CheckEndpoint(endpoint));
    }

    /// Announces to the fleet that this balancer accepts no new work.
    pub fn announce_leaving(&self) {
        self.send_to_controller(MembersMsg::Leave);
    }

    /// Stops the members controller without waiting for its end.
    pub fn stop_controller(&self) {
        self.actor.stop(None);
    }

    fn send_to_controller(&self, message: MembersMsg) {
        // The actor stops only with the process, so a failed send needs no handling.
        drop(self.actor.cast(message));
    }
}

impl fmt::Debug for MembersHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MembersHandle").finish_non_exhaustive()
    }
}
