//! What a release note does to a fleet, and its transition.

use super::{
    fleet::{Applied, Fleet, NoteRecord, ServiceKind, ServiceState, TargetPhase, ZoneState},
    note::{Allowance, Note, SettingsChange},
    note_error::NoteError,
    range_table,
};
use crate::{
    name::{Service, Target, Version, Zone},
    process::unit::Span,
};
use serde::Serialize;
use std::fmt;

/// Columns of a phone's screen.
pub const PHONE_COLUMNS: usize = 48;
/// Notes whose records are kept to answer resends.
pub const NOTES_KEPT: usize = 512;
const DIFFERENCES_SHOWN: usize = 24;

/// What a service has before and after a note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ServiceEffect {
    /// The service.
    pub service: Service,
    /// Targets in service before.
    pub targets_before: usize,
    /// Targets in service after.
    pub targets_after: usize,
    /// Slots in service before.
    pub slots_before: u32,
    /// Slots in service after.
    pub slots_after: u32,
}

impl ServiceEffect {
    /// Share of the slots that is lost, in percent; zero if none is.
    pub fn lost_percent(&self) -> u32 {
        let lost = self.slots_before.saturating_sub(self.slots_after);
        (100 * lost).div_ceil(self.slots_before.max(1))
    }

    /// What each remaining slot has to carry, in percent of what it carried before.
    pub fn load_percent(&self) -> Option<u32> {
        (self.slots_after > 0).then(|| (100 * self.slots_before).div_ceil(self.slots_after))
    }
}

/// One change that a note makes, in plain words.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change(pub String);

/// What a release note does, in words and figures for a small screen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Effect {
    /// Version that the note makes.
    pub version: Version,
    /// The changes, in the order of the note.
    pub changes: Vec<Change>,
    /// Services whose targets in service change.
    pub services: Vec<ServiceEffect>,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "makes version {}", self.version)?;
        for Change(text) in &self.changes {
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
            None => write!(f, "; nothing is left to carry its load"),
            Some(load) if load > 100 => write!(
                f,
                "; loses {}%, each slot left carries {load}% of before",
                self.lost_percent()
            ),
            Some(_) => Ok(()),
        }
    }
}

fn write_wrapped(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    let mut column = PHONE_COLUMNS;
    let mut lead = "- ";
    for word in text.split(' ') {
        if column + 1 + word.len() > PHONE_COLUMNS {
            write!(f, "\n{lead}{word}")?;
            column = lead.len() + word.len();
            lead = "  ";
        } else {
            write!(f, " {word}")?;
            column += 1 + word.len();
        }
    }
    Ok(())
}

impl Note {
    /// Checks that the note fits the fleet and says what it does.
    pub fn check(&self, fleet: &Fleet) -> Result<Effect, NoteError> {
        self.check_version(fleet)?;
        self.check_known(fleet)?;
        let mut after = fleet.clone();
        after.enact(self);
        self.check_zones(fleet, &after)?;
        let services = compare_services(fleet, &after);
        let bare = services
            .iter()
            .find(|s| s.targets_after == 0 && s.targets_before > 0);
        if let Some(bare) = bare
            && !self.allows(Allowance::NoTargets)
        {
            return Err(NoteError::NoTargets(bare.service.clone()));
        }
        Ok(Effect {
            version: fleet.version.next(),
            changes: self.changes(fleet),
            services,
        })
    }

    fn check_version(&self, fleet: &Fleet) -> Result<(), NoteError> {
        let (wanted, current) = (self.builds_on, fleet.version);
        match wanted.cmp(&current) {
            std::cmp::Ordering::Less => Err(NoteError::PastVersion { wanted, current }),
            std::cmp::Ordering::Equal => Ok(()),
            std::cmp::Ordering::Greater => Err(NoteError::FutureVersion { wanted, current }),
        }
    }

    fn check_known(&self, fleet: &Fleet) -> Result<(), NoteError> {
        if let Some(zone) = self
            .added
            .zones
            .iter()
            .find(|z| fleet.zones.contains_key(*z))
        {
            return Err(NoteError::Exists(zone.to_string()));
        }
        let mut services = self.added.services.keys();
        if let Some(service) = services.find(|s| fleet.services.contains_key(*s)) {
            return Err(NoteError::Exists(service.to_string()));
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
        let runs = |service: &Service| {
            let mut targets = fleet.targets.values();
            targets.any(|t| t.info.service == *service && t.phase != TargetPhase::Lost)
        };
        match self.withdrawn.services.iter().find(|s| runs(s)) {
            Some(service) => Err(NoteError::ServiceInUse(service.clone())),
            None => Ok(()),
        }
    }

    fn check_zones(&self, before: &Fleet, after: &Fleet) -> Result<(), NoteError> {
        let serves = |fleet: &Fleet| fleet.zones.values().any(|zone| *zone == ZoneState::In);
        if serves(before) && !serves(after) && !self.allows(Allowance::LastZone) {
            return Err(NoteError::LastZone);
        }
        Ok(())
    }

    fn changes(&self, fleet: &Fleet) -> Vec<Change> {
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
        lines.extend(targets.iter().map(|t| format!("lets target {t} join")));
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
        lines.into_iter().map(Change).collect()
    }
}

fn zone_line(fleet: &Fleet, zone: &Zone, state: ZoneState) -> String {
    let same = fleet.zones.get(zone) == Some(&state);
    let targets = fleet.targets.values();
    let count = targets
        .filter(|t| t.info.zone == *zone && t.phase == TargetPhase::Serving)
        .count();
    match (state, same) {
        (ZoneState::Out, false) => format!("takes zone {zone} out: {count} targets"),
        (ZoneState::In, false) => format!("brings zone {zone} back: {count} targets"),
        (ZoneState::Out, true) => format!("zone {zone} is out already"),
        (ZoneState::In, true) => format!("zone {zone} is in already"),
    }
}

fn target_line(fleet: &Fleet, target: &Target) -> String {
    match fleet.targets.get(target) {
        Some(state) => format!(
            "withdraws target {target} of {} in zone {}",
            state.info.service, state.info.zone
        ),
        None => format!("target {target} is withdrawn already"),
    }
}

fn settings_lines(name: &Service, state: &ServiceState, change: &SettingsChange) -> Vec<String> {
    let old = &state.settings;
    let mut lines = Vec::new();
    if let Some(deadline) = change.deadline {
        let (from, to) = (Span(old.deadline), Span(deadline));
        lines.push(format!("{name}: deadline {from} to {to}"));
    }
    if let Some(window) = change.repeat_window {
        let (from, to) = (Span(old.repeat_window), Span(window));
        lines.push(format!("{name}: repeat window {from} to {to}"));
    }
    if let Some(once) = &change.once {
        lines.push(format!(
            "{name}: once-only {}",
            route_change(&old.once, once)
        ));
    }
    if let Some(low) = &change.low {
        lines.push(format!(
            "{name}: shed first {}",
            route_change(&old.low, low)
        ));
    }
    lines
}

fn route_change(old: &[String], new: &[String]) -> String {
    let fresh = new.iter().filter(|r| !old.contains(r));
    let gone = old.iter().filter(|r| !new.contains(r));
    let parts: Vec<String> = fresh
        .map(|r| format!("+{r}"))
        .chain(gone.map(|r| format!("-{r}")))
        .collect();
    if parts.is_empty() {
        "unchanged".to_owned()
    } else {
        parts.join(", ")
    }
}

fn compare_services(before: &Fleet, after: &Fleet) -> Vec<ServiceEffect> {
    let slots = |fleet: &Fleet, name: &Service| {
        fleet
            .serving_targets(name.as_str())
            .fold((0, 0), |(count, slots), (_, t)| {
                (count + 1, slots + t.info.slots)
            })
    };
    let names = before.services.keys();
    names
        .map(|name| {
            let (targets_before, slots_before) = slots(before, name);
            let (targets_after, slots_after) = slots(after, name);
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

fn differences(winner: &str, loser: &str) -> Vec<String> {
    let lines = |text: &str| -> Vec<String> {
        let kept = text.lines().map(str::trim_end).filter(|l| !l.is_empty());
        kept.map(str::to_owned).collect()
    };
    let (winner, loser) = (lines(winner), lines(loser));
    let only_won = winner.iter().filter(|line| !loser.contains(line));
    let only_lost = loser.iter().filter(|line| !winner.contains(line));
    only_won
        .map(|line| format!("in force: {line}"))
        .chain(only_lost.map(|line| format!("yours:    {line}")))
        .take(DIFFERENCES_SHOWN)
        .collect()
}

impl Fleet {
    /// Applies a note: compare-and-set on the version, the first answer for a resend.
    pub(super) fn apply_note(&mut self, author: &str, text: &str) -> Applied {
        let note = match Note::parse(text) {
            Ok(note) => note,
            Err(error) => return Applied::NoteRefused(error.to_string()),
        };
        let digest = note.digest();
        if let Some(first) = self.notes.iter().find(|n| n.digest == digest) {
            return Applied::NoteAccepted(first.clone());
        }
        if let Some(winner) = self.winner(note.builds_on) {
            return Applied::NoteConflict {
                winner: winner.clone(),
                differences: differences(&winner.text, text),
            };
        }
        if let Err(error) = note.check(self) {
            return Applied::NoteRefused(error.to_string());
        }
        self.enact(&note);
        self.version = self.version.next();
        let record = NoteRecord {
            version: self.version,
            index: self.index,
            digest,
            author: author.to_owned(),
            text: text.to_owned(),
        };
        self.notes.push(record.clone());
        let surplus = self.notes.len().saturating_sub(NOTES_KEPT);
        self.notes.drain(..surplus);
        Applied::NoteAccepted(record)
    }

    /// Lets a withdrawn target serve again, also if it still drains.
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

    fn winner(&self, builds_on: Version) -> Option<&NoteRecord> {
        self.notes.iter().find(|n| n.version == builds_on.next())
    }

    /// Puts a checked note's content into the state.
    fn enact(&mut self, note: &Note) {
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
                change.enact(state);
            }
        }
        self.zones.retain(|z, _| !note.withdrawn.zones.contains(z));
        self.services
            .retain(|s, _| !note.withdrawn.services.contains(s));
        for target in &note.withdrawn.targets {
            self.withdrawn.insert(target.clone());
            if let Some(life) = self.targets.get(target).map(|t| t.info.incarnation) {
                self.drain(target, life);
            }
        }
        self.cancel_invalid_moves();
        self.refresh_pool_homes();
    }
}

impl SettingsChange {
    fn enact(&self, state: &mut ServiceState) {
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
