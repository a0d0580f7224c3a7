//! Evidence of an agent's liveness from the traffic on its tunnel.

use flow::table::Traffic;
use units::Millis;

use super::MonitoredAgent;

/// Time for which datagrams to an agent may stay unanswered before the agent is checked.
const UNANSWERED_MS: Millis = Millis::new(500);

/// Monitored agent with the traffic counts of the last observation.
pub(super) struct TrafficMonitor {
    pub(super) agent: MonitoredAgent,
    traffic: Traffic,
    /// Time since which datagrams to the agent have not been answered.
    unanswered_since: Option<Millis>,
}

impl TrafficMonitor {
    pub(super) fn new(agent: MonitoredAgent) -> Self {
        Self {
            traffic: agent.cell.traffic(),
            agent,
            unanswered_since: None,
        }
    }

    /// Returns the evidence in the traffic since the last observation.
    pub(super) fn observe_traffic(&mut self, now: Millis) -> Evidence {
        let traffic = self.agent.cell.traffic();
        let before = std::mem::replace(&mut self.traffic, traffic);
        if traffic.answered != before.answered {
            self.unanswered_since = None;
            return Evidence::Answered;
        }
        if traffic.sent == before.sent {
            return Evidence::Inconclusive;
        }
        let since = *self.unanswered_since.get_or_insert(now);
        if now.since(since) < UNANSWERED_MS {
            return Evidence::Inconclusive;
        }
        self.unanswered_since = None;
        Evidence::Unanswered
    }
}

/// Evidence of an agent's liveness in the traffic with it.
pub(super) enum Evidence {
    /// The agent answered.
    Answered,
    /// Datagrams were sent to the agent for [`UNANSWERED_MS`] without any answer.
    Unanswered,
    /// The traffic is inconclusive.
    Inconclusive,
}
