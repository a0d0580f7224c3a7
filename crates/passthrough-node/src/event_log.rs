//! Structured log lines on standard output, one JSON object each.
//!
//! The volume is bounded for each kind of line, and a reader that doesn't keep up loses lines, never
//! holds the process up. What is left out is counted, and the count is logged.

use std::{
    io,
    os::fd::AsFd,
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use passthrough::{Event, EventKind};
use rustix::{
    fs::{OFlags, fcntl_getfl, fcntl_setfl},
    io::Errno,
    stdio::stdout,
};
use serde::Serialize;
use units::Millis;

use crate::clock;

/// Bytes that wait for the reader of standard output at most; what is above is dropped.
const PENDING_MAX_BYTES: usize = 32 * 1024;

/// Bytes that are written without waiting for the next look at the clock.
const FLUSH_BYTES: usize = 2 * 1024;

/// Kinds of lines that are limited separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// An ordinary decision about one flow.
    Ordinary,
    /// Something went wrong with one flow.
    Failure,
    /// A change of what the process believes, or of its life.
    StateChange,
}

impl LineKind {
    /// Lines of this kind a second at most.
    ///
    /// Ordinary lines are a sample. Failures are kept up to what an engineer can still read; at
    /// about 10 microseconds a line all kinds together stay below a thousandth of a core.
    const fn per_second(self) -> u32 {
        match self {
            Self::Ordinary => 4,
            Self::Failure => 40,
            Self::StateChange => 60,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Failure => "failure",
            Self::StateChange => "belief",
        }
    }
}

impl From<EventKind> for LineKind {
    fn from(kind: EventKind) -> Self {
        match kind {
            EventKind::Ordinary => Self::Ordinary,
            EventKind::Failure => Self::Failure,
            EventKind::StateChange => Self::StateChange,
        }
    }
}

const KINDS: [LineKind; 3] = [LineKind::Ordinary, LineKind::Failure, LineKind::StateChange];

/// What every line begins with.
#[derive(Serialize)]
struct Record<'a, T> {
    /// Time of day in milliseconds since the Unix epoch; it may jump.
    time_ms: u64,
    /// Time since the machine started, which only grows.
    uptime_ms: u64,
    instance: &'a str,
    #[serde(flatten)]
    body: &'a T,
}

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LogEvent {
    LinesSuppressed { kind: &'static str, count: u64 },
    LinesLost { count: u64 },
}

#[derive(Debug)]
struct State {
    instance: String,
    pending: Vec<u8>,
    second: u64,
    /// Lines written in this second, in the order of `KINDS`.
    written: [u32; KINDS.len()],
    suppressed: [u64; KINDS.len()],
    /// Lines that did not fit between the process and its reader.
    lost: u64,
}

/// The log of a process; clones write to the same one.
#[derive(Debug, Clone)]
pub struct EventLog(Arc<Mutex<State>>);

impl EventLog {
    /// Starts a log to standard output, which is made non-blocking.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        if let Err(err) = make_nonblocking() {
            // Lines are still written; a stuck reader could then hold the process up.
            eprintln!("lovagehall: standard output can't be made non-blocking: {err}");
        }
        Self(Arc::new(Mutex::new(State {
            instance: instance.to_owned(),
            pending: Vec::new(),
            second: 0,
            written: [0; KINDS.len()],
            suppressed: [0; KINDS.len()],
            lost: 0,
        })))
    }

    /// Writes a decision or change of belief.
    pub fn write_event(&self, event: &Event) {
        self.write(event.kind().into(), event);
    }

    /// Writes a line, unless there are too many of its kind.
    pub fn write<T: Serialize>(&self, line: LineKind, body: &T) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.write(clock::now(), line, body);
    }

    /// Hands what waits to the reader of standard output.
    pub fn flush(&self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.begin_second(clock::now());
        state.flush();
    }
}

impl State {
    fn write<T: Serialize>(&mut self, now: Millis, line: LineKind, body: &T) {
        self.begin_second(now);
        let kind = line as usize;
        if self.written[kind] >= line.per_second() {
            self.suppressed[kind] += 1;
            return;
        }
        self.written[kind] += 1;
        self.append(now, body);
        if self.pending.len() >= FLUSH_BYTES {
            self.flush();
        }
    }

    /// Starts counting anew in a new second, and says what was left out in the last one.
    fn begin_second(&mut self, now: Millis) {
        let second = now.get() / 1_000;
        if second == self.second {
            return;
        }
        self.second = second;
        self.written = [0; KINDS.len()];
        for kind in KINDS {
            let count = std::mem::take(&mut self.suppressed[kind as usize]);
            if count > 0 {
                let kind = kind.name();
                self.append(now, &LogEvent::LinesSuppressed { kind, count });
            }
        }
        if self.lost > 0 && self.pending.is_empty() {
            let count = std::mem::take(&mut self.lost);
            self.append(now, &LogEvent::LinesLost { count });
        }
    }

    fn append<T: Serialize>(&mut self, now: Millis, body: &T) {
        if self.pending.len() >= PENDING_MAX_BYTES {
            self.lost += 1;
            return;
        }
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let record = Record {
            time_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            uptime_ms: now.get(),
            instance: &self.instance,
            body,
        };
        let before = self.pending.len();
        if serde_json::to_writer(&mut self.pending, &record).is_err() {
            self.pending.truncate(before);
            self.lost += 1;
            return;
        }
        self.pending.push(b'\n');
    }

    fn flush(&mut self) {
        while !self.pending.is_empty() {
            match rustix::io::write(stdout(), &self.pending) {
                Ok(0) | Err(Errno::AGAIN) => return,
                Ok(len) => drop(self.pending.drain(..len)),
                Err(Errno::INTR) => {}
                Err(_closed) => {
                    // Nobody reads: there is no place left to say so.
                    self.pending.clear();
                    return;
                }
            }
        }
    }
}

fn make_nonblocking() -> io::Result<()> {
    let stdout = stdout();
    let flags = fcntl_getfl(stdout.as_fd())?;
    fcntl_setfl(stdout.as_fd(), flags | OFlags::NONBLOCK)?;
    Ok(())
}
