//! What the traffic on the tunnels says of an agent's life.

use flow::table::Traffic;
use units::Millis;

use super::MonitoredAgent;

/// Time for which datagrams to an agent may go unanswered before it is checked.
const UNANSWERED_MS: Millis = Millis::new(500);

/// An agent with the traffic last seen of it.
pub(super) struct Watched {
    pub(super) link: MonitoredAgent,
    traffic: Traffic,
    /// Since when datagrams sent to it have had no answer.
    unanswered_since: Option<Millis>,
}

impl Watched {
    pub(super) fn new(link: MonitoredAgent) -> Self {
        Self {
            traffic: link.cell.traffic(),
            link,
            unanswered_since: None,
        }
    }

    /// Looks at the traffic since the last time.
    pub(super) fn look(&mut self, now: Millis) -> Evidence {
        let traffic = self.link.cell.traffic();
        let before = std::mem::replace(&mut self.traffic, traffic);
        if traffic.answered != before.answered {
            self.unanswered_since = None;
            return Evidence::Answered;
        }
        if traffic.sent == before.sent {
            return Evidence::Nothing;
        }
        let since = *self.unanswered_since.get_or_insert(now);
        if now.since(since) < UNANSWERED_MS {
            return Evidence::Nothing;
        }
        self.unanswered_since = None;
        Evidence::Unanswered
    }
}

/// What the traffic with an agent says of its life.
pub(super) enum Evidence {
    /// Something came back.
    Answered,
    /// Nothing came back for a while, though something was sent all the time.
    Unanswered,
    /// Neither.
    Nothing,
}
