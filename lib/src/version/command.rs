//! Commands of the replicated log.
//!
//! The leader proposes them, a quorum of voters commits them, and every entry applies them in the
//! same order to its copy of the [`Fleet`](super::fleet::Fleet).

use crate::{
    key::{KeyHash, KeyRange},
    name::{Incarnation, Node, Service, Target, Zone},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// What a target says of itself when it asks to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the target.
    pub target: Target,
    /// Service that it runs.
    pub service: Service,
    /// Zone that it stands in.
    pub zone: Zone,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// This life of the target.
    pub incarnation: Incarnation,
}

/// Change of the owner of one range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Service that the range belongs to.
    pub service: Service,
    /// Range that changes its owner; must be one whole assignment.
    pub range: KeyRange,
    /// The new owner.
    pub to: Target,
}

/// Change of the entry that commands a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rehome {
    /// Target whose home changes.
    pub target: Target,
    /// The new home.
    pub home: Node,
}

/// Digest of what makes two requests the same to a target that they crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing; commits what earlier terms left.
    Noop,
    /// A target joins, or comes back under a new incarnation.
    Admit(Announcement),
    /// A target is gone and its lease is over: its ranges have no owner.
    Lost {
        /// The target.
        target: Target,
        /// The life that ended; a later one is not touched.
        incarnation: Incarnation,
    },
    /// A target asks to leave: its ranges move away, then it is removed.
    Drain {
        /// The target.
        target: Target,
        /// The life that leaves; a later one is not touched.
        incarnation: Incarnation,
    },
    /// A lost target, or a drained one without a request in flight, is forgotten.
    Remove {
        /// The target.
        target: Target,
        /// The life that ended; a later one is not touched.
        incarnation: Incarnation,
    },
    /// An entry joins, or comes back under a new incarnation.
    EntryUp {
        /// The entry.
        node: Node,
        /// Its zone.
        zone: Zone,
        /// This life of the entry.
        incarnation: Incarnation,
    },
    /// An entry's lease is over: it commands no target.
    EntryLost {
        /// The entry.
        node: Node,
        /// The life that ended; a later one is not touched.
        incarnation: Incarnation,
    },
    /// Targets change their home.
    Rehome(Vec<Rehome>),
    /// Ranges start to move: the old owner's home stops sending and reports when it is quiet. A range
    /// without an owner is granted at once; a move to the present owner calls a begun move off.
    MoveBegin(Vec<Move>),
    /// The old owner of these ranges is quiet: the new one takes over under a new fence.
    MoveEnd(Vec<Move>),
    /// One range becomes two.
    Split {
        /// Service that the range belongs to.
        service: Service,
        /// First hash of the upper part.
        at: KeyHash,
    },
    /// The range that starts at this hash joins the one below it, if both have one owner.
    Merge {
        /// Service that the ranges belong to.
        service: Service,
        /// First hash of the upper part.
        at: KeyHash,
    },
    /// An operator's release note, as approved.
    Note {
        /// Operator who approved it.
        author: String,
        /// The note's YAML text.
        text: String,
    },
    /// A request that crashed targets is refused everywhere for a while.
    Quarantine {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether the refusal is put in force or lifted.
        active: bool,
        /// How long it holds, counted by each entry from the time it applies the command.
        span: Duration,
    },
}
