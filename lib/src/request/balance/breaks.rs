//! Requests whose connections to targets broke, as one entry remembers them, and those that all
//! entries refuse or run once at a time. The leader decides which ones; see
//! [`suspects`](crate::version::suspects). Without its reply an entry runs a suspected request once
//! at a time by itself, until [`ENDED_MAX`] targets may have ended under it here.

use crate::{
    moment::Moment,
    version::{
        catalog::TargetId,
        command::Fingerprint,
        suspects::{
            Break, ENDED_MAX, MEMORY, Quarantine, Quarantined, REQUESTS_MAX, SuspectReport, to_ms,
        },
    },
};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

/// Broken connections that one entry remembers.
const BREAKS_MAX: usize = REQUESTS_MAX / 4;

/// Memory of one entry.
#[derive(Debug, Default)]
pub struct Breaks {
    breaks: VecDeque<(Fingerprint, TargetId, Moment)>,
    /// Breaks at the end of the list that are not reported yet.
    unreported: usize,
    answered: Vec<(Fingerprint, Moment)>,
    quarantine: Quarantine,
    /// Requests that the leader suspects.
    suspected: BTreeSet<Fingerprint>,
    /// Trials under way at this entry.
    running: BTreeSet<Fingerprint>,
    /// Trials that have ended since the last report.
    ended_trials: Vec<Fingerprint>,
}

impl Breaks {
    /// Whether the identity of requests matters at this moment.
    pub fn is_watching(&mut self, now: Moment) -> bool {
        self.forget_old(now);
        !self.breaks.is_empty() || !self.quarantine.is_empty() || !self.suspected.is_empty()
    }

    fn forget_old(&mut self, now: Moment) {
        let is_old = |(_, _, at): &(Fingerprint, TargetId, Moment)| now.since(*at) >= MEMORY;
        while self.breaks.front().is_some_and(is_old) {
            self.breaks.pop_front();
        }
        self.unreported = self.unreported.min(self.breaks.len());
    }

    /// Records that the connection to a target broke which may have run a request.
    pub fn record_break(&mut self, now: Moment, request: Fingerprint, target: TargetId) {
        self.breaks.push_back((request, target, now));
        self.unreported = (self.unreported + 1).min(BREAKS_MAX);
        if self.breaks.len() > BREAKS_MAX {
            self.breaks.pop_front();
        }
    }

    /// Records that a target has run a request and answered. Returns whether the leader should know.
    pub fn record_answer(&mut self, now: Moment, request: Fingerprint) -> bool {
        let is_suspect = self.breaks.iter().any(|(other, ..)| *other == request);
        if !is_suspect && !self.suspected.contains(&request) {
            return false;
        }
        let reported = self.breaks.len() - self.unreported;
        let kept = |(other, ..): &&(Fingerprint, TargetId, Moment)| *other != request;
        self.unreported = self.breaks.iter().skip(reported).filter(kept).count();
        self.breaks.retain(|(other, ..)| *other != request);
        self.answered.push((request, now));
        true
    }

    /// Takes over the requests that the leader suspects.
    pub fn apply_suspected(&mut self, list: Vec<Fingerprint>) {
        self.suspected = list.into_iter().collect();
    }

    /// Whether a request needs a trial: the leader suspects it, or is about to.
    pub fn needs_trial(&self, request: Fingerprint) -> bool {
        self.suspected.contains(&request) || self.broken(request) > 1
    }

    fn broken(&self, request: Fingerprint) -> usize {
        let breaks = self.breaks.iter();
        breaks.filter(|(other, ..)| *other == request).count()
    }

    /// Begins a trial that the leader has granted, or without its reply one of this entry alone.
    /// Returns whether the request may be sent.
    pub fn begin_trial(&mut self, request: Fingerprint, is_granted: bool) -> bool {
        let may_run = !self.running.contains(&request) && self.broken(request) < ENDED_MAX;
        if is_granted || may_run {
            self.running.insert(request);
        }
        is_granted || may_run
    }

    /// Ends a trial.
    pub fn end_trial(&mut self, request: Fingerprint) {
        self.running.remove(&request);
        self.ended_trials.push(request);
    }

    /// Returns the trials that have ended since the last call.
    pub fn take_ended_trials(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.ended_trials)
    }

    /// Refuses the requests that the leader names.
    pub fn apply_quarantine(&mut self, now: Moment, list: &[Quarantined]) {
        for entry in list {
            let left = Duration::from_millis(u64::from(entry.left));
            self.quarantine.add(now, entry.request, left);
        }
    }

    /// Time for which a request is still refused; `None` if it is not.
    pub fn refused_for(&self, now: Moment, request: Fingerprint) -> Option<Duration> {
        self.quarantine.left(now, request)
    }

    /// Returns what is new since the last call.
    pub fn take_news(&mut self, now: Moment) -> SuspectReport {
        let reported = self.breaks.len() - self.unreported;
        let news = SuspectReport {
            breaks: self.list(now, reported),
            answered: self
                .answered
                .iter()
                .map(|(f, at)| (*f, to_ms(now.since(*at))))
                .collect(),
            quarantined: Vec::new(),
        };
        self.unreported = 0;
        self.answered.clear();
        news
    }

    /// Returns all that a new leader should know.
    pub fn report(&mut self, now: Moment) -> SuspectReport {
        self.forget_old(now);
        SuspectReport {
            breaks: self.list(now, 0),
            answered: Vec::new(),
            quarantined: self.quarantine.list(now),
        }
    }

    fn list(&self, now: Moment, from: usize) -> Vec<Break> {
        let listed = self.breaks.iter().skip(from);
        listed
            .map(|(request, target, at)| Break {
                request: *request,
                target: *target,
                age: to_ms(now.since(*at)),
            })
            .collect()
    }
}
