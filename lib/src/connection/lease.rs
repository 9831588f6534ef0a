//! Leases of an entry and of the targets that it is the home of.
//!
//! An entry's lease starts when the entry sent its heartbeat, so it never outlasts the lease that
//! the leader assumes. A target's lease ends at a reading of the target's own clock. The home gets
//! such readings from answers. It knows when it sent the order and when it received the answer, so
//! it can bound the end of the lease from both sides by its own clock, however long an order is in
//! transit. A lease that it grants never ends after its own.

use super::order::{LeaseAnswer, Warmth};
use crate::{
    moment::Moment,
    name::{Epoch, Incarnation},
};
use std::time::Duration;

/// Number of consecutive missed orders after which a target gets no new requests.
const SUSPECT_AFTER_MISSES: u32 = 2;
/// Largest error of two values that are rounded down to whole milliseconds.
const MAX_ROUNDING_ERROR: Duration = Duration::from_millis(2);

/// Lease of an entry, granted by the leader's answers to its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct EntryLease {
    end: Option<Moment>,
}

impl EntryLease {
    /// Creates a lease that is not yet granted.
    pub fn new() -> Self {
        EntryLease::default()
    }

    /// Renews the lease on the answer to the heartbeat sent at `sent`. An answer that would
    /// shorten the lease changes nothing.
    pub fn renew(&mut self, sent: Moment, lease: Duration) {
        self.end = self.end.max(Some(sent + lease));
    }

    /// Ends the lease at once, for example at shutdown.
    pub fn release(&mut self) {
        self.end = None;
    }

    /// Whether the entry holds its lease at `now`, and so may act on its state.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// End of the lease; `None` if none was granted or it was released.
    pub fn end(&self) -> Option<Moment> {
        self.end
    }
}

/// Timing of the lease orders of a home.
#[derive(Debug, Clone)]
pub struct LeaseTiming {
    /// Interval between orders.
    pub heartbeat: Duration,
    /// Time without an answer after which an order counts as missed.
    pub timeout: Duration,
    /// Longest lease that one order grants.
    pub lease: Duration,
    /// Largest drift between the clocks of two hosts during one lease.
    pub drift: Duration,
}

/// State of a target's lease, as its home knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// No order that grants a lease is confirmed: the target gets no requests.
    Pending,
    /// The target certainly holds its lease: it gets requests.
    Leased,
    /// Orders are missed, or the lease may have expired: the target gets no new requests.
    Suspect,
    /// Orders are missed and the target's lease has certainly expired: the home reports the target
    /// lost.
    Gone,
    /// The target answered under another incarnation: the home reports the restart.
    Restarted(Incarnation),
    /// The target has seen a higher epoch, so another entry is its home.
    Deposed(Epoch),
}

/// Parts of a lease order that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// Serial number of the order, to pass on with its answer or failure.
    pub serial: u64,
    /// End of the lease by the target's clock, in milliseconds; zero grants nothing.
    pub until_ms: u64,
    /// When the order counts as missed.
    pub deadline: Moment,
}

/// Earliest and latest end of a target's lease by the home's clock.
#[derive(Debug, Clone, Copy)]
struct EndBounds {
    earliest: Moment,
    latest: Moment,
}

/// Order whose answer is awaited.
#[derive(Debug)]
struct OutstandingOrder {
    serial: u64,
    sent: Moment,
    end: Option<EndBounds>,
}

/// Reading that the target took of its clock between `requested` and `received`.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    requested: Moment,
    received: Moment,
}

/// Lease of one target, renewed by this entry as its home.
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
    /// Creates the lease of a target that may hold one from a former home until `inherited_end`.
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

    /// Warm-up state in the last accepted answer of the target.
    pub fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Latest moment at which the target may believe that it holds a lease.
    pub fn latest_end(&self) -> Moment {
        self.granted_until
    }

    /// Returns the order to send now, if one is due and the entry's own lease covers it.
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

    /// Makes the next order due at once, because the grants have changed.
    pub fn make_due(&mut self, now: Moment) {
        self.next_order = self.next_order.min(now);
    }

    /// Moment until which the target certainly holds its lease, unless it restarts.
    pub fn confirmed_until(&self) -> Moment {
        self.confirmed_end.unwrap_or(Moment::ZERO)
    }

    /// Records the answer to order `serial`. An answer to an older order changes nothing.
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

    /// Records that sending order `serial` failed. The target may still have received it.
    pub fn on_failure(&mut self, now: Moment, serial: u64) -> LeaseState {
        if self.outstanding.take_if(|o| o.serial == serial).is_some() {
            self.misses += 1;
        }
        self.state(now)
    }

    /// State of the lease at `now`.
    pub fn state(&self, now: Moment) -> LeaseState {
        if let Some(state) = self.final_state {
            return state;
        }
        let is_expired = now >= self.latest_end() + self.timing.drift;
        // A lease also expires when the home may not renew it, which tells nothing of the target.
        if is_expired && self.misses >= SUSPECT_AFTER_MISSES {
            return LeaseState::Gone;
        }
        match self.confirmed_end {
            None => LeaseState::Pending,
            Some(end) if now < end && self.misses < SUSPECT_AFTER_MISSES => LeaseState::Leased,
            Some(_) => LeaseState::Suspect,
        }
    }

    /// When the result of [`HomeLease::poll`] or [`HomeLease::state`] may next change without an
    /// answer.
    pub fn next_wakeup(&self) -> Moment {
        match &self.outstanding {
            Some(order) => order.sent + self.timing.timeout,
            None => self.next_order,
        }
    }

    /// Longest lease that an order may grant now; it ends within the entry's own lease. `None` if
    /// the entry's lease is too short for any.
    ///
    /// A target whose clock is unknown or was read more than a lease ago, or that misses orders, gets
    /// orders that grant nothing until it answers one. Each order that grants a lease would postpone
    /// the moment from which the target certainly holds none.
    fn grantable_duration(&self, now: Moment, entry: &EntryLease) -> Option<Duration> {
        let is_recent = |reading: ClockReading| now.since(reading.requested) <= self.timing.lease;
        if !self.reading.is_some_and(is_recent) || self.misses >= SUSPECT_AFTER_MISSES {
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
            // An order that grants nothing ended the lease that the target had. The clock of the
            // target is known now, so the next order can grant one.
            None => {
                self.confirmed_end = None;
                self.next_order = now;
            }
        }
    }

    /// Counts an order that timed out as missed, and makes [`LeaseState::Gone`] final: once that is
    /// reported, another target may own the keys.
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
    /// Reading of the target's clock at which a lease that starts at `now` ends, rounded down.
    fn until_ms(&self, now: Moment, lease: Duration) -> u64 {
        let elapsed = now.since(self.received) + lease;
        self.clock_ms + elapsed.as_millis() as u64
    }

    /// Bounds of that end by the home's clock. The target read its clock after the order was sent
    /// and before the answer was received, and both the reading and the end are rounded down to
    /// whole milliseconds.
    fn end_bounds(&self, now: Moment, lease: Duration) -> EndBounds {
        let uncertainty = self.received.since(self.requested) + MAX_ROUNDING_ERROR;
        EndBounds {
            earliest: now + lease - uncertainty,
            latest: now + lease,
        }
    }
}
