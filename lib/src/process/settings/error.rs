//! Faults of a settings file.

use crate::process::unit::UnitError;
use miette::Diagnostic;
use std::fmt;
use thiserror::Error;

/// What is wrong in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum SettingsFault {
    /// The text is no YAML, or a value has the wrong shape.
    #[error("{0}")]
    #[diagnostic(
        code(cornelrail::settings::syntax),
        help("mend the YAML; docs/SETTINGS.md shows a whole file")
    )]
    Syntax(String),
    /// A key that does not exist.
    #[error("unknown key `{0}`")]
    #[diagnostic(
        code(cornelrail::settings::unknown),
        help("remove it or mend its spelling; keys here: {1}")
    )]
    Unknown(String, String),
    /// A key that stands twice.
    #[error("key `{0}` stands twice")]
    #[diagnostic(code(cornelrail::settings::duplicate), help("keep one of the two"))]
    Duplicate(String),
    /// A key that has to be there.
    #[error("key `{0}` is missing")]
    #[diagnostic(
        code(cornelrail::settings::missing),
        help("add it; docs/SETTINGS.md tells its values")
    )]
    Missing(String),
    /// A value without a unit, or with a wrong one.
    #[error("`{key}`: {fault}")]
    #[diagnostic(
        code(cornelrail::settings::unit),
        help("write a number with its unit, such as 250ms or 64KiB")
    )]
    Unit {
        /// Key of the value.
        key: &'static str,
        /// What is wrong with it.
        fault: UnitError,
    },
    /// A value that is no address.
    #[error("`{key}`: `{value}` is no address")]
    #[diagnostic(
        code(cornelrail::settings::address),
        help("write an IP number and a port, such as 10.0.0.1:7101")
    )]
    Address {
        /// Key of the value.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// A value that is out of its bounds, or disagrees with another.
    #[error("`{key}`: {problem}")]
    #[diagnostic(code(cornelrail::settings::value), help("{remedy}"))]
    Value {
        /// Key of the value.
        key: &'static str,
        /// What is wrong.
        problem: String,
        /// What to do.
        remedy: &'static str,
    },
}

/// A fault with its line, not yet tied to a file.
#[derive(Debug)]
pub(super) struct Fault {
    /// Line of the fault, from 1.
    pub line: u64,
    /// What is wrong.
    pub kind: SettingsFault,
}

impl Fault {
    /// The error that names its file.
    pub(super) fn in_file(self, file: &str) -> SettingsError {
        SettingsError {
            file: file.to_owned(),
            line: self.line,
            fault: self.kind,
        }
    }
}

/// A fault of a settings file with its place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {fault}")]
pub struct SettingsError {
    /// File as the user named it.
    pub file: String,
    /// Line of the fault, from 1.
    pub line: u64,
    /// What is wrong.
    pub fault: SettingsFault,
}

impl Diagnostic for SettingsError {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.fault.code()
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.fault.help()
    }
}
