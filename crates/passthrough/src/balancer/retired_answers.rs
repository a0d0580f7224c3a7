//! Lists of retired endpoints that other balancers have asked for.
//!
//! They are sent at the pace of catalog transfers, so that several balancers that start at once don't
//! take the link from callers' packets.

use std::{collections::VecDeque, net::Ipv4Addr, sync::Arc};

use crate::{Endpoint, catalog_transfer::RETIRED_PER_MESSAGE, catalog_view::RETIRED_MAX};

/// Maximum number of answers that wait. A balancer whose question is dropped asks another one.
const ANSWERS_MAX: usize = 64;

/// An answer to one balancer.
#[derive(Debug)]
struct Answer {
    peer: Ipv4Addr,
    list: Arc<Vec<Endpoint>>,
    /// Number of endpoints that were sent.
    sent: usize,
}

/// A part of an answer, for one message.
#[derive(Debug)]
pub(super) struct AnswerPart<'a> {
    pub(super) peer: Ipv4Addr,
    pub(super) endpoints: &'a [Endpoint],
}

/// Answers that are not sent completely yet.
#[derive(Debug, Default)]
pub(super) struct RetiredAnswers {
    /// Answers in the order of the questions; at most `ANSWERS_MAX`.
    queue: VecDeque<Answer>,
    /// The list of the latest answer, which later ones share if nothing has changed.
    latest: Arc<Vec<Endpoint>>,
    dropped: u64,
}

impl RetiredAnswers {
    /// Queues an answer, in place of an unfinished earlier one to the same balancer.
    ///
    /// An answer has one endpoint more than its receiver keeps at most, so that the receiver notices
    /// that it isn't told all.
    pub(super) fn push_answer(&mut self, peer: Ipv4Addr, retired: &[Endpoint]) {
        self.queue.retain(|it| it.peer != peer);
        if self.queue.len() >= ANSWERS_MAX {
            self.dropped += 1;
            return;
        }
        let retired = &retired[..retired.len().min(RETIRED_MAX + 1)];
        if self.latest.as_slice() != retired {
            self.latest = Arc::new(retired.to_vec());
        }
        self.queue.push_back(Answer {
            peer,
            list: Arc::clone(&self.latest),
            sent: 0,
        });
    }

    /// Returns the part that is sent next.
    pub(super) fn next_part(&self) -> Option<AnswerPart<'_>> {
        let first = self.queue.front()?;
        let rest = &first.list[first.sent..];
        Some(AnswerPart {
            peer: first.peer,
            endpoints: &rest[..rest.len().min(RETIRED_PER_MESSAGE)],
        })
    }

    /// Records that the next part was sent. Returns the number of endpoints of the answer if that was
    /// its last part.
    pub(super) fn advance(&mut self) -> Option<u16> {
        let first = self.queue.front_mut()?;
        first.sent = (first.sent + RETIRED_PER_MESSAGE).min(first.list.len());
        if first.sent < first.list.len() {
            return None;
        }
        let count = u16::try_from(first.list.len()).unwrap_or(u16::MAX);
        self.queue.pop_front();
        if self.queue.is_empty() {
            self.latest = Arc::default();
        }
        Some(count)
    }

    /// Returns how many answers were dropped because too many waited.
    pub(super) const fn dropped_count(&self) -> u64 {
        self.dropped
    }
}
