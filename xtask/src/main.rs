//! Automation of the workspace: checks, code generation, demo, soak and benches.

mod ci;
mod codegen;
mod flags;
mod process;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Xtask::from_env_or_exit();
    let res = match flags.subcommand {
        flags::XtaskCmd::Ci(_) => ci::run_checks(),
        flags::XtaskCmd::Codegen(cmd) => codegen::write_or_compare(&cmd),
        flags::XtaskCmd::Demo(cmd) => process::run_bench("demo", None, cmd.seed, cmd.seconds),
        flags::XtaskCmd::Soak(cmd) => process::run_soak(cmd.seed, cmd.runs, cmd.seconds),
        flags::XtaskCmd::Bench(cmd) => {
            process::run_bench("bench", cmd.name.as_deref(), cmd.seed, cmd.seconds)
        }
    };
    match res {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("xtask: {err}");
            ExitCode::FAILURE
        }
    }
}
