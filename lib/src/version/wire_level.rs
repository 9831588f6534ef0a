//! Levels of the messages between the processes of a seeded fleet.
//!
//! Processes of two releases run side by side during an upgrade. Messages are positional, so a peer
//! cannot pass over a variant that it does not know. Variants are therefore only ever appended, each
//! belongs to a level, and a peer is sent no message above its own.
//!
//! A process tells its level behind its first message on a connection, where releases without levels
//! do not look. Their level is learnt from what they send: whoever sends a message knows its level.

use super::{
    catalog::Update,
    feed::{FromCore, ToCore},
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Level of a message, and of a process by the messages that it knows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WireLevel(u16);

impl WireLevel {
    /// Catalog, statuses, limits and permits.
    pub const BASE: WireLevel = WireLevel(0);
    /// Requests that end targets, and entries that know of each other.
    pub const DETOURS: WireLevel = WireLevel(1);
    /// Processes tell their level.
    pub const TOLD: WireLevel = WireLevel(2);
    /// Trials of requests under suspicion.
    pub const TRIALS: WireLevel = WireLevel(3);
    /// Core hosts commit findings about requests that end targets.
    pub const RECORDS: WireLevel = WireLevel(4);
    /// Core hosts tell their clocks, and until when the calls that they pass on may take effect.
    pub const DEADLINES: WireLevel = WireLevel(5);
    /// Core hosts commit departures of targets that the catalog does not have yet.
    pub const DEPARTURES: WireLevel = WireLevel(6);
    /// Level of this release.
    pub const OWN: WireLevel = WireLevel::DEPARTURES;
}

impl fmt::Display for WireLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl ToCore {
    /// Level of the peers that know this message.
    pub fn level(&self) -> WireLevel {
        match self {
            ToCore::Raft(_)
            | ToCore::Call(..)
            | ToCore::Report(_)
            | ToCore::Ping
            | ToCore::Confirm(_)
            | ToCore::Limits(_)
            | ToCore::Permit(..) => WireLevel::BASE,
            ToCore::Suspects(_) | ToCore::Peer(_) => WireLevel::DETOURS,
            ToCore::Trial(..) | ToCore::TrialsEnded(_) => WireLevel::TRIALS,
            ToCore::TimedCall { .. } => WireLevel::DEADLINES,
        }
    }
}

impl FromCore {
    /// Level of the peers that know this message.
    pub fn level(&self) -> WireLevel {
        match self {
            FromCore::Members { .. }
            | FromCore::Reply(..)
            | FromCore::Snapshot(..)
            | FromCore::Updates(..)
            | FromCore::Status(_)
            | FromCore::Pong
            | FromCore::Confirmed(_)
            | FromCore::Permit(..)
            | FromCore::LimitedStatus(..) => WireLevel::BASE,
            FromCore::Quarantined(_) | FromCore::Peers(_) => WireLevel::DETOURS,
            FromCore::Trial(..) | FromCore::Suspected(_) => WireLevel::TRIALS,
            FromCore::Clock(_) => WireLevel::DEADLINES,
        }
    }
}

impl Update {
    /// Level of the core hosts that know this update.
    pub fn level(&self) -> WireLevel {
        match self {
            Update::Desired(_)
            | Update::ZoneOut(_)
            | Update::ZoneIn(_)
            | Update::Join(_)
            | Update::Leave(_)
            | Update::Remove(_)
            | Update::Move { .. }
            | Update::Assign { .. } => WireLevel::BASE,
            Update::Suspects(_) => WireLevel::RECORDS,
            Update::Depart(..) | Update::Forget(_) => WireLevel::DEPARTURES,
        }
    }
}
