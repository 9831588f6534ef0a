//! Permits of the leader for targets that have named a limit.
//!
//! A target names its limit in answers to one entry or another; the limit counts the requests of all
//! entries together. The leader collects the limits, tells all entries of them, and gives out permits
//! at the rate of the limit, whichever entry asks. Unlike equal parts, that leaves no part of the
//! limit to entries without callers, however few or many entries there are.
//!
//! Answers arrive in another order than they were given: one without a limit, or with a higher one,
//! replaces a limit only if its request was sent after the latest answer that named that limit.
//!
//! Load pattern: a target gets several times what it can take, from entries with uneven demand.
//! Requests of the lowest priority leave the last permit to others.

use crate::{moment::Moment, version::catalog::TargetId};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, time::Duration};

/// Slowest pace of permits, in requests per second. Without requests there would be no answer that
/// takes a limit of 0 back.
const MIN_PACE: f64 = 0.5;
/// Permits saved up while nobody asks: the one that is kept from the lowest priority, and one more.
const MIN_BURST: f64 = 2.0;
/// Time for which permits are saved up in addition.
const BURST_TIME: f64 = 0.25;
/// Permits that must be left for a request of the lowest priority.
const LOWEST_PRIORITY_TOKENS: f64 = 2.0;
/// Longest delay named to a caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Requests that a target takes from all entries together, per 1000 seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLimit(u32);

impl RateLimit {
    /// Limit in requests per second; `None` unless that is a finite number of at least 0.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then(|| RateLimit((rate * 1_000.0).round() as u32))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Requests per second that are sent under the limit; more than it says if it is close to 0.
    pub fn pace(self) -> f64 {
        self.per_second().max(MIN_PACE)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// What an answer said of the limit of its target, by the clock of the observer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The limit; `None` if the answer names none.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub sent_at: Moment,
    /// When the answer arrived.
    pub answered_at: Moment,
}

/// Limit that a target named, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedLimit {
    /// The limit.
    pub rate: RateLimit,
    /// Arrival of the first answer that named it.
    pub since: Moment,
    /// Arrival of the latest answer that named it.
    pub named_at: Moment,
}

impl NamedLimit {
    /// Limit that an answer names which arrives now.
    pub fn new(now: Moment, rate: RateLimit) -> Self {
        NamedLimit {
            rate,
            since: now,
            named_at: now,
        }
    }

    /// Takes an answer into account; returns whether it replaces the limit.
    pub fn observe(&mut self, observation: Observation) -> bool {
        match observation.limit {
            Some(rate) if rate == self.rate => {
                self.named_at = self.named_at.max(observation.answered_at);
                false
            }
            Some(rate) if rate < self.rate => observation.answered_at > self.since,
            _ => observation.sent_at > self.named_at,
        }
    }
}

/// Report of an entry on the limit of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The target.
    pub id: TargetId,
    /// The limit; `None` if the target names none any more.
    pub limit: Option<RateLimit>,
    /// Time since the request was sent whose answer said so.
    pub sent_age: Duration,
    /// Time since that answer arrived.
    pub answer_age: Duration,
}

impl LimitReport {
    /// Reports an observation.
    pub fn new(now: Moment, id: TargetId, observation: Observation) -> Self {
        LimitReport {
            id,
            limit: observation.limit,
            sent_age: now.since(observation.sent_at),
            answer_age: now.since(observation.answered_at),
        }
    }

    /// The observation by the clock of the receiver.
    fn observation(&self, now: Moment) -> Observation {
        Observation {
            limit: self.limit,
            sent_at: now - self.sent_age,
            answered_at: now - self.answer_age,
        }
    }
}

/// Question of an entry whether it may send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Target that would get the request.
    pub id: TargetId,
    /// Whether the service also gets requests of higher priority.
    pub lowest_priority: bool,
}

/// Answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may be sent.
    Granted,
    /// The request must not be sent.
    Denied {
        /// Time until there can be a permit for a request of this priority.
        next: Duration,
        /// Time after which the caller may come back.
        retry: Duration,
    },
}

/// Limit of one target at the leader, as a token bucket.
#[derive(Debug, Clone)]
struct Limited {
    named: NamedLimit,
    tokens: f64,
    updated: Moment,
    /// When those who were denied can have come back, one after the other at the rate of the limit.
    served_at: Moment,
}

/// Limits of all targets, and the permits given out under them.
#[derive(Debug, Default)]
pub struct Permits {
    limited: BTreeMap<TargetId, Limited>,
    /// Arrival of the answer by which the last limit of a target ended.
    ended: BTreeMap<TargetId, Moment>,
}

impl Permits {
    /// Records a report; returns whether it changes the limit of its target.
    pub fn record(&mut self, now: Moment, report: &LimitReport) -> bool {
        let observation = report.observation(now);
        let ended_at = self.ended.get(&report.id).copied();
        let Some(held) = self.limited.get_mut(&report.id) else {
            let is_old = ended_at.is_some_and(|at| observation.answered_at <= at);
            let named = report.limit.filter(|_| !is_old);
            if let Some(rate) = named {
                self.limited.insert(report.id, Limited::new(now, rate));
            }
            return named.is_some();
        };
        if !held.named.observe(observation) {
            return false;
        }
        match report.limit {
            Some(rate) => {
                held.refill(now);
                held.named = NamedLimit::new(observation.answered_at, rate);
            }
            None => {
                self.limited.remove(&report.id);
                self.ended.insert(report.id, observation.answered_at);
            }
        }
        true
    }

    /// Gives a permit for one request, or denies it.
    pub fn request(&mut self, now: Moment, request: PermitRequest) -> PermitReply {
        let Some(held) = self.limited.get_mut(&request.id) else {
            return PermitReply::Granted;
        };
        held.refill(now);
        let needed = match request.lowest_priority {
            true => LOWEST_PRIORITY_TOKENS,
            false => 1.0,
        };
        if held.tokens >= needed {
            held.tokens -= 1.0;
            return PermitReply::Granted;
        }
        let pace = held.named.rate.pace();
        let next = Duration::from_secs_f64((needed - held.tokens) / pace);
        held.served_at = held.served_at.max(now) + Duration::from_secs_f64(1.0 / pace);
        held.served_at = held.served_at.min(now + MAX_RETRY_DELAY);
        let retry = next.max(held.served_at.since(now)).min(MAX_RETRY_DELAY);
        PermitReply::Denied { next, retry }
    }

    /// Limit of a target.
    pub fn limit(&self, id: TargetId) -> Option<RateLimit> {
        self.limited.get(&id).map(|held| held.named.rate)
    }

    /// Limits of all targets that have one.
    pub fn limits(&self) -> Vec<(TargetId, RateLimit)> {
        let limited = self.limited.iter();
        limited.map(|(id, held)| (*id, held.named.rate)).collect()
    }

    /// Drops the limits of targets for which `is_present` is false.
    pub fn retain(&mut self, is_present: impl Fn(TargetId) -> bool) {
        self.limited.retain(|id, _| is_present(*id));
        self.ended.retain(|id, _| is_present(*id));
    }
}

impl Limited {
    fn new(now: Moment, rate: RateLimit) -> Self {
        Limited {
            named: NamedLimit::new(now, rate),
            tokens: 0.0,
            updated: now,
            served_at: now,
        }
    }

    fn refill(&mut self, now: Moment) {
        let pace = self.named.rate.pace();
        let gained = pace * now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + gained).min(MIN_BURST + pace * BURST_TIME);
        self.updated = now;
    }
}
