//! The story of one flow, from the logs of several processes.

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

/// Time before and after a flow's own lines in which changes of belief are shown, in milliseconds.
///
/// A belief that decided about a flow is at most as old as the slowest report, one second.
const AROUND_MS: u64 = 1_500;

/// Fields that are shown apart.
const HEAD_FIELDS: [&str; 4] = ["time_ms", "uptime_ms", "instance", "event"];

/// Events about one flow each; all others are changes of belief.
const FLOW_FIELD: &str = "flow";

/// Prints the lines of a flow, and what the processes that took part believed then.
pub(crate) fn run(command: &Explain) -> Result<()> {
    if command.flow.is_empty() {
        let text = "`--flow` is empty; give the caller's address and port as in `100.65.0.20:1033`";
        return Err(CtlError::Usage(text.to_owned()));
    }
    let records = read_all(&command.files)?;
    let of_flow = |it: &&Record| it.flow().is_some_and(|flow| flow.contains(&command.flow));
    let own: Vec<&Record> = records.iter().filter(of_flow).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CtlError::Usage(format!(
            "no line names the flow `{}`; give the caller's address and port as in \
             `100.65.0.20:1033`, and the logs of the time in question (ordinary lines are a sample)",
            command.flow
        )));
    };
    let from = first.time_ms.saturating_sub(AROUND_MS);
    let until = last.time_ms.saturating_add(AROUND_MS);
    let instances: BTreeSet<&str> = own.iter().map(|it| it.instance.as_str()).collect();
    let mut out = std::io::stdout().lock();
    for record in &records {
        let is_near = (from..=until).contains(&record.time_ms);
        let took_part = instances.contains(record.instance.as_str());
        let is_belief = record.flow().is_none() && is_near && took_part;
        if !is_belief && !of_flow(&record) {
            continue;
        }
        match writeln!(out, "{}", record.line(first.time_ms)) {
            Ok(()) => {}
            // The reader has seen enough, as `head` has.
            Err(err) if err.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
            Err(source) => {
                let path = PathBuf::from("standard output");
                return Err(CtlError::Write { path, source });
            }
        }
    }
    Ok(())
}

/// One line of a log.
#[derive(Debug)]
struct Record {
    time_ms: u64,
    instance: String,
    event: String,
    fields: Map<String, Value>,
}

impl Record {
    /// Reads a line; text before the JSON object is skipped, `None` if there is none.
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

    fn flow(&self) -> Option<&str> {
        self.fields.get(FLOW_FIELD)?.as_str()
    }

    /// Writes the line with its time relative to `start_ms`.
    fn line(&self, start_ms: u64) -> String {
        let offset_ms = i128::from(self.time_ms) - i128::from(start_ms);
        let mark = if self.flow().is_some() { '*' } else { ' ' };
        let mut line = format!(
            "{mark} {offset_ms:>+6} ms  {:<18} {}",
            self.instance, self.event
        );
        let rest = self
            .fields
            .iter()
            .filter(|it| !HEAD_FIELDS.contains(&it.0.as_str()));
        for (name, value) in rest {
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

/// Reads the lines of all files, or of standard input if none is given, in the order of their times.
fn read_all(files: &[PathBuf]) -> Result<Vec<Record>> {
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
    let mut records: Vec<Record> = lines.filter_map(Record::parse).collect();
    records.sort_by_key(|it| it.time_ms);
    Ok(records)
}
