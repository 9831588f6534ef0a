//! Slow start: limits the rate at which one entry sends to a cold target.
//!
//! Load pattern: targets that start or return under full traffic and fail under it. The rate holds
//! for all entries together, whether or not they reach the leader. Each entry therefore uses an
//! equal share and saves up at most one request.

use crate::moment::Moment;
use std::time::Duration;

/// Share of the rate that is used, because the known number of entries may be out of date.
const USED_SHARE: f64 = 0.9;
/// Period that rates refer to: a rate of 1000 is one request per second.
const RATE_PERIOD_SECONDS: f64 = 1_000.0;

/// Token bucket for the requests that one entry may send to one cold target.
#[derive(Debug, Clone, Copy)]
pub struct ColdRateLimiter {
    tokens: f64,
    updated: Moment,
}

impl ColdRateLimiter {
    /// Creates the limiter of a target that is cold from `now`. The initial `tokens` must be drawn
    /// uniformly from 0 to 1: all entries learn of the target at the same time, and with equal
    /// tokens would all send their first request at the same time too.
    pub fn new(now: Moment, tokens: f64) -> Self {
        ColdRateLimiter {
            tokens: tokens.clamp(0.0, 1.0),
            updated: now,
        }
    }

    /// Takes a token for one request at a total of `rate` requests in 1000 seconds from all
    /// `entries`. Otherwise returns the delay until the next token.
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
