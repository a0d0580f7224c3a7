//! The program `lovagehall`, which runs as a balancer or as an agent.
//!
//! This crate reads settings, starts the tasks of the chosen role and waits for SIGTERM or SIGINT.
//! All routing, admission and membership logic is in the library crates.

mod agent_role;
mod balancer_role;
mod common;
mod error;
mod flags;
mod grpc_server;
mod logging;
mod metrics;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Lovagehall::from_env_or_exit();
    match run::run_role(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("lovagehall: {err}");
            ExitCode::FAILURE
        }
    }
}
