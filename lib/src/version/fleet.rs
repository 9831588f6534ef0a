//! State of the fleet, the same on every entry that has applied the same commands.

use super::command::{Announcement, Command, Fingerprint};
use crate::{
    key::{KeyHash, KeyRange},
    name::{Epoch, Fence, Incarnation, Node, Service, Target, Version, Zone},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

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
}

/// A service with its ranges.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Settings in force.
    pub settings: ServiceSettings,
    /// Assignments in order; they cover the hash space without gap or overlap. Empty for pools.
    pub ranges: Vec<Assignment>,
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
    /// Entry that commands it. All targets of a pool in one zone share a home.
    pub home: Option<Node>,
    /// Epoch of that home.
    pub epoch: Epoch,
}

/// An entry as the fleet knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Its zone.
    pub zone: Zone,
    /// Its latest life.
    pub incarnation: Incarnation,
    /// Whether it holds a lease, as far as committed.
    pub alive: bool,
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
    /// Applies the command at `index`; an index already applied changes nothing.
    pub fn apply(&mut self, index: u64, command: &Command) -> Applied {
        let _ = command;
        self.index = index;
        Applied::Done
    }

    /// Finds where a request for a key of a service goes.
    pub fn route(&self, service: &str, hash: KeyHash) -> Route<'_> {
        let _ = (service, hash);
        Route::Unknown
    }
}
