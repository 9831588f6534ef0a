//! State of the leader of a seeded fleet: targets that join, return cold or fall silent, and the
//! service times that it derives from the traffic reports of the entries.

use cornelrail_lib::{
    connection::{
        heartbeat::Heartbeat,
        pull_lease::{HeartbeatOutcome, LeaseConfig},
    },
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    request::balance::LoadReport,
    version::{
        catalog::{Catalog, TargetId, Update},
        desired::{Change, Item, ItemVersion, ServiceSpec},
        feed::{TargetTraffic, TrafficReport},
        leader::LeaderState,
    },
};
use std::time::Duration;

fn catalog(keyed: bool) -> Catalog {
    let spec = ServiceSpec {
        health: "/health".to_owned(),
        connections: 100,
        cold_period: Duration::ZERO,
        cold_rate: 1_000,
        keyed,
        warmup: Duration::ZERO,
    };
    let item = Item {
        version: ItemVersion(1),
        value: Some(spec),
        source: String::new(),
    };
    let mut change = Change::default();
    change.services.insert(Service::from("s"), item);
    let mut catalog = Catalog::default();
    catalog.apply(&Update::Desired(change));
    catalog
}

fn leader() -> LeaderState {
    let config = LeaseConfig {
        length: Duration::from_secs(4),
        heartbeat: Duration::from_millis(870),
    };
    LeaderState::new(config, Moment::ZERO, &Catalog::default())
}

fn heartbeat(serial: u64) -> Heartbeat {
    Heartbeat {
        name: Target::from("w"),
        incarnation: Incarnation(1),
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

/// Joins the target as the first heartbeat of its incarnation does.
fn join(leader: &mut LeaderState, catalog: &mut Catalog, now: Moment) {
    let outcome = leader.heartbeat(now, catalog, &heartbeat(1));
    assert_eq!(outcome, HeartbeatOutcome::New);
    catalog.apply(&Update::Join(heartbeat(1).record()));
    let (id, _) = catalog.find(&Target::from("w")).unwrap();
    leader.renew_lease(now, catalog, id);
}

fn plans_removal(leader: &mut LeaderState, catalog: &Catalog, now: Moment) -> bool {
    let planned = leader.plan(now, catalog);
    planned
        .iter()
        .any(|p| matches!(p.update, Update::Remove(_)))
}

#[test]
fn a_target_that_joins_an_old_leader_stays() {
    for keyed in [false, true] {
        let (mut leader, mut catalog) = (leader(), catalog(keyed));
        let now = Moment::from_millis(60_000);

        join(&mut leader, &mut catalog, now);

        let soon = now + Duration::from_millis(500);
        assert!(
            !plans_removal(&mut leader, &catalog, soon),
            "keyed: {keyed}"
        );
    }
}

#[test]
fn a_target_that_falls_silent_is_removed_in_the_end() {
    let (mut leader, mut catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    join(&mut leader, &mut catalog, now);

    let early = plans_removal(&mut leader, &catalog, now + Duration::from_secs(19));
    let late = plans_removal(&mut leader, &catalog, now + Duration::from_secs(21));

    assert_eq!((early, late), (false, true));
}

#[test]
fn a_target_that_joins_cold_is_announced_as_cold_at_once() {
    let (mut leader, mut catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    let cold = Heartbeat {
        cold_left: Duration::from_secs(3),
        ..heartbeat(1)
    };
    leader.heartbeat(now, &catalog, &cold);
    catalog.apply(&Update::Join(cold.record()));
    let (id, _) = catalog.find(&Target::from("w")).unwrap();
    leader.renew_lease(now, &catalog, id);

    let status = leader.status(now, 1, 1, &catalog).unwrap();

    assert_eq!(status.cold, vec![(id, Duration::from_secs(3))]);
}

/// Service times, in milliseconds, in the leader status after several entries have each reported
/// traffic of the only target.
fn reported_service_times(traffic: &[TargetTraffic]) -> Option<Vec<u16>> {
    let (mut leader, mut catalog) = (leader(), catalog(true));
    let now = Moment::from_millis(60_000);
    join(&mut leader, &mut catalog, now);
    let (id, _) = catalog.find(&Target::from("w")).unwrap();
    for sample in traffic {
        let sample = TargetTraffic { id, ..*sample };
        let targets = vec![sample];
        leader.record_traffic(
            now,
            TrafficReport {
                targets,
                ..TrafficReport::default()
            },
        );
    }

    let status = leader.status(now + Duration::from_secs(1), 1, 2, &catalog)?;

    assert!(status.service_times.iter().all(|(target, _)| *target == id));
    Some(
        status
            .service_times
            .iter()
            .map(|(_, millis)| *millis)
            .collect(),
    )
}

#[test]
fn the_status_carries_service_times_measured_by_all_entries() {
    let traffic = [300, 500, 400].map(|millis| TargetTraffic {
        answers: 1,
        total_time: Duration::from_millis(millis),
        ..TargetTraffic::default()
    });

    assert_eq!(reported_service_times(&traffic), Some(vec![400]));
}

#[test]
fn queued_answers_do_not_raise_the_service_time() {
    let traffic = TargetTraffic {
        answers: 4,
        total_time: Duration::from_millis(2_000),
        unqueued: 2,
        unqueued_time: Duration::from_millis(300),
        ..TargetTraffic::default()
    };

    assert_eq!(reported_service_times(&[traffic]), Some(vec![150]));
}

#[test]
fn a_delayed_heartbeat_of_a_target_that_has_left_does_not_admit_it_again() {
    for after in [7, 20, 50] {
        let (mut leader, mut catalog) = (leader(), catalog(true));
        let now = Moment::from_millis(60_000);
        join(&mut leader, &mut catalog, now);
        let (id, _) = catalog.find(&Target::from("w")).unwrap();
        catalog.apply(&Update::Leave(id));
        let later = now + Duration::from_secs(after);
        for planned in leader.plan(later, &catalog) {
            catalog.apply(&planned.update);
        }
        let mut next_leader = self::leader();

        let outcomes = [&mut leader, &mut next_leader]
            .map(|leader| leader.heartbeat(later, &catalog, &heartbeat(2)));

        for outcome in outcomes {
            assert_ne!(outcome, HeartbeatOutcome::New, "{after} s after it left");
        }
    }
}

/// Heartbeat of one of many targets.
fn heartbeat_of(number: u16) -> Heartbeat {
    Heartbeat {
        name: Target(format!("w{number}")),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        ..heartbeat(1)
    }
}

#[test]
fn targets_that_join_beyond_the_first_seconds_get_no_keys_at_the_start() {
    // A large service joins for three seconds, with a gap after the first half.
    let joins: Vec<u64> = (0..100)
        .map(|number| number * 26 + 400 * u64::from(number >= 50))
        .collect();
    let (mut leader, mut catalog) = (leader(), catalog(true));
    let start = Moment::from_millis(60_000);

    // Shorter than the first leases.
    for step in 0..38 {
        let at = step * 100;
        let now = start + Duration::from_millis(at);
        for number in (0..100).filter(|number| (at..at + 100).contains(&joins[*number as usize])) {
            let heartbeat = heartbeat_of(number);
            leader.heartbeat(now, &catalog, &heartbeat);
            catalog.apply(&Update::Join(heartbeat.record()));
            let (id, _) = catalog.find(&heartbeat.name).expect("joined");
            leader.renew_lease(now, &catalog, id);
        }
        for planned in leader.plan(now, &catalog) {
            catalog.apply(&planned.update);
            if let Some(service) = planned.completes {
                leader.finish_plan(&service);
            }
        }
    }

    let rows = catalog.shards["s"].rows();
    let owners = rows.iter().filter_map(|row| row.owner);
    let owners: std::collections::BTreeSet<_> = owners.collect();
    assert_eq!(owners.len(), 100);
}

/// What an entry has heard of a target that has answered no request yet.
fn load_of(id: TargetId, latency_percent: u32) -> TargetTraffic {
    let load = LoadReport {
        running: 0,
        waiting: 0,
        slots: 4,
        latency_percent,
    };
    TargetTraffic {
        id,
        load: Some((load, 0)),
        ..TargetTraffic::default()
    }
}

#[test]
fn keys_are_dealt_without_a_look_at_the_speed_of_targets() {
    let (mut leader, mut catalog) = (leader(), catalog(true));
    let start = Moment::from_millis(60_000);
    for number in 0..2 {
        let heartbeat = heartbeat_of(number);
        leader.heartbeat(start, &catalog, &heartbeat);
        catalog.apply(&Update::Join(heartbeat.record()));
        let (id, _) = catalog.find(&heartbeat.name).expect("joined");
        leader.renew_lease(start, &catalog, id);
        leader.record_traffic(
            start,
            TrafficReport {
                targets: vec![load_of(id, 50 + 100 * u32::from(number))],
                ..TrafficReport::default()
            },
        );
    }

    for step in 0..30 {
        let now = start + Duration::from_millis(step * 100);
        for planned in leader.plan(now, &catalog) {
            catalog.apply(&planned.update);
        }
    }

    let keys = |number: u16| {
        let (id, _) = catalog
            .find(&heartbeat_of(number).name)
            .expect("it has joined");
        let rows = catalog.shards["s"].rows().iter();
        let rows = rows.filter(move |row| row.owner == Some(id));
        rows.map(|row| row.span.width()).sum::<u32>()
    };
    let ratio = f64::from(keys(0)) / f64::from(keys(1));
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
}

/// Keyed target that holds all keys under a grant, with the heartbeats by which it got them.
fn serve_all_keys(leader: &mut LeaderState, catalog: &mut Catalog, now: Moment) -> TargetId {
    join(leader, catalog, now);
    let (id, _) = catalog.find(&Target::from("w")).unwrap();
    let mut at = now;
    while catalog.shards.is_empty() {
        at = at + Duration::from_millis(100);
        for planned in leader.plan(at, catalog) {
            catalog.apply(&planned.update);
            if let Some(service) = planned.completes {
                leader.finish_plan(&service);
            }
        }
        assert!(at.since(now) < Duration::from_secs(10), "no keys assigned");
    }
    id
}

fn count_statuses(leader: &mut LeaderState, catalog: &Catalog, from: Moment, renews: bool) -> u32 {
    let (id, _) = catalog.find(&Target::from("w")).unwrap();
    let mut statuses = 0;
    for millis in 0..1_000 {
        let now = from + Duration::from_millis(millis);
        if renews && millis % 5 == 0 {
            leader.renew_lease(now, catalog, id);
        }
        statuses += u32::from(leader.status(now, 1, 60, catalog).is_some());
    }
    statuses
}

/// Guards against a status for each heartbeat: with 155 keyed targets they were 60 a second.
#[test]
fn heartbeats_that_change_nothing_cause_no_status() {
    let (mut leader, mut catalog) = (leader(), catalog(true));
    let start = Moment::from_millis(60_000);
    serve_all_keys(&mut leader, &mut catalog, start);
    let now = start + Duration::from_secs(12);
    let (id, _) = catalog.find(&Target::from("w")).unwrap();
    leader.renew_lease(now, &catalog, id);

    let calm = count_statuses(&mut leader, &catalog, now + Duration::from_secs(1), false);
    let busy = count_statuses(&mut leader, &catalog, now + Duration::from_secs(2), true);

    assert!(
        busy <= calm + 1,
        "{busy} statuses with heartbeats, {calm} without"
    );
}

/// Guards against entries that hold requests back for keys that are served again.
#[test]
fn a_heartbeat_that_renews_an_expired_lease_causes_a_status() {
    let (mut leader, mut catalog) = (leader(), catalog(true));
    let start = Moment::from_millis(60_000);
    let id = serve_all_keys(&mut leader, &mut catalog, start);
    let now = start + Duration::from_secs(12);
    let expired = leader.status(now, 1, 60, &catalog).expect("due");

    leader.renew_lease(now + Duration::from_millis(20), &catalog, id);
    let next = leader.status(now + Duration::from_millis(20), 1, 60, &catalog);

    assert!(!expired.pending.is_empty());
    assert!(next.is_some_and(|status| status.pending.is_empty()));
}

/// A target that reports again while its removal is being committed holds keys that are free then.
#[test]
fn a_target_gets_a_lease_while_its_removal_is_committed() {
    let (mut leader, mut catalog) = (leader(), catalog(true));
    let now = Moment::from_millis(60_000);
    let id = serve_all_keys(&mut leader, &mut catalog, now);
    let late = now + Duration::from_secs(21);
    let planned = leader.plan(late, &catalog);
    assert!(planned.iter().any(|p| p.update == Update::Remove(id)));

    leader.heartbeat(late, &catalog, &heartbeat(2));
    let lease = leader.renew_lease(late, &catalog, id);
    catalog.apply(&Update::Remove(id));
    let next = leader.heartbeat(late, &catalog, &heartbeat(3));

    assert_eq!(lease, None);
    assert_eq!(next, HeartbeatOutcome::New);
}

/// The proposal of a removal fails, and the target goes without keys for ever.
#[test]
fn a_removal_is_not_proposed_again_for_a_target_that_reports_meanwhile() {
    let (mut leader, mut catalog) = (leader(), catalog(true));
    let now = Moment::from_millis(60_000);
    join(&mut leader, &mut catalog, now);
    let late = now + Duration::from_secs(21);
    assert!(plans_removal(&mut leader, &catalog, late));
    leader.heartbeat(late, &catalog, &heartbeat(2));

    let later = late + Duration::from_millis(200);

    assert!(plans_removal(&mut leader, &catalog, later));
}

/// Heartbeat of the next incarnation of the target.
fn reborn(serial: u64) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(2),
        ..heartbeat(serial)
    }
}

/// The leave message of an incarnation that the catalog does not have is acknowledged and dropped.
#[test]
fn a_later_incarnation_that_leaves_marks_the_record_of_the_former_one() {
    let (mut leader, mut catalog) = (leader(), catalog(true));
    let now = Moment::from_millis(60_000);
    join(&mut leader, &mut catalog, now);
    let (id, record) = catalog.find(&Target::from("w")).unwrap();
    let name = record.name.clone();

    let former = leader.leave(now, &catalog, &name, Some(Incarnation(0)));
    let later = leader.leave(now, &catalog, &name, Some(Incarnation(2)));

    let departure = Update::Depart(name, Incarnation(2));
    assert_eq!(
        (former, later),
        (Vec::new(), vec![Update::Leave(id), departure])
    );
}

/// The same for a report of leaving that waits for the former incarnation to fall silent.
#[test]
fn a_later_incarnation_that_drains_marks_the_record_of_the_former_one() {
    let (mut leader, mut catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    join(&mut leader, &mut catalog, now);
    let (id, _) = catalog.find(&Target::from("w")).unwrap();
    let draining = Heartbeat {
        leaving: true,
        ..reborn(1)
    };

    let outcome = leader.heartbeat(now, &catalog, &draining);

    let departure = Update::Depart(draining.name, Incarnation(2));
    let updates = vec![Update::Leave(id), departure];
    let is_first = true;
    assert_eq!(outcome, HeartbeatOutcome::Waiting { is_first, updates });
}

/// A report that arrives behind the leave message admits the target as if it served on.
#[test]
fn an_incarnation_that_has_left_joins_as_one_that_leaves() {
    let (mut leader, catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    let next = Heartbeat {
        incarnation: Incarnation(3),
        ..reborn(1)
    };

    let updates = leader.leave(now, &catalog, &reborn(1).name, Some(Incarnation(2)));
    let outcome = leader.heartbeat(now, &catalog, &reborn(1));

    let departure = Update::Depart(reborn(1).name, Incarnation(2));
    assert_eq!((updates, outcome), (vec![departure], HeartbeatOutcome::New));
    assert!(leader.joining_record(&reborn(1)).leaving);
    assert!(!leader.joining_record(&next).leaving);
}

/// The leave message overtakes the commit of the join that precedes it.
#[test]
fn a_target_that_leaves_while_it_joins_is_marked_once_it_has_joined() {
    let (mut leader, mut catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    leader.heartbeat(now, &catalog, &reborn(1));
    let joining = leader.joining_record(&reborn(1));
    leader.leave(now, &catalog, &joining.name, Some(joining.incarnation));

    catalog.apply(&Update::Join(joining));

    let (id, _) = catalog.find(&reborn(1).name).unwrap();
    let update = leader.overdue_leave(&catalog, id);
    assert_eq!(update, Some(Update::Leave(id)));
}

fn next_leader(now: Moment, catalog: &Catalog) -> LeaderState {
    let config = LeaseConfig {
        length: Duration::from_secs(4),
        heartbeat: Duration::from_millis(870),
    };
    LeaderState::new(config, now, catalog)
}

/// The next leader admits an incarnation whose departure was acknowledged, as one that stays.
#[test]
fn a_committed_departure_is_not_known_to_the_next_leader() {
    let (mut leader, mut catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    let updates = leader.leave(now, &catalog, &reborn(1).name, Some(Incarnation(2)));
    let repeated = {
        updates
            .iter()
            .for_each(|update| drop(catalog.apply(update)));
        leader.leave(now, &catalog, &reborn(1).name, Some(Incarnation(2)))
    };

    let next = next_leader(now, &catalog);

    assert_eq!(repeated, Vec::new(), "it is committed already");
    assert!(next.joining_record(&reborn(1)).leaving);
}

/// A join and a departure were committed, and the leader was lost before it marked the record.
#[test]
fn a_target_that_left_while_it_joined_is_not_marked_by_the_next_leader() {
    let (now, mut catalog) = (Moment::from_millis(60_000), catalog(false));
    catalog.apply(&Update::Join(reborn(1).record()));
    catalog.apply(&Update::Depart(reborn(1).name, Incarnation(2)));
    let (id, _) = catalog.find(&reborn(1).name).unwrap();
    let mut next = next_leader(now, &catalog);

    let planned = next.plan(now + Duration::from_secs(1), &catalog);

    let updates: Vec<_> = planned.into_iter().map(|planned| planned.update).collect();
    assert_eq!(updates, vec![Update::Leave(id)]);
}

/// Departures fill the catalog for ever.
#[test]
fn a_committed_departure_is_kept_for_more_than_a_minute() {
    let (now, mut catalog) = (Moment::from_millis(60_000), catalog(false));
    let name = reborn(1).name;
    join(&mut leader(), &mut catalog, now);
    catalog.apply(&Update::Depart(name.clone(), Incarnation(2)));
    let mut next = next_leader(now, &catalog);
    let mut plan = |serial: u64, age: u64| -> Vec<Update> {
        let at = now + Duration::from_secs(age);
        next.heartbeat(at, &catalog, &heartbeat(serial));
        let planned = next.plan(at, &catalog);
        planned.into_iter().map(|planned| planned.update).collect()
    };

    let early = plan(2, 59);
    let late = plan(3, 61);

    let forget = Update::Forget(vec![(name.clone(), Incarnation(2))]);
    assert!(!early.contains(&forget), "{early:?}");
    assert!(late.contains(&forget), "{late:?}");
    catalog.apply(&Update::Depart(name.clone(), Incarnation(3)));
    catalog.apply(&forget);
    assert!(catalog.has_departed(&name, Incarnation(3)));
}

/// A snapshot loses departures, or one of an earlier release cannot be read.
#[test]
fn departures_are_lost_with_a_snapshot() {
    let mut catalog = catalog(false);
    catalog.apply(&Update::Depart(Target::from("w"), Incarnation(2)));
    let mut earlier = postcard::to_stdvec(&catalog).expect("encoded");
    earlier.extend(postcard::to_stdvec(&catalog.suspects).expect("encoded"));
    let mut without = catalog.clone();
    without.departures.clear();

    let state = catalog.encode_state().expect("encoded");

    assert!(state.starts_with(&earlier));
    assert_eq!(Catalog::decode_state(&state), Ok(catalog));
    assert_eq!(Catalog::decode_state(&earlier), Ok(without));
}

/// The name of a target that has left is never admitted again.
#[test]
fn a_departure_is_forgotten_after_a_minute() {
    let (mut leader, mut catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    join(&mut leader, &mut catalog, now);
    leader.leave(now, &catalog, &reborn(1).name, Some(Incarnation(2)));
    let late = now + Duration::from_secs(61);

    leader.heartbeat(late, &catalog, &heartbeat(2));
    leader.plan(late, &catalog);

    assert!(!leader.joining_record(&reborn(1)).leaving);
}

/// Entries send to the address of a target that starts again as if it were warm, while its new
/// incarnation waits to join.
#[test]
fn a_target_that_waits_to_join_cold_is_announced_as_cold() {
    let (mut leader, mut catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    join(&mut leader, &mut catalog, now);
    let (id, _) = catalog.find(&Target::from("w")).unwrap();
    let soon = now + Duration::from_millis(300);
    let cold_left = Duration::from_secs(3);
    leader.status(now, 1, 1, &catalog);
    let cold = Heartbeat {
        cold_left,
        ..reborn(1)
    };

    leader.heartbeat(soon, &catalog, &cold);
    let waiting = leader.status(soon + Duration::from_millis(100), 1, 1, &catalog);
    let late = soon + Duration::from_millis(500);
    leader.heartbeat(late, &catalog, &heartbeat(2));
    let alive = leader.status(late + Duration::from_secs(1), 1, 1, &catalog);

    let left = cold_left - Duration::from_millis(100);
    assert_eq!(waiting.map(|status| status.cold), Some(vec![(id, left)]));
    // The former incarnation is the one alive.
    assert_eq!(alive.map(|status| status.cold), Some(vec![]));
}

/// A report from another address says nothing of the target at the former one.
#[test]
fn a_target_elsewhere_makes_the_former_one_no_colder() {
    let (mut leader, mut catalog) = (leader(), catalog(false));
    let now = Moment::from_millis(60_000);
    join(&mut leader, &mut catalog, now);
    let elsewhere = Heartbeat {
        cold_left: Duration::from_secs(3),
        address: ([10, 0, 0, 2], 8_000).into(),
        ..reborn(1)
    };

    leader.heartbeat(now, &catalog, &elsewhere);

    let status = leader.status(now, 1, 1, &catalog).unwrap();
    assert_eq!(status.cold, vec![]);
}
