//! Calls of targets and operators to the core of a seeded fleet, and their answers.
//!
//! Any core host takes a call; one that does not lead passes it on to the leader.

use crate::{
    connection::heartbeat::{Heartbeat, Lease},
    name::{Incarnation, Target, Zone},
    version::desired::{Change, DesiredState},
};
use serde::{Deserialize, Serialize};

/// A call, read in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCall {
    /// Heartbeat of a target.
    Heartbeat(Heartbeat),
    /// A target ends; its life if it named it.
    Leave(Target, Option<Incarnation>),
    /// An operator's order.
    Change(Change),
    /// An operator reads the desired state.
    Read,
    /// A zone is taken out.
    ZoneOut(Zone),
    /// A zone is taken back.
    ZoneIn(Zone),
}

impl ControlCall {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            ControlCall::Heartbeat(_) => "heartbeat",
            ControlCall::Leave(..) => "leave",
            ControlCall::Change(_) => "change",
            ControlCall::Read => "read",
            ControlCall::ZoneOut(_) => "zone-out",
            ControlCall::ZoneIn(_) => "zone-in",
        }
    }
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// What was asked is committed.
    Done,
    /// The heartbeat was taken; without a lease it renews nothing.
    Lease(Option<Lease>),
    /// All items of the desired state.
    Desired(DesiredState),
    /// The call is invalid, for this reason; nothing of it is in force.
    Refused(String),
    /// Nobody leads, or the outcome is not known: ask again.
    Unavailable,
}
