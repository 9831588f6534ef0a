//! Admission, waiting and refusal.

use super::{Action, Dispatcher, Rank, RequestId, TargetSelector, queue::Queue, state::Pace};
use crate::{
    moment::Moment,
    request::outcome::{Reason, Refusal},
};
use rand::Rng;
use std::time::Duration;

/// Turns of service that a request may wait for, if that is longer than the configured wait.
const PATIENT_TURNS: u32 = 2;
/// Shortest time after which a caller may come back.
const RETRY_LEAST: Duration = Duration::from_millis(50);
/// Longest time after which a caller may come back.
const RETRY_MOST: Duration = Duration::from_secs(10);
/// When a caller may come back whose key has no owner.
const RETRY_OWNER: Duration = Duration::from_millis(250);
/// When a caller may come back to another entry while this one shuts down.
const RETRY_SHUTDOWN: Duration = Duration::from_millis(50);

/// What a queue promises a newcomer.
#[derive(Debug, Clone, Copy)]
struct Outlook {
    wait: Duration,
    bound: Duration,
    full: bool,
}

impl Dispatcher {
    /// Reason to refuse a request before it waits, if there is one.
    pub(super) fn obstacle(&self, now: Moment, id: RequestId) -> Option<Reason> {
        let request = self.requests.get(&id)?;
        if self.closing {
            return Some(Reason::Shutdown);
        }
        if now >= request.arrival.deadline {
            return Some(Reason::Deadline);
        }
        let known = match &request.arrival.selector {
            TargetSelector::Keyed(target) => self.slots.contains_key(target),
            TargetSelector::Pool => self
                .groups
                .get(&request.arrival.service)
                .is_some_and(|g| !g.targets.is_empty()),
        };
        (!known).then_some(Reason::NoOwner)
    }

    /// Lets a request wait, or refuses it at once if it cannot end in time.
    pub(super) fn enqueue(&mut self, now: Moment, id: RequestId) {
        let Some(outlook) = self.outlook(now, id) else {
            return self.refuse(now, id, Reason::NoOwner);
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let rank = request.arrival.rank();
        let latest = request.arrival.deadline - outlook.bound;
        let left = request.arrival.deadline.since(now);
        let late = outlook.wait + outlook.bound > left;
        let patience = self.patience(rank, outlook.bound);
        let long = patience.is_some_and(|p| outlook.wait > p);
        if late || long || (outlook.full && !self.displace(now, id, rank)) {
            return self.refuse(now, id, Reason::Overload);
        }
        let latest = patience.map_or(latest, |p| latest.min(now + p));
        self.wait_in_line(id, rank, latest);
        self.trim(now, id);
    }

    /// Longest time that a request of this rank waits, if not for its deadline alone.
    fn patience(&self, rank: Rank, bound: Duration) -> Option<Duration> {
        let patience = self.config.queue_timeout.max(bound * PATIENT_TURNS);
        (rank != Rank::First).then_some(patience)
    }

    /// Puts a request in its queue, with a timer for its latest useful start.
    fn wait_in_line(&mut self, id: RequestId, rank: Rank, latest: Moment) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let retried = request.attempts > 0;
        request.queued = true;
        self.set_timer(id, Some(latest));
        if let Some(queue) = self.queue_mut(id) {
            match retried {
                true => queue.push_front(rank, id),
                false => queue.push(rank, id),
            }
        }
    }

    /// Makes room in a full queue by shedding its last request, if that has a lower rank.
    fn displace(&mut self, now: Moment, id: RequestId, rank: Rank) -> bool {
        let last = self.queue_mut(id).and_then(|q| q.last());
        let Some(last) = last.filter(|l| self.rank(*l).is_some_and(|r| r > rank)) else {
            return false;
        };
        self.refuse(now, last, Reason::Overload);
        true
    }

    /// Sheds from the end of the line what can no longer end in time behind a newcomer.
    fn trim(&mut self, now: Moment, newcomer: RequestId) {
        while let Some(last) = self.queue_mut(newcomer).and_then(|q| q.last())
            && last != newcomer
            && self.rank(last) > self.rank(newcomer)
            && let Some(outlook) = self.outlook(now, last)
            && let Some(request) = self.requests.get(&last)
            && outlook.wait + outlook.bound > request.arrival.deadline.since(now)
        {
            self.refuse(now, last, Reason::Overload);
        }
    }

    pub(super) fn rank(&self, id: RequestId) -> Option<Rank> {
        self.requests.get(&id).map(|r| r.arrival.rank())
    }

    /// A timer of the request fired: its deadline, its latest useful start or its hedge.
    pub(super) fn due(&mut self, now: Moment, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if now >= request.arrival.deadline {
            return self.refuse(now, id, Reason::Deadline);
        }
        if request.timer.is_none_or(|at| at > now) {
            return;
        }
        let queued = request.queued;
        self.set_timer(id, None);
        match queued {
            true => self.refuse(now, id, Reason::Overload),
            false => self.hedge(now, id),
        }
    }

    /// Refuses a request for good, with the truth about whether it can have run.
    pub(super) fn refuse(&mut self, now: Moment, id: RequestId, reason: Reason) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let ran = request.ran || !request.live.is_empty();
        let retry = self.retry_after(now, id, reason);
        let refusal = match ran {
            true => Refusal::unknown(reason, retry),
            false => Refusal::not_run(reason, retry),
        };
        self.abort_live(id);
        self.forget(id);
        self.actions.push(Action::Refuse { id, refusal });
    }

    /// When the caller may come back: when the queue would take it, spread to avoid a rush.
    fn retry_after(&mut self, now: Moment, id: RequestId, reason: Reason) -> Duration {
        let base = match reason {
            Reason::Shutdown => RETRY_SHUTDOWN,
            Reason::NoOwner => RETRY_OWNER,
            _ => self.drain_time(now, id),
        };
        let spread = self.rng.random_range(1.0..1.5);
        base.clamp(RETRY_LEAST, RETRY_MOST).mul_f64(spread)
    }

    /// Time until half of the line ahead has gone.
    fn drain_time(&self, now: Moment, id: RequestId) -> Duration {
        let Some(outlook) = self.outlook(now, id) else {
            return RETRY_OWNER;
        };
        let left = self
            .requests
            .get(&id)
            .map(|r| r.arrival.deadline.since(now));
        let excess = (outlook.wait + outlook.bound).saturating_sub(left.unwrap_or_default());
        excess.max(outlook.wait / 2)
    }

    /// Forgets a request that has its final answer; its attempts stay until they end.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.leave_line(id);
        self.set_timer(id, None);
        if let Some(request) = self.requests.remove(&id) {
            self.timers.remove(&(request.arrival.deadline, id));
        }
    }

    /// Takes a request out of its queue.
    pub(super) fn leave_line(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.queued) else {
            return;
        };
        request.queued = false;
        let rank = request.arrival.rank();
        if let Some(queue) = self.queue_mut(id) {
            queue.remove(rank, id);
        }
    }

    /// Aborts what targets still run of a request.
    pub(super) fn abort_live(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        for attempt in std::mem::take(&mut request.live) {
            self.actions.push(Action::Abort { id, attempt });
        }
    }

    /// Sets the timer of a request beside its deadline.
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
            TargetSelector::Keyed(target) => self.slots.get_mut(target).map(|s| &mut s.queue),
            TargetSelector::Pool => self.groups.get_mut(&arrival.service).map(|g| &mut g.queue),
        }
    }

    /// Expected wait and run of a request in its queue.
    fn outlook(&self, now: Moment, id: RequestId) -> Option<Outlook> {
        let arrival = &self.requests.get(&id)?.arrival;
        let group = self.groups.get(&arrival.service)?;
        let rank = arrival.rank();
        match &arrival.selector {
            TargetSelector::Keyed(target) => {
                let slot = self.slots.get(target)?;
                let pace = match slot.pace.known() {
                    true => &slot.pace,
                    false => &group.pace,
                };
                let room = slot.limit.current();
                let mut outlook = self.forecast(&slot.queue, rank, pace, room, slot.running);
                if slot.running >= room && pace.known() {
                    outlook.wait += slot.stall(now, outlook.bound);
                }
                Some(outlook)
            }
            TargetSelector::Pool => {
                let usable = self.usable(group);
                let room = usable.iter().map(|s| s.limit.current()).sum();
                let running = usable.iter().map(|s| s.running).sum();
                Some(self.forecast(&group.queue, rank, &group.pace, room, running))
            }
        }
    }

    /// Wait behind `ahead` others while `room` requests run at a time.
    fn forecast(&self, queue: &Queue, rank: Rank, pace: &Pace, room: u32, running: u32) -> Outlook {
        let ahead = queue.ahead(rank);
        let busy = running >= room || ahead > 0;
        let turns = match busy {
            true => (ahead + 1) as f64 / f64::from(room.max(1)),
            false => 0.0,
        };
        Outlook {
            wait: pace.mean().mul_f64(turns),
            bound: pace.bound(),
            full: queue.len() >= self.config.queue_capacity,
        }
    }
}
