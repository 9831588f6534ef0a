//! Dispatch of requests to the targets that an entry is the home of.
//!
//! One [`Dispatcher`] decides for all targets of a home: when a request goes out and to which target,
//! which requests wait, which are refused at once and with what truth about their fate, which are
//! sent again or hedged. A request gets exactly one final action, [`Action::Deliver`] or
//! [`Action::Refuse`], no later than the first [`Dispatcher::tick`] at or after its deadline.
//!
//! An attempt takes up its target's capacity until the entry reports its ending, also after an
//! [`Action::Abort`]: the target may run it until then. Whatever is reported twice or too late
//! changes nothing.

mod admit;
mod budget;
mod limit;
mod model;
mod queue;
mod send;
mod state;
mod suspects;

pub use model::{
    Action, Arrival, AttemptOutcome, DispatchConfig, Importance, PoolPolicy, RequestId, TargetLoad,
    TargetSelector, TargetView,
};

use crate::{
    moment::Moment,
    name::{Incarnation, Service, Target},
    request::outcome::Reason,
    version::command::Fingerprint,
};
use model::Rank;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use state::{Flight, Group, Request, Slot};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use suspects::Suspects;

/// Pause of new work to a target that turned one away or could not be reached.
const HOLD: Duration = Duration::from_millis(20);

/// Queues, limits and budgets of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    config: DispatchConfig,
    rng: ChaCha8Rng,
    slots: BTreeMap<Target, Slot>,
    groups: BTreeMap<Service, Group>,
    requests: BTreeMap<RequestId, Request>,
    flights: BTreeMap<(RequestId, u32), Flight>,
    timers: BTreeSet<(Moment, RequestId)>,
    holds: BTreeSet<(Moment, Target)>,
    suspects: Suspects,
    actions: Vec<Action>,
    serial: u64,
    closing: bool,
}

impl Dispatcher {
    /// Dispatch without targets.
    pub fn new(config: DispatchConfig) -> Self {
        Dispatcher {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            slots: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            flights: BTreeMap::new(),
            timers: BTreeSet::new(),
            holds: BTreeSet::new(),
            suspects: Suspects::default(),
            actions: Vec::new(),
            serial: 0,
            closing: false,
        }
    }

    /// Takes in a target or a change of it. A new incarnation starts over: what the old one ran is
    /// lost, and its queue stays.
    pub fn upsert_target(&mut self, now: Moment, view: TargetView) {
        let target = view.target.clone();
        let service = view.service.clone();
        match self.slots.get_mut(&target) {
            Some(slot)
                if slot.incarnation() == view.incarnation && slot.view.service == service =>
            {
                slot.update(view, &self.config);
            }
            Some(_) => self.restart(now, view),
            None => {
                self.join(now, &view);
                let life = view.incarnation;
                let mut slot = Slot::new(view, &self.config);
                self.inherit(&target, life, &mut slot);
                self.slots.insert(target, slot);
            }
        }
        self.pump(now, &service);
    }

    /// Forgets a target: what it ran may have run, what waited for it is refused as not run. Its
    /// attempts still count against it if it comes back in the same life.
    pub fn remove_target(&mut self, now: Moment, target: &Target) {
        let Some(slot) = self.slots.remove(target) else {
            return;
        };
        self.leave(&slot);
        let lost: Vec<(RequestId, u32)> = self
            .flights
            .iter()
            .filter(|(_, f)| f.target == *target)
            .map(|(key, _)| *key)
            .collect();
        for (id, attempt) in lost {
            self.conclude(
                now,
                id,
                attempt,
                target,
                slot.incarnation(),
                AttemptOutcome::Failed,
            );
        }
        for id in slot.queue.all() {
            self.refuse(now, id, Reason::NoOwner);
        }
        let service = slot.view.service;
        self.pump(now, &service);
        let empty = |g: &&Group| g.targets.is_empty();
        let waiting = self
            .groups
            .get(&service)
            .filter(empty)
            .map(|g| g.queue.all());
        for id in waiting.unwrap_or_default() {
            self.refuse(now, id, Reason::NoOwner);
        }
    }

    /// Takes in a request.
    pub fn submit(&mut self, now: Moment, arrival: Arrival) {
        let id = arrival.id;
        let service = arrival.service.clone();
        let selector = arrival.selector.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        let deadline = arrival.deadline;
        self.requests.insert(id, Request::new(arrival));
        self.timers.insert((deadline, id));
        if let Some(reason) = self.obstacle(now, id) {
            return self.refuse(now, id, reason);
        }
        let config = &self.config;
        let group = self.groups.entry(service.clone());
        let group = group.or_insert_with(|| Group::new(config));
        group.retries.earn();
        group.hedges.earn();
        self.enqueue(now, id);
        match selector {
            TargetSelector::Keyed(target) => self.pump_target(now, &target),
            TargetSelector::Pool => self.pump_pool(now, &service),
        }
    }

    /// Takes in how an attempt ended.
    pub fn finish_attempt(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
    ) {
        let Some(flight) = self.flights.remove(&(id, attempt)) else {
            return;
        };
        let service = self.land(now, &flight, outcome);
        self.conclude(
            now,
            id,
            attempt,
            &flight.target,
            flight.incarnation,
            outcome,
        );
        self.pump_target(now, &flight.target);
        if let Some(service) = service {
            self.pump_pool(now, &service);
        }
    }

    /// The caller left: nobody waits for the request any more. Its attempts are aborted.
    pub fn cancel(&mut self, now: Moment, id: RequestId) {
        let service = self.requests.get(&id).map(|r| r.arrival.service.clone());
        self.abort_live(id);
        self.forget(id);
        if let Some(service) = service {
            self.pump(now, &service);
        }
    }

    /// A request ran when a target of another home crashed: here it runs alone from now on.
    pub fn add_suspect(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.suspects.add(now, fingerprint);
    }

    /// Takes in a target's own account of its load.
    pub fn report_load(&mut self, now: Moment, target: &Target, running: u32) {
        let service = self.slots.get(target).map(|s| &s.view.service);
        if let Some(group) = service.and_then(|s| self.groups.get_mut(s)) {
            group.health.report(now, target, running);
        }
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Moment) {
        while let Some((at, id)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.due(now, id);
        }
        while let Some((at, target)) = self.holds.pop_first() {
            if at > now {
                self.holds.insert((at, target));
                break;
            }
            self.pump_target(now, &target);
        }
        let services: Vec<Service> = self.groups.keys().cloned().collect();
        for service in services {
            self.pump_pool(now, &service);
        }
    }

    /// When [`Dispatcher::tick`] has something to do, at the latest.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let hold = self.holds.first().map(|(at, _)| *at);
        timer.into_iter().chain(hold).min()
    }

    /// Refuses newcomers from now on; what waits or runs is finished.
    pub fn shutdown(&mut self) {
        self.closing = true;
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.flights.is_empty()
    }

    /// Whether the request waits and has not been sent; a request that waits can be cancelled and
    /// dispatched elsewhere.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| r.queued && !r.ran)
    }

    /// Takes the actions that have come up, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What each target carries.
    pub fn loads(&self) -> Vec<TargetLoad> {
        let slots = self.slots.iter();
        slots
            .filter_map(|(target, slot)| {
                let health = &self.groups.get(&slot.view.service)?.health;
                Some(TargetLoad {
                    target: target.clone(),
                    running: slot.running,
                    queued: slot.queue.len(),
                    limit: slot.limit.current(),
                    condition: health.condition(target),
                    slowness: health.slowness(target),
                })
            })
            .collect()
    }

    fn join(&mut self, now: Moment, view: &TargetView) {
        let config = &self.config;
        let group = self.groups.entry(view.service.clone());
        let group = group.or_insert_with(|| Group::new(config));
        group.targets.insert(view.target.clone());
        group.health.add(now, &view.target);
    }

    fn leave(&mut self, slot: &Slot) {
        if let Some(group) = self.groups.get_mut(&slot.view.service) {
            group.targets.remove(&slot.view.target);
            group.health.remove(&slot.view.target);
        }
    }

    /// Replaces a target by its next life.
    fn restart(&mut self, now: Moment, view: TargetView) {
        let target = view.target.clone();
        self.join(now, &view);
        let fresh = Slot::new(view, &self.config);
        let Some(old) = self.slots.insert(target.clone(), fresh) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&target) {
            slot.queue = old.queue;
            slot.pace = old.pace;
        }
        let lost: Vec<((RequestId, u32), Flight)> = self
            .flights
            .extract_if(.., |_, f| f.target == target)
            .collect();
        for ((id, attempt), flight) in lost {
            let life = flight.incarnation;
            self.conclude(now, id, attempt, &target, life, AttemptOutcome::Crashed);
        }
    }

    /// Counts the attempts that a target which comes back may still be running; those of another
    /// life are forgotten.
    fn inherit(&mut self, target: &Target, life: Incarnation, slot: &mut Slot) {
        self.flights
            .retain(|_, f| f.target != *target || f.incarnation == life);
        for flight in self.flights.values().filter(|f| f.target == *target) {
            slot.running += 1;
            slot.alone |= flight.alone;
        }
    }

    /// Takes an attempt off its target and learns from it; returns the target's service.
    fn land(&mut self, now: Moment, flight: &Flight, outcome: AttemptOutcome) -> Option<Service> {
        let slot = self.slots.get_mut(&flight.target)?;
        if slot.incarnation() != flight.incarnation {
            return None;
        }
        slot.running = slot.running.saturating_sub(1);
        slot.alone &= !flight.alone;
        slot.progress = now;
        let latency = now.since(flight.sent);
        let served = outcome == AttemptOutcome::Answered;
        match outcome {
            AttemptOutcome::Answered => {
                slot.limit.succeeded(now, flight.level, latency);
                slot.pace.observe(latency);
            }
            AttemptOutcome::Shed => slot.limit.shed(flight.level),
            AttemptOutcome::Failed | AttemptOutcome::Crashed => slot.limit.failed(),
            AttemptOutcome::NotSent | AttemptOutcome::Cancelled => (),
        }
        if matches!(
            outcome,
            AttemptOutcome::Shed | AttemptOutcome::NotSent | AttemptOutcome::Crashed
        ) {
            slot.hold = now + HOLD;
            self.holds.insert((slot.hold, flight.target.clone()));
        }
        let service = slot.view.service.clone();
        let group = self.groups.get_mut(&service)?;
        let target = &flight.target;
        group
            .health
            .ended(now, target, flight.sent, flight.serial, served);
        if served {
            group.pace.observe(latency);
        }
        Some(service)
    }

    /// Settles what an attempt's ending means for its request.
    fn conclude(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: u32,
        target: &Target,
        life: Incarnation,
        outcome: AttemptOutcome,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if outcome == AttemptOutcome::Answered {
            return self.deliver(id, attempt);
        }
        let Some(index) = request.live.iter().position(|a| *a == attempt) else {
            return;
        };
        request.live.remove(index);
        request.avoid = Some(target.clone());
        request.ran |= !matches!(outcome, AttemptOutcome::Shed | AttemptOutcome::NotSent);
        if outcome == AttemptOutcome::Crashed {
            request.crashes += 1;
            self.suspect(now, id, target, life);
        }
        self.again(now, id);
    }
}
