//! Runs one case of the review: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run.

mod client;
mod endpoint;
mod fraction;
mod link;
mod load;
mod odd;
mod packet;
mod proxy;
mod record;
mod relay;
mod silence;
mod store;
mod weights;
mod world;

use std::{path::Path, process::exit};

use record::Record;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, path] = words.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    if !world::is_built() {
        eprintln!("build the programs with the command of deploy/system.toml first");
        exit(2);
    }
    let record = Record::new();
    let result = match name.as_str() {
        "weights" => weights::run(&record),
        "fraction" => fraction::run(&record),
        "link" => link::run(&record),
        "odd" => odd::run(&record),
        "silence" => silence::run(&record),
        _ => Err(format!("there is no case {name}")),
    };
    match &result {
        Ok(true) => record.add("the rule was broken"),
        Ok(false) => record.add("the rule held"),
        Err(cause) => record.add(format!("the case couldn't run: {cause}")),
    }
    record.write(Path::new(path));
    match result {
        Ok(true) => {
            println!("the rule was broken");
            exit(1);
        }
        Ok(false) => println!("the rule held"),
        Err(cause) => {
            eprintln!("the case couldn't run: {cause}");
            exit(2);
        }
    }
}
