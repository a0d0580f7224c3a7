//! Reads and writes the files that the command line names.

use std::{
    fs::{self, OpenOptions},
    io::Write as _,
    os::unix::fs::OpenOptionsExt as _,
    path::Path,
};

use bundle::SecretKey;
use serde::de::DeserializeOwned;
use settings::Validate;
use units::ParseUnitError;

use crate::error::{CtlError, Result};

/// File mode of secrets: only the owner can read and write.
const SECRET_MODE: u32 = 0o600;

/// File mode of public files.
const PUBLIC_MODE: u32 = 0o644;

/// Reads a file as text.
pub(crate) fn read_text(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| CtlError::Read {
        path: path.to_owned(),
        source,
    })
}

/// Reads an operator's secret key, or the secret root key, from a file.
pub(crate) fn read_secret_key(path: &Path) -> Result<SecretKey> {
    let text = read_text(path)?;
    text.trim()
        .parse()
        .map_err(|err: ParseUnitError| CtlError::Content {
            path: path.to_owned(),
            cause: err.to_string(),
            remedy: "give the file that `lovagectl key new operator` wrote",
        })
}

/// Reads and checks a settings file.
pub(crate) fn read_settings<S: DeserializeOwned + Validate>(path: &Path) -> Result<S> {
    settings::parse_settings(&read_text(path)?).map_err(|source| CtlError::Settings {
        path: path.to_owned(),
        source,
    })
}

/// Creates a file that only its owner may read; fails if the file exists.
pub(crate) fn write_new_secret(path: &Path, text: &str) -> Result<()> {
    create_file(path, text.as_bytes(), SECRET_MODE)
}

/// Creates a file that anyone may read; fails if the file exists.
pub(crate) fn write_new_public(path: &Path, content: &[u8]) -> Result<()> {
    create_file(path, content, PUBLIC_MODE)
}

fn create_file(path: &Path, content: &[u8], mode: u32) -> Result<()> {
    let file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path);
    file.and_then(|mut it| it.write_all(content))
        .map_err(|source| CtlError::Write {
            path: path.to_owned(),
            source,
        })
}
