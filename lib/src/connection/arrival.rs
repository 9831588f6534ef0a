//! Decides how long the next head on a caller's connection is waited for, while no answer is due.
//!
//! Until its first byte the connection is idle; from then on the head has to arrive. The limits may
//! change meanwhile, and those in force at the time of the decision count.

use crate::{moment::Moment, version::desired::RequestLimits};

/// Why the next head is no longer waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overdue {
    /// The connection was idle for too long.
    Idle,
    /// The head has begun, and is not whole in time.
    Head,
}

/// Wait for the next head of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    idle_since: Moment,
    begun: Option<Moment>,
}

impl Arrival {
    /// Wait that begins now.
    pub fn new(now: Moment) -> Self {
        Arrival {
            idle_since: now,
            begun: None,
        }
    }

    /// Records whether a part of the head is there.
    pub fn record(&mut self, now: Moment, has_part: bool) {
        self.begun = match has_part {
            true => self.begun.or(Some(now)),
            false => None,
        };
    }

    /// Until when the head is waited for.
    pub fn deadline(&self, limits: &RequestLimits) -> Moment {
        match self.begun {
            Some(begun) => begun + limits.head_time,
            None => self.idle_since + limits.idle_time,
        }
    }

    /// Why the head is no longer waited for after the deadline.
    pub fn reason(&self) -> Overdue {
        match self.begun {
            Some(_) => Overdue::Head,
            None => Overdue::Idle,
        }
    }
}
