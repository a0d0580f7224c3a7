//! The processes under test.

use std::{
    fs, io,
    io::{BufReader, Write as _},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::ledger::Ledger;

/// Resident memory of one process at most.
const MEMORY_MAX_KB: u64 = 24 * 1_024;

/// Time after which a process has begun to handle signals; before, a signal may end it as any program
/// that is being loaded, and nothing is lost with it.
const LOADED_AFTER: Duration = Duration::from_millis(200);

/// Longest time that a process may take to end after the stop signal.
const STOP_BOUND: Duration = Duration::from_secs(6);

/// One process, started anew as often as a fault ends it.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    program: PathBuf,
    role: &'static str,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    started: Instant,
    ledger: Arc<Ledger>,
}

impl Process {
    /// Writes the settings and starts the process.
    pub(crate) fn start(
        program: &Path,
        folder: &Path,
        role: &'static str,
        (name, settings): (String, &Value),
        ledger: &Arc<Ledger>,
    ) -> io::Result<Self> {
        let mut process = Self {
            program: program.to_owned(),
            role,
            settings_path: folder.join(format!("{name}.json")),
            log_path: folder.join(format!("{name}.log")),
            name,
            child: None,
            started: Instant::now(),
            ledger: Arc::clone(ledger),
        };
        process.write_settings(&settings.to_string())?;
        process.start_again()?;
        Ok(process)
    }

    /// Replaces the settings file as a whole.
    pub(crate) fn write_settings(&self, text: &str) -> io::Result<()> {
        let next = self.settings_path.with_extension("next");
        fs::write(&next, text)?;
        fs::rename(next, &self.settings_path)
    }

    /// Waits until the process handles signals and has read its settings.
    pub(crate) async fn loaded(&self) {
        tokio::time::sleep(LOADED_AFTER.saturating_sub(self.started.elapsed())).await;
    }

    pub(crate) fn settings(&self) -> io::Result<String> {
        fs::read_to_string(&self.settings_path)
    }

    /// Starts the process unless it runs.
    pub(crate) fn start_again(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let mut child = Command::new(&self.program)
            .arg(self.role)
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        if let Some(stdout) = child.stdout.take() {
            let log = fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(&self.log_path)?;
            let (ledger, name) = (Arc::clone(&self.ledger), self.name.clone());
            thread::spawn(move || keep_lines(BufReader::new(stdout), log, &ledger, &name));
        }
        self.child = Some(child);
        self.started = Instant::now();
        Ok(())
    }

    /// Asks the process to read its settings again, once it is loaded.
    pub(crate) async fn reload(&self) {
        self.loaded().await;
        self.signal(Signal::HUP);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let Some(pid) = self
            .child
            .as_ref()
            .and_then(|it| Pid::from_raw(it.id().cast_signed()))
        else {
            return;
        };
        // The process may have ended; the next look at it says so.
        let _ended = kill_process(pid, signal);
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _status = child.wait();
        }
    }

    /// Asks the process to stop and waits until it has.
    pub(crate) async fn terminate(&mut self) {
        self.loaded().await;
        // A paused process would take the signal only when its pause ends.
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return;
        };
        let end = tokio::time::Instant::now() + STOP_BOUND;
        loop {
            match child.try_wait() {
                Ok(Some(status)) if status.success() => return,
                Ok(Some(status)) => {
                    self.ledger
                        .broken(format!("{} ended with {status} when stopped", self.name));
                    return;
                }
                Ok(None) if tokio::time::Instant::now() < end => {}
                Ok(None) | Err(_) => {
                    self.ledger
                        .broken(format!("{} did not stop within 6 s", self.name));
                    let _ended = child.kill();
                    let _status = child.wait();
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Checks that the process runs, and how much memory it uses.
    pub(crate) fn check(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        if let Ok(Some(status)) = child.try_wait() {
            self.ledger
                .broken(format!("{} ended by itself with {status}", self.name));
            self.child = None;
            return;
        }
        let path = format!("/proc/{}/status", child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("RssAnon:"));
        let used_kb = line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok());
        if used_kb.is_some_and(|it| it > MEMORY_MAX_KB) {
            self.ledger
                .broken(format!("{} uses {used_kb:?} KB of memory", self.name));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A paused process must go on to end.
        self.signal(Signal::CONT);
        self.kill();
    }
}

/// Keeps the lines and checks that each is a JSON object with an event.
fn keep_lines(lines: impl io::BufRead, mut log: fs::File, ledger: &Ledger, name: &str) {
    for line in lines.lines().map_while(Result::ok) {
        ledger.log_lines.fetch_add(1, Ordering::Relaxed);
        let is_event = serde_json::from_str::<Value>(&line)
            .is_ok_and(|it| it.get("event").is_some() && it.get("instance").is_some());
        // A process that is killed may leave half a line, which then is its last.
        if !is_event && line.ends_with('}') {
            ledger.broken(format!("{name} logged a line that is no event: {line}"));
        }
        if writeln!(log, "{line}").is_err() {
            return;
        }
    }
}
