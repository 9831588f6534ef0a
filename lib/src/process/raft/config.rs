//! Settings of one voter and the state that it found on its disk.

use super::{
    membership::{Identity, Member},
    message::{HardState, LogEntry, Snapshot},
};
use crate::name::Node;
use std::time::Duration;

/// Who may join the log, and who may found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinPolicy {
    /// Only the listed nodes, each of which may found the fleet.
    Configured,
    /// Any node that greets: the listed ones are seeds, by which the others find the fleet.
    Seeded {
        /// Whether this node may ask for the founding election. False once the fleet exists, so a
        /// seed whose disk was emptied founds no second one.
        can_bootstrap: bool,
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
    pub configured_voters: Vec<Node>,
    /// Who may join and found.
    pub join_policy: JoinPolicy,
    /// Shortest election timeout; the longest is twice that.
    pub election_timeout: Duration,
    /// Pause between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// How much the clocks of two hosts may run apart during an election timeout.
    pub clock_drift: Duration,
    /// Entries kept behind a snapshot, so that a voter slightly behind needs no snapshot.
    pub retained_entries: u64,
    /// Seed of the random election timeouts.
    pub rng_seed: u64,
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
    pub(super) fn can_join(&self, node: Node) -> bool {
        match self.join_policy {
            JoinPolicy::Configured => self.configured_voters.contains(&node),
            JoinPolicy::Seeded { .. } => true,
        }
    }

    /// Whether this node may ask for the founding election.
    pub(super) fn can_bootstrap(&self) -> bool {
        match self.join_policy {
            JoinPolicy::Configured => true,
            JoinPolicy::Seeded { can_bootstrap } => can_bootstrap,
        }
    }
}

/// State found on disk; the default is that of an empty folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, in order.
    pub entries: Vec<LogEntry>,
}
