//! Runs cargo and, through it, the workspace's programs.

use std::{
    fmt, io,
    path::PathBuf,
    process::{Command, ExitStatus},
};

/// Error of a step of `cargo xtask`.
#[derive(Debug)]
pub(crate) enum XtaskError {
    /// A program could not be started, or a file could not be read or written.
    Io {
        /// The action that failed, such as `reading KNOWN-RED.txt`.
        action: String,
        /// The I/O error that the action failed with.
        source: io::Error,
    },
    /// A command exited with an unsuccessful status.
    Failed {
        /// Command line of the failed command.
        command: String,
        /// Exit status of the command.
        status: ExitStatus,
    },
    /// A check failed; the text says what is wrong and, where possible, how to fix it.
    Check(String),
}

impl fmt::Display for XtaskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { action, source } => write!(f, "{action}: {source}"),
            Self::Failed { command, status } => write!(f, "`{command}` failed with {status}"),
            Self::Check(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for XtaskError {}

/// Result of a step of `cargo xtask`.
pub(crate) type Result<T> = std::result::Result<T, XtaskError>;

/// Returns the root directory of the workspace.
pub(crate) fn workspace_dir() -> PathBuf {
    let manifest_dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    manifest_dir
        .parent()
        .map_or_else(|| manifest_dir.clone(), PathBuf::from)
}

/// Runs cargo in the workspace directory; fails unless cargo exits successfully.
pub(crate) fn run_cargo(args: &[&str]) -> Result<()> {
    run_cargo_with_env(args, &[])
}

/// Runs cargo in the workspace directory with additional environment variables; fails unless cargo
/// exits successfully.
pub(crate) fn run_cargo_with_env(args: &[&str], variables: &[(&str, &str)]) -> Result<()> {
    let command = format!("cargo {}", args.join(" "));
    eprintln!("$ {command}");
    let status = Command::new("cargo")
        .args(args)
        .envs(variables.iter().copied())
        .current_dir(workspace_dir())
        .status()
        .map_err(|source| XtaskError::Io {
            action: command.clone(),
            source,
        })?;
    if status.success() {
        Ok(())
    } else {
        Err(XtaskError::Failed { command, status })
    }
}

/// Builds the release programs and runs a subcommand of the `bench` program: the demo or a bench.
pub(crate) fn run_bench(
    command: &str,
    name: Option<&str>,
    seed: Option<u64>,
    seconds: Option<u64>,
) -> Result<()> {
    run_cargo(&[
        "build",
        "--quiet",
        "--release",
        "--locked",
        "-p",
        "lovagehall",
        "-p",
        "lovagectl",
    ])?;
    let mut args = vec![
        "run",
        "--quiet",
        "--release",
        "--locked",
        "-p",
        "bench",
        "--",
        command,
    ];
    args.extend(name);
    let seed = seed.map(|it| it.to_string());
    if let Some(seed) = &seed {
        args.extend(["--seed", seed]);
    }
    let seconds = seconds.map(|it| it.to_string());
    if let Some(seconds) = &seconds {
        args.extend(["--seconds", seconds]);
    }
    run_cargo(&args)
}

/// Runs four short soak tests with the debug build of the programs.
///
/// The seeds are ones that once failed: in 112 and 132 a signal ended a process that was still
/// being loaded, and in 324 and 9145 a balancer that had just started reset a flow whose endpoint was
/// no longer listed.
pub(crate) fn run_short_soaks() -> Result<()> {
    run_cargo(&[
        "build",
        "--quiet",
        "--locked",
        "-p",
        "lovagehall",
        "-p",
        "soak",
    ])?;
    for seed in ["112", "132", "324", "9145"] {
        let program = "target/debug/lovagehall";
        let args = ["run", "--quiet", "--locked", "-p", "soak", "--", program];
        run_cargo(&[&args[..], &["--seed", seed, "--seconds", "6"]].concat())?;
    }
    Ok(())
}

/// Builds the release programs and runs the soak test.
pub(crate) fn run_soak(seed: Option<u64>, runs: Option<u64>, seconds: Option<u64>) -> Result<()> {
    run_cargo(&[
        "build",
        "--quiet",
        "--release",
        "--locked",
        "-p",
        "lovagehall",
        "-p",
        "soak",
    ])?;
    let options = [("--seed", seed), ("--runs", runs), ("--seconds", seconds)];
    let mut args = [
        "run",
        "--quiet",
        "--release",
        "--locked",
        "-p",
        "soak",
        "--",
    ]
    .map(str::to_owned)
    .to_vec();
    args.push("target/release/lovagehall".to_owned());
    for (name, value) in options {
        if let Some(value) = value {
            args.extend([name.to_owned(), value.to_string()]);
        }
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    run_cargo(&args)
}
