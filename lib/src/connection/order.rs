//! Protocol between a target and the entry that is its home.
//!
//! The end of a lease is told by the target's own clock, which its last answer showed, so an order
//! that is late on its way, or read late by a target that was stopped, grants no more than one that
//! was prompt.
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
    /// Number of the order in this epoch; the target refuses one that is not above the last.
    pub serial: u64,
    /// End of the lease by the target's own clock, in milliseconds; zero grants nothing.
    pub until_ms: u64,
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
    /// The target's own monotonic clock as it answers, in milliseconds.
    pub clock_ms: u64,
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
