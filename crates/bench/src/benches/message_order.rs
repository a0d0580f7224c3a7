//! Control messages sent again in order or each on its own.
//!
//! A computation without I/O: messages to one peer, some lost, sent again at an interval until
//! confirmed. In order, a message waits for all before it; on its own it waits only for itself.

use hdrhistogram::Histogram;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use super::Entry;
use crate::{
    error::{BenchError, Result},
    figure::{Figure, Options},
};

/// Messages to one peer for each length of the run's second.
const MESSAGES_PER_SECOND: u64 = 200;

/// Time between a message and its confirmation.
const ROUND_TRIP_US: u64 = 2_000;

/// Time after which an unconfirmed message is sent again.
const RESEND_US: u64 = 50_000;

/// Longest delay told apart.
const DELAY_MAX_US: u64 = 600_000_000;

/// Shares of messages or confirmations lost, in percent.
const LOSSES_PERCENT: [f64; 3] = [0.1, 1.0, 5.0];

/// The bench.
pub(super) const BENCH: Entry = Entry {
    name: "message-order",
    about: "control messages sent again in order or each on its own",
    run,
};

/// Computes both orders for each loss.
fn run(options: &Options) -> Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for loss_percent in LOSSES_PERCENT {
        let (own, ordered) = compute(options, loss_percent)?;
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            figures.push(Figure {
                bench: "message-order",
                metric: format!("{name} until confirmed, {loss_percent} % lost"),
                unit: "ms",
                ours: millis(own.value_at_quantile(quantile)),
                baseline: Some(millis(ordered.value_at_quantile(quantile))),
                target: None,
                met: None,
                seed: options.seed,
            });
        }
    }
    Ok(figures)
}

/// Returns the delays on their own and in order, in microseconds.
fn compute(options: &Options, loss_percent: f64) -> Result<(Histogram<u64>, Histogram<u64>)> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut own = histogram()?;
    let mut ordered = histogram()?;
    let mut sent_us = 0;
    let mut line_free_us = 0;
    for _ in 0..options.seconds * MESSAGES_PER_SECOND {
        sent_us += rng.random_range(1..2_000_000 / MESSAGES_PER_SECOND);
        let mut takes_us = ROUND_TRIP_US;
        while rng.random_bool(loss_percent / 100.0) {
            takes_us += RESEND_US;
        }
        line_free_us = sent_us.max(line_free_us) + takes_us;
        own.saturating_record(takes_us);
        ordered.saturating_record(line_free_us - sent_us);
    }
    Ok((own, ordered))
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, DELAY_MAX_US, 3)
        .map_err(|err| BenchError::setup("making a histogram", &err))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "delays stay far below the mantissa's range"
)]
const fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
