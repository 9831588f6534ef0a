//! Explanation of where a key is and why.

use super::fleet::{Cause, Fleet, ServiceKind};
use crate::{
    key::{KeyHash, KeyRange},
    name::{Epoch, Fence, Node, Service, Target, Version, Zone},
};
use serde::Serialize;
use std::fmt;

/// Where a key of a keyed service is, and which command put it there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: Service,
    /// Position of the key in the hash space.
    pub hash: KeyHash,
    /// Range that holds the key.
    pub range: KeyRange,
    /// Its one owner, if any.
    pub owner: Option<Target>,
    /// Fence of the owner.
    pub fence: Fence,
    /// Where it is moving to, if it moves.
    pub next: Option<Target>,
    /// Entry that commands the owner.
    pub home: Option<Node>,
    /// Epoch of that entry.
    pub epoch: Epoch,
    /// Zone of the owner.
    pub zone: Option<Zone>,
    /// What the last change of the range was.
    pub cause: Cause,
    /// Log index of that change.
    pub since: u64,
    /// Version of the configuration in force.
    pub version: Version,
}

impl Fleet {
    /// Says who owns a key and why; `None` if the service is unknown or not keyed.
    pub fn explain(&self, service: &str, key: &str) -> Option<Explanation> {
        let (name, state) = self.services.get_key_value(service)?;
        if state.settings.kind == ServiceKind::Pool {
            return None;
        }
        let hash = KeyHash::of(key);
        let slot = &state.ranges[super::range_table::position(&state.ranges, hash)];
        let target = slot.owner.as_ref().and_then(|t| self.targets.get(t));
        Some(Explanation {
            service: name.clone(),
            hash,
            range: slot.range,
            owner: slot.owner.clone(),
            fence: slot.fence,
            next: slot.next.clone(),
            home: target.and_then(|t| t.home),
            epoch: target.map_or(Epoch(0), |t| t.epoch),
            zone: target.map(|t| t.info.zone.clone()),
            cause: slot.cause,
            since: slot.since,
            version: self.version,
        })
    }
}

impl Cause {
    /// Reason in plain words.
    pub fn text(self) -> &'static str {
        match self {
            Cause::Created => "never owned yet",
            Cause::Granted => "it had no owner",
            Cause::Moving => "a move began",
            Cause::Moved => "a move ended",
            Cause::Kept => "a move was called off",
            Cause::OwnerLost => "its owner was lost",
            Cause::OwnerRestarted => "its owner restarted",
            Cause::Merged => "two ranges joined",
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
        write!(f, "         at log index {}", self.since)
    }
}
