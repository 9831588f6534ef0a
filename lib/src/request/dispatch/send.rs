//! Choice of a target, sending, retries and hedges.

use super::{
    Action, Dispatcher, Flight, PoolPolicy, RequestId, Slot, TargetSelector, state::Group,
};
use crate::{
    connection::health::Condition,
    moment::Moment,
    name::{Incarnation, Service, Target},
    request::outcome::Reason,
};
use rand::{Rng, seq::IteratorRandom};

/// Most attempts of one request.
const MOST_ATTEMPTS: u32 = 3;
/// Crashes of targets that one request may cause before it is not sent again.
const CRASH_RETRIES: u32 = 1;
/// Cost of another zone in the choice of a target; a full idle-to-busy step costs 1.
const ZONE_COST: f64 = 1.0;
/// Range of random cost that breaks ties.
const TIE_COST: f64 = 0.01;

impl Dispatcher {
    /// Sends whatever waits for any target of the service, as far as limits allow.
    pub(super) fn pump(&mut self, now: Moment, service: &Service) {
        let targets = self.groups.get(service).map(|g| g.targets.clone());
        for target in targets.iter().flatten() {
            self.pump_target(now, target);
        }
        self.pump_pool(now, service);
    }

    /// Sends what waits for one target.
    pub(super) fn pump_target(&mut self, now: Moment, target: &Target) {
        while let Some(slot) = self.slots.get(target).filter(|s| s.free(now))
            && let Some(id) = slot.queue.first()
            && (slot.running == 0 || !self.suspected(now, id))
        {
            self.start(now, id, target);
        }
    }

    /// Sends what waits for a pool.
    pub(super) fn pump_pool(&mut self, now: Moment, service: &Service) {
        if let Some(group) = self.groups.get_mut(service) {
            group.health.judge(now);
        }
        while let Some(id) = self.groups.get(service).and_then(|g| g.queue.first())
            && let Some(target) = self.choose(now, id)
        {
            match self.suspected(now, id) {
                true => self.isolate(now, id, &target),
                false => self.start(now, id, &target),
            }
        }
    }

    fn suspected(&self, now: Moment, id: RequestId) -> bool {
        let request = self.requests.get(&id);
        let fingerprint = request.and_then(|r| r.arrival.fingerprint);
        fingerprint.is_some_and(|f| self.suspects.contains(now, f))
    }

    /// Lets a suspect of a pool wait for one target until that has nothing else to do.
    fn isolate(&mut self, now: Moment, id: RequestId, target: &Target) {
        self.leave_line(id);
        let (Some(request), Some(slot)) = (self.requests.get_mut(&id), self.slots.get_mut(target))
        else {
            return;
        };
        request.arrival.selector = TargetSelector::Keyed(target.clone());
        request.queued = true;
        slot.queue.push_front(request.arrival.rank(), id);
        self.pump_target(now, target);
    }

    /// Takes a request out of its queue and sends it, unless it is too late for that.
    fn start(&mut self, now: Moment, id: RequestId, target: &Target) {
        let late = self
            .requests
            .get(&id)
            .and_then(|r| r.timer)
            .is_some_and(|latest| latest <= now);
        if late {
            return self.refuse(now, id, Reason::Overload);
        }
        self.leave_line(id);
        self.transmit(now, id, target);
    }

    /// Sends a request to a target.
    fn transmit(&mut self, now: Moment, id: RequestId, target: &Target) {
        let alone = self.suspected(now, id);
        let (Some(request), Some(slot)) = (self.requests.get_mut(&id), self.slots.get_mut(target))
        else {
            return;
        };
        slot.running += 1;
        slot.alone = alone;
        slot.progress = now;
        self.serial += 1;
        request.attempts += 1;
        let attempt = request.attempts;
        request.live.push(attempt);
        let flight = Flight {
            target: target.clone(),
            incarnation: slot.incarnation(),
            sent: now,
            level: slot.running,
            alone,
            serial: self.serial,
        };
        self.flights.insert((id, attempt), flight);
        let hedged =
            request.arrival.selector == TargetSelector::Pool && request.arrival.may_repeat();
        let service = request.arrival.service.clone();
        self.actions.push(Action::Send {
            id,
            attempt,
            target: target.clone(),
        });
        let Some(group) = self.groups.get_mut(&service) else {
            return;
        };
        group.health.sent(now, target, self.serial);
        let late = group.health.tail().filter(|_| hedged && attempt < 2);
        self.set_timer(id, late.map(|t| now + t));
    }

    /// Target for a request of a pool, if one can take it now.
    fn choose(&mut self, now: Moment, id: RequestId) -> Option<Target> {
        let request = self.requests.get(&id)?;
        let group = self.groups.get(&request.arrival.service)?;
        let avoid = request.avoid.as_ref().filter(|_| group.targets.len() > 1);
        let free: Vec<&Slot> = group
            .targets
            .iter()
            .filter(|t| Some(*t) != avoid)
            .filter_map(|t| self.slots.get(t))
            .filter(|s| s.free(now) && s.queue.len() == 0)
            .collect();
        if self.config.policy == PoolPolicy::TwoChoices {
            let two = free.into_iter().choose_multiple(&mut self.rng, 2);
            let least = two.into_iter().min_by_key(|s| s.running)?;
            return Some(least.view.target.clone());
        }
        let probe = request.arrival.may_repeat() && request.live.is_empty();
        let due = |s: &&&Slot| probe && group.health.probe_due(now, &s.view.target);
        if let Some(slot) = free.iter().find(due) {
            return Some(slot.view.target.clone());
        }
        let stranded = self.usable(group).is_empty();
        let rng = &mut self.rng;
        let zone = &self.config.zone;
        free.into_iter()
            .filter(|s| stranded || !ejected(group, s))
            .map(|s| {
                (
                    cost(now, group, s, s.local(zone)) + rng.random_range(0.0..TIE_COST),
                    s,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, s)| s.view.target.clone())
    }

    /// Targets of a pool that take ordinary work.
    pub(super) fn usable(&self, group: &Group) -> Vec<&Slot> {
        let slots = group.targets.iter().filter_map(|t| self.slots.get(t));
        slots
            .filter(|s| s.view.enabled && !ejected(group, s))
            .collect()
    }

    /// Sends a late request a second time, to another target, if the budget allows.
    pub(super) fn hedge(&mut self, now: Moment, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let service = request.arrival.service.clone();
        let &[attempt] = request.live.as_slice() else {
            return;
        };
        let first = self.flights.get(&(id, attempt)).map(|f| f.target.clone());
        let idle = self
            .groups
            .get(&service)
            .is_some_and(|g| g.queue.len() == 0);
        if let Some(request) = self.requests.get_mut(&id) {
            request.avoid = first;
        }
        let target = self.choose(now, id).filter(|_| idle);
        let Some(group) = self.groups.get_mut(&service) else {
            return;
        };
        match target {
            Some(target) if group.hedges.spend() => self.transmit(now, id, &target),
            _ => {
                let again = group.health.tail().map(|t| now + t);
                self.set_timer(id, again);
            }
        }
    }

    /// Sends a request again after an attempt brought no answer, or refuses it for good.
    pub(super) fn again(&mut self, now: Moment, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.live.is_empty() {
            return;
        }
        let harmless = !request.ran || request.arrival.may_repeat();
        let tired = request.attempts >= MOST_ATTEMPTS || request.crashes > CRASH_RETRIES;
        let reason = match request.ran {
            true => Reason::TargetFailed,
            false => Reason::Overload,
        };
        let service = request.arrival.service.clone();
        let late = now >= request.arrival.deadline;
        let allowed = harmless && !tired && !late;
        let group = self.groups.get_mut(&service);
        match group.is_some_and(|g| allowed && g.retries.spend()) {
            true => self.enqueue(now, id),
            false => self.refuse(now, id, reason),
        }
    }

    /// Makes an attempt's answer the request's final one and aborts the others.
    pub(super) fn deliver(&mut self, id: RequestId, attempt: u32) {
        self.actions.push(Action::Deliver { id, attempt });
        if let Some(request) = self.requests.get_mut(&id) {
            request.live.retain(|a| *a != attempt);
            let fingerprint = request.arrival.fingerprint;
            if let Some(fingerprint) = fingerprint {
                self.suspects.clear(fingerprint);
            }
        }
        self.abort_live(id);
        self.forget(id);
    }

    /// Tells that a target crashed while it ran the request.
    pub(super) fn suspect(
        &mut self,
        now: Moment,
        id: RequestId,
        target: &Target,
        incarnation: Incarnation,
    ) {
        let fingerprint = self.requests.get(&id).and_then(|r| r.arrival.fingerprint);
        if let Some(fingerprint) = fingerprint {
            self.suspects.add(now, fingerprint);
            self.actions.push(Action::ReportCrash {
                fingerprint,
                target: target.clone(),
                incarnation,
            });
        }
    }
}

fn ejected(group: &Group, slot: &Slot) -> bool {
    group.health.condition(&slot.view.target) == Condition::Ejected
}

/// Cost of one more request at a target: its slowness times its relative load, and its zone.
fn cost(now: Moment, group: &Group, slot: &Slot, local: bool) -> f64 {
    let target = &slot.view.target;
    let load = group.health.load(now, target) / f64::from(slot.limit.current());
    let slowness = match group.health.condition(target) {
        Condition::Steady => 1.0,
        _ => group.health.slowness(target),
    };
    let zone = match local {
        true => 0.0,
        false => ZONE_COST,
    };
    slowness * (1.0 + load) + zone
}
