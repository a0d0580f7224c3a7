//! CPU time and resident memory of a process.

use std::fs;

/// Clock ticks per second of the times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page of the kernel, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Index of the user time among the fields after the program's name in `/proc/PID/stat`.
const USER_TIME_FIELD_IDX: usize = 11;

/// Returns the CPU time used by all threads of a process, in seconds.
pub(crate) fn cpu_seconds(process_id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    // The program's name in `/proc/PID/stat` may contain spaces; the name ends at the last closing
    // parenthesis.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let ticks = rest.split_whitespace().skip(USER_TIME_FIELD_IDX).take(2);
    let ticks = ticks.filter_map(|it| it.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

/// Returns the resident memory of a process, in bytes.
pub(crate) fn resident_bytes(process_id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process_id}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
