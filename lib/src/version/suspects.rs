//! Requests that end the targets which run them, as the leader of a seeded fleet tells them from
//! those that ran beside them.
//!
//! An entry reports each connection that broke while a target may have run a request. The leader
//! counts a report once that target has ended: its incarnation was replaced, or its heartbeats stop.
//! A connection that was reset while its target lives on counts for nothing, and an answer clears a
//! request of all that was reported before. A request under which [`ENDED_MAX`] targets have ended is
//! quarantined: all entries refuse it.
//!
//! Nothing of this is replicated. Entries repeat their reports and the quarantine to a new leader,
//! which tells entries that start.
//!
//! Load pattern: callers repeat such a request at any entry, while targets restart as new
//! incarnations, leaders change, and other requests are under way at each end.

use super::{catalog::TargetId, command::Fingerprint};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Targets that may end under a request before it is refused.
pub const ENDED_MAX: usize = 3;
/// Time for which reports are remembered, and for which a request is refused.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Maximum number of requests with reports; those with the oldest reports are forgotten first.
pub const REQUESTS_MAX: usize = 1_024;
/// Time that a heartbeat from before the end of its sender may be under way.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(500);
/// Heartbeats that a target must miss to count as ended.
const MISSED_HEARTBEATS: u32 = 2;

/// A connection that broke while a target may have run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Break {
    /// The request.
    pub request: Fingerprint,
    /// The target.
    pub target: TargetId,
    /// Time since the break in ms.
    pub age: u32,
}

/// What an entry reports of requests that may have ended targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Broken connections.
    pub breaks: Vec<Break>,
    /// Requests that were answered, each with the time since in ms.
    pub answered: Vec<(Fingerprint, u32)>,
    /// Requests that are refused.
    pub quarantined: Vec<Quarantined>,
}

impl SuspectReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.breaks.is_empty() && self.answered.is_empty() && self.quarantined.is_empty()
    }
}

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The request.
    pub request: Fingerprint,
    /// Time for which it is still refused, in ms.
    pub left: u32,
}

/// Requests that are refused, each until some time.
#[derive(Debug, Default)]
pub struct Quarantine {
    until: BTreeMap<Fingerprint, Moment>,
}

impl Quarantine {
    /// Refuses a request for `left`, unless it is refused already. Returns whether it was not.
    pub fn add(&mut self, now: Moment, request: Fingerprint, left: Duration) -> bool {
        self.until.retain(|_, until| now < *until);
        let is_new = !self.until.contains_key(&request);
        if is_new && self.until.len() < REQUESTS_MAX {
            self.until.insert(request, now + left);
        }
        is_new
    }

    /// Time for which a request is still refused; `None` if it is not.
    pub fn left(&self, now: Moment, request: Fingerprint) -> Option<Duration> {
        let until = *self.until.get(&request)?;
        (now < until).then(|| until.since(now))
    }

    /// Whether no request is refused.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// All requests that are refused, for messages.
    pub fn list(&self, now: Moment) -> Vec<Quarantined> {
        let refused = self.until.iter().filter(|(_, until)| now < **until);
        refused
            .map(|(request, until)| Quarantined {
                request: *request,
                left: to_ms(until.since(now)),
            })
            .collect()
    }
}

/// Whole milliseconds as messages carry them.
pub fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Reports about one request.
#[derive(Debug, Default)]
struct History {
    /// When connections to targets broke that may live on.
    breaks: BTreeMap<TargetId, Moment>,
    /// Targets that have ended, each with the time of the break.
    ended: BTreeMap<TargetId, Moment>,
    /// Latest answer.
    answered_at: Option<Moment>,
}

impl History {
    fn is_cleared(&self, at: Moment) -> bool {
        self.answered_at.is_some_and(|answered| at <= answered)
    }

    fn latest(&self) -> Option<Moment> {
        self.breaks
            .values()
            .chain(self.ended.values())
            .max()
            .copied()
    }

    /// Forgets what an answer or time has cleared.
    fn clear(&mut self, now: Moment) {
        let answered = self.answered_at;
        let holds = |_: &TargetId, at: &mut Moment| {
            answered.is_none_or(|answered| *at > answered) && now.since(*at) < MEMORY
        };
        self.breaks.retain(holds);
        self.ended.retain(holds);
    }
}

/// Requests under suspicion at the leader.
#[derive(Debug)]
pub struct Suspects {
    heartbeat: Duration,
    started: Moment,
    histories: BTreeMap<Fingerprint, History>,
    quarantine: Quarantine,
}

impl Suspects {
    /// Suspects of a leader whose term begins now, with targets that send heartbeats at this
    /// interval.
    pub fn new(heartbeat: Duration, now: Moment) -> Self {
        Suspects {
            heartbeat,
            started: now,
            histories: BTreeMap::new(),
            quarantine: Quarantine::default(),
        }
    }

    /// Requests that all entries refuse.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Records what an entry reports. Returns whether it names requests that were not refused yet.
    pub fn record(&mut self, now: Moment, report: &SuspectReport) -> bool {
        let age = |ms: u32| Duration::from_millis(u64::from(ms));
        for reported in &report.breaks {
            let history = self.histories.entry(reported.request).or_default();
            let at = now - age(reported.age);
            if !history.is_cleared(at) && !history.ended.contains_key(&reported.target) {
                history.breaks.entry(reported.target).or_insert(at);
            }
        }
        for (request, ms) in &report.answered {
            if let Some(history) = self.histories.get_mut(request) {
                history.answered_at = history.answered_at.max(Some(now - age(*ms)));
                history.clear(now);
            }
        }
        self.forget_oldest();
        let mut is_new = false;
        for entry in &report.quarantined {
            is_new |= self.quarantine.add(now, entry.request, age(entry.left));
        }
        is_new
    }

    /// Judges which targets have ended, by what is known of the `life` of each. Returns the requests
    /// that are refused from now on, each with the targets that ended under it.
    pub fn judge(
        &mut self,
        now: Moment,
        life: impl Fn(TargetId) -> TargetLife,
    ) -> Vec<(Fingerprint, BTreeSet<TargetId>)> {
        let (heartbeat, started) = (self.heartbeat, self.started);
        for history in self.histories.values_mut() {
            history.clear(now);
            let ended = &mut history.ended;
            history.breaks.retain(|target, at| {
                let silence = heartbeat * MISSED_HEARTBEATS + HEARTBEAT_DELAY;
                let has_ended = match life(*target) {
                    TargetLife::Ended => true,
                    TargetLife::Heard(heard) if heard > *at + HEARTBEAT_DELAY => return false,
                    TargetLife::Heard(_) | TargetLife::Unheard => {
                        now.since((*at).max(started)) >= silence
                    }
                };
                if has_ended {
                    ended.insert(*target, *at);
                }
                !has_ended
            });
        }
        let mut refused = Vec::new();
        // What the worst one explains is not held against others.
        while let Some(worst) = self.worst() {
            let Some(history) = self.histories.remove(&worst) else {
                break;
            };
            let ended: BTreeSet<TargetId> = history.ended.into_keys().collect();
            for other in self.histories.values_mut() {
                other.ended.retain(|target, _| !ended.contains(target));
            }
            if self.quarantine.add(now, worst, MEMORY) {
                refused.push((worst, ended));
            }
        }
        self.histories
            .retain(|_, history| history.latest().is_some());
        refused
    }

    /// Request under which most targets have ended, if these are enough to refuse it.
    fn worst(&self) -> Option<Fingerprint> {
        let counts = self.histories.iter().map(|(f, h)| (h.ended.len(), *f));
        let (count, worst) = counts.max_by_key(|(count, _)| *count)?;
        (count >= ENDED_MAX).then_some(worst)
    }

    fn forget_oldest(&mut self) {
        while self.histories.len() > REQUESTS_MAX {
            let oldest = self.histories.iter().min_by_key(|(_, h)| h.latest());
            let Some(oldest) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.histories.remove(&oldest);
        }
    }
}

/// What the leader knows of one incarnation of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetLife {
    /// It was replaced or removed.
    Ended,
    /// This leader has received no heartbeat of it.
    Unheard,
    /// Its latest heartbeat was received at this time.
    Heard(Moment),
}
