//! Replicated state of a seeded fleet: desired state, zones taken out of service, targets and the
//! owners of keys.
//!
//! Core hosts apply the committed [`Update`]s in order; entries receive a snapshot and then the
//! same updates. Applying an update is deterministic, so all replicas at the same log index are
//! equal. An update that no longer fits the state changes nothing, so the leader may propose from a
//! view that is slightly out of date.

mod shard;
mod update;

pub use self::{
    shard::{KeySpan, ShardRow, ShardTable},
    update::{Applied, SpanGrant, Update},
};

use super::{
    desired::{ChangeError, DesiredState},
    suspect_records::SuspectRecords,
};
use crate::name::{Fence, Incarnation, Service, Target, Zone};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
};

/// Number of one incarnation of a target in this fleet; never reused.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub u32);

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}", self.0)
    }
}

/// One incarnation of a target, as its heartbeat announced it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name of the target, the same in every incarnation.
    pub name: Target,
    /// Incarnation of the target; higher after each start.
    pub incarnation: Incarnation,
    /// Service that the target serves.
    pub service: Service,
    /// Address on which the target listens for requests.
    pub address: SocketAddr,
    /// Availability zone the target runs in.
    pub zone: Zone,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target asked to leave.
    pub leaving: bool,
}

/// Replicated state of a seeded fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Routes, services and limits that operators set.
    pub desired: DesiredState,
    /// Zones taken out of service; their targets get no new requests.
    pub evacuated_zones: BTreeSet<Zone>,
    /// Current incarnation of each target.
    pub targets: BTreeMap<TargetId, TargetRecord>,
    /// Owners of the keys of each keyed service.
    pub shards: BTreeMap<Service, ShardTable>,
    next_target: u32,
    last_fence: Fence,
    /// Findings about requests that end targets; known to core hosts only.
    #[serde(skip)]
    pub suspects: SuspectRecords,
    /// Latest incarnation of a name that has left; known to core hosts only.
    #[serde(skip)]
    pub departures: BTreeMap<Target, Incarnation>,
}

impl Catalog {
    /// Encodes the whole state for a snapshot. Releases below level
    /// [`RECORDS`](super::wire_level::WireLevel::RECORDS) read no further than the catalog, and those below
    /// [`DEPARTURES`](super::wire_level::WireLevel::DEPARTURES) no further than the findings.
    pub fn encode_state(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut state = postcard::to_stdvec(self)?;
        state.extend(postcard::to_stdvec(&(&self.suspects, &self.departures))?);
        Ok(state)
    }

    /// Decodes the state of a snapshot, which releases below these levels wrote without findings or
    /// departures.
    pub fn decode_state(state: &[u8]) -> Result<Self, postcard::Error> {
        let (mut catalog, rest) = postcard::take_from_bytes::<Catalog>(state)?;
        if !rest.is_empty() {
            let (suspects, rest) = postcard::take_from_bytes(rest)?;
            catalog.suspects = suspects;
            if !rest.is_empty() {
                catalog.departures = postcard::from_bytes(rest)?;
            }
        }
        Ok(catalog)
    }

    /// Applies a committed update and returns its result.
    pub fn apply(&mut self, update: &Update) -> Applied {
        match update {
            Update::Desired(change) => match self.desired.apply(change) {
                Ok(items) => Applied::Changed { items },
                Err(error) => Applied::Refused(error),
            },
            Update::ZoneOut(zone) => changed_if(self.evacuated_zones.insert(zone.clone())),
            Update::ZoneIn(zone) => changed_if(self.evacuated_zones.remove(zone)),
            Update::Join(record) => self.join(record),
            Update::Leave(id) => self.leave(*id),
            Update::Remove(id) => self.remove(*id),
            Update::Move { service, spans } => self.begin_moves(service, spans),
            Update::Assign { service, grants } => self.assign(service, grants),
            Update::Suspects(update) => changed_if(self.suspects.apply(update)),
            Update::Depart(name, incarnation) => self.depart(name, *incarnation),
            Update::Forget(departures) => self.forget(departures),
        }
    }

    /// Current incarnation of the target with this name.
    pub fn find(&self, name: &Target) -> Option<(TargetId, &TargetRecord)> {
        let mut matching = self.targets.iter().filter(|(_, t)| t.name == *name);
        matching.next().map(|(id, record)| (*id, record))
    }

    /// Number that was given to a target last.
    pub fn last_target(&self) -> TargetId {
        TargetId(self.next_target)
    }

    /// Fence that was used last.
    pub fn last_fence(&self) -> Fence {
        self.last_fence
    }

    /// All targets of a service.
    pub fn targets_of<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = (TargetId, &'a TargetRecord)> {
        let matching = self.targets.iter().filter(|(_, t)| t.service == *service);
        matching.map(|(id, record)| (*id, record))
    }

    /// Whether an incarnation of a name, or a later one, is committed as having left.
    pub fn has_departed(&self, name: &Target, incarnation: Incarnation) -> bool {
        let latest = self.departures.get(name);
        latest.is_some_and(|latest| incarnation <= *latest)
    }

    /// Whether a target may get new requests or keys: it did not ask to leave, and its zone is in
    /// service.
    pub fn accepts_work(&self, record: &TargetRecord) -> bool {
        !record.leaving && !self.evacuated_zones.contains(&record.zone)
    }

    /// Rows of the target's service that it owns.
    pub fn owned_rows(&self, id: TargetId) -> impl Iterator<Item = &ShardRow> {
        let record = self.targets.get(&id);
        let table = record.and_then(|t| self.shards.get(&t.service));
        let rows = table.map_or(&[][..], |table| table.rows());
        rows.iter().filter(move |row| row.owner == Some(id))
    }

    /// Rows that the target owns and that are not moving to another target.
    pub fn retained_rows(&self, id: TargetId) -> Vec<&ShardRow> {
        let rows = self.owned_rows(id);
        rows.filter(|row| row.next.is_none()).collect()
    }

    /// Adds a target, in place of older incarnations with its name or at its address.
    fn join(&mut self, record: &TargetRecord) -> Applied {
        let conflicting: Vec<(TargetId, Incarnation)> = self
            .targets
            .iter()
            .filter(|(_, t)| t.name == record.name || t.address == record.address)
            .map(|(id, t)| (*id, t.incarnation))
            .collect();
        if conflicting
            .iter()
            .any(|(_, incarnation)| *incarnation >= record.incarnation)
        {
            return Applied::Unchanged;
        }
        for (id, _) in conflicting {
            self.remove(id);
        }
        self.next_target += 1;
        let id = TargetId(self.next_target);
        self.targets.insert(id, record.clone());
        Applied::Joined(id)
    }

    fn leave(&mut self, id: TargetId) -> Applied {
        match self.targets.get_mut(&id) {
            Some(record) if !record.leaving => {
                record.leaving = true;
                Applied::Changed { items: 1 }
            }
            _ => Applied::Unchanged,
        }
    }

    fn depart(&mut self, name: &Target, incarnation: Incarnation) -> Applied {
        if self.has_departed(name, incarnation) {
            return Applied::Unchanged;
        }
        self.departures.insert(name.clone(), incarnation);
        Applied::Changed { items: 1 }
    }

    /// Forgets departures, unless a later incarnation of the name has left since.
    fn forget(&mut self, departures: &[(Target, Incarnation)]) -> Applied {
        let former = self.departures.len();
        for (name, incarnation) in departures {
            if self.departures.get(name) == Some(incarnation) {
                self.departures.remove(name);
            }
        }
        changed_if(self.departures.len() < former)
    }

    /// Removes a target and leaves its keys without an owner.
    fn remove(&mut self, id: TargetId) -> Applied {
        let Some(record) = self.targets.remove(&id) else {
            return Applied::Unchanged;
        };
        if let Some(table) = self.shards.get_mut(&record.service) {
            table.remove_target(id);
        }
        Applied::Changed { items: 1 }
    }

    /// Begins the moves that are still possible.
    fn begin_moves(&mut self, service: &Service, spans: &[(KeySpan, TargetId)]) -> Applied {
        let Some(table) = self.shards.get_mut(service) else {
            return Applied::Unchanged;
        };
        let targets = &self.targets;
        let fits = |next: &TargetId| targets.get(next).is_some_and(|t| t.service == *service);
        let begun = spans.iter().filter(|(_, next)| fits(next));
        let begun = begun.filter(|(span, next)| table.begin_move(*span, *next));
        match begun.count() {
            0 => Applied::Unchanged,
            items => Applied::Changed { items },
        }
    }

    /// Assigns spans to new owners, each under a fence that was never used before.
    fn assign(&mut self, service: &Service, grants: &[SpanGrant]) -> Applied {
        let table = self.shards.entry(service.clone()).or_default();
        let mut items = 0;
        for grant in grants {
            let fits = self
                .targets
                .get(&grant.owner)
                .is_some_and(|t| t.service == *service);
            if fits && table.sole_owner(grant.span) == Some(grant.former) {
                self.last_fence = self.last_fence.next();
                table.assign(grant, self.last_fence);
                items += 1;
            }
        }
        match items {
            0 => Applied::Unchanged,
            items => Applied::Changed { items },
        }
    }
}

fn changed_if(changed: bool) -> Applied {
    match changed {
        true => Applied::Changed { items: 1 },
        false => Applied::Unchanged,
    }
}

impl Applied {
    /// Why an operator's change was refused.
    pub fn refusal(&self) -> Option<&ChangeError> {
        match self {
            Applied::Refused(error) => Some(error),
            _ => None,
        }
    }
}
