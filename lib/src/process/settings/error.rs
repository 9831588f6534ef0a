//! Errors in a settings file, each with its line and a remedy.

use crate::process::unit::UnitError;
use miette::Diagnostic;
use std::fmt;
use thiserror::Error;

/// Kind of an error in a settings file; its diagnostic help is the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum SettingsErrorKind {
    /// The text is not valid YAML, or a value has the wrong type.
    #[error("{0}")]
    #[diagnostic(
        code(cornelrail::settings::syntax),
        help("correct the YAML; docs/SETTINGS.md has a complete example")
    )]
    Syntax(String),
    /// Unknown key, with the keys that are allowed at its place.
    #[error("unknown key `{0}`")]
    #[diagnostic(
        code(cornelrail::settings::unknown),
        help("remove it or correct its spelling; keys allowed here: {1}")
    )]
    Unknown(String, String),
    /// Key that occurs twice in one mapping.
    #[error("duplicate key `{0}`")]
    #[diagnostic(code(cornelrail::settings::duplicate), help("keep one of the two"))]
    Duplicate(String),
    /// Required key that is missing.
    #[error("key `{0}` is missing")]
    #[diagnostic(
        code(cornelrail::settings::missing),
        help("add it; docs/SETTINGS.md lists its values")
    )]
    Missing(String),
    /// Value without a unit, or with an unknown one.
    #[error("`{key}`: {error}")]
    #[diagnostic(
        code(cornelrail::settings::unit),
        help("write a number with its unit, such as 250ms or 64KiB")
    )]
    Unit {
        /// Key of the value.
        key: &'static str,
        /// Error of the value.
        error: UnitError,
    },
    /// Value that is not an IP address with a port.
    #[error("`{key}`: `{value}` is not an IP address with a port")]
    #[diagnostic(
        code(cornelrail::settings::address),
        help("write an IP address and a port, such as 10.0.0.1:7101")
    )]
    Address {
        /// Key of the value.
        key: &'static str,
        /// Text of the value.
        value: String,
    },
    /// Value that is out of range or contradicts another value.
    #[error("`{key}`: {problem}")]
    #[diagnostic(code(cornelrail::settings::value), help("{remedy}"))]
    Value {
        /// Key of the value.
        key: &'static str,
        /// Problem with the value; the message puts the key before it.
        problem: String,
        /// What the user can do about it.
        remedy: &'static str,
    },
}

/// Error at a line of a file whose name is not known yet.
#[derive(Debug)]
pub(super) struct LocatedError {
    /// Line of the error, from 1.
    pub line: u64,
    /// Kind of the error.
    pub kind: SettingsErrorKind,
}

impl LocatedError {
    /// Adds the name of the file.
    pub(super) fn in_file(self, file: &str) -> SettingsError {
        SettingsError {
            file: file.to_owned(),
            line: self.line,
            kind: self.kind,
        }
    }
}

/// Error in a settings file, with file and line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {kind}")]
pub struct SettingsError {
    /// Name of the file as the user gave it.
    pub file: String,
    /// Line of the error, from 1.
    pub line: u64,
    /// Kind of the error.
    pub kind: SettingsErrorKind,
}

impl Diagnostic for SettingsError {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.kind.code()
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.kind.help()
    }
}
