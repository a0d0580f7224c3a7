//! Reads the settings file and runs the chosen role until SIGTERM or SIGINT.

use std::{fs, path::Path};

use passthrough_node::SettingsFile;
use platform::{PlatformPackets, StoreClient};
use settings::{
    AgentSettings, BalancerSettings, PassthroughAgentSettings, PassthroughBalancerSettings,
    Validate,
};

use crate::{
    agent_role, balancer_role,
    error::RunError,
    flags::{Lovagehall, LovagehallCmd},
    logging,
};

/// Runs the role that the command line names, or only checks the role's settings file.
pub(crate) fn run_role(flags: &Lovagehall) -> Result<(), RunError> {
    let log_spec = flags.log.as_deref();
    match &flags.subcommand {
        LovagehallCmd::Balancer(cmd) => {
            let settings: BalancerSettings = read_settings(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
            let _logger = logging::start_logger(log_spec).map_err(RunError::Logging)?;
            multi_thread_runtime()?.block_on(balancer_role::run_balancer(settings))
        }
        LovagehallCmd::Agent(cmd) => {
            let settings: AgentSettings = read_settings(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
            let _logger = logging::start_logger(log_spec).map_err(RunError::Logging)?;
            multi_thread_runtime()?.block_on(agent_role::run_agent(settings))
        }
        LovagehallCmd::PassthroughBalancer(cmd) => {
            let settings: PassthroughBalancerSettings = read_settings(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
            let store = StoreClient::new(settings.store_address);
            let confirming_store = StoreClient::new(settings.store_address);
            let file = SettingsFile::new(cmd.settings.clone(), settings);
            let run =
                passthrough_node::run_balancer::<PlatformPackets, _>(file, store, confirming_store);
            single_thread_runtime()?
                .block_on(run)
                .map_err(RunError::Passthrough)
        }
        LovagehallCmd::PassthroughAgent(cmd) => {
            let settings: PassthroughAgentSettings = read_settings(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
            let file = SettingsFile::new(cmd.settings.clone(), settings);
            let run = passthrough_node::run_agent::<PlatformPackets>(file);
            single_thread_runtime()?
                .block_on(run)
                .map_err(RunError::Passthrough)
        }
    }
}

/// Reads and checks a settings file.
fn read_settings<S: serde::de::DeserializeOwned + Validate>(path: &Path) -> Result<S, RunError> {
    let text = fs::read_to_string(path).map_err(|source| RunError::ReadSettings {
        path: path.display().to_string(),
        source,
    })?;
    settings::parse_settings(&text).map_err(RunError::Settings)
}

fn multi_thread_runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)
}

/// Builds a single-threaded Tokio runtime, for instances with a small share of a core.
fn single_thread_runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)
}
