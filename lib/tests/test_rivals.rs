//! Heartbeats of several writers under one name or at one address: which of them is the target.

use cornelrail_lib::{
    connection::{
        heartbeat::Heartbeat,
        pull_lease::{HeartbeatOutcome, LeaseConfig, OddHeartbeat},
    },
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    version::{
        catalog::{Catalog, Update},
        desired::{Change, Item, ItemVersion, ServiceSpec},
        leader::LeaderState,
    },
};
use std::time::Duration;

const STEP_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 500;
const LEASE_MS: u64 = 4_000;
/// Time within which a target that is alive serves again, whatever was said in its name: a lease, the
/// longest clock lag, and the heartbeats that show it.
const BACK_MS: u64 = LEASE_MS * 102 / 100 + 4 * HEARTBEAT_MS;
/// First start of the target.
const BORN: u64 = 1_000;

/// A leader whose proposals are committed at once, and its catalog.
struct World {
    leader: LeaderState,
    catalog: Catalog,
    now: u64,
    serial: u64,
}

impl World {
    fn new() -> Self {
        let spec = ServiceSpec {
            health: "/health".to_owned(),
            connections: 100,
            cold_period: Duration::ZERO,
            cold_rate: 1_000,
            keyed: true,
            warmup: Duration::ZERO,
        };
        let mut change = Change::default();
        let item = Item {
            version: ItemVersion(1),
            value: Some(spec),
            source: String::new(),
        };
        change.services.insert(Service::from("s"), item);
        let mut catalog = Catalog::default();
        catalog.apply(&Update::Desired(change));
        World {
            leader: leader(0, &Catalog::default()),
            catalog,
            now: 0,
            serial: 0,
        }
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn receive(&mut self, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let now = self.moment();
        let outcome = self.leader.heartbeat(now, &self.catalog, heartbeat);
        let id = match &outcome {
            HeartbeatOutcome::New => {
                self.catalog.apply(&Update::Join(heartbeat.record()));
                self.catalog.find(&heartbeat.name).map(|(id, _)| id)
            }
            HeartbeatOutcome::Known { id, updates } => {
                for update in updates {
                    self.catalog.apply(update);
                }
                Some(*id)
            }
            _ => None,
        };
        if let Some(id) = id {
            self.leader.renew_lease(now, &self.catalog, id);
        }
        outcome
    }

    /// Passes time while the target sends its heartbeats, if it is alive.
    fn run(&mut self, millis: u64, born: Option<u64>) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            for planned in self.leader.plan(self.moment(), &self.catalog) {
                self.catalog.apply(&planned.update);
                if let Some(service) = planned.completes {
                    self.leader.finish_plan(&service);
                }
            }
            if let Some(born) = born
                && self.now.is_multiple_of(HEARTBEAT_MS)
            {
                self.serial += 1;
                self.receive(&heartbeat(born, self.serial));
            }
        }
    }

    /// Time until the incarnation has an own heartbeat taken, while it sends them.
    fn time_until_taken(&mut self, born: u64) -> u64 {
        let begun = self.now;
        loop {
            self.run(HEARTBEAT_MS, Some(born));
            self.serial += 1;
            let outcome = self.receive(&heartbeat(born, self.serial));
            if matches!(outcome, HeartbeatOutcome::Known { .. }) {
                return self.now - begun;
            }
            assert!(self.now - begun < 60_000, "{outcome:?}");
        }
    }
}

fn leader(now: u64, catalog: &Catalog) -> LeaderState {
    let config = LeaseConfig {
        length: Duration::from_millis(LEASE_MS),
        heartbeat: Duration::from_millis(HEARTBEAT_MS),
    };
    LeaderState::new(config, Moment::from_millis(now), catalog)
}

fn heartbeat(born: u64, serial: u64) -> Heartbeat {
    Heartbeat {
        name: Target::from("w"),
        incarnation: Incarnation(born),
        service: Service::from("s"),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: Zone::from("a"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        serial,
        holds: Vec::new(),
        released: Vec::new(),
    }
}

/// A target that has served for a while.
fn settled() -> World {
    let mut world = World::new();
    world.run(10_000, Some(BORN));
    world
}

#[test]
fn a_heartbeat_of_a_later_incarnation_displaces_a_target_that_is_alive() {
    let mut world = settled();
    let names = [
        heartbeat(BORN + 1, 1),
        Heartbeat {
            name: Target::from("other"),
            ..heartbeat(BORN + 1, 1)
        },
    ];

    for odd in names {
        // One each 20 s, as often as a target is forgotten that is silent.
        for _ in 0..3 {
            let outcome = world.receive(&odd);
            assert!(matches!(outcome, HeartbeatOutcome::Waiting { .. }));
            assert!(world.time_until_taken(BORN) <= HEARTBEAT_MS);
            world.run(20_000, Some(BORN));
        }
    }
}

#[test]
fn a_target_that_starts_anew_waits_for_its_former_incarnation() {
    let mut world = settled();

    world.serial = 0;
    let waited = world.time_until_taken(BORN + 1);

    assert!(waited <= 3 * HEARTBEAT_MS, "{waited} ms");
}

#[test]
fn a_target_that_starts_anew_waits_for_ever_beside_heartbeats_in_the_name_of_the_former_one() {
    let mut world = settled();
    let begun = world.now;
    let mut former = world.serial;

    let mut outcome = HeartbeatOutcome::Stale;
    for serial in 1.. {
        world.run(HEARTBEAT_MS, None);
        former += 1;
        world.receive(&heartbeat(BORN, former));
        outcome = world.receive(&heartbeat(BORN + 1, serial));
        if outcome == HeartbeatOutcome::New || world.now - begun > BACK_MS {
            break;
        }
    }

    assert_eq!(outcome, HeartbeatOutcome::New);
}

#[test]
fn a_target_displaced_by_another_writer_while_it_was_cut_off_is_not_back_after_a_lease() {
    let mut world = settled();
    world.run(3_000, None);
    let outcome = world.receive(&heartbeat(u64::MAX, u64::MAX));
    assert_eq!(outcome, HeartbeatOutcome::New);

    let back = world.time_until_taken(BORN);

    assert!(back <= BACK_MS, "back after {back} ms");
}

#[test]
fn a_serial_number_that_is_never_reached_makes_all_others_stale() {
    let mut world = settled();

    for _ in 0..3 {
        let outcome = world.receive(&heartbeat(BORN, u64::MAX));
        assert_eq!(outcome, HeartbeatOutcome::Odd(OddHeartbeat::Leap));
    }

    assert!(world.time_until_taken(BORN) <= HEARTBEAT_MS);
}

#[test]
fn a_target_that_was_cut_off_for_long_is_stale_for_its_serial_number() {
    let mut world = settled();
    world.serial += 100_000;

    assert!(world.time_until_taken(BORN) <= 2 * HEARTBEAT_MS);
}

#[test]
fn a_new_leader_that_hears_another_writer_first_is_deaf_to_the_target() {
    let mut world = settled();
    world.leader = leader(world.now, &world.catalog);
    world.receive(&heartbeat(BORN, u64::MAX));

    let back = world.time_until_taken(BORN);

    assert!(back <= 3 * HEARTBEAT_MS, "back after {back} ms");
}

#[test]
fn a_new_leader_takes_late_heartbeats_for_the_target_counting_anew() {
    let mut world = settled();
    world.leader = leader(world.now, &world.catalog);
    let latest = world.serial;
    world.receive(&heartbeat(BORN, latest + 10));

    for late in latest..latest + 10 {
        let outcome = world.receive(&heartbeat(BORN, late));
        assert_eq!(outcome, HeartbeatOutcome::Stale);
    }
}

#[test]
fn a_target_that_has_just_joined_is_deaf_after_one_heartbeat_of_another_writer() {
    let mut world = World::new();
    world.receive(&heartbeat(BORN, 1));
    world.serial = 1;

    let outcome = world.receive(&heartbeat(BORN, u64::MAX));

    assert_eq!(outcome, HeartbeatOutcome::Odd(OddHeartbeat::Leap));
    assert!(world.time_until_taken(BORN) <= HEARTBEAT_MS);
}

#[test]
fn a_heartbeat_from_another_address_counts_as_one_of_the_target() {
    let mut world = settled();
    let odd = Heartbeat {
        address: ([10, 0, 0, 1], 9).into(),
        ..heartbeat(BORN, world.serial + 1)
    };

    let outcome = world.receive(&odd);

    assert_eq!(outcome, HeartbeatOutcome::Odd(OddHeartbeat::Moved));
    assert!(world.time_until_taken(BORN) <= HEARTBEAT_MS);
}

#[test]
fn a_target_whose_name_another_writer_took_first_is_not_back_after_a_lease() {
    let mut world = World::new();
    let odd = Heartbeat {
        address: ([10, 0, 0, 1], 9).into(),
        ..heartbeat(BORN, 1)
    };
    assert_eq!(world.receive(&odd), HeartbeatOutcome::New);

    let back = world.time_until_taken(BORN);

    assert!(back <= BACK_MS, "back after {back} ms");
}
