//! The checks of CI: generated code, format, lints, documentation and tests.

use crate::{
    codegen,
    flags::Codegen,
    process::{Result, cargo, cargo_with},
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
    cargo_with(
        &[
            "doc",
            "--workspace",
            "--no-deps",
            "--document-private-items",
            "--locked",
        ],
        &[("RUSTDOCFLAGS", "-D warnings")],
    )?;
    cargo(&["test", "--workspace", "--locked"])
}
