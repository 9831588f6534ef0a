//! What a cold target gets from one entry.
//!
//! Load pattern: targets that start or return under full traffic and break under it. The bound
//! holds for all entries together, in touch with the leader or not, so each has an equal part and
//! saves up no more than one request.

use crate::moment::Moment;
use std::time::Duration;

/// Part of the rate that is used: the number of entries may be out of date.
const CAUTION: f64 = 0.9;
/// Requests in 1000 seconds, for each request in a second.
const RATE_UNIT: f64 = 1_000.0;

/// Requests that one entry may send to one cold target.
#[derive(Debug, Clone, Copy)]
pub struct ColdRate {
    tokens: f64,
    at: Moment,
}

impl ColdRate {
    /// Rate for a target that is cold as of now. The part of a request that is saved up already has
    /// to be drawn evenly from 0 to 1: all entries hear of the target at one moment, and equal parts
    /// would let all of them send their first request at one moment too.
    pub fn new(now: Moment, saved: f64) -> Self {
        ColdRate {
            tokens: saved.clamp(0.0, 1.0),
            at: now,
        }
    }

    /// Takes one request, if the target bears it: `rate` requests in 1000 seconds from `entries`
    /// together. Gives the pause until there is room otherwise.
    pub fn take(&mut self, now: Moment, rate: u32, entries: u32) -> Result<(), Duration> {
        let own = f64::from(rate) / RATE_UNIT * CAUTION / f64::from(entries.max(1));
        let gained = own * now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(1.0);
        self.at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let pause = (1.0 - self.tokens) / own.max(0.001);
        Err(Duration::from_secs_f64(pause.min(10.0)))
    }
}
