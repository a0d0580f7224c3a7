//! Reads settings and runs the role until the stop signal.

use std::{fmt, fs, io, path::Path};

use settings::{AgentSettings, BalancerSettings, Checked, SettingsError};

use crate::{
    flags::{Lovagehall, LovagehallCmd},
    logging,
};

/// Why the program could not start or run.
#[derive(Debug)]
pub(crate) enum RunError {
    /// The settings file could not be read.
    Read {
        /// Path of the file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The settings can't be used.
    Settings(SettingsError),
    /// Logging could not start.
    Logging(flexi_logger::FlexiLoggerError),
    /// The runtime could not start.
    Runtime(io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { path, source } => {
                write!(
                    f,
                    "{path}: {source}; give the path of a readable settings file"
                )
            }
            Self::Settings(err) => err.fmt(f),
            Self::Logging(err) => write!(f, "--log: {err}; give a level such as `info`"),
            Self::Runtime(err) => write!(f, "starting the runtime: {err}; free threads or memory"),
        }
    }
}

impl std::error::Error for RunError {}

/// Runs what the command line asks for.
pub(crate) fn run(flags: &Lovagehall) -> Result<(), RunError> {
    match &flags.subcommand {
        LovagehallCmd::Balancer(cmd) => {
            let _settings: BalancerSettings = read(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
        }
        LovagehallCmd::Agent(cmd) => {
            let _settings: AgentSettings = read(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
        }
    }
    let _logger = logging::start(flags.log.as_deref()).map_err(RunError::Logging)?;
    Ok(())
}

fn read<S: serde::de::DeserializeOwned + Checked>(path: &Path) -> Result<S, RunError> {
    let text = fs::read_to_string(path).map_err(|source| RunError::Read {
        path: path.display().to_string(),
        source,
    })?;
    settings::parse(&text).map_err(RunError::Settings)
}
