//! A balancer of the model: its clock, the stamps that it has heard, and the confirmation it holds.

use std::net::Ipv4Addr;

use passthrough::clock_echo::{ClockEcho, ClockMark, HeardStamp, StampClock};
use rand::{Rng as _, rngs::StdRng};
use units::Millis;

use super::{BALANCERS, Mutation};

/// Greatest deviation of a clock's rate, in millionths.
const RATE_DEVIATION_MAX_PPM: i64 = 400;

/// A message between balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Letter {
    pub(super) from: usize,
    pub(super) to: usize,
    stamp: u32,
    /// Stamp and time held, if there is an echo.
    echo: Option<(u32, u16)>,
    age_ms: Option<u64>,
}

impl Letter {
    fn mark(self) -> ClockMark {
        ClockMark {
            stamp: self.stamp,
            echo: self
                .echo
                .map(|(stamp, held_ms)| ClockEcho { stamp, held_ms }),
        }
    }
}

/// A clock that was set and runs on its own.
#[derive(Debug, Clone, Copy)]
struct Clock {
    started_us: u64,
    /// Reading at `started_us`.
    offset_us: u64,
    rate_ppm: i64,
}

impl Clock {
    fn read(self, true_us: u64) -> Millis {
        let passed = i128::from(true_us) - i128::from(self.started_us);
        let scaled = passed * i128::from(1_000_000 + self.rate_ppm) / 1_000_000;
        let reading = i128::from(self.offset_us) + scaled;
        Millis::new(u64::try_from(reading / 1_000).unwrap_or(0))
    }

    /// Returns the earliest true time at which the clock shows `reading`.
    fn true_us(self, reading: Millis) -> u64 {
        let scaled = i128::from(reading.get()) * 1_000 - i128::from(self.offset_us);
        let passed = scaled * 1_000_000 / i128::from(1_000_000 + self.rate_ppm);
        u64::try_from(i128::from(self.started_us) + passed).unwrap_or(0)
    }
}

/// A balancer with what it knows of others.
#[derive(Debug)]
pub(super) struct Balancer {
    number: usize,
    clock: Clock,
    stamps: StampClock,
    heard: [Option<HeardStamp>; BALANCERS],
    confirmed_at: Option<Millis>,
}

impl Balancer {
    /// Starts a process at a host whose clock is unrelated to that of any other.
    pub(super) fn start(
        number: usize,
        now_us: u64,
        random: &mut StdRng,
        mutation: Mutation,
    ) -> Self {
        // Machines that were booted together show nearly the same.
        let offset_us = if random.random_bool(0.5) {
            100_000_000 + random.random_range(0..30_000_000)
        } else {
            random.random_range(10_000_000..10_000_000_000_000)
        };
        let clock = Clock {
            started_us: now_us,
            offset_us,
            rate_ppm: random.random_range(-RATE_DEVIATION_MAX_PPM..=RATE_DEVIATION_MAX_PPM),
        };
        let (address, started) = match mutation {
            Mutation::ReuseStamps => (0, Millis::new(0)),
            _ => (u8::try_from(number).unwrap_or(0), clock.read(now_us)),
        };
        Self {
            number,
            clock,
            stamps: StampClock::new(Ipv4Addr::new(10, 0, 0, address), started),
            heard: [None; BALANCERS],
            confirmed_at: None,
        }
    }

    pub(super) fn on_store_answer(&mut self, now_us: u64) {
        self.confirmed_at = self.confirmed_at.max(Some(self.clock.read(now_us)));
    }

    pub(super) fn compose(&self, now_us: u64, to: usize) -> Letter {
        let now = self.clock.read(now_us);
        let echo = self.heard[to].and_then(|it| it.echo(now));
        Letter {
            from: self.number,
            to,
            stamp: self.stamps.stamp(now),
            echo: echo.map(|it| (it.stamp, it.held_ms)),
            age_ms: self.confirmed_at.map(|it| now.since(it).get()),
        }
    }

    /// Handles a message, and returns whether its confirmation was adopted.
    ///
    /// The process last read its clock at `clock_read_us` before it took the message.
    pub(super) fn on_letter(
        &mut self,
        now_us: u64,
        clock_read_us: u64,
        letter: Letter,
        mutation: Mutation,
    ) -> bool {
        let now = self.clock.read(now_us);
        let recorded_at = match mutation {
            Mutation::RecordStampEarly => self.clock.read(clock_read_us),
            _ => now,
        };
        let mark = letter.mark();
        let heard = HeardStamp::new(mark.stamp, recorded_at);
        let latest = &mut self.heard[letter.from];
        if latest.is_none_or(|it| !heard.is_overtaken_by(it)) {
            *latest = Some(heard);
        }
        let at = letter
            .age_ms
            .map(Millis::new)
            .and_then(|age| match mutation {
                Mutation::DateByReceipt => now.get().checked_sub(age.get()).map(Millis::new),
                Mutation::TrustClockRates => self.happened_at_equal_rates(now, age, mark.echo),
                _ => self.stamps.happened_after(now, age, mark.echo),
            });
        let is_younger = at > self.confirmed_at;
        if is_younger {
            self.confirmed_at = at;
        }
        is_younger
    }

    fn happened_at_equal_rates(
        &self,
        now: Millis,
        age: Millis,
        echo: Option<ClockEcho>,
    ) -> Option<Millis> {
        self.stamps.composed_after(now, echo)?;
        let echo = echo?;
        let issued_ago = u64::from(self.stamps.stamp(now).wrapping_sub(echo.stamp));
        let way_ms = issued_ago.saturating_sub(u64::from(echo.held_ms));
        now.get().checked_sub(way_ms + age.get()).map(Millis::new)
    }

    /// Returns the earliest true time at which the confirmation that the balancer holds can have been
    /// given.
    pub(super) fn confirmed_true_us(&self) -> Option<u64> {
        self.confirmed_at.map(|it| self.clock.true_us(it))
    }
}
