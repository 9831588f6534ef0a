//! Budget of the narrow link of an entry.
//!
//! Load pattern: uploads of 60 KB beside short requests on a link of a few megabits per second. A
//! single upload fills the queue of the link for 130 ms, and a burst of uploads delays every short
//! message by seconds.
//!
//! Each direction has a virtual clock: the time at which the link has carried all that was assigned
//! to it. The first [`SHORT_BYTES`] of a message pass at once and advance the clock. The rest is bulk
//! and goes in pieces of [`PIECE_BYTES`]: a flow reserves one piece, which may go when the clock is
//! reached, and reserves the next one only after it has gone. So flows take turns, a short message
//! waits for one piece at most, and bulk uses all that short messages leave.

use super::link_forecast::{self, Passage, Rates};
use crate::moment::Moment;
use std::{collections::BTreeMap, mem, time::Duration};

/// Bytes of a message that count as short.
pub const SHORT_BYTES: u64 = 8 << 10;
/// Bytes of bulk that go at once. The link is busy with them for 9 ms at 3.7 Mbit/s.
pub const PIECE_BYTES: usize = 4 << 10;

/// Rate above which there is no budget: such a link carries 64 KiB in 5 ms.
const FAST_MBPS: f64 = 100.0;
/// Part of the rate that is given out. The rest is for headers of packets and control messages.
const GIVEN_PART: f64 = 0.9;
/// Part of the given rate that bulk gets also while short messages alone would fill the link.
const BULK_PART: f64 = 0.1;
/// Headers that a short write or read costs on the link.
const HEADER_BYTES: u64 = 60;
/// Bound on how far short bytes advance the clock. Their estimate may be too high, and the error
/// would add up.
const SHORT_LEAD: Duration = Duration::from_secs(1);
/// Time by which a timer fires late; the clock lags behind the present by as much, so that the rate
/// is not lost to it.
const TIMER_LAG: Duration = Duration::from_millis(2);
/// Time over which the rate of short bytes is averaged.
const MEAN_TIME: Duration = Duration::from_secs(1);
/// Part of its time in which a new body has to end by the forecast. The rest is for what short messages
/// take more than of late, which would make the bodies before it late.
const NEW_PART: f64 = 0.9;
/// Shortest pause that is named to a caller.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Time without a refusal after which uploads count as admitted again.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Direction on the link, seen from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Towards the entry.
    In,
    /// Away from the entry.
    Out,
}

/// Place of a piece of bulk on the clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// Size of the piece.
    pub bytes: u64,
    /// When the piece may go, if no short bytes come before it.
    at: Moment,
    /// When it goes at the latest.
    latest: Moment,
    /// Time of all short bytes when it was made.
    short_time: Duration,
    /// Whether the piece was let go.
    is_started: bool,
}

/// Body that is to pass through the entry.
#[derive(Debug, Clone, Copy)]
pub struct Upload {
    /// Its length.
    pub bytes: u64,
    /// Whether it is read whole before it is sent on.
    pub is_held: bool,
}

/// Number of an admitted body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(u64);

/// What is left of an admitted body.
#[derive(Debug, Clone, Copy)]
struct Admitted {
    inward: u64,
    outward: u64,
    is_held: bool,
    deadline: Moment,
}

impl Admitted {
    fn left_mut(&mut self, direction: Direction) -> &mut u64 {
        match direction {
            Direction::In => &mut self.inward,
            Direction::Out => &mut self.outward,
        }
    }

    fn has_passed(&self) -> bool {
        self.inward + self.outward == 0
    }

    /// The body on a link that is busy until `start`.
    fn passage(&self, start: Moment) -> Passage {
        let left = self.deadline.since(start).as_secs_f64();
        Passage {
            inward: self.inward as f64,
            outward: self.outward as f64,
            is_held: self.is_held,
            deadline: left - start.since(self.deadline).as_secs_f64(),
            end: 0.0,
        }
    }
}

/// Clock of one direction.
#[derive(Debug, Clone)]
struct DirectionBudget {
    /// Bytes per second that are given out.
    rate: f64,
    /// When the link has carried all that was assigned.
    busy_until: Moment,
    /// Bytes of the pieces that wait for their time.
    waiting: u64,
    /// Time of all unpaced bytes since the start. It moves the reservations that wait.
    short_time: Duration,
    /// Unpaced bytes of late, weighted by age.
    recent: f64,
    recent_at: Moment,
}

impl DirectionBudget {
    fn new(rate: f64) -> Self {
        DirectionBudget {
            rate,
            busy_until: Moment::ZERO,
            waiting: 0,
            short_time: Duration::ZERO,
            recent: 0.0,
            recent_at: Moment::ZERO,
        }
    }

    fn time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate)
    }

    fn clock(&self, now: Moment) -> Moment {
        self.busy_until.max(now - TIMER_LAG)
    }

    /// Unpaced bytes of late at `now`.
    fn recent(&self, now: Moment) -> f64 {
        let age = now.since(self.recent_at).as_secs_f64() / MEAN_TIME.as_secs_f64();
        self.recent * (-age).exp()
    }

    fn record(&mut self, now: Moment, bytes: u64) {
        let bytes = bytes + HEADER_BYTES;
        self.recent = self.recent(now) + bytes as f64;
        self.recent_at = now;
        let clock = self.clock(now);
        let bound = clock.max(now + SHORT_LEAD);
        self.busy_until = (clock + self.time(bytes)).min(bound);
        self.short_time += self.busy_until.since(clock);
    }

    fn reserve(&mut self, now: Moment, bytes: u64) -> Reservation {
        let clock = self.clock(now);
        self.waiting += bytes;
        self.busy_until = clock + self.time(bytes);
        Reservation {
            bytes,
            at: clock,
            latest: now + self.time(self.waiting).div_f64(BULK_PART),
            short_time: self.short_time,
            is_started: false,
        }
    }

    fn due(&self, reservation: &Reservation) -> Moment {
        let moved = self.short_time.saturating_sub(reservation.short_time);
        (reservation.at + moved).min(reservation.latest)
    }

    fn start(&mut self, now: Moment, reservation: &mut Reservation) -> Option<Moment> {
        let due = self.due(reservation);
        if due > now {
            return Some(due);
        }
        if !reservation.is_started {
            reservation.is_started = true;
            self.waiting = self.waiting.saturating_sub(reservation.bytes);
        }
        None
    }

    fn cancel(&mut self, now: Moment, reservation: Reservation) {
        let time = self.time(reservation.bytes);
        // Time that went by unused can be given to nobody.
        if now < self.due(&reservation) + time {
            self.busy_until = self.busy_until - time;
        }
        if !reservation.is_started {
            self.waiting = self.waiting.saturating_sub(reservation.bytes);
        }
    }

    /// Bytes per second that short messages leave at present.
    fn bulk_rate(&self, now: Moment) -> f64 {
        let short = self.recent(now) / MEAN_TIME.as_secs_f64();
        (self.rate - short).max(self.rate * BULK_PART)
    }
}

/// Change in whether uploads are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// Refusals have begun.
    Full,
    /// Nothing was refused for a while; so many were before.
    Free {
        /// Refused uploads since the refusals began.
        refused: u64,
    },
}

/// Budget of a link in both directions.
#[derive(Debug, Clone)]
pub struct LinkBudget {
    inward: DirectionBudget,
    outward: DirectionBudget,
    bodies: BTreeMap<BodyId, Admitted>,
    next_body: u64,
    /// Refused bodies since the refusals began.
    refused: u64,
    last_refusal: Option<Moment>,
    /// Whether the refusals were told by `take_change`.
    is_refusing: bool,
}

impl LinkBudget {
    /// Budget of a link of so many megabits per second in each direction; none for a fast link.
    pub fn new(mbps: f64) -> Option<Self> {
        let direction = DirectionBudget::new(mbps * GIVEN_PART * 1e6 / 8.0);
        (mbps <= FAST_MBPS).then(|| LinkBudget {
            inward: direction.clone(),
            outward: direction,
            bodies: BTreeMap::new(),
            next_body: 0,
            refused: 0,
            last_refusal: None,
            is_refusing: false,
        })
    }

    fn direction(&mut self, direction: Direction) -> &mut DirectionBudget {
        match direction {
            Direction::In => &mut self.inward,
            Direction::Out => &mut self.outward,
        }
    }

    /// Records bytes that passed without a reservation.
    pub fn record(&mut self, now: Moment, direction: Direction, bytes: u64) {
        self.direction(direction).record(now, bytes);
    }

    /// Assigns its time to the next piece of a flow.
    pub fn reserve(&mut self, now: Moment, direction: Direction, bytes: u64) -> Reservation {
        self.direction(direction).reserve(now, bytes)
    }

    /// Lets a piece go, or gives the moment at which to ask again: short bytes that came meanwhile go
    /// before it.
    pub fn start(
        &mut self,
        now: Moment,
        direction: Direction,
        reservation: &mut Reservation,
    ) -> Option<Moment> {
        self.direction(direction).start(now, reservation)
    }

    /// Takes back a reservation, or the unused rest of one. Later reservations keep their times; the
    /// next one comes sooner.
    pub fn cancel(&mut self, now: Moment, direction: Direction, reservation: Reservation) {
        self.direction(direction).cancel(now, reservation);
    }

    /// Admits a body that can come in and go out again in time without making one late that was admitted
    /// before. Otherwise gives the time after which it can; a body too long for an empty link is told
    /// when the link is empty.
    pub fn admit(
        &mut self,
        now: Moment,
        upload: Upload,
        time_left: Duration,
    ) -> Result<BodyId, Duration> {
        let mut body = Admitted {
            inward: upload.bytes,
            outward: upload.bytes,
            is_held: upload.is_held,
            deadline: now + time_left.mul_f64(NEW_PART),
        };
        let rates = Rates {
            inward: self.inward.bulk_rate(now),
            outward: self.outward.bulk_rate(now),
        };
        let busy_until = self.inward.busy_until.max(self.outward.busy_until).max(now);
        let bodies = self.bodies.values().filter(|body| !body.has_passed());
        let bodies: Vec<_> = bodies.map(|body| body.passage(busy_until)).collect();
        let new = body.passage(busy_until);
        if !link_forecast::fits(&bodies, new, rates) {
            self.refused += 1;
            self.last_refusal = Some(now);
            let pause = link_forecast::pause(&bodies, new, rates);
            return Err(Duration::from_secs_f64(pause).max(MIN_PAUSE));
        }
        body.deadline = now + time_left;
        let id = BodyId(self.next_body);
        self.next_body += 1;
        self.bodies.insert(id, body);
        Ok(id)
    }

    /// Records that so many bytes of an admitted body have passed or were reserved.
    pub fn release(&mut self, id: BodyId, direction: Direction, bytes: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            let left = body.left_mut(direction);
            *left = left.saturating_sub(bytes);
            // What has gone out has come in, also if it was read before the body was admitted.
            body.inward = body.inward.min(body.outward);
        }
    }

    /// Records that the request of an admitted body has ended.
    pub fn end(&mut self, id: BodyId) {
        self.bodies.remove(&id);
    }

    /// Bytes that are admitted and have not passed yet.
    pub fn admitted(&self, direction: Direction) -> u64 {
        let bodies = self.bodies.values().copied();
        bodies.map(|mut body| *body.left_mut(direction)).sum()
    }

    /// Whether refusals have begun or ceased since the last call.
    pub fn take_change(&mut self, now: Moment) -> Option<LinkChange> {
        let last = self.last_refusal?;
        if !self.is_refusing {
            self.is_refusing = true;
            return Some(LinkChange::Full);
        }
        if now.since(last) < CALM_TIME {
            return None;
        }
        self.is_refusing = false;
        self.last_refusal = None;
        let refused = mem::take(&mut self.refused);
        Some(LinkChange::Free { refused })
    }
}

/// Sizes of the messages that a connection carries now. A message begins when the other direction
/// has carried bytes.
#[derive(Debug, Clone, Default)]
pub struct MessageSizes {
    direction: Option<Direction>,
    bytes: u64,
}

impl MessageSizes {
    /// Bytes that still count as short in this direction.
    pub fn short_left(&self, direction: Direction) -> u64 {
        match self.direction == Some(direction) {
            true => SHORT_BYTES.saturating_sub(self.bytes),
            false => SHORT_BYTES,
        }
    }

    /// Records bytes that passed.
    pub fn record(&mut self, direction: Direction, bytes: u64) {
        if self.direction != Some(direction) {
            self.direction = Some(direction);
            self.bytes = 0;
        }
        self.bytes += bytes;
    }
}
