//! Questions and answers at the operators' address, shared by the daemon and the command.
//!
//! All travel as JSON. Fields are added, never renamed, so that a command of an earlier release
//! reads the answers of a later daemon.

use crate::{
    name::{Epoch, Fence, Node, Service, Target, Version, Zone},
    version::{
        effect::Effect,
        fleet::{Applied, NoteRecord, ServiceKind, TargetPhase, ZoneState},
        note_error::MAX_NOTE_BYTES,
    },
};
use serde::{Deserialize, Serialize};

/// Path of the fleet's status.
pub const STATUS_PATH: &str = "/status";
/// Path of the explanation of one key; takes `service` and `key`.
pub const EXPLAIN_PATH: &str = "/explain";
/// Path of notes: POST sends one, GET asks where `version` is in force.
pub const NOTE_PATH: &str = "/note";
/// Path at which a note is checked and changes nothing.
pub const NOTE_CHECK_PATH: &str = "/note/check";
/// Path of the metrics as Prometheus text.
pub const METRICS_PATH: &str = "/metrics";
/// Longest release note, in bytes.
pub const NOTE_BYTES_MAX: usize = MAX_NOTE_BYTES;

/// One entry in the fleet's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: Node,
    /// Its zone.
    pub zone: Zone,
    /// Whether it holds a lease.
    pub alive: bool,
    /// Whether it votes.
    pub voter: bool,
    /// Last log index that it confirmed.
    pub applied: Option<u64>,
    /// Committed commands that it has not confirmed.
    pub lag: Option<u64>,
}

/// One zone in the fleet's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: Zone,
    /// Whether it takes new work.
    pub state: ZoneState,
    /// Live entries in it.
    pub entries: u32,
    /// Serving targets in it.
    pub targets: u32,
}

/// One service in the fleet's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Service,
    /// How its requests find a target.
    pub kind: ServiceKind,
    /// Serving targets.
    pub targets: u32,
    /// Ranges; none for pools.
    pub ranges: u32,
    /// Ranges without an owner.
    pub unowned: u32,
    /// Ranges on the move.
    pub moving: u32,
}

/// One target in the fleet's status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub target: Target,
    /// Its service.
    pub service: Service,
    /// Its zone.
    pub zone: Zone,
    /// Whether it may own ranges.
    pub phase: TargetPhase,
    /// Entry that commands it.
    pub home: Option<Node>,
    /// Ranges that it owns.
    pub ranges: u32,
    /// Share of its service's hash space that it owns, between 0 and 1.
    pub share: f64,
}

/// Status of the fleet as one entry knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Name of the fleet.
    pub fleet: String,
    /// Entry that answers.
    pub entry: Node,
    /// Whether it can confirm that this is current.
    pub fresh: bool,
    /// Leader of the log.
    pub leader: Option<Node>,
    /// Term of that leader.
    pub term: u64,
    /// Version of the configuration.
    pub version: Version,
    /// Last log index applied here.
    pub index: u64,
    /// All entries.
    pub entries: Vec<EntryStatus>,
    /// All zones.
    pub zones: Vec<ZoneStatus>,
    /// All services.
    pub services: Vec<ServiceStatus>,
    /// All targets.
    pub targets: Vec<TargetStatus>,
}

/// Who owns one key, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// Service asked about.
    pub service: Service,
    /// Key asked about.
    pub key: String,
    /// Hash of the key, in hex.
    pub hash: String,
    /// Range that holds it, in hex; none for pools.
    pub range: Option<String>,
    /// The owner; none for pools and while the range has no owner.
    pub owner: Option<Target>,
    /// Fence of the owner.
    pub fence: Option<Fence>,
    /// Entry that commands the owner.
    pub home: Option<Node>,
    /// Epoch of that entry.
    pub epoch: Option<Epoch>,
    /// Where the range is moving to.
    pub next: Option<Target>,
    /// The reason in one or more sentences.
    pub why: String,
}

/// Answer to a note that is only checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CheckAnswer {
    /// It could be applied now.
    Fine {
        /// Version that it would make.
        version: Version,
        /// Digest of its content.
        digest: String,
        /// What it would do, a sentence a line.
        effect: Vec<String>,
    },
    /// It could not.
    Refused {
        /// Why, with the remedy.
        reason: String,
    },
}

/// The note that won a race.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Winner {
    /// Version that it made.
    pub version: Version,
    /// Operator who approved it.
    pub author: String,
    /// Digest of its content.
    pub digest: String,
}

/// Answer to a note that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoteAnswer {
    /// It is committed, now or when it was first sent.
    Accepted {
        /// Version that it made.
        version: Version,
        /// Log index of its commit.
        index: u64,
        /// Digest of its content.
        digest: String,
    },
    /// It changed nothing.
    Refused {
        /// Why, with the remedy.
        reason: String,
    },
    /// Another note made that version.
    Conflict {
        /// The other note.
        winner: Winner,
        /// Lines in which the two differ.
        differences: Vec<String>,
    },
    /// No quorum confirmed it in time; it may still be committed. Sending it again is safe.
    Unknown {
        /// Why, with the remedy.
        reason: String,
    },
}

impl From<NoteRecord> for NoteAnswer {
    fn from(record: NoteRecord) -> Self {
        NoteAnswer::Accepted {
            version: record.version,
            index: record.index,
            digest: record.digest,
        }
    }
}

impl From<Applied> for NoteAnswer {
    fn from(applied: Applied) -> Self {
        match applied {
            Applied::NoteAccepted(record) => record.into(),
            Applied::NoteRefused(reason) => NoteAnswer::Refused { reason },
            Applied::NoteConflict {
                winner,
                differences,
            } => NoteAnswer::Conflict {
                winner: Winner {
                    version: winner.version,
                    author: winner.author,
                    digest: winner.digest,
                },
                differences,
            },
            Applied::Done | Applied::Stale => NoteAnswer::Unknown {
                reason: "the log gave no answer for this note; send it again".to_owned(),
            },
        }
    }
}

/// Whether a version is in force on one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInForce {
    /// The entry.
    pub entry: Node,
    /// Version that it confirmed last.
    pub version: Option<Version>,
    /// Log index that it confirmed last.
    pub applied: Option<u64>,
    /// Whether its confirmation is recent; a stale entry starts no new work.
    pub fresh: bool,
    /// Whether the version asked about is in force there.
    pub in_force: bool,
}

/// Where a version is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// Version asked about.
    pub version: Version,
    /// Note that made it, if it is among the latest.
    pub note: Option<Winner>,
    /// Every entry, by its own confirmation.
    pub entries: Vec<EntryInForce>,
    /// Whether it is in force on every entry that may start work.
    pub everywhere: bool,
}

/// Answer to a request that got none of the above.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// What is wrong, with the remedy.
    pub error: String,
}

/// What a note would do, a sentence a line.
pub fn effect_lines(effect: &Effect) -> Vec<String> {
    let changes = effect.changes.iter().map(|change| change.0.clone());
    let services = effect.services.iter().map(ToString::to_string);
    changes.chain(services).collect()
}
