//! Messages between a target and the entry that is its home.
//!
//! A home renews the target's lease with a [`LeaseOrder`] and reads the target's state from the
//! [`LeaseAnswer`]. Both travel as JSON over HTTP. Only the adapter at the edge of the
//! daemon knows these types, because the protocol of a user's targets may differ from them.
//!
//! An order states the end of the lease as a reading of the target's own clock, derived from the
//! reading in its last answer. So an order that is delayed in transit, or read late by a target
//! that was suspended, grants no more time than one that arrives at once.

use crate::{
    key::KeyRange,
    name::{Epoch, Fence, Incarnation, Target},
};
use serde::{Deserialize, Serialize};

/// Path at a target to which its home sends lease orders.
pub const LEASE_PATH: &str = "/cornelrail/lease";
/// Path at an entry to which a target sends its announcement.
pub const ANNOUNCE_PATH: &str = "/announce";
/// Path at an entry to which a target sends its leave message.
pub const LEAVE_PATH: &str = "/leave";

/// Right of a target to serve a range of key hashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Key hashes that the target may serve.
    pub range: KeyRange,
    /// Fencing token of the grant.
    pub fence: Fence,
}

/// Renews a target's lease and states all its grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseOrder {
    /// Incarnation of the target that the order is for; any other incarnation refuses it.
    pub incarnation: Incarnation,
    /// Epoch of the home; the target refuses an epoch lower than the highest it has seen.
    pub epoch: Epoch,
    /// Serial number of the order in this epoch; the target refuses one not above the last.
    pub serial: u64,
    /// End of the lease by the target's own clock, in milliseconds; zero grants nothing.
    pub until_ms: u64,
    /// Grants of all ranges that the target owns; empty for targets of a pool.
    pub grants: Vec<Grant>,
    /// Whether the target is to finish its running requests and leave.
    pub drain: bool,
}

/// Warm-up state that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warmth {
    /// Started recently; can take only little load.
    Cold,
    /// Can take its full share of the load.
    Warm,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// Answer to a lease order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Name of the target that answers.
    pub target: Target,
    /// Incarnation of the target that answers.
    pub incarnation: Incarnation,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// Highest epoch that the target has seen.
    pub epoch: Epoch,
    /// Reading of the target's monotonic clock at the time of the answer, in milliseconds.
    pub clock_ms: u64,
    /// Warm-up state of the target.
    pub warmth: Warmth,
    /// Number of requests that the target runs; may be out of date or wrong.
    pub running: u32,
}

/// Leave message of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    /// Name of the target that asks to leave.
    pub target: Target,
    /// Incarnation that asks to leave.
    pub incarnation: Incarnation,
}
