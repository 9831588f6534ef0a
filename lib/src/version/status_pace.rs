//! Decides when the leader sends its next status to the entries.
//!
//! A status is due soon after a change and at a steady interval otherwise. A large one is due later,
//! so that statuses take a bounded share of the links of the leader and of each entry.
//!
//! Load pattern: a zone is taken out of service or loses its targets. Hundreds of key spans have no
//! holder, each status lists them all, and every heartbeat changes the list.

use crate::moment::Moment;
use std::time::Duration;

/// Interval between statuses while nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between two statuses.
const MIN_INTERVAL: Duration = Duration::from_millis(15);
/// Longest interval between two statuses; entries ignore the times in one that is older than twice
/// this.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes per second that statuses may take of the link of an entry.
const ENTRY_RATE: u32 = 32 << 10;
/// Bytes per second that the statuses for all entries may take of the link of the leader.
const LEADER_RATE: u32 = 4 << 20;

/// Times of the statuses of one leader.
#[derive(Debug)]
pub struct StatusPace {
    due: Moment,
    sent: Moment,
    /// Shortest interval after the latest status, by its size.
    interval: Duration,
}

impl StatusPace {
    /// Pace of a leader whose first status is due now.
    pub fn new(now: Moment) -> Self {
        StatusPace {
            due: now,
            sent: Moment::ZERO,
            interval: MIN_INTERVAL,
        }
    }

    /// Whether a status is due.
    pub fn is_due(&self, now: Moment) -> bool {
        self.due <= now
    }

    /// Makes the next status due soon, because there is something new to tell.
    pub fn hasten(&mut self) {
        self.due = self.due.min(self.sent + self.interval);
    }

    /// Records that a status is sent.
    pub fn record_sent(&mut self, now: Moment) {
        self.sent = now;
        self.due = now + IDLE_INTERVAL;
    }

    /// Records the encoded size of the latest status and the number of entries that receive it.
    pub fn record_size(&mut self, bytes: usize, entries: usize) {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        let rate = ENTRY_RATE.min(LEADER_RATE / entries).max(1);
        let time = Duration::from_secs(bytes as u64) / rate;
        self.interval = time.clamp(MIN_INTERVAL, MAX_INTERVAL);
        self.due = self.due.max(self.sent + self.interval);
    }
}
