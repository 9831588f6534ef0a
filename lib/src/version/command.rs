//! Commands of the replicated log of a configured fleet.
//!
//! The leader proposes them, a quorum of voters commits them, and every entry applies them in the
//! same order to its copy of the [`Fleet`](super::fleet::Fleet).

use crate::{
    key::{KeyHash, KeyRange},
    name::{Incarnation, Node, Service, Target, Zone},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A target's request to serve, in which it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the target, the same in every incarnation.
    pub target: Target,
    /// Service that the target serves.
    pub service: Service,
    /// Availability zone the target runs in.
    pub zone: Zone,
    /// Address on which the target listens for requests and lease orders.
    pub address: SocketAddr,
    /// Number of requests that the target runs concurrently once it is warm.
    pub slots: u32,
    /// Incarnation of the target; higher after each start.
    pub incarnation: Incarnation,
}

/// Change of the owner of one range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Service that the range belongs to.
    pub service: Service,
    /// Range to move; must match one assignment exactly.
    pub range: KeyRange,
    /// Destination of the move.
    pub to: Target,
}

/// Change of a target's home, the entry that sends to it and renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rehome {
    /// Target whose home changes.
    pub target: Target,
    /// Entry that becomes the home.
    pub home: Node,
}

/// Digest of the parts of a request by which requests that crash targets are recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// First 64 bits of the BLAKE3 digest of all parts, each with its length.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Fingerprint(u64::from_be_bytes(prefix))
    }
}

/// One change that the replicated log carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; lets a new leader commit the entries of earlier terms.
    Noop,
    /// A target joins, or restarts with a new incarnation.
    Admit(Announcement),
    /// A target does not respond and its lease has expired: it loses its ranges.
    Lost {
        /// Name of the target.
        target: Target,
        /// Incarnation that ended; the command does not affect a later one.
        incarnation: Incarnation,
    },
    /// A target leaves: its ranges move away, then it is removed.
    Drain {
        /// Name of the target.
        target: Target,
        /// Incarnation that leaves; the command does not affect a later one.
        incarnation: Incarnation,
    },
    /// A lost target, or a draining one without requests in flight, is removed from the state.
    Remove {
        /// Name of the target.
        target: Target,
        /// Incarnation that ended; the command does not affect a later one.
        incarnation: Incarnation,
    },
    /// An entry joins, restarts with a new incarnation, or is back after it was lost.
    EntryUp {
        /// Number of the entry.
        node: Node,
        /// Availability zone the entry runs in.
        zone: Zone,
        /// Incarnation of the entry; higher after each start.
        incarnation: Incarnation,
    },
    /// An entry's lease has expired: it is no longer the home of any target.
    EntryLost {
        /// Number of the entry.
        node: Node,
        /// Incarnation that ended; the command does not affect a later one.
        incarnation: Incarnation,
    },
    /// Targets change their home.
    Rehome(Vec<Rehome>),
    /// Starts the move of ranges: the source's home stops sending and reports when no request is in
    /// flight. A range without an owner is granted at once; a move to the current owner cancels the
    /// move in progress.
    MoveBegin(Vec<Move>),
    /// Ends the move of ranges, which no longer have requests in flight at the source: the
    /// destination becomes the owner under a new fence.
    MoveEnd(Vec<Move>),
    /// Splits one range into two.
    Split {
        /// Service that the range belongs to.
        service: Service,
        /// First hash of the upper part.
        at: KeyHash,
    },
    /// Merges the range that starts at this hash into the one below it, if both have one owner.
    Merge {
        /// Service that the ranges belong to.
        service: Service,
        /// First hash of the upper part.
        at: KeyHash,
    },
    /// A release note that an operator approved.
    Note {
        /// Operator who approved it.
        author: String,
        /// The note's YAML text.
        text: String,
    },
    /// Sets or lifts the quarantine of a request that crashed targets.
    Quarantine {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Whether the quarantine is set or lifted.
        active: bool,
        /// How long entries refuse the request, counted by each from when it applies the command.
        duration: Duration,
    },
}
