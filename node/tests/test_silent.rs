//! Targets that take requests and answer none of them in time.

use crate::test_seeded::{PATIENCE, ask, call, fleet_with, order, set_up};
use cornelrail_testutils::scripted::{self, Ask, Record, Reply};
use http::Method;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time limit of the routes.
const LIMIT: Duration = Duration::from_millis(600);
/// Time within which a request is refused that is not sent.
const AT_ONCE: Duration = Duration::from_millis(200);

fn silent_under_load(ask: &Ask) -> Reply {
    match ask.path.starts_with("/r/load") {
        true => Reply::silence(ask),
        false => Reply::answer(ask, "fine"),
    }
}

#[tokio::test]
async fn requests_wait_their_whole_time_at_a_target_that_answers_nothing() {
    let record = Arc::<Record>::default();
    let fleet =
        fleet_with(|listener, _| scripted::serve(listener, record, silent_under_load)).await;
    set_up(&fleet).await;
    let limit = format!("{}ms", LIMIT.as_millis());
    call(fleet.control, "config.patch", &order(8, &limit)).await;
    let begun = Instant::now();
    // The new time limit is in force once a request ends at it.
    while {
        let sent = Instant::now();
        ask(&fleet, Method::GET, "/r/load", "first", 0).await;
        sent.elapsed() > 2 * LIMIT
    } {
        assert!(begun.elapsed() < PATIENCE, "the limit is not in force");
    }
    ask(&fleet, Method::GET, "/r/load", "second", 0).await;

    let sent = Instant::now();
    let (status, ..) = ask(&fleet, Method::GET, "/r/load", "third", 0).await;

    assert_eq!(status, 503);
    assert!(sent.elapsed() < AT_ONCE, "after {:?}", sent.elapsed());
}
