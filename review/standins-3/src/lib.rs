//! Stand-ins for the cases of the third review: workers, callers, an operator and links between
//! hosts, and a fleet of the project's own processes on loopback addresses.

pub mod fleet;
pub mod http;
pub mod keys;
pub mod link;
pub mod operator;
pub mod record;
pub mod traffic;
pub mod worker;

use std::{env, process::ExitCode};

/// Exit code of a case that could not run.
pub const NOT_RUN: u8 = 2;

/// Whether the case brings its disruption about.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &record::Record, outcome: Result<bool, String>) -> ExitCode {
    match outcome {
        Ok(true) => {
            record.note("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.note("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Err(why) => {
            record.note(&format!("verdict: not run, {why}"));
            ExitCode::from(NOT_RUN)
        }
    }
}
