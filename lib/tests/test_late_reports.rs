//! Heartbeats that reach a new leader seconds late. Those that were sent before their target got keys from
//! the former leader say nothing about these keys, however many of them there are.

use cornelrail_lib::{
    connection::{
        heartbeat::{GrantedSpan, Heartbeat, HeldSpan, Lease},
        pull_lease::{HeartbeatOutcome, LeaseConfig},
    },
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    version::{
        catalog::{Catalog, KeySpan, SpanGrant, TargetId, Update},
        desired::{Change, Item, ItemVersion, ServiceSpec},
        leader::LeaderState,
    },
};
use std::time::Duration;

const CONFIG: LeaseConfig = LeaseConfig {
    length: Duration::from_secs(4),
    heartbeat: Duration::from_millis(870),
};
/// A lease by the slowest clock of a target.
const LONGEST_LEASE: Duration = Duration::from_millis(4_080);
const TERM_START: Moment = Moment::from_millis(60_000);
const OWNER: TargetId = TargetId(1);
const NEXT: TargetId = TargetId(2);

fn service() -> Service {
    Service::from("s")
}

fn heartbeat(number: u16, serial: u64) -> Heartbeat {
    Heartbeat {
        name: Target(format!("w-{number}")),
        incarnation: Incarnation(1),
        service: service(),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        zone: Zone(format!("zone-{number}")),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        serial,
        holds: Vec::new(),
        released: Vec::new(),
    }
}

/// State that a former leader has left: one target owns all keys, another one owns none.
fn catalog() -> Catalog {
    let spec = ServiceSpec {
        health: "/health".to_owned(),
        connections: 100,
        cold_period: Duration::ZERO,
        cold_rate: 1_000,
        keyed: true,
        warmup: Duration::ZERO,
    };
    let item = Item {
        version: ItemVersion(1),
        value: Some(spec),
        source: String::new(),
    };
    let mut change = Change::default();
    change.services.insert(service(), item);
    let mut catalog = Catalog::default();
    catalog.apply(&Update::Desired(change));
    for number in [1, 2] {
        catalog.apply(&Update::Join(heartbeat(number, 1).record()));
    }
    assign(&mut catalog, KeySpan::FULL, None, OWNER);
    catalog
}

fn assign(catalog: &mut Catalog, span: KeySpan, former: Option<TargetId>, owner: TargetId) {
    let grant = SpanGrant {
        span,
        former,
        owner,
        handover: String::new(),
    };
    catalog.apply(&Update::Assign {
        service: service(),
        grants: vec![grant],
    });
}

fn begin_move(catalog: &mut Catalog, span: KeySpan) {
    catalog.apply(&Update::Move {
        service: service(),
        spans: vec![(span, NEXT)],
    });
}

/// Rows of an answer as the next heartbeat lists them.
fn held(grants: &[GrantedSpan]) -> Vec<HeldSpan> {
    let held = |grant: &GrantedSpan| HeldSpan {
        span: grant.span,
        fence: grant.fence,
    };
    grants.iter().map(held).collect()
}

/// Takes a heartbeat and answers it; gives what the leader proposes and the lease.
fn answer(
    leader: &mut LeaderState,
    catalog: &Catalog,
    now: Moment,
    heartbeat: &Heartbeat,
) -> (Vec<Update>, Lease) {
    match leader.heartbeat(now, catalog, heartbeat) {
        HeartbeatOutcome::Known { id, updates } => {
            let lease = leader.renew_lease(now, catalog, id);
            (updates, lease.expect("a lease"))
        }
        other => panic!("a known target, not {other:?}"),
    }
}

/// State in which the owner is to give all keys up, as its zone is out of service.
fn evacuated() -> Catalog {
    let mut catalog = catalog();
    catalog.apply(&Update::ZoneOut(Zone::from("zone-1")));
    begin_move(&mut catalog, KeySpan::FULL);
    catalog
}

#[test]
fn late_heartbeats_release_keys_of_a_former_leaders_lease() {
    let catalog = evacuated();
    let mut leader = LeaderState::new(CONFIG, TERM_START, &catalog);
    let end = TERM_START + LONGEST_LEASE;
    let step = Duration::from_millis(50);
    let (mut now, mut serial) = (TERM_START, 1);

    while now + step < end {
        now = now + step;
        serial += 1;
        let (updates, lease) = answer(&mut leader, &catalog, now, &heartbeat(1, serial));
        assert_eq!(updates, Vec::new(), "heartbeat {serial} at {now:?}");
        assert_eq!(lease.grants, Vec::new());
        assert_eq!(leader.plan(now, &catalog), Vec::new());
    }
    let (updates, _) = answer(&mut leader, &catalog, end, &heartbeat(1, serial + 1));

    assert!(matches!(updates[..], [Update::Assign { .. }]));
}

#[test]
fn a_release_counts_late_though_its_target_joined_in_this_term() {
    let empty = Catalog::default();
    let mut leader = LeaderState::new(CONFIG, TERM_START, &empty);
    let mut catalog = catalog();
    let (_, lease) = answer(&mut leader, &catalog, TERM_START, &heartbeat(1, 1));
    catalog.apply(&Update::ZoneOut(Zone::from("zone-1")));
    begin_move(&mut catalog, KeySpan::FULL);
    let holding = Heartbeat {
        holds: held(&lease.grants),
        ..heartbeat(1, 2)
    };
    let now = TERM_START + CONFIG.heartbeat;
    let (_, lease) = answer(&mut leader, &catalog, now, &holding);
    assert_eq!(lease.grants, Vec::new());

    let (updates, _) = answer(&mut leader, &catalog, now, &heartbeat(1, 3));

    assert!(matches!(updates[..], [Update::Assign { .. }]));
}

#[test]
fn a_release_counts_late_though_its_target_has_listed_a_new_grant() {
    let mut catalog = catalog();
    let [low, high] = [(0, 99), (100, 199)].map(|(first, last)| KeySpan::new(first, last));
    let (low, high) = (low.expect("a span"), high.expect("a span"));
    let mut leader = LeaderState::new(CONFIG, TERM_START, &catalog);
    assign(&mut catalog, low, Some(OWNER), OWNER);
    catalog.apply(&Update::ZoneOut(Zone::from("zone-1")));
    begin_move(&mut catalog, high);
    let now = TERM_START + CONFIG.heartbeat;
    let (_, lease) = answer(&mut leader, &catalog, now, &heartbeat(1, 5));
    let listing = Heartbeat {
        holds: held(&lease.grants),
        ..heartbeat(1, 6)
    };

    let (updates, _) = answer(&mut leader, &catalog, now + CONFIG.heartbeat, &listing);

    assert!(matches!(updates[..], [Update::Assign { .. }]));
}

#[test]
fn keys_that_are_to_move_are_served_by_nobody_until_a_release_can_be_shown() {
    let mut catalog = catalog();
    begin_move(&mut catalog, KeySpan::FULL);
    let mut leader = LeaderState::new(CONFIG, TERM_START, &catalog);
    let now = TERM_START + CONFIG.heartbeat;

    let (_, early) = answer(&mut leader, &catalog, now, &heartbeat(1, 5));
    let status = leader.status(now, 1, 1, &catalog).expect("a status");
    let later = TERM_START + LONGEST_LEASE;
    let (_, late) = answer(&mut leader, &catalog, later, &heartbeat(1, 6));

    assert_eq!(held(&early.grants).len(), 1);
    assert_eq!(status.pending, Vec::new());
    assert_eq!(late.grants, Vec::new());
}
