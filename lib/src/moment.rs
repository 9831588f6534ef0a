//! Monotonic time, which the state machines receive as an argument.
//!
//! A [`Moment`] is a reading of the local monotonic clock. Moments of different processes are not
//! comparable, so messages between processes carry a [`Duration`] instead.

use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Reading of the local monotonic clock, in microseconds since an arbitrary origin.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The origin of the clock.
    pub const ZERO: Moment = Moment(0);

    /// Moment `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Moment(micros)
    }

    /// Moment `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Moment(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to this moment; zero if `earlier` is the later one.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Reading of a peer's clock, and when it arrived by the local one.
///
/// The time that it took to arrive is not known, so the peer's clock is never behind what follows from
/// the reading, however long the link held it up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    told: Moment,
    arrived: Moment,
}

impl ClockReading {
    /// A reading that arrives at a moment of the local clock.
    pub fn new(told: Moment, arrived: Moment) -> Self {
        ClockReading { told, arrived }
    }

    /// Moment of the peer's clock that comes no later than `local`.
    pub fn translate(&self, local: Moment) -> Moment {
        self.told + local.since(self.arrived) - self.arrived.since(local)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_sub(duration.as_micros() as u64))
    }
}
