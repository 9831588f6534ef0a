//! Requests and answers at the operators' address, shared by the daemon and the command line tool.
//!
//! All are sent as JSON. Fields may be added but are never renamed, so that an earlier release of
//! the tool can read the answers of a later daemon.

use crate::{
    name::{Epoch, Fence, Node, Service, Target, Version, Zone},
    version::{
        effect::Effect,
        fleet::{Applied, NoteRecord, ServiceKind, TargetPhase, ZoneState},
        note_error::MAX_NOTE_BYTES,
    },
};
use serde::{Deserialize, Serialize};

/// Path of the status of the fleet.
pub const STATUS_PATH: &str = "/status";
/// Path that explains who owns a key; takes the parameters `service` and `key`.
pub const EXPLAIN_PATH: &str = "/explain";
/// Path of release notes: POST applies a note, GET returns where `version` is in force.
pub const NOTE_PATH: &str = "/note";
/// Path that checks a release note without applying it.
pub const NOTE_CHECK_PATH: &str = "/note/check";
/// Path of the metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";
/// Largest body of a request that carries a release note, in bytes.
pub const MAX_NOTE_BODY_BYTES: usize = MAX_NOTE_BYTES;

/// Status of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Number of the entry.
    pub entry: Node,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Whether the entry holds a lease.
    pub alive: bool,
    /// Whether the entry is a voter of the log.
    pub voter: bool,
    /// Last log index that the entry confirmed as applied.
    pub applied: Option<u64>,
    /// Number of committed commands that the entry has not confirmed.
    pub lag: Option<u64>,
}

/// Status of one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub zone: Zone,
    /// Whether the zone accepts new requests.
    pub state: ZoneState,
    /// Number of live entries in the zone.
    pub entries: u32,
    /// Number of serving targets in the zone.
    pub targets: u32,
}

/// Status of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: Service,
    /// How the target of a request is found: by the owner of its key or from a pool.
    pub kind: ServiceKind,
    /// Number of serving targets.
    pub targets: u32,
    /// Number of key ranges; 0 for pools.
    pub ranges: u32,
    /// Number of key ranges without an owner.
    pub unowned: u32,
    /// Number of key ranges that are moving to another owner.
    pub moving: u32,
}

/// Status of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub target: Target,
    /// Service that the target runs.
    pub service: Service,
    /// Availability zone that the target runs in.
    pub zone: Zone,
    /// Phase of the target, which decides whether it may own key ranges.
    pub phase: TargetPhase,
    /// Home of the target.
    pub home: Option<Node>,
    /// Number of key ranges that the target owns.
    pub ranges: u32,
    /// Share of the service's hash space that the target owns, between 0 and 1.
    pub share: f64,
}

/// Status of the fleet as known to the entry that answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Name of the fleet.
    pub fleet: String,
    /// Entry that answered.
    pub entry: Node,
    /// Whether the entry can confirm that this status is current.
    pub fresh: bool,
    /// Leader of the log, if the entry knows one.
    pub leader: Option<Node>,
    /// Term of that leader.
    pub term: u64,
    /// Version of the configuration in force.
    pub version: Version,
    /// Last log index that the entry applied.
    pub index: u64,
    /// All entries of the fleet.
    pub entries: Vec<EntryStatus>,
    /// All zones of the fleet.
    pub zones: Vec<ZoneStatus>,
    /// All services of the fleet.
    pub services: Vec<ServiceStatus>,
    /// All targets of the fleet.
    pub targets: Vec<TargetStatus>,
}

/// Owner of a key, and the reason why it is the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// Service of the key.
    pub service: Service,
    /// The requested key.
    pub key: String,
    /// Hash of the key, in hexadecimal.
    pub hash: String,
    /// Key range that contains the hash, in hexadecimal; `None` for pools.
    pub range: Option<String>,
    /// Owner of the range; `None` for pools and while the range has no owner.
    pub owner: Option<Target>,
    /// Fencing token of the owner's grant.
    pub fence: Option<Fence>,
    /// Home of the owner.
    pub home: Option<Node>,
    /// Epoch of the home.
    pub epoch: Option<Epoch>,
    /// Target that the range is moving to.
    pub next: Option<Target>,
    /// Explanation in one or more sentences.
    pub why: String,
}

/// Answer to a request that only checks a release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CheckAnswer {
    /// The note could be applied now.
    Fine {
        /// Version that the note would make.
        version: Version,
        /// Digest of the content of the note.
        digest: String,
        /// Effect of the note, one sentence per line.
        effect: Vec<String>,
    },
    /// The note could not be applied.
    Refused {
        /// Reason of the refusal, with the remedy.
        reason: String,
    },
}

/// Note that made a version: the winner if two notes were sent for the same version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteSummary {
    /// Version that the note made.
    pub version: Version,
    /// Operator who approved the note.
    pub author: String,
    /// Digest of the content of the note.
    pub digest: String,
}

/// Answer to a request that applies a release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoteAnswer {
    /// The note is committed, by this request or by an earlier one with the same note.
    Accepted {
        /// Version that the note made.
        version: Version,
        /// Log index at which the note was committed.
        index: u64,
        /// Digest of the content of the note.
        digest: String,
    },
    /// The note was refused and had no effect.
    Refused {
        /// Reason of the refusal, with the remedy.
        reason: String,
    },
    /// Another note has made the version.
    Conflict {
        /// The note that made the version.
        winner: NoteSummary,
        /// Lines in which the two notes differ.
        differences: Vec<String>,
    },
    /// No quorum confirmed the note in time; it may still be committed. It is safe to send the same
    /// note again.
    Unknown {
        /// Reason, with the remedy.
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
                winner: NoteSummary {
                    version: winner.version,
                    author: winner.author,
                    digest: winner.digest,
                },
                differences,
            },
            Applied::Done | Applied::Stale => NoteAnswer::Unknown {
                reason: "the log returned no result for this note; send it again".to_owned(),
            },
        }
    }
}

/// State of one entry with regard to a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInForce {
    /// Number of the entry.
    pub entry: Node,
    /// Version that the entry confirmed last.
    pub version: Option<Version>,
    /// Log index that the entry confirmed last.
    pub applied: Option<u64>,
    /// Whether the confirmation is recent; a stale entry starts no new requests.
    pub fresh: bool,
    /// Whether the requested version is in force on the entry.
    pub in_force: bool,
}

/// Entries on which a version is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// The requested version.
    pub version: Version,
    /// Note that made the version, if the fleet still keeps its record.
    pub note: Option<NoteSummary>,
    /// All entries, each with its own last confirmation.
    pub entries: Vec<EntryInForce>,
    /// Whether the version is in force on every entry that may start requests.
    pub everywhere: bool,
}

/// Error answer to any of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// Error message with the remedy.
    pub error: String,
}

/// Effect of a note, one sentence per line.
pub fn effect_lines(effect: &Effect) -> Vec<String> {
    let changes = effect.changes.iter().map(|change| change.0.clone());
    let services = effect.services.iter().map(ToString::to_string);
    changes.chain(services).collect()
}
