//! `timeline`: what happened, over all processes.

use std::{
    fs,
    time::{SystemTime, UNIX_EPOCH},
};

use settings::OperatorSettings;
use timeline::{Timeline, render};
use units::Millis;

use crate::{
    Outcome, collect,
    error::{CtlError, Result},
    files,
    flags::{self, Format},
};

/// Collects, merges and prints the time line.
pub(crate) fn run(command: &flags::Timeline) -> Result<Outcome> {
    let settings: OperatorSettings = files::read_settings(&command.settings)?;
    let runtime = tokio::runtime::Runtime::new().map_err(CtlError::Runtime)?;
    let since = since(command.last_seconds);
    let answers = runtime.block_on(collect::timelines(&settings, since));
    let mut collected = Vec::new();
    let mut unreachable = Vec::new();
    for answer in answers {
        match answer {
            Ok(it) => collected.push(it),
            Err(it) => unreachable.push(it),
        }
    }
    if collected.is_empty() {
        let causes = unreachable.iter();
        let causes = causes.map(|it| format!("{}: {}", it.address, it.cause));
        return Err(CtlError::Nobody {
            causes: causes.collect(),
        });
    }
    let outcome = if unreachable.is_empty() {
        Outcome::Whole
    } else {
        Outcome::Partial
    };
    let timeline = Timeline::new(collected, unreachable);
    write(command, &timeline)?;
    Ok(outcome)
}

fn write(command: &flags::Timeline, timeline: &Timeline) -> Result<()> {
    let text = match command.format.unwrap_or_default() {
        Format::Text => render::text(timeline),
        Format::Json => render::json(timeline),
        Format::Svg => render::svg(timeline),
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

/// Returns the moment `last_seconds` ago, the beginning of time if none is given.
fn since(last_seconds: Option<u64>) -> Millis {
    let Some(last_seconds) = last_seconds else {
        return Millis::new(0);
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = Millis::from_duration(now.unwrap_or_default());
    now.since(Millis::new(last_seconds.saturating_mul(1_000)))
}
