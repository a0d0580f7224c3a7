//! The operators' command-line program: keys, bundles, status, flow logs and the timeline.
//!
//! Exit status: 0 on success, 1 on an error or a refused document, 2 on an invalid command line, 3
//! when the result lacks only the processes that could not be reached.

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
mod where_to;

use std::process::ExitCode;

use mimalloc::MiMalloc;

use crate::{
    error::Result,
    flags::{BundleCmd, KeyCmd, LovagectlCmd, NewCmd},
};

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

/// Whether the output covers every queried process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Completeness {
    /// Every queried process answered.
    Complete,
    /// Some processes could not be reached; the output lists them.
    Partial,
}

fn main() -> ExitCode {
    let flags = flags::Lovagectl::from_env_or_exit();
    match run_command(flags.subcommand) {
        Ok(Completeness::Complete) => ExitCode::SUCCESS,
        Ok(Completeness::Partial) => ExitCode::from(3),
        Err(err) => {
            eprintln!("lovagectl: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run_command(command: LovagectlCmd) -> Result<Completeness> {
    match command {
        LovagectlCmd::Key(key) => match key.subcommand {
            KeyCmd::New(new) => create_key(&new.subcommand)?,
            KeyCmd::SignSet(cmd) => key_sets::sign_key_set(&cmd)?,
        },
        LovagectlCmd::Bundle(bundle) => match bundle.subcommand {
            BundleCmd::Check(cmd) => bundles::check_bundle(&cmd)?,
            BundleCmd::Sign(cmd) => bundles::sign_bundle(&cmd)?,
            BundleCmd::Verify(cmd) => bundles::verify_bundle(&cmd)?,
            BundleCmd::Diff(cmd) => bundles::print_bundle_diff(&cmd)?,
        },
        LovagectlCmd::Explain(cmd) => explain::explain_flow(&cmd)?,
        LovagectlCmd::Where(cmd) => where_to::show_placement(&cmd)?,
        LovagectlCmd::Status(cmd) => return status::show_statuses(&cmd),
        LovagectlCmd::Timeline(cmd) => return timeline_view::show_timeline(&cmd),
    }
    Ok(Completeness::Complete)
}

fn create_key(command: &NewCmd) -> Result<()> {
    match command {
        NewCmd::Operator(cmd) => keys::new_operator(cmd),
        NewCmd::Fleet(cmd) => keys::new_fleet(cmd),
        NewCmd::Service(cmd) => keys::derive_service_key(cmd),
        NewCmd::Authority(cmd) => certificates::new_authority(cmd),
        NewCmd::Process(cmd) => certificates::new_process(cmd),
    }
}
