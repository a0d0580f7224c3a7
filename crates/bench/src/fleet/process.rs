//! One process of the fleet: start, signals, end.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::{BenchError, Result};

/// How often a wait looks whether the process has ended.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running `lovagehall` process; killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    settings_path: PathBuf,
    role: &'static str,
}

impl Process {
    /// Writes the settings file and starts the program on it.
    pub(crate) fn start(
        program: &Path,
        role: &'static str,
        settings_path: &Path,
        settings_json: &str,
    ) -> Result<Self> {
        fs::write(settings_path, settings_json)
            .map_err(|err| BenchError::setup("writing a settings file", &err))?;
        let child = spawn(program, role, settings_path)?;
        Ok(Self {
            child,
            settings_path: settings_path.to_owned(),
            role,
        })
    }

    /// Starts the program again on the same settings, after it ended.
    pub(crate) fn restart(&mut self, program: &Path) -> Result<()> {
        self.child = spawn(program, self.role, &self.settings_path)?;
        Ok(())
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks for a graceful stop.
    pub(crate) fn request_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes the process.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process at once and waits for its end.
    pub(crate) fn kill(&mut self) {
        // An error means that it has ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits until the process has ended, at most `timeout`; returns whether it ended well.
    pub(crate) async fn wait_for_exit(&mut self, timeout: Duration) -> Option<bool> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
        None
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // An error means that it has ended already.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

fn spawn(program: &Path, role: &str, settings_path: &Path) -> Result<Child> {
    let log_path = settings_path.with_extension("log");
    let log = File::options()
        .create(true)
        .append(true)
        .open(&log_path)
        .map_err(|err| BenchError::setup("opening a log file", &err))?;
    Command::new(program)
        .arg(role)
        .arg(settings_path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .map_err(|err| BenchError::setup("starting lovagehall", &err))
}
