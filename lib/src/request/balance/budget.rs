//! How often requests may be sent again, as a share of the fresh ones.
//!
//! The bound holds for all entries together. Each keeps to the share of its own requests, and to
//! its part of the fixed allowance, so they need not ask each other.

use crate::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// Part of the bound that is used, as windows of several entries do not begin together.
const USED_SHARE: f64 = 0.8;

/// Sendings beyond the first of each request to one service, in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    floor: f64,
    window: Duration,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Budget of `ratio` for each fresh request and `floor` for all entries, in each window.
    pub fn new(ratio: f64, floor: f64, window: Duration) -> Self {
        RetryBudget {
            ratio,
            floor,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a fresh request.
    pub fn record_request(&mut self, now: Moment) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one more sending, if there is one for an entry among `entries`.
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
