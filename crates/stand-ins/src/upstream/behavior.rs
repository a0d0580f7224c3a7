//! How an upstream behaves, changeable while it runs.

use units::Millis;

/// How an upstream behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct Behavior {
    /// Running time of a request that names none.
    pub run_time_ms: Millis,
    /// Size of an answer to a request that names none.
    pub response_bytes: u64,
    /// Slower running after the start.
    pub cold_start: Option<ColdStart>,
    /// Requests that run many times longer than they should.
    pub stragglers: Option<Stragglers>,
    /// Share of requests turned away with 503 before they run, in percent.
    pub shed_percent: u8,
    /// Status that `/health` answers, whatever the truth is.
    pub health_status: u16,
    /// Load that `/load` answers, whatever the truth is, in percent.
    pub load_percent: u8,
    /// Seed of what is drawn at random.
    pub seed: u64,
}

/// Slower running after the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Time until it runs at full speed.
    pub warm_after_ms: Millis,
    /// Factor on running times until then.
    pub slowdown: u32,
}

/// Requests that run many times longer than they should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stragglers {
    /// Share of requests, in percent.
    pub share_percent: u8,
    /// Factor on their running time.
    pub slowdown: u32,
}

impl Behavior {
    /// Creates a healthy upstream with short runs and small answers.
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

    /// Sets the running time of a request that names none.
    #[must_use]
    pub fn with_run_time(mut self, run_time_ms: Millis) -> Self {
        self.run_time_ms = run_time_ms;
        self
    }

    /// Sets the size of an answer to a request that names none.
    #[must_use]
    pub fn with_response_bytes(mut self, response_bytes: u64) -> Self {
        self.response_bytes = response_bytes;
        self
    }

    /// Sets slower running after the start.
    #[must_use]
    pub fn with_cold_start(mut self, cold_start: ColdStart) -> Self {
        self.cold_start = Some(cold_start);
        self
    }

    /// Sets a share of requests that run many times longer.
    #[must_use]
    pub fn with_stragglers(mut self, stragglers: Stragglers) -> Self {
        self.stragglers = Some(stragglers);
        self
    }

    /// Sets the share of requests turned away.
    #[must_use]
    pub fn with_shed_percent(mut self, shed_percent: u8) -> Self {
        self.shed_percent = shed_percent;
        self
    }

    /// Sets the seed of what is drawn at random.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns whether the `nth` request is turned away.
    pub(crate) fn sheds(&self, nth: u64) -> bool {
        percent(self.seed ^ 0x5eed, nth) < self.shed_percent
    }

    /// Returns how long the `nth` request runs at `now`, if it asks for `asked_ms`.
    pub(crate) fn run_time(&self, now: Millis, nth: u64, asked_ms: Option<Millis>) -> Millis {
        let base_ms = asked_ms.unwrap_or(self.run_time_ms).get();
        let cold = match self.cold_start {
            Some(it) if now < it.warm_after_ms => u64::from(it.slowdown),
            _ => 1,
        };
        let straggling = match self.stragglers {
            Some(it) if percent(self.seed, nth) < it.share_percent => u64::from(it.slowdown),
            _ => 1,
        };
        Millis::new(base_ms.saturating_mul(cold).saturating_mul(straggling))
    }
}

impl Default for Behavior {
    fn default() -> Self {
        Self::new()
    }
}

/// Draws 0 to 99 from the seed and the request's number.
fn percent(seed: u64, nth: u64) -> u8 {
    let word = (seed ^ nth.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    u8::try_from((word >> 33) % 100).unwrap_or(0)
}
