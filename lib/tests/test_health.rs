//! Leases of targets stay within the bounds that their home knows, and straggler detection relies
//! on the home's own observations.

use cornelrail_lib::{
    connection::{
        health::{Condition, Health, HealthConfig},
        lease::{EntryLease, HomeLease, LeaseState, LeaseTiming, Renewal},
        order::{LeaseAnswer, Warmth},
    },
    moment::Moment,
    name::{Epoch, Incarnation, Target},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_millis(80);
const LEASE: Duration = Duration::from_millis(400);
const DRIFT: Duration = Duration::from_millis(10);

fn timing() -> LeaseTiming {
    LeaseTiming {
        heartbeat: HEARTBEAT,
        timeout: TIMEOUT,
        lease: LEASE,
        drift: DRIFT,
    }
}

fn home_lease() -> HomeLease {
    let start = Moment::from_millis(1);
    HomeLease::new(start, Incarnation(1), Epoch(1), start, timing())
}

fn entry_lease(millis: u64) -> EntryLease {
    let mut lease = EntryLease::new();
    lease.renew(Moment::ZERO, Duration::from_millis(millis));
    lease
}

fn answer() -> LeaseAnswer {
    LeaseAnswer {
        clock_ms: 0,
        target: Target::from("a"),
        incarnation: Incarnation(1),
        accepted: true,
        epoch: Epoch(1),
        warmth: Warmth::Warm,
        running: 0,
    }
}

crate::properties! {
    /// However many orders and answers are lost or late, the target's lease ends before the
    /// entry's own and before its home reports it as gone, and the home sends requests to it only
    /// while it certainly holds its lease.
    fn a_target_lease_is_bounded_by_what_its_home_knows(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut home = home_lease();
        let mut entry = entry_lease(1_000);
        let mut target = LeasedTarget::new(rng.random_range(0..1_000_000));
        let mut orders: Vec<InTransit> = Vec::new();
        let mut now = Moment::from_millis(1);
        for _ in 0..400 {
            now = now + Duration::from_micros(rng.random_range(1..30_000));
            if rng.random_range(0..8) == 0 {
                entry.renew(now - Duration::from_millis(20), Duration::from_secs(1));
            }
            if let Some(order) = home.poll(now, &entry) {
                let end = target.end_of(order.until_ms);
                assert!(entry.end().is_some_and(|e| end <= e));
                if rng.random_range(0..4) > 0 {
                    let late = rng.random_range(0..2_u64) * rng.random_range(0..1_000);
                    let arrival = now + Duration::from_millis(late + rng.random_range(0..20));
                    orders.push(InTransit { arrival, order });
                }
            }
            orders.retain(|transit| {
                if transit.arrival <= now {
                    let answer = target.apply(transit.arrival, &transit.order);
                    if rng.random_range(0..4) > 0 {
                        home.on_answer(now, transit.order.serial, &answer);
                    }
                }
                transit.arrival > now
            });
            assert!(home.latest_end() >= target.end);
            match home.state(now) {
                LeaseState::Gone => assert!(now >= target.end + DRIFT),
                LeaseState::Leased => assert!(now < target.end),
                _ => (),
            }
        }
        true
    }
}

/// An order in transit.
struct InTransit {
    arrival: Moment,
    order: Renewal,
}

/// A target whose clock is ahead of that of its home.
struct LeasedTarget {
    ahead: Duration,
    serial: u64,
    end: Moment,
}

impl LeasedTarget {
    /// Creates a target whose clock is ahead of the home's by this many microseconds.
    fn new(micros: u64) -> Self {
        LeasedTarget {
            ahead: Duration::from_micros(micros),
            serial: 0,
            end: Moment::ZERO,
        }
    }

    fn end_of(&self, until_ms: u64) -> Moment {
        Moment::from_millis(until_ms) - self.ahead
    }

    fn apply(&mut self, now: Moment, order: &Renewal) -> LeaseAnswer {
        let accepted = order.serial > self.serial;
        if accepted {
            self.serial = order.serial;
            self.end = self.end_of(order.until_ms);
        }
        LeaseAnswer {
            accepted,
            clock_ms: (now + self.ahead).as_micros() / 1_000,
            ..answer()
        }
    }
}

#[test]
fn a_home_without_a_lease_renews_nothing() {
    let mut home = home_lease();
    let now = Moment::from_millis(500);

    assert_eq!(home.poll(now, &EntryLease::new()), None);
    assert_eq!(home.poll(now, &entry_lease(500)), None);
    assert!(home.poll(now, &entry_lease(700)).is_some());
}

#[test]
fn missed_orders_stop_new_work_and_then_the_target_is_gone() {
    let mut home = home_lease();
    let entry = entry_lease(10_000);
    let start = Moment::from_millis(1);
    for expected in [LeaseState::Pending, LeaseState::Leased] {
        let order = home.poll(start, &entry).unwrap();
        assert_eq!(home.on_answer(start, order.serial, &answer()), expected);
    }

    let mut states = Vec::new();
    for step in 1..12 {
        let now = start + HEARTBEAT * step;
        home.poll(now, &entry);
        states.push(home.state(now));
    }

    assert_eq!(states[..2], [LeaseState::Leased, LeaseState::Leased]);
    assert_eq!(states[3], LeaseState::Suspect);
    assert_eq!(
        states[9],
        LeaseState::Gone,
        "orders were still due: {states:?}"
    );
    let end = home.latest_end();
    assert_eq!(home.state(end + DRIFT), LeaseState::Gone);
}

#[test]
fn an_answer_reveals_a_restart_or_a_later_home() {
    let cases = [
        (
            Incarnation(2),
            Epoch(1),
            LeaseState::Restarted(Incarnation(2)),
        ),
        (Incarnation(1), Epoch(4), LeaseState::Deposed(Epoch(4))),
    ];
    for (incarnation, epoch, expected) in cases {
        let mut home = home_lease();
        let now = Moment::from_millis(1);
        let order = home.poll(now, &entry_lease(1_000)).unwrap();
        let answer = LeaseAnswer {
            incarnation,
            epoch,
            accepted: false,
            ..answer()
        };

        assert_eq!(home.on_answer(now, order.serial, &answer), expected);
    }
}

#[test]
fn an_older_heartbeat_does_not_shorten_a_lease() {
    let mut lease = entry_lease(500);

    lease.renew(Moment::ZERO, Duration::from_millis(200));

    assert!(lease.is_valid(Moment::from_millis(499)));
    assert!(!lease.is_valid(Moment::from_millis(500)));
    lease.release();
    assert!(!lease.is_valid(Moment::ZERO));
}

/// Health of targets that have all answered in 10 ms, and the time of the last answer.
fn healthy_targets(names: &[&str]) -> (Health, Moment) {
    let mut health = Health::new(HealthConfig::default());
    let mut now = Moment::from_millis(1);
    names
        .iter()
        .for_each(|n| health.add(now, &Target::from(*n)));
    for attempt in 0..20 {
        for name in names {
            health.record_sent(now, &Target::from(*name), attempt);
        }
        let sent = now;
        now = now + Duration::from_millis(10);
        for name in names {
            health.record_ended(now, &Target::from(*name), sent, attempt, true);
        }
    }
    health.evaluate(now);
    (health, now)
}

#[test]
fn age_in_flight_marks_a_straggler_before_any_answer() {
    let (mut health, now) = healthy_targets(&["a", "b", "c"]);
    let slow = Target::from("b");
    health.record_sent(now, &slow, 100);
    health.record_sent(now, &slow, 101);

    health.evaluate(now + Duration::from_millis(15));
    let early = health.condition(&slow);
    health.evaluate(now + Duration::from_millis(30));

    assert_eq!(early, Condition::Healthy);
    assert_eq!(health.condition(&slow), Condition::Ejected);
    assert_eq!(health.condition(&Target::from("a")), Condition::Healthy);
}

#[test]
fn a_misleading_report_adds_little_load_and_expires() {
    let (mut health, now) = healthy_targets(&["a", "b"]);
    let target = Target::from("a");

    health.record_report(now, &target, 40);

    assert!(health.load(now, &target) <= 10.0);
    assert_eq!(health.load(now + Duration::from_secs(2), &target), 0.0);
    health.evaluate(now + Duration::from_millis(20));
    assert_eq!(health.condition(&target), Condition::Healthy);
}
