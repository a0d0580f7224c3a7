//! Log lines to standard error.

use std::io::{self, Write};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// What is logged when the command line doesn't say.
const DEFAULT_SPEC: &str = "info, ractor=warn";

/// Form of a line's time.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Starts logging; log lines end when the handle is dropped.
pub(crate) fn start(spec: Option<&str>) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(spec.unwrap_or(DEFAULT_SPEC))?
        .format(line)
        .log_to_stderr()
        .start()
}

/// Writes time, level, module and message.
fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let module = record.module_path().unwrap_or("lovagehall");
    write!(
        out,
        "{} {} {module}: {}",
        now.format(TIME_FORMAT),
        record.level(),
        record.args()
    )
}
