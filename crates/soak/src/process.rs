//! Balancer and agent processes under test: their start, signals, health and logs.

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

use crate::report::RunReport;

/// Limit for the anonymous resident memory of one process under test.
const MEMORY_MAX_KB: u64 = 24 * 1_024;

/// Time from a process's start until it handles signals. An earlier signal ends the process, as
/// with any program that is still being loaded, which is no fault; seeds 112, 122 and 132 found
/// this.
const LOADING_TIME: Duration = Duration::from_millis(200);

/// Longest time in which a process must exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// One process under test, which is restarted after each fault that ends it.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    program: PathBuf,
    role: &'static str,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    started: Instant,
    report: Arc<RunReport>,
}

impl Process {
    /// Writes a process's settings file and starts the process.
    pub(crate) fn start(
        program: &Path,
        folder: &Path,
        role: &'static str,
        (name, settings): (String, &Value),
        report: &Arc<RunReport>,
    ) -> io::Result<Self> {
        let mut process = Self {
            program: program.to_owned(),
            role,
            settings_path: folder.join(format!("{name}.json")),
            log_path: folder.join(format!("{name}.log")),
            name,
            child: None,
            started: Instant::now(),
            report: Arc::clone(report),
        };
        process.write_settings(&settings.to_string())?;
        process.start_if_stopped()?;
        Ok(process)
    }

    /// Replaces the process's settings file atomically.
    pub(crate) fn write_settings(&self, text: &str) -> io::Result<()> {
        let next = self.settings_path.with_extension("next");
        fs::write(&next, text)?;
        fs::rename(next, &self.settings_path)
    }

    /// Waits until the process is loaded: it then handles signals and has read its settings.
    pub(crate) async fn wait_until_loaded(&self) {
        tokio::time::sleep(LOADING_TIME.saturating_sub(self.started.elapsed())).await;
    }

    pub(crate) fn read_settings(&self) -> io::Result<String> {
        fs::read_to_string(&self.settings_path)
    }

    /// Starts the process under test unless it is already running.
    pub(crate) fn start_if_stopped(&mut self) -> io::Result<()> {
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
            let (report, name) = (Arc::clone(&self.report), self.name.clone());
            thread::spawn(move || record_log_lines(BufReader::new(stdout), log, &report, &name));
        }
        self.child = Some(child);
        self.started = Instant::now();
        Ok(())
    }

    /// Waits until the process is loaded, then makes it reload its settings with SIGHUP.
    pub(crate) async fn reload_settings(&self) {
        self.wait_until_loaded().await;
        self.send_signal(Signal::HUP);
    }

    pub(crate) fn send_signal(&self, signal: Signal) {
        let Some(pid) = self
            .child
            .as_ref()
            .and_then(|it| Pid::from_raw(it.id().cast_signed()))
        else {
            return;
        };
        // The signal fails if the process has exited, which the next health check reports.
        let _ended = kill_process(pid, signal);
    }

    /// Ends the process with SIGKILL and waits for its exit.
    pub(crate) fn kill(&mut self) {
        self.send_signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _status = child.wait();
        }
    }

    /// Stops the process with SIGTERM and waits until it exits.
    pub(crate) async fn terminate(&mut self) {
        self.wait_until_loaded().await;
        // The process is resumed in case it is paused. Otherwise it would handle SIGTERM only after
        // the pause; seeds 134 and 144 found this.
        self.send_signal(Signal::CONT);
        self.send_signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return;
        };
        let end = tokio::time::Instant::now() + STOP_TIMEOUT;
        loop {
            match child.try_wait() {
                Ok(Some(status)) if status.success() => return,
                Ok(Some(status)) => {
                    self.report.record_violation(format!(
                        "{} exited with {status} after SIGTERM",
                        self.name
                    ));
                    return;
                }
                Ok(None) if tokio::time::Instant::now() < end => {}
                Ok(None) | Err(_) => {
                    self.report.record_violation(format!(
                        "{} did not exit within 6 s after SIGTERM",
                        self.name
                    ));
                    let _ended = child.kill();
                    let _status = child.wait();
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Checks that the process hasn't exited by itself and that its memory is within the limit.
    pub(crate) fn check_health(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        if let Ok(Some(status)) = child.try_wait() {
            self.report
                .record_violation(format!("{} exited by itself with {status}", self.name));
            self.child = None;
            return;
        }
        let path = format!("/proc/{}/status", child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("RssAnon:"));
        let used_kb = line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok());
        if used_kb.is_some_and(|it| it > MEMORY_MAX_KB) {
            self.report.record_violation(format!(
                "{} uses {used_kb:?} KB of memory, more than {MEMORY_MAX_KB} KB",
                self.name
            ));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process is resumed in case it is paused, so that it can exit.
        self.send_signal(Signal::CONT);
        self.kill();
    }
}

/// Writes a process's output to its log file and checks that each line is a JSON event.
fn record_log_lines(lines: impl io::BufRead, mut log: fs::File, report: &RunReport, name: &str) {
    for line in lines.lines().map_while(Result::ok) {
        report.log_lines.fetch_add(1, Ordering::Relaxed);
        let is_event = serde_json::from_str::<Value>(&line)
            .is_ok_and(|it| it.get("event").is_some() && it.get("instance").is_some());
        // The last line that a killed process wrote may be incomplete.
        if !is_event && line.ends_with('}') {
            report.record_violation(format!(
                "{name} logged a line that is not a JSON event: {line}"
            ));
        }
        if writeln!(log, "{line}").is_err() {
            return;
        }
    }
}
