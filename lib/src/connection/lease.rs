//! Leases of an entry and of the targets that it is the home of.
//!
//! An entry's lease ends at the time of sending its heartbeat plus the lease's length, so it never
//! outlives what the leader counts. A target's lease ends at a reading of the target's own clock.
//! The home knows such readings from answers, and when it asked for them and heard them, so it
//! bounds the end from both sides by its own clock, however long an order is on its way. What it
//! grants ends before its own lease.

use super::order::{LeaseAnswer, Warmth};
use crate::{
    moment::Moment,
    name::{Epoch, Incarnation},
};
use std::time::Duration;

/// Number of missed orders in a row after which new work stops.
const SUSPECT_AFTER_MISSES: u32 = 2;
/// What two cuts to whole milliseconds take off at most.
const MAX_ROUNDING_ERROR: Duration = Duration::from_millis(2);

/// Lease of this entry, granted by the leader's answers to its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct EntryLease {
    end: Option<Moment>,
}

impl EntryLease {
    /// A lease not yet granted.
    pub fn new() -> Self {
        EntryLease::default()
    }

    /// Takes in the answer to the heartbeat sent at `sent`; an older answer changes nothing.
    pub fn renew(&mut self, sent: Moment, lease: Duration) {
        self.end = self.end.max(Some(sent + lease));
    }

    /// Gives the lease up, as a shutdown does.
    pub fn release(&mut self) {
        self.end = None;
    }

    /// Whether the entry may act now.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// End of the lease, if one was ever granted.
    pub fn end(&self) -> Option<Moment> {
        self.end
    }
}

/// Time spans of a home's lease on a target.
#[derive(Debug, Clone)]
pub struct LeaseTiming {
    /// Pause between orders.
    pub heartbeat: Duration,
    /// Time after which an order without an answer counts as missed.
    pub timeout: Duration,
    /// Longest lease that one order grants.
    pub lease: Duration,
    /// How much the clocks of two hosts may run apart during a lease.
    pub drift: Duration,
}

/// Condition of the tie between a home and its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// No order has been answered yet: no work.
    Pending,
    /// The target holds its lease: work.
    Leased,
    /// Orders are missed or the lease is over: no new work.
    Suspect,
    /// The target's lease is certainly over: report it lost.
    Gone,
    /// The target answered under another incarnation: report the restart.
    Restarted(Incarnation),
    /// The target has seen a higher epoch: another entry is its home.
    Deposed(Epoch),
}

/// An order that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// Number of the order; its answer names it.
    pub serial: u64,
    /// End of the lease by the target's clock, in milliseconds; zero grants nothing.
    pub until_ms: u64,
    /// When the order counts as missed.
    pub deadline: Moment,
}

/// Span of the home's clock in which a target's lease ends.
#[derive(Debug, Clone, Copy)]
struct EndBounds {
    earliest: Moment,
    latest: Moment,
}

#[derive(Debug)]
struct OutstandingOrder {
    serial: u64,
    sent: Moment,
    end: Option<EndBounds>,
}

/// Reading of the target's clock, taken between `requested` and `received`.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    requested: Moment,
    received: Moment,
}

/// Lease of one target under this entry as its home.
#[derive(Debug)]
pub struct HomeLease {
    incarnation: Incarnation,
    epoch: Epoch,
    timing: LeaseTiming,
    outstanding: Option<OutstandingOrder>,
    serial: u64,
    next_order: Moment,
    misses: u32,
    reading: Option<ClockReading>,
    confirmed_end: Option<Moment>,
    granted_until: Moment,
    warmth: Warmth,
    final_state: Option<LeaseState>,
}

impl HomeLease {
    /// Lease of a target that may hold one from an earlier home until `inherited_end`.
    pub fn new(
        now: Moment,
        incarnation: Incarnation,
        epoch: Epoch,
        inherited_end: Moment,
        timing: LeaseTiming,
    ) -> Self {
        HomeLease {
            incarnation,
            epoch,
            timing,
            outstanding: None,
            serial: 0,
            next_order: now,
            misses: 0,
            reading: None,
            confirmed_end: None,
            granted_until: inherited_end.max(now),
            warmth: Warmth::Cold,
            final_state: None,
        }
    }

    /// Incarnation of the target that the lease is for.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Epoch under which the home sends its orders.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// How warm the target last said it was.
    pub fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Latest moment at which the target may believe that it holds a lease.
    pub fn latest_end(&self) -> Moment {
        self.granted_until
    }

    /// Order to send now, if one is due and the entry's own lease covers it.
    pub fn poll(&mut self, now: Moment, entry: &EntryLease) -> Option<Renewal> {
        self.expire(now);
        if self.final_state.is_some() || self.outstanding.is_some() || now < self.next_order {
            return None;
        }
        let lease = self.grantable_duration(now, entry)?;
        let reading = self.reading.filter(|_| !lease.is_zero());
        let end = reading.map(|reading| reading.end_bounds(now, lease));
        if let Some(end) = end {
            self.granted_until = self.granted_until.max(end.latest);
        }
        self.serial += 1;
        self.next_order = now + self.timing.heartbeat;
        self.outstanding = Some(OutstandingOrder {
            serial: self.serial,
            sent: now,
            end,
        });
        Some(Renewal {
            serial: self.serial,
            until_ms: reading.map_or(0, |reading| reading.until_ms(now, lease)),
            deadline: now + self.timing.timeout,
        })
    }

    /// Makes the next order due at once, since what it grants has changed.
    pub fn make_due(&mut self, now: Moment) {
        self.next_order = self.next_order.min(now);
    }

    /// End of the lease that the target is sure to hold, unless it restarted.
    pub fn confirmed_until(&self) -> Moment {
        self.confirmed_end.unwrap_or(Moment::ZERO)
    }

    /// Takes in the answer to order `serial`; an answer to an older order changes nothing.
    pub fn on_answer(&mut self, now: Moment, serial: u64, answer: &LeaseAnswer) -> LeaseState {
        self.expire(now);
        let Some(order) = self.outstanding.take_if(|o| o.serial == serial) else {
            return self.state(now);
        };
        if answer.incarnation != self.incarnation {
            self.final_state = Some(LeaseState::Restarted(answer.incarnation));
        } else if answer.epoch > self.epoch {
            self.final_state = Some(LeaseState::Deposed(answer.epoch));
        } else {
            self.reading = Some(ClockReading {
                clock_ms: answer.clock_ms,
                requested: order.sent,
                received: now,
            });
            self.apply_answer(now, &order, answer);
        }
        self.state(now)
    }

    /// Takes in that order `serial` failed on its way; the target may still have got it.
    pub fn on_failure(&mut self, now: Moment, serial: u64) -> LeaseState {
        if self.outstanding.take_if(|o| o.serial == serial).is_some() {
            self.misses += 1;
        }
        self.state(now)
    }

    /// Condition of the tie now.
    pub fn state(&self, now: Moment) -> LeaseState {
        if let Some(state) = self.final_state {
            return state;
        }
        if now >= self.latest_end() + self.timing.drift {
            return match self.confirmed_end {
                None if self.misses < SUSPECT_AFTER_MISSES => LeaseState::Pending,
                _ => LeaseState::Gone,
            };
        }
        match self.confirmed_end {
            None => LeaseState::Pending,
            Some(end) if now < end && self.misses < SUSPECT_AFTER_MISSES => LeaseState::Leased,
            Some(_) => LeaseState::Suspect,
        }
    }

    /// When [`HomeLease::poll`] or [`HomeLease::state`] next changes by time alone.
    pub fn next_wakeup(&self) -> Moment {
        match &self.outstanding {
            Some(order) => order.sent + self.timing.timeout,
            None => self.next_order,
        }
    }

    /// Length that may be granted: it ends within the entry's own lease.
    ///
    /// A target whose clock is not known, or that misses orders, is sent orders of no length until
    /// it answers one. Each order with a length would put off the end of what it may believe to hold.
    fn grantable_duration(&self, now: Moment, entry: &EntryLease) -> Option<Duration> {
        if self.reading.is_none() || self.misses >= SUSPECT_AFTER_MISSES {
            return entry.is_valid(now).then_some(Duration::ZERO);
        }
        let remaining = entry.end()?.since(now);
        let lease = self.timing.lease.min(remaining);
        (lease >= self.timing.heartbeat).then_some(lease)
    }

    fn apply_answer(&mut self, now: Moment, order: &OutstandingOrder, answer: &LeaseAnswer) {
        if !answer.accepted {
            self.misses += 1;
            return;
        }
        self.misses = 0;
        self.warmth = answer.warmth;
        match order.end {
            Some(end) => self.confirmed_end = self.confirmed_end.max(Some(end.earliest)),
            // An order of no length ended what it had; its clock is known now, so the next grants.
            None => {
                self.confirmed_end = None;
                self.next_order = now;
            }
        }
    }

    /// Gives up a late order, and for good a target that is gone: once that is reported, its keys
    /// may be another's.
    fn expire(&mut self, now: Moment) {
        let timeout = self.timing.timeout;
        let is_late = |o: &mut OutstandingOrder| now >= o.sent + timeout;
        if self.outstanding.take_if(is_late).is_some() {
            self.misses += 1;
        }
        if self.state(now) == LeaseState::Gone {
            self.final_state = Some(LeaseState::Gone);
        }
    }
}

impl ClockReading {
    /// Reading of the target's clock at which a lease of this length from `now` ends, rounded down.
    fn until_ms(&self, now: Moment, lease: Duration) -> u64 {
        let elapsed = now.since(self.received) + lease;
        self.clock_ms + elapsed.as_millis() as u64
    }

    /// When that is by the home's clock: the target read its clock after it was asked and before it
    /// was heard, and both the reading and the end are cut to whole milliseconds.
    fn end_bounds(&self, now: Moment, lease: Duration) -> EndBounds {
        let uncertainty = self.received.since(self.requested) + MAX_ROUNDING_ERROR;
        EndBounds {
            earliest: now + lease - uncertainty,
            latest: now + lease,
        }
    }
}
