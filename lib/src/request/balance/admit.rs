//! Admission control: whether a request is sent to a target or rejected at once.
//!
//! Load pattern: more requests than the targets can serve, for seconds. A queue much longer than
//! the latency goal makes every answer late without serving more requests. A request that would end
//! long after its goal is therefore rejected at once, with the time after which there will be room.
//! One that would end a little late is admitted, because a resend would end later still. Requests
//! of lower priority are rejected at a shorter queue, which leaves room for the more urgent ones.

use std::time::Duration;

/// Multiple of the latency goal within which a request must be expected to end. Twice as much gave
/// the same mean latency under load, with more late answers.
const GOAL_FACTOR: f64 = 1.4;
/// Same for requests of the lowest priority.
const LOWEST_PRIORITY_GOAL_FACTOR: f64 = 1.1;
/// Share of the time left that an answer may be expected to take.
const DEADLINE_SHARE: f64 = 0.9;
/// Minimum delay given to a rejected caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limits and priority of a request.
#[derive(Debug, Clone, Copy)]
pub struct LatencyBounds {
    /// Latency goal: time from arrival within which an answer is worth most.
    pub goal: Duration,
    /// Time from now until the caller stops waiting.
    pub time_left: Duration,
    /// Whether the service also gets requests of higher priority.
    pub lowest_priority: bool,
}

/// Result of admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send the request to the target.
    Admit,
    /// Reject it; the target is expected to have room after this time.
    Reject(Duration),
}

/// Admits a request that would wait for `wait` and then run for `service_time`, if it would end in
/// time.
pub fn admit(bounds: LatencyBounds, wait: Duration, service_time: Duration) -> Admission {
    let end = wait + service_time;
    if end > bounds.time_left.mul_f64(DEADLINE_SHARE) {
        return reject(end - bounds.time_left.mul_f64(DEADLINE_SHARE));
    }
    if wait.is_zero() {
        return Admission::Admit;
    }
    let factor = if bounds.lowest_priority {
        LOWEST_PRIORITY_GOAL_FACTOR
    } else {
        GOAL_FACTOR
    };
    // A resent request has used up its goal already, but may queue as long as a first one.
    let limit = bounds.goal.mul_f64(factor).max(service_time.mul_f64(1.5));
    match end <= limit {
        true => Admission::Admit,
        false => reject(end - limit),
    }
}

fn reject(delay: Duration) -> Admission {
    Admission::Reject(delay.max(MIN_RETRY_DELAY))
}
