//! What a cold target gets from one entry.
//!
//! Load pattern: targets that start or return under full traffic and break under it. The bound
//! holds for all entries together, in touch with the leader or not, so each has an equal part and
//! saves up no more than one request.

use crate::moment::Moment;
use std::time::Duration;

/// Part of the rate that is used: the number of entries may be out of date.
const USED_SHARE: f64 = 0.9;
/// Requests in 1000 seconds, for each request in a second.
const RATE_PERIOD_SECONDS: f64 = 1_000.0;

/// Requests that one entry may send to one cold target.
#[derive(Debug, Clone, Copy)]
pub struct ColdRateLimiter {
    tokens: f64,
    updated: Moment,
}

impl ColdRateLimiter {
    /// Rate for a target that is cold as of now. The part of a request that is saved up already has
    /// to be drawn evenly from 0 to 1: all entries hear of the target at one moment, and equal parts
    /// would let all of them send their first request at one moment too.
    pub fn new(now: Moment, tokens: f64) -> Self {
        ColdRateLimiter {
            tokens: tokens.clamp(0.0, 1.0),
            updated: now,
        }
    }

    /// Takes one request, if the target bears it: `rate` requests in 1000 seconds from `entries`
    /// together. Gives the pause until there is room otherwise.
    pub fn try_take(&mut self, now: Moment, rate: u32, entries: u32) -> Result<(), Duration> {
        let share = f64::from(rate) / RATE_PERIOD_SECONDS * USED_SHARE / f64::from(entries.max(1));
        let gained = share * now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + gained).min(1.0);
        self.updated = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let delay = (1.0 - self.tokens) / share.max(0.001);
        Err(Duration::from_secs_f64(delay.min(10.0)))
    }
}
