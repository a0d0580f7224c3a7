//! The checks of `cargo xtask ci`: generated code, formatting, lints, documentation, tests and
//! short soaks.

use std::fs;

use crate::{
    codegen,
    flags::Codegen,
    process::{self, Result, XtaskError, run_cargo, run_cargo_with_env, workspace_dir},
};

/// Runs every check of CI in order and stops at the first one that fails.
pub(crate) fn run_checks() -> Result<()> {
    codegen::write_or_compare(&Codegen { check: true })?;
    run_cargo(&["fmt", "--all", "--check"])?;
    run_cargo(&[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--",
        "-D",
        "warnings",
    ])?;
    run_cargo_with_env(
        &[
            "doc",
            "--workspace",
            "--no-deps",
            "--document-private-items",
            "--locked",
        ],
        &[("RUSTDOCFLAGS", "-D warnings")],
    )?;
    run_cargo(&["test", "--workspace", "--locked"])?;
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
