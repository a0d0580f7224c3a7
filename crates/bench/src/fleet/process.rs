//! A child process of a fleet: its start, signals and exit.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::{BenchError, Result};

/// Time between two checks whether a process has exited.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running `lovagehall` process, which is killed when the value is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    settings_path: PathBuf,
    role: &'static str,
}

impl Process {
    /// Writes a process's settings file and starts the program with these settings.
    pub(crate) fn start(
        program: &Path,
        role: &'static str,
        settings_path: &Path,
        settings_json: &str,
    ) -> Result<Self> {
        fs::write(settings_path, settings_json)
            .map_err(|err| BenchError::setup("writing a settings file", &err))?;
        let child = spawn_logged(program, role, settings_path)?;
        Ok(Self {
            child,
            settings_path: settings_path.to_owned(),
            role,
        })
    }

    /// Starts the program again with the same settings after its process has ended.
    pub(crate) fn restart(&mut self, program: &Path) -> Result<()> {
        self.child = spawn_logged(program, self.role, &self.settings_path)?;
        Ok(())
    }

    /// Returns the id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Requests a graceful stop of the process with SIGTERM.
    pub(crate) fn request_stop(&self) {
        self.send_signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub(crate) fn pause(&self) {
        self.send_signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub(crate) fn resume(&self) {
        self.send_signal(Signal::CONT);
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub(crate) fn kill(&mut self) {
        // An error means that the process has already exited.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits for at most `timeout` until the process exits. Returns whether the exit status is 0,
    /// or `None` if the process still runs.
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

    fn send_signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // An error means that the process has already exited.
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

fn spawn_logged(program: &Path, role: &str, settings_path: &Path) -> Result<Child> {
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
