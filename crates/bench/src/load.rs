//! Load of both users: what callers ask, what came of it, and the counts.

mod caller_loop;
mod outcome;
mod purchases;
mod tally;
mod work;

pub(crate) use self::{
    caller_loop::{CallerLoop, Pace},
    outcome::{Outcome, classify},
    purchases::{KeyedRequest, RetryPolicy},
    tally::{Tally, TallyRow},
    work::{WORKS, Work},
};
