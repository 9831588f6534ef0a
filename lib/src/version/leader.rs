//! State that only the leader of a seeded fleet keeps, and the decisions it makes from it: leases,
//! measured loads, updates to propose and the periodic status for entries.
//!
//! Nothing here is replicated. A new leader starts from the catalog and waits for the length of a
//! lease before it takes keys from a target whose heartbeat it has not received.
//!
//! Load pattern: hundreds of targets that join over seconds at the first start of a fleet. Keys that are
//! dealt to the first of them leave the others idle until moves reach them.

use super::{
    catalog::{Catalog, ShardRow, TargetId, TargetRecord, Update},
    command::Fingerprint,
    feed::{LeaderStatus, PendingSpan, TrafficReport, to_millis},
    permits::{LimitReport, PermitReply, PermitRequest, Permits, RateLimit},
    sharding::{self, Candidate, Candidates, KeyLoad, MIN_RELIABLE_RATE, TargetLoads},
    status_pace::StatusPace,
    suspect_records::WallTime,
    suspects::{Quarantined, SuspectReport, Suspects, TargetLife},
};
use crate::{
    connection::{
        heartbeat::{Heartbeat, Lease},
        pull_lease::{DEPARTURE_AGE, HeartbeatOutcome, LeaseConfig, TargetLeases},
    },
    moment::Moment,
    name::{Incarnation, Service, Target},
    request::balance::LoadReport,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Shortest and longest time for the first targets of a service to join before its keys are assigned for
/// the first time. Targets that join later get keys only by moves.
const INITIAL_JOIN_WINDOW: Duration = Duration::from_millis(1_500);
const MAX_JOIN_WINDOW: Duration = Duration::from_millis(4_000);
/// Time without a further target after which the window ends; several intervals between the joins of
/// a large service.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which a target is removed from the catalog.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without a heartbeat after which a target that asked to leave is removed. Until then a delayed
/// heartbeat is known to be of a target that has left.
const LEAVING_REMOVAL_TIMEOUT: Duration = DEPARTURE_AGE;
/// Shortest interval between two status messages that carry the loads of targets.
const LOADS_INTERVAL: Duration = Duration::from_millis(450);
/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Expected wait for keys whose next owner is unknown or unresponsive.
const DEFAULT_PENDING_WAIT: Duration = Duration::from_millis(1_000);
/// Time from the reply to a heartbeat until the target can serve requests under the new lease.
const LEASE_REPLY_DELAY: Duration = Duration::from_millis(5);

/// Joins of the first targets of a service.
#[derive(Debug)]
struct FirstJoins {
    begun: Moment,
    latest: Moment,
    count: usize,
}

impl FirstJoins {
    fn new(now: Moment) -> Self {
        FirstJoins {
            begun: now,
            latest: now,
            count: 0,
        }
    }

    /// Whether no further target is expected soon, now that there are so many.
    fn are_over(&mut self, now: Moment, count: usize) -> bool {
        if count > self.count {
            self.count = count;
            self.latest = now;
        }
        let time = now.since(self.begun);
        let is_quiet = now.since(self.latest) >= JOIN_PAUSE;
        time >= INITIAL_JOIN_WINDOW && (is_quiet || time >= MAX_JOIN_WINDOW)
    }
}

/// An update that the leader wants committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedUpdate {
    /// Update to propose.
    pub update: Update,
    /// Service whose plan ends with this update. Its next plan waits until this update is applied
    /// or its proposal has failed.
    pub completes: Option<Service>,
}

/// Decides what the leader of a seeded fleet proposes and what it tells targets and entries.
#[derive(Debug)]
pub struct LeaderState {
    leases: TargetLeases,
    loads: BTreeMap<TargetId, (LoadReport, Moment)>,
    key_loads: BTreeMap<Service, KeyLoad>,
    target_loads: TargetLoads,
    /// How the first targets of each service join.
    first_joins: BTreeMap<Service, FirstJoins>,
    /// Services whose last plan is not applied yet, with the targets that lose keys by it.
    active_plans: BTreeMap<Service, BTreeSet<TargetId>>,
    /// Targets whose removal was proposed. Their keys are free once it is committed, which may happen at
    /// any time, so they get no leases even if they report again.
    removals: BTreeSet<TargetId>,
    last_plan: Moment,
    status_pace: StatusPace,
    loads_sent: Moment,
    permits: Permits,
    suspects: Suspects,
}

impl LeaderState {
    /// State of a leader whose term begins now, with all that was committed before in the catalog.
    pub fn new(config: LeaseConfig, now: Moment, catalog: &Catalog) -> Self {
        LeaderState {
            leases: TargetLeases::new(config, now, catalog),
            loads: BTreeMap::new(),
            key_loads: BTreeMap::new(),
            target_loads: TargetLoads::default(),
            first_joins: BTreeMap::new(),
            active_plans: BTreeMap::new(),
            removals: BTreeSet::new(),
            last_plan: now,
            status_pace: StatusPace::new(now),
            loads_sent: Moment::ZERO,
            permits: Permits::default(),
            suspects: Suspects::new(config.heartbeat, now),
        }
    }

    /// Records a heartbeat of a target and returns what it calls for.
    pub fn heartbeat(
        &mut self,
        now: Moment,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let outcome = self.leases.on_heartbeat(now, catalog, heartbeat);
        if let HeartbeatOutcome::Waiting { is_first: true, .. } = outcome {
            // Entries have to know that what they send there reaches a cold incarnation.
            self.hasten_status();
        }
        outcome
    }

    /// Records that a target leaves; returns the updates to commit before that is acknowledged.
    pub fn leave(
        &mut self,
        now: Moment,
        catalog: &Catalog,
        name: &Target,
        incarnation: Option<Incarnation>,
    ) -> Vec<Update> {
        self.leases.on_leave(now, catalog, name, incarnation)
    }

    /// Record of an incarnation that joins by this heartbeat.
    pub fn joining_record(&self, heartbeat: &Heartbeat) -> TargetRecord {
        self.leases.joining_record(heartbeat)
    }

    /// Update that is due for a target that left while it joined.
    pub fn overdue_leave(&self, catalog: &Catalog, id: TargetId) -> Option<Update> {
        let record = catalog.targets.get(&id)?;
        self.leases.overdue_leave(id, record)
    }

    /// Renews the lease of a target from now on. `None` renews nothing: the service of the target
    /// is not keyed, some keys of the target are being assigned to others, or it is being removed.
    pub fn renew_lease(&mut self, now: Moment, catalog: &Catalog, id: TargetId) -> Option<Lease> {
        let record = catalog.targets.get(&id)?;
        self.leases.begin_tracking(now, id, record);
        let spec = catalog.desired.service(record.service.as_str())?;
        if !spec.keyed || self.is_losing_keys(id) || self.removals.contains(&id) {
            return None;
        }
        let served_before = self.served_rows(now, catalog, id);
        let lease = self.leases.grant(now, catalog, id);
        // Most heartbeats renew what is served already, hundreds of them a second in a large fleet.
        if self.served_rows(now, catalog, id) != served_before {
            self.hasten_status();
        }
        Some(lease)
    }

    /// Number of rows that a target owns and serves.
    fn served_rows(&self, now: Moment, catalog: &Catalog, id: TargetId) -> usize {
        let service = catalog.targets.get(&id).map(|record| &record.service);
        let table = service.and_then(|service| catalog.shards.get(service));
        let rows = table.into_iter().flat_map(|table| table.rows());
        let served = |row: &&ShardRow| row.owner == Some(id) && self.leases.is_active(now, row);
        rows.filter(served).count()
    }

    /// Adds the traffic that an entry saw to the measured loads.
    pub fn record_traffic(&mut self, now: Moment, report: TrafficReport) {
        for traffic in report.buckets {
            let load = self.key_loads.entry(traffic.service).or_default();
            load.record_requests(traffic.bucket, traffic.requests);
        }
        for traffic in report.targets {
            self.target_loads.record(&traffic);
            if let Some((load, age)) = traffic.load {
                self.target_loads
                    .record_latency(traffic.id, load.latency_percent);
                let measured = now - Duration::from_millis(u64::from(age));
                let latest = self.loads.entry(traffic.id).or_insert((load, measured));
                if latest.1 <= measured {
                    *latest = (load, measured);
                }
            }
        }
    }

    /// Records what an entry reports of the limits of targets.
    pub fn record_limits(&mut self, now: Moment, catalog: &Catalog, reports: &[LimitReport]) {
        let known = |report: &&LimitReport| catalog.targets.contains_key(&report.id);
        for report in reports.iter().filter(known) {
            if self.permits.record(now, report) {
                self.hasten_status();
            }
        }
    }

    /// Limits of all targets that have named one.
    pub fn limits(&self) -> Vec<(TargetId, RateLimit)> {
        self.permits.limits()
    }

    /// Gives an entry a permit for one request to a target that has named a limit, or denies it.
    pub fn request_permit(&mut self, now: Moment, request: PermitRequest) -> PermitReply {
        self.permits.request(now, request)
    }

    /// Records what an entry reports of requests that may have ended targets. Returns whether it
    /// names requests to refuse that were not refused yet.
    pub fn record_suspects(&mut self, now: Moment, report: &SuspectReport) -> bool {
        self.suspects.record(now, report)
    }

    /// Returns the requests that are refused from now on, each with the targets that ended under it.
    pub fn judge_suspects(
        &mut self,
        now: Moment,
        catalog: &Catalog,
    ) -> Vec<(Fingerprint, BTreeSet<TargetId>)> {
        let leases = &self.leases;
        let life = |id| match (catalog.targets.contains_key(&id), leases.last_heartbeat(id)) {
            (false, _) => TargetLife::Ended,
            (true, None) => TargetLife::Unheard,
            (true, Some(heard)) => TargetLife::Heard(heard),
        };
        self.suspects.judge(now, life)
    }

    /// Requests that may have ended targets.
    pub fn suspects(&mut self) -> &mut Suspects {
        &mut self.suspects
    }

    /// Takes over what former leaders found of requests that end targets.
    pub fn restore_suspects(&mut self, now: Moment, wall: WallTime, catalog: &Catalog) {
        self.suspects.restore(now, wall, &catalog.suspects);
    }

    /// Update by which the catalog holds what this leader finds of requests that end targets.
    pub fn unrecorded(&self, now: Moment, wall: WallTime, catalog: &Catalog) -> Option<Update> {
        let update = self.suspects.unrecorded(now, wall, &catalog.suspects);
        update.map(Update::Suspects)
    }

    /// Requests that all entries refuse.
    pub fn quarantined(&self, now: Moment) -> Vec<Quarantined> {
        self.suspects.quarantine().list(now)
    }

    /// Makes the next status due soon, because the catalog or the keys that are served changed.
    pub fn hasten_status(&mut self) {
        self.status_pace.hasten();
    }

    /// Records the encoded size of the latest status and the number of entries that receive it.
    pub fn record_status_size(&mut self, bytes: usize, entries: usize) {
        self.status_pace.record_size(bytes, entries);
    }

    /// Marks the plan of a service as finished: its last update was applied or its proposal failed.
    pub fn finish_plan(&mut self, service: &Service) {
        self.active_plans.remove(service);
    }

    /// Returns the updates to propose now; none if the previous plan is too recent.
    pub fn plan(&mut self, now: Moment, catalog: &Catalog) -> Vec<PlannedUpdate> {
        let elapsed = now.since(self.last_plan);
        if elapsed < PLAN_INTERVAL {
            return Vec::new();
        }
        self.last_plan = now;
        self.leases.retain(catalog);
        self.key_loads
            .values_mut()
            .for_each(|load| load.decay(elapsed));
        self.target_loads.decay(elapsed);
        self.target_loads
            .retain(|id| catalog.targets.contains_key(&id));
        self.permits.retain(|id| catalog.targets.contains_key(&id));
        let mut planned: Vec<PlannedUpdate> = Vec::new();
        self.removals.extend(self.expired_targets(now, catalog));
        self.removals.retain(|id| catalog.targets.contains_key(id));
        let removals = self.removals.iter().copied().map(Update::Remove);
        planned.extend(removals.map(PlannedUpdate::single));
        planned.extend(self.plan_departures(catalog).map(PlannedUpdate::single));
        for (service, item) in &catalog.desired.services {
            if item.value.as_ref().is_some_and(|spec| spec.keyed) {
                let mut updates = self.plan_service(now, catalog, service);
                let last = updates.pop();
                planned.extend(updates.into_iter().map(PlannedUpdate::single));
                planned.extend(last.map(|update| PlannedUpdate {
                    update,
                    completes: Some(service.clone()),
                }));
            }
        }
        for (service, grants) in self.leases.moves_after_expiry(now, catalog) {
            planned.push(PlannedUpdate::single(Update::Assign { service, grants }));
        }
        planned
    }

    /// Updates for targets that left before they were in the catalog, and for departures to forget.
    fn plan_departures(&self, catalog: &Catalog) -> impl Iterator<Item = Update> {
        let targets = catalog.targets.iter();
        let overdue = targets.filter_map(|(id, record)| self.leases.overdue_leave(*id, record));
        overdue.chain(self.leases.forget_departures(catalog))
    }

    /// Whether the next status is due.
    pub fn is_status_due(&self, now: Moment) -> bool {
        self.status_pace.is_due(now)
    }

    /// Returns the next status for this number of entries, if one is due.
    pub fn status(
        &mut self,
        now: Moment,
        index: u64,
        entries: u32,
        catalog: &Catalog,
    ) -> Option<LeaderStatus> {
        if !self.is_status_due(now) || entries == 0 {
            return None;
        }
        self.status_pace.record_sent(now);
        let targets = || catalog.targets.keys().copied();
        let cold = targets().map(|id| (id, self.leases.cold_left(now, id)));
        let mut status = LeaderStatus {
            index,
            entries,
            pending: self.pending_spans(now, catalog),
            cold: cold.filter(|(_, left)| !left.is_zero()).collect(),
            unresponsive: targets()
                .filter(|id| !self.leases.is_responsive(now, *id))
                .collect(),
            loads: Vec::new(),
            service_times: Vec::new(),
        };
        if now.since(self.loads_sent) >= LOADS_INTERVAL {
            self.loads_sent = now;
            let loads = std::mem::take(&mut self.loads).into_iter();
            status.loads = loads
                .map(|(id, (load, measured))| (id, load, to_millis(now.since(measured))))
                .collect();
            status.service_times = self.service_times(catalog);
        }
        Some(status)
    }

    /// Service times of the targets that answered enough requests recently, in ms.
    fn service_times(&self, catalog: &Catalog) -> Vec<(TargetId, u16)> {
        let known = catalog.targets.iter();
        let known = known.filter(|(id, _)| self.target_loads.get(**id).rate >= MIN_RELIABLE_RATE);
        known
            .filter_map(|(id, record)| {
                let service_time = self.target_loads.service_time(*id, record.slots)?;
                Some((*id, to_millis(Duration::from_secs_f64(service_time))))
            })
            .collect()
    }

    /// Key spans that nobody serves now.
    fn pending_spans(&self, now: Moment, catalog: &Catalog) -> Vec<PendingSpan> {
        let mut pending = Vec::new();
        for (service, table) in &catalog.shards {
            let rows = table.rows().iter();
            for row in rows.filter(|row| !self.leases.is_active(now, row)) {
                pending.push(PendingSpan {
                    service: service.clone(),
                    span: row.span,
                    wait: self.expected_wait(now, row),
                });
            }
        }
        pending
    }

    /// Expected time until the keys of a row are served.
    fn expected_wait(&self, now: Moment, row: &ShardRow) -> Duration {
        match row.next.or(row.owner) {
            Some(owner) if self.leases.is_responsive(now, owner) => {
                self.leases.next_heartbeat(now, owner).since(now) + LEASE_REPLY_DELAY
            }
            _ => DEFAULT_PENDING_WAIT,
        }
    }

    /// Updates that a service needs now; none while its previous plan is not finished.
    fn plan_service(&mut self, now: Moment, catalog: &Catalog, service: &Service) -> Vec<Update> {
        if self.active_plans.contains_key(service) {
            return Vec::new();
        }
        let candidates: Candidates = catalog
            .targets_of(service)
            .map(|(id, record)| (id, self.candidate(now, catalog, id, record)))
            .collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        let joins = self.first_joins.entry(service.clone());
        let joins = joins.or_insert_with(|| FirstJoins::new(now));
        if !catalog.shards.contains_key(service) && !joins.are_over(now, candidates.len()) {
            return Vec::new();
        }
        let load = self.key_loads.entry(service.clone()).or_default();
        let targets = &self.target_loads;
        let updates = sharding::plan(now, service, catalog, &candidates, load, targets);
        if !updates.is_empty() {
            self.active_plans
                .insert(service.clone(), former_owners(&updates));
        }
        updates
    }

    fn candidate(
        &self,
        now: Moment,
        catalog: &Catalog,
        id: TargetId,
        record: &TargetRecord,
    ) -> Candidate {
        let responsive = self.leases.is_responsive(now, id);
        Candidate {
            accepts_keys: responsive && catalog.accepts_work(record),
            responsive,
            may_hold: self.leases.may_hold(now, id),
            cold_left: self.leases.cold_left(now, id),
            next_heartbeat: self.leases.next_heartbeat(now, id),
            slots: record.slots,
            slowness: self.target_loads.slowness(id),
            limit: self.permits.limit(id),
        }
    }

    /// Whether an unfinished plan assigns keys of the target to others, because its lease expired.
    /// Until that is committed the target gets no lease, or two targets could hold the same keys.
    fn is_losing_keys(&self, id: TargetId) -> bool {
        self.active_plans
            .values()
            .any(|former_owners| former_owners.contains(&id))
    }

    /// Targets to remove: without a heartbeat for too long, or while another incarnation goes on
    /// sending them, and with an expired lease.
    fn expired_targets(&self, now: Moment, catalog: &Catalog) -> Vec<TargetId> {
        let timeout = |leaving| match leaving {
            true => LEAVING_REMOVAL_TIMEOUT,
            false => REMOVAL_TIMEOUT,
        };
        let targets = catalog.targets.iter();
        targets
            .filter(|(id, t)| {
                self.leases.time_since_heartbeat(now, **id) > timeout(t.leaving)
                    || self.leases.is_outlived(now, **id, t)
            })
            .filter(|(id, _)| !self.leases.may_hold(now, **id))
            .map(|(id, _)| *id)
            .collect()
    }
}

impl PlannedUpdate {
    fn single(update: Update) -> Self {
        PlannedUpdate {
            update,
            completes: None,
        }
    }
}

/// Targets that lose keys by the assignments among the updates.
fn former_owners(updates: &[Update]) -> BTreeSet<TargetId> {
    let grants = updates.iter().flat_map(|update| match update {
        Update::Assign { grants, .. } => grants.as_slice(),
        _ => &[],
    });
    grants.filter_map(|grant| grant.former).collect()
}
