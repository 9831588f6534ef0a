//! Targets that ask for a pause or say that they leave: what an entry still sends them.

use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    request::balance::{ClosingTimes, OpenTargets, Openness, TargetNotice},
    version::catalog::{Applied, Catalog, TargetId, TargetRecord, Update},
};
use std::time::Duration;

const DRAIN: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn record(incarnation: u64) -> TargetRecord {
    TargetRecord {
        name: Target::from("w"),
        incarnation: Incarnation(incarnation),
        service: Service::from("s"),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: Zone::from("a"),
        slots: 4,
        leaving: false,
    }
}

/// Catalog with one target, and its number.
fn catalog() -> (Catalog, TargetId) {
    let mut catalog = Catalog::default();
    match catalog.apply(&Update::Join(record(1))) {
        Applied::Joined(id) => (catalog, id),
        other => panic!("{other:?}"),
    }
}

fn open_targets() -> OpenTargets {
    OpenTargets::new(ClosingTimes {
        drain: DRAIN,
        evacuate: Duration::from_secs(5),
    })
}

fn pause(millis: u64) -> TargetNotice {
    TargetNotice {
        leaves: false,
        pause: Some(Duration::from_millis(millis)),
    }
}

const LEAVES: TargetNotice = TargetNotice {
    leaves: true,
    pause: None,
};

#[test]
fn a_target_gets_nothing_during_its_pause() {
    let ((catalog, id), mut open) = (catalog(), open_targets());

    let first = open.record(at(0), &catalog, id, pause(3_000));
    let second = open.record(at(200), &catalog, id, pause(3_000));
    let third = open.record(at(400), &catalog, id, pause(10));

    assert_eq!(
        (first, second, third),
        (
            pause(3_000),
            TargetNotice::default(),
            TargetNotice::default()
        )
    );
    let state = |millis| open.state(at(millis), &catalog, id, true);
    assert_eq!(state(1_200), Openness::Paused(Duration::from_millis(2_000)));
    assert_eq!(state(3_199), Openness::Paused(Duration::from_millis(1)));
    assert_eq!(state(3_200), Openness::Open);
}

/// A pause of minutes is over after one, and requests that waited reach the target together.
#[test]
fn a_target_gets_requests_before_the_end_of_a_long_pause() {
    let ((catalog, id), mut open) = (catalog(), open_targets());

    open.record(at(0), &catalog, id, pause(300_000));

    let left = Openness::Paused(Duration::from_secs(1));
    assert_eq!(open.state(at(299_000), &catalog, id, false), left);
    assert_eq!(open.state(at(300_000), &catalog, id, false), Openness::Open);
}

#[test]
fn no_pause_shuts_a_target_out_for_good() {
    let ((catalog, id), mut open) = (catalog(), open_targets());
    let forever = TargetNotice {
        leaves: false,
        pause: Some(Duration::MAX),
    };

    open.record(at(0), &catalog, id, forever);

    let hour = 3_600_000;
    let last = open.state(at(hour - 1), &catalog, id, false);
    assert!(matches!(last, Openness::Paused(_)));
    assert_eq!(open.state(at(hour), &catalog, id, false), Openness::Open);
}

#[test]
fn a_target_that_leaves_keeps_only_its_keys_and_those_for_its_drain() {
    let ((mut catalog, id), mut open) = (catalog(), open_targets());

    open.record(at(0), &catalog, id, LEAVES);
    open.record(at(1_500), &catalog, id, LEAVES);

    assert_eq!(open.state(at(1), &catalog, id, false), Openness::Closed);
    assert_eq!(open.state(at(1_600), &catalog, id, true), Openness::Open);
    assert_eq!(open.state(at(2_000), &catalog, id, true), Openness::Closed);
    // The leader's word comes late and does not open it again.
    catalog.apply(&Update::Leave(id));
    open.refresh(&catalog, Some(at(2_100)));
    assert_eq!(open.state(at(2_200), &catalog, id, true), Openness::Closed);
}

#[test]
fn the_next_incarnation_is_not_held_for_the_words_of_the_one_before() {
    let ((mut catalog, id), mut open) = (catalog(), open_targets());
    open.record(at(0), &catalog, id, LEAVES);
    open.record(at(0), &catalog, id, pause(5_000));

    let joined = catalog.apply(&Update::Join(record(2)));
    open.refresh(&catalog, Some(at(100)));

    let Applied::Joined(next) = joined else {
        panic!("{joined:?}");
    };
    assert_eq!(open.state(at(200), &catalog, next, true), Openness::Open);
    assert_eq!(open.state(at(200), &catalog, id, true), Openness::Closed);
}

#[test]
fn a_target_that_joins_again_in_the_same_incarnation_has_its_pause_forgotten() {
    let ((mut catalog, id), mut open) = (catalog(), open_targets());
    open.record(at(0), &catalog, id, pause(30_000));

    catalog.apply(&Update::Remove(id));
    open.refresh(&catalog, Some(at(20_000)));
    let joined = catalog.apply(&Update::Join(record(1)));
    open.refresh(&catalog, Some(at(21_000)));

    let Applied::Joined(next) = joined else {
        panic!("{joined:?}");
    };
    let state = open.state(at(22_000), &catalog, next, false);
    assert_eq!(state, Openness::Paused(Duration::from_secs(8)));
}
