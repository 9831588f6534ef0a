//! Admission, queueing and refusal of requests.
//!
//! Estimates a request's wait from the queue length, the concurrency limits and past service times,
//! and refuses it at once if it cannot end before its deadline. Under overload this keeps targets
//! from running requests whose callers have given up, and sheds requests of low importance first.

use super::{
    Action, Dispatcher, QueueClass, RequestId, TargetSelector, queue::Queue, state::LatencyEstimate,
};
use crate::{
    moment::Moment,
    request::outcome::{Refusal, RefusalReason},
};
use rand::Rng;
use std::time::Duration;

/// Longest wait in the queue as a multiple of the upper bound of the service time, if that is
/// longer than the configured queue timeout.
const MAX_WAIT_FACTOR: u32 = 2;
/// Shortest delay after which a refused caller is told to retry, before jitter.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay after which a refused caller is told to retry, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Retry delay for a request without an owner.
const NO_OWNER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay during a shutdown, after which the caller uses another entry.
const SHUTDOWN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Expected wait and service time of a request in a queue.
#[derive(Debug, Clone, Copy)]
struct QueueEstimate {
    wait: Duration,
    /// Service time that nearly all requests stay below.
    service_bound: Duration,
    full: bool,
}

impl Dispatcher {
    /// Reason to refuse a new request before it is queued, if there is one.
    pub(super) fn refusal_on_arrival(&self, now: Moment, id: RequestId) -> Option<RefusalReason> {
        let request = self.requests.get(&id)?;
        if self.shutting_down {
            return Some(RefusalReason::Shutdown);
        }
        if now >= request.arrival.deadline {
            return Some(RefusalReason::Deadline);
        }
        let has_target = match &request.arrival.selector {
            TargetSelector::Keyed(target) => self.targets.contains_key(target),
            TargetSelector::Pool => self
                .pools
                .get(&request.arrival.service)
                .is_some_and(|p| !p.target_names.is_empty()),
        };
        (!has_target).then_some(RefusalReason::NoOwner)
    }

    /// Queues a request, or refuses it at once if the queue is full or too slow for it.
    pub(super) fn enqueue(&mut self, now: Moment, id: RequestId) {
        let Some(estimate) = self.estimate(now, id) else {
            return self.refuse(now, id, RefusalReason::NoOwner);
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = request.arrival.class();
        let latest_start = request.arrival.deadline - estimate.service_bound;
        let time_left = request.arrival.deadline.since(now);
        let late = estimate.wait + estimate.service_bound > time_left;
        let max_wait = self.max_wait(class, estimate.service_bound);
        let too_long = max_wait.is_some_and(|max| estimate.wait > max);
        if late || too_long || (estimate.full && !self.displace_last(now, id, class)) {
            return self.refuse(now, id, RefusalReason::Overload);
        }
        let latest_start = max_wait.map_or(latest_start, |max| latest_start.min(now + max));
        self.add_to_queue(id, class, latest_start);
        self.shed_late(now, id);
    }

    /// Longest time in the queue for a request of this class; `None` if only its deadline counts.
    fn max_wait(&self, class: QueueClass, service_bound: Duration) -> Option<Duration> {
        let max_wait = self
            .config
            .queue_timeout
            .max(service_bound * MAX_WAIT_FACTOR);
        (class != QueueClass::First).then_some(max_wait)
    }

    /// Adds a request to its queue and sets a timer for its latest useful start. A retry goes ahead
    /// of its class.
    fn add_to_queue(&mut self, id: RequestId, class: QueueClass, latest_start: Moment) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let is_retry = request.attempts > 0;
        request.queued = true;
        self.set_timer(id, Some(latest_start));
        if let Some(queue) = self.queue_mut(id) {
            match is_retry {
                true => queue.push_front(class, id),
                false => queue.push(class, id),
            }
        }
    }

    /// Sheds the last request of a full queue if its class comes after `class`; returns whether
    /// it did.
    fn displace_last(&mut self, now: Moment, id: RequestId, class: QueueClass) -> bool {
        let last = self.queue_mut(id).and_then(|q| q.last());
        let Some(last) = last.filter(|l| self.class(*l).is_some_and(|c| c > class)) else {
            return false;
        };
        self.refuse(now, last, RefusalReason::Overload);
        true
    }

    /// Sheds requests of later classes from the end of the queue that cannot end in time any more
    /// because `admitted` is served before them.
    fn shed_late(&mut self, now: Moment, admitted: RequestId) {
        while let Some(last) = self.queue_mut(admitted).and_then(|q| q.last())
            && last != admitted
            && self.class(last) > self.class(admitted)
            && let Some(estimate) = self.estimate(now, last)
            && let Some(request) = self.requests.get(&last)
            && estimate.wait + estimate.service_bound > request.arrival.deadline.since(now)
        {
            self.refuse(now, last, RefusalReason::Overload);
        }
    }

    pub(super) fn class(&self, id: RequestId) -> Option<QueueClass> {
        self.requests.get(&id).map(|r| r.arrival.class())
    }

    /// Handles an expired timer of the request: its deadline, its latest useful start or its hedge.
    pub(super) fn handle_timer(&mut self, now: Moment, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if now >= request.arrival.deadline {
            return self.refuse(now, id, RefusalReason::Deadline);
        }
        if request.timer.is_none_or(|at| at > now) {
            return;
        }
        let queued = request.queued;
        self.set_timer(id, None);
        match queued {
            true => self.refuse(now, id, RefusalReason::Overload),
            false => self.hedge(now, id),
        }
    }

    /// Refuses a request; this final answer states whether the request may have run.
    pub(super) fn refuse(&mut self, now: Moment, id: RequestId, reason: RefusalReason) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let maybe_ran = request.maybe_ran || !request.live_attempts.is_empty();
        let retry = self.retry_after(now, id, reason);
        let refusal = match maybe_ran {
            true => Refusal::unknown(reason, retry),
            false => Refusal::not_run(reason, retry),
        };
        self.abort_attempts(id);
        self.remove_request(id);
        self.actions.push(Action::Refuse { id, refusal });
    }

    /// Delay until the queue is expected to accept the request, with jitter so that refused callers
    /// do not all retry at once.
    fn retry_after(&mut self, now: Moment, id: RequestId, reason: RefusalReason) -> Duration {
        let base = match reason {
            RefusalReason::Shutdown => SHUTDOWN_RETRY_DELAY,
            RefusalReason::NoOwner => NO_OWNER_RETRY_DELAY,
            _ => self.drain_time(now, id),
        };
        let jitter = self.rng.random_range(1.0..1.5);
        base.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY).mul_f64(jitter)
    }

    /// Time until the request could end within the time it has left, at least half of its wait.
    fn drain_time(&self, now: Moment, id: RequestId) -> Duration {
        let Some(estimate) = self.estimate(now, id) else {
            return NO_OWNER_RETRY_DELAY;
        };
        let time_left = self
            .requests
            .get(&id)
            .map(|r| r.arrival.deadline.since(now));
        let excess =
            (estimate.wait + estimate.service_bound).saturating_sub(time_left.unwrap_or_default());
        excess.max(estimate.wait / 2)
    }

    /// Removes a request that needs no answer any more; its attempts stay in flight until they end.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        self.remove_from_queue(id);
        self.set_timer(id, None);
        if let Some(request) = self.requests.remove(&id) {
            self.timers.remove(&(request.arrival.deadline, id));
        }
    }

    /// Removes a request from its queue, if it waits in one.
    pub(super) fn remove_from_queue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.queued) else {
            return;
        };
        request.queued = false;
        let class = request.arrival.class();
        if let Some(queue) = self.queue_mut(id) {
            queue.remove(class, id);
        }
    }

    /// Aborts the request's attempts that have not ended.
    pub(super) fn abort_attempts(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        for attempt in std::mem::take(&mut request.live_attempts) {
            self.actions.push(Action::Abort { id, attempt });
        }
    }

    /// Sets or clears the timer of a request; a time at or after its deadline clears it.
    pub(super) fn set_timer(&mut self, id: RequestId, at: Option<Moment>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let deadline = request.arrival.deadline;
        let at = at.filter(|at| *at < deadline);
        if let Some(old) = std::mem::replace(&mut request.timer, at) {
            self.timers.remove(&(old, id));
        }
        if let Some(at) = at {
            self.timers.insert((at, id));
        }
    }

    fn queue_mut(&mut self, id: RequestId) -> Option<&mut Queue> {
        let arrival = &self.requests.get(&id)?.arrival;
        match &arrival.selector {
            TargetSelector::Keyed(target) => self.targets.get_mut(target).map(|s| &mut s.queue),
            TargetSelector::Pool => self.pools.get_mut(&arrival.service).map(|p| &mut p.queue),
        }
    }

    /// Expected wait and service time of a request in its queue; `None` if its service or target is
    /// unknown. If a target at its limit makes no progress, the time since its last progress is
    /// added to the wait.
    fn estimate(&self, now: Moment, id: RequestId) -> Option<QueueEstimate> {
        let arrival = &self.requests.get(&id)?.arrival;
        let pool = self.pools.get(&arrival.service)?;
        let class = arrival.class();
        match &arrival.selector {
            TargetSelector::Keyed(target) => {
                let state = self.targets.get(target)?;
                let service_time = match state.service_time.has_samples() {
                    true => &state.service_time,
                    false => &pool.service_time,
                };
                let capacity = state.limit.current();
                let mut estimate =
                    self.estimate_queue(&state.queue, class, service_time, capacity, state.running);
                if state.running >= capacity && service_time.has_samples() {
                    estimate.wait += state.stall_time(now, estimate.service_bound);
                }
                Some(estimate)
            }
            TargetSelector::Pool => {
                let usable = self.usable_targets(pool);
                let capacity = usable.iter().map(|s| s.limit.current()).sum();
                let running = usable.iter().map(|s| s.running).sum();
                Some(self.estimate_queue(&pool.queue, class, &pool.service_time, capacity, running))
            }
        }
    }

    /// Estimate for a request of `class` behind those that are served before it, when `capacity`
    /// requests run at a time and `running` do now.
    fn estimate_queue(
        &self,
        queue: &Queue,
        class: QueueClass,
        service_time: &LatencyEstimate,
        capacity: u32,
        running: u32,
    ) -> QueueEstimate {
        let ahead = queue.count_ahead(class);
        let busy = running >= capacity || ahead > 0;
        let rounds = match busy {
            true => (ahead + 1) as f64 / f64::from(capacity.max(1)),
            false => 0.0,
        };
        QueueEstimate {
            wait: service_time.mean().mul_f64(rounds),
            service_bound: service_time.upper_bound(),
            full: queue.len() >= self.config.queue_capacity,
        }
    }
}
