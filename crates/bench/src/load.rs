//! Load of both users: what callers ask, what came of it, and the counts.

mod caller_loop;
mod fifo;
mod open_loop;
mod outcome;
mod purchases;
mod tally;
mod work;

pub(crate) use self::{
    caller_loop::{CallerLoop, Pace},
    fifo::fifo,
    open_loop::{Arrival, Finished, OpenLoop, poisson},
    outcome::{Outcome, classify},
    purchases::KeyedRequest,
    tally::Tally,
    work::{WORKS, Work},
};
