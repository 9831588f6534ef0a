//! The monotonic clock of the process.

use cornelrail_lib::moment::Moment;
use std::time::{Duration, Instant};

/// Clock whose origin is the time of its making.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Clock that starts now.
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// The instant of the runtime's timer that matches `moment`.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        let span = Duration::from_micros(moment.as_micros());
        tokio::time::Instant::from_std(self.origin + span)
    }
}
