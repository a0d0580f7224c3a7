//! Log lines to standard error.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};

/// What is logged when the command line doesn't say.
const DEFAULT_SPEC: &str = "info";

/// Starts logging; log lines end when the handle is dropped.
pub(crate) fn start(spec: Option<&str>) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(spec.unwrap_or(DEFAULT_SPEC))?
        .format(flexi_logger::opt_format)
        .log_to_stderr()
        .start()
}
