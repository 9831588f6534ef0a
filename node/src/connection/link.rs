//! The link of an entry, as its connections share it.
//!
//! The budget stands behind one lock that is held for a decision and never across a wait, like the
//! entry's copy of the fleet.

use crate::process::{clock::Clock, logging::EventLog};
use cornelrail_lib::{
    connection::link_budget::{BodyId, Direction, LinkBudget, LinkChange, Reservation, Upload},
    moment::Moment,
    process::event::Event,
};
use metrics::{Counter, Histogram};
use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Whether bytes passed at once or waited for their turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Short,
    Bulk,
}

/// Metrics of one direction, kept since looking one up for each piece costs more than counting.
struct DirectionMetrics {
    short: Counter,
    bulk: Counter,
    wait: Histogram,
}

impl DirectionMetrics {
    fn new(direction: &'static str) -> Self {
        let bytes = |purpose: &'static str| {
            metrics::counter!(
                "cornelrail_link_bytes_total", "direction" => direction, "purpose" => purpose
            )
        };
        DirectionMetrics {
            short: bytes("short"),
            bulk: bytes("bulk"),
            wait: metrics::histogram!("cornelrail_link_wait_seconds", "direction" => direction),
        }
    }
}

/// Budget of the link, its clock and its metrics.
pub struct Link {
    clock: Clock,
    budget: Mutex<LinkBudget>,
    inward: DirectionMetrics,
    outward: DirectionMetrics,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Link").field(&self.budget).finish()
    }
}

impl Link {
    /// Link of so many megabits per second; none if it is not set, or too fast for a budget.
    pub fn new(mbps: Option<f64>, clock: Clock) -> Option<Arc<Self>> {
        let budget = LinkBudget::new(mbps?)?;
        Some(Arc::new(Link {
            clock,
            budget: Mutex::new(budget),
            inward: DirectionMetrics::new("in"),
            outward: DirectionMetrics::new("out"),
        }))
    }

    fn budget(&self) -> MutexGuard<'_, LinkBudget> {
        // The budget is whole after each call.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn metrics(&self, direction: Direction) -> &DirectionMetrics {
        match direction {
            Direction::In => &self.inward,
            Direction::Out => &self.outward,
        }
    }

    /// Counts bytes that passed in the metrics.
    pub(super) fn count(&self, direction: Direction, purpose: Purpose, bytes: u64) {
        let metrics = self.metrics(direction);
        match purpose {
            Purpose::Short => metrics.short.increment(bytes),
            Purpose::Bulk => metrics.bulk.increment(bytes),
        }
    }

    /// Records bytes that passed without a reservation.
    pub(super) fn record(&self, direction: Direction, bytes: u64) {
        let now = self.clock.now();
        self.budget().record(now, direction, bytes);
    }

    /// Reserves a piece.
    pub(super) fn reserve(&self, direction: Direction, bytes: u64) -> (Reservation, Moment) {
        let now = self.clock.now();
        (self.budget().reserve(now, direction, bytes), now)
    }

    /// Time until a piece may go that was reserved at `since`. The whole wait is recorded once it is
    /// over.
    pub(super) fn wait(
        &self,
        direction: Direction,
        reservation: &mut Reservation,
        since: Moment,
    ) -> Option<Duration> {
        let now = self.clock.now();
        let due = self.budget().start(now, direction, reservation);
        if due.is_none() {
            let waited = now.since(since).as_secs_f64();
            self.metrics(direction).wait.record(waited);
        }
        due.map(|due| due.since(now))
    }

    pub(super) fn cancel(&self, direction: Direction, reservation: Reservation) {
        let now = self.clock.now();
        self.budget().cancel(now, direction, reservation);
    }

    /// Admits a body that can pass in time; otherwise gives the time after which it can.
    pub fn admit(
        self: &Arc<Self>,
        upload: Upload,
        time_left: Duration,
    ) -> Result<Admission, Duration> {
        let now = self.clock.now();
        let mut budget = self.budget();
        let admitted = budget.admit(now, upload, time_left);
        log_change(&mut budget, now);
        let link = self.clone();
        admitted.map(|id| Admission(Arc::new(Admitted { link, id })))
    }

    /// Bulk bytes of admitted bodies that have not passed yet.
    pub fn admitted(&self, direction: Direction) -> u64 {
        self.budget().admitted(direction)
    }

    /// Logs when refusals have ceased.
    pub fn sweep(&self) {
        let now = self.clock.now();
        log_change(&mut self.budget(), now);
    }
}

fn log_change(budget: &mut LinkBudget, now: Moment) {
    match budget.take_change(now) {
        Some(LinkChange::Full) => Event::LinkFull.log(format_args!(
            "in={} out={}",
            budget.admitted(Direction::In),
            budget.admitted(Direction::Out)
        )),
        Some(LinkChange::Free { refused }) => {
            Event::LinkFree.log(format_args!("refused={refused}"));
        }
        None => {}
    }
}

/// An admitted body, which the connections that carry it share.
#[derive(Debug)]
pub(super) struct Admitted {
    link: Arc<Link>,
    id: BodyId,
}

impl Admitted {
    /// Gives back bytes that got a reservation.
    pub(super) fn release(&self, direction: Direction, bytes: u64) {
        self.link.budget().release(self.id, direction, bytes);
    }
}

/// Admission of a body, which ends when it is dropped.
#[derive(Debug)]
pub struct Admission(pub(super) Arc<Admitted>);

impl Admission {
    /// Records that the whole body has come in.
    pub fn end_arrival(&self) {
        self.0.release(Direction::In, u64::MAX);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.0.link.budget().end(self.0.id);
    }
}
