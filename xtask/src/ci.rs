//! The checks of CI: generated code, formatting, lints, documentation, tests and short soaks.

use std::fs;

use crate::{
    codegen,
    flags::Codegen,
    process::{self, Result, XtaskError, cargo, cargo_with_env, workspace_dir},
};

/// Runs every check and stops at the first that fails.
pub(crate) fn run() -> Result<()> {
    codegen::run(&Codegen { check: true })?;
    cargo(&["fmt", "--all", "--check"])?;
    cargo(&[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--",
        "-D",
        "warnings",
    ])?;
    cargo_with_env(
        &[
            "doc",
            "--workspace",
            "--no-deps",
            "--document-private-items",
            "--locked",
        ],
        &[("RUSTDOCFLAGS", "-D warnings")],
    )?;
    cargo(&["test", "--workspace", "--locked"])?;
    process::run_short_soaks()?;
    print_known_failures()
}

/// Prints the known failures listed in `KNOWN-RED.txt`, which no check of CI covers.
fn print_known_failures() -> Result<()> {
    let path = workspace_dir().join("KNOWN-RED.txt");
    if !path.exists() {
        return Ok(());
    }
    let text = fs::read_to_string(&path).map_err(|source| XtaskError::Io {
        action: "reading KNOWN-RED.txt".to_owned(),
        source,
    })?;
    eprintln!("known faults, from KNOWN-RED.txt:\n{text}");
    Ok(())
}
