//! Checks a release note against a fleet, describes its effect to operators and applies it.
//!
//! A note takes effect only if it builds on the current version, so of several operators who start
//! from the same version one wins. A resend of an accepted note gets the first answer again.

use super::{
    fleet::{Applied, Fleet, NoteRecord, ServiceKind, ServiceState, TargetPhase, ZoneState},
    note::{Note, Override, SettingsChange},
    note_error::NoteError,
    range_table,
};
use crate::{
    name::{Service, Target, Version, Zone},
    process::unit::HumanDuration,
};
use serde::Serialize;
use std::fmt;

/// Maximum width of a line for operators, in characters, so that it fits the screen of a phone.
pub const PHONE_COLUMNS: usize = 48;
/// Number of records of accepted notes that are kept to answer resends.
pub const MAX_NOTE_RECORDS: usize = 512;
/// Maximum number of differing lines that the answer to a conflicting note lists.
const MAX_DIFFERENCES: usize = 24;

/// Serving capacity of a service before and after a note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ServiceEffect {
    /// Service whose capacity changes.
    pub service: Service,
    /// Number of serving targets before the note.
    pub targets_before: usize,
    /// Number of serving targets after the note.
    pub targets_after: usize,
    /// Slots of the serving targets before the note.
    pub slots_before: u32,
    /// Slots of the serving targets after the note.
    pub slots_after: u32,
}

impl ServiceEffect {
    /// Percentage of the slots that the note takes away, rounded up; zero if it takes none away.
    pub fn lost_percent(&self) -> u32 {
        let lost = self.slots_before.saturating_sub(self.slots_after);
        (100 * lost).div_ceil(self.slots_before.max(1))
    }

    /// Load of each remaining slot, in percent of its load before; `None` if no slot remains.
    pub fn load_percent(&self) -> Option<u32> {
        (self.slots_after > 0).then(|| (100 * self.slots_before).div_ceil(self.slots_after))
    }
}

/// Line that describes one change by a note to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ChangeLine(pub String);

/// Effect of a release note; its `Display` text wraps at [`PHONE_COLUMNS`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Effect {
    /// Configuration version that the note creates.
    pub version: Version,
    /// Descriptions of the changes: what is added, changed and withdrawn, in this order.
    pub changes: Vec<ChangeLine>,
    /// Services whose number of serving targets changes.
    pub services: Vec<ServiceEffect>,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "creates version {}", self.version)?;
        for ChangeLine(text) in &self.changes {
            write_wrapped(f, text)?;
        }
        for effect in &self.services {
            write_wrapped(f, &effect.to_string())?;
        }
        Ok(())
    }
}

impl fmt::Display for ServiceEffect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: slots {} to {}, targets {} to {}",
            self.service,
            self.slots_before,
            self.slots_after,
            self.targets_before,
            self.targets_after
        )?;
        match self.load_percent() {
            None => write!(f, "; no slots are left to serve its load"),
            Some(load) if load > 100 => write!(
                f,
                "; loses {}%, each remaining slot gets {load}% of its previous load",
                self.lost_percent()
            ),
            Some(_) => Ok(()),
        }
    }
}

/// Writes the text as an item of a list, wrapped to [`PHONE_COLUMNS`].
fn write_wrapped(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    let mut column = PHONE_COLUMNS;
    let mut prefix = "- ";
    for word in text.split(' ') {
        if column + 1 + word.len() > PHONE_COLUMNS {
            write!(f, "\n{prefix}{word}")?;
            column = prefix.len() + word.len();
            prefix = "  ";
        } else {
            write!(f, " {word}")?;
            column += 1 + word.len();
        }
    }
    Ok(())
}

impl Note {
    /// Checks that the note can be applied to the fleet and returns its effect.
    pub fn check(&self, fleet: &Fleet) -> Result<Effect, NoteError> {
        self.check_version(fleet)?;
        self.check_references(fleet)?;
        let mut after = fleet.clone();
        after.apply_content(self);
        self.check_zones(fleet, &after)?;
        let services = compare_services(fleet, &after);
        let emptied = services
            .iter()
            .find(|s| s.targets_after == 0 && s.targets_before > 0);
        if let Some(emptied) = emptied
            && !self.has_override(Override::NoTargets)
        {
            return Err(NoteError::NoTargets(emptied.service.clone()));
        }
        Ok(Effect {
            version: fleet.version.next(),
            changes: self.change_lines(fleet),
            services,
        })
    }

    fn check_version(&self, fleet: &Fleet) -> Result<(), NoteError> {
        let (wanted, current) = (self.builds_on, fleet.version);
        match wanted.cmp(&current) {
            std::cmp::Ordering::Less => Err(NoteError::OutdatedVersion { wanted, current }),
            std::cmp::Ordering::Equal => Ok(()),
            std::cmp::Ordering::Greater => Err(NoteError::FutureVersion { wanted, current }),
        }
    }

    /// Checks that what the note adds does not exist yet, that what it changes or withdraws exists,
    /// and that no target serves a withdrawn service.
    fn check_references(&self, fleet: &Fleet) -> Result<(), NoteError> {
        if let Some(zone) = self
            .added
            .zones
            .iter()
            .find(|z| fleet.zones.contains_key(*z))
        {
            return Err(NoteError::AlreadyExists(zone.to_string()));
        }
        let mut services = self.added.services.keys();
        if let Some(service) = services.find(|s| fleet.services.contains_key(*s)) {
            return Err(NoteError::AlreadyExists(service.to_string()));
        }
        let mut zones = self.changed.zones.keys().chain(&self.withdrawn.zones);
        if let Some(zone) = zones.find(|z| !fleet.zones.contains_key(*z)) {
            return Err(NoteError::UnknownZone(zone.clone()));
        }
        let mut services = (self.changed.services.keys()).chain(&self.withdrawn.services);
        if let Some(service) = services.find(|s| !fleet.services.contains_key(*s)) {
            return Err(NoteError::UnknownService(service.clone()));
        }
        let known = |t: &Target| fleet.targets.contains_key(t) || fleet.withdrawn.contains(t);
        if let Some(target) = self.withdrawn.targets.iter().find(|t| !known(t)) {
            return Err(NoteError::UnknownTarget(target.clone()));
        }
        let is_in_use = |service: &Service| {
            let mut targets = fleet.targets.values();
            targets.any(|t| t.announcement.service == *service && t.phase != TargetPhase::Lost)
        };
        match self.withdrawn.services.iter().find(|s| is_in_use(s)) {
            Some(service) => Err(NoteError::ServiceInUse(service.clone())),
            None => Ok(()),
        }
    }

    fn check_zones(&self, before: &Fleet, after: &Fleet) -> Result<(), NoteError> {
        let has_zone = |fleet: &Fleet| fleet.zones.values().any(|zone| *zone == ZoneState::In);
        if has_zone(before) && !has_zone(after) && !self.has_override(Override::LastZone) {
            return Err(NoteError::LastZone);
        }
        Ok(())
    }

    fn change_lines(&self, fleet: &Fleet) -> Vec<ChangeLine> {
        let mut lines = Vec::new();
        lines.extend(self.added.zones.iter().map(|z| format!("adds zone {z}")));
        lines.extend(self.added.services.iter().map(|(name, settings)| {
            let kind = match settings.kind {
                ServiceKind::Keyed => "keyed",
                ServiceKind::Pool => "pool",
            };
            format!("adds {kind} service {name}")
        }));
        let targets = &self.added.targets;
        lines.extend(targets.iter().map(|t| format!("allows target {t} to join")));
        let zones = &self.changed.zones;
        lines.extend(zones.iter().map(|(z, state)| zone_line(fleet, z, *state)));
        for (name, change) in &self.changed.services {
            if let Some(state) = fleet.services.get(name) {
                lines.extend(settings_lines(name, state, change));
            }
        }
        let withdrawn = &self.withdrawn;
        lines.extend(withdrawn.targets.iter().map(|t| target_line(fleet, t)));
        lines.extend(
            withdrawn
                .zones
                .iter()
                .map(|z| format!("withdraws zone {z}")),
        );
        let services = &withdrawn.services;
        lines.extend(services.iter().map(|s| format!("withdraws service {s}")));
        lines.into_iter().map(ChangeLine).collect()
    }
}

fn zone_line(fleet: &Fleet, zone: &Zone, state: ZoneState) -> String {
    let unchanged = fleet.zones.get(zone) == Some(&state);
    let targets = fleet.targets.values();
    let count = targets
        .filter(|t| t.announcement.zone == *zone && t.phase == TargetPhase::Serving)
        .count();
    match (state, unchanged) {
        (ZoneState::Out, false) => format!("takes zone {zone} out of service: {count} targets"),
        (ZoneState::In, false) => format!("returns zone {zone} to service: {count} targets"),
        (ZoneState::Out, true) => format!("zone {zone} is already out of service"),
        (ZoneState::In, true) => format!("zone {zone} is already in service"),
    }
}

fn target_line(fleet: &Fleet, target: &Target) -> String {
    match fleet.targets.get(target) {
        Some(state) => format!(
            "withdraws target {target} of {} in zone {}",
            state.announcement.service, state.announcement.zone
        ),
        None => format!("target {target} is already withdrawn"),
    }
}

fn settings_lines(name: &Service, state: &ServiceState, change: &SettingsChange) -> Vec<String> {
    let old = &state.settings;
    let mut lines = Vec::new();
    if let Some(deadline) = change.deadline {
        let (from, to) = (HumanDuration(old.deadline), HumanDuration(deadline));
        lines.push(format!("{name}: deadline {from} to {to}"));
    }
    if let Some(window) = change.repeat_window {
        let (from, to) = (HumanDuration(old.repeat_window), HumanDuration(window));
        lines.push(format!("{name}: repeat window {from} to {to}"));
    }
    if let Some(once) = &change.once {
        lines.push(format!(
            "{name}: once-only {}",
            describe_routes(&old.once, once)
        ));
    }
    if let Some(low) = &change.low {
        lines.push(format!(
            "{name}: shed first {}",
            describe_routes(&old.low, low)
        ));
    }
    lines
}

/// Describes the change of a list of routes, with `+` for each new and `-` for each removed one.
fn describe_routes(old: &[String], new: &[String]) -> String {
    let added = new.iter().filter(|r| !old.contains(r));
    let removed = old.iter().filter(|r| !new.contains(r));
    let parts: Vec<String> = added
        .map(|r| format!("+{r}"))
        .chain(removed.map(|r| format!("-{r}")))
        .collect();
    if parts.is_empty() {
        "unchanged".to_owned()
    } else {
        parts.join(", ")
    }
}

/// Returns the services of `before` whose number of serving targets changes.
fn compare_services(before: &Fleet, after: &Fleet) -> Vec<ServiceEffect> {
    let serving = |fleet: &Fleet, name: &Service| {
        fleet
            .serving_targets(name.as_str())
            .fold((0, 0), |(count, slots), (_, t)| {
                (count + 1, slots + t.announcement.slots)
            })
    };
    let names = before.services.keys();
    names
        .map(|name| {
            let (targets_before, slots_before) = serving(before, name);
            let (targets_after, slots_after) = serving(after, name);
            ServiceEffect {
                service: name.clone(),
                targets_before,
                targets_after,
                slots_before,
                slots_after,
            }
        })
        .filter(|s| s.targets_before != s.targets_after)
        .collect()
}

/// Lists the lines that only one of two notes contains, ignoring empty lines.
fn differences(winner: &str, loser: &str) -> Vec<String> {
    let lines = |text: &str| -> Vec<String> {
        let trimmed = text.lines().map(str::trim_end).filter(|l| !l.is_empty());
        trimmed.map(str::to_owned).collect()
    };
    let (winner, loser) = (lines(winner), lines(loser));
    let winner_only = winner.iter().filter(|line| !loser.contains(line));
    let loser_only = loser.iter().filter(|line| !winner.contains(line));
    winner_only
        .map(|line| format!("theirs: {line}"))
        .chain(loser_only.map(|line| format!("yours:  {line}")))
        .take(MAX_DIFFERENCES)
        .collect()
}

impl Fleet {
    /// Applies a note if it builds on the current version; a resend gets the first answer again.
    pub(super) fn apply_note(&mut self, author: &str, text: &str) -> Applied {
        let note = match Note::parse(text) {
            Ok(note) => note,
            Err(error) => return Applied::NoteRefused(error.to_string()),
        };
        let digest = note.digest();
        if let Some(first) = self.notes.iter().find(|n| n.digest == digest) {
            return Applied::NoteAccepted(first.clone());
        }
        if let Some(winner) = self.record_after(note.builds_on) {
            return Applied::NoteConflict {
                winner: winner.clone(),
                differences: differences(&winner.text, text),
            };
        }
        if let Err(error) = note.check(self) {
            return Applied::NoteRefused(error.to_string());
        }
        self.apply_content(&note);
        self.version = self.version.next();
        let record = NoteRecord {
            version: self.version,
            index: self.index,
            digest,
            author: author.to_owned(),
            text: text.to_owned(),
        };
        self.notes.push(record.clone());
        let excess = self.notes.len().saturating_sub(MAX_NOTE_RECORDS);
        self.notes.drain(..excess);
        Applied::NoteAccepted(record)
    }

    /// Allows a withdrawn target to join again; if it is still draining, it serves again at once.
    fn readmit(&mut self, target: &Target) {
        if !self.withdrawn.remove(target) {
            return;
        }
        self.departed.remove(target);
        if let Some(state) = self.targets.get_mut(target)
            && state.phase == TargetPhase::Draining
        {
            state.phase = TargetPhase::Serving;
        }
    }

    /// Returns the record of the note that was built on this version, if any.
    fn record_after(&self, builds_on: Version) -> Option<&NoteRecord> {
        self.notes.iter().find(|n| n.version == builds_on.next())
    }

    /// Applies the content of a checked note, without raising the version or recording the note.
    fn apply_content(&mut self, note: &Note) {
        let index = self.index;
        let zones = note.added.zones.iter();
        self.zones.extend(zones.map(|z| (z.clone(), ZoneState::In)));
        for (name, settings) in &note.added.services {
            let ranges = match settings.kind {
                ServiceKind::Keyed => range_table::new(index),
                ServiceKind::Pool => Vec::new(),
            };
            let state = ServiceState {
                settings: settings.clone(),
                ranges,
                home: None,
            };
            self.services.insert(name.clone(), state);
        }
        for target in &note.added.targets {
            self.readmit(target);
        }
        let zones = note.changed.zones.iter();
        self.zones
            .extend(zones.map(|(z, state)| (z.clone(), *state)));
        for (name, change) in &note.changed.services {
            if let Some(state) = self.services.get_mut(name) {
                change.apply_to(state);
            }
        }
        self.zones.retain(|z, _| !note.withdrawn.zones.contains(z));
        self.services
            .retain(|s, _| !note.withdrawn.services.contains(s));
        for target in &note.withdrawn.targets {
            self.withdrawn.insert(target.clone());
            if let Some(incarnation) = self.targets.get(target).map(|t| t.announcement.incarnation)
            {
                self.drain(target, incarnation);
            }
        }
        self.cancel_invalid_moves();
        self.refresh_pool_homes();
    }
}

impl SettingsChange {
    fn apply_to(&self, state: &mut ServiceState) {
        let settings = &mut state.settings;
        if let Some(once) = &self.once {
            settings.once.clone_from(once);
        }
        if let Some(low) = &self.low {
            settings.low.clone_from(low);
        }
        settings.deadline = self.deadline.unwrap_or(settings.deadline);
        settings.repeat_window = self.repeat_window.unwrap_or(settings.repeat_window);
    }
}
