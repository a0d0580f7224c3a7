//! Settings files that are reloaded while a process runs.

use std::{fs, path::PathBuf, time::SystemTime};

use serde::{Serialize, de::DeserializeOwned};
use settings::Validate;
use units::Millis;

use crate::{EventLog, LineKind};

/// Interval at which a settings file's modification time is checked, since the file may change
/// without a signal.
const CHECK_INTERVAL_MS: Millis = Millis::new(2_000);

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ReloadEvent<'a> {
    SettingsRead { is_changed: bool },
    SettingsRefused { cause: &'a str },
}

/// A settings file that is reloaded when it changes.
#[derive(Debug)]
pub struct SettingsFile<S> {
    path: PathBuf,
    /// The settings from the last valid version of the file.
    current: S,
    modified_at: Option<SystemTime>,
    /// Whether the file was refused when it was last read, so that the process could not start with
    /// it.
    is_refused: bool,
    next_check: Millis,
}

impl<S: DeserializeOwned + Validate + PartialEq + Clone> SettingsFile<S> {
    /// Watches the settings file at `path`, from which the settings `current` were read.
    #[must_use]
    pub fn new(path: PathBuf, current: S) -> Self {
        let modified_at = modification_time(&path);
        Self {
            path,
            current,
            modified_at,
            is_refused: false,
            next_check: Millis::new(0),
        }
    }

    /// Returns the settings from the last valid version of the file.
    #[must_use]
    pub const fn current_settings(&self) -> &S {
        &self.current
    }

    /// Returns whether the file was refused when it was last read.
    #[must_use]
    pub const fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Reads the settings file, and returns its settings if they are valid and differ from the
    /// current ones.
    ///
    /// If the file is invalid, the error is logged and the current settings stay in force.
    pub(crate) fn reload_settings(&mut self, log: &EventLog) -> Option<S> {
        self.modified_at = modification_time(&self.path);
        let parsed = fs::read_to_string(&self.path)
            .map_err(|err| err.to_string())
            .and_then(|text| settings::parse_settings::<S>(&text).map_err(|err| err.to_string()));
        self.is_refused = parsed.is_err();
        let settings = match parsed {
            Ok(settings) => settings,
            Err(cause) => {
                let event = ReloadEvent::SettingsRefused { cause: &cause };
                log.write_line(LineKind::StateChange, &event);
                return None;
            }
        };
        let is_changed = settings != self.current;
        log.write_line(
            LineKind::StateChange,
            &ReloadEvent::SettingsRead { is_changed },
        );
        if !is_changed {
            return None;
        }
        self.current = settings.clone();
        Some(settings)
    }

    /// Reloads the settings file if its modification time changed since the last check.
    pub(crate) fn reload_if_modified(&mut self, now: Millis, log: &EventLog) -> Option<S> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now.plus(CHECK_INTERVAL_MS);
        if modification_time(&self.path) == self.modified_at {
            return None;
        }
        self.reload_settings(log)
    }
}

/// Returns a file's modification time, or `None` if it can't be read.
fn modification_time(path: &PathBuf) -> Option<SystemTime> {
    fs::metadata(path).and_then(|it| it.modified()).ok()
}
