//! Generates the code of `crates/wire` from its `proto` folder. The generated code is committed.

use std::{fs, path::Path};

use prost::Message as _;

use crate::{
    flags::Codegen,
    process::{Result, XtaskError, workspace_dir},
};

/// The protocol buffer files of `crates/wire/proto`, in the order in which they are compiled.
const PROTO_FILES: [&str; 3] = ["bundles.proto", "inspect.proto", "requests.proto"];

/// Writes the generated code of `crates/wire` or, with `--check`, compares the committed code with
/// fresh output.
pub(crate) fn write_or_compare(flags: &Codegen) -> Result<()> {
    let wire_dir = workspace_dir().join("crates/wire");
    let committed_dir = wire_dir.join("src/generated");
    if !flags.check {
        return generate_code(&wire_dir.join("proto"), &committed_dir);
    }
    let fresh_dir = workspace_dir().join("target/codegen-check");
    fs::create_dir_all(&fresh_dir).map_err(io_error("creating target/codegen-check"))?;
    generate_code(&wire_dir.join("proto"), &fresh_dir)?;
    compare_with_committed_code(&fresh_dir, &committed_dir)
}

fn generate_code(proto_dir: &Path, out_dir: &Path) -> Result<()> {
    let descriptors = protox::compile(PROTO_FILES, [proto_dir])
        .map_err(|err| XtaskError::Check(format!("crates/wire/proto: {err:?}")))?;
    let bytes = descriptors.encode_to_vec();
    let descriptors = prost_types::FileDescriptorSet::decode(bytes.as_slice())
        .map_err(|err| XtaskError::Check(format!("crates/wire/proto: {err}")))?;
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .compile_fds(descriptors)
        .map_err(io_error("generating crates/wire"))
}

fn compare_with_committed_code(fresh_dir: &Path, committed_dir: &Path) -> Result<()> {
    for proto in PROTO_FILES {
        let name = format!("lovagehall.{}.v1.rs", proto.trim_end_matches(".proto"));
        let fresh = fs::read(fresh_dir.join(&name)).map_err(io_error("reading generated code"))?;
        let committed =
            fs::read(committed_dir.join(&name)).map_err(io_error("reading committed code"))?;
        if fresh != committed {
            let text = format!("crates/wire {name} is out of date; run `cargo xtask codegen`");
            return Err(XtaskError::Check(text));
        }
    }
    Ok(())
}

fn io_error(action: &str) -> impl FnOnce(std::io::Error) -> XtaskError {
    let action = action.to_owned();
    move |source| XtaskError::Io { action, source }
}
