//! Reasons for refusing a release note, each with its number and a remedy for the operator.

use crate::{
    name::{Service, Target, Version, Zone},
    process::unit::UnitError,
};
use thiserror::Error;

/// Maximum size of a release note's text, in bytes.
pub const MAX_NOTE_BYTES: usize = 16 * 1024;

/// Reason for refusing a release note; its message begins with its number and ends with a remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NoteError {
    /// The note exceeds [`MAX_NOTE_BYTES`].
    #[error(
        "N101: the note has {bytes} bytes, but at most {MAX_NOTE_BYTES} are allowed; split it into \
         several notes"
    )]
    TooLarge {
        /// Size of the note, in bytes.
        bytes: usize,
    },
    /// The note is not valid YAML, or a value has the wrong type.
    #[error("N102 line {line}: {detail}; correct this line")]
    InvalidSyntax {
        /// Line number, starting at 1; 0 if the parser gives none.
        line: u64,
        /// Message of the YAML parser.
        detail: String,
    },
    /// The note has a key that is not defined at this place.
    #[error("N103 line {line}: unknown key `{key}`; remove it or use one of: {allowed}")]
    UnknownKey {
        /// Line number, starting at 1.
        line: u64,
        /// Key as written in the note.
        key: String,
        /// Keys that are defined there, separated by commas.
        allowed: String,
    },
    /// A mapping has the same key twice.
    #[error("N104 line {line}: key `{key}` appears twice; keep one of them")]
    DuplicateKey {
        /// Line number of the second occurrence, starting at 1.
        line: u64,
        /// Key as written in the note.
        key: String,
    },
    /// A duration cannot be parsed, for example because its unit is missing.
    #[error("N105 line {line}: {source}")]
    InvalidDuration {
        /// Line number, starting at 1.
        line: u64,
        /// Why it cannot be parsed.
        source: UnitError,
    },
    /// The note builds on a version that does not exist yet.
    #[error(
        "N106: the note builds on version {wanted}, but the current version is {current}; \
         set builds_on to {current}"
    )]
    FutureVersion {
        /// Version that the note builds on.
        wanted: Version,
        /// Current version of the configuration.
        current: Version,
    },
    /// The note builds on a version that is no longer the current one.
    #[error(
        "N107: the note builds on version {wanted}, but the current version is {current}; \
         read what changed, then set builds_on to {current}"
    )]
    OutdatedVersion {
        /// Version that the note builds on.
        wanted: Version,
        /// Current version of the configuration.
        current: Version,
    },
    /// The note lists nothing under `added`, `changed` or `withdrawn`.
    #[error("N108: the note changes nothing; list something under added, changed or withdrawn")]
    Empty,
    /// The note changes or withdraws a zone that does not exist.
    #[error("N109: zone `{0}` is unknown; correct the name or list it under added")]
    UnknownZone(Zone),
    /// The note changes or withdraws a service that does not exist.
    #[error("N110: service `{0}` is unknown; correct the name or list it under added")]
    UnknownService(Service),
    /// The note withdraws a target that is neither part of the fleet nor withdrawn.
    #[error("N111: target `{0}` is unknown; correct the name")]
    UnknownTarget(Target),
    /// The note adds a zone or service that already exists.
    #[error("N112: `{0}` already exists; list it under changed")]
    AlreadyExists(String),
    /// The note lists one name in more than one section.
    #[error("N113: `{0}` is listed under more than one of added, changed and withdrawn; keep one")]
    Contradiction(String),
    /// The note would leave no zone in service.
    #[error(
        "N114: no zone would be left in service; keep one in service or add `allow: [last-zone]`"
    )]
    LastZone,
    /// The note would leave a service without serving targets.
    #[error(
        "N115: service `{0}` would have no serving targets; keep some or add `allow: [no-targets]`"
    )]
    NoTargets(Service),
    /// The note withdraws a service that targets still serve.
    #[error("N116: targets still serve service `{0}`; withdraw them in a note before this one")]
    ServiceInUse(Service),
    /// A duration is zero where zero is not allowed.
    #[error("N117 line {line}: {name} must be longer than zero; write, for example, 2s")]
    ZeroDuration {
        /// Line number, starting at 1.
        line: u64,
        /// Key of the setting.
        name: &'static str,
    },
    /// The name of an added zone, service or target has invalid characters or is too long.
    #[error("N118: `{0}` is not a valid name; use at most 64 letters, digits, `-`, `_` and `.`")]
    InvalidName(String),
    /// A route is not of the form `METHOD /prefix`.
    #[error("N119: `{0}` is not a valid route; write a method and a path, for example `POST /pay`")]
    InvalidRoute(String),
}

impl NoteError {
    /// Number that identifies this reason in messages and in the operators' documentation.
    pub fn code(&self) -> u16 {
        match self {
            NoteError::TooLarge { .. } => 101,
            NoteError::InvalidSyntax { .. } => 102,
            NoteError::UnknownKey { .. } => 103,
            NoteError::DuplicateKey { .. } => 104,
            NoteError::InvalidDuration { .. } => 105,
            NoteError::FutureVersion { .. } => 106,
            NoteError::OutdatedVersion { .. } => 107,
            NoteError::Empty => 108,
            NoteError::UnknownZone(_) => 109,
            NoteError::UnknownService(_) => 110,
            NoteError::UnknownTarget(_) => 111,
            NoteError::AlreadyExists(_) => 112,
            NoteError::Contradiction(_) => 113,
            NoteError::LastZone => 114,
            NoteError::NoTargets(_) => 115,
            NoteError::ServiceInUse(_) => 116,
            NoteError::ZeroDuration { .. } => 117,
            NoteError::InvalidName(_) => 118,
            NoteError::InvalidRoute(_) => 119,
        }
    }

    /// Number of the line with the error, starting at 1, if it is known.
    pub fn line(&self) -> Option<u64> {
        match self {
            NoteError::InvalidSyntax { line, .. }
            | NoteError::UnknownKey { line, .. }
            | NoteError::DuplicateKey { line, .. }
            | NoteError::InvalidDuration { line, .. }
            | NoteError::ZeroDuration { line, .. } => (*line > 0).then_some(*line),
            _ => None,
        }
    }
}
