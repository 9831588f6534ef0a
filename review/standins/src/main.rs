//! Stand-ins and plays of the review's cases.
//!
//! `standins CASE FOLDER TROUBLE` plays a case, writes `record.txt` into the folder and exits with 0
//! if the rule held, 1 if it was broken and 2 if the case couldn't be played. The disruption is left
//! out if TROUBLE is 0.

mod drop;
mod fleet;
mod gap;
mod http;
mod json;
mod odd;
mod operator;
mod record;
mod service;
mod shrink;
mod stage;
mod worker;

use record::Record;
use std::{env, path::Path, process::ExitCode};

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not be played.
    Unplayed,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder, trouble] = args.as_slice() else {
        eprintln!("usage: standins CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("{folder}/record.txt cannot be written");
        return ExitCode::from(2);
    };
    let program = env::var("CORNELRAILD").unwrap_or("target/release/cornelraild".to_owned());
    let (program, trouble) = (program.into(), trouble != "0");
    record.note(format_args!("case {case}, with the disruption: {trouble}"));
    let verdict = match case.as_str() {
        "drop" => drop::run(program, trouble, &record),
        "gap" => gap::run(program, trouble, &record),
        "odd" => odd::run(program, trouble, &record),
        "service" => service::run(program, trouble, &record),
        "shrink" => shrink::run(program, trouble, &record),
        _ => Verdict::Unplayed,
    };
    record.say(format_args!("verdict: {verdict:?}"));
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::Unplayed => ExitCode::from(2),
    }
}
