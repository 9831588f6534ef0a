//! Spilling of pool requests to other zones: what leaves, how fast the share moves, and entries that
//! decide by themselves while their reports are old.

use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    request::balance::{
        FirstChoice, LatencyBounds, LoadReport, Outlook, Router, RouterConfig, RoutingDecision,
        RoutingRequest, SendOutcome, SpillReason, SpillRequest, TargetModel, ZoneSpill,
        ZoneTargets,
    },
    version::{
        catalog::{Catalog, TargetId, TargetRecord, Update},
        desired::{Change, Item, ItemVersion, ServiceSpec},
        feed::LeaderStatus,
    },
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::time::Duration;

const PRICE: Duration = Duration::from_micros(1_300);
const IDLE: &[u32] = &[0, 0, 0, 0];
/// Queues at which a request waits for about its service time of 60 ms.
const FULL: &[u32] = &[4, 4, 4, 4];

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

/// Models of targets with four slots and these queues; those without a queue have free slots.
fn models(now: Moment, queues: &[u32]) -> Vec<TargetModel> {
    let model = |waiting: &u32| {
        let mut model = TargetModel::new(4);
        let report = LoadReport {
            running: if *waiting > 0 { 4 } else { 1 },
            waiting: *waiting,
            slots: 4,
            latency_percent: 100,
        };
        model.record_report(now, report);
        model
    };
    queues.iter().map(model).collect()
}

/// Entry whose zones have targets with given queues.
struct Entry {
    spill: ZoneSpill,
    service: Service,
    millis: u64,
    is_known: bool,
    tries: usize,
}

impl Entry {
    fn new() -> Self {
        Entry {
            spill: ZoneSpill::new(PRICE),
            service: Service::from("pool"),
            millis: 0,
            is_known: true,
            tries: 0,
        }
    }

    /// Decides for a request 20 ms after the one before.
    fn decide(&mut self, bytes: u64, own: &[u32], other: &[u32]) -> FirstChoice {
        self.millis += 20;
        let now = at(self.millis);
        let (own, other) = (models(now, own), models(now, other));
        let [own, other] = [&own, &other].map(|zone| zone.iter().collect::<Vec<_>>());
        self.decide_at(now, bytes, &own, &other)
    }

    fn decide_at(
        &mut self,
        now: Moment,
        bytes: u64,
        own: &[&TargetModel],
        other: &[&TargetModel],
    ) -> FirstChoice {
        let request = SpillRequest {
            service: &self.service,
            body_bytes: bytes,
            tries: self.tries,
        };
        let targets = ZoneTargets {
            own,
            other,
            is_known: self.is_known,
            sample: 2,
        };
        self.spill.decide(now, request, targets).first
    }

    /// Decisions for requests without a body for this time.
    fn run(&mut self, millis: u64, own: &[u32], other: &[u32]) -> Vec<FirstChoice> {
        let requests = 0..millis / 20;
        requests.map(|_| self.decide(0, own, other)).collect()
    }

    fn share(&self) -> f64 {
        self.spill.share(&self.service)
    }
}

fn count(choices: &[FirstChoice], wanted: FirstChoice) -> usize {
    choices.iter().filter(|choice| **choice == wanted).count()
}

/// Spilling that costs money on a day when the zone has room.
#[test]
fn nothing_leaves_while_the_zone_has_room() {
    let mut entry = Entry::new();

    let choices = entry.run(20_000, &[0, 0, 0, 4], IDLE);

    assert_eq!(count(&choices, FirstChoice::Own), choices.len());
    assert!(entry.spill.take_changes(at(20_000)).is_empty());
}

/// Requests that change places between zones without a gain.
#[test]
fn nothing_leaves_while_the_other_zones_are_as_full() {
    let mut entry = Entry::new();

    let choices = entry.run(20_000, FULL, &[4, 4, 4, 4, 4, 4, 4, 4]);

    assert_eq!(count(&choices, FirstChoice::Own), choices.len());
}

/// A share that jumps, or that stops at once and starts again.
#[test]
fn the_share_rises_and_falls_at_bounded_rates() {
    let mut entry = Entry::new();

    entry.run(1_000, FULL, IDLE);
    let risen = entry.share();
    entry.run(1_000, IDLE, IDLE);
    let fallen = entry.share();

    assert!((0.17..=0.2).contains(&risen), "{risen}");
    assert!((0.08..=0.12).contains(&(risen - fallen)), "{fallen}");
}

/// Picking requests at random, or in runs: a share of a fifth is every fifth request.
#[test]
fn a_share_picks_requests_at_even_distances() {
    let mut entry = Entry::new();
    entry.run(1_100, FULL, IDLE);
    // Waits that save as much as the hop costs hold the share.
    let held: &[u32] = &[0, 0, 1, 1];

    let choices = entry.run(20_000, held, IDLE);

    let share = entry.share();
    assert!((0.15..=0.22).contains(&share), "{share}");
    let leaving = count(&choices, FirstChoice::Other);
    assert!(leaving.abs_diff((share * choices.len() as f64) as usize) <= 1);
    let distance = (1.0 / share) as usize;
    let is_even = |window: &[FirstChoice]| count(window, FirstChoice::Other) <= 1;
    assert!(choices.windows(distance).all(is_even));
}

/// Uploads that fill the links between zones although short requests relieve the zone for less.
#[test]
fn uploads_stay_while_short_requests_leave() {
    let mut entry = Entry::new();
    let mut choices = [Vec::new(), Vec::new()];

    for _ in 0..500 {
        for (choices, bytes) in choices.iter_mut().zip([0, 100 << 10]) {
            choices.push(entry.decide(bytes, FULL, IDLE));
        }
    }

    let [short, uploads] = choices;
    assert!(count(&short, FirstChoice::Other) > 300);
    assert_eq!(count(&uploads, FirstChoice::Own), uploads.len());
}

/// Callers that are refused until a bounded share has risen, and a zone that is flooded when it
/// comes back.
#[test]
fn a_zone_without_targets_sends_everything_out_and_takes_it_back_slowly() {
    let mut entry = Entry::new();
    entry.run(1_000, IDLE, IDLE);

    let lost = entry.run(200, &[], IDLE);
    let given_back = entry.run(1_000, IDLE, IDLE);
    let later = entry.run(12_000, IDLE, IDLE);

    assert_eq!(count(&lost, FirstChoice::All), lost.len());
    let away = count(&given_back, FirstChoice::Other);
    assert!((42..50).contains(&away), "{away}");
    assert!(count(&later, FirstChoice::Other) > 200);
    assert_eq!(entry.share(), 0.0);
    let changes = entry.spill.take_changes(at(entry.millis));
    let reasons: Vec<_> = changes.iter().map(|c| (c.begins, c.reason)).collect();
    let expected = [(true, SpillReason::NoTargets), (false, SpillReason::NoGain)];
    assert_eq!(reasons, expected);
}

/// Requests that wait in other zones while the returned zone has room.
#[test]
fn a_zone_that_is_back_takes_over_what_waits_elsewhere() {
    let mut entry = Entry::new();
    entry.run(200, &[], FULL);

    let choices = entry.run(1_000, IDLE, FULL);

    assert_eq!(count(&choices[5..], FirstChoice::Other), 0);
}

/// A retry that meets the next full target of its zone although a hop avoids the refusal.
#[test]
fn a_request_that_its_zone_turned_away_leaves_while_a_share_does() {
    let mut entry = Entry::new();
    let mut retry = |tries, millis| {
        entry.run(millis, FULL, IDLE);
        entry.tries = tries;
        let first = entry.decide(0, FULL, IDLE);
        entry.tries = 0;
        first
    };

    let choices = [retry(1, 60), retry(2, 0), retry(1, 1_000)];

    use FirstChoice::{Other, Own};
    assert_eq!(choices, [Own, Other, Other]);
}

/// Requests that are sent to a zone of which nothing is known.
#[test]
fn nothing_leaves_without_data_on_the_other_zones() {
    let mut entry = Entry::new();
    entry.is_known = false;

    let full = entry.run(5_000, FULL, IDLE);
    let lost = entry.run(200, &[], IDLE);

    assert_eq!(count(&full, FirstChoice::OwnOnly), full.len());
    assert_eq!(count(&lost, FirstChoice::All), lost.len());
}

/// A share that stays at its height after the last request of a service.
#[test]
fn the_share_of_a_service_without_requests_falls() {
    let mut entry = Entry::new();
    entry.run(2_000, FULL, IDLE);
    assert!(entry.share() > 0.3);

    let changes: Vec<_> = (3..10)
        .flat_map(|second| entry.spill.take_changes(at(second * 1_000)))
        .collect();

    assert_eq!(entry.share(), 0.0);
    let reasons: Vec<_> = changes.iter().map(|c| c.reason).collect();
    assert_eq!(reasons, [SpillReason::Wait, SpillReason::Idle]);
}

/// Targets elsewhere that are a little faster are no reason to leave; a zone of which all targets
/// have become slow is.
#[test]
fn slow_targets_count_only_beyond_their_usual_differences() {
    let now = at(0);
    let entry = [130, 600].map(|own| {
        let mut entry = Entry::new();
        let models = [own, 100].map(|millis| {
            let mut model = TargetModel::new(4);
            model.set_typical_latency(Duration::from_millis(millis));
            model
        });
        for step in 0..50 {
            entry.decide_at(
                now + Duration::from_millis(20 * step),
                0,
                &[&models[0]],
                &[&models[1]],
            );
        }
        entry.share()
    });

    assert_eq!(entry[0], 0.0);
    assert!(entry[1] > 0.1);
}

/// A larger zone that looks better only because the best of more targets is compared.
#[test]
fn zones_of_different_size_with_the_same_queues_look_the_same() {
    let queues = [0, 4, 8];
    let wait = |times| {
        let models = models(at(0), &queues.repeat(times));
        let models: Vec<_> = models.iter().collect();
        Outlook::of(at(0), 2, &models).expect("usable targets").wait
    };

    assert!((wait(1)..wait(1) * 2).contains(&wait(3)));
}

const ENTRIES: usize = 60;
const ZONES: [&str; 3] = ["a", "b", "c"];
const TARGETS_PER_ZONE: usize = 12;
const SLOTS: u32 = 2;
const QUEUE: usize = 8;
const WORK_MS: f64 = 100.0;
/// Requests per second that the targets of one zone can serve.
const CAPACITY: f64 = 240.0;
/// Further targets that are tried after one that had no room.
const MAX_RETRIES: usize = 1;
const STEP_MS: u64 = 5;
/// Age of the loads in the status that entries get.
const REPORT_AGE_MS: u64 = 500;

/// Requests of one second at the first zone.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    sent: u32,
    /// Requests that were sent to another zone before any target had turned them away.
    left: u32,
    refused: u32,
}

impl Second {
    fn share(&self) -> f64 {
        f64::from(self.left) / f64::from(self.sent.max(1))
    }
}

/// Routers of 60 entries with real targets' queues between them. `demand` gives the requests per
/// second at each zone; `zones` is the number of zones that have targets.
fn simulate(
    seconds: u64,
    zones: usize,
    price: Option<Duration>,
    demand: impl Fn(u64) -> [f64; 3],
) -> Vec<Second> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut draw = || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    let catalog = catalog(zones);
    let mut routers: Vec<Router> = (0..ENTRIES)
        .map(|entry| router(entry as u64, ZONES[entry % 3], price, catalog.clone()))
        .collect();
    // Ends of the requests at each target, with their entries and starts.
    let mut targets: Vec<Vec<(u64, usize, u64)>> = vec![Vec::new(); zones * TARGETS_PER_ZONE];
    let speeds: Vec<f64> = targets.iter().map(|_| 0.7 + 0.6 * draw()).collect();
    let report = |ends: &[(u64, usize, u64)]| LoadReport {
        running: (ends.len() as u32).min(SLOTS),
        waiting: (ends.len() as u32).saturating_sub(SLOTS),
        slots: SLOTS,
        latency_percent: 100,
    };
    let mut history: Vec<Vec<LoadReport>> = Vec::new();
    let mut result = vec![Second::default(); seconds as usize];
    let mut due = [0.0; 3];
    for millis in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let now = at(millis);
        for (target, ends) in targets.iter_mut().enumerate() {
            let ended: Vec<_> = ends.extract_if(.., |(end, ..)| *end <= millis).collect();
            for (_, entry, start) in ended {
                let (id, time) = (id_of(target), Duration::from_millis(millis - start));
                let load = Some(report(ends));
                routers[entry].record_outcome(now, id, "r", SendOutcome::Answered, time, load);
            }
        }
        if millis % 250 == 0 {
            history.push(targets.iter().map(|ends| report(ends)).collect());
            let age = (REPORT_AGE_MS / 250) as usize;
            let old = history.len().checked_sub(age + 1).map(|at| &history[at]);
            let loads = old.into_iter().flatten().enumerate();
            let loads = loads.map(|(id, load)| (id_of(id), *load, REPORT_AGE_MS as u16));
            let status = LeaderStatus {
                index: 10,
                entries: ENTRIES as u32,
                loads: loads.collect(),
                service_times: (0..targets.len())
                    .map(|at| (id_of(at), WORK_MS as u16))
                    .collect(),
                ..LeaderStatus::default()
            };
            for router in &mut routers {
                router.apply_status(now, status.clone());
                router.confirm(now);
            }
        }
        let rates = demand(millis / 1_000);
        for (zone, due) in due.iter_mut().enumerate() {
            *due += rates[zone] * STEP_MS as f64 / 1_000.0 * 2.0 * draw();
            while *due >= 1.0 {
                *due -= 1.0;
                let entry = zone + 3 * (draw() * (ENTRIES as f64 / 3.0 - 0.01)) as usize;
                let second = &mut result[(millis / 1_000) as usize];
                let router = &mut routers[entry];
                let mut tried = Vec::new();
                let room = loop {
                    let RoutingDecision::Send { id, .. } = route(router, now, 0, &tried) else {
                        break None;
                    };
                    let target = id.0 as usize - 1;
                    router.record_sent(id);
                    if targets[target].len() < QUEUE + SLOTS as usize {
                        break Some(target);
                    }
                    let (outcome, load) = (SendOutcome::Shed, Some(report(&targets[target])));
                    router.record_outcome(now, id, "r", outcome, Duration::ZERO, load);
                    tried.push(id);
                    if tried.len() > MAX_RETRIES {
                        break None;
                    }
                };
                if zone == 0 {
                    second.sent += 1;
                    second.refused += u32::from(room.is_none());
                    let is_first = tried.is_empty();
                    let left = room.is_some_and(|target| target >= TARGETS_PER_ZONE);
                    second.left += u32::from(is_first && left);
                }
                let Some(target) = room else { continue };
                let ends = &mut targets[target];
                ends.sort_unstable();
                let behind = ends.len().checked_sub(SLOTS as usize);
                let start = behind.map_or(millis, |at| ends[at].0.max(millis));
                let work = WORK_MS / speeds[target] * (0.5 + draw());
                ends.push((start + work as u64, entry, millis));
            }
        }
    }
    result
}

/// Number of a target; the catalog counts from 1.
fn id_of(target: usize) -> TargetId {
    TargetId(target as u32 + 1)
}

fn catalog(zones: usize) -> Catalog {
    let mut catalog = Catalog::default();
    let mut change = Change::default();
    let spec = ServiceSpec {
        health: "/health".to_owned(),
        connections: 420,
        cold_period: Duration::ZERO,
        cold_rate: 18_000,
        keyed: false,
        warmup: Duration::ZERO,
    };
    let item = Item {
        version: ItemVersion(1),
        value: Some(spec),
        source: String::new(),
    };
    change.services.insert(Service::from("pool"), item);
    catalog.apply(&Update::Desired(change));
    for number in 0..zones * TARGETS_PER_ZONE {
        let zone = ZONES[number / TARGETS_PER_ZONE];
        catalog.apply(&Update::Join(record(number, zone)));
    }
    catalog
}

fn record(number: usize, zone: &str) -> TargetRecord {
    TargetRecord {
        name: Target(format!("w{number}")),
        incarnation: Incarnation(1),
        service: Service::from("pool"),
        address: ([10, 0, 0, 1], 8_000 + number as u16).into(),
        zone: Zone::from(zone),
        slots: SLOTS,
        leaving: false,
    }
}

fn router(seed: u64, zone: &str, price: Option<Duration>, catalog: Catalog) -> Router {
    let mut router = Router::new(RouterConfig {
        seed,
        zone: Zone::from(zone),
        in_force: Duration::from_secs(2),
        drain: Duration::from_secs(2),
        evacuate: Duration::from_secs(5),
        retry_ratio: 0.2,
        retry_floor: 56.0,
        retry_window: Duration::from_secs(10),
        hop_price: price,
    });
    assert!(router.install_snapshot(10, catalog));
    router
}

fn route(router: &mut Router, now: Moment, body_bytes: u64, tried: &[TargetId]) -> RoutingDecision {
    let request = RoutingRequest {
        service: &Service::from("pool"),
        route: "r",
        key: None,
        latency: LatencyBounds {
            goal: Duration::from_millis(400),
            time_left: Duration::from_millis(1_200),
            lowest_priority: false,
        },
        body_bytes,
        connected: &[],
        connect_time: Duration::from_millis(5),
        tried,
        misdirected: &[],
    };
    router.route_request(now, request)
}

/// Ups and downs of the share by more than `step`.
fn direction_changes(shares: &[f64], step: f64) -> usize {
    let (mut turns, mut extreme, mut rising) = (0, shares[0], true);
    for share in shares {
        if (share - extreme) * if rising { 1.0 } else { -1.0 } > 0.0 {
            extreme = *share;
        } else if (share - extreme).abs() > step {
            (turns, extreme, rising) = (turns + 1, *share, !rising);
        }
    }
    turns
}

/// One and a half times what the first zone can serve from second 5 to 25.
fn wave(second: u64) -> [f64; 3] {
    let load = if (5..25).contains(&second) { 1.5 } else { 0.5 };
    [load * CAPACITY, 0.4 * CAPACITY, 0.4 * CAPACITY]
}

fn total(seconds: &[Second], part: fn(&Second) -> u32) -> u32 {
    seconds.iter().map(part).sum()
}

/// Refusals while other zones have room, and 60 entries that leave and return together.
#[test]
fn the_share_of_many_entries_follows_a_wave_without_swinging() {
    let alone = simulate(45, 1, Some(PRICE), |second| [wave(second)[0], 0.0, 0.0]);
    let seconds = simulate(45, 3, Some(PRICE), wave);

    let [refused, refused_alone] = [&seconds, &alone].map(|s| total(s, |s| s.refused));
    assert!(refused * 10 < refused_alone, "{refused} of {refused_alone}");
    let shares: Vec<_> = seconds.iter().map(Second::share).collect();
    assert!(shares[10..25].iter().all(|s| (0.3..0.65).contains(s)));
    let calm = [&seconds[..5], &seconds[35..]].concat();
    assert!(total(&calm, |s| s.left) < 30, "{shares:.2?}");
    let turns = direction_changes(&shares, 0.1);
    assert!(turns <= 5, "{turns} turns: {shares:.2?}");
}

/// Money for hops on a day when each zone serves its own demand, and zones that exchange their
/// requests while all of them are too full.
#[test]
fn many_entries_send_nothing_out_while_all_zones_are_alike() {
    // Above its capacity a zone refuses requests that another one may have room for.
    for (load, bound) in [(0.5, 0.005), (1.3, 0.02)] {
        let seconds = simulate(30, 3, Some(PRICE), |_| [load * CAPACITY; 3]);

        let [sent, left] = [total(&seconds, |s| s.sent), total(&seconds, |s| s.left)];
        let share = f64::from(left) / f64::from(sent);
        assert!(share < bound, "{left} of {sent} at {load}");
    }
}

/// Router of zone `a` with two targets there and two in zone `b`; those of `a` have these queues.
fn small_router(price: Option<Duration>, own_queue: u32) -> Router {
    let mut catalog = catalog(0);
    for (number, zone) in ["a", "a", "b", "b"].into_iter().enumerate() {
        catalog.apply(&Update::Join(record(number, zone)));
    }
    let mut router = router(1, "a", price, catalog);
    let report = LoadReport {
        running: SLOTS,
        waiting: own_queue,
        slots: SLOTS,
        latency_percent: 100,
    };
    let status = LeaderStatus {
        index: 10,
        entries: 8,
        loads: vec![(id_of(0), report, 0), (id_of(1), report, 0)],
        ..LeaderStatus::default()
    };
    router.apply_status(at(0), status);
    router.confirm(at(0));
    router
}

fn zone_of(decision: &RoutingDecision) -> &'static str {
    match decision {
        RoutingDecision::Send { id, .. } if id.0 <= 2 => "a",
        RoutingDecision::Send { .. } => "b",
        _ => "none",
    }
}

/// A share that refuses what another zone would serve, or requests that leave before it has risen.
#[test]
fn a_request_leaves_without_a_share_only_if_its_zone_refuses_it() {
    let [waits, refuses] = [2, 40].map(|queue| {
        let decision = route(&mut small_router(Some(PRICE), queue), at(1), 0, &[]);
        zone_of(&decision)
    });

    assert_eq!([waits, refuses], ["a", "b"]);
}

/// A deployment without the setting that is served otherwise than before.
#[test]
fn without_the_setting_a_request_goes_where_it_is_answered_first() {
    let decide = |queue, bytes| {
        let mut router = small_router(None, queue);
        let decision = zone_of(&route(&mut router, at(1), bytes, &[]));
        (decision, router.take_spill_changes(at(5_000)).len())
    };

    // The wait at the queue of one is 60 ms; the hop costs 6 ms, and with 60 KiB 84 ms.
    assert_eq!(decide(1, 0), ("b", 0));
    assert_eq!(decide(1, 60 << 10), ("a", 0));
    assert_eq!(decide(7, 10 << 20), ("b", 0));
}

/// Requests of an evacuated zone that wait for a share.
#[test]
fn the_requests_of_an_evacuated_zone_leave_at_once_and_return_slowly() {
    let mut router = small_router(Some(PRICE), 0);
    let mut zones = |millis: u64, update: Update| -> Vec<&str> {
        router.apply_updates(at(millis), 11 + millis, &[update]);
        let status = LeaderStatus {
            index: 11 + millis,
            entries: 8,
            ..LeaderStatus::default()
        };
        router.apply_status(at(millis), status);
        let requests = (1..=50).map(|request| millis + request * 10);
        let sent = requests.map(|at_millis| route(&mut router, at(at_millis), 0, &[]));
        sent.map(|decision| zone_of(&decision)).collect()
    };

    let out = zones(2_000, Update::ZoneOut(Zone::from("a")));
    let back = zones(3_000, Update::ZoneIn(Zone::from("a")));

    assert_eq!(out, ["b"; 50]);
    let away = back.iter().filter(|zone| **zone == "b").count();
    assert!((40..50).contains(&away), "{away}");
}
