//! Leases that targets pull: the leader's memory of who may hold what until when.
//!
//! Rows of the catalog say who may get a lease; [`TargetLeases`] says who may still have one. A span
//! changes its owner in this order: the move is committed, the next answer to the owner leaves the
//! span out, a later heartbeat of the owner shows that it holds the span no more (or its lease is
//! over), the grant to the next owner is committed under a higher fence, and the answer to the next
//! owner's heartbeat carries it.
//!
//! A new leader knows nothing of the leases that the former one gave, so it takes each target to
//! hold one that begins with its own term.

use super::heartbeat::{GrantedSpan, Heartbeat, Lease};
use crate::{
    moment::Moment,
    name::{Fence, Incarnation, Service, Target},
    version::catalog::{Catalog, ShardRow, SpanGrant, TargetId, TargetRecord, Update},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A target's clock may run so much slower than ours, in 1000.
const MAX_CLOCK_LAG_PER_MILLE: u32 = 20;
/// Heartbeats of one life that a new leader sees before it believes that a span was let go: the
/// first may be a late one.
const MIN_HEARTBEATS_FOR_RELEASE: u32 = 2;
/// Weight of the latest pause in the mean pause between heartbeats, in 8.
const LATEST_INTERVAL_EIGHTHS: u32 = 2;

/// Settings of the leases.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfig {
    /// Length of a lease by the target's clock.
    pub length: Duration,
    /// Usual pause between heartbeats of a target.
    pub heartbeat: Duration,
}

impl LeaseConfig {
    /// Longest time that a lease may last by our clock.
    fn max_duration(&self) -> Duration {
        self.length + self.length * MAX_CLOCK_LAG_PER_MILLE / 1_000
    }
}

/// What the leader knows of one life of a target.
#[derive(Debug, Clone)]
struct TrackedTarget {
    serial: u64,
    heartbeats: u32,
    last_heartbeat: Moment,
    interval: Duration,
    lease_end: Moment,
    cold_until: Moment,
    held: BTreeSet<Fence>,
    active: BTreeSet<Fence>,
    excluded: BTreeSet<Fence>,
}

/// What a heartbeat brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// A life that the catalog does not hold: propose that it joins.
    New,
    /// A late heartbeat, or one of a life that is over. It renews nothing.
    Stale,
    /// A living target, and what has to be committed before the answer.
    Known {
        /// Its number.
        id: TargetId,
        /// Updates to propose.
        updates: Vec<Update>,
    },
}

/// Leases that the leader gave or that its predecessors may have given.
#[derive(Debug)]
pub struct TargetLeases {
    config: LeaseConfig,
    term_start: Moment,
    tracked: BTreeMap<TargetId, TrackedTarget>,
    /// Until when the targets are cold that were heard before they had a number.
    joining: BTreeMap<(Target, Incarnation), Moment>,
}

impl TargetLeases {
    /// Memory of a leader whose term begins now.
    pub fn new(config: LeaseConfig, now: Moment) -> Self {
        TargetLeases {
            config,
            term_start: now,
            tracked: BTreeMap::new(),
            joining: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat in.
    pub fn on_heartbeat(
        &mut self,
        now: Moment,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let known = catalog.find(&heartbeat.name);
        let Some((id, record)) = known.filter(|(_, t)| t.incarnation >= heartbeat.incarnation)
        else {
            let newer = catalog
                .targets
                .values()
                .any(|t| t.address == heartbeat.address && t.incarnation >= heartbeat.incarnation);
            if newer {
                return HeartbeatOutcome::Stale;
            }
            let key = (heartbeat.name.clone(), heartbeat.incarnation);
            self.joining.insert(key, now + heartbeat.cold_left);
            return HeartbeatOutcome::New;
        };
        if record.incarnation > heartbeat.incarnation || !self.record_heartbeat(now, id, heartbeat)
        {
            return HeartbeatOutcome::Stale;
        }
        let mut updates = self.grants_after_release(catalog, id, heartbeat);
        if heartbeat.leaving && !record.leaving {
            updates.push(Update::Leave(id));
        }
        HeartbeatOutcome::Known { id, updates }
    }

    /// Takes note of a target whose heartbeat is being answered. The one by which it joined was heard
    /// before it had a number.
    pub fn begin_tracking(&mut self, now: Moment, id: TargetId, record: &TargetRecord) {
        let key = (record.name.clone(), record.incarnation);
        let cold_until = self.joining.remove(&key);
        let tracked = self.get_or_track(now, id);
        tracked.cold_until = tracked.cold_until.max(cold_until.unwrap_or(Moment::ZERO));
    }

    /// Lease of a target as of now, to be sent in the answer to its heartbeat.
    pub fn grant(&mut self, now: Moment, catalog: &Catalog, id: TargetId) -> Lease {
        let rows = catalog.retained_rows(id);
        let leaving = rows_moving_from(catalog, id).map(|row| row.fence);
        let excluded: BTreeSet<Fence> = leaving.collect();
        let max_duration = self.config.max_duration();
        let tracked = self.get_or_track(now, id);
        let held = &tracked.held;
        let grants: Vec<GrantedSpan> = rows
            .iter()
            .map(|row| granted_span(row, held.contains(&row.fence)))
            .collect();
        tracked.active = grants.iter().map(|grant| grant.fence).collect();
        tracked.excluded = excluded;
        if !grants.is_empty() {
            tracked.lease_end = tracked.lease_end.max(now + max_duration);
        }
        Lease {
            grants,
            length: self.config.length,
        }
    }

    /// Whether the target may still hold keys.
    pub fn may_hold(&self, now: Moment, id: TargetId) -> bool {
        now < self.lease_end(id)
    }

    /// Whether the target sent a heartbeat within the length of a lease.
    pub fn is_responsive(&self, now: Moment, id: TargetId) -> bool {
        let last = self
            .tracked
            .get(&id)
            .map_or(self.term_start, |t| t.last_heartbeat);
        now.since(last) < self.config.length
    }

    /// How long the target has been silent.
    pub fn time_since_heartbeat(&self, now: Moment, id: TargetId) -> Duration {
        now.since(
            self.tracked
                .get(&id)
                .map_or(self.term_start, |t| t.last_heartbeat),
        )
    }

    /// How much longer the target is cold.
    pub fn cold_left(&self, now: Moment, id: TargetId) -> Duration {
        let cold_until = self.tracked.get(&id).map_or(Moment::ZERO, |t| t.cold_until);
        cold_until.since(now)
    }

    /// When the next heartbeat of the target is due.
    pub fn next_heartbeat(&self, now: Moment, id: TargetId) -> Moment {
        match self.tracked.get(&id) {
            Some(tracked) => (tracked.last_heartbeat + tracked.interval).max(now),
            None => now + self.config.heartbeat,
        }
    }

    /// Whether the row's owner has been told to hold it, as far as this leader knows. An owner that
    /// this leader has not heard yet goes on with what it was told before.
    pub fn is_active(&self, now: Moment, row: &ShardRow) -> bool {
        let Some(owner) = row.owner else {
            return false;
        };
        let Some(tracked) = self.tracked.get(&owner) else {
            return now < self.lease_end(owner);
        };
        let held = tracked.active.contains(&row.fence) && now < tracked.lease_end;
        held && (row.next.is_none() || !tracked.excluded.contains(&row.fence))
    }

    /// Forgets the lives that the catalog holds no more.
    pub fn retain(&mut self, catalog: &Catalog) {
        let targets = &catalog.targets;
        self.tracked.retain(|id, _| targets.contains_key(id));
        let max_age = self.config.length;
        let now = self.latest_heartbeat();
        self.joining
            .retain(|_, cold_until| now.since(*cold_until) < max_age);
    }

    /// Grants that are due since the lease of the present owner is over, for moves under way.
    pub fn moves_after_expiry(&self, now: Moment, catalog: &Catalog) -> Vec<(Service, SpanGrant)> {
        let mut due = Vec::new();
        for (service, table) in &catalog.shards {
            for row in table.rows() {
                if let (Some(owner), Some(next)) = (row.owner, row.next)
                    && !self.may_hold(now, owner)
                {
                    due.push((service.clone(), grant_to(row, next, "")));
                }
            }
        }
        due
    }

    /// Time of the latest heartbeat of all.
    fn latest_heartbeat(&self) -> Moment {
        let times = self.tracked.values().map(|tracked| tracked.last_heartbeat);
        times.max().unwrap_or(self.term_start)
    }

    /// End of the last lease that the target may have.
    fn lease_end(&self, id: TargetId) -> Moment {
        match self.tracked.get(&id) {
            Some(tracked) => tracked.lease_end,
            None => self.term_start + self.config.max_duration(),
        }
    }

    fn get_or_track(&mut self, now: Moment, id: TargetId) -> &mut TrackedTarget {
        let lease_end = self.term_start + self.config.max_duration();
        let interval = self.config.heartbeat;
        self.tracked.entry(id).or_insert_with(|| TrackedTarget {
            serial: 0,
            heartbeats: 0,
            last_heartbeat: now,
            interval,
            lease_end,
            cold_until: Moment::ZERO,
            held: BTreeSet::new(),
            active: BTreeSet::new(),
            excluded: BTreeSet::new(),
        })
    }

    /// Takes the serial number and the state in; false if the heartbeat is late.
    fn record_heartbeat(&mut self, now: Moment, id: TargetId, heartbeat: &Heartbeat) -> bool {
        let expected = self.config.heartbeat;
        let tracked = self.get_or_track(now, id);
        if tracked.heartbeats > 0 && heartbeat.serial <= tracked.serial {
            return false;
        }
        let interval = now.since(tracked.last_heartbeat);
        // Extra heartbeats while keys are released say nothing of the usual pause.
        if tracked.heartbeats > 0 && interval > expected / 2 && interval < expected * 2 {
            tracked.interval = (tracked.interval * (8 - LATEST_INTERVAL_EIGHTHS)
                + interval * LATEST_INTERVAL_EIGHTHS)
                / 8;
        }
        tracked.serial = heartbeat.serial;
        tracked.heartbeats += 1;
        tracked.last_heartbeat = now;
        tracked.cold_until = now + heartbeat.cold_left;
        tracked.held = heartbeat.holds.iter().map(|held| held.fence).collect();
        tracked.active.extend(tracked.held.iter().copied());
        true
    }

    /// Grants of the spans that the target was asked for and holds no more.
    fn grants_after_release(
        &self,
        catalog: &Catalog,
        id: TargetId,
        heartbeat: &Heartbeat,
    ) -> Vec<Update> {
        let Some(tracked) = self.tracked.get(&id) else {
            return Vec::new();
        };
        if tracked.heartbeats < MIN_HEARTBEATS_FOR_RELEASE {
            return Vec::new();
        }
        let released = rows_moving_from(catalog, id)
            .filter(|row| {
                !heartbeat
                    .holds
                    .iter()
                    .any(|held| held.span.overlaps(&row.span))
            })
            .filter(|row| tracked.excluded.contains(&row.fence));
        let grants: Vec<SpanGrant> = released
            .filter_map(|row| {
                let covers =
                    |released: &&super::heartbeat::ReleasedSpan| released.span.covers(&row.span);
                let proof = heartbeat.released.iter().find(covers);
                let proof = proof.map_or("", |released| released.handover.as_str());
                Some(grant_to(row, row.next?, proof))
            })
            .collect();
        if grants.is_empty() {
            return Vec::new();
        }
        vec![Update::Assign {
            service: heartbeat.service.clone(),
            grants,
        }]
    }
}

/// A row for an answer. The proof of its handover is left out once the target holds it, which leaves
/// room for more rows.
fn granted_span(row: &ShardRow, held: bool) -> GrantedSpan {
    let handover = if held { "" } else { row.handover.as_str() };
    GrantedSpan {
        span: row.span,
        fence: row.fence,
        handover: handover.to_owned(),
    }
}

fn grant_to(row: &ShardRow, owner: TargetId, handover: &str) -> SpanGrant {
    SpanGrant {
        span: row.span,
        former: row.owner,
        owner,
        handover: handover.to_owned(),
    }
}

/// Rows that a target owns and is asked for.
fn rows_moving_from(catalog: &Catalog, id: TargetId) -> impl Iterator<Item = &ShardRow> {
    let record = catalog.targets.get(&id);
    let table = record.and_then(|t| catalog.shards.get(&t.service));
    let rows = table.map_or(&[][..], |table| table.rows());
    rows.iter()
        .filter(move |row| row.owner == Some(id) && row.next.is_some())
}
