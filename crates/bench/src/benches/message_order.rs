//! Bench `message-order`: delay of control messages that are retransmitted in order or
//! independently.
//!
//! The delays are computed without I/O. Some messages to one peer are lost, and a lost one is
//! retransmitted at a fixed interval until it is acknowledged. With in-order delivery, a message
//! waits for all earlier ones; with independent delivery, only for its own acknowledgement.

use hdrhistogram::Histogram;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use super::BenchEntry;
use crate::{
    error::{BenchError, Result},
    figure::{Figure, Options},
};

/// Number of messages to one peer for each second of the run's length.
const MESSAGES_PER_SECOND: u64 = 200;

/// Round-trip time between a message and its acknowledgement.
const ROUND_TRIP_US: u64 = 2_000;

/// Time after which an unacknowledged message is retransmitted.
const RETRANSMIT_TIMEOUT_US: u64 = 50_000;

/// Longest delay that the delay histogram records.
const DELAY_MAX_US: u64 = 600_000_000;

/// Shares of messages whose transmission or acknowledgement is lost, in percent.
const LOSSES_PERCENT: [f64; 3] = [0.1, 1.0, 5.0];

/// Registry entry of the bench `message-order`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "message-order",
    about: "control messages retransmitted in order or independently",
    run,
};

/// Computes the message delays of in-order and of independent delivery at each loss rate.
fn run(options: &Options) -> Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for loss_percent in LOSSES_PERCENT {
        let (independent, ordered) = simulate_delivery_delays(options, loss_percent)?;
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            figures.push(Figure {
                bench: "message-order",
                metric: format!("{name} until confirmed, {loss_percent} % lost"),
                unit: "ms",
                ours: millis(independent.value_at_quantile(quantile)),
                baseline: Some(millis(ordered.value_at_quantile(quantile))),
                target: None,
                met: None,
                seed: options.seed,
            });
        }
    }
    Ok(figures)
}

/// Simulates lost messages and returns the delays of independent and of in-order delivery, in
/// microseconds.
fn simulate_delivery_delays(
    options: &Options,
    loss_percent: f64,
) -> Result<(Histogram<u64>, Histogram<u64>)> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut independent = histogram()?;
    let mut ordered = histogram()?;
    let mut sent_us = 0;
    let mut ordered_done_us = 0;
    for _ in 0..options.seconds * MESSAGES_PER_SECOND {
        sent_us += rng.random_range(1..2_000_000 / MESSAGES_PER_SECOND);
        let mut delay_us = ROUND_TRIP_US;
        while rng.random_bool(loss_percent / 100.0) {
            delay_us += RETRANSMIT_TIMEOUT_US;
        }
        ordered_done_us = sent_us.max(ordered_done_us) + delay_us;
        independent.saturating_record(delay_us);
        ordered.saturating_record(ordered_done_us - sent_us);
    }
    Ok((independent, ordered))
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, DELAY_MAX_US, 3)
        .map_err(|err| BenchError::setup("creating a histogram", &err))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "delays stay far below the mantissa's range"
)]
const fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
