//! Reasons for which a release note is refused.

use crate::{
    name::{Service, Target, Version, Zone},
    process::unit::UnitError,
};
use thiserror::Error;

/// Largest release note, in bytes.
pub const MAX_NOTE_BYTES: usize = 16 * 1024;

/// Why a release note is refused; each kind has a number and names its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NoteError {
    /// The note is too long.
    #[error(
        "N101: the note has {bytes} bytes and {MAX_NOTE_BYTES} are allowed; split it into \
         several notes"
    )]
    TooLarge {
        /// Its length.
        bytes: usize,
    },
    /// The note is not YAML of the documented form.
    #[error("N102 line {line}: {detail}; correct this line")]
    InvalidSyntax {
        /// Line, counted from 1; 0 if the place is not known.
        line: u64,
        /// What the parser found.
        detail: String,
    },
    /// A key is not part of the form.
    #[error("N103 line {line}: unknown key `{key}`; remove it or use one of: {allowed}")]
    UnknownKey {
        /// Line, counted from 1.
        line: u64,
        /// The key.
        key: String,
        /// Keys that may stand there.
        allowed: String,
    },
    /// A key stands twice.
    #[error("N104 line {line}: key `{key}` stands twice; keep one of them")]
    DuplicateKey {
        /// Line of the second one, counted from 1.
        line: u64,
        /// The key.
        key: String,
    },
    /// A time span has no or a wrong unit.
    #[error("N105 line {line}: {source}")]
    InvalidDuration {
        /// Line, counted from 1.
        line: u64,
        /// What is wrong with it.
        source: UnitError,
    },
    /// The note builds on a version that does not exist yet.
    #[error(
        "N106: the note builds on version {wanted}, but {current} is in force; set builds_on to {current}"
    )]
    FutureVersion {
        /// Version that it builds on.
        wanted: Version,
        /// Version in force.
        current: Version,
    },
    /// Another note made the version that this one wanted.
    #[error(
        "N107: version {wanted} is no longer the latest, {current} is; read what changed, then set builds_on to {current}"
    )]
    OutdatedVersion {
        /// Version that it builds on.
        wanted: Version,
        /// Version in force.
        current: Version,
    },
    /// The note changes nothing.
    #[error("N108: the note changes nothing; name what is added, changed or withdrawn")]
    Empty,
    /// The note names a zone that the fleet does not have.
    #[error("N109: zone `{0}` is unknown; correct the name or list it under added")]
    UnknownZone(Zone),
    /// The note names a service that the fleet does not have.
    #[error("N110: service `{0}` is unknown; correct the name or list it under added")]
    UnknownService(Service),
    /// The note withdraws a target that never announced itself.
    #[error("N111: target `{0}` is unknown; correct the name")]
    UnknownTarget(Target),
    /// The note adds a zone or service that exists.
    #[error("N112: `{0}` exists already; list it under changed")]
    AlreadyExists(String),
    /// The note names one thing twice, with different intents.
    #[error("N113: `{0}` stands under more than one of added, changed and withdrawn; keep one")]
    Contradiction(String),
    /// The note would leave no zone in service.
    #[error("N114: no zone would be left in service; keep one in or add `allow: [last-zone]`")]
    LastZone,
    /// The note would leave a service without targets.
    #[error("N115: service `{0}` would have no targets; keep some or add `allow: [no-targets]`")]
    NoTargets(Service),
    /// The note withdraws a service that targets still run.
    #[error("N116: targets still run service `{0}`; withdraw them in a note before this one")]
    ServiceInUse(Service),
    /// A value is out of bounds.
    #[error("N117 line {line}: {name} must be longer than zero; write for example 2s")]
    ZeroDuration {
        /// Line, counted from 1.
        line: u64,
        /// Name of the setting.
        name: &'static str,
    },
    /// A name or route has a wrong form.
    #[error("N118: `{0}` is not allowed; names use letters, digits, `-`, `_` and `.`, at most 64")]
    InvalidName(String),
    /// A route has a wrong form.
    #[error("N119: `{0}` is not a route; write a method and a path, for example `POST /pay`")]
    InvalidRoute(String),
}

impl NoteError {
    /// Number of the kind, as it stands in the catalogue.
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

    /// Line of the note at fault, counted from 1, where there is one.
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
