//! What only the leader of a seeded fleet keeps and decides: leases, loads, plans, pulses.
//!
//! All of it can be lost with the leader. The next one starts from the catalog, and waits a lease
//! before it takes keys from a target that it has not heard.

use super::{
    catalog::{Catalog, Row, TargetId, TargetRecord, Update},
    feed::{Pending, Pulse, Report, millis},
    sharding::{self, Candidate, Candidates, KNOWN_RATE, KeyLoad, TargetLoads},
};
use crate::{
    connection::{
        heartbeat::{Heartbeat, Lease},
        pull_lease::{Heard, LeaseConfig, PullLeases},
    },
    moment::Moment,
    name::Service,
    request::balance::LoadReport,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time for the first targets of a service to announce themselves before its keys are given out.
const SETTLE: Duration = Duration::from_millis(1_500);
/// A target that has been silent for so long is taken out of the catalog.
const REMOVE_AFTER: Duration = Duration::from_secs(20);
/// The same for one that asked to leave.
const REMOVE_LEAVING_AFTER: Duration = Duration::from_secs(6);
/// Shortest pause between two pulses that are sent early.
const EARLY_PULSE: Duration = Duration::from_millis(15);
/// Longest pause between two pulses.
const PULSE_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two pulses with the loads of targets.
const LOADS_PAUSE: Duration = Duration::from_millis(450);
/// Pause between two plans.
const PLAN_PAUSE: Duration = Duration::from_millis(100);
/// Time that keys without a known next owner are expected to go unserved.
const UNKNOWN_WAIT: Duration = Duration::from_millis(1_000);
/// Time from the answer to a heartbeat to the target's first request under it.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// An update that the leader wants committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// The update.
    pub update: Update,
    /// Service whose next plan waits until this update is applied or lost.
    pub last: Option<Service>,
}

/// State of a leader.
#[derive(Debug)]
pub struct Leader {
    leases: PullLeases,
    loads: BTreeMap<TargetId, (LoadReport, Moment)>,
    key_loads: BTreeMap<Service, KeyLoad>,
    target_loads: TargetLoads,
    settled: BTreeMap<Service, Moment>,
    planning: BTreeMap<Service, BTreeSet<TargetId>>,
    planned: Moment,
    pulse_due: Moment,
    pulse_sent: Moment,
    loads_sent: Moment,
}

impl Leader {
    /// Leader whose term begins now.
    pub fn new(config: LeaseConfig, now: Moment) -> Self {
        Leader {
            leases: PullLeases::new(config, now),
            loads: BTreeMap::new(),
            key_loads: BTreeMap::new(),
            target_loads: TargetLoads::default(),
            settled: BTreeMap::new(),
            planning: BTreeMap::new(),
            planned: now,
            pulse_due: now,
            pulse_sent: Moment::ZERO,
            loads_sent: Moment::ZERO,
        }
    }

    /// Takes a heartbeat in.
    pub fn heartbeat(&mut self, now: Moment, catalog: &Catalog, beat: &Heartbeat) -> Heard {
        self.leases.heartbeat(now, catalog, beat)
    }

    /// Lease of a target from now on. `None` renews nothing: the target holds no keys by nature, or
    /// some are on their way to others.
    pub fn grant(&mut self, now: Moment, catalog: &Catalog, id: TargetId) -> Option<Lease> {
        let record = catalog.targets.get(&id)?;
        self.leases.note(now, id, record);
        let spec = catalog.desired.service(record.service.as_str())?;
        if !spec.keyed || self.is_barred(id) {
            return None;
        }
        self.hasten_pulse();
        Some(self.leases.grant(now, catalog, id))
    }

    /// Takes what an entry saw.
    pub fn report(&mut self, now: Moment, report: Report) {
        for count in report.keys {
            let load = self.key_loads.entry(count.service).or_default();
            load.count_keys(count.bucket, count.requests);
        }
        for count in report.targets {
            self.target_loads.count(&count);
            if let Some((load, age)) = count.load {
                let seen = now - Duration::from_millis(u64::from(age));
                let held = self.loads.entry(count.id).or_insert((load, seen));
                if held.1 <= seen {
                    *held = (load, seen);
                }
            }
        }
    }

    /// Sends a pulse soon: the catalog or what may be served changed.
    pub fn hasten_pulse(&mut self) {
        self.pulse_due = self.pulse_due.min(self.pulse_sent + EARLY_PULSE);
    }

    /// The last update of a plan is applied, or will never be.
    pub fn settle(&mut self, service: &Service) {
        self.planning.remove(service);
    }

    /// Updates that are due.
    pub fn plan(&mut self, now: Moment, catalog: &Catalog) -> Vec<Planned> {
        let span = now.since(self.planned);
        if span < PLAN_PAUSE {
            return Vec::new();
        }
        self.planned = now;
        self.leases.retain(catalog);
        self.key_loads.values_mut().for_each(|load| load.fade(span));
        self.target_loads.fade(span);
        self.target_loads
            .retain(|id| catalog.targets.contains_key(&id));
        let mut updates: Vec<Planned> = Vec::new();
        let gone = self.gone(now, catalog).into_iter().map(Update::Remove);
        updates.extend(gone.map(Planned::alone));
        for (service, item) in &catalog.desired.services {
            if item.value.as_ref().is_some_and(|spec| spec.keyed) {
                let mut planned = self.plan_service(now, catalog, service);
                let last = planned.pop();
                updates.extend(planned.into_iter().map(Planned::alone));
                updates.extend(last.map(|update| Planned {
                    update,
                    last: Some(service.clone()),
                }));
            }
        }
        for (service, grant) in self.leases.lapsed_moves(now, catalog) {
            let grants = vec![grant];
            updates.push(Planned::alone(Update::Assign { service, grants }));
        }
        updates
    }

    /// The next pulse for so many entries, if one is due.
    pub fn pulse(
        &mut self,
        now: Moment,
        index: u64,
        entries: u32,
        catalog: &Catalog,
    ) -> Option<Pulse> {
        if now < self.pulse_due || entries == 0 {
            return None;
        }
        self.pulse_sent = now;
        self.pulse_due = now + PULSE_PAUSE;
        let targets = || catalog.targets.keys().copied();
        let colds = targets().map(|id| (id, self.leases.cold(now, id)));
        let mut pulse = Pulse {
            index,
            entries,
            pending: self.pending(now, catalog),
            cold: colds.filter(|(_, cold)| !cold.is_zero()).collect(),
            silent: targets()
                .filter(|id| !self.leases.is_heard(now, *id))
                .collect(),
            loads: Vec::new(),
            works: Vec::new(),
        };
        if now.since(self.loads_sent) >= LOADS_PAUSE {
            self.loads_sent = now;
            let loads = std::mem::take(&mut self.loads).into_iter();
            pulse.loads = loads
                .map(|(id, (load, seen))| (id, load, millis(now.since(seen))))
                .collect();
            pulse.works = self.works(catalog);
        }
        Some(pulse)
    }

    /// Time that requests take at the targets that answered some of late.
    fn works(&self, catalog: &Catalog) -> Vec<(TargetId, u16)> {
        let busy = catalog.targets.iter();
        let busy = busy.filter(|(id, _)| self.target_loads.get(**id).rate >= KNOWN_RATE);
        busy.filter_map(|(id, record)| {
            let work = self.target_loads.work(*id, record.slots)?;
            Some((*id, millis(Duration::from_secs_f64(work))))
        })
        .collect()
    }

    fn pending(&self, now: Moment, catalog: &Catalog) -> Vec<Pending> {
        let mut pending = Vec::new();
        for (service, table) in &catalog.shards {
            let rows = table.rows().iter();
            for row in rows.filter(|row| !self.leases.is_active(now, row)) {
                pending.push(Pending {
                    service: service.clone(),
                    span: row.span,
                    wait: self.wait(now, row),
                });
            }
        }
        pending
    }

    /// Time until the keys of a row are expected to be served.
    fn wait(&self, now: Moment, row: &Row) -> Duration {
        match row.next.or(row.owner) {
            Some(taker) if self.leases.is_heard(now, taker) => {
                self.leases.next_beat(now, taker).since(now) + ANSWER_TIME
            }
            _ => UNKNOWN_WAIT,
        }
    }

    /// Updates that a service needs now, unless some are under way.
    fn plan_service(&mut self, now: Moment, catalog: &Catalog, service: &Service) -> Vec<Update> {
        if self.planning.contains_key(service) {
            return Vec::new();
        }
        let candidates: Candidates = catalog
            .targets_of(service)
            .map(|(id, record)| (id, self.candidate(now, catalog, id, record)))
            .collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        let since = *self.settled.entry(service.clone()).or_insert(now);
        if !catalog.shards.contains_key(service) && now.since(since) < SETTLE {
            return Vec::new();
        }
        let load = self.key_loads.entry(service.clone()).or_default();
        let targets = &self.target_loads;
        let updates = sharding::plan(now, service, catalog, &candidates, load, targets);
        if !updates.is_empty() {
            self.planning.insert(service.clone(), losers(&updates));
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
        let heard = self.leases.is_heard(now, id);
        Candidate {
            open: heard && catalog.is_open(record),
            heard,
            holding: self.leases.may_hold(now, id),
            cold: self.leases.cold(now, id),
            due: self.leases.next_beat(now, id),
            slots: record.slots,
        }
    }

    /// Whether keys of the target are being given to others since its lease is over. It gets no
    /// lease before that is committed, or two targets would hold them.
    fn is_barred(&self, id: TargetId) -> bool {
        self.planning.values().any(|losers| losers.contains(&id))
    }

    /// Targets that are gone for good.
    fn gone(&self, now: Moment, catalog: &Catalog) -> Vec<TargetId> {
        let limit = |leaving| match leaving {
            true => REMOVE_LEAVING_AFTER,
            false => REMOVE_AFTER,
        };
        let targets = catalog.targets.iter();
        targets
            .filter(|(id, t)| self.leases.silence(now, **id) > limit(t.leaving))
            .filter(|(id, _)| !self.leases.may_hold(now, **id))
            .map(|(id, _)| *id)
            .collect()
    }
}

impl Planned {
    fn alone(update: Update) -> Self {
        Planned { update, last: None }
    }
}

/// Owners that lose keys by the updates.
fn losers(updates: &[Update]) -> BTreeSet<TargetId> {
    let grants = updates.iter().flat_map(|update| match update {
        Update::Assign { grants, .. } => grants.as_slice(),
        _ => &[],
    });
    grants.filter_map(|grant| grant.former).collect()
}
