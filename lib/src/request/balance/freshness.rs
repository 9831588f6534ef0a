//! Decides whether an entry may act on its catalog replica.
//!
//! A replica is used by either of two leases. The leader confirms that it holds all that was
//! acknowledged by some time. Or every core host showed that the entry reaches none that could
//! acknowledge anything: callers of an entry that is cut off may reach no other one. Each lease
//! lasts a bit less than the time within which a change takes effect everywhere, from a time before
//! the question was sent. What arrives late or not at all therefore never extends the use of a
//! replica that may lack a change in force.
//!
//! Load pattern: the link of the leader or of an entry is full, hosts are frozen or slow, or the
//! leader changes, so that updates and signs of life arrive late or not at all.

use crate::moment::Moment;
use std::time::Duration;

/// Share of the time to take effect for which a replica may be used after either proof. The rest is
/// the way of a request to its target.
const CURRENT_SHARE: f64 = 0.9;

/// Latest confirmation of a replica, and latest proof that no leader is in reach.
#[derive(Debug)]
pub struct Freshness {
    max_age: Duration,
    confirmed_at: Option<Moment>,
    leaderless_at: Option<Moment>,
}

impl Freshness {
    /// Freshness of an entry without a replica; a change must take effect within `in_force`.
    pub fn new(in_force: Duration) -> Self {
        Freshness {
            max_age: in_force.mul_f64(CURRENT_SHARE),
            confirmed_at: None,
            leaderless_at: None,
        }
    }

    /// Records that the replica holds everything acknowledged up to `at`. The arrival time of a
    /// message does not prove this, as the message may have been delayed.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records that there is a leader, which may acknowledge changes.
    pub fn observe_leader(&mut self) {
        self.leaderless_at = None;
    }

    /// Records that since `at` each core host was out of reach or knew no leader.
    pub fn observe_no_leader(&mut self, at: Moment) {
        self.leaderless_at = self.leaderless_at.max(Some(at));
    }

    /// Time up to which the replica holds everything acknowledged; `None` before the first
    /// confirmation.
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Whether the replica lacks no change that must be in force.
    pub fn is_current(&self, now: Moment) -> bool {
        self.is_recent(now, self.confirmed_at)
    }

    /// Whether there may be a leader in reach.
    pub fn has_leader(&self, now: Moment) -> bool {
        !self.is_recent(now, self.leaderless_at)
    }

    /// Whether requests may be sent on by the replica.
    pub fn may_serve(&self, now: Moment) -> bool {
        self.is_current(now) || (!self.has_leader(now) && self.confirmed_at.is_some())
    }

    fn is_recent(&self, now: Moment, at: Option<Moment>) -> bool {
        at.is_some_and(|at| now.since(at) < self.max_age)
    }
}
