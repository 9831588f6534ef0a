//! Requests that come while an entry ends.

use cornelrail_lib::{moment::Moment, request::balance::Shutdown};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Whether a request passes, `at` ms into a grace of which 5.6 s are for answers.
fn passes(at: u32, limit: u32, usual: Option<u32>) -> bool {
    let begun = Moment::ZERO + Duration::from_secs(100);
    let shutdown = Shutdown::new(begun, begun + 5_600 * MS);
    shutdown.admits(begun + at * MS, limit * MS, usual.map(|usual| usual * MS))
}

#[test]
fn a_request_that_may_outlast_the_grace_passes_early_if_it_usually_ends_in_time() {
    // Its own limit ends before the process.
    assert!(passes(100, 3_000, None));
    assert!(passes(3_100, 2_500, Some(400)));
    // Early in the grace, with a usual latency that fits several times.
    assert!(passes(100, 6_000, Some(400)));
    assert!(passes(2_400, 6_000, Some(400)));
    // As slow as all that is left, or of unknown latency.
    assert!(!passes(2_400, 6_000, Some(1_500)));
    assert!(!passes(100, 6_000, None));
}

#[test]
fn a_request_late_in_the_grace_passes_only_if_its_limit_ends_before_the_process() {
    assert!(!passes(3_100, 5_000, Some(100)));
    assert!(!passes(3_300, 3_000, Some(1)));
    assert!(passes(3_300, 2_300, None));
    assert!(!passes(5_700, 100, Some(1)));
}
