//! Pace of the statuses of a leader to its entries.

use cornelrail_lib::{moment::Moment, version::status_pace::StatusPace};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::time::Duration;

/// Time over which statuses are counted.
const SPAN: Duration = Duration::from_secs(10);
/// Most bytes per second that statuses may take of the link of an entry.
const ENTRY_RATE: u64 = 32 << 10;
/// Most bytes per second that statuses may take of the link of the leader.
const LEADER_RATE: u64 = 4 << 20;

/// Statuses and their longest interval, if something changes at every millisecond with an even
/// draw of the seed, and each status has this size.
fn replay(seed: u64, bytes: usize, entries: usize) -> (u64, Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Moment::from_millis(5_000);
    let mut pace = StatusPace::new(start);
    let (mut count, mut last, mut longest) = (0, start, Duration::ZERO);
    for millis in 0..SPAN.as_millis() as u64 {
        let now = start + Duration::from_millis(millis);
        if rng.next_u32().is_multiple_of(2) {
            pace.hasten();
        }
        if pace.is_due(now) {
            pace.record_sent(now);
            pace.record_size(bytes, entries);
            count += 1;
            longest = longest.max(now.since(last));
            last = now;
        }
    }
    (count, longest)
}

#[test]
fn large_statuses_leave_the_links_to_updates() {
    for (bytes, entries) in [(4_000, 8), (8_500, 83), (12_000, 83), (4_000, 300)] {
        let (count, longest) = replay(1, bytes, entries);

        // One status more than the rate allows: the first.
        let total = (count - 1) * bytes as u64 / SPAN.as_secs();
        assert!(
            total <= ENTRY_RATE,
            "{bytes} bytes, {entries} entries: {total}"
        );
        assert!(
            total * entries as u64 <= LEADER_RATE,
            "{entries} entries: {total}"
        );
        assert!(longest <= Duration::from_millis(500), "{longest:?}");
    }
}

#[test]
fn small_statuses_follow_each_change_at_once() {
    let (count, longest) = replay(1, 300, 8);

    assert!(count > 500, "{count}");
    assert!(longest < Duration::from_millis(30), "{longest:?}");
}

#[test]
fn a_status_is_due_at_its_interval_without_changes() {
    let start = Moment::from_millis(5_000);
    let mut pace = StatusPace::new(start);
    pace.record_sent(start);
    pace.record_size(300, 8);

    let early = pace.is_due(start + Duration::from_millis(249));
    let due = pace.is_due(start + Duration::from_millis(250));

    assert_eq!((early, due), (false, true));
}

#[test]
fn the_largest_status_is_not_held_back_longer_than_entries_trust_it() {
    let (_, longest) = replay(1, 4 << 20, 300);

    assert!(longest <= Duration::from_millis(500), "{longest:?}");
}
