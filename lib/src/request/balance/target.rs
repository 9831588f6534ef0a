//! Estimates of one target's queue, service time and availability, from its load reports and the
//! outcomes of requests.
//!
//! Load pattern: targets whose speed changes within a second and whose reports arrive late. Old
//! observations lose weight, so a target that was slow or failed is soon tried again.
//!
//! A target that turns so slow that it answers nothing in time tells nothing of itself. The time of a
//! request that it has not answered is a lower bound of its latency, and counts as one.
//!
//! A link that hangs for a second looks the same, but the target is as fast as before once the link is
//! whole, while requests that hung go on to end for as long as their time. So a request that got no
//! answer counts only if the target has answered nothing since it was sent, and a target that has left
//! several requests in a row without an answer gets one every half a second, whatever it is expected to
//! take.

use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Service time assumed until one is known for a target of the service.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(60);
/// Weight of the latest service time in the moving average, in eighths.
const SERVICE_TIME_WEIGHT: u32 = 1;
/// Age at which a service time has lost two thirds of its weight to the typical one of the service,
/// so that a slow target is tried again some seconds later.
const SERVICE_TIME_DECAY: Duration = Duration::from_secs(3);
/// Age from which a load report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Age from which the `latency_percent` of a report is ignored: noisy neighbours start and stop
/// several times a second.
const LATENCY_PERCENT_MAX_AGE: Duration = Duration::from_millis(300);
/// Backoff after the first failure; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Requests without an answer after which a target gets no more than trials.
const DOUBTFUL_REQUESTS: u32 = 2;
/// Time between two trials, and from the end of the last request to the next trial.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);
/// `latency_percent` of a target that runs at its typical speed.
const TYPICAL_PERCENT: u32 = 100;

/// Load that a target reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests running.
    pub running: u32,
    /// Number of requests waiting in the target's own queue.
    pub waiting: u32,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Current service time in percent of the target's typical service time.
    pub latency_percent: u32,
}

/// Outcome of one attempt to send a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target answered.
    Answered,
    /// The target had no room and did not run the request.
    Shed,
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The connection broke, or the answer was invalid.
    Broken,
    /// The target did not answer within the time of the request.
    Late,
    /// The attempt was abandoned, for example because the caller disconnected.
    Cancelled,
}

/// Load, service time and failures of one target, as estimated by one entry.
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
    /// Requests without an answer since the last answer.
    late: u32,
    /// Time of the last answer.
    answered_at: Option<Moment>,
    /// When the next trial is due, if the target has answered nothing.
    trial_at: Moment,
    backoff_until: Moment,
    /// Until when other targets are preferred.
    avoid_until: Moment,
}

impl TargetModel {
    /// Creates the model of a target of which only the slots are known.
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
            late: 0,
            answered_at: None,
            trial_at: Moment::ZERO,
            backoff_until: Moment::ZERO,
            avoid_until: Moment::ZERO,
        }
    }

    /// Notes that the target was chosen for a request.
    pub fn record_choice(&mut self, now: Moment) {
        self.trial_at = now + TRIAL_PAUSE;
    }

    /// Time after which the target is tried again, if it has left several requests without an answer.
    pub fn trial_wait(&self, now: Moment) -> Option<Duration> {
        (self.late >= DOUBTFUL_REQUESTS).then(|| self.trial_at.since(now))
    }

    /// Whether a request that got no answer for this time tells of the target: nothing that came since
    /// says that it answers.
    pub fn is_silent_since(&self, now: Moment, time: Duration) -> bool {
        self.answered_at.is_none_or(|at| now.since(at) >= time)
    }

    /// Counts a request that is being sent to the target.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since += 1;
    }

    /// Records how an attempt ended and how long it took. Only attempts that ended without a queue at
    /// the target change the service time, as others include the wait. `work` is the factor of the
    /// request's route.
    pub fn record_outcome(&mut self, now: Moment, outcome: SendOutcome, time: Duration, work: f64) {
        let mean_time = time.div_f64(work);
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Answered => {
                self.failures = 0;
                self.answered_at = Some(now);
                let was_late = std::mem::take(&mut self.late) > 0;
                if self.has_no_queue(now) {
                    // What the requests without an answer have taught is void.
                    let weight = if was_late { 8 } else { SERVICE_TIME_WEIGHT };
                    self.set_service_time(
                        now,
                        (self.decayed_service_time(now) * (8 - weight) + mean_time * weight) / 8,
                    );
                }
            }
            SendOutcome::Unreachable => self.back_off(now),
            // One broken answer says little of the next request.
            SendOutcome::Broken if self.failures == 0 => {
                self.failures = 1;
                self.avoid_until = now + MIN_BACKOFF;
            }
            SendOutcome::Broken => self.back_off(now),
            // Without a report of an empty queue it may have spent the time waiting.
            SendOutcome::Late if self.is_silent_since(now, time) => {
                if self.in_flight == 0 {
                    self.trial_at = now + TRIAL_PAUSE;
                }
                let usual = self.decayed_service_time(now);
                if mean_time > usual && self.has_no_queue(now) {
                    // One request may take long for reasons of its own.
                    let learned = if self.late == 0 {
                        (usual + mean_time) / 2
                    } else {
                        mean_time
                    };
                    self.set_service_time(now, learned);
                    self.late += 1;
                }
            }
            SendOutcome::Late | SendOutcome::Shed | SendOutcome::Cancelled => {}
        }
    }

    fn back_off(&mut self, now: Moment) {
        let backoff = MIN_BACKOFF * (1 << self.failures.min(5));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.failures += 1;
    }

    /// Records a load report that this or another entry received at `reported_at`. Ignores it if a
    /// later one is known.
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

    /// Sets the mean service time at the targets of its service.
    pub fn set_typical_latency(&mut self, service_time: Duration) {
        self.typical_latency = service_time;
    }

    /// Sets the recent service time at this target.
    pub fn set_service_time(&mut self, now: Moment, service_time: Duration) {
        self.service_time = service_time;
        self.learned_at = Some(now);
    }

    /// Whether the target failed recently and gets no requests for now.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// Whether the target failed recently, so that others are preferred.
    pub fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoid_until.max(self.backoff_until)
    }

    /// Time at which a failed target may be tried again.
    pub fn backoff_until(&self) -> Moment {
        self.backoff_until
    }

    /// Expected service time of the mean request of the service, if it starts now.
    pub fn service_time(&self, now: Moment) -> Duration {
        let report = self.recent_report(now);
        let recent = report.filter(|(_, at)| now.since(*at) < LATENCY_PERCENT_MAX_AGE);
        let Some((report, _)) = recent else {
            return self.decayed_service_time(now);
        };
        let latency_percent = report.latency_percent;
        // The average includes earlier slowdowns, so the current one counts by half.
        self.decayed_service_time(now) * (TYPICAL_PERCENT + latency_percent.clamp(25, 1_000))
            / (2 * TYPICAL_PERCENT)
    }

    /// Service time that decays towards the typical one of the service as it gets older.
    fn decayed_service_time(&self, now: Moment) -> Duration {
        let Some(learned_at) = self.learned_at else {
            return self.typical_latency;
        };
        let age = now.since(learned_at).as_secs_f64() / SERVICE_TIME_DECAY.as_secs_f64();
        let weight = (-age).exp();
        self.service_time.mul_f64(weight) + self.typical_latency.mul_f64(1.0 - weight)
    }

    /// Estimated number of requests running and waiting at the target, from its latest report and
    /// the requests sent since.
    pub fn backlog(&self, now: Moment) -> f64 {
        let in_flight = f64::from(self.in_flight);
        let Some((report, at)) = self.recent_report(now) else {
            return in_flight;
        };
        let reported = f64::from(report.running) + f64::from(report.waiting);
        // Since the report the target has finished some requests and other entries have sent more:
        // running ones are assumed to be replaced, while the queue shrinks.
        let age = now.since(at).as_secs_f64();
        let rate = f64::from(self.slots) / self.decayed_service_time(now).as_secs_f64().max(0.001);
        let waiting = (f64::from(report.waiting) - rate * age).max(0.0);
        let running = f64::from(report.running);
        (running + waiting + f64::from(self.sent_since.min(self.in_flight)))
            .min(reported + f64::from(self.sent_since))
            .max(in_flight)
    }

    /// Estimated share of the slots that are taken; above 1 with a queue.
    pub fn taken_share(&self, now: Moment) -> f64 {
        self.backlog(now) / f64::from(self.slots)
    }

    /// Whether a request that is sent now is expected to run at once.
    pub fn has_free_slot(&self, now: Moment) -> bool {
        self.backlog(now) + 1.0 <= f64::from(self.slots)
    }

    /// Whether this entry has sent so much since the target's last report that others go first. The
    /// rest of the slots may be taken by requests of other entries.
    pub fn awaits_report(&self) -> bool {
        self.sent_since.min(self.in_flight) >= (self.slots / 2).max(1)
    }

    /// Expected time in the queue of a request that is sent now.
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

    /// Whether a recent report tells of the load of the target.
    pub fn has_report(&self, now: Moment) -> bool {
        self.recent_report(now).is_some()
    }

    /// Whether no recent report tells of a queue at the target.
    pub fn has_no_queue(&self, now: Moment) -> bool {
        self.recent_report(now)
            .is_none_or(|(report, _)| report.waiting == 0)
    }
}
