//! The operator's command.
//!
//! Every subcommand prints lines of at most 48 columns, or one JSON object with `--json`, and ends
//! with one of the exit codes of [`exit`].

mod args;
mod authority;
mod client;
mod command;
mod demo;
mod error;
mod exit;
mod help;
mod output;

use args::Invocation;
use error::CommandError;
use output::{Format, Output};
use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let words: Vec<_> = env::args_os().skip(1).collect();
    let format = args::format(&words);
    let result = args::parse(words).and_then(|invocation| run(&invocation));
    match result {
        Ok(output) => finish(&output, format),
        Err(error) => fail(&error, format),
    }
}

fn run(invocation: &Invocation) -> Result<Output, CommandError> {
    match invocation {
        Invocation::Help(topic) => Ok(Output::text(help::text(*topic))),
        Invocation::Command(command) => command::run(command),
    }
}

fn finish(output: &Output, format: Format) -> ExitCode {
    output.print(format);
    output.code()
}

fn fail(error: &CommandError, format: Format) -> ExitCode {
    output::print_error(error, format);
    error.code()
}
