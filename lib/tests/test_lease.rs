//! A home detects in time that a target's lease has expired, whether its orders are refused, lost
//! or answered late.

use cornelrail_lib::{
    connection::{
        lease::{EntryLease, HomeLease, LeaseState, LeaseTiming},
        order::{LeaseAnswer, Warmth},
    },
    moment::Moment,
    name::{Epoch, Incarnation, Target},
};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
/// Long enough for a lease to expire at the home.
const LONG_ENOUGH: Duration = Duration::from_millis(1_000);

fn timing() -> LeaseTiming {
    LeaseTiming {
        heartbeat: Duration::from_millis(100),
        timeout: Duration::from_millis(200),
        lease: Duration::from_millis(400),
        drift: Duration::from_millis(20),
    }
}

fn accepted(now: Moment) -> LeaseAnswer {
    LeaseAnswer {
        clock_ms: now.as_micros() / 1_000,
        target: Target::from("w-1"),
        incarnation: Incarnation(1),
        accepted: true,
        epoch: Epoch(1),
        warmth: Warmth::Warm,
        running: 0,
    }
}

/// The lease of a target at its home, driven in steps of time.
struct Setup {
    now: Moment,
    entry: EntryLease,
    lease: HomeLease,
}

/// A home whose own lease does not expire during the test.
fn setup() -> Setup {
    let now = Moment::from_millis(1_000);
    let mut entry = EntryLease::new();
    entry.renew(now, Duration::from_secs(60));
    Setup {
        now,
        entry,
        lease: HomeLease::new(now, Incarnation(1), Epoch(1), now, timing()),
    }
}

impl Setup {
    /// Runs for a while; `answer` decides what happens to each order.
    fn run(&mut self, duration: Duration, mut answer: impl FnMut(&mut HomeLease, Moment, u64)) {
        let end = self.now + duration;
        while self.now < end {
            if let Some(order) = self.lease.poll(self.now, &self.entry) {
                answer(&mut self.lease, self.now, order.serial);
            }
            self.now = self.now + STEP;
        }
    }

    /// Runs for a while in which the target accepts each order at once.
    fn run_answered(&mut self, duration: Duration) {
        self.run(duration, |lease, now, serial| {
            lease.on_answer(now, serial, &accepted(now));
        });
    }
}

#[test]
fn a_target_that_refuses_connections_is_gone_within_its_lease() {
    let mut setup = setup();
    setup.run_answered(LONG_ENOUGH);
    assert_eq!(setup.lease.state(setup.now), LeaseState::Leased);
    setup.run(LONG_ENOUGH, |lease, now, serial| {
        lease.on_failure(now, serial);
    });
    assert_eq!(setup.lease.state(setup.now), LeaseState::Gone);
}

#[test]
fn a_target_that_answers_no_order_is_gone_while_orders_continue() {
    let mut setup = setup();
    setup.run_answered(LONG_ENOUGH);
    setup.run(LONG_ENOUGH, |_, _, _| {});
    assert_eq!(setup.lease.state(setup.now), LeaseState::Gone);
}

#[test]
fn a_target_that_never_answered_its_new_home_is_gone_too() {
    let mut setup = setup();
    setup.run(LONG_ENOUGH, |lease, now, serial| {
        lease.on_failure(now, serial);
    });
    assert_eq!(setup.lease.state(setup.now), LeaseState::Gone);
}

#[test]
fn a_target_that_answers_again_before_its_lease_expires_is_leased_again() {
    let mut setup = setup();
    setup.run_answered(LONG_ENOUGH);
    setup.run(Duration::from_millis(420), |_, _, _| {});
    assert_eq!(setup.lease.state(setup.now), LeaseState::Suspect);
    setup.run_answered(LONG_ENOUGH);
    assert_eq!(setup.lease.state(setup.now), LeaseState::Leased);
}

#[test]
fn a_gone_target_gets_no_orders_after_its_home_regains_its_lease() {
    let mut setup = setup();
    setup.run_answered(LONG_ENOUGH);
    setup.run(LONG_ENOUGH, |_, _, _| {});
    setup.entry.release();
    setup.run_answered(LONG_ENOUGH);
    assert_eq!(setup.lease.state(setup.now), LeaseState::Gone);
    setup.entry.renew(setup.now, Duration::from_secs(60));
    let mut orders = 0;
    setup.run(LONG_ENOUGH, |lease, now, serial| {
        orders += 1;
        lease.on_answer(now, serial, &accepted(now));
    });
    assert_eq!(
        orders, 0,
        "the keys of a target reported as gone may have a new owner"
    );
    assert_eq!(setup.lease.state(setup.now), LeaseState::Gone);
}

/// A home that may not renew knows nothing of its targets.
#[test]
fn a_target_is_reported_lost_because_its_home_had_no_lease() {
    let mut setup = setup();
    setup.run_answered(LONG_ENOUGH);
    setup.entry.release();
    setup.run_answered(LONG_ENOUGH);
    let lapsed = setup.lease.state(setup.now);
    setup.entry.renew(setup.now, Duration::from_secs(60));
    let regained = setup.lease.state(setup.now);
    let first = setup.lease.poll(setup.now, &setup.entry).expect("an order");
    setup
        .lease
        .on_answer(setup.now, first.serial, &accepted(setup.now));
    setup.run_answered(LONG_ENOUGH);

    assert_eq!(
        (lapsed, regained),
        (LeaseState::Suspect, LeaseState::Suspect)
    );
    assert_eq!(first.until_ms, 0, "the reading of the clock is out of date");
    assert_eq!(setup.lease.state(setup.now), LeaseState::Leased);
}

#[test]
fn a_target_lost_while_its_home_had_no_lease_is_gone_once_it_has_one() {
    let mut setup = setup();
    setup.run_answered(LONG_ENOUGH);
    setup.entry.release();
    setup.run_answered(LONG_ENOUGH);
    setup.entry.renew(setup.now, Duration::from_secs(60));
    setup.run(LONG_ENOUGH, |_, _, _| {});

    assert_eq!(setup.lease.state(setup.now), LeaseState::Gone);
}

#[test]
fn a_late_answer_does_not_revive_a_gone_target() {
    let mut setup = setup();
    setup.run_answered(LONG_ENOUGH);
    let mut last = None;
    setup.run(LONG_ENOUGH, |_, _, serial| last = Some(serial));
    assert_eq!(setup.lease.state(setup.now), LeaseState::Gone);
    let serial = last.expect("an order");
    setup
        .lease
        .on_answer(setup.now, serial, &accepted(setup.now));
    setup.run_answered(LONG_ENOUGH);
    assert_eq!(setup.lease.state(setup.now), LeaseState::Gone);
}
