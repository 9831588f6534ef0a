//! Replicated state of a configured fleet: entries, zones, services, targets and the owners of key
//! ranges.
//!
//! Entries that have applied the same commands hold the same state. From it each entry decides
//! where a request goes, which targets it is the home of and which ranges those targets own.

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

/// How a service chooses the target of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Each key has one owner, which serves all requests for it.
    Keyed,
    /// Any target may serve any request.
    Pool,
}

/// Settings of a service, which release notes change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// How the target of a request is chosen.
    pub kind: ServiceKind,
    /// Once-only routes, whose requests must not run twice, each as `METHOD /prefix`.
    pub once: Vec<String>,
    /// Low-priority routes, which are shed first under load, each as `METHOD /prefix`.
    pub low: Vec<String>,
    /// Deadline of requests that state none.
    pub deadline: Duration,
    /// Window in which equal once-only requests without an identity count as one; zero disables it.
    pub repeat_window: Duration,
}

/// A key range with its owner and its move, if any.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Range of key hashes.
    pub range: KeyRange,
    /// The one target that may serve the range; `None` while it has no owner.
    pub owner: Option<Target>,
    /// Fencing token of the owner's grant.
    pub fence: Fence,
    /// Destination of the move in progress.
    pub next: Option<Target>,
    /// Log index of the command that last changed the owner or the move.
    pub change_index: u64,
    /// What that change was.
    pub cause: Cause,
}

/// Last change of a range, which explains its current owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The service was added; the range has had no owner yet.
    Created,
    /// The range had no owner and was granted.
    Granted,
    /// A move to the next owner is in progress.
    Moving,
    /// A move was completed.
    Moved,
    /// A move was cancelled; the owner kept the range.
    Kept,
    /// The owner was lost or removed.
    OwnerLost,
    /// The owner restarted; its new incarnation owns nothing yet.
    OwnerRestarted,
    /// Two adjacent ranges of one owner were merged.
    Merged,
}

/// A service, its settings and the owners of its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Current settings.
    pub settings: ServiceSettings,
    /// Assignments in hash order, which cover the hash space without gap or overlap; empty for
    /// pools.
    pub ranges: Vec<Assignment>,
    /// Home of all targets of a pool; always `None` for keyed services.
    pub home: Option<Node>,
}

impl ServiceState {
    /// Whether an assignment of exactly this range is moving.
    pub fn is_moving(&self, range: &KeyRange) -> bool {
        range_table::exact(&self.ranges, range).is_some_and(|a| a.next.is_some())
    }
}

/// Stage of a target's life cycle, which decides whether it may own ranges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetPhase {
    /// May own ranges and get new requests.
    Serving,
    /// Leaving: it finishes its requests and gets no new ranges.
    Draining,
    /// Its lease expired; it owns no ranges.
    Lost,
}

/// A target, as its last admitted announcement describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// The announcement.
    pub announcement: Announcement,
    /// Stage of its life cycle.
    pub phase: TargetPhase,
    /// Entry that sends to the target and renews its lease. All targets of a pool share a home.
    pub home: Option<Node>,
    /// Log index at which that entry became the home.
    pub epoch: Epoch,
    /// Live entries that were the home of this incarnation before and may still have requests in
    /// flight to it.
    pub former_homes: Vec<Node>,
}

/// State of an entry that all entries agree on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Availability zone the entry runs in.
    pub zone: Zone,
    /// Latest known incarnation.
    pub incarnation: Incarnation,
    /// First known incarnation; an entry still in it has lost no records.
    pub first_incarnation: Incarnation,
    /// Whether the entry is up: it is set by `EntryUp` and cleared by `EntryLost`.
    pub alive: bool,
    /// Log index of its last `EntryUp` command; the entry may not act on an older state.
    pub up_index: u64,
}

/// Whether targets of a zone get new requests and ranges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// In service.
    In,
    /// Taken out of service by operators.
    Out,
}

/// Record of an accepted release note, kept to answer its resends and conflicting notes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteRecord {
    /// Configuration version that the note created.
    pub version: Version,
    /// Log index at which the note was applied.
    pub index: u64,
    /// Digest of the note's content, see [`Note::digest`](super::note::Note::digest).
    pub digest: String,
    /// Operator who approved the note.
    pub author: String,
    /// The note's YAML text.
    pub text: String,
}

/// State of a configured fleet at one log index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Log index of the last applied command.
    pub index: u64,
    /// Version of the current configuration; each accepted note raises it by one.
    pub version: Version,
    /// Entries that have joined the fleet.
    pub entries: BTreeMap<Node, EntryState>,
    /// Whether each zone is in service.
    pub zones: BTreeMap<Zone, ZoneState>,
    /// Services with their key ranges.
    pub services: BTreeMap<Service, ServiceState>,
    /// Targets that were admitted and not yet removed.
    pub targets: BTreeMap<Target, TargetState>,
    /// Requests that all entries refuse because they crash targets, and for how long.
    pub quarantine: BTreeMap<Fingerprint, Duration>,
    /// Records of the latest notes, oldest first.
    pub notes: Vec<NoteRecord>,
    /// Highest fence granted so far; fences are never reused.
    pub last_fence: Fence,
    /// Targets that operators withdrew; they may not join until a note adds them again.
    pub withdrawn: BTreeSet<Target>,
    /// Incarnations of targets that left, so that a delayed announcement does not admit them again.
    pub departed: BTreeMap<Target, Departure>,
}

/// Departure of a target that asked to leave or was withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Incarnation that left.
    pub incarnation: Incarnation,
    /// Log index of the command that started its drain.
    pub index: u64,
}

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Applied {
    /// The command changed the state.
    Done,
    /// The command no longer fits the state and changed nothing.
    Stale,
    /// The note was accepted now, or is a resend of this accepted note.
    NoteAccepted(NoteRecord),
    /// The note was refused; the text states the reason and the remedy.
    NoteRefused(String),
    /// Another note already created the version that this one would create.
    NoteConflict {
        /// The note that created the version.
        winner: NoteRecord,
        /// Lines in which the two notes differ.
        differences: Vec<String>,
    },
}

/// Destination of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route<'a> {
    /// The owner of its key.
    Keyed {
        /// Target that owns the key.
        target: &'a Target,
        /// Home of the owner.
        home: Node,
        /// Fencing token of the owner's grant.
        fence: Fence,
    },
    /// Any target of a pool; the home of the pool chooses one.
    Pool {
        /// Home of the pool's targets.
        home: Node,
    },
    /// Nowhere for now: the range has no owner or is moving, its owner has no home or has to be
    /// drained without a replacement, or no serving target of the pool has a home.
    Unserved,
    /// Nowhere: the service does not exist.
    UnknownService,
}

impl Fleet {
    /// Returns the destination of a request for a key of a service.
    pub fn route(&self, service: &str, hash: KeyHash) -> Route<'_> {
        let Some(state) = self.services.get(service) else {
            return Route::UnknownService;
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
        if self.has_no_replacement(service, owner) {
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

    /// Whether the target has to give up its ranges but no target can take them over.
    fn has_no_replacement(&self, service: &str, owner: &Target) -> bool {
        !self.can_serve(owner) && self.serving_targets(service).next().is_none()
    }

    /// Targets whose home is the entry, including draining ones.
    pub fn targets_of_home(&self, node: Node) -> impl Iterator<Item = (&Target, &TargetState)> {
        self.targets
            .iter()
            .filter(move |(_, state)| state.home == Some(node))
    }

    /// Ranges that the target may serve now, without those that are moving away.
    pub fn grants_of(&self, target: &Target) -> Vec<Grant> {
        let Some(state) = self.targets.get(target) else {
            return Vec::new();
        };
        let Some(service) = self.services.get(&state.announcement.service) else {
            return Vec::new();
        };
        if self.has_no_replacement(state.announcement.service.as_str(), target) {
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

    /// Whether the zone exists and is in service.
    pub fn is_zone_in_service(&self, zone: &Zone) -> bool {
        self.zones.get(zone) == Some(&ZoneState::In)
    }

    /// Whether the target can get ranges and requests: it is serving and its zone is in service.
    pub fn can_serve(&self, target: &Target) -> bool {
        self.targets.get(target).is_some_and(|state| {
            state.phase == TargetPhase::Serving && self.is_zone_in_service(&state.announcement.zone)
        })
    }

    /// Targets of a service that can get ranges and requests.
    pub fn serving_targets(&self, service: &str) -> impl Iterator<Item = (&Target, &TargetState)> {
        self.targets.iter().filter(move |(_, state)| {
            state.announcement.service.as_str() == service
                && state.phase == TargetPhase::Serving
                && self.is_zone_in_service(&state.announcement.zone)
        })
    }

    /// Whether the target owns a range or is the destination of a move.
    pub fn has_ranges(&self, target: &Target) -> bool {
        let holder = Some(target);
        self.services
            .values()
            .flat_map(|service| &service.ranges)
            .any(|a| a.owner.as_ref() == holder || a.next.as_ref() == holder)
    }
}
