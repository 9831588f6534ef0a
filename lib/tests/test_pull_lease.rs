//! Leases that targets pull: in random schedules no key is held by two living targets.
//!
//! The model has one leader at a time, with commits that take time and may be lost with it, and
//! targets with slow clocks, late heartbeats and answers, freezes and new lives.

use cornelrail_lib::{
    connection::{
        heartbeat::{Heartbeat, HeldSpan, Lease, ReleasedSpan},
        pull_lease::{HeartbeatOutcome, LeaseConfig},
    },
    moment::Moment,
    name::{Fence, Incarnation, Service, Target, Zone},
    version::{
        catalog::{Catalog, KeySpan, Update},
        desired::{Change, Item, ItemVersion, ServiceSpec},
        feed::{BucketTraffic, TargetTraffic, TrafficReport},
        leader::LeaderState,
    },
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::time::Duration;

const STEP_MS: u64 = 10;
const BEAT_MS: u64 = 300;
const LEASE_MS: u64 = 1_200;
/// An answer that comes later is not taken, nor one to another heartbeat than the latest.
const ANSWER_MS: u64 = 1_000;
const SERVICE: &str = "s";

fn config() -> LeaseConfig {
    LeaseConfig {
        length: Duration::from_millis(LEASE_MS),
        heartbeat: Duration::from_millis(BEAT_MS),
    }
}

fn spec() -> ServiceSpec {
    ServiceSpec {
        health: "/health".to_owned(),
        connections: 100,
        cold_period: Duration::ZERO,
        cold_rate: 1_000_000,
        keyed: true,
        warmup: Duration::ZERO,
    }
}

fn catalog() -> Catalog {
    let mut change = Change::default();
    let item = Item {
        version: ItemVersion(1),
        value: Some(spec()),
        source: String::new(),
    };
    change.services.insert(Service::from(SERVICE), item);
    let mut catalog = Catalog::default();
    catalog.apply(&Update::Desired(change));
    catalog
}

/// A span that a target holds until a time of the true clock.
#[derive(Debug, Clone)]
struct Holding {
    span: KeySpan,
    fence: Fence,
}

#[derive(Debug)]
struct StandIn {
    name: Target,
    life: u64,
    slow: bool,
    up: bool,
    frozen: u64,
    serial: u64,
    next: u64,
    sent: u64,
    holds: Vec<Holding>,
    until: u64,
    released: Vec<ReleasedSpan>,
}

impl StandIn {
    fn new(number: usize) -> Self {
        StandIn {
            name: Target(format!("w{number}")),
            life: 1,
            slow: number.is_multiple_of(2),
            up: true,
            frozen: 0,
            serial: 0,
            next: number as u64 * 37,
            sent: 0,
            holds: Vec::new(),
            until: 0,
            released: Vec::new(),
        }
    }

    fn beat(&mut self, leaving: bool) -> Heartbeat {
        self.serial += 1;
        let holds = self.holds.iter().map(|h| HeldSpan {
            span: h.span,
            fence: h.fence,
        });
        let number = self.name.as_str()[1..].parse::<u16>().unwrap();
        Heartbeat {
            name: self.name.clone(),
            incarnation: Incarnation(self.life),
            service: Service::from(SERVICE),
            address: ([10, 0, 0, 1], 8000 + number).into(),
            zone: Zone::from("a"),
            slots: 2,
            leaving,
            cold_left: Duration::ZERO,
            serial: self.serial,
            holds: holds.collect(),
            released: std::mem::take(&mut self.released),
        }
    }

    /// Takes a lease that answers the heartbeat sent at `sent`.
    fn take(&mut self, sent: u64, lease: &Lease) {
        let length = lease.length.as_millis() as u64;
        let length = if self.slow {
            length * 1_020 / 1_000
        } else {
            length
        };
        let wanted: Vec<Holding> = lease
            .grants
            .iter()
            .map(|g| Holding {
                span: g.span,
                fence: g.fence,
            })
            .collect();
        for held in &self.holds {
            let kept = wanted.iter().any(|w| w.span.overlaps(&held.span));
            if !kept {
                self.released.push(ReleasedSpan {
                    span: held.span,
                    handover: format!("{}-{}", self.name, held.fence),
                });
            }
        }
        if self.holds.len() != wanted.len() {
            self.next = self.next.min(sent + 100);
        }
        self.holds = wanted;
        self.until = sent + length;
    }

    fn reborn(&mut self) {
        self.life += 1;
        self.serial = 0;
        self.holds.clear();
        self.released.clear();
        self.up = true;
    }
}

/// What travels: a heartbeat, or an answer to the life that sent it.
enum Parcel {
    Up(usize, u64, u64, Heartbeat),
    Down(usize, u64, u64, Lease),
}

/// Heartbeat that waits for a command: target, life and time of sending.
type Asker = (usize, u64, u64);

struct Commit {
    due: u64,
    update: Update,
    last: Option<Service>,
    then: Option<Asker>,
}

struct World {
    now: u64,
    rng: ChaCha8Rng,
    catalog: Catalog,
    leader: Option<LeaderState>,
    leaderless: u64,
    commits: Vec<Commit>,
    parcels: Vec<(u64, Parcel)>,
    targets: Vec<StandIn>,
    moves: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        World {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            catalog: catalog(),
            leader: Some(LeaderState::new(config(), Moment::ZERO)),
            leaderless: 0,
            commits: Vec::new(),
            parcels: Vec::new(),
            targets: (0..5).map(StandIn::new).collect(),
            moves: 0,
        }
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn delay(&mut self) -> u64 {
        match self.draw(30) {
            0 => 200 + self.draw(2_500),
            _ => self.draw(40),
        }
    }

    fn propose(&mut self, update: Update, last: Option<Service>, then: Option<Asker>) {
        let due = self.now + 5 + self.draw(60);
        let due = self
            .commits
            .last()
            .map_or(due, |commit| due.max(commit.due));
        self.commits.push(Commit {
            due,
            update,
            last,
            then,
        });
    }

    fn answer(&mut self, target: usize, life: u64, sent: u64) {
        let now = self.moment();
        let name = self.targets[target].name.clone();
        let Some((id, _)) = self.catalog.find(&name) else {
            return;
        };
        let lease = self
            .leader
            .as_mut()
            .and_then(|leader| leader.renew_lease(now, &self.catalog, id));
        if let Some(lease) = lease {
            let due = self.now + self.delay();
            self.parcels
                .push((due, Parcel::Down(target, life, sent, lease)));
        }
    }

    fn apply(&mut self) {
        while self
            .commits
            .first()
            .is_some_and(|commit| commit.due <= self.now)
        {
            let Commit {
                update, last, then, ..
            } = self.commits.remove(0);
            self.moves += usize::from(matches!(update, Update::Move { .. }));
            self.catalog.apply(&update);
            if let (Some(service), Some(leader)) = (last, &mut self.leader) {
                leader.finish_plan(&service);
            }
            if let Some((target, life, sent)) = then {
                self.answer(target, life, sent);
            }
        }
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.parcels)
            .into_iter()
            .partition(|(due, _)| *due <= self.now);
        self.parcels = later;
        for (_, parcel) in due {
            match parcel {
                Parcel::Up(target, life, sent, beat) => self.hear(target, life, sent, &beat),
                Parcel::Down(target, life, sent, lease) => {
                    let now = self.now;
                    let one = &mut self.targets[target];
                    let awake = one.up && one.frozen <= now;
                    let latest = one.life == life && one.sent == sent;
                    if awake && latest && now < sent + ANSWER_MS {
                        one.take(sent, &lease);
                    }
                }
            }
        }
    }

    fn hear(&mut self, target: usize, life: u64, sent: u64, beat: &Heartbeat) {
        let now = self.moment();
        let Some(leader) = &mut self.leader else {
            return;
        };
        match leader.heartbeat(now, &self.catalog, beat) {
            HeartbeatOutcome::Stale => {}
            HeartbeatOutcome::New => {
                self.propose(
                    Update::Join(beat.record()),
                    None,
                    Some((target, life, sent)),
                );
            }
            HeartbeatOutcome::Known { mut updates, .. } => match updates.pop() {
                None => self.answer(target, life, sent),
                Some(last) => {
                    for update in updates {
                        self.propose(update, None, None);
                    }
                    self.propose(last, None, Some((target, life, sent)));
                }
            },
        }
    }

    fn lead(&mut self) {
        let now = self.moment();
        if self.leader.is_none() {
            if self.now >= self.leaderless {
                self.leader = Some(LeaderState::new(config(), now));
            }
            return;
        }
        if self.draw(400) == 0 {
            // What was proposed is in the next leader's log or nowhere, before that one begins.
            for Commit { update, .. } in std::mem::take(&mut self.commits) {
                if self.draw(2) == 0 {
                    self.catalog.apply(&update);
                }
            }
            self.leader = None;
            self.leaderless = self.now + 100 + self.draw(500);
            return;
        }
        let hot = self.draw(4_096) as u16;
        if let Some(leader) = &mut self.leader {
            leader.record_traffic(now, report(hot, &self.catalog));
            for planned in leader.plan(now, &self.catalog) {
                self.propose(planned.update, planned.completes, None);
            }
        }
    }

    fn disturb(&mut self) {
        let target = self.draw(5) as usize;
        let (now, what) = (self.now, self.draw(300));
        let span = 100 + self.draw(3_000);
        let one = &mut self.targets[target];
        match what {
            0 => one.frozen = now + span,
            1 => one.up = false,
            2 if !one.up => one.reborn(),
            3 if one.up => one.reborn(),
            _ => {}
        }
    }

    fn beat(&mut self) {
        for target in 0..self.targets.len() {
            let now = self.now;
            let delay = self.delay();
            let one = &mut self.targets[target];
            if one.up && one.frozen <= now && one.next <= now {
                one.next = now + BEAT_MS;
                one.sent = now;
                if one.until <= now {
                    one.holds.clear();
                }
                let beat = one.beat(false);
                let life = one.life;
                self.parcels
                    .push((now + delay, Parcel::Up(target, life, now, beat)));
            }
        }
    }

    /// Two living targets whose leases run and that share a key.
    fn clash(&self) -> Option<String> {
        let holders: Vec<&StandIn> = self
            .targets
            .iter()
            .filter(|t| t.up && self.now < t.until)
            .collect();
        for (at, one) in holders.iter().enumerate() {
            for other in &holders[at + 1..] {
                let shared = one.holds.iter().find_map(|held| {
                    let twin = other.holds.iter().find(|h| h.span.overlaps(&held.span))?;
                    Some((held, twin))
                });
                if let Some((held, twin)) = shared {
                    return Some(format!(
                        "{} ms: {} holds {} and {} holds {}",
                        self.now, one.name, held.span, other.name, twin.span
                    ));
                }
            }
        }
        None
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.disturb();
        self.beat();
        self.deliver();
        self.apply();
        self.lead();
    }
}

/// Load that makes some targets busy and some keys hot.
fn report(hot: u16, catalog: &Catalog) -> TrafficReport {
    let keys = vec![BucketTraffic {
        service: Service::from(SERVICE),
        bucket: hot,
        requests: 3,
    }];
    let targets = catalog
        .targets
        .keys()
        .enumerate()
        .map(|(at, id)| TargetTraffic {
            id: *id,
            answers: 1,
            total_time: Duration::from_millis(4 + 12 * (at as u64 % 3)),
            ..TargetTraffic::default()
        });
    TrafficReport {
        buckets: keys,
        targets: targets.collect(),
    }
}

#[test]
fn no_key_is_held_by_two_living_targets() {
    let seeds = std::env::var("LEASE_SCHEDULES").map_or(60, |n| n.parse().unwrap());
    let mut moves = 0;
    for seed in 0..seeds {
        let mut world = World::new(seed);
        for _ in 0..6_000 {
            world.step();
            assert_eq!(world.clash(), None, "seed {seed}");
        }
        moves += world.moves;
    }
    assert!(moves > 0, "no key ever moved, so nothing was shown");
}

#[test]
fn keys_are_served_again_after_the_faults() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        for _ in 0..2_000 {
            world.step();
        }
        for one in &mut world.targets {
            one.frozen = 0;
            if !one.up {
                one.reborn();
            }
        }
        // Two leases and the pauses between heartbeats and plans, without further faults.
        let mut served = false;
        for _ in 0..(4 * LEASE_MS / STEP_MS) {
            world.now += STEP_MS;
            world.beat();
            world.deliver();
            world.apply();
            if world.leader.is_none() {
                world.leaderless = 0;
            }
            world.lead();
            let held = world.targets.iter().filter(|t| world.now < t.until);
            let keys: u32 = held.flat_map(|t| &t.holds).map(|h| h.span.width()).sum();
            served |= keys > KeySpan::FULL.width() * 9 / 10;
        }
        assert!(served, "seed {seed}");
    }
}

#[test]
fn a_new_leader_takes_the_owners_that_it_has_not_heard_for_serving() {
    let mut world = World::new(1);
    for _ in 0..300 {
        world.now += STEP_MS;
        world.beat();
        world.deliver();
        world.apply();
        let now = world.moment();
        let leader = world.leader.as_mut().unwrap();
        for planned in leader.plan(now, &world.catalog) {
            world.propose(planned.update, planned.completes, None);
        }
    }
    let now = world.moment();
    let mut next = LeaderState::new(config(), now);

    let pulse = next.status(now, 1, 1, &world.catalog).unwrap();
    let later = now + Duration::from_millis(2 * LEASE_MS);
    let silent = next.status(later, 1, 1, &world.catalog).unwrap();

    assert_eq!(pulse.pending, Vec::new());
    assert!(!silent.pending.is_empty());
}
