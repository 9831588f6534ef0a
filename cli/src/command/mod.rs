//! Subcommands, one file each.

mod explain;
mod keys;
mod note;
mod settings;
mod status;

use crate::{args::Command, error::CommandError, output::Output};

/// Carries out a subcommand.
pub(crate) fn run(command: &Command) -> Result<Output, CommandError> {
    match command {
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
    }
}
