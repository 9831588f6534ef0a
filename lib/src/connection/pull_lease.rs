//! Leases that targets of a seeded fleet renew by heartbeat, as the leader tracks them.
//!
//! The catalog says which target may get a lease on which keys. [`TargetLeases`] records from
//! heartbeats and answers which target may still hold one, and until when. A key span changes its
//! owner in these steps:
//!
//! 1. The move is committed.
//! 2. The next answer to the owner leaves the span out.
//! 3. A later heartbeat of the owner shows that the span is released, or the lease of the owner expires.
//! 4. The grant to the next owner is committed under a higher fence.
//! 5. The answer to the next heartbeat of the new owner carries the grant.
//!
//! A new leader does not know the leases that the former leader granted, so it assumes that each
//! target holds a lease that started with its own term.
//!
//! A heartbeat may arrive seconds late. One that does not list a span shows that its target held none of
//! it when it was sent; the target may have got it since, by the answer to a later heartbeat. This leader
//! takes heartbeats in the order of their serial numbers, and leaves a span that moves out of its answers, so
//! it can only be an answer of a former leader. A release is believed where that is excluded:
//!
//! - the target joined in this leader's term, or
//! - the target has listed a grant that was made in this term, so it has taken an answer of this leader, and
//!   former leaders answered only before, or
//! - all leases of former leaders have ended.
//!
//! Until then a target that can go on serving keeps the keys that are to move, since nobody else would get
//! them sooner.

use super::{
    departures::Departures,
    heartbeat::{GrantedSpan, Heartbeat, Lease},
    rivals::Rivals,
};
use crate::{
    moment::Moment,
    name::{Fence, Incarnation, Service, Target},
    version::catalog::{Catalog, ShardRow, SpanGrant, TargetId, TargetRecord, Update},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Largest lag of a target's clock behind the leader's, in thousandths of the elapsed time.
const MAX_CLOCK_LAG_PER_MILLE: u32 = 20;
/// Rows that the answer to a heartbeat has room for: it takes at most 4 KiB, and a row up to 28 bytes
/// besides its handover proof.
pub const MAX_LEASE_ROWS: usize = 120;
/// Bytes of the handover proofs in one answer.
const MAX_HANDOVER_BYTES: usize = 512;
/// Largest step between the serial numbers of two heartbeats, beside one for each 10 ms between them.
/// A larger one counts once the next heartbeat goes on from it.
const MAX_SERIAL_STEP: u64 = 1_000;
/// Time for which a departure is remembered, in which a delayed heartbeat may still arrive.
pub const DEPARTURE_AGE: Duration = Duration::from_secs(60);
/// Weight of the latest interval in the mean interval between heartbeats, in eighths.
const LATEST_INTERVAL_EIGHTHS: u32 = 2;

/// Settings of the leases that targets renew by heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfig {
    /// Duration of a lease by the target's clock.
    pub length: Duration,
    /// Expected interval between heartbeats of a target.
    pub heartbeat: Duration,
}

impl LeaseConfig {
    /// Longest duration of a lease by the leader's clock.
    fn max_duration(&self) -> Duration {
        self.length + self.length * MAX_CLOCK_LAG_PER_MILLE / 1_000
    }
}

/// What the leader knows about one incarnation of a target.
#[derive(Debug, Clone)]
struct TrackedTarget {
    /// Serial number of the latest heartbeat.
    serial: u64,
    /// Serial number of the latest heartbeat that was not taken, as the step to it was too large.
    leap: Option<u64>,
    /// Serial number of the latest heartbeat that was not taken, as it was not above the last.
    behind: Option<u64>,
    /// Number of heartbeats received.
    heartbeats: u32,
    last_heartbeat: Moment,
    /// Moving average of the intervals between heartbeats.
    interval: Duration,
    /// Latest end of any lease that the target may hold.
    lease_end: Moment,
    cold_until: Moment,
    /// Grants that the target held at its latest heartbeat.
    held: BTreeSet<Fence>,
    /// Grants in the latest answer, and those that the target listed in a heartbeat since then.
    active: BTreeSet<Fence>,
    /// Grants that the latest answer left out because their keys are moving to another target.
    excluded: BTreeSet<Fence>,
    /// Whether it has listed a grant that was made in this term.
    own_grant: bool,
}

/// What former leaders may have granted.
#[derive(Debug, Clone, Copy)]
struct FormerTerms {
    /// Latest end of their leases.
    end: Moment,
    last_target: TargetId,
    last_fence: Fence,
}

/// What the heartbeat said by which a target joins.
#[derive(Debug, Clone, Copy)]
struct Joining {
    cold_until: Moment,
    serial: u64,
}

/// What the leader has to do about a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The catalog does not have this incarnation of the target: propose that it joins.
    New,
    /// The heartbeat is older than the latest one, or its incarnation has a successor under its
    /// name or at its address. It renews nothing.
    Stale,
    /// The incarnation may join once the present one under its name or at its address is silent.
    Waiting {
        /// Whether this is its first heartbeat.
        is_first: bool,
        /// Updates to commit before the answer, if it says that it leaves.
        updates: Vec<Update>,
    },
    /// The heartbeat does not fit to the earlier ones of the same incarnation. It renews nothing.
    Odd(OddHeartbeat),
    /// The catalog has this incarnation: answer once the updates are committed.
    Known {
        /// Number of the target in the catalog.
        id: TargetId,
        /// Updates to propose and commit before the answer; often none.
        updates: Vec<Update>,
    },
}

/// How a heartbeat does not fit to the earlier ones of its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OddHeartbeat {
    /// It names another address or service.
    Moved,
    /// Its serial number is far above the latest one.
    Leap,
}

/// How the serial number of a heartbeat fits to the earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SerialOrder {
    Next,
    /// The target counts anew, or a number of another writer had been taken for its own.
    Anew,
    Stale,
    Leap,
}

impl TrackedTarget {
    /// Decides whether the next heartbeat may have this serial number. A number that is never
    /// reached again would make all others stale.
    fn serial_order(&mut self, now: Moment, serial: u64, length: Duration) -> SerialOrder {
        if self.heartbeats == 0 && self.serial == 0 {
            return SerialOrder::Next;
        }
        let elapsed = now.since(self.last_heartbeat);
        let step = MAX_SERIAL_STEP + elapsed.as_millis() as u64 / 10;
        if serial <= self.serial {
            let former = self.behind.replace(serial);
            // Without a lease nothing that the heartbeat says can be outdated.
            let has_lapsed = elapsed >= length && now >= self.lease_end;
            // Only the first heartbeat is taken with any number. Late ones are not that far behind.
            let was_odd = self.heartbeats <= 1 && self.serial - serial > step;
            let goes_on = former.is_some_and(|former| serial > former);
            return match (has_lapsed || was_odd) && goes_on {
                true => SerialOrder::Anew,
                false => SerialOrder::Stale,
            };
        }
        if serial - self.serial <= step {
            return SerialOrder::Next;
        }
        let former = self.leap.replace(serial);
        let goes_on = former.is_some_and(|former| serial > former && serial - former <= step);
        match goes_on {
            true => SerialOrder::Next,
            false => SerialOrder::Leap,
        }
    }
}

/// Leases that this leader granted or that former leaders may have granted.
#[derive(Debug)]
pub struct TargetLeases {
    config: LeaseConfig,
    term_start: Moment,
    former: FormerTerms,
    tracked: BTreeMap<TargetId, TrackedTarget>,
    /// Targets that the catalog has given no number yet.
    joining: BTreeMap<(Target, Incarnation), Joining>,
    rivals: Rivals,
    departures: Departures,
}

impl TargetLeases {
    /// Creates the records of a leader whose term starts at `now`, with all that was committed before in
    /// the catalog.
    pub fn new(config: LeaseConfig, now: Moment, catalog: &Catalog) -> Self {
        let former = FormerTerms {
            end: now + config.max_duration(),
            last_target: catalog.last_target(),
            last_fence: catalog.last_fence(),
        };
        TargetLeases {
            config,
            term_start: now,
            former,
            tracked: BTreeMap::new(),
            joining: BTreeMap::new(),
            rivals: Rivals::new(config),
            departures: Departures::restore(now, catalog),
        }
    }

    /// Records a heartbeat and returns what it requires.
    pub fn on_heartbeat(
        &mut self,
        now: Moment,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let known = catalog.find(&heartbeat.name);
        let Some((id, record)) = known.filter(|(_, t)| t.incarnation == heartbeat.incarnation)
        else {
            return self.on_other_incarnation(now, catalog, heartbeat);
        };
        if record.address != heartbeat.address || record.service != heartbeat.service {
            self.rivals.record(now, heartbeat);
            return HeartbeatOutcome::Odd(OddHeartbeat::Moved);
        }
        match self.record_heartbeat(now, id, heartbeat) {
            SerialOrder::Next | SerialOrder::Anew => {}
            SerialOrder::Stale => return HeartbeatOutcome::Stale,
            SerialOrder::Leap => return HeartbeatOutcome::Odd(OddHeartbeat::Leap),
        }
        let mut updates = self.grants_after_release(now, catalog, id, heartbeat);
        let has_left = heartbeat.leaving || self.has_left(record);
        if has_left && !record.leaving {
            updates.push(Update::Leave(id));
        }
        HeartbeatOutcome::Known { id, updates }
    }

    /// Decides whether an incarnation that the catalog does not have may join.
    fn on_other_incarnation(
        &mut self,
        now: Moment,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let present: Vec<(TargetId, Incarnation)> = catalog
            .targets
            .iter()
            .filter(|(_, t)| t.name == heartbeat.name || t.address == heartbeat.address)
            .map(|(id, t)| (*id, t.incarnation))
            .collect();
        let mut is_first = false;
        if !present.is_empty() {
            is_first = self.rivals.record(now, heartbeat);
        }
        if present
            .iter()
            .any(|(_, life)| *life >= heartbeat.incarnation)
        {
            return HeartbeatOutcome::Stale;
        }
        let mut heard = present.iter().map(|(id, _)| self.last_heard(*id));
        let is_vacant = heard.all(|heard| self.rivals.is_silent(now, heard));
        if !is_vacant && !self.rivals.is_steady(heartbeat) {
            self.share_cold(now, catalog, heartbeat);
            let updates = match heartbeat.leaving {
                true => self.on_leave(now, catalog, &heartbeat.name, Some(heartbeat.incarnation)),
                false => Vec::new(),
            };
            return HeartbeatOutcome::Waiting { is_first, updates };
        }
        let key = (heartbeat.name.clone(), heartbeat.incarnation);
        let joining = Joining {
            cold_until: now + heartbeat.cold_left,
            serial: heartbeat.serial,
        };
        self.joining.insert(key, joining);
        HeartbeatOutcome::New
    }

    /// Takes the target for cold while its next incarnation at the same address waits to join, since
    /// that one gets what is sent there. A heartbeat of the target itself says otherwise.
    fn share_cold(&mut self, now: Moment, catalog: &Catalog, heartbeat: &Heartbeat) {
        let present = catalog.find(&heartbeat.name);
        let present = present.filter(|(_, t)| t.address == heartbeat.address);
        if let Some(tracked) = present.and_then(|(id, _)| self.tracked.get_mut(&id)) {
            tracked.cold_until = tracked.cold_until.max(now + heartbeat.cold_left);
        }
    }

    /// Records that an incarnation of a target leaves, or the present one if none is named. Returns
    /// the updates to commit before that is acknowledged.
    ///
    /// The record of an earlier incarnation is marked: a later one that leaves is reached at its
    /// address as long as the catalog has the former one. The departure of one that the catalog does not
    /// have is committed too.
    pub fn on_leave(
        &mut self,
        now: Moment,
        catalog: &Catalog,
        name: &Target,
        incarnation: Option<Incarnation>,
    ) -> Vec<Update> {
        let present = catalog.find(name);
        let mut updates: Vec<Update> = present
            .filter(|(_, t)| incarnation.is_none_or(|leaving| t.incarnation <= leaving))
            .filter(|(_, t)| !t.leaving)
            .map(|(id, _)| Update::Leave(id))
            .into_iter()
            .collect();
        if let Some(incarnation) = incarnation {
            self.departures.record(now, name, incarnation);
            let is_later = present.is_none_or(|(_, t)| t.incarnation < incarnation);
            if is_later && !catalog.has_departed(name, incarnation) {
                updates.push(Update::Depart(name.clone(), incarnation));
            }
        }
        updates
    }

    /// Whether the incarnation of a record has left.
    fn has_left(&self, record: &TargetRecord) -> bool {
        self.departures.has_left(&record.name, record.incarnation)
    }

    /// Record of an incarnation that joins by this heartbeat. One that has left joins as such.
    pub fn joining_record(&self, heartbeat: &Heartbeat) -> TargetRecord {
        let record = heartbeat.record();
        TargetRecord {
            leaving: record.leaving || self.has_left(&record),
            ..record
        }
    }

    /// Update that is due for a target that left while it joined.
    pub fn overdue_leave(&self, id: TargetId, record: &TargetRecord) -> Option<Update> {
        (self.has_left(record) && !record.leaving).then_some(Update::Leave(id))
    }

    /// Update by which the catalog forgets departures that are remembered no more.
    pub fn forget_departures(&self, catalog: &Catalog) -> Option<Update> {
        let forgotten = self.departures.forgotten(catalog);
        (!forgotten.is_empty()).then_some(Update::Forget(forgotten))
    }

    /// Whether another incarnation under the name or at the address of a target is the one alive.
    pub fn is_outlived(&self, now: Moment, id: TargetId, record: &TargetRecord) -> bool {
        let silence = self.time_since_heartbeat(now, id);
        self.rivals.outlives(now, record, silence)
    }

    /// Tracks a target whose heartbeat is about to be answered. The heartbeat by which a target
    /// joins arrives before the target has a number, so what it said is adopted here.
    pub fn begin_tracking(&mut self, now: Moment, id: TargetId, record: &TargetRecord) {
        let key = (record.name.clone(), record.incarnation);
        let joining = self.joining.remove(&key);
        let tracked = self.get_or_track(now, id);
        if let Some(joining) = joining {
            tracked.cold_until = tracked.cold_until.max(joining.cold_until);
            tracked.serial = tracked.serial.max(joining.serial);
        }
    }

    /// Grants the lease for the answer to a heartbeat of the target, and records it. Keys beyond
    /// [`MAX_LEASE_ROWS`] are left out, those that the target does not hold yet first.
    pub fn grant(&mut self, now: Moment, catalog: &Catalog, id: TargetId) -> Lease {
        let record = catalog.targets.get(&id);
        let can_serve = record.is_some_and(|record| catalog.accepts_work(record));
        let keeps_all = can_serve && !self.may_release(now, id);
        let (mut rows, moving): (Vec<&ShardRow>, Vec<&ShardRow>) = catalog
            .owned_rows(id)
            .partition(|row| row.next.is_none() || keeps_all);
        let excluded = moving.iter().map(|row| row.fence).collect();
        let max_duration = self.config.max_duration();
        let tracked = self.get_or_track(now, id);
        let held = &tracked.held;
        rows.sort_by_key(|row| !held.contains(&row.fence));
        rows.truncate(MAX_LEASE_ROWS);
        let mut handover_bytes = MAX_HANDOVER_BYTES;
        let grants: Vec<GrantedSpan> = rows
            .iter()
            .map(|row| granted_span(row, held.contains(&row.fence), &mut handover_bytes))
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

    /// Whether the target can show by a heartbeat that it holds a span no more.
    fn may_release(&self, now: Moment, id: TargetId) -> bool {
        let tracked = self.tracked.get(&id);
        id > self.former.last_target
            || now >= self.former.end
            || tracked.is_some_and(|tracked| tracked.own_grant)
    }

    /// Whether the target may still hold a lease.
    pub fn may_hold(&self, now: Moment, id: TargetId) -> bool {
        now < self.lease_end(id)
    }

    /// Whether a heartbeat of the target arrived within the last lease duration.
    pub fn is_responsive(&self, now: Moment, id: TargetId) -> bool {
        now.since(self.last_heard(id)) < self.config.length
    }

    /// Time since the target's latest heartbeat, or since the term started if none arrived.
    pub fn time_since_heartbeat(&self, now: Moment, id: TargetId) -> Duration {
        now.since(self.last_heard(id))
    }

    /// When the latest heartbeat of the target arrived, or when the term started if none did.
    fn last_heard(&self, id: TargetId) -> Moment {
        self.last_heartbeat(id).unwrap_or(self.term_start)
    }

    /// When the latest heartbeat of the target arrived; `None` if this leader has received none.
    pub fn last_heartbeat(&self, id: TargetId) -> Option<Moment> {
        self.tracked.get(&id).map(|tracked| tracked.last_heartbeat)
    }

    /// Time until the target is warm.
    pub fn cold_left(&self, now: Moment, id: TargetId) -> Duration {
        let cold_until = self.tracked.get(&id).map_or(Moment::ZERO, |t| t.cold_until);
        cold_until.since(now)
    }

    /// When the next heartbeat of the target is expected.
    pub fn next_heartbeat(&self, now: Moment, id: TargetId) -> Moment {
        match self.tracked.get(&id) {
            Some(tracked) => (tracked.last_heartbeat + tracked.interval).max(now),
            None => now + self.config.heartbeat,
        }
    }

    /// Whether the owner of the row holds a lease on it, as far as this leader knows. An owner
    /// whose heartbeat this leader has not received yet is assumed to continue under its former
    /// lease.
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

    /// Drops the records of targets that the catalog no longer has, and old ones of joining targets.
    pub fn retain(&mut self, catalog: &Catalog) {
        let targets = &catalog.targets;
        self.tracked.retain(|id, _| targets.contains_key(id));
        let max_age = self.config.length;
        let now = self.latest_heartbeat();
        self.joining
            .retain(|_, joining| now.since(joining.cold_until) < max_age);
        self.rivals.drop_silent(now);
        self.departures.drop_old(now, DEPARTURE_AGE);
    }

    /// Grants for moves in progress whose current owner holds no lease any more, by service.
    pub fn moves_after_expiry(
        &self,
        now: Moment,
        catalog: &Catalog,
    ) -> BTreeMap<Service, Vec<SpanGrant>> {
        let mut due: BTreeMap<Service, Vec<SpanGrant>> = BTreeMap::new();
        for (service, table) in &catalog.shards {
            for row in table.rows() {
                if let (Some(owner), Some(next)) = (row.owner, row.next)
                    && !self.may_hold(now, owner)
                {
                    let grants = due.entry(service.clone()).or_default();
                    grants.push(grant_to(row, next, ""));
                }
            }
        }
        due
    }

    /// Time of the latest heartbeat of any target.
    fn latest_heartbeat(&self) -> Moment {
        let times = self.tracked.values().map(|tracked| tracked.last_heartbeat);
        times.max().unwrap_or(self.term_start)
    }

    /// Latest end of any lease that the target may hold.
    fn lease_end(&self, id: TargetId) -> Moment {
        match self.tracked.get(&id) {
            Some(tracked) => tracked.lease_end,
            None => self.former.end,
        }
    }

    /// Record of a target. One that is not tracked yet may hold a lease of the former leader.
    fn get_or_track(&mut self, now: Moment, id: TargetId) -> &mut TrackedTarget {
        let lease_end = self.former.end;
        let interval = self.config.heartbeat;
        self.tracked.entry(id).or_insert_with(|| TrackedTarget {
            serial: 0,
            leap: None,
            behind: None,
            heartbeats: 0,
            last_heartbeat: now,
            interval,
            lease_end,
            cold_until: Moment::ZERO,
            held: BTreeSet::new(),
            active: BTreeSet::new(),
            excluded: BTreeSet::new(),
            own_grant: false,
        })
    }

    /// Records the contents of a heartbeat, unless it does not follow the latest one.
    fn record_heartbeat(
        &mut self,
        now: Moment,
        id: TargetId,
        heartbeat: &Heartbeat,
    ) -> SerialOrder {
        let LeaseConfig {
            length,
            heartbeat: expected,
        } = self.config;
        let last_fence = self.former.last_fence;
        let tracked = self.get_or_track(now, id);
        let order = tracked.serial_order(now, heartbeat.serial, length);
        match order {
            SerialOrder::Next => {}
            SerialOrder::Anew => {
                tracked.heartbeats = 0;
                tracked.own_grant = false;
            }
            SerialOrder::Stale | SerialOrder::Leap => return order,
        }
        tracked.leap = None;
        tracked.behind = None;
        let interval = now.since(tracked.last_heartbeat);
        // Targets send extra heartbeats while they release keys; those must not shorten the mean.
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
        tracked.own_grant |= tracked.held.iter().any(|fence| *fence > last_fence);
        order
    }

    /// Grants to the next owners of the spans that the target was told to release and no longer
    /// holds.
    fn grants_after_release(
        &self,
        now: Moment,
        catalog: &Catalog,
        id: TargetId,
        heartbeat: &Heartbeat,
    ) -> Vec<Update> {
        let Some(tracked) = self.tracked.get(&id) else {
            return Vec::new();
        };
        if !self.may_release(now, id) {
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
                let covers = |r: &&super::heartbeat::ReleasedSpan| r.span.covers(&row.span);
                let proof = heartbeat.released.iter().find(covers);
                let proof = proof.map_or("", |r| r.handover.as_str());
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

/// Converts a row for an answer. The handover proof is left out once the target holds the span, and
/// if it exceeds the bytes left for proofs, so that all rows fit into an answer.
fn granted_span(row: &ShardRow, held: bool, bytes_left: &mut usize) -> GrantedSpan {
    let is_sent = !held && row.handover.len() <= *bytes_left;
    let handover = if is_sent { row.handover.as_str() } else { "" };
    *bytes_left -= handover.len();
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

/// Rows that a target owns and that are moving to another target.
fn rows_moving_from(catalog: &Catalog, id: TargetId) -> impl Iterator<Item = &ShardRow> {
    catalog.owned_rows(id).filter(|row| row.next.is_some())
}
