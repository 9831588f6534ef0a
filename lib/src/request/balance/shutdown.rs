//! Whether an entry that is told to end still passes a request on.
//!
//! Load pattern: callers go on sending on open connections, and on new ones until the balancer has
//! learnt that the entry ends; targets may be several times slower than usual. A request that is
//! passed on and cut at the end of the process is lost to its caller, and must not be repeated. One
//! that is rejected before it is sent is served by another entry at once.
//!
//! A request passes if its own time limit ends before the process does. While most of the time is
//! still left, one with a longer limit passes as well if it usually ends in a fraction of that time.

use crate::moment::Moment;
use std::time::Duration;

/// Time after the signal for which a request may pass that could last longer than the process.
const OPEN_TIME: Duration = Duration::from_millis(2_500);
/// Multiple of the usual latency for which there must be time.
const LATENCY_FACTOR: u32 = 3;

/// Planned end of a process.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    begun: Moment,
    end: Moment,
}

impl Shutdown {
    /// A process that is told to end at `begun` and answers requests until `end`.
    pub fn new(begun: Moment, end: Moment) -> Self {
        Shutdown { begun, end }
    }

    /// Whether a request passes that may last for `limit` and usually lasts for `usual`; `None` if
    /// that is not known.
    pub fn admits(&self, now: Moment, limit: Duration, usual: Option<Duration>) -> bool {
        let left = self.end.since(now);
        if limit <= left {
            return true;
        }
        let is_early = now.since(self.begun) < OPEN_TIME;
        is_early && usual.is_some_and(|usual| usual * LATENCY_FACTOR <= left)
    }
}
