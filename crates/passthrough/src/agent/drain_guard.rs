//! Keeps an endpoint draining while the store lacks what it wrote.

use units::{Millis, Revision, StoreEra};

use crate::{EndpointState, message::StateNotice, store_era::REWRITE_TIME_MS};

/// What an agent remembers of the notices about its endpoint.
///
/// Answers a balancer that starts after the store came back from an older copy: it has no list of
/// before and takes a draining endpoint for ready until the endpoint has written again.
#[derive(Debug, Default)]
pub(super) struct DrainGuard {
    /// The latest era of the store that a notice was of.
    era: StoreEra,
    /// Birth of the process that the latest applied notice was about.
    born_ms: u64,
    /// Time until which a notice that the endpoint is ready isn't believed.
    until: Option<Millis>,
}

impl DrainGuard {
    /// Returns whether a notice must not be applied, given the endpoint's state so far.
    pub(super) fn refuses(
        &mut self,
        now: Millis,
        state: EndpointState,
        notice: &StateNotice,
    ) -> bool {
        let is_same_draining = state == EndpointState::Draining && notice.born_ms == self.born_ms;
        self.born_ms = notice.born_ms;
        let era = Revision::new(notice.revision).era();
        if era > self.era {
            self.era = era;
            self.until = is_same_draining.then(|| now.plus(REWRITE_TIME_MS));
        }
        let is_guarded = is_same_draining && self.until.is_some_and(|it| now < it);
        is_guarded && notice.state == EndpointState::Ready
    }
}
