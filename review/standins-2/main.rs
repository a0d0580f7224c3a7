//! Plays the callers, the endpoints, the store and the routers of one case, and starts the programs
//! of the system. Exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.

mod caller;
mod cases;
mod conn;
mod endpoint;
mod fleet;
mod packet;
mod record;
mod store;
mod swarm;
mod world;

use std::{path::Path, process::exit, thread, time::Duration};

use record::Record;

/// Time after which a run that hangs is given up.
const RUN_MAX: Duration = Duration::from_secs(110);

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(Path::new(&path)) else {
        eprintln!("the record can't be written");
        exit(2);
    };
    let worker = thread::spawn({
        let record = record.clone();
        move || cases::run(&case, has_trouble, &record)
    });
    let end = std::time::Instant::now() + RUN_MAX;
    while !worker.is_finished() && std::time::Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    if !worker.is_finished() {
        record.line("the run hangs and is given up");
        exit(2);
    }
    let code = match worker.join() {
        Ok(Ok(breaks)) => {
            for it in &breaks {
                record.line(&format!("BROKEN {it}"));
                println!("BROKEN {it}");
            }
            i32::from(!breaks.is_empty())
        }
        Ok(Err(err)) => {
            record.line(&format!("the case can't run: {err}"));
            println!("the case can't run: {err}");
            2
        }
        Err(_panic) => 2,
    };
    record.line(&format!("exit {code}"));
    println!("exit {code}");
    exit(code);
}
