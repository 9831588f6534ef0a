//! What an entry decides by its copy of the fleet, under load patterns that it is meant for.

use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    request::balance::{
        Admission, ColdRateLimiter, LatencyBounds, LoadReport, RejectReason, RetryBudget,
        RouteError, Router, RouterConfig, RoutingDecision, RoutingRequest, SendOutcome, Splitter,
        admit,
    },
    version::{
        catalog::{Catalog, KeySpan, SpanGrant, TargetId, TargetRecord, Update},
        desired::{Backend, Change, Item, ItemVersion, Route, RouteKind, ServiceSpec, WEIGHT_UNIT},
        feed::{LeaderStatus, PendingSpan},
    },
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{collections::BTreeMap, time::Duration};

const AIM: Duration = Duration::from_millis(200);

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn item<T>(value: T) -> Item<T> {
    Item {
        version: ItemVersion(1),
        value: Some(value),
        source: String::new(),
    }
}

fn spec(keyed: bool) -> ServiceSpec {
    ServiceSpec {
        health: "/health".to_owned(),
        connections: 110,
        cold_period: Duration::from_secs(3),
        cold_rate: 18_000,
        keyed,
        warmup: Duration::ZERO,
    }
}

fn target(number: u16, service: &str, zone: &str) -> TargetRecord {
    TargetRecord {
        name: Target(format!("w{number}")),
        incarnation: Incarnation(1),
        service: Service::from(service),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        zone: Zone::from(zone),
        slots: 4,
        leaving: false,
    }
}

/// Two targets of a keyed service, which own half of the keys each, and two of a pool.
fn catalog() -> Catalog {
    let mut change = Change::default();
    for (name, keyed) in [("keyed", true), ("pool", false)] {
        change
            .services
            .insert(Service::from(name), item(spec(keyed)));
        let route = Route {
            host: "h".to_owned(),
            prefix: format!("/{name}/"),
            kind: RouteKind::Safe,
            timeout: Duration::from_millis(800),
            latency_goal: AIM,
            priority: 1,
            backends: vec![Backend {
                service: Service::from(name),
                weight: WEIGHT_UNIT,
            }],
            attempts: 2,
        };
        change.routes.insert(name.to_owned(), item(route));
    }
    let mut catalog = Catalog::default();
    catalog.apply(&Update::Desired(change));
    for (number, service, zone) in [
        (1, "keyed", "a"),
        (2, "keyed", "b"),
        (3, "pool", "a"),
        (4, "pool", "b"),
    ] {
        catalog.apply(&Update::Join(target(number, service, zone)));
    }
    let grant = |first, last, owner| SpanGrant {
        span: KeySpan { first, last },
        former: None,
        owner: TargetId(owner),
        handover: String::new(),
    };
    catalog.apply(&Update::Assign {
        service: Service::from("keyed"),
        grants: vec![grant(0, 0x7fff, 1), grant(0x8000, 0xffff, 2)],
    });
    catalog
}

fn router() -> Router {
    router_of(1, catalog())
}

fn router_of(seed: u64, catalog: Catalog) -> Router {
    let mut router = Router::new(RouterConfig {
        seed,
        zone: Zone::from("a"),
        drain: Duration::from_secs(2),
        evacuate: Duration::from_secs(5),
        retry_ratio: 0.2,
        retry_floor: 56.0,
        retry_window: Duration::from_secs(10),
    });
    assert!(router.install_snapshot(at(0), 10, catalog));
    router.apply_status(at(0), pulse());
    router.confirm(at(0));
    router
}

fn pulse() -> LeaderStatus {
    LeaderStatus {
        index: 10,
        entries: 8,
        ..LeaderStatus::default()
    }
}

fn ask() -> LatencyBounds {
    LatencyBounds {
        goal: AIM,
        time_left: Duration::from_millis(800),
        lowest_priority: false,
    }
}

fn place(router: &mut Router, now: Moment, service: &str, key: Option<u16>) -> RoutingDecision {
    let service = Service::from(service);
    let wish = RoutingRequest {
        service: &service,
        key,
        latency: ask(),
        body_bytes: 0,
        tried: &[],
        misdirected: &[],
    };
    router.route_request(now, wish)
}

fn place_upload(router: &mut Router, now: Moment, bytes: u64) -> RoutingDecision {
    let service = Service::from("pool");
    let wish = RoutingRequest {
        service: &service,
        key: None,
        latency: ask(),
        body_bytes: bytes,
        tried: &[],
        misdirected: &[],
    };
    router.route_request(now, wish)
}

fn sent_to(place: &RoutingDecision) -> Option<TargetId> {
    match place {
        RoutingDecision::Send { id, .. } => Some(*id),
        _ => None,
    }
}

#[test]
fn a_key_goes_to_its_owner() {
    let mut router = router();

    let low = place(&mut router, at(1), "keyed", Some(5));
    let high = place(&mut router, at(1), "keyed", Some(0x9000));

    assert_eq!(sent_to(&low), Some(TargetId(1)));
    assert_eq!(sent_to(&high), Some(TargetId(2)));
}

#[test]
fn a_request_without_a_key_is_turned_away() {
    let place = place(&mut router(), at(1), "keyed", None);

    assert!(matches!(
        place,
        RoutingDecision::Reject(RejectReason::Keyless, _)
    ));
}

#[test]
fn a_key_on_its_way_is_waited_for_if_that_is_soon() {
    let mut router = router();
    let pending = |wait| LeaderStatus {
        pending: vec![PendingSpan {
            service: Service::from("keyed"),
            span: KeySpan { first: 0, last: 9 },
            wait: Duration::from_millis(wait),
        }],
        ..pulse()
    };

    router.apply_status(at(1), pending(80));
    let soon = place(&mut router, at(2), "keyed", Some(5));
    router.apply_status(at(3), pending(900));
    let late = place(&mut router, at(4), "keyed", Some(5));

    assert!(matches!(soon, RoutingDecision::Wait(_)), "{soon:?}");
    assert!(
        matches!(late, RoutingDecision::Reject(RejectReason::Unowned, _)),
        "{late:?}"
    );
}

#[test]
fn a_path_is_denied_only_by_a_fresh_copy() {
    let mut router = router();

    let fresh = router.resolve_route(at(10), "h", "/nothing/");
    let stale = router.resolve_route(at(5_000), "h", "/nothing/");
    let known = router.resolve_route(at(5_000), "h", "/pool/x");

    assert_eq!(fresh, Err(RouteError::NoRoute));
    assert_eq!(stale, Err(RouteError::Stale));
    assert!(known.is_ok(), "an old copy still serves");
}

#[test]
fn news_that_were_long_under_way_do_not_make_a_copy_fresh() {
    let mut router = router();
    router.apply_status(at(2_500), pulse());
    router.apply_updates(at(2_500), 11, &[Update::ZoneOut(Zone::from("b"))]);

    let unconfirmed = router.resolve_route(at(2_500), "h", "/nothing/");
    router.confirm(at(2_000));
    let confirmed = router.resolve_route(at(2_500), "h", "/nothing/");
    router.confirm(at(900));

    assert_eq!(unconfirmed, Err(RouteError::Stale));
    assert_eq!(confirmed, Err(RouteError::NoRoute));
    assert!(
        router.is_current(at(2_500)),
        "an older word takes nothing back"
    );
}

#[test]
fn an_entry_without_a_copy_denies_nothing() {
    let config = RouterConfig {
        seed: 1,
        zone: Zone::from("a"),
        drain: Duration::from_secs(2),
        evacuate: Duration::from_secs(5),
        retry_ratio: 0.2,
        retry_floor: 56.0,
        retry_window: Duration::from_secs(10),
    };
    let mut router = Router::new(config);

    assert_eq!(
        router.resolve_route(at(0), "h", "/pool/"),
        Err(RouteError::Stale)
    );
}

#[test]
fn an_older_copy_is_turned_down() {
    let mut router = router();

    assert!(!router.install_snapshot(at(1), 9, Catalog::default()));
    assert!(router.resolve_route(at(1), "h", "/pool/x").is_ok());
}

#[test]
fn a_leaving_target_gets_nothing_after_its_time() {
    let mut router = router();
    router.apply_updates(
        at(0),
        11,
        &[Update::Leave(TargetId(1)), Update::Leave(TargetId(3))],
    );
    router.apply_status(at(1_900), pulse());

    let early = place(&mut router, at(500), "keyed", Some(5));
    let late = place(&mut router, at(1_900), "keyed", Some(5));
    let pool = place(&mut router, at(1), "pool", None);

    assert_eq!(
        sent_to(&early),
        Some(TargetId(1)),
        "its keys have not moved yet"
    );
    assert_eq!(sent_to(&late), None);
    assert_eq!(sent_to(&pool), Some(TargetId(4)));
}

#[test]
fn a_zone_that_is_out_gets_no_pool_request_at_once() {
    let mut router = router();
    router.apply_updates(at(0), 11, &[Update::ZoneOut(Zone::from("a"))]);

    let pool = place(&mut router, at(1), "pool", None);

    assert_eq!(sent_to(&pool), Some(TargetId(4)));
}

#[test]
fn overload_is_turned_away_at_once_with_a_time_to_come_back() {
    let mut router = router();
    let busy = LoadReport {
        running: 4,
        waiting: 14,
        slots: 4,
        latency_percent: 100,
    };
    let first = place(&mut router, at(0), "keyed", Some(5));
    router.record_sent(sent_to(&first).unwrap());
    router.record_outcome(
        at(60),
        TargetId(1),
        SendOutcome::Answered,
        Duration::from_millis(60),
        Some(busy),
    );

    let next = place(&mut router, at(61), "keyed", Some(5));

    assert!(
        matches!(next, RoutingDecision::Reject(RejectReason::Busy, pause) if !pause.is_zero()),
        "{next:?}"
    );
}

#[test]
fn a_pool_request_goes_to_the_target_that_answers_first() {
    let mut router = router();
    let busy = LoadReport {
        running: 4,
        waiting: 3,
        slots: 4,
        latency_percent: 100,
    };
    let near = place(&mut router, at(0), "pool", None);
    router.apply_status(
        at(1),
        LeaderStatus {
            loads: vec![(TargetId(3), busy, 0)],
            ..pulse()
        },
    );

    let next = place(&mut router, at(2), "pool", None);

    assert_eq!(
        sent_to(&near),
        Some(TargetId(3)),
        "its own zone when both are idle"
    );
    assert_eq!(sent_to(&next), Some(TargetId(4)));
}

#[test]
fn an_upload_waits_a_little_for_its_own_zone() {
    let mut router = router();
    let report = |waiting| LeaderStatus {
        loads: vec![(
            TargetId(3),
            LoadReport {
                running: 4,
                waiting,
                slots: 4,
                latency_percent: 100,
            },
            0,
        )],
        ..pulse()
    };

    router.apply_status(at(1), report(2));
    let short = place(&mut router, at(2), "pool", None);
    let upload = place_upload(&mut router, at(2), 60 << 10);
    router.apply_status(at(3), report(12));
    let long = place_upload(&mut router, at(4), 60 << 10);

    assert_eq!(sent_to(&short), Some(TargetId(4)));
    assert_eq!(sent_to(&upload), Some(TargetId(3)));
    assert_eq!(sent_to(&long), Some(TargetId(4)));
}

#[test]
fn a_target_that_failed_gets_no_pool_request_for_a_while() {
    let mut router = router();
    let first = place(&mut router, at(0), "pool", None);
    router.record_sent(sent_to(&first).unwrap());
    router.record_outcome(
        at(5),
        TargetId(3),
        SendOutcome::Unreachable,
        Duration::ZERO,
        None,
    );

    let next = place(&mut router, at(6), "pool", None);
    let later = place(&mut router, at(1_000), "pool", None);

    assert_eq!(sent_to(&next), Some(TargetId(4)));
    assert_eq!(sent_to(&later), Some(TargetId(3)));
}

#[test]
fn eight_entries_together_keep_to_the_rate_of_a_cold_target() {
    let rate = 18_000;
    let mut entries: Vec<ColdRateLimiter> = (0..8)
        .map(|n| ColdRateLimiter::new(at(0), f64::from(n) / 8.0))
        .collect();
    let mut arrivals: Vec<u64> = Vec::new();
    for millis in 0..3_000 {
        for entry in &mut entries {
            if entry.try_take(at(millis), rate, 8).is_ok() {
                arrivals.push(millis);
            }
        }
    }

    // The bound of the platform: 1.5 times the rate and 5 in any second.
    let most = (0..2_000)
        .map(|from| {
            arrivals
                .iter()
                .filter(|at| (from..from + 1_000).contains(*at))
                .count()
        })
        .max();
    assert!(most <= Some(32), "{most:?}");
    assert!(arrivals.len() >= 40, "{}", arrivals.len());
}

/// Most requests in any second that a target gets in the three seconds for which it is cold, from
/// `count` entries that have one for it at any time.
fn most_while_cold(count: u32, rate: u32, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    let mut entries: Vec<ColdRateLimiter> = (0..count)
        .map(|_| ColdRateLimiter::new(at(0), draw()))
        .collect();
    let mut arrivals: Vec<u64> = Vec::new();
    for millis in (0..3_000).step_by(5) {
        let sent = entries
            .iter_mut()
            .filter_map(|e| e.try_take(at(millis), rate, count).ok());
        arrivals.extend(sent.map(|()| millis));
    }
    let windows = (0..2_000).step_by(5);
    let counts = windows.map(|from| {
        let inside = arrivals
            .iter()
            .filter(|at| (from..from + 1_000).contains(*at));
        inside.count()
    });
    counts.max().unwrap_or_default()
}

#[test]
fn entries_that_hear_of_a_cold_target_at_once_do_not_all_send_at_once() {
    // Bounds of the platform: 1.5 times the rate and 5, or 8 for 83 entries, in any second.
    for seed in 0..200 {
        let few = most_while_cold(11, 3_400, seed);
        let many = most_while_cold(83, 3_400, seed);

        assert!(few <= 10, "{few} of 11 entries, seed {seed}");
        assert!(many <= 13, "{many} of 83 entries, seed {seed}");
    }
}

#[test]
fn retries_of_all_entries_keep_to_their_share() {
    let mut entries: Vec<RetryBudget> = (0..8)
        .map(|_| RetryBudget::new(0.2, 56.0, Duration::from_secs(10)))
        .collect();
    let mut again = 0;
    for millis in (0..10_000).step_by(10) {
        for entry in &mut entries {
            entry.record_request(at(millis));
            again += usize::from(entry.try_retry(at(millis), 8));
        }
    }

    assert!(again <= 1_600 + 56, "{again}");
    assert!(again >= 1_200, "{again}");
}

#[test]
fn a_split_keeps_to_its_weights_in_short_runs() {
    let backend = |service, weight| Backend {
        service: Service::from(service),
        weight,
    };
    let backends = [
        backend("s", 9 * WEIGHT_UNIT),
        backend("t", WEIGHT_UNIT),
        backend("u", 0),
    ];
    let mut splitter = Splitter::default();

    let drawn: Vec<usize> = (0..100)
        .filter_map(|_| splitter.select(&backends))
        .collect();

    for run in drawn.windows(20) {
        assert_eq!(run.iter().filter(|at| **at == 1).count(), 2);
    }
    assert!(!drawn.contains(&2));
    assert_eq!(Splitter::default().select(&[backend("s", 0)]), None);
}

#[test]
fn the_less_urgent_is_turned_away_at_a_shorter_queue() {
    let work = Duration::from_millis(60);
    let wait = Duration::from_millis(200);

    let urgent = admit(ask(), wait, work);
    let last = admit(
        LatencyBounds {
            lowest_priority: true,
            ..ask()
        },
        wait,
        work,
    );

    assert_eq!(urgent, Admission::Admit);
    assert!(matches!(last, Admission::Reject(_)));
}

#[test]
fn what_cannot_end_by_its_deadline_is_turned_away_even_by_an_idle_target() {
    let short = LatencyBounds {
        time_left: Duration::from_millis(50),
        ..ask()
    };

    let verdict = admit(short, Duration::ZERO, Duration::from_millis(60));

    assert!(matches!(verdict, Admission::Reject(_)));
}

#[test]
fn a_target_that_joins_counts_as_cold_before_any_pulse_says_so() {
    let mut router = router();
    let record = target(9, "pool", "a");
    let leave = [Update::Leave(TargetId(3)), Update::Leave(TargetId(4))];
    router.apply_updates(at(0), 11, &leave);
    router.apply_updates(at(0), 12, &[Update::Join(record)]);

    let sent = (0..20).filter(|_| sent_to(&place(&mut router, at(1), "pool", None)).is_some());

    assert!(sent.count() <= 1);
}

#[test]
fn an_owner_that_shed_a_request_may_get_it_again_and_one_without_the_key_not() {
    let mut router = router();
    let service = Service::from("keyed");
    let owner = [TargetId(1)];
    let wish = |tried, strayed| RoutingRequest {
        service: &service,
        key: Some(5),
        latency: ask(),
        body_bytes: 0,
        tried,
        misdirected: strayed,
    };

    let shed = router.route_request(at(1), wish(&owner, &[]));
    let strayed = router.route_request(at(1), wish(&owner, &owner));

    assert_eq!(sent_to(&shed), Some(TargetId(1)));
    assert!(matches!(strayed, RoutingDecision::Wait(_)), "{strayed:?}");
}

/// A queue of eight behind four that run, at the first target.
fn queue() -> (TargetId, LoadReport, u16) {
    let load = LoadReport {
        running: 4,
        waiting: 8,
        slots: 4,
        latency_percent: 100,
    };
    (TargetId(1), load, 0)
}

/// What becomes of a request for the target with the queue, by the times that the leader tells.
fn place_behind_queue(service_times: Vec<(TargetId, u16)>) -> RoutingDecision {
    let mut router = router();
    router.apply_status(
        at(1),
        LeaderStatus {
            loads: vec![queue()],
            service_times,
            ..pulse()
        },
    );
    place(&mut router, at(2), "keyed", Some(5))
}

#[test]
fn a_queue_is_judged_by_the_times_that_all_entries_saw() {
    let place = place_behind_queue(vec![(TargetId(1), 200)]);

    assert!(
        matches!(place, RoutingDecision::Reject(RejectReason::Busy, _)),
        "{place:?}"
    );
}

#[test]
fn a_target_without_news_is_judged_by_the_others_of_its_service() {
    let place = place_behind_queue(vec![(TargetId(2), 200)]);

    assert!(
        matches!(place, RoutingDecision::Reject(RejectReason::Busy, _)),
        "{place:?}"
    );
}

#[test]
fn a_target_that_was_too_slow_is_tried_again_some_seconds_later() {
    let mut router = router();
    let slow = LeaderStatus {
        service_times: vec![(TargetId(1), 3_000), (TargetId(2), 100)],
        ..pulse()
    };
    let usual = LeaderStatus {
        service_times: vec![(TargetId(2), 100)],
        ..pulse()
    };
    router.apply_status(at(1), slow);
    let soon = place(&mut router, at(10), "keyed", Some(5));
    router.apply_status(at(500), usual.clone());

    router.apply_status(at(8_000), usual);
    let later = place(&mut router, at(8_001), "keyed", Some(5));

    assert!(
        matches!(soon, RoutingDecision::Reject(RejectReason::Busy, _)),
        "{soon:?}"
    );
    assert_eq!(sent_to(&later), Some(TargetId(1)));
}

#[test]
fn a_queue_that_was_seen_long_ago_has_shrunk() {
    let (id, load, _) = queue();
    let place_after = |age| {
        let mut router = router();
        let pulse = LeaderStatus {
            loads: vec![(id, load, age)],
            service_times: vec![(id, 200)],
            ..pulse()
        };
        router.apply_status(at(1_000), pulse);
        place(&mut router, at(1_001), "keyed", Some(5))
    };

    let young = place_after(0);
    let old = place_after(600);

    assert!(
        matches!(young, RoutingDecision::Reject(RejectReason::Busy, _)),
        "{young:?}"
    );
    assert_eq!(sent_to(&old), Some(id));
}

#[test]
fn many_entries_with_the_same_news_do_not_crowd_one_target() {
    let entries = 80;
    let news = |targets: u32| LeaderStatus {
        entries,
        loads: (1..=targets)
            .map(|id| {
                let load = LoadReport {
                    running: if id == 5 { 0 } else { 4 },
                    waiting: 0,
                    slots: 4,
                    latency_percent: 100,
                };
                (TargetId(id), load, 0)
            })
            .collect(),
        ..pulse()
    };
    let mut catalog = catalog();
    for number in 5..=40 {
        catalog.apply(&Update::Join(target(number, "pool", "a")));
    }
    let mut sent: BTreeMap<TargetId, u32> = BTreeMap::new();

    for seed in 0..entries {
        let mut router = router_of(u64::from(seed), catalog.clone());
        router.apply_status(at(1), news(40));
        let id = sent_to(&place(&mut router, at(2), "pool", None)).expect("a target");
        *sent.entry(id).or_default() += 1;
    }

    // Four run at once there and sixteen may wait.
    assert!(sent.values().all(|count| *count <= 20), "{sent:?}");
}

#[test]
fn a_target_that_left_while_a_connection_was_made_gets_nothing() {
    let mut router = router();
    let before = router.still_accepts(at(1), TargetId(3), false);

    router.apply_updates(at(2), 11, &[Update::Leave(TargetId(3))]);

    assert!(before);
    assert!(!router.still_accepts(at(3), TargetId(3), false));
}

#[test]
fn an_owner_that_left_gets_its_keys_for_a_part_of_its_time() {
    let mut router = router();

    router.apply_updates(at(2), 11, &[Update::Leave(TargetId(1))]);

    assert!(router.still_accepts(at(500), TargetId(1), true));
    assert!(!router.still_accepts(at(1_900), TargetId(1), true));
}

#[test]
fn a_pool_request_finds_the_one_target_with_room_whatever_is_drawn() {
    let mut catalog = catalog();
    for number in 5..=40 {
        catalog.apply(&Update::Join(target(number, "pool", "a")));
    }
    let news = LeaderStatus {
        entries: 80,
        loads: (3..=40)
            .map(|id| {
                let load = LoadReport {
                    running: if id == 17 { 0 } else { 4 },
                    waiting: if id == 17 { 0 } else { 60 },
                    slots: 4,
                    latency_percent: 100,
                };
                (TargetId(id), load, 0)
            })
            .collect(),
        ..pulse()
    };

    for seed in 0..20 {
        let mut router = router_of(seed, catalog.clone());
        router.apply_status(at(1), news.clone());

        let place = place(&mut router, at(2), "pool", None);

        assert_eq!(sent_to(&place), Some(TargetId(17)), "seed {seed}");
    }
}
