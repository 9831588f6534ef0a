//! Explains which target owns a key and why, from the replicated state of a configured fleet.

use super::fleet::{Cause, Fleet, ServiceKind};
use crate::{
    key::{KeyHash, KeyRange},
    name::{Epoch, Fence, Node, Service, Target, Version, Zone},
};
use serde::Serialize;
use std::fmt;

/// Owner of a key of a keyed service, and the last change of its range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Service that the key belongs to.
    pub service: Service,
    /// Position of the key in the hash space.
    pub hash: KeyHash,
    /// Range that contains the key.
    pub range: KeyRange,
    /// Owner of the range, if it has one.
    pub owner: Option<Target>,
    /// Fencing token of the owner's grant.
    pub fence: Fence,
    /// Destination of the move in progress, if any.
    pub next: Option<Target>,
    /// Home of the owner: the entry that sends to it and renews its lease.
    pub home: Option<Node>,
    /// Epoch of that home.
    pub epoch: Epoch,
    /// Availability zone of the owner.
    pub zone: Option<Zone>,
    /// Kind of the last change of the range.
    pub cause: Cause,
    /// Log index of that change.
    #[serde(rename = "since")]
    pub change_index: u64,
    /// Version of the current configuration.
    pub version: Version,
}

impl Fleet {
    /// Returns the owner of a key and why it is the owner; `None` if the service is unknown or not
    /// keyed.
    pub fn explain(&self, service: &str, key: &str) -> Option<Explanation> {
        let (name, state) = self.services.get_key_value(service)?;
        if state.settings.kind == ServiceKind::Pool {
            return None;
        }
        let hash = KeyHash::of(key);
        let assignment = &state.ranges[super::range_table::position(&state.ranges, hash)];
        let target = assignment.owner.as_ref().and_then(|t| self.targets.get(t));
        Some(Explanation {
            service: name.clone(),
            hash,
            range: assignment.range,
            owner: assignment.owner.clone(),
            fence: assignment.fence,
            next: assignment.next.clone(),
            home: target.and_then(|t| t.home),
            epoch: target.map_or(Epoch(0), |t| t.epoch),
            zone: target.map(|t| t.announcement.zone.clone()),
            cause: assignment.cause,
            change_index: assignment.change_index,
            version: self.version,
        })
    }
}

impl Cause {
    /// Describes the change for operators, as a clause such as "a move began".
    pub fn text(self) -> &'static str {
        match self {
            Cause::Created => "the service was added",
            Cause::Granted => "the range had no owner and was granted",
            Cause::Moving => "a move began",
            Cause::Moved => "a move ended",
            Cause::Kept => "a move was cancelled",
            Cause::OwnerLost => "its owner was lost",
            Cause::OwnerRestarted => "its owner restarted",
            Cause::Merged => "two ranges were merged",
        }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service  {}", self.service)?;
        writeln!(f, "hash     {}", self.hash)?;
        match (&self.owner, &self.zone) {
            (Some(owner), Some(zone)) => writeln!(f, "owner    {owner} in zone {zone}")?,
            _ => writeln!(f, "owner    none")?,
        }
        if let Some(next) = &self.next {
            writeln!(f, "moves to {next}")?;
        }
        match self.home {
            Some(home) => writeln!(f, "home     entry {home}, epoch {}", self.epoch)?,
            None => writeln!(f, "home     none")?,
        }
        writeln!(f, "fence    {}", self.fence)?;
        writeln!(f, "why      {}", self.cause.text())?;
        write!(f, "         at log index {}", self.change_index)
    }
}
