//! Placement of requests on pools, in a model of many entries.

use crate::pool_model::{MIXED_POOL, ORDERS, PAID, RETRIED_ORDERS, SYNCS, UNIFORM_POOL, run};

/// Guards against short requests that are refused for the times of long ones while slots are free, and
/// against entries that crowd the fastest targets.
#[test]
fn routes_of_different_work_share_a_pool() {
    for seed in 1..=3 {
        let outcome = run(seed, MIXED_POOL, &[ORDERS, RETRIED_ORDERS, SYNCS], 40);

        assert_eq!(outcome.busy, 0, "{outcome:?}");
        assert!(outcome.busiest <= 2.1, "{outcome:?}");
        assert!(outcome.late * 10 < outcome.sent, "{outcome:?}");
        assert!(outcome.queued * 4 < outcome.sent, "{outcome:?}");
    }
}

/// Guards against targets that are chosen without regard to the connections that are open.
#[test]
fn few_requests_need_a_new_connection() {
    for (shape, loads) in [(MIXED_POOL, &[ORDERS, SYNCS][..]), (UNIFORM_POOL, &[PAID])] {
        let outcome = run(1, shape, loads, 40);

        assert!(outcome.connects * 10 < outcome.sent, "{outcome:?}");
    }
}
