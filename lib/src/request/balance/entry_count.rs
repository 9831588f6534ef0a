//! Number of entries among which rates are divided.
//!
//! Load pattern: a new leader counts the entries as they find it, one after the other, and entries
//! that are cut off from it still send. A lower count is therefore believed only after a while.

use crate::moment::Moment;
use std::time::Duration;

/// Time for which the highest count holds; entries find a new leader within it.
const COUNT_LIFETIME: Duration = Duration::from_secs(5);

/// Highest recent count of entries.
#[derive(Debug, Default)]
pub struct EntryCount {
    highest: Option<(u32, Moment)>,
}

impl EntryCount {
    /// Records a count of the leader.
    pub fn record(&mut self, now: Moment, count: u32) {
        let holds =
            |(highest, at): (u32, Moment)| count < highest && now.since(at) < COUNT_LIFETIME;
        if !self.highest.is_some_and(holds) {
            self.highest = Some((count, now));
        }
    }

    /// Number of entries, at least 1.
    pub fn get(&self) -> u32 {
        self.highest.map_or(1, |(highest, _)| highest.max(1))
    }
}
