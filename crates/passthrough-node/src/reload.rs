//! Settings files that change while a process runs.

use std::{fs, path::PathBuf, time::SystemTime};

use serde::{Serialize, de::DeserializeOwned};
use settings::Validate;
use units::Millis;

use crate::{EventLog, LineKind};

/// Time between two looks at the file's time of change; it may change without a signal.
const LOOK_INTERVAL_MS: Millis = Millis::new(2_000);

#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ReloadEvent<'a> {
    SettingsRead { is_changed: bool },
    SettingsRefused { cause: &'a str },
}

/// A settings file that is read again when it changes.
#[derive(Debug)]
pub struct SettingsFile<S> {
    path: PathBuf,
    /// The settings read last.
    current: S,
    changed_at: Option<SystemTime>,
    next_look: Millis,
}

impl<S: DeserializeOwned + Validate + PartialEq + Clone> SettingsFile<S> {
    /// Watches the file at `path`, from which `current` was read.
    #[must_use]
    pub fn new(path: PathBuf, current: S) -> Self {
        let changed_at = changed_at(&path);
        Self {
            path,
            current,
            changed_at,
            next_look: Millis::new(0),
        }
    }

    /// Returns the settings read last.
    #[must_use]
    pub const fn current(&self) -> &S {
        &self.current
    }

    /// Reads the file; returns its settings if they can be used and differ from the ones before.
    ///
    /// Settings that can't be used are logged, and the ones before stay.
    pub(crate) fn read(&mut self, log: &EventLog) -> Option<S> {
        self.changed_at = changed_at(&self.path);
        let parsed = fs::read_to_string(&self.path)
            .map_err(|err| err.to_string())
            .and_then(|text| settings::parse::<S>(&text).map_err(|err| err.to_string()));
        let settings = match parsed {
            Ok(settings) => settings,
            Err(cause) => {
                let event = ReloadEvent::SettingsRefused { cause: &cause };
                log.write(LineKind::StateChange, &event);
                return None;
            }
        };
        let is_changed = settings != self.current;
        log.write(
            LineKind::StateChange,
            &ReloadEvent::SettingsRead { is_changed },
        );
        if !is_changed {
            return None;
        }
        self.current = settings.clone();
        Some(settings)
    }

    /// Reads the file if it changed since the last look.
    pub(crate) fn read_if_changed(&mut self, now: Millis, log: &EventLog) -> Option<S> {
        if now < self.next_look {
            return None;
        }
        self.next_look = now.plus(LOOK_INTERVAL_MS);
        if changed_at(&self.path) == self.changed_at {
            return None;
        }
        self.read(log)
    }
}

/// Returns when a file changed, none if that can't be seen.
fn changed_at(path: &PathBuf) -> Option<SystemTime> {
    fs::metadata(path).and_then(|it| it.modified()).ok()
}
