//! The clock of the process, which counts the time for which the machine was suspended.
//!
//! A lease that is read from it is over after a suspension that outlasted it. The runtime's timers
//! stand still meanwhile, so whoever acts on a lease compares it with [`Clock::now`] first.

use cornelrail_lib::{moment::Moment, version::suspect_records::WallTime};
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Clock whose origin is the time of its making.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Clock that starts now.
    pub fn start() -> Self {
        Clock {
            origin: since_boot(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// The instant of the runtime's timer that matches `moment`, if the machine is not suspended
    /// until then.
    pub fn instant(&self, moment: Moment) -> Instant {
        let now = self.now();
        Instant::now() + moment.since(now) - now.since(moment)
    }
}

/// The time of day, which may jump.
pub fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::default().after(since.unwrap_or_default())
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
