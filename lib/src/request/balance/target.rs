//! What an entry believes of one target.

use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Service time taken for a target while nothing is known of any of its service.
const FIRST_WORK: Duration = Duration::from_millis(60);
/// Weight of the latest service time in the mean, in 8.
const WORK_WEIGHT: u32 = 1;
/// Age at which a service time has lost two thirds of its weight to the usual one of the service: a
/// target that was slow is tried again some seconds later.
const WORK_LIFE: Duration = Duration::from_secs(3);
/// Age at which a report says nothing any more.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);
/// Age at which the pace in a report says nothing any more: neighbours come and go several times a
/// second.
const PACE_LIFE: Duration = Duration::from_millis(300);
/// Pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Pace of a target that runs as usual, in percent.
const USUAL_PACE: u32 = 100;

/// What a target says of its load in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual.
    pub pace: u32,
}

/// How a sending ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target's own answer.
    Answered,
    /// The target had no room and has not run it.
    Shed,
    /// No connection: nothing was sent.
    Unreachable,
    /// The connection broke, or the answer was none.
    Broken,
    /// The caller left.
    Cancelled,
}

/// What an entry believes of one target.
#[derive(Debug, Clone)]
pub struct TargetModel {
    slots: u32,
    open: u32,
    usual: Duration,
    work: Duration,
    learned: Option<Moment>,
    report: Option<(LoadReport, Moment)>,
    sent: u32,
    failures: u32,
    paused: Moment,
}

impl TargetModel {
    /// A target of which nothing is known but its slots.
    pub fn new(slots: u32) -> Self {
        TargetModel {
            slots: slots.max(1),
            open: 0,
            usual: FIRST_WORK,
            work: FIRST_WORK,
            learned: None,
            report: None,
            sent: 0,
            failures: 0,
            paused: Moment::ZERO,
        }
    }

    /// Counts a request that goes out.
    pub fn sent(&mut self) {
        self.open += 1;
        self.sent += 1;
    }

    /// Takes the end of a sending in, with the time that it took.
    pub fn ended(&mut self, now: Moment, outcome: Outcome, time: Duration) {
        self.open = self.open.saturating_sub(1);
        match outcome {
            Outcome::Answered => {
                self.failures = 0;
                if self.was_idle(now) {
                    let weight = WORK_WEIGHT;
                    self.learn(now, (self.base(now) * (8 - weight) + time * weight) / 8);
                }
            }
            Outcome::Unreachable | Outcome::Broken => {
                let pause = FIRST_PAUSE * (1 << self.failures.min(5));
                self.paused = now + pause.min(LONGEST_PAUSE);
                self.failures += 1;
            }
            Outcome::Shed | Outcome::Cancelled => {}
        }
    }

    /// Takes a report in that the target gave to this entry or another one at a time.
    pub fn reported(&mut self, seen: Moment, report: LoadReport) {
        if self.report.is_some_and(|(_, held)| seen < held) {
            return;
        }
        self.report = Some((report, seen));
        self.sent = 0;
        if report.slots > 0 {
            self.slots = report.slots;
        }
    }

    /// Takes in how long requests usually take at the targets of its service.
    pub fn usual(&mut self, work: Duration) {
        self.usual = work;
    }

    /// Takes in how long requests take there of late.
    pub fn learn(&mut self, now: Moment, work: Duration) {
        self.work = work;
        self.learned = Some(now);
    }

    /// Whether it failed of late and gets no request that could go elsewhere.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.paused
    }

    /// When a failed target is tried again.
    pub fn paused_until(&self) -> Moment {
        self.paused
    }

    /// Time that a request takes there once it runs.
    pub fn work(&self, now: Moment) -> Duration {
        let report = self.fresh(now);
        let young = report.filter(|(_, at)| now.since(*at) < PACE_LIFE);
        let Some((report, _)) = young else {
            return self.base(now);
        };
        let pace = report.pace;
        // The mean holds past paces already, so the present one counts by half.
        self.base(now) * (USUAL_PACE + pace.clamp(25, 1_000)) / (2 * USUAL_PACE)
    }

    /// Time that a request takes, the more like the usual one the older what is known.
    fn base(&self, now: Moment) -> Duration {
        let Some(learned) = self.learned else {
            return self.usual;
        };
        let age = now.since(learned).as_secs_f64() / WORK_LIFE.as_secs_f64();
        let kept = (-age).exp();
        self.work.mul_f64(kept) + self.usual.mul_f64(1.0 - kept)
    }

    /// Requests there, running and waiting, by the latest report and what was sent since.
    pub fn backlog(&self, now: Moment) -> f64 {
        let own = f64::from(self.open);
        let Some((report, at)) = self.fresh(now) else {
            return own;
        };
        let there = f64::from(report.running + report.waiting);
        // Since the report the target has worked some of it off, and others have sent more: the
        // running ones are taken to be replaced, the waiting ones to shrink.
        let age = now.since(at).as_secs_f64();
        let rate = f64::from(self.slots) / self.base(now).as_secs_f64().max(0.001);
        let waiting = (f64::from(report.waiting) - rate * age).max(0.0);
        let running = f64::from(report.running);
        (running + waiting + f64::from(self.sent.min(self.open)))
            .min(there + f64::from(self.sent))
            .max(own)
    }

    /// Time until a request that is sent now would run.
    pub fn wait(&self, now: Moment) -> Duration {
        let ahead = self.backlog(now) + 1.0 - f64::from(self.slots);
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        self.work(now).mul_f64(ahead / f64::from(self.slots))
    }

    fn fresh(&self, now: Moment) -> Option<(LoadReport, Moment)> {
        self.report.filter(|(_, at)| now.since(*at) < REPORT_LIFE)
    }

    fn was_idle(&self, now: Moment) -> bool {
        self.fresh(now)
            .is_none_or(|(report, _)| report.waiting == 0)
    }
}
