//! Registry of the benches. Each bench is one module; the module `publisher` is shared by several
//! benches.

mod bundles;
mod capacity;
mod control;
mod crest;
mod datagrams;
mod drain;
mod flows;
mod headofline;
mod imbalance;
mod liveness;
mod message_order;
mod platform_calls;
mod publisher;
mod purchases;
mod randomised;
mod silence;

use crate::{
    error::{BenchError, Result},
    figure::{Figure, Options},
};

/// A bench that `cargo xtask bench` runs by name.
struct BenchEntry {
    name: &'static str,
    about: &'static str,
    run: fn(&Options) -> Result<Vec<Figure>>,
}

/// All benches, sorted by name.
const BENCHES: &[BenchEntry] = &[
    bundles::BENCH,
    capacity::BENCH,
    control::BENCH,
    crest::BENCH,
    datagrams::BENCH,
    drain::BENCH,
    flows::BENCH,
    headofline::BENCH,
    imbalance::BENCH,
    liveness::BENCH,
    message_order::BENCH,
    platform_calls::BENCH,
    purchases::BENCH,
    randomised::BENCH,
    silence::BENCH,
];

/// Runs the named bench and prints one result line per figure, or lists all benches if no name is
/// given.
pub(crate) fn run(name: Option<&str>, options: &Options) -> Result<()> {
    let Some(name) = name else {
        for bench in BENCHES {
            println!("{:<16} {}", bench.name, bench.about);
        }
        return Ok(());
    };
    let Some(bench) = BENCHES.iter().find(|it| it.name == name) else {
        let text = format!("no bench named `{name}`; `cargo xtask bench` lists them");
        return Err(BenchError::Usage(text));
    };
    for figure in (bench.run)(options)? {
        let line = serde_json::to_string(&figure)
            .map_err(|err| BenchError::setup("serializing a result", &err))?;
        println!("{line}");
    }
    Ok(())
}
