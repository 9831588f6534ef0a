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
const URGENT_SHARE: f64 = 1.4;
/// The same for the least urgent one.
const LAST_SHARE: f64 = 1.1;
/// Part of the time left that an answer may be expected to take.
const DEADLINE_SHARE: f64 = 0.9;
/// Shortest time after which a caller is asked back.
const LEAST_PAUSE: Duration = Duration::from_millis(50);

/// What a request wants.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Time from its arrival within which the answer is worth most.
    pub aim: Duration,
    /// Time that its caller waits from now on.
    pub left: Duration,
    /// Whether requests more urgent than this one go to the same service.
    pub last: bool,
}

/// Whether a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Send,
    /// It is turned away; there will be room after this time.
    Refuse(Duration),
}

/// Judges a request that would wait for `wait` and then run for `work`.
pub fn judge(ask: Ask, wait: Duration, work: Duration) -> Verdict {
    let end = wait + work;
    if end > ask.left.mul_f64(DEADLINE_SHARE) {
        return refuse(end - ask.left.mul_f64(DEADLINE_SHARE));
    }
    if wait.is_zero() {
        return Verdict::Send;
    }
    let share = if ask.last { LAST_SHARE } else { URGENT_SHARE };
    // A request that comes back has used its aim up; it may still queue as a first one may.
    let bound = ask.aim.mul_f64(share).max(work.mul_f64(1.5));
    match end <= bound {
        true => Verdict::Send,
        false => refuse(end - bound),
    }
}

fn refuse(pause: Duration) -> Verdict {
    Verdict::Refuse(pause.max(LEAST_PAUSE))
}
