//! Age of the catalog replica, for metrics and the log.

use super::Entry;
use crate::process::logging::EventLog;
use cornelrail_lib::process::event::Event;
use std::{sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Checks for as long as the process runs.
pub(super) async fn run(entry: Arc<Entry>) {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current = false;
    loop {
        checks.tick().await;
        let now = entry.clock.now();
        let (index, age, is_current) = {
            let router = entry.router();
            let age = router.confirmation_age(now);
            (router.index(), age, router.is_current(now))
        };
        // Before the first confirmation there is no replica to report.
        let (Some(index), Some(age)) = (index, age) else {
            continue;
        };
        metrics::gauge!("cornelrail_index").set(index as f64);
        metrics::gauge!("cornelrail_replica_age_seconds").set(age.as_secs_f64());
        if is_current != current {
            current = is_current;
            let event = match current {
                true => Event::ReplicaCurrent,
                false => Event::ReplicaBehind,
            };
            event.log(format_args!("index={index} age_ms={}", age.as_millis()));
        }
    }
}
