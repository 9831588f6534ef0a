//! Timer of a connection, which follows a deadline that may change.

use crate::process::clock::Clock;
use cornelrail_lib::moment::Moment;
use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep_until};

/// Shortest time for which the timer is set; that of the runtime is no finer.
const LEAST_WAIT: Duration = Duration::from_millis(1);

/// Timer that wakes its task at the latest deadline; made with the first one.
#[derive(Debug, Default)]
pub(super) struct Deadline {
    timer: Option<(Moment, Pin<Box<Sleep>>)>,
}

impl Deadline {
    /// Ends at `until`, whatever earlier deadlines were.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, clock: Clock, until: Moment) -> Poll<()> {
        let instant = || clock.instant(until).max(Instant::now() + LEAST_WAIT);
        let (set, timer) = self
            .timer
            .get_or_insert_with(|| (until, Box::pin(sleep_until(instant()))));
        if *set != until {
            *set = until;
            timer.as_mut().reset(instant());
        }
        while clock.now() < until {
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            timer.as_mut().reset(instant());
        }
        Poll::Ready(())
    }
}
