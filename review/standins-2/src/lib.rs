//! Stand-ins for the scripts of the second review: a small fleet of real processes, its clients, its
//! operator and its workers.

pub mod fleet;
pub mod http;
pub mod operator;
pub mod record;
pub mod worker;

use std::{
    env,
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Exit code if the rule was broken.
pub const BROKEN: u8 = 1;
/// Exit code if the case could not run.
pub const NOT_RUN: u8 = 2;

/// Whether the disruption is part of this run.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |set| set != "0")
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or(Duration::ZERO).as_millis() as u64
}

/// Exit code of a case: whether the rule was broken, or why the case could not run.
pub fn exit(outcome: Result<bool, String>) -> ExitCode {
    match outcome {
        Ok(false) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            println!("broken");
            ExitCode::from(BROKEN)
        }
        Err(why) => {
            println!("not run: {why}");
            ExitCode::from(NOT_RUN)
        }
    }
}
