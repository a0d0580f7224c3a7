//! What other parts of the process see of the members controller.

use std::{fmt, net::SocketAddr, sync::Arc};

use ractor::ActorRef;
use tokio::sync::watch;
use units::EndpointId;

use super::{MembersMsg, MembersView, MonitoredAgent, Shared};

/// What other parts of the process see of the members controller; clones are the same.
#[derive(Clone)]
pub struct MembersHandle {
    pub(super) actor: ActorRef<MembersMsg>,
    pub(super) shared: Arc<Shared>,
}

impl MembersHandle {
    /// Returns the latest view.
    #[must_use]
    pub fn view(&self) -> Arc<MembersView> {
        self.shared.view.load_full()
    }

    /// Returns a receiver that changes with every change of the view.
    #[must_use]
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.shared.generation.subscribe()
    }

    /// Returns the control addresses of the other balancers that are not dead.
    #[must_use]
    pub fn watch_control_addresses(&self) -> watch::Receiver<Vec<SocketAddr>> {
        self.shared.control_addresses.subscribe()
    }

    /// Waits until the controller has ended: a bug; the process should end too.
    pub async fn wait_until_ended(&self) {
        let mut is_ended = self.shared.is_ended.subscribe();
        drop(is_ended.wait_for(|it| *it).await);
    }

    /// Replaces the agents to watch.
    pub fn set_agents(&self, agents: Vec<MonitoredAgent>) {
        self.cast(MembersMsg::SetAgents(agents));
    }

    /// Has an endpoint checked at once, since a list or a health answer says that it is gone.
    pub fn check_endpoint(&self, endpoint: EndpointId) {
        self.cast(MembersMsg::HintGone(endpoint));
    }

    /// Tells the fleet that this balancer takes no new work from now on.
    pub fn leave(&self) {
        self.cast(MembersMsg::Leave);
    }

    /// Stops the controller.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    fn cast(&self, message: MembersMsg) {
        // The controller ends only with the process.
        drop(self.actor.cast(message));
    }
}

impl fmt::Debug for MembersHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MembersHandle").finish_non_exhaustive()
    }
}
