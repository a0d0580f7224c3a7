//! Reads settings and runs the role until the stop signal.

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

/// Runs what the command line asks for.
pub(crate) fn run(flags: &Lovagehall) -> Result<(), RunError> {
    let log_spec = flags.log.as_deref();
    match &flags.subcommand {
        LovagehallCmd::Balancer(cmd) => {
            let settings: BalancerSettings = read(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
            let _logger = logging::start(log_spec).map_err(RunError::Logging)?;
            runtime()?.block_on(balancer_role::run(settings))
        }
        LovagehallCmd::Agent(cmd) => {
            let settings: AgentSettings = read(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
            let _logger = logging::start(log_spec).map_err(RunError::Logging)?;
            runtime()?.block_on(agent_role::run(settings))
        }
        LovagehallCmd::PassthroughBalancer(cmd) => {
            let settings: PassthroughBalancerSettings = read(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
            let store = StoreClient::new(settings.store_address);
            let confirming = StoreClient::new(settings.store_address);
            let file = SettingsFile::new(cmd.settings.clone(), settings);
            let run = passthrough_node::run_balancer::<PlatformPackets, _>(file, store, confirming);
            small_runtime()?.block_on(run).map_err(RunError::Node)
        }
        LovagehallCmd::PassthroughAgent(cmd) => {
            let settings: PassthroughAgentSettings = read(&cmd.settings)?;
            if cmd.check_settings {
                return Ok(());
            }
            let file = SettingsFile::new(cmd.settings.clone(), settings);
            let run = passthrough_node::run_agent::<PlatformPackets>(file);
            small_runtime()?.block_on(run).map_err(RunError::Node)
        }
    }
}

fn read<S: serde::de::DeserializeOwned + Validate>(path: &Path) -> Result<S, RunError> {
    let text = fs::read_to_string(path).map_err(|source| RunError::Read {
        path: path.display().to_string(),
        source,
    })?;
    settings::parse(&text).map_err(RunError::Settings)
}

fn runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)
}

/// Makes a runtime of one thread, for instances with a small share of a core.
fn small_runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)
}
