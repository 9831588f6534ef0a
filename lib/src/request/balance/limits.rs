//! Limits on the rate of requests that targets name in their answers, as one entry knows them.
//!
//! A limit counts the requests of all entries together. While it is known, an entry sends a request
//! only with a permit of the leader, which paces the entries as one (`version::permits`). An entry
//! without an answer of the leader uses a reserve: an equal part of half of the limit, so that the
//! permits and the reserves of all entries stay within one and a half times the limit, or an equal
//! part of all of it if there is no leader. A reserved request that finds no use soon lapses.
//! Otherwise many entries with a small part each would save up a request each, and send them all at
//! the same moment.
//!
//! Load pattern: a target in need names a fraction of the rate that it gets, changes it and takes it
//! back. The demand may be at a few of many entries, and the leader may be out of reach.

use crate::{
    moment::Moment,
    version::{
        catalog::TargetId,
        permits::{LimitReport, NamedLimit, Observation, PermitReply, PermitRequest, RateLimit},
    },
};
use std::{collections::HashMap, time::Duration};

/// Part of a limit that all entries together may use while there is a leader that does not answer.
const RESERVE_SHARE: f64 = 0.5;
/// Time for which a reserved request may be used.
const RESERVE_VALIDITY: Duration = Duration::from_secs(2);
/// Time for which an entry trusts an answer over a status: the leader may not know the answer yet.
const ANSWER_TRUST: Duration = Duration::from_secs(1);
/// Shortest time without another question after a denial.
const MIN_DENIAL: Duration = Duration::from_millis(5);
/// Longest delay named to a caller for whom the reserve has no request.
const MAX_RESERVE_DELAY: Duration = Duration::from_secs(2);
/// Changes that wait to be reported.
const CHANGES_HELD: usize = 256;

/// What an answer says of the limit of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// The target names no limit.
    Unlimited,
    /// The target names this limit.
    Limited(RateLimit),
    /// The answer tells nothing: it may be from another target, or its limit cannot be read.
    Unknown,
}

/// Change of the limit of one target, as one entry learnt it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit from now on; `None` if the target names none any more.
    pub limit: Option<RateLimit>,
    /// Requests that this entry sent under the limit before.
    pub sent: u32,
    /// Time for which that limit was known.
    pub elapsed: Duration,
}

/// Whether a request may be sent to a target, as far as its limit goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitCheck {
    /// The target has no limit.
    Unlimited,
    /// The request needs a permit.
    NeedsPermit,
    /// The latest denial still holds; the caller may come back after this time.
    Denied(Duration),
}

/// What the reserve of an entry depends on.
#[derive(Debug, Clone, Copy)]
pub struct Reserve {
    /// Number of entries that share a limit.
    pub entries: u32,
    /// Whether there is a leader, which may give permits to other entries.
    pub has_leader: bool,
    /// Uniform from 0 to 1; differs between entries.
    pub draw: f64,
}

/// Denial of the leader or of the reserve.
#[derive(Debug, Clone, Copy)]
struct Denial {
    until: Moment,
    retry_at: Moment,
}

/// Limit of one target at one entry.
#[derive(Debug, Clone)]
struct Limited {
    named: NamedLimit,
    /// Whether an answer at this entry named it, rather than the leader.
    is_answered: bool,
    since: Moment,
    sent: u32,
    /// Latest denials: of requests of the lowest priority first, then of others.
    denials: [Option<Denial>; 2],
    /// When the next reserved request may be used; unset until the reserve is needed.
    reserved_at: Option<Moment>,
}

/// Limits of targets that one entry knows.
#[derive(Debug, Default)]
pub struct TargetLimits {
    targets: HashMap<TargetId, Limited>,
    changes: Vec<(TargetId, Observation)>,
}

impl TargetLimits {
    /// Records what an answer says of the limit of its target, and returns the change if there is
    /// one. The request was sent at `sent_at`.
    pub fn record_answer(
        &mut self,
        now: Moment,
        id: TargetId,
        sent_at: Moment,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        let limit = match notice {
            LimitNotice::Unlimited => None,
            LimitNotice::Limited(rate) => Some(rate),
            LimitNotice::Unknown => return None,
        };
        let observation = Observation {
            limit,
            sent_at,
            answered_at: now,
        };
        let former = match (self.targets.get_mut(&id), limit) {
            (None, None) => return None,
            (None, Some(_)) => None,
            (Some(held), _) => {
                held.is_answered |= limit == Some(held.named.rate);
                if !held.named.observe(observation) {
                    return None;
                }
                Some((held.sent, now.since(held.since)))
            }
        };
        match limit {
            Some(rate) => self.insert(now, id, rate, true),
            None => drop(self.targets.remove(&id)),
        }
        if self.changes.len() < CHANGES_HELD {
            self.changes.push((id, observation));
        }
        let (sent, elapsed) = former.unwrap_or_default();
        Some(LimitChange {
            limit,
            sent,
            elapsed,
        })
    }

    /// Takes over the limits that the leader knows, beside those of recent answers.
    pub fn apply_status(&mut self, now: Moment, limits: &[(TargetId, RateLimit)]) {
        let listed: HashMap<TargetId, RateLimit> = limits.iter().copied().collect();
        self.targets.retain(|id, held| {
            let is_recent = now.since(held.named.named_at) < ANSWER_TRUST;
            listed.contains_key(id) || (held.is_answered && is_recent)
        });
        for (id, rate) in listed {
            let held = self.targets.get(&id);
            let keeps = held.is_some_and(|held| {
                let is_recent = now.since(held.since) < ANSWER_TRUST;
                held.named.rate == rate || (held.is_answered && is_recent)
            });
            if !keeps {
                self.insert(now, id, rate, false);
            }
        }
    }

    /// Whether the target has a limit.
    pub fn is_limited(&self, id: TargetId) -> bool {
        self.targets.contains_key(&id)
    }

    /// Whether a request may be sent to a target now.
    pub fn check(&self, now: Moment, id: TargetId, lowest_priority: bool) -> LimitCheck {
        let Some(held) = self.targets.get(&id) else {
            return LimitCheck::Unlimited;
        };
        match held.denials[usize::from(!lowest_priority)] {
            Some(denial) if now < denial.until => {
                LimitCheck::Denied(denial.retry_at.since(now).max(MIN_DENIAL))
            }
            _ => LimitCheck::NeedsPermit,
        }
    }

    /// Records the reply to the question for a permit; returns whether the request may be sent.
    /// Without a reply the reserve decides.
    pub fn settle(
        &mut self,
        now: Moment,
        request: PermitRequest,
        reply: Option<PermitReply>,
        reserve: Reserve,
    ) -> bool {
        let Some(held) = self.targets.get_mut(&request.id) else {
            return true;
        };
        if reply.is_some() {
            // What was reserved before the leader replied has gone to others.
            held.reserved_at = None;
        }
        let denial = match reply {
            Some(PermitReply::Granted) => return true,
            Some(PermitReply::Denied { next, retry }) => (next, retry),
            None => match held.try_reserve(now, reserve) {
                Ok(()) => return true,
                Err(delay) => (MIN_DENIAL, delay.min(MAX_RESERVE_DELAY)),
            },
        };
        held.denials[usize::from(!request.lowest_priority)] = Some(Denial {
            until: now + denial.0.max(MIN_DENIAL),
            retry_at: now + denial.1,
        });
        false
    }

    /// Counts a request sent to a target; returns whether the target has a limit.
    pub fn record_sent(&mut self, id: TargetId) -> bool {
        let held = self.targets.get_mut(&id);
        held.map(|held| held.sent += 1).is_some()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self, now: Moment) -> Vec<LimitReport> {
        let changes = self.changes.drain(..);
        changes
            .map(|(id, observation)| LimitReport::new(now, id, observation))
            .collect()
    }

    /// Returns all limits that are known, for a leader that may not know them.
    pub fn reports(&self, now: Moment) -> Vec<LimitReport> {
        let known = self.targets.iter().map(|(id, held)| {
            let observation = Observation {
                limit: Some(held.named.rate),
                sent_at: held.named.since,
                answered_at: held.named.named_at,
            };
            LimitReport::new(now, *id, observation)
        });
        known.collect()
    }

    /// Drops the limits of targets for which `is_present` is false.
    pub fn retain(&mut self, mut is_present: impl FnMut(TargetId) -> bool) {
        self.targets.retain(|id, _| is_present(*id));
    }

    /// Inserts a limit, or replaces the one before. What was reserved or denied goes on.
    fn insert(&mut self, now: Moment, id: TargetId, rate: RateLimit, is_answered: bool) {
        let former = self.targets.get(&id);
        let limited = Limited {
            named: NamedLimit::new(now, rate),
            is_answered,
            since: now,
            sent: 0,
            denials: former.map_or([None; 2], |held| held.denials),
            reserved_at: former.and_then(|held| held.reserved_at),
        };
        self.targets.insert(id, limited);
    }
}

impl Limited {
    /// Uses a reserved request. Otherwise returns the delay until there is one.
    fn try_reserve(&mut self, now: Moment, reserve: Reserve) -> Result<(), Duration> {
        let share = if reserve.has_leader {
            RESERVE_SHARE
        } else {
            1.0
        };
        let rate = self.named.rate.pace() * share / f64::from(reserve.entries.max(1));
        let interval = 1.0 / rate;
        let reserved_at = self
            .reserved_at
            .unwrap_or(now + Duration::from_secs_f64(interval * reserve.draw.clamp(0.0, 1.0)));
        let oldest = now - RESERVE_VALIDITY;
        let lapsed = (oldest.since(reserved_at).as_secs_f64() / interval).ceil();
        let reserved_at = reserved_at + Duration::from_secs_f64(interval * lapsed);
        if now < reserved_at {
            self.reserved_at = Some(reserved_at);
            return Err(reserved_at.since(now));
        }
        self.reserved_at = Some(reserved_at + Duration::from_secs_f64(interval));
        Ok(())
    }
}
