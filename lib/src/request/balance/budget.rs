//! How often requests may be sent again, as a share of the fresh ones.
//!
//! The bound holds for all entries together. Each keeps to the share of its own requests, and to
//! its part of the fixed allowance, so they need not ask each other.

use crate::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// Part of the bound that is used, as windows of several entries do not begin together.
const CAUTION: f64 = 0.8;

/// Sendings beyond the first of each request to one service, in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    floor: f64,
    window: Duration,
    fresh: VecDeque<Moment>,
    again: VecDeque<Moment>,
}

impl RetryBudget {
    /// Budget of `ratio` for each fresh request and `floor` for all entries, in each window.
    pub fn new(ratio: f64, floor: f64, window: Duration) -> Self {
        RetryBudget {
            ratio,
            floor,
            window,
            fresh: VecDeque::new(),
            again: VecDeque::new(),
        }
    }

    /// Counts a fresh request.
    pub fn fresh(&mut self, now: Moment) {
        self.forget(now);
        self.fresh.push_back(now);
    }

    /// Takes one more sending, if there is one for an entry among `entries`.
    pub fn spend(&mut self, now: Moment, entries: u32) -> bool {
        self.forget(now);
        let share = self.floor / f64::from(entries.max(1));
        let allowed = (self.ratio * self.fresh.len() as f64 + share) * CAUTION;
        if (self.again.len() + 1) as f64 > allowed {
            return false;
        }
        self.again.push_back(now);
        true
    }

    fn forget(&mut self, now: Moment) {
        let window = self.window;
        let over = |queue: &mut VecDeque<Moment>| {
            while queue.front().is_some_and(|at| now.since(*at) >= window) {
                queue.pop_front();
            }
        };
        over(&mut self.fresh);
        over(&mut self.again);
    }
}
