//! Settings of one voter and the state that it found on its disk.

use super::{
    membership::{Identity, Member},
    message::{Entry, HardState, Snapshot},
};
use crate::name::Node;
use std::time::Duration;

/// Who may join the log, and who may found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Joining {
    /// Only the listed nodes, each of which may found the fleet.
    Listed,
    /// Any node that greets: the listed ones are seeds, by which the others find the fleet.
    Seeded {
        /// Whether this node may ask for the founding election. False once the fleet exists, so a
        /// seed whose disk was emptied founds no second one.
        found: bool,
    },
}

/// Settings of one voter.
#[derive(Debug, Clone)]
pub struct RaftConfig {
    /// This node.
    pub node: Node,
    /// Identity of its data folder.
    pub identity: Identity,
    /// Nodes that the settings list as voters, this one included.
    pub listed: Vec<Node>,
    /// Who may join and found.
    pub joining: Joining,
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

    /// Whether a node may become a member.
    pub(super) fn admits(&self, node: Node) -> bool {
        match self.joining {
            Joining::Listed => self.listed.contains(&node),
            Joining::Seeded { .. } => true,
        }
    }

    /// Whether this node may ask for the founding election.
    pub(super) fn may_found(&self) -> bool {
        match self.joining {
            Joining::Listed => true,
            Joining::Seeded { found } => found,
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
