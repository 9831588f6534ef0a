//! Whether a request is let in.
//!
//! Load pattern: more work than the targets can do, for seconds. A queue that is much longer than
//! the aim makes every answer late and serves nobody more, so a request that would end long after
//! its aim is turned away at once, with the time after which there will be room. One that ends a
//! little late is worth more to its caller than coming back. A less urgent request is turned away at
//! a shorter queue, so the more urgent ones find room.

use std::time::Duration;

/// Aims within which a request must be expected to end. Twice as much gave the same means on loaded
/// days, with more late answers.
const GOAL_FACTOR: f64 = 1.4;
/// The same for the least urgent one.
const LOWEST_PRIORITY_GOAL_FACTOR: f64 = 1.1;
/// Part of the time left that an answer may be expected to take.
const DEADLINE_SHARE: f64 = 0.9;
/// Shortest time after which a caller is asked back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a request wants.
#[derive(Debug, Clone, Copy)]
pub struct LatencyBounds {
    /// Time from its arrival within which the answer is worth most.
    pub goal: Duration,
    /// Time that its caller waits from now on.
    pub time_left: Duration,
    /// Whether requests more urgent than this one go to the same service.
    pub lowest_priority: bool,
}

/// Whether a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admit,
    /// It is turned away; there will be room after this time.
    Reject(Duration),
}

/// Judges a request that would wait for `wait` and then run for `work`.
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
    // A request that comes back has used its aim up; it may still queue as a first one may.
    let limit = bounds.goal.mul_f64(factor).max(service_time.mul_f64(1.5));
    match end <= limit {
        true => Admission::Admit,
        false => reject(end - limit),
    }
}

fn reject(delay: Duration) -> Admission {
    Admission::Reject(delay.max(MIN_RETRY_DELAY))
}
