//! Runs the built program in a folder of its own.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

/// A folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("lovagectl-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub fn path(&self, file: &str) -> String {
        self.0.join(file).display().to_string()
    }

    pub fn write(&self, file: &str, text: &str) -> String {
        fs::write(self.0.join(file), text).unwrap();
        self.path(file)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

/// How the program ended.
pub struct Ended {
    pub status: i32,
    pub out: String,
    pub err: String,
}

pub fn run(args: &[&str]) -> Ended {
    let program = Path::new(env!("CARGO_BIN_EXE_lovagectl"));
    let output = Command::new(program).args(args).output().unwrap();
    Ended {
        status: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the program and expects it to succeed.
pub fn run_well(args: &[&str]) -> String {
    let ended = run(args);
    assert_eq!(ended.status, 0, "{args:?}: {}", ended.err);
    ended.out
}
