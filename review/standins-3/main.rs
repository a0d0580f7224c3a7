//! Stand-ins of the platform, its store, endpoints and clients for the cases of this review.
//!
//! `review-3 CASE RECORD` plays a case with the project's own programs as separate processes, and
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` it leaves the disruption out.

mod cases;
mod client;
mod deployment;
mod endpoint;
mod packet;
mod record;
mod store;
mod world;

use std::{path::Path, process::ExitCode, sync::Arc};

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(it) => Arc::new(it),
        Err(err) => {
            eprintln!("the record can't be written: {err}");
            return ExitCode::from(2);
        }
    };
    let result = cases::play(case, has_trouble, &record);
    let code = match &result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(cause) => {
            record.say(&format!("the case couldn't run: {cause}"));
            2
        }
    };
    record.say(&format!("exit {code}"));
    record.flush();
    ExitCode::from(code)
}
