//! Load of both users' callers: kinds of requests, closed and open loops, outcomes and statistics.

mod closed_loop;
mod fifo;
mod open_loop;
mod outcome;
mod purchases;
mod request_kind;
mod tally;

pub(crate) use self::{
    closed_loop::{ClosedLoopCaller, RateFactor},
    fifo::simulate_fifo,
    open_loop::{Arrival, FinishedRequest, OpenLoop, draw_poisson_times},
    outcome::{Outcome, classify_result},
    purchases::KeyedRequest,
    request_kind::{REQUEST_KINDS, RequestKind},
    tally::Tally,
};
