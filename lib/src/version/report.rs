//! Reports of the entries of a configured fleet to the leader.
//!
//! They carry what the leader's controller decides from: progress in the log, targets that are
//! gone, moves that may end, and the measured load of ranges and targets.

use super::command::Move;
use crate::{
    key::{KeyHash, KeyRange},
    name::{Incarnation, Node, Service, Target, Version, Zone},
};
use serde::{Deserialize, Serialize};

/// Incarnation of a target whose lease has expired and which does not answer its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneTarget {
    /// Name of the target.
    pub target: Target,
    /// The incarnation that ended.
    pub incarnation: Incarnation,
}

/// A target that serves requests more slowly than its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlowTarget {
    /// Name of the target.
    pub target: Target,
    /// How many times slower than its peers it is; above 1.
    pub slowdown: f64,
}

/// The key with the most requests in a range.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BusiestKey {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Requests per second for the key.
    pub rate: f64,
}

/// Load of one range, as measured by the home of its owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RangeLoad {
    /// Service that the range belongs to.
    pub service: Service,
    /// Range of key hashes.
    pub range: KeyRange,
    /// Requests per second.
    pub rate: f64,
    /// 95th percentile of the service time, in milliseconds.
    pub p95_ms: f64,
    /// Busiest key of the range, if the home knows it.
    pub busiest_key: Option<BusiestKey>,
}

/// Report of an entry to the leader, which is also the entry's heartbeat.
///
/// All fields describe the same moment, at which the entry had applied the log up to `applied`. A
/// condition is repeated in every report for as long as it holds, since a report may be lost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Number of the entry.
    pub node: Node,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Current incarnation of the entry.
    pub incarnation: Incarnation,
    /// Index of the last log entry that it has applied.
    pub applied: u64,
    /// Version of the configuration in force on the entry.
    pub version: Version,
    /// Targets of this home whose leases have expired. The entry no longer sends to these
    /// incarnations and has no request in flight for them, nor for a later incarnation at the same
    /// address.
    pub gone: Vec<GoneTarget>,
    /// Moves for whose range this entry has no request in flight. If only homes send to targets,
    /// just moves away from targets of this home, and only once the owner has acknowledged the
    /// revocation or its lease has expired.
    pub quiesced: Vec<Move>,
    /// Load of the ranges whose owners have this home.
    pub loads: Vec<RangeLoad>,
    /// Targets of this home that are slower than their peers.
    pub slow: Vec<SlowTarget>,
    /// Targets that had this home before and that it still has requests in flight for.
    pub busy: Vec<Target>,
    /// Draining targets of this home that it has no requests in flight for.
    pub idle: Vec<Target>,
    /// Whether the entry shuts down, so that its targets need another home.
    pub leaving: bool,
}

impl EntryReport {
    /// Creates a report that is only a heartbeat: it names no targets, moves or loads.
    pub fn heartbeat(node: Node, zone: Zone, incarnation: Incarnation, applied: u64) -> Self {
        EntryReport {
            node,
            zone,
            incarnation,
            applied,
            version: Version(0),
            gone: Vec::new(),
            quiesced: Vec::new(),
            loads: Vec::new(),
            slow: Vec::new(),
            busy: Vec::new(),
            idle: Vec::new(),
            leaving: false,
        }
    }
}
