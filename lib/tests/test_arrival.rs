//! How long the next head of a caller's connection is waited for, under limits that change.

use cornelrail_lib::{
    connection::arrival::{Arrival, Overdue},
    moment::Moment,
    version::desired::RequestLimits,
};
use std::time::Duration;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn limits(head_ms: u64, idle_ms: u64) -> RequestLimits {
    RequestLimits {
        head_time: Duration::from_millis(head_ms),
        idle_time: Duration::from_millis(idle_ms),
        ..RequestLimits::default()
    }
}

#[test]
fn a_connection_is_idle_until_the_first_byte_of_a_head() {
    let mut arrival = Arrival::new(at(1_000));
    let limits = limits(800, 5_000);

    arrival.record(at(3_000), false);
    let idle = (arrival.deadline(&limits), arrival.reason());
    arrival.record(at(5_900), true);
    let begun = (arrival.deadline(&limits), arrival.reason());

    assert_eq!(idle, (at(6_000), Overdue::Idle));
    assert_eq!(begun, (at(6_700), Overdue::Head));
}

/// Each further byte of a head would give its sender the whole time again.
#[test]
fn a_head_counts_from_its_first_byte() {
    let mut arrival = Arrival::new(at(0));

    for millis in [100, 500, 900] {
        arrival.record(at(millis), true);
    }

    assert_eq!(arrival.deadline(&limits(800, 5_000)), at(900));
}

/// The limits at the begin of the wait would hold for good.
#[test]
fn the_limits_in_force_count() {
    let arrival = Arrival::new(at(1_000));

    let lowered = arrival.deadline(&limits(800, 2_000));
    let raised = arrival.deadline(&limits(800, 12_000));

    assert_eq!((lowered, raised), (at(3_000), at(13_000)));
}
