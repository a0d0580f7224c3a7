//! Passive health signals: evidence of an agent's liveness from the traffic on its tunnel.

use flow::table::Traffic;
use units::Millis;

use super::MonitoredAgent;

/// Time for which datagrams to an agent may stay unanswered before a failure check of the agent
/// starts.
const UNANSWERED_MS: Millis = Millis::new(500);

/// Monitored agent with the counts of its tunnel traffic at the last observation.
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

    /// Returns what the agent's tunnel traffic since the last observation tells about its liveness.
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

/// Passive health signal: what an agent's tunnel traffic tells about its liveness.
pub(super) enum Evidence {
    /// The agent answered datagrams.
    Answered,
    /// Datagrams were sent to the agent for [`UNANSWERED_MS`] without any answer.
    Unanswered,
    /// The traffic doesn't tell whether the agent is alive.
    Inconclusive,
}
