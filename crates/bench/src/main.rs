//! Runs the demo and the benches on real processes, with test doubles of everything around them.
//!
//! `cargo xtask demo` and `cargo xtask bench` start this program, which isn't part of a release.

mod balancers;
mod benches;
mod demo;
mod error;
mod figure;
mod flags;
mod fleet;
mod load;
mod loopback;
mod usage;

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let flags = flags::Program::from_env_or_exit();
    let res = match flags.subcommand {
        flags::ProgramCmd::Demo(cmd) => demo::run(&figure::Options::new(cmd.seed, cmd.seconds)),
        flags::ProgramCmd::Bench(cmd) => benches::run(
            cmd.name.as_deref(),
            &figure::Options::new(cmd.seed, cmd.seconds),
        ),
    };
    match res {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("bench: {err}");
            ExitCode::FAILURE
        }
    }
}
