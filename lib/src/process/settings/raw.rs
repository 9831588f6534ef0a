//! A settings file as it is written, each value with its line.

use super::{
    Assigner, LogFormat, LogLevel, Sending,
    error::{Fault, SettingsFault},
};
use serde::Deserialize;
use serde_saphyr::{Error, Location, Spanned};

/// Text with its line.
pub(super) type Text = Spanned<String>;
/// Number with its line.
pub(super) type Number = Spanned<u64>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawListen {
    pub callers: Text,
    pub targets: Text,
    pub operators: Text,
    pub peers: Text,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPeer {
    pub node: Number,
    pub zone: Text,
    pub address: Text,
    #[serde(default)]
    pub voter: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTls {
    pub authority: Text,
    pub certificate: Text,
    pub key: Text,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawOperator {
    pub name: Text,
    pub digest: Text,
    #[serde(default)]
    pub approve: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawTiming {
    pub heartbeat: Option<Text>,
    pub entry_lease: Option<Text>,
    pub target_lease: Option<Text>,
    pub election: Option<Text>,
    pub drift: Option<Text>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawLog {
    pub level: Option<LogLevel>,
    pub folder: Option<Text>,
    pub format: Option<LogFormat>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawLimits {
    pub queue: Option<Number>,
    pub open: Option<Number>,
    pub connections: Option<Number>,
    pub head_time: Option<Text>,
    pub idle_time: Option<Text>,
    pub head_size: Option<Text>,
    pub body_size: Option<Text>,
    pub shutdown_time: Option<Text>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawOnce {
    pub retention: Option<Text>,
    pub records: Option<Number>,
}

/// The whole file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawSettings {
    pub fleet: Text,
    pub node: Number,
    pub zone: Text,
    pub listen: RawListen,
    pub peers: Spanned<Vec<RawPeer>>,
    pub data: Option<Text>,
    pub tls: RawTls,
    pub operators: Spanned<Vec<RawOperator>>,
    #[serde(default)]
    pub timing: RawTiming,
    pub sending: Option<Sending>,
    pub assigner: Option<Assigner>,
    #[serde(default)]
    pub log: RawLog,
    #[serde(default)]
    pub limits: RawLimits,
    #[serde(default)]
    pub once: RawOnce,
}

/// Reads the file's YAML.
pub(super) fn read(text: &str) -> Result<RawSettings, Fault> {
    serde_saphyr::from_str(text).map_err(|error| Fault {
        line: error
            .location()
            .map_or(1, |place| fault_line(&error, place)),
        kind: fault(&error),
    })
}

/// Line of a location; a location that is not known counts as the first line.
pub(super) fn line(location: Location) -> u64 {
    location.line().max(1)
}

/// Line of an error. The reader puts a missing key at the last key beside it; one of the whole file
/// is missing from the first line on.
fn fault_line(error: &Error, place: Location) -> u64 {
    match error.without_snippet() {
        Error::SerdeMissingField { .. } if place.column() <= 1 => 1,
        _ => line(place),
    }
}

/// Turns the reader's error into a fault that names its remedy.
fn fault(error: &Error) -> SettingsFault {
    match error.without_snippet() {
        Error::SerdeUnknownField {
            field, expected, ..
        } => SettingsFault::Unknown(field.to_string(), expected.join(", ")),
        Error::DuplicateMappingKey { key, .. } => {
            SettingsFault::Duplicate(key.clone().unwrap_or_else(|| "?".to_owned()))
        }
        Error::SerdeMissingField { field, .. } => SettingsFault::Missing(field.to_string()),
        other => SettingsFault::Syntax(plain(&other.to_string())),
    }
}

/// First line of a reader's message, without the place, in the words of a settings file.
fn plain(message: &str) -> String {
    let first = message.lines().next().unwrap_or_default();
    let text = first.split(" at line ").next().unwrap_or(first);
    text.replace("invalid u64", "a whole number is needed here")
}
