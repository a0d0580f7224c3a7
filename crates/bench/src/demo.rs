//! The main job, end to end, with real processes on loopback.

use crate::{
    error::{BenchError, Result},
    figure::Options,
};

/// Runs the demo.
pub(crate) fn run(_options: &Options) -> Result<()> {
    Err(BenchError::Usage(
        "the demo needs the balancer and agent programs".to_owned(),
    ))
}
