//! The command `explain`: prints the log lines of several processes that concern one flow.

use std::{
    collections::BTreeSet,
    fs, io,
    io::{Read as _, Write as _},
    path::PathBuf,
};

use serde_json::{Map, Value};

use crate::{
    error::{CtlError, Result},
    flags::Explain,
};

/// Time before the flow's first and after its last line in which changes in the processes' view of
/// their peers are shown.
///
/// A process decides about a flow with a view that is at most one second old, the longest interval
/// between reports of its peers.
const CONTEXT_MS: u64 = 1_500;

/// Log fields that a printed line shows in fixed columns, or not at all.
const COLUMN_FIELDS: [&str; 4] = ["time_ms", "uptime_ms", "instance", "event"];

/// Log field that names the flow of a log line.
///
/// A line without this field reports a change in the process's view of its peers.
const FLOW_FIELD: &str = "flow";

/// Prints the log lines of a flow and the changes in its processes' view of their peers.
pub(crate) fn explain_flow(command: &Explain) -> Result<()> {
    if command.flow.is_empty() {
        let text = "`--flow` is empty; give the caller's address and port as in `100.65.0.20:1033`";
        return Err(CtlError::Usage(text.to_owned()));
    }
    let records = read_records(&command.files)?;
    let is_of_flow = |it: &&LogRecord| {
        it.flow_name()
            .is_some_and(|flow| flow.contains(&command.flow))
    };
    let flow_records: Vec<&LogRecord> = records.iter().filter(is_of_flow).collect();
    let (Some(first), Some(last)) = (flow_records.first(), flow_records.last()) else {
        return Err(CtlError::Usage(format!(
            "no line names the flow `{}`; give the caller's address and port as in \
             `100.65.0.20:1033`, and logs that cover its time (ordinary lines are only sampled)",
            command.flow
        )));
    };
    let from = first.time_ms.saturating_sub(CONTEXT_MS);
    let until = last.time_ms.saturating_add(CONTEXT_MS);
    let instances: BTreeSet<&str> = flow_records.iter().map(|it| it.instance.as_str()).collect();
    let mut out = std::io::stdout().lock();
    for record in &records {
        let is_near = (from..=until).contains(&record.time_ms);
        let is_involved = instances.contains(record.instance.as_str());
        let is_context = record.flow_name().is_none() && is_near && is_involved;
        if !is_context && !is_of_flow(&record) {
            continue;
        }
        match writeln!(out, "{}", record.format_line(first.time_ms)) {
            Ok(()) => {}
            // The reader closed the pipe, as `head` does after its last line.
            Err(err) if err.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
            Err(source) => {
                let path = PathBuf::from("standard output");
                return Err(CtlError::Write { path, source });
            }
        }
    }
    Ok(())
}

/// One line of an event log.
#[derive(Debug)]
struct LogRecord {
    time_ms: u64,
    instance: String,
    event: String,
    fields: Map<String, Value>,
}

impl LogRecord {
    /// Parses a log line; returns `None` if the line holds no event.
    ///
    /// Text before the JSON object is skipped, since captured logs may have a prefix on each line.
    fn parse(line: &str) -> Option<Self> {
        let object = &line[line.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
            return None;
        };
        let text = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
        Some(Self {
            time_ms: fields.get("time_ms")?.as_u64()?,
            instance: text("instance")?,
            event: text("event")?,
            fields,
        })
    }

    fn flow_name(&self) -> Option<&str> {
        self.fields.get(FLOW_FIELD)?.as_str()
    }

    /// Formats the log line with its time relative to `start_ms`; `*` marks lines about a flow.
    fn format_line(&self, start_ms: u64) -> String {
        let offset_ms = i128::from(self.time_ms) - i128::from(start_ms);
        let mark = if self.flow_name().is_some() { '*' } else { ' ' };
        let mut line = format!(
            "{mark} {offset_ms:>+6} ms  {:<18} {}",
            self.instance, self.event
        );
        let other_fields = self
            .fields
            .iter()
            .filter(|it| !COLUMN_FIELDS.contains(&it.0.as_str()));
        for (name, value) in other_fields {
            line.push_str(&format_field(name, value));
        }
        line
    }
}

fn format_field(name: &str, value: &Value) -> String {
    match value {
        Value::String(text) => format!(" {name}={text}"),
        other => format!(" {name}={other}"),
    }
}

/// Reads the log lines of all files, or of standard input if none is given, sorted by time.
fn read_records(files: &[PathBuf]) -> Result<Vec<LogRecord>> {
    let mut texts = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).map_err(|source| CtlError::Read {
            path: path.clone(),
            source,
        })?;
        texts.push(text);
    }
    if files.is_empty() {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|source| CtlError::Read {
                path: PathBuf::from("standard input"),
                source,
            })?;
        texts.push(text);
    }
    let lines = texts.iter().flat_map(|it| it.lines());
    let mut records: Vec<LogRecord> = lines.filter_map(LogRecord::parse).collect();
    records.sort_by_key(|it| it.time_ms);
    Ok(records)
}
