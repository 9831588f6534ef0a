//! Protocol between a target and the entry that is its home.
//!
//! A home renews the target's lease with a [`LeaseOrder`] and reads the target's condition from the
//! [`LeaseAnswer`]. Both travel as JSON over HTTP. Users say how their targets differ; only the
//! adapter at the edge of the daemon knows these shapes.

use crate::{
    key::KeyRange,
    name::{Epoch, Fence, Incarnation, Target},
};
use serde::{Deserialize, Serialize};

/// Path of the lease order at a target.
pub const LEASE_PATH: &str = "/cornelrail/lease";
/// Path of the announcement at an entry.
pub const ANNOUNCE_PATH: &str = "/announce";
/// Path at an entry by which a target asks to leave.
pub const LEAVE_PATH: &str = "/leave";

/// One granted range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The range.
    pub range: KeyRange,
    /// Fence under which the target owns it.
    pub fence: Fence,
}

/// Order that renews a target's lease and states all its grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseOrder {
    /// Life of the target that the order is meant for; another life refuses it.
    pub incarnation: Incarnation,
    /// Epoch of the home; the target refuses a lower one than it has seen.
    pub epoch: Epoch,
    /// Length of the lease from the arrival of the order, in milliseconds.
    pub lease_ms: u64,
    /// All ranges that the target owns; empty for pools.
    pub grants: Vec<Grant>,
    /// Whether the target is to leave.
    pub drain: bool,
}

/// How warm a target is, by its own account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warmth {
    /// Just started; bears little.
    Cold,
    /// Bears its full share.
    Warm,
    /// Finishes what it has.
    Draining,
}

/// Answer to a lease order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Name of the target.
    pub target: Target,
    /// This life of the target.
    pub incarnation: Incarnation,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// Highest epoch that the target has seen.
    pub epoch: Epoch,
    /// How warm it is.
    pub warmth: Warmth,
    /// Requests that it runs now; late and sometimes misleading.
    pub running: u32,
}

/// Body by which a target asks to leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    /// Name of the target.
    pub target: Target,
    /// Life that leaves.
    pub incarnation: Incarnation,
}
