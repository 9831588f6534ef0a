//! Shape of a settings file: reads the YAML into values that know their line.
//!
//! `check` turns them into [`Settings`](super::Settings).

use super::{
    Assigner, LogFormat, LogLevel, Sending,
    error::{LocatedError, SettingsErrorKind},
};
use serde::Deserialize;
use serde_saphyr::{Error, Location, Spanned};

/// Text with its location in the file.
pub(super) type LocatedText = Spanned<String>;
/// Whole number with its location in the file.
pub(super) type LocatedNumber = Spanned<u64>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListenSection {
    pub callers: LocatedText,
    pub targets: LocatedText,
    pub operators: LocatedText,
    pub peers: LocatedText,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PeerItem {
    pub node: LocatedNumber,
    pub zone: LocatedText,
    pub address: LocatedText,
    #[serde(default)]
    pub voter: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TlsSection {
    pub authority: LocatedText,
    pub certificate: LocatedText,
    pub key: LocatedText,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorItem {
    pub name: LocatedText,
    pub digest: LocatedText,
    #[serde(default)]
    pub approve: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct TimingSection {
    pub heartbeat: Option<LocatedText>,
    pub entry_lease: Option<LocatedText>,
    pub target_lease: Option<LocatedText>,
    pub election: Option<LocatedText>,
    pub drift: Option<LocatedText>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct LogSection {
    pub level: Option<LogLevel>,
    pub folder: Option<LocatedText>,
    pub format: Option<LogFormat>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct LimitsSection {
    pub queue: Option<LocatedNumber>,
    pub open: Option<LocatedNumber>,
    pub connections: Option<LocatedNumber>,
    pub head_time: Option<LocatedText>,
    pub idle_time: Option<LocatedText>,
    pub head_size: Option<LocatedText>,
    pub body_size: Option<LocatedText>,
    pub shutdown_time: Option<LocatedText>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct OnceSection {
    pub retention: Option<LocatedText>,
    pub records: Option<LocatedNumber>,
}

/// Content of the whole file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SettingsFile {
    pub fleet: LocatedText,
    pub node: LocatedNumber,
    pub zone: LocatedText,
    pub listen: ListenSection,
    pub peers: Spanned<Vec<PeerItem>>,
    pub data: Option<LocatedText>,
    pub tls: TlsSection,
    pub operators: Spanned<Vec<OperatorItem>>,
    #[serde(default)]
    pub timing: TimingSection,
    pub sending: Option<Sending>,
    pub assigner: Option<Assigner>,
    #[serde(default)]
    pub log: LogSection,
    #[serde(default)]
    pub limits: LimitsSection,
    #[serde(default)]
    pub once: OnceSection,
}

/// Parses the YAML of a settings file.
pub(super) fn read(text: &str) -> Result<SettingsFile, LocatedError> {
    serde_saphyr::from_str(text).map_err(|error| LocatedError {
        line: error
            .location()
            .map_or(1, |location| error_line(&error, location)),
        kind: error_kind(&error),
    })
}

/// Line of a location; 1 if the location is unknown.
pub(super) fn line(location: Location) -> u64 {
    location.line().max(1)
}

/// Line of an error. The YAML parser locates a missing key at the last key of its mapping; a key
/// missing from the top level is reported at line 1.
fn error_line(error: &Error, location: Location) -> u64 {
    match error.without_snippet() {
        Error::SerdeMissingField { .. } if location.column() <= 1 => 1,
        _ => line(location),
    }
}

/// Converts an error of the YAML parser into a kind that has a remedy.
fn error_kind(error: &Error) -> SettingsErrorKind {
    match error.without_snippet() {
        Error::SerdeUnknownField {
            field, expected, ..
        } => SettingsErrorKind::Unknown(field.to_string(), expected.join(", ")),
        Error::DuplicateMappingKey { key, .. } => {
            SettingsErrorKind::Duplicate(key.clone().unwrap_or_else(|| "?".to_owned()))
        }
        Error::SerdeMissingField { field, .. } => SettingsErrorKind::Missing(field.to_string()),
        other => SettingsErrorKind::Syntax(simplify(&other.to_string())),
    }
}

/// First line of a message of the YAML parser, without the location and the names of Rust types.
fn simplify(message: &str) -> String {
    let first = message.lines().next().unwrap_or_default();
    let text = first.split(" at line ").next().unwrap_or(first);
    text.replace("invalid u64", "expected a whole number")
}
