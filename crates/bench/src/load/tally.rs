//! Outcome counts and latencies of one kind of request.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::Outcome;

/// Upper bound of recorded latencies, in microseconds; longer latencies count as this value.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Number of significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Outcome counts of all requests of one kind, and latencies of their complete responses.
#[derive(Debug, Clone)]
pub(crate) struct Tally {
    latency_us: Histogram<u64>,
    pub(crate) requests: u64,
    pub(crate) complete: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) timeouts: u64,
    pub(crate) broken_flows: u64,
    pub(crate) wrong_responses: u64,
    pub(crate) reconnects: u64,
    /// The first few distinct error texts of lost connections and wrong responses.
    pub(crate) samples: Vec<String>,
}

impl Tally {
    /// Creates an empty tally.
    pub(crate) fn new() -> Self {
        let latency_us = Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS)
            .expect("the bounds of the histogram are valid");
        Self {
            latency_us,
            requests: 0,
            complete: 0,
            not_run: 0,
            unknown: 0,
            timeouts: 0,
            broken_flows: 0,
            wrong_responses: 0,
            reconnects: 0,
            samples: Vec::new(),
        }
    }

    /// Records the outcome and the latency of a call.
    pub(crate) fn record_outcome(&mut self, outcome: &Outcome, latency: Duration) {
        self.requests += 1;
        match outcome {
            Outcome::Complete => {
                self.complete += 1;
                let latency_us = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
                self.latency_us.saturating_record(latency_us);
            }
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Timeout => self.timeouts += 1,
            Outcome::ConnectionLost(reason) => {
                self.broken_flows += 1;
                self.add_sample(reason);
            }
            Outcome::WrongResponse(what) => {
                self.wrong_responses += 1;
                self.add_sample(what);
            }
        }
    }

    /// Adds the counts, latencies and error texts of another tally to this one.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.latency_us
            .add(&other.latency_us)
            .expect("both histograms have the same bounds");
        self.requests += other.requests;
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.timeouts += other.timeouts;
        self.broken_flows += other.broken_flows;
        self.wrong_responses += other.wrong_responses;
        self.reconnects += other.reconnects;
        for it in &other.samples {
            self.add_sample(it);
        }
    }

    /// Returns a quantile of the latencies of complete responses, in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies stay far below 2^52 us"
    )]
    pub(crate) fn latency_quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    fn add_sample(&mut self, text: &str) {
        const SAMPLES_MAX: usize = 5;
        let is_known = self.samples.iter().any(|it| it == text);
        if self.samples.len() < SAMPLES_MAX && !is_known {
            self.samples.push(text.to_owned());
        }
    }
}
