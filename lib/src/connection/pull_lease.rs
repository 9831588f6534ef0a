//! Leases that targets pull: the leader's memory of who may hold what until when.
//!
//! Rows of the catalog say who may get a lease; [`PullLeases`] says who may still have one. A span
//! changes its owner in this order: the move is committed, the next answer to the owner leaves the
//! span out, a later heartbeat of the owner shows that it holds the span no more (or its lease is
//! over), the grant to the next owner is committed under a higher fence, and the answer to the next
//! owner's heartbeat carries it.
//!
//! A new leader knows nothing of the leases that the former one gave, so it takes each target to
//! hold one that begins with its own term.

use super::heartbeat::{Granted, Heartbeat, Lease};
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
const SLOW_CLOCK: u32 = 20;
/// Heartbeats of one life that a new leader sees before it believes that a span was let go: the
/// first may be a late one.
const SURE_BEATS: u32 = 2;
/// Weight of the latest pause in the mean pause between heartbeats, in 8.
const PAUSE_WEIGHT: u32 = 2;

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
    fn longest(&self) -> Duration {
        self.length + self.length * SLOW_CLOCK / 1_000
    }
}

/// What the leader knows of one life of a target.
#[derive(Debug, Clone)]
struct Tracked {
    serial: u64,
    beats: u32,
    last: Moment,
    pause: Duration,
    ends: Moment,
    cold: Moment,
    held: BTreeSet<Fence>,
    active: BTreeSet<Fence>,
    excluded: BTreeSet<Fence>,
}

/// What a heartbeat brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// A life that the catalog does not hold: propose that it joins.
    New,
    /// A late heartbeat, or one of a life that is over. It renews nothing.
    Late,
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
pub struct PullLeases {
    config: LeaseConfig,
    since: Moment,
    tracked: BTreeMap<TargetId, Tracked>,
    /// Until when the targets are cold that were heard before they had a number.
    newcomers: BTreeMap<(Target, Incarnation), Moment>,
}

impl PullLeases {
    /// Memory of a leader whose term begins now.
    pub fn new(config: LeaseConfig, now: Moment) -> Self {
        PullLeases {
            config,
            since: now,
            tracked: BTreeMap::new(),
            newcomers: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat in.
    pub fn heartbeat(&mut self, now: Moment, catalog: &Catalog, beat: &Heartbeat) -> Heard {
        let known = catalog.find(&beat.name);
        let Some((id, record)) = known.filter(|(_, t)| t.incarnation >= beat.life) else {
            let newer = catalog
                .targets
                .values()
                .any(|t| t.address == beat.address && t.incarnation >= beat.life);
            if newer {
                return Heard::Late;
            }
            let life = (beat.name.clone(), beat.life);
            self.newcomers.insert(life, now + beat.cold);
            return Heard::New;
        };
        if record.incarnation > beat.life || !self.take(now, id, beat) {
            return Heard::Late;
        }
        let mut updates = self.handed_over(catalog, id, beat);
        if beat.leaving && !record.leaving {
            updates.push(Update::Leave(id));
        }
        Heard::Known { id, updates }
    }

    /// Takes note of a target whose heartbeat is being answered. The one by which it joined was heard
    /// before it had a number.
    pub fn note(&mut self, now: Moment, id: TargetId, record: &TargetRecord) {
        let life = (record.name.clone(), record.incarnation);
        let cold = self.newcomers.remove(&life);
        let tracked = self.entry(now, id);
        tracked.cold = tracked.cold.max(cold.unwrap_or(Moment::ZERO));
    }

    /// Lease of a target as of now, to be sent in the answer to its heartbeat.
    pub fn grant(&mut self, now: Moment, catalog: &Catalog, id: TargetId) -> Lease {
        let rows = catalog.retained_rows(id);
        let leaving = moving_from(catalog, id).map(|row| row.fence);
        let excluded: BTreeSet<Fence> = leaving.collect();
        let longest = self.config.longest();
        let tracked = self.entry(now, id);
        let held = &tracked.held;
        let grants: Vec<Granted> = rows
            .iter()
            .map(|row| granted(row, held.contains(&row.fence)))
            .collect();
        tracked.active = grants.iter().map(|grant| grant.fence).collect();
        tracked.excluded = excluded;
        if !grants.is_empty() {
            tracked.ends = tracked.ends.max(now + longest);
        }
        Lease {
            grants,
            length: self.config.length,
        }
    }

    /// Whether the target may still hold keys.
    pub fn may_hold(&self, now: Moment, id: TargetId) -> bool {
        now < self.ends(id)
    }

    /// Whether the target sent a heartbeat within the length of a lease.
    pub fn is_heard(&self, now: Moment, id: TargetId) -> bool {
        let last = self.tracked.get(&id).map_or(self.since, |t| t.last);
        now.since(last) < self.config.length
    }

    /// How long the target has been silent.
    pub fn silence(&self, now: Moment, id: TargetId) -> Duration {
        now.since(self.tracked.get(&id).map_or(self.since, |t| t.last))
    }

    /// How much longer the target is cold.
    pub fn cold(&self, now: Moment, id: TargetId) -> Duration {
        let cold = self.tracked.get(&id).map_or(Moment::ZERO, |t| t.cold);
        cold.since(now)
    }

    /// When the next heartbeat of the target is due.
    pub fn next_beat(&self, now: Moment, id: TargetId) -> Moment {
        match self.tracked.get(&id) {
            Some(tracked) => (tracked.last + tracked.pause).max(now),
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
            return now < self.ends(owner);
        };
        let held = tracked.active.contains(&row.fence) && now < tracked.ends;
        held && (row.next.is_none() || !tracked.excluded.contains(&row.fence))
    }

    /// Forgets the lives that the catalog holds no more.
    pub fn retain(&mut self, catalog: &Catalog) {
        let targets = &catalog.targets;
        self.tracked.retain(|id, _| targets.contains_key(id));
        let usual = self.config.length;
        let now = self.latest();
        self.newcomers.retain(|_, cold| now.since(*cold) < usual);
    }

    /// Grants that are due since the lease of the present owner is over, for moves under way.
    pub fn lapsed_moves(&self, now: Moment, catalog: &Catalog) -> Vec<(Service, SpanGrant)> {
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
    fn latest(&self) -> Moment {
        let heard = self.tracked.values().map(|tracked| tracked.last);
        heard.max().unwrap_or(self.since)
    }

    /// End of the last lease that the target may have.
    fn ends(&self, id: TargetId) -> Moment {
        match self.tracked.get(&id) {
            Some(tracked) => tracked.ends,
            None => self.since + self.config.longest(),
        }
    }

    fn entry(&mut self, now: Moment, id: TargetId) -> &mut Tracked {
        let ends = self.since + self.config.longest();
        let pause = self.config.heartbeat;
        self.tracked.entry(id).or_insert_with(|| Tracked {
            serial: 0,
            beats: 0,
            last: now,
            pause,
            ends,
            cold: Moment::ZERO,
            held: BTreeSet::new(),
            active: BTreeSet::new(),
            excluded: BTreeSet::new(),
        })
    }

    /// Takes the serial number and the state in; false if the heartbeat is late.
    fn take(&mut self, now: Moment, id: TargetId, beat: &Heartbeat) -> bool {
        let usual = self.config.heartbeat;
        let tracked = self.entry(now, id);
        if tracked.beats > 0 && beat.serial <= tracked.serial {
            return false;
        }
        let pause = now.since(tracked.last);
        // Extra heartbeats while keys are released say nothing of the usual pause.
        if tracked.beats > 0 && pause > usual / 2 && pause < usual * 2 {
            tracked.pause = (tracked.pause * (8 - PAUSE_WEIGHT) + pause * PAUSE_WEIGHT) / 8;
        }
        tracked.serial = beat.serial;
        tracked.beats += 1;
        tracked.last = now;
        tracked.cold = now + beat.cold;
        tracked.held = beat.holds.iter().map(|held| held.fence).collect();
        tracked.active.extend(tracked.held.iter().copied());
        true
    }

    /// Grants of the spans that the target was asked for and holds no more.
    fn handed_over(&self, catalog: &Catalog, id: TargetId, beat: &Heartbeat) -> Vec<Update> {
        let Some(tracked) = self.tracked.get(&id) else {
            return Vec::new();
        };
        if tracked.beats < SURE_BEATS {
            return Vec::new();
        }
        let free = moving_from(catalog, id)
            .filter(|row| !beat.holds.iter().any(|held| held.span.overlaps(&row.span)))
            .filter(|row| tracked.excluded.contains(&row.fence));
        let grants: Vec<SpanGrant> = free
            .filter_map(|row| {
                let covers =
                    |released: &&super::heartbeat::Released| released.span.covers(&row.span);
                let proof = beat.released.iter().find(covers);
                let proof = proof.map_or("", |released| released.handover.as_str());
                Some(grant_to(row, row.next?, proof))
            })
            .collect();
        if grants.is_empty() {
            return Vec::new();
        }
        vec![Update::Assign {
            service: beat.service.clone(),
            grants,
        }]
    }
}

/// A row for an answer. The proof of its handover is left out once the target holds it, which leaves
/// room for more rows.
fn granted(row: &ShardRow, held: bool) -> Granted {
    let handover = if held { "" } else { row.handover.as_str() };
    Granted {
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
fn moving_from(catalog: &Catalog, id: TargetId) -> impl Iterator<Item = &ShardRow> {
    let record = catalog.targets.get(&id);
    let table = record.and_then(|t| catalog.shards.get(&t.service));
    let rows = table.map_or(&[][..], |table| table.rows());
    rows.iter()
        .filter(move |row| row.owner == Some(id) && row.next.is_some())
}
