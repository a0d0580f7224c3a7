//! Logging to standard error.

use std::io::{self, Write};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// Log filter for runs whose command line gives no `--log`.
const DEFAULT_SPEC: &str = "info, ractor=warn";

/// Timestamp format of a log line.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Starts logging to standard error; the logger stops when the returned handle is dropped.
pub(crate) fn start_logger(spec: Option<&str>) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(spec.unwrap_or(DEFAULT_SPEC))?
        .format(write_line)
        .log_to_stderr()
        .start()
}

/// Writes one log line with its time, level, module and message.
fn write_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let module = record.module_path().unwrap_or("lovagehall");
    write!(
        out,
        "{} {} {module}: {}",
        now.format(TIME_FORMAT),
        record.level(),
        record.args()
    )
}
