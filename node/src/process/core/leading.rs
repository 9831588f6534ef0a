//! What a core host does while it leads: grants leases, plans who gets which keys, answers calls.

use super::task::{Task, Then};
use crate::process::logging::EventLog;
use cornelrail_lib::{
    connection::{
        heartbeat::Heartbeat,
        pull_lease::{Heard, LeaseConfig, PullLeases},
    },
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    process::{
        control_call::{ControlCall, ControlReply},
        event::Event,
        seeded_settings::SeededSettings,
    },
    request::balance::LoadReport,
    version::{
        catalog::{Applied, Catalog, TargetId, Update},
        feed::Report,
        sharding::{self, Candidate, Candidates, KeyLoad},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::sync::oneshot;

/// Time for the first targets of a service to announce themselves before its keys are given out.
const SETTLE: Duration = Duration::from_millis(1_500);
/// A target that has been silent for so long is taken out of the catalog.
const REMOVE_AFTER: Duration = Duration::from_secs(20);
/// The same for one that asked to leave.
const REMOVE_LEAVING_AFTER: Duration = Duration::from_secs(6);
/// Part of a lease's certainty that is left when it is asked for anew.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// Shortest pause between two pulses that are sent early.
const EARLY_PULSE: Duration = Duration::from_millis(15);
/// Pause between two plans of a service.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// What only the leader keeps.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) leases: PullLeases,
    pub(super) loads: BTreeMap<TargetId, LoadReport>,
    pub(super) pulse_due: Moment,
    pub(super) pulse_sent: Moment,
    pub(super) loads_sent: Moment,
    key_loads: BTreeMap<Service, KeyLoad>,
    settled: BTreeMap<Service, Moment>,
    planning: BTreeSet<Service>,
    planned: Moment,
    lease_end: Moment,
}

impl Leading {
    pub(super) fn new(settings: &SeededSettings, now: Moment) -> Self {
        let config = LeaseConfig {
            length: settings.lease,
            heartbeat: settings.heartbeat,
        };
        Leading {
            leases: PullLeases::new(config, now),
            loads: BTreeMap::new(),
            pulse_due: now,
            pulse_sent: Moment::ZERO,
            loads_sent: Moment::ZERO,
            key_loads: BTreeMap::new(),
            settled: BTreeMap::new(),
            planning: BTreeSet::new(),
            planned: now,
            lease_end: Moment::ZERO,
        }
    }

    /// The catalog changed: what waits on it may be due.
    pub(super) fn catalog_changed(&mut self) {
        self.hasten_pulse();
    }

    /// Sends a pulse soon.
    pub(super) fn hasten_pulse(&mut self) {
        self.pulse_due = self.pulse_due.min(self.pulse_sent + EARLY_PULSE);
    }

    /// The planned updates of a service are applied or lost.
    pub(super) fn planned(&mut self, service: &Service) {
        self.planning.remove(service);
    }

    pub(super) fn take_report(&mut self, report: Report) {
        for count in report.keys {
            let load = self.key_loads.entry(count.service).or_default();
            load.count_keys(count.bucket, count.requests);
        }
        for count in report.targets {
            if let Some(load) = count.load {
                self.loads.insert(count.id, load);
            }
            // Targets are few, so each service's load keeps its own and ignores the others.
            for load in self.key_loads.values_mut() {
                load.count_target(count.id, count.answers, count.busy);
            }
        }
    }

    fn candidates(&self, now: Moment, catalog: &Catalog, service: &Service) -> Candidates {
        let candidate = |id: TargetId, slots: u32, open: bool| Candidate {
            open: open && self.leases.is_heard(now, id),
            holding: self.leases.may_hold(now, id),
            cold: self.leases.cold(now, id),
            due: self.leases.next_beat(now, id),
            slots,
        };
        catalog
            .targets_of(service)
            .map(|(id, record)| (id, candidate(id, record.slots, catalog.is_open(record))))
            .collect()
    }

    /// Updates that a service needs now, unless some are under way.
    fn plan(&mut self, now: Moment, catalog: &Catalog, service: &Service) -> Vec<Update> {
        if self.planning.contains(service) {
            return Vec::new();
        }
        let candidates = self.candidates(now, catalog, service);
        if candidates.is_empty() {
            return Vec::new();
        }
        let since = *self.settled.entry(service.clone()).or_insert(now);
        if !catalog.shards.contains_key(service) && now.since(since) < SETTLE {
            return Vec::new();
        }
        let load = self.key_loads.entry(service.clone()).or_default();
        load.retain(|id| catalog.targets.contains_key(&id));
        let updates = sharding::plan(now, service, catalog, &candidates, load);
        if !updates.is_empty() {
            self.planning.insert(service.clone());
        }
        updates
    }

    /// Targets that are gone for good.
    fn gone(&self, now: Moment, catalog: &Catalog) -> Vec<TargetId> {
        let limit = |leaving| {
            if leaving {
                REMOVE_LEAVING_AFTER
            } else {
                REMOVE_AFTER
            }
        };
        catalog
            .targets
            .iter()
            .filter(|(id, t)| self.leases.silence(now, **id) > limit(t.leaving))
            .filter(|(id, _)| !self.leases.may_hold(now, **id))
            .map(|(id, _)| *id)
            .collect()
    }
}

impl Task {
    /// Does what is due.
    pub(super) async fn tick(&mut self) {
        let now = self.now();
        if self.leading.is_none() || !self.has_lease().await {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        if now.since(leading.planned) < PLAN_PAUSE {
            return;
        }
        let span = now.since(leading.planned);
        leading.planned = now;
        leading
            .key_loads
            .values_mut()
            .for_each(|load| load.fade(span));
        leading.leases.retain(&self.catalog);
        let mut updates: Vec<(Update, Then)> = Vec::new();
        for id in leading.gone(now, &self.catalog) {
            updates.push((Update::Remove(id), Then::Nothing));
        }
        let keyed = self.catalog.desired.services.iter();
        let keyed = keyed.filter(|(_, item)| item.value.as_ref().is_some_and(|s| s.keyed));
        for (service, _) in keyed {
            let mut planned = leading.plan(now, &self.catalog, service);
            let last = planned.pop();
            updates.extend(planned.into_iter().map(|update| (update, Then::Nothing)));
            updates.extend(last.map(|update| (update, Then::Replan(service.clone()))));
        }
        for (service, grant) in leading.leases.lapsed_moves(now, &self.catalog) {
            let grants = vec![grant];
            updates.push((Update::Assign { service, grants }, Then::Nothing));
        }
        for (update, then) in updates {
            self.propose(&update, then);
        }
    }

    /// Whether no other host can lead at this moment.
    pub(super) async fn has_lease(&mut self) -> bool {
        let now = self.now();
        let Some(leading) = &self.leading else {
            return false;
        };
        if now + LEASE_MARGIN < leading.lease_end {
            return true;
        }
        let end = self.voter.lease().await.unwrap_or(Moment::ZERO);
        let now = self.now();
        if let Some(leading) = &mut self.leading {
            leading.lease_end = end;
        }
        now < end
    }

    /// Answers a call as the leader.
    pub(super) async fn lead_call(
        &mut self,
        call: ControlCall,
        reply: oneshot::Sender<ControlReply>,
    ) {
        if !self.has_lease().await {
            // The asker may have given up.
            let _ = reply.send(ControlReply::Unavailable);
            return;
        }
        match call {
            ControlCall::Heartbeat(beat) => self.take_heartbeat(&beat, reply),
            ControlCall::Leave(name, life) => self.take_farewell(&name, life, reply),
            ControlCall::Change(change) => match self.catalog.desired.check(&change) {
                Ok(()) => self.propose(&Update::Desired(change), Then::Reply(reply)),
                Err(error) => {
                    Event::DesiredRefused.log(format_args!("why={error}"));
                    let _ = reply.send(ControlReply::Refused(error.to_string()));
                }
            },
            ControlCall::Read => {
                let desired = self.catalog.desired.clone();
                let _ = reply.send(ControlReply::Desired(desired));
            }
            ControlCall::ZoneOut(zone) => self.change_zone(zone, true, reply),
            ControlCall::ZoneIn(zone) => self.change_zone(zone, false, reply),
        }
    }

    fn change_zone(&mut self, zone: Zone, out: bool, reply: oneshot::Sender<ControlReply>) {
        let update = match out {
            true => Update::ZoneOut(zone),
            false => Update::ZoneIn(zone),
        };
        self.propose(&update, Then::Reply(reply));
    }

    fn take_heartbeat(&mut self, beat: &Heartbeat, reply: oneshot::Sender<ControlReply>) {
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        if self
            .catalog
            .desired
            .service(beat.service.as_str())
            .is_none()
        {
            Event::TargetRejected.log(format_args!(
                "target={} why=the service {} is not known",
                beat.name, beat.service
            ));
            let _ = reply.send(ControlReply::Refused("unknown service".to_owned()));
            return;
        }
        match leading.leases.heartbeat(now, &self.catalog, beat) {
            Heard::Late => drop(reply.send(ControlReply::Lease(None))),
            Heard::New => {
                let then = Then::Lease(beat.name.clone(), reply);
                self.propose(&Update::Join(beat.record()), then);
            }
            Heard::Known { id, mut updates } => match updates.pop() {
                None => self.answer_heartbeat(id, reply),
                Some(last) => {
                    for update in updates {
                        self.propose(&update, Then::Nothing);
                    }
                    self.propose(&last, Then::Lease(beat.name.clone(), reply));
                }
            },
        }
    }

    /// Grants the lease and sends it. Nothing may wait between the look at the clock and the
    /// answer, or a lease would be counted from too late.
    fn answer_heartbeat(&mut self, id: TargetId, reply: oneshot::Sender<ControlReply>) {
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let record = self.catalog.targets.get(&id);
        let keyed = record
            .and_then(|t| self.catalog.desired.service(t.service.as_str()))
            .is_some_and(|service| service.keyed);
        let lease = match keyed && now < leading.lease_end {
            true => {
                leading.hasten_pulse();
                Some(leading.leases.grant(now, &self.catalog, id))
            }
            false => None,
        };
        // A target that is gone gets no answer.
        let _ = reply.send(ControlReply::Lease(lease));
    }

    fn take_farewell(
        &mut self,
        name: &Target,
        life: Option<Incarnation>,
        reply: oneshot::Sender<ControlReply>,
    ) {
        let known = self.catalog.find(name);
        let present = known.filter(|(_, t)| life.is_none_or(|life| life == t.life));
        match present.map(|(id, _)| id) {
            Some(id) => self.propose(&Update::Leave(id), Then::Reply(reply)),
            // A life that is over has left already.
            None => drop(reply.send(ControlReply::Done)),
        }
    }

    /// Goes on with what waited for a command.
    pub(super) fn carry_on(&mut self, then: Then, applied: &Applied) {
        match then {
            Then::Nothing => {}
            Then::Replan(service) => {
                if let Some(leading) = &mut self.leading {
                    leading.planned(&service);
                }
            }
            Then::Reply(reply) => {
                let answer = match applied.refusal() {
                    Some(error) => ControlReply::Refused(error.to_string()),
                    None => ControlReply::Done,
                };
                // The asker may have given up.
                let _ = reply.send(answer);
            }
            Then::Lease(name, reply) => match self.catalog.find(&name).map(|(id, _)| id) {
                Some(id) => self.answer_heartbeat(id, reply),
                None => drop(reply.send(ControlReply::Lease(None))),
            },
        }
    }
}
