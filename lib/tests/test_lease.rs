//! A home's lease on a target ends in time, whatever becomes of its orders.

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
const LIMIT: Duration = Duration::from_millis(1_000);

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

/// A home and its target, step by step.
struct Pair {
    now: Moment,
    entry: EntryLease,
    lease: HomeLease,
}

/// A home whose own lease does not end in the test.
fn pair() -> Pair {
    let now = Moment::from_millis(1_000);
    let mut entry = EntryLease::new();
    entry.renew(now, Duration::from_secs(60));
    Pair {
        now,
        entry,
        lease: HomeLease::new(now, Incarnation(1), Epoch(1), now, timing()),
    }
}

impl Pair {
    /// Goes on for a while; `answer` says what becomes of each order.
    fn run(&mut self, span: Duration, mut answer: impl FnMut(&mut HomeLease, Moment, u64)) {
        let end = self.now + span;
        while self.now < end {
            if let Some(order) = self.lease.poll(self.now, &self.entry) {
                answer(&mut self.lease, self.now, order.serial);
            }
            self.now = self.now + STEP;
        }
    }

    fn answered(&mut self, span: Duration) {
        self.run(span, |lease, now, serial| {
            lease.on_answer(now, serial, &accepted(now));
        });
    }
}

#[test]
fn a_target_that_refuses_connections_is_gone_within_its_lease() {
    let mut pair = pair();
    pair.answered(LIMIT);
    assert_eq!(pair.lease.state(pair.now), LeaseState::Leased);
    pair.run(LIMIT, |lease, now, serial| {
        lease.on_failure(now, serial);
    });
    assert_eq!(pair.lease.state(pair.now), LeaseState::Gone);
}

#[test]
fn a_target_that_swallows_orders_is_gone_though_they_go_on() {
    let mut pair = pair();
    pair.answered(LIMIT);
    pair.run(LIMIT, |_, _, _| {});
    assert_eq!(pair.lease.state(pair.now), LeaseState::Gone);
}

#[test]
fn a_target_that_never_answered_its_new_home_is_gone_too() {
    let mut pair = pair();
    pair.run(LIMIT, |lease, now, serial| {
        lease.on_failure(now, serial);
    });
    assert_eq!(pair.lease.state(pair.now), LeaseState::Gone);
}

#[test]
fn a_target_that_answers_again_before_its_lease_is_over_is_leased_again() {
    let mut pair = pair();
    pair.answered(LIMIT);
    pair.run(Duration::from_millis(420), |_, _, _| {});
    assert_eq!(pair.lease.state(pair.now), LeaseState::Suspect);
    pair.answered(LIMIT);
    assert_eq!(pair.lease.state(pair.now), LeaseState::Leased);
}

#[test]
fn a_target_that_is_gone_is_sent_nothing_more_once_its_home_has_a_lease_again() {
    let mut pair = pair();
    pair.answered(LIMIT);
    pair.entry.release();
    pair.answered(LIMIT);
    assert_eq!(pair.lease.state(pair.now), LeaseState::Gone);
    pair.entry.renew(pair.now, Duration::from_secs(60));
    let mut orders = 0;
    pair.run(LIMIT, |lease, now, serial| {
        orders += 1;
        lease.on_answer(now, serial, &accepted(now));
    });
    assert_eq!(orders, 0, "what was reported as gone may have a successor");
    assert_eq!(pair.lease.state(pair.now), LeaseState::Gone);
}

#[test]
fn an_answer_that_comes_when_the_target_is_gone_does_not_bring_it_back() {
    let mut pair = pair();
    pair.answered(LIMIT);
    let mut last = None;
    pair.run(LIMIT, |_, _, serial| last = Some(serial));
    assert_eq!(pair.lease.state(pair.now), LeaseState::Gone);
    let serial = last.expect("an order");
    pair.lease.on_answer(pair.now, serial, &accepted(pair.now));
    pair.answered(LIMIT);
    assert_eq!(pair.lease.state(pair.now), LeaseState::Gone);
}
