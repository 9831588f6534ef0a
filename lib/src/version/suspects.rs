//! Requests that end the targets which run them, as the leader of a seeded fleet tells them from
//! those that ran beside them.
//!
//! An entry reports each connection that broke while a target may have run a request. The leader
//! counts a report once that target has ended: its incarnation was replaced, or its heartbeats stop.
//! A connection that was reset while its target lives on counts for nothing, and an answer clears a
//! request of all that was reported before. A request under which [`ENDED_MAX`] targets have ended is
//! quarantined: all entries refuse it.
//!
//! Whether a target has ended shows seconds later, and copies of a request end their target
//! together. A request is therefore suspected from the second broken connection on: over the whole
//! fleet it runs once at a time, by leave of the leader. An answer ends the suspicion. Once a target
//! may have ended under such a trial and [`ENDED_MAX`] may have in all, there is no other trial
//! until it shows which of them have.
//!
//! What explains the end of a target is not held against the requests beside it. They stay under
//! suspicion, though: one that ends a further target in a trial of its own is quarantined for all of
//! them.
//!
//! Entries repeat their reports and the quarantine to a new leader, which tells entries that start.
//! What the leader finds is replicated as [`suspect_records`](super::suspect_records), for when all
//! processes end at once.
//!
//! Load pattern: callers repeat such a request at any entry, while targets restart as new
//! incarnations, leaders change, and other requests are under way at each end.

use super::{
    catalog::TargetId,
    command::Fingerprint,
    suspect_records::{Finding, RECORDED_ENDS, RecordsUpdate, SuspectRecords, WallTime},
};
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
/// Broken connections from which a request is suspected.
const SUSPECT_RUNS: u32 = 2;
/// Time after a change of leaders without trials: those of the former leader may be under way.
const LEADER_PAUSE: Duration = Duration::from_secs(1);
/// Time that the report of a trial's end may take.
const TRIAL_MARGIN: Duration = Duration::from_millis(500);
/// Time after which an entry asks again while a trial is under way.
const TRIAL_RETRY: Duration = Duration::from_millis(100);
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

/// Reply to an entry that asks for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialReply {
    /// The request may be sent once.
    Granted,
    /// The request must not be sent for so many ms.
    Denied(u32),
}

/// Change of the requests under suspicion.
#[derive(Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// Requests that are suspected from now on.
    pub begun: Vec<Fingerprint>,
    /// Requests that are suspected no more.
    pub ended: Vec<Fingerprint>,
}

impl SuspicionChange {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
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

/// Connections to one target that broke under a request.
#[derive(Debug, Clone, Copy)]
struct Broken {
    /// First of them.
    at: Moment,
    runs: u32,
    /// Whether one of them was a trial.
    was_trial: bool,
}

/// Reports about one request.
#[derive(Debug, Default)]
struct History {
    /// Targets that may live on.
    breaks: BTreeMap<TargetId, Broken>,
    /// Targets that have ended.
    ended: BTreeMap<TargetId, Broken>,
    /// Targets that have ended while another request was under way that ends targets.
    explained: BTreeMap<TargetId, Broken>,
    /// Latest answer.
    answered_at: Option<Moment>,
    /// Time until which a trial may be under way.
    trial_until: Option<Moment>,
}

impl History {
    fn is_cleared(&self, at: Moment) -> bool {
        self.answered_at.is_some_and(|answered| at <= answered)
    }

    /// Connections that nothing else explains.
    fn unexplained(&self) -> impl Iterator<Item = &Broken> {
        self.breaks.values().chain(self.ended.values())
    }

    fn broken(&self) -> impl Iterator<Item = &Broken> {
        self.unexplained().chain(self.explained.values())
    }

    /// Whether its connection to the target broke, and nothing else explains that.
    fn names(&self, target: TargetId) -> bool {
        self.breaks.contains_key(&target) || self.ended.contains_key(&target)
    }

    /// Targets that have ended, whatever explains it.
    fn all_ended(&self) -> usize {
        self.ended.len() + self.explained.len()
    }

    fn latest(&self) -> Option<Moment> {
        self.broken().map(|broken| broken.at).max()
    }

    fn is_suspected(&self) -> bool {
        self.broken().map(|broken| broken.runs).sum::<u32>() >= SUSPECT_RUNS
    }

    fn is_on_trial(&self, now: Moment) -> bool {
        self.trial_until.is_some_and(|until| now < until)
    }

    /// Whether it first has to show which targets have ended.
    fn awaits_judgement(&self) -> bool {
        let mut unexplained = self.unexplained();
        match self.explained.is_empty() {
            true => self.unexplained().count() >= ENDED_MAX && unexplained.any(|b| b.was_trial),
            // One that ends under its trial is enough.
            false => {
                let is_enough = self.broken().count() >= ENDED_MAX;
                is_enough && self.breaks.values().any(|broken| broken.was_trial)
            }
        }
    }

    /// Forgets what an answer or time has cleared.
    fn clear(&mut self, now: Moment) {
        let answered = self.answered_at;
        let holds = |_: &TargetId, broken: &mut Broken| {
            answered.is_none_or(|answered| broken.at > answered) && now.since(broken.at) < MEMORY
        };
        self.breaks.retain(holds);
        self.ended.retain(holds);
        self.explained.retain(holds);
    }
}

/// Requests under suspicion at the leader.
#[derive(Debug)]
pub struct Suspects {
    heartbeat: Duration,
    started: Moment,
    histories: BTreeMap<Fingerprint, History>,
    quarantine: Quarantine,
    /// Requests under suspicion when they were last asked for.
    suspected: BTreeSet<Fingerprint>,
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
            suspected: BTreeSet::new(),
        }
    }

    /// Takes over the findings of former leaders.
    pub fn restore(&mut self, now: Moment, wall: WallTime, records: &SuspectRecords) {
        for (request, record) in records.valid(wall) {
            let left = record.left(wall);
            let Finding::Ended(targets) = &record.finding else {
                self.quarantine.add(now, request, left);
                continue;
            };
            let broken = Broken {
                at: now - (MEMORY - left),
                runs: 1,
                was_trial: false,
            };
            let ended = targets.iter().map(|target| (*target, broken));
            self.histories
                .entry(request)
                .or_default()
                .ended
                .extend(ended);
        }
    }

    /// Update by which the records hold all findings; `None` if they do.
    pub fn unrecorded(
        &self,
        now: Moment,
        wall: WallTime,
        records: &SuspectRecords,
    ) -> Option<RecordsUpdate> {
        let ended = self.histories.iter();
        let ended = ended.filter(|(_, history)| history.ended.len() >= RECORDED_ENDS);
        let ended = ended.map(|(request, history)| {
            let targets = history.ended.keys().copied().collect();
            let latest = history.latest().unwrap_or(now);
            let left = MEMORY.saturating_sub(now.since(latest));
            (*request, (Finding::Ended(targets), left))
        });
        let refused = self.quarantine.list(now).into_iter().map(|refused| {
            let left = Duration::from_millis(u64::from(refused.left));
            (refused.request, (Finding::Refused, left))
        });
        records.update_to(wall, &ended.chain(refused).collect())
    }

    /// Requests that all entries refuse.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Requests under suspicion, as of the last [`Self::update_suspected`].
    pub fn suspected(&self) -> &BTreeSet<Fingerprint> {
        &self.suspected
    }

    /// Looks which requests are under suspicion. Returns what has changed since the last call.
    pub fn update_suspected(&mut self) -> SuspicionChange {
        let histories = self.histories.iter();
        let suspected = histories.filter(|(_, history)| history.is_suspected());
        let suspected = suspected.map(|(request, _)| *request).collect();
        let former = std::mem::replace(&mut self.suspected, suspected);
        SuspicionChange {
            begun: self.suspected.difference(&former).copied().collect(),
            ended: former.difference(&self.suspected).copied().collect(),
        }
    }

    /// Gives leave to run a request that has `left`, or denies it.
    pub fn request_trial(
        &mut self,
        now: Moment,
        request: Fingerprint,
        left: Duration,
    ) -> TrialReply {
        let denied = |time: Duration| TrialReply::Denied(to_ms(time));
        if let Some(left) = self.quarantine.left(now, request) {
            return denied(left);
        }
        let silence = self.silence();
        let first_trials = self.started + LEADER_PAUSE;
        let Some(history) = self.histories.get_mut(&request) else {
            return TrialReply::Granted;
        };
        if !history.is_suspected() {
            return TrialReply::Granted;
        }
        if history.awaits_judgement() {
            let judged = history.latest().map_or(now, |at| at + silence);
            return denied(judged.since(now).max(TRIAL_RETRY));
        }
        if history.is_on_trial(now) {
            return denied(TRIAL_RETRY);
        }
        if now < first_trials {
            return denied(first_trials.since(now));
        }
        history.trial_until = Some(now + left + TRIAL_MARGIN);
        TrialReply::Granted
    }

    /// Records that trials have ended.
    pub fn end_trials(&mut self, requests: &[Fingerprint]) {
        for request in requests {
            if let Some(history) = self.histories.get_mut(request) {
                history.trial_until = None;
            }
        }
    }

    /// Time without heartbeats after which a target counts as ended.
    fn silence(&self) -> Duration {
        self.heartbeat * MISSED_HEARTBEATS + HEARTBEAT_DELAY
    }

    /// Records what an entry reports. Returns whether it names requests that were not refused yet.
    pub fn record(&mut self, now: Moment, report: &SuspectReport) -> bool {
        let age = |ms: u32| Duration::from_millis(u64::from(ms));
        for reported in &report.breaks {
            let history = self.histories.entry(reported.request).or_default();
            let at = now - age(reported.age);
            let is_known = history.ended.contains_key(&reported.target)
                || history.explained.contains_key(&reported.target);
            if history.is_cleared(at) || is_known {
                continue;
            }
            let was_trial = history.is_on_trial(now);
            let broken = history.breaks.entry(reported.target);
            let broken = broken.or_insert(Broken {
                at,
                runs: 0,
                was_trial,
            });
            broken.runs += 1;
            broken.was_trial |= was_trial;
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
        let (silence, started) = (self.silence(), self.started);
        for history in self.histories.values_mut() {
            history.clear(now);
            let ended = &mut history.ended;
            history.breaks.retain(|target, broken| {
                let at = broken.at;
                let has_ended = match life(*target) {
                    TargetLife::Ended => true,
                    TargetLife::Heard(heard) if heard > at + HEARTBEAT_DELAY => return false,
                    TargetLife::Heard(_) | TargetLife::Unheard => {
                        now.since(at.max(started)) >= silence
                    }
                };
                if has_ended {
                    ended.insert(*target, *broken);
                }
                !has_ended
            });
        }
        let mut refused = Vec::new();
        // What the worst one explains is not held against others.
        while let Some(worst) = self.worst(now) {
            let Some(history) = self.histories.remove(&worst) else {
                break;
            };
            let ended: BTreeSet<TargetId> = history.ended.into_keys().collect();
            for other in self.histories.values_mut() {
                let explained = other
                    .ended
                    .extract_if(.., |target, _| ended.contains(target));
                other.explained.extend(explained);
            }
            if self.quarantine.add(now, worst, MEMORY) {
                refused.push((worst, ended));
            }
        }
        self.histories
            .retain(|_, history| history.latest().is_some());
        refused
    }

    /// Request under which most targets have ended, if these are enough to refuse it. One on trial
    /// may be answered yet.
    fn worst(&self, now: Moment) -> Option<Fingerprint> {
        let histories = || self.histories.iter().filter(|(_, h)| !h.is_on_trial(now));
        let counts = histories().map(|(f, h)| (h.ended.len(), *f));
        let (count, worst) = counts.max_by_key(|(count, _)| *count)?;
        if count >= ENDED_MAX {
            return Some(worst);
        }
        let mut relapsed = histories().filter(|(f, h)| self.has_relapsed(**f, h));
        relapsed.next().map(|(request, _)| *request)
    }

    /// Whether a target has ended under a trial of a request that ran beside others which ended
    /// targets, and no request that is suspected as much explains that.
    fn has_relapsed(&self, request: Fingerprint, history: &History) -> bool {
        let weight = history.broken().count();
        let is_own = |target: &TargetId| {
            let mut others = self.histories.iter().filter(|(f, _)| **f != request);
            let explains = |other: &History| {
                other.is_suspected() && other.broken().count() >= weight && other.names(*target)
            };
            !others.any(|(_, other)| explains(other))
        };
        let mut trials = history.ended.iter().filter(|(_, broken)| broken.was_trial);
        let has_own = trials.any(|(target, _)| is_own(target));
        has_own && !history.explained.is_empty() && history.all_ended() >= ENDED_MAX
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
