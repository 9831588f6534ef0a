//! `cornelrail demo`: the figures of a run, and whether it went well.

use crate::{
    demo::{self, DemoOptions},
    error::CommandError,
    exit,
    output::Output,
};

/// Runs the demo to its end.
pub(crate) fn run(options: &DemoOptions) -> Result<Output, CommandError> {
    let figures = demo::run(options).map_err(|fault| CommandError::Run(fault.to_string()))?;
    let code = match figures.passed() {
        true => exit::DONE,
        false => exit::REFUSED,
    };
    Ok(Output::with_json(figures.table(options), figures.json()).with_code(code))
}
