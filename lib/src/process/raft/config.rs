//! Settings of one voter and the state that it found on its disk.

use super::{
    membership::{Identity, Member},
    message::{Entry, HardState, Snapshot},
};
use crate::name::Node;
use std::time::Duration;

/// Settings of one voter.
#[derive(Debug, Clone)]
pub struct RaftConfig {
    /// This node.
    pub node: Node,
    /// Identity of its data folder.
    pub identity: Identity,
    /// Nodes that the settings list as voters, this one included.
    pub listed: Vec<Node>,
    /// Shortest election timeout; the longest is twice that.
    pub election: Duration,
    /// Pause between heartbeats of a leader.
    pub heartbeat: Duration,
    /// How much the clocks of two hosts may run apart during an election timeout.
    pub drift: Duration,
    /// Entries kept behind a snapshot, so that a voter slightly behind needs no snapshot.
    pub retain: u64,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

impl RaftConfig {
    /// This node with its folder.
    pub fn member(&self) -> Member {
        Member {
            node: self.node,
            identity: self.identity,
        }
    }
}

/// State found on disk; the default is that of an empty folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// Term and vote.
    pub hard: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, in order.
    pub entries: Vec<Entry>,
}
