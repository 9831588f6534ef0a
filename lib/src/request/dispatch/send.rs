//! Choice of a target, sending, retries and hedges.
//!
//! Requests are sent from the queues as far as the concurrency limits allow. In a pool, the choice
//! weighs each target's load, slowness and zone, so that slow targets get fewer requests.
//! Retries and hedges are limited by budgets, so that they do not amplify an overload.

use super::{
    Action, Dispatcher, InFlight, PoolPolicy, RequestId, TargetSelector, TargetState,
    state::TargetPool,
};
use crate::{
    connection::health::Condition,
    moment::Moment,
    name::{Incarnation, Service, Target},
    request::outcome::RefusalReason,
};
use rand::{Rng, seq::IteratorRandom};

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Target crashes after which a request is still retried.
const MAX_CRASH_RETRIES: u32 = 1;
/// Added cost of a target in another zone, on a scale where a target at its limit costs 1 more than
/// an idle one.
const CROSS_ZONE_COST: f64 = 1.0;
/// Upper end of the random cost that breaks ties.
const MAX_TIE_COST: f64 = 0.01;

impl Dispatcher {
    /// Sends requests from all queues of the service as far as the limits allow.
    pub(super) fn serve_queues(&mut self, now: Moment, service: &Service) {
        let names = self.pools.get(service).map(|p| p.target_names.clone());
        for target in names.iter().flatten() {
            self.serve_target_queue(now, target);
        }
        self.serve_pool_queue(now, service);
    }

    /// Sends requests that wait for this target. A suspect waits until the target is idle.
    pub(super) fn serve_target_queue(&mut self, now: Moment, target: &Target) {
        while let Some(state) = self.targets.get(target).filter(|s| s.has_capacity(now))
            && let Some(id) = state.queue.first()
            && (state.running == 0 || !self.is_suspect(now, id))
        {
            self.send_from_queue(now, id, target);
        }
    }

    /// Sends requests that wait for any target of the service.
    pub(super) fn serve_pool_queue(&mut self, now: Moment, service: &Service) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.health.evaluate(now);
        }
        while let Some(id) = self.pools.get(service).and_then(|p| p.queue.first())
            && let Some(target) = self.choose_target(now, id)
        {
            match self.is_suspect(now, id) {
                true => self.isolate_suspect(now, id, &target),
                false => self.send_from_queue(now, id, &target),
            }
        }
    }

    fn is_suspect(&self, now: Moment, id: RequestId) -> bool {
        let request = self.requests.get(&id);
        let fingerprint = request.and_then(|r| r.arrival.fingerprint);
        fingerprint.is_some_and(|f| self.suspects.contains(now, f))
    }

    /// Moves a suspect from the pool's queue to that of one target, where it waits until the target
    /// is idle.
    fn isolate_suspect(&mut self, now: Moment, id: RequestId, target: &Target) {
        self.remove_from_queue(id);
        let (Some(request), Some(state)) =
            (self.requests.get_mut(&id), self.targets.get_mut(target))
        else {
            return;
        };
        request.arrival.selector = TargetSelector::Keyed(target.clone());
        request.queued = true;
        state.queue.push_front(request.arrival.class(), id);
        self.serve_target_queue(now, target);
    }

    /// Sends a request from its queue, or refuses it if its latest useful start has passed.
    fn send_from_queue(&mut self, now: Moment, id: RequestId, target: &Target) {
        let late = self
            .requests
            .get(&id)
            .and_then(|r| r.timer)
            .is_some_and(|latest_start| latest_start <= now);
        if late {
            return self.refuse(now, id, RefusalReason::Overload);
        }
        self.remove_from_queue(id);
        self.send_attempt(now, id, target);
    }

    /// Sends an attempt of the request to a target and sets the timer for a hedge.
    fn send_attempt(&mut self, now: Moment, id: RequestId, target: &Target) {
        let exclusive = self.is_suspect(now, id);
        let (Some(request), Some(state)) =
            (self.requests.get_mut(&id), self.targets.get_mut(target))
        else {
            return;
        };
        state.running += 1;
        state.exclusive = exclusive;
        state.last_progress = now;
        self.serial += 1;
        request.attempts += 1;
        let attempt = request.attempts;
        request.live_attempts.push(attempt);
        let record = InFlight {
            target: target.clone(),
            incarnation: state.incarnation(),
            sent_at: now,
            level: state.running,
            exclusive,
            serial: self.serial,
        };
        self.in_flight.insert((id, attempt), record);
        let may_hedge =
            request.arrival.selector == TargetSelector::Pool && request.arrival.may_repeat();
        let service = request.arrival.service.clone();
        self.actions.push(Action::Send {
            id,
            attempt,
            target: target.clone(),
        });
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        pool.health.record_sent(now, target, self.serial);
        let hedge_delay = pool.health.tail().filter(|_| may_hedge && attempt < 2);
        self.set_timer(id, hedge_delay.map(|t| now + t));
    }

    /// Target for a request that any target of the service may serve, if one has capacity now.
    /// A repeatable request first serves as a probe of an ejected target that is due for one.
    /// Otherwise ejected targets are eligible only if no other target is usable.
    fn choose_target(&mut self, now: Moment, id: RequestId) -> Option<Target> {
        let request = self.requests.get(&id)?;
        let pool = self.pools.get(&request.arrival.service)?;
        let avoided = request
            .avoided
            .as_ref()
            .filter(|_| pool.target_names.len() > 1);
        let available: Vec<&TargetState> = pool
            .target_names
            .iter()
            .filter(|t| Some(*t) != avoided)
            .filter_map(|t| self.targets.get(t))
            .filter(|s| s.has_capacity(now) && s.queue.len() == 0)
            .collect();
        if self.config.policy == PoolPolicy::TwoChoices {
            let candidates = available.into_iter().choose_multiple(&mut self.rng, 2);
            let least_loaded = candidates.into_iter().min_by_key(|s| s.running)?;
            return Some(least_loaded.view.target.clone());
        }
        let may_probe = request.arrival.may_repeat() && request.live_attempts.is_empty();
        let needs_probe =
            |s: &&&TargetState| may_probe && pool.health.probe_due(now, &s.view.target);
        if let Some(state) = available.iter().find(needs_probe) {
            return Some(state.view.target.clone());
        }
        let none_usable = self.usable_targets(pool).is_empty();
        let rng = &mut self.rng;
        let zone = &self.config.zone;
        available
            .into_iter()
            .filter(|s| none_usable || !is_ejected(pool, s))
            .map(|s| {
                (
                    cost(now, pool, s, s.is_in_zone(zone)) + rng.random_range(0.0..MAX_TIE_COST),
                    s,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, s)| s.view.target.clone())
    }

    /// Targets of a pool that are enabled and not ejected.
    pub(super) fn usable_targets(&self, pool: &TargetPool) -> Vec<&TargetState> {
        let targets = pool.target_names.iter().filter_map(|t| self.targets.get(t));
        targets
            .filter(|s| s.view.enabled && !is_ejected(pool, s))
            .collect()
    }

    /// Sends a request without a timely answer to a second target if nothing waits for the pool and
    /// the budget allows; otherwise sets the timer again.
    pub(super) fn hedge(&mut self, now: Moment, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let service = request.arrival.service.clone();
        let &[attempt] = request.live_attempts.as_slice() else {
            return;
        };
        let first_target = self.in_flight.get(&(id, attempt)).map(|f| f.target.clone());
        let queue_empty = self.pools.get(&service).is_some_and(|p| p.queue.len() == 0);
        if let Some(request) = self.requests.get_mut(&id) {
            request.avoided = first_target;
        }
        let target = self.choose_target(now, id).filter(|_| queue_empty);
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        match target {
            Some(target) if pool.hedges.try_withdraw() => self.send_attempt(now, id, &target),
            _ => {
                let next_check = pool.health.tail().map(|t| now + t);
                self.set_timer(id, next_check);
            }
        }
    }

    /// Queues a request for a retry after its last attempt in flight ended without an answer, or
    /// refuses it.
    pub(super) fn retry_or_refuse(&mut self, now: Moment, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.live_attempts.is_empty() {
            return;
        }
        let safe_to_repeat = !request.maybe_ran || request.arrival.may_repeat();
        let exhausted = request.attempts >= MAX_ATTEMPTS || request.crashes > MAX_CRASH_RETRIES;
        let reason = match request.maybe_ran {
            true => RefusalReason::TargetFailed,
            false => RefusalReason::Overload,
        };
        let service = request.arrival.service.clone();
        let late = now >= request.arrival.deadline;
        let allowed = safe_to_repeat && !exhausted && !late;
        let pool = self.pools.get_mut(&service);
        match pool.is_some_and(|p| allowed && p.retries.try_withdraw()) {
            true => self.enqueue(now, id),
            false => self.refuse(now, id, reason),
        }
    }

    /// Delivers an attempt's answer as the final one and aborts the other attempts.
    pub(super) fn deliver(&mut self, id: RequestId, attempt: u32) {
        self.actions.push(Action::Deliver { id, attempt });
        if let Some(request) = self.requests.get_mut(&id) {
            request.live_attempts.retain(|a| *a != attempt);
            let fingerprint = request.arrival.fingerprint;
            if let Some(fingerprint) = fingerprint {
                self.suspects.clear(fingerprint);
            }
        }
        self.abort_attempts(id);
        self.remove_request(id);
    }

    /// Marks the request as a suspect and reports the crash of the target that ran it.
    pub(super) fn report_crash(
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

fn is_ejected(pool: &TargetPool, state: &TargetState) -> bool {
    pool.health.condition(&state.view.target) == Condition::Ejected
}

/// Cost of one more request at a target: its slowness times one plus its load relative to its
/// limit, plus the cost of another zone.
fn cost(now: Moment, pool: &TargetPool, state: &TargetState, same_zone: bool) -> f64 {
    let target = &state.view.target;
    let load = pool.health.load(now, target) / f64::from(state.limit.current());
    let slowness = match pool.health.condition(target) {
        Condition::Healthy => 1.0,
        _ => pool.health.slowness(target),
    };
    let zone = match same_zone {
        true => 0.0,
        false => CROSS_ZONE_COST,
    };
    slowness * (1.0 + load) + zone
}
