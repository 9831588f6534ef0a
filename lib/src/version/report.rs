//! Reports of the entries to the leader.

use super::command::Move;
use crate::{
    key::{KeyHash, KeyRange},
    name::{Incarnation, Node, Service, Target, Version, Zone},
};
use serde::{Deserialize, Serialize};

/// Life of a target whose lease is over and which does not answer its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneTarget {
    /// The target.
    pub target: Target,
    /// The life that ended.
    pub incarnation: Incarnation,
}

/// A target that does not keep up with its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlowTarget {
    /// The target.
    pub target: Target,
    /// How many times slower than its peers it is; above 1.
    pub slowdown: f64,
}

/// The busiest key of a range.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BusiestKey {
    /// The key's hash.
    pub hash: KeyHash,
    /// Its requests a second.
    pub rate: f64,
}

/// Load of one range as its owner's home measured it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RangeLoad {
    /// The service.
    pub service: Service,
    /// The range.
    pub range: KeyRange,
    /// Requests a second.
    pub rate: f64,
    /// Time that a slow request took, in milliseconds: the 95th percentile.
    pub p95_ms: f64,
    /// Its busiest key, if the home knows it.
    pub busiest_key: Option<BusiestKey>,
}

/// What an entry tells the leader; it is the entry's heartbeat too.
///
/// Everything in it describes one moment, at which the entry had applied the log up to `applied`.
/// Conditions are repeated in every report for as long as they hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The entry.
    pub node: Node,
    /// Its zone.
    pub zone: Zone,
    /// Its life.
    pub incarnation: Incarnation,
    /// Log index that it has applied.
    pub applied: u64,
    /// Version in force there.
    pub version: Version,
    /// Targets that it commands and whose leases are over. It sends nothing to these lives any
    /// more and has no request in flight for them, nor for a later life at the same address.
    pub gone: Vec<GoneTarget>,
    /// Moves whose old owner it commands, where it has no request in flight for the range and the
    /// owner has acknowledged the revocation or let its lease run out. Where every entry sends to
    /// every target, all moves for whose range it has no request in flight.
    pub quiesced: Vec<Move>,
    /// Load of the ranges whose owners it commands.
    pub loads: Vec<RangeLoad>,
    /// Targets that it commands and finds slow.
    pub slow: Vec<SlowTarget>,
    /// Targets that it commands no longer but still has requests in flight for.
    pub busy: Vec<Target>,
    /// Draining targets that it commands and has no requests in flight for.
    pub idle: Vec<Target>,
    /// Whether it shuts down and wants its targets to have another home.
    pub leaving: bool,
}

impl EntryReport {
    /// Report that is a heartbeat and nothing else.
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
