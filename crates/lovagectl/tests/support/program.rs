//! Runs the built `lovagectl` in a temporary folder.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

/// A temporary folder that is deleted when this value is dropped.
pub struct TempFolder(PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("lovagectl-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub fn path_of(&self, file: &str) -> String {
        self.0.join(file).display().to_string()
    }

    pub fn write_file(&self, file: &str, text: &str) -> String {
        fs::write(self.0.join(file), text).unwrap();
        self.path_of(file)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

/// The exit status and the output of a `lovagectl` run.
pub struct RunResult {
    pub status: i32,
    pub stdout: String,
    pub stderr: String,
}

pub fn run_lovagectl(args: &[&str]) -> RunResult {
    let program = Path::new(env!("CARGO_BIN_EXE_lovagectl"));
    let output = Command::new(program).args(args).output().unwrap();
    RunResult {
        status: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs `lovagectl`, asserts that it succeeds and returns its standard output.
pub fn run_lovagectl_ok(args: &[&str]) -> String {
    let result = run_lovagectl(args);
    assert_eq!(result.status, 0, "{args:?}: {}", result.stderr);
    result.stdout
}
