//! Why a subcommand ends early.

use crate::exit;
use cornelrail_lib::{process::settings::SettingsError, version::note_error::NoteError};
use cornelrail_node::process::settings_file::LoadError;
use miette::Diagnostic;
use std::{io, path::PathBuf, process::ExitCode};
use thiserror::Error;

/// One error with its remedy.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CommandError {
    /// The arguments are wrong.
    #[error("{problem}")]
    #[diagnostic(code(cornelrail::arguments), help("{remedy}"))]
    Arguments {
        /// What is wrong.
        problem: String,
        /// What to do.
        remedy: String,
    },
    /// The arguments of `check` are wrong.
    #[error("{problem}")]
    #[diagnostic(code(cornelrail::arguments), help("{remedy}"))]
    CheckArguments {
        /// What is wrong.
        problem: String,
        /// What to do.
        remedy: String,
    },
    /// A settings file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A settings file does not fit this host.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Load(#[from] LoadError),
    /// A release note is wrong.
    #[error("{}: {fault}", path.display())]
    #[diagnostic(code(cornelrail::note), help("docs/OPERATORS.md explains each number"))]
    Note {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        fault: NoteError,
    },
    /// A file cannot be read.
    #[error("cannot read {}: {fault}", path.display())]
    #[diagnostic(
        code(cornelrail::file::read),
        help("check the path and its permissions")
    )]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        fault: io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {fault}", path.display())]
    #[diagnostic(
        code(cornelrail::file::write),
        help("name a new file in a folder that you may write")
    )]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        fault: io::Error,
    },
    /// A certificate cannot be made.
    #[error("cannot make keys: {0}")]
    #[diagnostic(
        code(cornelrail::keys),
        help("check that authority.pem and authority.key belong together")
    )]
    Keys(#[from] rcgen::Error),
    /// The entry cannot be reached.
    #[error("no answer from {address}: {problem}")]
    #[diagnostic(
        code(cornelrail::entry::unreachable),
        help("check the address, or ask another entry with --to")
    )]
    Unreachable {
        /// Address asked.
        address: String,
        /// What happened.
        problem: String,
    },
    /// The entry turned the token down.
    #[error("not allowed: {0}")]
    #[diagnostic(
        code(cornelrail::entry::token),
        help("name the file of your token with --token-file")
    )]
    NotAllowed(String),
    /// The entry refused the question.
    #[error("{0}")]
    #[diagnostic(
        code(cornelrail::entry::refused),
        help("docs/OPERATORS.md explains each refusal")
    )]
    Refused(String),
    /// A part of the command failed.
    #[error("{0}")]
    #[diagnostic(code(cornelrail::run), help("run it again; report it if it stays"))]
    Run(String),
}

impl CommandError {
    /// An error in the arguments.
    pub(crate) fn arguments(problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        CommandError::Arguments {
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    /// The same error, with the exit code of `check` if its arguments are wrong.
    pub(crate) fn of_check(self) -> Self {
        match self {
            CommandError::Arguments { problem, remedy } => {
                CommandError::CheckArguments { problem, remedy }
            }
            other => other,
        }
    }

    /// Exit code of the error.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Arguments { .. } => exit::USAGE,
            CommandError::CheckArguments { .. } => exit::CHECK_USAGE,
            CommandError::Unreachable { .. } => exit::NO_ANSWER,
            CommandError::NotAllowed(_) => exit::NOT_ALLOWED,
            CommandError::Settings(_)
            | CommandError::Load(_)
            | CommandError::Note { .. }
            | CommandError::Read { .. }
            | CommandError::Write { .. }
            | CommandError::Keys(_)
            | CommandError::Refused(_)
            | CommandError::Run(_) => exit::REFUSED,
        })
    }
}
