//! Dispatches requests to the targets that an entry is the home of.
//!
//! A [`Dispatcher`] decides for all targets of a home when a request is sent and to which target,
//! which requests wait, which are refused at once and whether those may have run, and which are
//! retried or hedged. Its inputs are the requests, the entry's view of the targets, and the
//! outcomes and latencies of attempts. Under overload it sheds requests of low importance first;
//! targets that are slow, cold or stalled get fewer requests. A request gets exactly one final
//! action, [`Action::Deliver`] or [`Action::Refuse`], no later than the first [`Dispatcher::tick`]
//! at or after its deadline, unless it is cancelled.
//!
//! An attempt counts against its target's capacity until the entry reports its outcome, even after
//! an [`Action::Abort`], because the target may run it until then. Duplicate and late reports are
//! ignored.

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
    request::outcome::RefusalReason,
    version::command::Fingerprint,
};
use model::QueueClass;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use state::{InFlight, Request, TargetPool, TargetState};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use suspects::Suspects;

/// Time without new requests for a target that shed a request, could not be reached or crashed.
const TARGET_BACKOFF: Duration = Duration::from_millis(20);

/// Queues, concurrency limits and budgets of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    config: DispatchConfig,
    rng: ChaCha8Rng,
    targets: BTreeMap<Target, TargetState>,
    pools: BTreeMap<Service, TargetPool>,
    requests: BTreeMap<RequestId, Request>,
    /// Attempts that have not ended, by request and number of the attempt.
    in_flight: BTreeMap<(RequestId, u32), InFlight>,
    /// Deadlines of all requests, and their timers.
    timers: BTreeSet<(Moment, RequestId)>,
    /// Ends of the targets' backoffs.
    backoffs: BTreeSet<(Moment, Target)>,
    suspects: Suspects,
    actions: Vec<Action>,
    /// Serial number of the latest attempt.
    serial: u64,
    shutting_down: bool,
}

impl Dispatcher {
    /// Dispatcher without targets.
    pub fn new(config: DispatchConfig) -> Self {
        Dispatcher {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            targets: BTreeMap::new(),
            pools: BTreeMap::new(),
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            timers: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            suspects: Suspects::default(),
            actions: Vec::new(),
            serial: 0,
            shutting_down: false,
        }
    }

    /// Adds a target or applies a change of it. A new incarnation starts with fresh limits: the
    /// attempts of the old one count as crashed, and its queue and service time estimate are kept.
    pub fn upsert_target(&mut self, now: Moment, view: TargetView) {
        let target = view.target.clone();
        let service = view.service.clone();
        match self.targets.get_mut(&target) {
            Some(state)
                if state.incarnation() == view.incarnation && state.view.service == service =>
            {
                state.update(view, &self.config);
            }
            Some(_) => self.restart_target(now, view),
            None => {
                self.add_to_pool(now, &view);
                let incarnation = view.incarnation;
                let mut state = TargetState::new(view, &self.config);
                self.restore_in_flight(&target, incarnation, &mut state);
                self.targets.insert(target, state);
            }
        }
        self.serve_queues(now, &service);
    }

    /// Removes a target. Its attempts in flight count as failed and may have run; requests that
    /// wait for it are refused, as not run unless an earlier attempt may have run. If it returns in
    /// the same incarnation, the attempts still in flight count against its capacity. Once the
    /// service has no target left, requests that wait for any of its targets are refused too.
    pub fn remove_target(&mut self, now: Moment, target: &Target) {
        let Some(state) = self.targets.remove(target) else {
            return;
        };
        self.remove_from_pool(&state);
        let lost: Vec<(RequestId, u32)> = self
            .in_flight
            .iter()
            .filter(|(_, f)| f.target == *target)
            .map(|(key, _)| *key)
            .collect();
        for (id, attempt) in lost {
            self.apply_outcome(
                now,
                id,
                attempt,
                target,
                state.incarnation(),
                AttemptOutcome::Failed,
            );
        }
        for id in state.queue.all() {
            self.refuse(now, id, RefusalReason::NoOwner);
        }
        let service = state.view.service;
        self.serve_queues(now, &service);
        let no_targets = |p: &&TargetPool| p.target_names.is_empty();
        let waiting = self
            .pools
            .get(&service)
            .filter(no_targets)
            .map(|p| p.queue.all());
        for id in waiting.unwrap_or_default() {
            self.refuse(now, id, RefusalReason::NoOwner);
        }
    }

    /// Accepts a new request: sends it, queues it or refuses it. An id that is already known is
    /// ignored.
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
        if let Some(reason) = self.refusal_on_arrival(now, id) {
            return self.refuse(now, id, reason);
        }
        let config = &self.config;
        let pool = self.pools.entry(service.clone());
        let pool = pool.or_insert_with(|| TargetPool::new(config));
        pool.retries.deposit();
        pool.hedges.deposit();
        self.enqueue(now, id);
        match selector {
            TargetSelector::Keyed(target) => self.serve_target_queue(now, &target),
            TargetSelector::Pool => self.serve_pool_queue(now, &service),
        }
    }

    /// Records how an attempt ended.
    pub fn finish_attempt(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
    ) {
        let Some(record) = self.in_flight.remove(&(id, attempt)) else {
            return;
        };
        let service = self.record_outcome(now, &record, outcome);
        self.apply_outcome(
            now,
            id,
            attempt,
            &record.target,
            record.incarnation,
            outcome,
        );
        self.serve_target_queue(now, &record.target);
        if let Some(service) = service {
            self.serve_pool_queue(now, &service);
        }
    }

    /// Drops a request whose caller no longer waits, and aborts its attempts.
    pub fn cancel(&mut self, now: Moment, id: RequestId) {
        let service = self.requests.get(&id).map(|r| r.arrival.service.clone());
        self.abort_attempts(id);
        self.remove_request(id);
        if let Some(service) = service {
            self.serve_queues(now, &service);
        }
    }

    /// Marks a request as a suspect because a target of another home crashed while running it.
    pub fn add_suspect(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.suspects.add(now, fingerprint);
    }

    /// Records the number of requests that a target itself reports to run.
    pub fn report_load(&mut self, now: Moment, target: &Target, running: u32) {
        let service = self.targets.get(target).map(|s| &s.view.service);
        if let Some(pool) = service.and_then(|s| self.pools.get_mut(s)) {
            pool.health.record_report(now, target, running);
        }
    }

    /// Handles timers and backoffs that have expired, and sends what waits for a pool.
    pub fn tick(&mut self, now: Moment) {
        while let Some((at, id)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.handle_timer(now, id);
        }
        while let Some((at, target)) = self.backoffs.pop_first() {
            if at > now {
                self.backoffs.insert((at, target));
                break;
            }
            self.serve_target_queue(now, &target);
        }
        let services: Vec<Service> = self.pools.keys().cloned().collect();
        for service in services {
            self.serve_pool_queue(now, &service);
        }
    }

    /// Latest time for the next [`Dispatcher::tick`]; `None` if no timer or backoff is pending.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let backoff = self.backoffs.first().map(|(at, _)| *at);
        timer.into_iter().chain(backoff).min()
    }

    /// Refuses new requests from now on; requests that wait or run are completed.
    pub fn shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Whether no request is open and no attempt is in flight.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.in_flight.is_empty()
    }

    /// Whether the request is queued and cannot have run, so that it can be cancelled here and
    /// dispatched by another entry.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|r| r.queued && !r.maybe_ran)
    }

    /// Removes and returns the pending actions in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Load and health of each target.
    pub fn loads(&self) -> Vec<TargetLoad> {
        let targets = self.targets.iter();
        targets
            .filter_map(|(target, state)| {
                let health = &self.pools.get(&state.view.service)?.health;
                Some(TargetLoad {
                    target: target.clone(),
                    running: state.running,
                    queued: state.queue.len(),
                    limit: state.limit.current(),
                    condition: health.condition(target),
                    slowness: health.slowness(target),
                })
            })
            .collect()
    }

    fn add_to_pool(&mut self, now: Moment, view: &TargetView) {
        let config = &self.config;
        let pool = self.pools.entry(view.service.clone());
        let pool = pool.or_insert_with(|| TargetPool::new(config));
        pool.target_names.insert(view.target.clone());
        pool.health.add(now, &view.target);
    }

    fn remove_from_pool(&mut self, state: &TargetState) {
        if let Some(pool) = self.pools.get_mut(&state.view.service) {
            pool.target_names.remove(&state.view.target);
            pool.health.remove(&state.view.target);
        }
    }

    /// Replaces a target by its next incarnation.
    fn restart_target(&mut self, now: Moment, view: TargetView) {
        let target = view.target.clone();
        self.add_to_pool(now, &view);
        let new_state = TargetState::new(view, &self.config);
        let Some(old) = self.targets.insert(target.clone(), new_state) else {
            return;
        };
        if let Some(state) = self.targets.get_mut(&target) {
            state.queue = old.queue;
            state.service_time = old.service_time;
        }
        let lost: Vec<((RequestId, u32), InFlight)> = self
            .in_flight
            .extract_if(.., |_, f| f.target == target)
            .collect();
        for ((id, attempt), record) in lost {
            let incarnation = record.incarnation;
            self.apply_outcome(
                now,
                id,
                attempt,
                &target,
                incarnation,
                AttemptOutcome::Crashed,
            );
        }
    }

    /// Counts the attempts that a returning target may still be running, and discards those of
    /// other incarnations.
    fn restore_in_flight(
        &mut self,
        target: &Target,
        incarnation: Incarnation,
        state: &mut TargetState,
    ) {
        self.in_flight
            .retain(|_, f| f.target != *target || f.incarnation == incarnation);
        for record in self.in_flight.values().filter(|f| f.target == *target) {
            state.running += 1;
            state.exclusive |= record.exclusive;
        }
    }

    /// Releases the target's capacity and updates its limit, backoff and health. Returns the
    /// target's service, or `None` if that incarnation is gone.
    fn record_outcome(
        &mut self,
        now: Moment,
        record: &InFlight,
        outcome: AttemptOutcome,
    ) -> Option<Service> {
        let state = self.targets.get_mut(&record.target)?;
        if state.incarnation() != record.incarnation {
            return None;
        }
        state.running = state.running.saturating_sub(1);
        state.exclusive &= !record.exclusive;
        state.last_progress = now;
        let latency = now.since(record.sent_at);
        let answered = outcome == AttemptOutcome::Answered;
        match outcome {
            AttemptOutcome::Answered => {
                state.limit.record_success(now, record.level, latency);
                state.service_time.add_sample(latency);
            }
            AttemptOutcome::Shed => state.limit.record_shed(record.level),
            AttemptOutcome::Failed | AttemptOutcome::Crashed => state.limit.record_failure(),
            AttemptOutcome::NotSent | AttemptOutcome::Cancelled => (),
        }
        if matches!(
            outcome,
            AttemptOutcome::Shed | AttemptOutcome::NotSent | AttemptOutcome::Crashed
        ) {
            state.backoff_until = now + TARGET_BACKOFF;
            self.backoffs
                .insert((state.backoff_until, record.target.clone()));
        }
        let service = state.view.service.clone();
        let pool = self.pools.get_mut(&service)?;
        let target = &record.target;
        pool.health
            .record_ended(now, target, record.sent_at, record.serial, answered);
        if answered {
            pool.service_time.add_sample(latency);
        }
        Some(service)
    }

    /// Applies the outcome of an attempt to its request: delivers, retries or refuses.
    fn apply_outcome(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: u32,
        target: &Target,
        incarnation: Incarnation,
        outcome: AttemptOutcome,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if outcome == AttemptOutcome::Answered {
            return self.deliver(id, attempt);
        }
        let Some(index) = request.live_attempts.iter().position(|a| *a == attempt) else {
            return;
        };
        request.live_attempts.remove(index);
        request.avoided = Some(target.clone());
        request.maybe_ran |= !matches!(outcome, AttemptOutcome::Shed | AttemptOutcome::NotSent);
        if outcome == AttemptOutcome::Crashed {
            request.crashes += 1;
            self.report_crash(now, id, target, incarnation);
        }
        self.retry_or_refuse(now, id);
    }
}
