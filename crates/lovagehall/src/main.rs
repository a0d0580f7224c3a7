//! The balancer and agent program.
//!
//! This crate only reads settings, starts what the role needs and waits for the stop signal. Every
//! decision lives in the library crates.

mod agent_role;
mod balancer_role;
mod calls;
mod common;
mod error;
mod flags;
mod logging;
mod metrics;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Lovagehall::from_env_or_exit();
    match run::run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("lovagehall: {err}");
            ExitCode::FAILURE
        }
    }
}
