//! Settings of one member and the state that it restores from its disk.
//!
//! The settings decide which nodes may join the log, and whether this node may bootstrap it.

use super::{
    membership::{Identity, Member},
    message::{HardState, LogEntry, Snapshot},
};
use crate::name::Node;
use std::time::Duration;

/// Which nodes may join the log, and which of them may bootstrap it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinPolicy {
    /// Only the configured voters may join, and each of them may bootstrap the fleet.
    Configured,
    /// Any node that sends a hello may join. The configured voters are seeds, through which the
    /// others find the fleet.
    Seeded {
        /// Whether this node may start the bootstrap election. False once the fleet exists, so that
        /// seeds whose disks were emptied do not bootstrap a second fleet.
        can_bootstrap: bool,
    },
}

/// Settings of one member.
#[derive(Debug, Clone)]
pub struct RaftConfig {
    /// Node that this process runs.
    pub node: Node,
    /// Identity of the node's data folder.
    pub identity: Identity,
    /// Nodes that bootstrap the fleet together: the voters of a configured fleet, the seeds of a
    /// seeded one.
    pub configured_voters: Vec<Node>,
    /// Which nodes may join and bootstrap.
    pub join_policy: JoinPolicy,
    /// Shortest election timeout; the longest is twice that. A voter that heard from a leader
    /// grants no vote for this long.
    pub election_timeout: Duration,
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// How far the clocks of two hosts may drift apart during an election timeout; the leader's
    /// lease is shorter by this.
    pub clock_drift: Duration,
    /// Number of voters below which a seeded fleet does not shrink by itself.
    pub min_voters: usize,
    /// Number of entries kept before the latest snapshot, so that a member that lags a little needs
    /// no snapshot.
    pub retained_entries: u64,
    /// Seed of the random part of the election timeouts.
    pub rng_seed: u64,
}

impl RaftConfig {
    /// This node together with the identity of its data folder.
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

    /// Whether this node may start the bootstrap election.
    pub(super) fn can_bootstrap(&self) -> bool {
        match self.join_policy {
            JoinPolicy::Configured => true,
            JoinPolicy::Seeded { can_bootstrap } => can_bootstrap,
        }
    }
}

/// State restored from disk; the default is that of an empty folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// Latest term and the vote in it.
    pub hard_state: HardState,
    /// Latest snapshot, if one was taken or received.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, in order.
    pub entries: Vec<LogEntry>,
}
