//! Behavior of an upstream, which can be changed while the upstream runs.

use units::Millis;

/// Running times, responses and faults of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Behavior {
    /// Running time of a request whose headers set no running time.
    pub run_time_ms: Millis,
    /// Size of the response body, in bytes, for a request whose headers set no size.
    pub response_bytes: u64,
    /// Slowdown of requests after the upstream's start.
    pub cold_start: Option<ColdStart>,
    /// Random requests that run many times longer than the others.
    pub stragglers: Option<Stragglers>,
    /// Share of requests that are refused with status 503 before they run, in percent.
    pub shed_percent: u8,
    /// Status code of `/health` responses, independent of the upstream's actual state.
    pub health_status: u16,
    /// Load in `/load` responses, in percent, independent of the upstream's actual load.
    pub load_percent: u8,
    /// Seed of the upstream's random decisions.
    pub seed: u64,
}

/// Slowdown of requests after an upstream's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Time from the upstream's start until requests run at full speed.
    pub warm_after_ms: Millis,
    /// Factor by which requests run longer during the cold start.
    pub slowdown: u32,
}

/// Random requests that run many times longer than the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stragglers {
    /// Share of the requests that run longer, in percent.
    pub share_percent: u8,
    /// Factor by which these requests run longer than others.
    pub slowdown: u32,
}

impl Behavior {
    /// Creates the behavior of a healthy upstream that responds at once with small bodies.
    #[must_use]
    pub fn new() -> Self {
        Self {
            run_time_ms: Millis::new(0),
            response_bytes: 64,
            cold_start: None,
            stragglers: None,
            shed_percent: 0,
            health_status: 200,
            load_percent: 0,
            seed: 1,
        }
    }

    /// Sets the running time of requests whose headers set no running time.
    #[must_use]
    pub fn with_run_time(mut self, run_time_ms: Millis) -> Self {
        self.run_time_ms = run_time_ms;
        self
    }

    /// Sets the size of the response body for requests whose headers set no size.
    #[must_use]
    pub fn with_response_bytes(mut self, response_bytes: u64) -> Self {
        self.response_bytes = response_bytes;
        self
    }

    /// Sets a slowdown of requests after the upstream's start.
    #[must_use]
    pub fn with_cold_start(mut self, cold_start: ColdStart) -> Self {
        self.cold_start = Some(cold_start);
        self
    }

    /// Sets the share and the slowdown of random requests that run many times longer than the
    /// others.
    #[must_use]
    pub fn with_stragglers(mut self, stragglers: Stragglers) -> Self {
        self.stragglers = Some(stragglers);
        self
    }

    /// Sets the share of requests that are refused with status 503 before they run, in percent.
    #[must_use]
    pub fn with_shed_percent(mut self, shed_percent: u8) -> Self {
        self.shed_percent = shed_percent;
        self
    }

    /// Sets the seed of the upstream's random decisions.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns whether load shedding refuses the `nth` request.
    pub(crate) fn sheds_request(&self, nth: u64) -> bool {
        derive_percent(self.seed ^ 0x5eed, nth) < self.shed_percent
    }

    /// Returns the running time of the `nth` request, which starts at `now`. A header of the
    /// request may ask for `requested_ms`.
    pub(crate) fn run_time(&self, now: Millis, nth: u64, requested_ms: Option<Millis>) -> Millis {
        let base_ms = requested_ms.unwrap_or(self.run_time_ms).get();
        let cold_factor = match self.cold_start {
            Some(it) if now < it.warm_after_ms => u64::from(it.slowdown),
            _ => 1,
        };
        let straggler_factor = match self.stragglers {
            Some(it) if derive_percent(self.seed, nth) < it.share_percent => u64::from(it.slowdown),
            _ => 1,
        };
        Millis::new(
            base_ms
                .saturating_mul(cold_factor)
                .saturating_mul(straggler_factor),
        )
    }
}

impl Default for Behavior {
    fn default() -> Self {
        Self::new()
    }
}

/// Derives a number from 0 to 99 from the seed and a request's number.
fn derive_percent(seed: u64, nth: u64) -> u8 {
    let word = (seed ^ nth.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    u8::try_from((word >> 33) % 100).unwrap_or(0)
}
