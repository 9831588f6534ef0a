//! Retry budget: how many retries an entry may make, as a share of the new requests.
//!
//! Load pattern: targets that fail or reject many requests, whose retries would add to the
//! overload. The bound holds for all entries together. Each entry keeps to the share of its own
//! requests and to an equal part of the fixed allowance, so entries need not coordinate.

use crate::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// Share of the bound that is used, because the windows of entries do not start at the same time.
const USED_SHARE: f64 = 0.8;

/// Limits the retries of requests to one service within a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    floor: f64,
    window: Duration,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Allows `ratio` retries per new request, plus `floor` retries per window for all entries
    /// together.
    pub fn new(ratio: f64, floor: f64, window: Duration) -> Self {
        RetryBudget {
            ratio,
            floor,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a new request, which raises the budget.
    pub fn record_request(&mut self, now: Moment) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget of an entry among `entries`. Returns false if it is used
    /// up.
    pub fn try_retry(&mut self, now: Moment, entries: u32) -> bool {
        self.drop_expired(now);
        let share = self.floor / f64::from(entries.max(1));
        let allowed = (self.ratio * self.requests.len() as f64 + share) * USED_SHARE;
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: Moment) {
        let window = self.window;
        let drop_old = |times: &mut VecDeque<Moment>| {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        };
        drop_old(&mut self.requests);
        drop_old(&mut self.retries);
    }
}
