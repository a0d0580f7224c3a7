//! Structured log lines on standard output, one JSON object each.
//!
//! Each kind of log line has its own rate limit. A reader of standard output that is too slow loses
//! lines, but never blocks the process. Omitted lines are counted, and the counts are logged.

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

/// Size of the output buffer, in bytes, at which further log lines are dropped.
const PENDING_MAX_BYTES: usize = 32 * 1024;

/// Size of the output buffer, in bytes, at which the buffer is flushed before its next periodic
/// flush.
const FLUSH_THRESHOLD_BYTES: usize = 2 * 1024;

/// Kinds of log lines, each with its own rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// A routine decision about one flow.
    Ordinary,
    /// A failure of one flow.
    Failure,
    /// A change in the process's lifecycle or in what the process knows about other instances.
    StateChange,
}

impl LineKind {
    /// Returns the maximum number of log lines of this kind per second.
    ///
    /// Ordinary lines are only a sample. Failures are limited to what an engineer can still read. A
    /// log line costs about 10 microseconds, so all kinds together take about a thousandth of a
    /// core.
    const fn max_lines_per_second(self) -> u32 {
        match self {
            Self::Ordinary => 4,
            Self::Failure => 40,
            Self::StateChange => 60,
        }
    }

    const fn as_str(self) -> &'static str {
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

const LINE_KINDS: [LineKind; 3] = [LineKind::Ordinary, LineKind::Failure, LineKind::StateChange];

/// A log line: the fields that all lines have, followed by the fields of the event.
#[derive(Serialize)]
struct Record<'a, T> {
    /// Wall-clock time in milliseconds since the Unix epoch, which may jump.
    time_ms: u64,
    /// Monotonic time since the machine booted, in milliseconds.
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
struct LogState {
    instance: String,
    pending: Vec<u8>,
    second: u64,
    /// Number of lines of each kind written in the current second, in the order of `LINE_KINDS`.
    written: [u32; LINE_KINDS.len()],
    suppressed: [u64; LINE_KINDS.len()],
    /// Number of log lines dropped because the output buffer was full.
    lost: u64,
}

/// The event log of a process; clones share one output buffer and one set of rate limits.
#[derive(Debug, Clone)]
pub struct EventLog(Arc<Mutex<LogState>>);

impl EventLog {
    /// Creates an event log on standard output, which is made non-blocking.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        if let Err(err) = make_stdout_nonblocking() {
            // Log lines are still written, but a stalled reader could block the process.
            eprintln!("lovagehall: can't make standard output non-blocking: {err}");
        }
        Self(Arc::new(Mutex::new(LogState {
            instance: instance.to_owned(),
            pending: Vec::new(),
            second: 0,
            written: [0; LINE_KINDS.len()],
            suppressed: [0; LINE_KINDS.len()],
            lost: 0,
        })))
    }

    /// Writes a log line for a decision or state change of a balancer or agent.
    pub fn write_event(&self, event: &Event) {
        self.write_line(event.kind().into(), event);
    }

    /// Writes a log line with the fields of `body`, unless the rate limit of the line's kind is
    /// reached.
    pub fn write_line<T: Serialize>(&self, line: LineKind, body: &T) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.write_line(clock::now(), line, body);
    }

    /// Writes the buffered log lines to standard output, as far as writing doesn't block.
    pub fn flush_buffer(&self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.start_new_second(clock::now());
        state.flush_buffer();
    }
}

impl LogState {
    fn write_line<T: Serialize>(&mut self, now: Millis, line: LineKind, body: &T) {
        self.start_new_second(now);
        let kind = line as usize;
        if self.written[kind] >= line.max_lines_per_second() {
            self.suppressed[kind] += 1;
            return;
        }
        self.written[kind] += 1;
        self.append_line(now, body);
        if self.pending.len() >= FLUSH_THRESHOLD_BYTES {
            self.flush_buffer();
        }
    }

    /// Resets the rate limits if a new second has begun, and logs how many lines were omitted
    /// before.
    fn start_new_second(&mut self, now: Millis) {
        let second = now.get() / 1_000;
        if second == self.second {
            return;
        }
        self.second = second;
        self.written = [0; LINE_KINDS.len()];
        for kind in LINE_KINDS {
            let count = std::mem::take(&mut self.suppressed[kind as usize]);
            if count > 0 {
                let kind = kind.as_str();
                self.append_line(now, &LogEvent::LinesSuppressed { kind, count });
            }
        }
        if self.lost > 0 && self.pending.is_empty() {
            let count = std::mem::take(&mut self.lost);
            self.append_line(now, &LogEvent::LinesLost { count });
        }
    }

    fn append_line<T: Serialize>(&mut self, now: Millis, body: &T) {
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

    fn flush_buffer(&mut self) {
        while !self.pending.is_empty() {
            match rustix::io::write(stdout(), &self.pending) {
                Ok(0) | Err(Errno::AGAIN) => return,
                Ok(len) => drop(self.pending.drain(..len)),
                Err(Errno::INTR) => {}
                Err(_closed) => {
                    // Standard output is closed, so the loss can't be logged anywhere.
                    self.pending.clear();
                    return;
                }
            }
        }
    }
}

fn make_stdout_nonblocking() -> io::Result<()> {
    let stdout = stdout();
    let flags = fcntl_getfl(stdout.as_fd())?;
    fcntl_setfl(stdout.as_fd(), flags | OFlags::NONBLOCK)?;
    Ok(())
}
