//! State of the fleet, the same on every entry that has applied the same commands.

use super::{
    command::{Announcement, Fingerprint},
    range_table,
};
use crate::{
    connection::order::Grant,
    key::{KeyHash, KeyRange},
    name::{Epoch, Fence, Incarnation, Node, Service, Target, Version, Zone},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How the requests of a service find a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Each key has one owner.
    Keyed,
    /// Any target may serve any request.
    Pool,
}

/// Settings of a service, changed by release notes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// How requests find a target.
    pub kind: ServiceKind,
    /// Routes that must not be repeated, each as `METHOD /prefix`.
    pub once: Vec<String>,
    /// Routes that are shed first under load, each as `METHOD /prefix`.
    pub low: Vec<String>,
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Window in which equal once-only requests without an identity count as one; zero is off.
    pub repeat_window: Duration,
}

/// Owner of one range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The range.
    pub range: KeyRange,
    /// Its one owner, or nobody yet.
    pub owner: Option<Target>,
    /// Fence of the current owner.
    pub fence: Fence,
    /// Where the range is moving to.
    pub next: Option<Target>,
    /// Log index of the last change of owner or move.
    pub since: u64,
    /// What that change was.
    pub cause: Cause,
}

/// Why a range has the owner that it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The service was added and the range was never owned.
    Created,
    /// The range had no owner and was granted.
    Granted,
    /// The range is moving to its next owner.
    Moving,
    /// A move was completed.
    Moved,
    /// A move was called off; the owner kept the range.
    Kept,
    /// The owner was lost.
    OwnerLost,
    /// The owner came back as a new life that owns nothing yet.
    OwnerRestarted,
    /// Two ranges of one owner were joined.
    Merged,
}

/// A service with its ranges.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Settings in force.
    pub settings: ServiceSettings,
    /// Assignments in order; they cover the hash space without gap or overlap. Empty for pools.
    pub ranges: Vec<Assignment>,
    /// Entry that commands all targets of a pool; always `None` for keyed services.
    pub home: Option<Node>,
}

impl ServiceState {
    /// Whether exactly this range is moving.
    pub fn moves(&self, range: &KeyRange) -> bool {
        range_table::exact(&self.ranges, range).is_some_and(|slot| slot.next.is_some())
    }
}

/// Whether a target may own ranges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetPhase {
    /// Serves.
    Serving,
    /// Leaves: it finishes what it has and gets nothing new.
    Draining,
    /// Gone; its ranges were taken away.
    Lost,
}

/// A target as last announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// What it said of itself.
    pub info: Announcement,
    /// Whether it may own ranges.
    pub phase: TargetPhase,
    /// Entry that commands it. All targets of a pool share a home.
    pub home: Option<Node>,
    /// Epoch of that home: the log index at which it became the home.
    pub epoch: Epoch,
    /// Living entries that commanded this life before and may still have requests in flight.
    pub formers: Vec<Node>,
}

/// An entry as the fleet knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Its zone.
    pub zone: Zone,
    /// Its latest life.
    pub incarnation: Incarnation,
    /// Its first life: an entry in that life has lost no records.
    pub first: Incarnation,
    /// Whether it holds a lease, as far as committed.
    pub alive: bool,
    /// Log index at which it was last raised; it may not act on an older state.
    pub since: u64,
}

/// Whether a zone takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// In service.
    In,
    /// Taken out by operators.
    Out,
}

/// What a release note did, kept to answer a resend and the loser of a race.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteRecord {
    /// Version that the note made.
    pub version: Version,
    /// Log index at which it was committed.
    pub index: u64,
    /// Digest of the note's content.
    pub digest: String,
    /// Operator who approved it.
    pub author: String,
    /// The note's YAML text.
    pub text: String,
}

/// State of the fleet at one log index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Log index of the last applied command.
    pub index: u64,
    /// Version of the configuration in force.
    pub version: Version,
    /// Entries by number.
    pub entries: BTreeMap<Node, EntryState>,
    /// Zones by name.
    pub zones: BTreeMap<Zone, ZoneState>,
    /// Services by name.
    pub services: BTreeMap<Service, ServiceState>,
    /// Targets by name.
    pub targets: BTreeMap<Target, TargetState>,
    /// Requests that are refused everywhere, with the span of the refusal.
    pub quarantine: BTreeMap<Fingerprint, Duration>,
    /// The latest notes, oldest first.
    pub notes: Vec<NoteRecord>,
    /// Highest fence ever given out.
    pub last_fence: Fence,
    /// Targets that operators withdrew; they stay out until a note adds them again.
    pub withdrawn: BTreeSet<Target>,
    /// Lives of targets that asked to leave, so that a late announcement does not bring them back.
    pub departed: BTreeMap<Target, Departure>,
}

/// Life of a target that asked to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The life that left.
    pub incarnation: Incarnation,
    /// Log index at which it left.
    pub index: u64,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Applied {
    /// It took effect.
    Done,
    /// It was out of date and changed nothing.
    Stale,
    /// A note was accepted, now or when it was first sent.
    NoteAccepted(NoteRecord),
    /// A note was refused; the text names the reason and the remedy.
    NoteRefused(String),
    /// Another note won the version that this one wanted.
    NoteConflict {
        /// The winner.
        winner: NoteRecord,
        /// The lines in which the two differ.
        differences: Vec<String>,
    },
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route<'a> {
    /// To the one owner of its key.
    Keyed {
        /// The owner.
        target: &'a Target,
        /// Entry that commands the owner.
        home: Node,
        /// Fence of the grant.
        fence: Fence,
    },
    /// To any target of a pool, as its home decides.
    Pool {
        /// Entry that commands the pool.
        home: Node,
    },
    /// Nowhere for now: the range has no owner, is moving, or its owner has no home.
    Unserved,
    /// Nowhere: no such service.
    Unknown,
}

impl Fleet {
    /// Finds where a request for a key of a service goes.
    pub fn route(&self, service: &str, hash: KeyHash) -> Route<'_> {
        let Some(state) = self.services.get(service) else {
            return Route::Unknown;
        };
        match state.settings.kind {
            ServiceKind::Pool => state
                .home
                .map_or(Route::Unserved, |home| Route::Pool { home }),
            ServiceKind::Keyed => self.route_keyed(service, state, hash),
        }
    }

    fn route_keyed<'a>(
        &'a self,
        service: &str,
        state: &'a ServiceState,
        hash: KeyHash,
    ) -> Route<'a> {
        let assignment = &state.ranges[range_table::position(&state.ranges, hash)];
        let (Some(owner), None) = (&assignment.owner, &assignment.next) else {
            return Route::Unserved;
        };
        if self.is_stranded(service, owner) {
            return Route::Unserved;
        }
        match self.targets.get(owner).and_then(|target| target.home) {
            Some(home) => Route::Keyed {
                target: owner,
                home,
                fence: assignment.fence,
            },
            None => Route::Unserved,
        }
    }

    /// Whether the target has to be emptied and no other one may take its ranges over.
    fn is_stranded(&self, service: &str, owner: &Target) -> bool {
        !self.may_serve(owner) && self.serving(service).next().is_none()
    }

    /// Targets that the entry commands, draining ones included.
    pub fn targets_of_home(&self, node: Node) -> impl Iterator<Item = (&Target, &TargetState)> {
        self.targets
            .iter()
            .filter(move |(_, state)| state.home == Some(node))
    }

    /// Ranges that the target owns now; a range that moves away is not among them.
    pub fn grants_of(&self, target: &Target) -> Vec<Grant> {
        let Some(state) = self.targets.get(target) else {
            return Vec::new();
        };
        let Some(service) = self.services.get(&state.info.service) else {
            return Vec::new();
        };
        if self.is_stranded(state.info.service.as_str(), target) {
            return Vec::new();
        }
        service
            .ranges
            .iter()
            .filter(|a| a.owner.as_ref() == Some(target) && a.next.is_none())
            .map(|a| Grant {
                range: a.range,
                fence: a.fence,
            })
            .collect()
    }

    /// Whether the zone takes new work.
    pub fn zone_serves(&self, zone: &Zone) -> bool {
        self.zones.get(zone) == Some(&ZoneState::In)
    }

    /// Whether the target may be given work: it serves, and its zone does.
    pub fn may_serve(&self, target: &Target) -> bool {
        self.targets.get(target).is_some_and(|state| {
            state.phase == TargetPhase::Serving && self.zone_serves(&state.info.zone)
        })
    }

    /// Targets of a service that may be given work.
    pub fn serving(&self, service: &str) -> impl Iterator<Item = (&Target, &TargetState)> {
        self.targets.iter().filter(move |(_, state)| {
            state.info.service.as_str() == service
                && state.phase == TargetPhase::Serving
                && self.zone_serves(&state.info.zone)
        })
    }

    /// Whether the target owns a range or is about to.
    pub fn holds_ranges(&self, target: &Target) -> bool {
        let holder = Some(target);
        self.services
            .values()
            .flat_map(|service| &service.ranges)
            .any(|a| a.owner.as_ref() == holder || a.next.as_ref() == holder)
    }
}
