//! Decaying histogram of observed running times, with quantiles.

use units::Millis;

/// Number of histogram buckets: four for each doubling; the last starts at about two minutes.
const BUCKETS: usize = 68;

/// Number of samples at which all counts are halved, so that old samples lose weight.
const DECAY_SAMPLES: u32 = 512;

/// Minimum number of samples from which running times are estimated.
const SAMPLES_MIN: u32 = 16;

/// Observed running times of one route or class.
#[derive(Debug, Clone)]
pub struct RunningTimes {
    /// Number of samples in each bucket.
    counts: [u32; BUCKETS],
    /// Sum of `counts`; below [`DECAY_SAMPLES`] after each call of [`Self::record`].
    total: u32,
}

impl Default for RunningTimes {
    fn default() -> Self {
        Self::new()
    }
}

impl RunningTimes {
    /// Creates an empty histogram of running times.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Adds the running time of a finished request to the histogram.
    ///
    /// # Panics
    ///
    /// Panics if the total isn't the sum of the counts, which would be a bug.
    pub fn record(&mut self, running_ms: Millis) {
        self.counts[bucket_of_running_time(running_ms)] += 1;
        self.total += 1;
        if self.total >= DECAY_SAMPLES {
            self.halve_counts();
        }
        assert_eq!(
            self.total,
            self.counts.iter().sum::<u32>(),
            "histogram total is the sum of its counts"
        );
    }

    /// Returns the running time that `permille` of the samples don't exceed, or `None` while there
    /// are fewer than `SAMPLES_MIN` samples.
    #[must_use]
    pub fn quantile_ms(&self, permille: u32) -> Option<Millis> {
        if self.total < SAMPLES_MIN {
            return None;
        }
        let rank = (self.total * permille).div_ceil(1000).max(1);
        let mut seen = 0;
        for (idx, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return Some(bucket_upper_edge_ms(idx));
            }
        }
        Some(bucket_upper_edge_ms(BUCKETS - 1))
    }

    /// Returns the mean of the running times up to `cap_ms`, each counted at the upper edge of its
    /// histogram bucket, or `None` if there are too few samples.
    #[must_use]
    pub fn mean_up_to_ms(&self, cap_ms: Millis) -> Option<Millis> {
        if self.total < SAMPLES_MIN {
            return None;
        }
        let (mut count, mut sum_ms) = (0_u64, 0_u64);
        for (idx, it) in self.counts.iter().enumerate() {
            if bucket_upper_edge_ms(idx) > cap_ms {
                break;
            }
            count += u64::from(*it);
            sum_ms += u64::from(*it) * bucket_upper_edge_ms(idx).get();
        }
        (count > 0).then(|| Millis::new(sum_ms.div_ceil(count)))
    }

    fn halve_counts(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

/// Returns the index of the histogram bucket of a running time.
///
/// Below 4 ms, the index is the time itself; above, the index is made of the position of the
/// highest bit and the two bits below it.
fn bucket_of_running_time(running_ms: Millis) -> usize {
    let raw = running_ms.get();
    if raw < 4 {
        return usize::try_from(raw).unwrap_or(0);
    }
    let high = raw.ilog2();
    let next_two = (raw >> (high - 2)) & 3;
    let idx = u64::from(high - 1) * 4 + next_two;
    usize::try_from(idx).map_or(BUCKETS - 1, |it| it.min(BUCKETS - 1))
}

/// Returns the largest running time that falls into a histogram bucket.
fn bucket_upper_edge_ms(bucket: usize) -> Millis {
    let bucket = u64::try_from(bucket).unwrap_or(u64::MAX);
    if bucket < 4 {
        return Millis::new(bucket);
    }
    let shift = bucket / 4 - 1;
    Millis::new(((4 + bucket % 4 + 1) << shift) - 1)
}
