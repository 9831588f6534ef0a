//! Parses operators' release notes and checks their form.
//!
//! A note is a short YAML document: the version that it builds on, and what it adds, changes and
//! withdraws. Its digest covers the parsed content, so a resend is recognized even if its comments,
//! order or spacing differ.

use super::{
    fleet::{ServiceKind, ServiceSettings, ZoneState},
    note_error::{MAX_NOTE_BYTES, NoteError},
};
use crate::{
    name::{Service, Target, Version, Zone},
    process::unit::HumanDuration,
};
use serde::{Deserialize, Serialize};
use serde_saphyr::{Error as YamlError, Spanned};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
const MAX_NAME_BYTES: usize = 64;

/// Safety check that a note may disable by listing it under `allow`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Override {
    /// Allows the note to leave no zone in service.
    LastZone,
    /// Allows the note to leave a service without serving targets.
    NoTargets,
}

/// What a note adds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Added {
    /// New zones, which are in service at once.
    pub zones: BTreeSet<Zone>,
    /// New services with their settings.
    pub services: BTreeMap<Service, ServiceSettings>,
    /// Withdrawn targets that may join again.
    pub targets: BTreeSet<Target>,
}

/// Change of some settings of a service; `None` leaves a setting as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct SettingsChange {
    /// Once-only routes, whose requests must not run twice.
    pub once: Option<Vec<String>>,
    /// Low-priority routes, which are shed first under load.
    pub low: Option<Vec<String>>,
    /// Deadline of requests that state none.
    pub deadline: Option<Duration>,
    /// Window in which equal once-only requests without an identity count as one.
    pub repeat_window: Option<Duration>,
}

/// What a note changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Changed {
    /// Zones taken out of service or returned to it.
    pub zones: BTreeMap<Zone, ZoneState>,
    /// Services whose settings change.
    pub services: BTreeMap<Service, SettingsChange>,
}

/// What a note withdraws.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawn {
    /// Targets that drain and may not join again until a note adds them.
    pub targets: BTreeSet<Target>,
    /// Zones to remove from the fleet.
    pub zones: BTreeSet<Zone>,
    /// Services to remove from the fleet.
    pub services: BTreeSet<Service>,
}

/// A release note whose form is valid; [`Note::check`] checks it against a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Note {
    /// Configuration version that the note builds on; it must be the current one.
    pub builds_on: Version,
    /// Zones, services and targets that the note adds.
    pub added: Added,
    /// Zones and services that the note changes.
    pub changed: Changed,
    /// Targets, zones and services that the note withdraws.
    pub withdrawn: Withdrawn,
    /// Safety checks that the note disables.
    pub allow: BTreeSet<Override>,
}

impl Note {
    /// Parses a note and checks its form, but not whether it fits a fleet.
    pub fn parse(text: &str) -> Result<Note, NoteError> {
        if text.len() > MAX_NOTE_BYTES {
            return Err(NoteError::TooLarge { bytes: text.len() });
        }
        let raw: RawNote = serde_saphyr::from_str(text).map_err(|e| from_yaml_error(&e))?;
        let note = raw.validate()?;
        note.check_names()?;
        note.check_contradictions()?;
        if note.is_empty() {
            return Err(NoteError::Empty);
        }
        Ok(note)
    }

    /// BLAKE3 digest of the note's content, as hexadecimal text.
    pub fn digest(&self) -> String {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        blake3::hash(&bytes).to_hex().to_string()
    }

    /// Whether the note disables this safety check.
    pub fn has_override(&self, wanted: Override) -> bool {
        self.allow.contains(&wanted)
    }

    fn is_empty(&self) -> bool {
        self.added == Added::default()
            && self.changed == Changed::default()
            && self.withdrawn == Withdrawn::default()
    }

    fn check_names(&self) -> Result<(), NoteError> {
        let zones = self.added.zones.iter().map(Zone::as_str);
        let services = self.added.services.keys().map(Service::as_str);
        let targets = self.added.targets.iter().map(Target::as_str);
        match zones
            .chain(services)
            .chain(targets)
            .find(|n| !is_valid_name(n))
        {
            Some(name) => Err(NoteError::InvalidName(name.to_owned())),
            None => Ok(()),
        }
    }

    /// Checks that no zone, service or target is listed in more than one section.
    fn check_contradictions(&self) -> Result<(), NoteError> {
        let zones = (self.added.zones.iter())
            .chain(self.changed.zones.keys())
            .chain(&self.withdrawn.zones);
        let services = (self.added.services.keys())
            .chain(self.changed.services.keys())
            .chain(&self.withdrawn.services);
        let targets = self.added.targets.iter().chain(&self.withdrawn.targets);
        check_unique(zones.map(Zone::as_str))?;
        check_unique(services.map(Service::as_str))?;
        check_unique(targets.map(Target::as_str))
    }
}

/// Returns an error that names the first duplicate.
fn check_unique<'a>(names: impl Iterator<Item = &'a str>) -> Result<(), NoteError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(NoteError::Contradiction(name.to_owned()));
        }
    }
    Ok(())
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

/// Returns the routes if each has the form `METHOD /prefix`.
fn check_routes(routes: Vec<String>) -> Result<Vec<String>, NoteError> {
    let is_route = |route: &str| {
        route.split_once(' ').is_some_and(|(method, path)| {
            !method.is_empty()
                && method.chars().all(|c| c.is_ascii_uppercase())
                && path.starts_with('/')
                && !path.contains(char::is_whitespace)
        })
    };
    match routes.iter().find(|route| !is_route(route)) {
        Some(route) => Err(NoteError::InvalidRoute(route.clone())),
        None => Ok(routes),
    }
}

/// Converts a YAML error into a note error with its line; line 0 if the parser gives none.
fn from_yaml_error(error: &YamlError) -> NoteError {
    let error = error.without_snippet();
    let line = error.location().map_or(0, |location| location.line());
    match error {
        YamlError::SerdeUnknownField {
            field, expected, ..
        } => NoteError::UnknownKey {
            line,
            key: field.clone(),
            allowed: expected.join(", "),
        },
        YamlError::DuplicateMappingKey { key, .. } => NoteError::DuplicateKey {
            line,
            key: key.clone().unwrap_or_default(),
        },
        other => NoteError::InvalidSyntax {
            line,
            detail: yaml_detail(other),
        },
    }
}

/// First line of the parser's message, without its location, which [`NoteError`] states itself.
fn yaml_detail(error: &YamlError) -> String {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    let end = line.find(" at line ").unwrap_or(line.len());
    line[..end].to_owned()
}

/// A release note as written in YAML, before durations and routes are checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawNote {
    builds_on: Version,
    #[serde(default)]
    added: RawAdded,
    #[serde(default)]
    changed: RawChanged,
    #[serde(default)]
    withdrawn: Withdrawn,
    #[serde(default)]
    allow: BTreeSet<Override>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawAdded {
    zones: BTreeSet<Zone>,
    services: BTreeMap<Service, RawService>,
    targets: BTreeSet<Target>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawChanged {
    zones: BTreeMap<Zone, ZoneState>,
    services: BTreeMap<Service, RawSettingsChange>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    kind: ServiceKind,
    #[serde(default)]
    once: Vec<String>,
    #[serde(default)]
    low: Vec<String>,
    deadline: Option<Spanned<String>>,
    repeat_window: Option<Spanned<String>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawSettingsChange {
    once: Option<Vec<String>>,
    low: Option<Vec<String>>,
    deadline: Option<Spanned<String>>,
    repeat_window: Option<Spanned<String>>,
}

impl RawNote {
    fn validate(self) -> Result<Note, NoteError> {
        let mut note = Note {
            builds_on: self.builds_on,
            added: Added {
                zones: self.added.zones,
                services: BTreeMap::new(),
                targets: self.added.targets,
            },
            changed: Changed {
                zones: self.changed.zones,
                services: BTreeMap::new(),
            },
            withdrawn: self.withdrawn,
            allow: self.allow,
        };
        for (name, raw) in self.added.services {
            note.added.services.insert(name, raw.validate()?);
        }
        for (name, raw) in self.changed.services {
            note.changed.services.insert(name, raw.validate()?);
        }
        Ok(note)
    }
}

impl RawService {
    fn validate(self) -> Result<ServiceSettings, NoteError> {
        Ok(ServiceSettings {
            kind: self.kind,
            once: check_routes(self.once)?,
            low: check_routes(self.low)?,
            deadline: parse_deadline(self.deadline)?.unwrap_or(DEFAULT_DEADLINE),
            repeat_window: parse_duration(self.repeat_window)?.unwrap_or_default(),
        })
    }
}

impl RawSettingsChange {
    fn validate(self) -> Result<SettingsChange, NoteError> {
        Ok(SettingsChange {
            once: self.once.map(check_routes).transpose()?,
            low: self.low.map(check_routes).transpose()?,
            deadline: parse_deadline(self.deadline)?,
            repeat_window: parse_duration(self.repeat_window)?,
        })
    }
}

fn parse_duration(text: Option<Spanned<String>>) -> Result<Option<Duration>, NoteError> {
    let Some(text) = text else {
        return Ok(None);
    };
    let line = text.referenced.line();
    match text.value.parse::<HumanDuration>() {
        Ok(duration) => Ok(Some(duration.0)),
        Err(source) => Err(NoteError::InvalidDuration { line, source }),
    }
}

fn parse_deadline(text: Option<Spanned<String>>) -> Result<Option<Duration>, NoteError> {
    let line = text.as_ref().map_or(0, |text| text.referenced.line());
    match parse_duration(text)? {
        Some(Duration::ZERO) => Err(NoteError::ZeroDuration {
            line,
            name: "deadline",
        }),
        other => Ok(other),
    }
}
