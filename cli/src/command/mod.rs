//! Subcommands, one file each.

mod check;
mod demo;
mod explain;
mod keys;
mod note;
mod settings;
pub(crate) mod stand_in;
mod status;

use crate::{args::Command, error::CommandError, output::Output};
use stand_in::StandInOptions;

/// Carries out a subcommand.
pub(crate) fn run(command: &Command) -> Result<Output, CommandError> {
    match command {
        Command::Check { file, against } => check::run(file, against.as_deref()),
        Command::NoteCheck { file, entry } => note::check(file, entry),
        Command::NoteApply { file, entry, wait } => note::apply(file, entry, *wait),
        Command::NoteStatus { file, entry } => note::status(file, entry),
        Command::Status { entry } => status::run(entry),
        Command::Explain {
            service,
            key,
            entry,
        } => explain::run(service, key, entry),
        Command::SettingsCheck { file } => settings::check(file),
        Command::KeysMake { folder, nodes } => keys::make(folder, *nodes),
        Command::KeysAdd { folder, node } => keys::add(folder, *node),
        Command::KeysToken { file } => keys::token(file),
        Command::Demo(options) => demo::run(options),
        Command::StandIn(options) => run_stand_in(options),
    }
}

/// Runs stand-ins, which print what they did by themselves.
fn run_stand_in(options: &StandInOptions) -> Result<Output, CommandError> {
    stand_in::run(options).map_err(|fault| CommandError::Run(fault.to_string()))?;
    Ok(Output::empty())
}
