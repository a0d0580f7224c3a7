//! The operators' program: keys, bundles, status and the time line.
//!
//! Exit status: 0 when all went well, 1 when something is wrong or was refused, 2 for a wrong
//! command line, 3 when the result is whole but for processes that could not be reached.

mod bundles;
mod certificates;
mod collect;
mod diff;
mod error;
mod explain;
mod files;
mod flags;
mod key_sets;
mod keys;
mod status;
mod timeline_view;

use std::process::ExitCode;

use mimalloc::MiMalloc;

use crate::{
    error::Result,
    flags::{BundleCmd, KeyCmd, LovagectlCmd, NewCmd},
};

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

/// Whether every process asked has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The result is whole.
    Whole,
    /// Some processes could not be reached; the output names them.
    Partial,
}

fn main() -> ExitCode {
    let flags = flags::Lovagectl::from_env_or_exit();
    match run(flags.subcommand) {
        Ok(Outcome::Whole) => ExitCode::SUCCESS,
        Ok(Outcome::Partial) => ExitCode::from(3),
        Err(err) => {
            eprintln!("lovagectl: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: LovagectlCmd) -> Result<Outcome> {
    match command {
        LovagectlCmd::Key(key) => match key.subcommand {
            KeyCmd::New(new) => new_key(&new.subcommand)?,
            KeyCmd::SignSet(cmd) => key_sets::sign(&cmd)?,
        },
        LovagectlCmd::Bundle(bundle) => match bundle.subcommand {
            BundleCmd::Check(cmd) => bundles::check(&cmd)?,
            BundleCmd::Sign(cmd) => bundles::sign(&cmd)?,
            BundleCmd::Verify(cmd) => bundles::verify(&cmd)?,
            BundleCmd::Diff(cmd) => bundles::diff(&cmd)?,
        },
        LovagectlCmd::Explain(cmd) => explain::run(&cmd)?,
        LovagectlCmd::Status(cmd) => return status::run(&cmd),
        LovagectlCmd::Timeline(cmd) => return timeline_view::run(&cmd),
    }
    Ok(Outcome::Whole)
}

fn new_key(command: &NewCmd) -> Result<()> {
    match command {
        NewCmd::Operator(cmd) => keys::new_operator(cmd),
        NewCmd::Fleet(cmd) => keys::new_fleet(cmd),
        NewCmd::Service(cmd) => keys::derive_service(cmd),
        NewCmd::Authority(cmd) => certificates::new_authority(cmd),
        NewCmd::Process(cmd) => certificates::new_process(cmd),
    }
}
