//! What an entry believes of one target.

use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Service time taken for a target while nothing is known of any of its service.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(60);
/// Weight of the latest service time in the mean, in 8.
const SERVICE_TIME_WEIGHT: u32 = 1;
/// Age at which a service time has lost two thirds of its weight to the usual one of the service: a
/// target that was slow is tried again some seconds later.
const SERVICE_TIME_DECAY: Duration = Duration::from_secs(3);
/// Age at which a report says nothing any more.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Age at which the pace in a report says nothing any more: neighbours come and go several times a
/// second.
const LATENCY_PERCENT_MAX_AGE: Duration = Duration::from_millis(300);
/// Pause after the first failure; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Pace of a target that runs as usual, in percent.
const TYPICAL_PERCENT: u32 = 100;

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
    pub latency_percent: u32,
}

/// How a sending ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
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
    in_flight: u32,
    typical_latency: Duration,
    service_time: Duration,
    learned_at: Option<Moment>,
    report: Option<(LoadReport, Moment)>,
    sent_since: u32,
    failures: u32,
    backoff_until: Moment,
}

impl TargetModel {
    /// A target of which nothing is known but its slots.
    pub fn new(slots: u32) -> Self {
        TargetModel {
            slots: slots.max(1),
            in_flight: 0,
            typical_latency: INITIAL_SERVICE_TIME,
            service_time: INITIAL_SERVICE_TIME,
            learned_at: None,
            report: None,
            sent_since: 0,
            failures: 0,
            backoff_until: Moment::ZERO,
        }
    }

    /// Counts a request that goes out.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since += 1;
    }

    /// Takes the end of a sending in, with the time that it took.
    pub fn record_outcome(&mut self, now: Moment, outcome: SendOutcome, time: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Answered => {
                self.failures = 0;
                if self.has_no_queue(now) {
                    let weight = SERVICE_TIME_WEIGHT;
                    self.set_service_time(
                        now,
                        (self.decayed_service_time(now) * (8 - weight) + time * weight) / 8,
                    );
                }
            }
            SendOutcome::Unreachable | SendOutcome::Broken => {
                let backoff = MIN_BACKOFF * (1 << self.failures.min(5));
                self.backoff_until = now + backoff.min(MAX_BACKOFF);
                self.failures += 1;
            }
            SendOutcome::Shed | SendOutcome::Cancelled => {}
        }
    }

    /// Takes a report in that the target gave to this entry or another one at a time.
    pub fn record_report(&mut self, reported_at: Moment, report: LoadReport) {
        if self
            .report
            .is_some_and(|(_, previous)| reported_at < previous)
        {
            return;
        }
        self.report = Some((report, reported_at));
        self.sent_since = 0;
        if report.slots > 0 {
            self.slots = report.slots;
        }
    }

    /// Takes in how long requests usually take at the targets of its service.
    pub fn set_typical_latency(&mut self, service_time: Duration) {
        self.typical_latency = service_time;
    }

    /// Takes in how long requests take there of late.
    pub fn set_service_time(&mut self, now: Moment, service_time: Duration) {
        self.service_time = service_time;
        self.learned_at = Some(now);
    }

    /// Whether it failed of late and gets no request that could go elsewhere.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// When a failed target is tried again.
    pub fn backoff_until(&self) -> Moment {
        self.backoff_until
    }

    /// Time that a request takes there once it runs.
    pub fn service_time(&self, now: Moment) -> Duration {
        let report = self.recent_report(now);
        let recent = report.filter(|(_, at)| now.since(*at) < LATENCY_PERCENT_MAX_AGE);
        let Some((report, _)) = recent else {
            return self.decayed_service_time(now);
        };
        let latency_percent = report.latency_percent;
        // The mean holds past paces already, so the present one counts by half.
        self.decayed_service_time(now) * (TYPICAL_PERCENT + latency_percent.clamp(25, 1_000))
            / (2 * TYPICAL_PERCENT)
    }

    /// Time that a request takes, the more like the usual one the older what is known.
    fn decayed_service_time(&self, now: Moment) -> Duration {
        let Some(learned_at) = self.learned_at else {
            return self.typical_latency;
        };
        let age = now.since(learned_at).as_secs_f64() / SERVICE_TIME_DECAY.as_secs_f64();
        let weight = (-age).exp();
        self.service_time.mul_f64(weight) + self.typical_latency.mul_f64(1.0 - weight)
    }

    /// Requests there, running and waiting, by the latest report and what was sent since.
    pub fn backlog(&self, now: Moment) -> f64 {
        let in_flight = f64::from(self.in_flight);
        let Some((report, at)) = self.recent_report(now) else {
            return in_flight;
        };
        let reported = f64::from(report.running + report.waiting);
        // Since the report the target has worked some of it off, and others have sent more: the
        // running ones are taken to be replaced, the waiting ones to shrink.
        let age = now.since(at).as_secs_f64();
        let rate = f64::from(self.slots) / self.decayed_service_time(now).as_secs_f64().max(0.001);
        let waiting = (f64::from(report.waiting) - rate * age).max(0.0);
        let running = f64::from(report.running);
        (running + waiting + f64::from(self.sent_since.min(self.in_flight)))
            .min(reported + f64::from(self.sent_since))
            .max(in_flight)
    }

    /// Time until a request that is sent now would run.
    pub fn wait(&self, now: Moment) -> Duration {
        let ahead = self.backlog(now) + 1.0 - f64::from(self.slots);
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        self.service_time(now)
            .mul_f64(ahead / f64::from(self.slots))
    }

    fn recent_report(&self, now: Moment) -> Option<(LoadReport, Moment)> {
        self.report
            .filter(|(_, at)| now.since(*at) < REPORT_MAX_AGE)
    }

    fn has_no_queue(&self, now: Moment) -> bool {
        self.recent_report(now)
            .is_none_or(|(report, _)| report.waiting == 0)
    }
}
