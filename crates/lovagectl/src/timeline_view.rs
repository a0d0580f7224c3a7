//! The command `timeline`: shows the events of all processes merged in one order.

use std::{
    fs,
    time::{SystemTime, UNIX_EPOCH},
};

use settings::OperatorSettings;
use timeline::{Timeline, render};
use units::Millis;

use crate::{
    Completeness, collect,
    error::{CtlError, Result},
    files,
    flags::{self, Format},
};

/// Fetches the events of every process, merges them into a timeline and writes the timeline.
pub(crate) fn show_timeline(command: &flags::Timeline) -> Result<Completeness> {
    let settings: OperatorSettings = files::read_settings(&command.settings)?;
    let runtime = tokio::runtime::Runtime::new().map_err(CtlError::Runtime)?;
    let start = start_time(command.last_seconds);
    let results = runtime.block_on(collect::fetch_timelines(&settings, start));
    let mut collected = Vec::new();
    let mut unreachable = Vec::new();
    for result in results {
        match result {
            Ok(it) => collected.push(it),
            Err(it) => unreachable.push(it),
        }
    }
    if collected.is_empty() {
        let causes = unreachable.iter();
        let causes = causes.map(|it| format!("{}: {}", it.address, it.cause));
        return Err(CtlError::NoProcessReached {
            causes: causes.collect(),
        });
    }
    let completeness = if unreachable.is_empty() {
        Completeness::Complete
    } else {
        Completeness::Partial
    };
    let timeline = Timeline::new(collected, unreachable);
    write_timeline(command, &timeline)?;
    Ok(completeness)
}

/// Renders the timeline and writes it to the output file or to standard output.
fn write_timeline(command: &flags::Timeline, timeline: &Timeline) -> Result<()> {
    let text = match command.format.unwrap_or_default() {
        Format::Text => render::to_text(timeline),
        Format::Json => render::to_json(timeline),
        Format::Svg => render::to_svg(timeline),
    };
    let Some(path) = &command.out else {
        print!("{text}");
        return Ok(());
    };
    fs::write(path, text).map_err(|source| CtlError::Write {
        path: path.clone(),
        source,
    })
}

/// Returns the Unix time `last_seconds` ago, or zero if `last_seconds` is not given.
fn start_time(last_seconds: Option<u64>) -> Millis {
    let Some(last_seconds) = last_seconds else {
        return Millis::new(0);
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = Millis::from_duration(now.unwrap_or_default());
    now.since(Millis::new(last_seconds.saturating_mul(1_000)))
}
