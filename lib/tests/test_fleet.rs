//! Ownership under random commands: every key has at most one owner, and fences only grow.

use crate::model::{FIRST_NOTE, announcement};
use cornelrail_lib::{
    key::{KeyHash, KeyRange},
    name::{Incarnation, Node, Service, Target, Zone},
    version::{
        command::{Command, Move, Rehome},
        fleet::{Applied, Assignment, Fleet, Route, TargetPhase},
    },
};
use quickcheck::TestResult;

const SERVICE: &str = "payroll-core";
const POOL_NOTE: &str = "builds_on: 1\nadded: {services: {doc-intake: {kind: pool}}}";

fn apply(fleet: &mut Fleet, command: &Command) -> Applied {
    fleet.apply(fleet.index + 1, command)
}

fn note(text: &str) -> Command {
    let (author, text) = ("ann".to_owned(), text.to_owned());
    Command::Note { author, text }
}

fn admit(name: &str, zone: &str, incarnation: u64) -> Command {
    Command::Admit(announcement(name, zone, incarnation))
}

fn up(node: u64) -> Command {
    Command::EntryUp {
        node: Node(node),
        zone: Zone::from("a"),
        incarnation: Incarnation(1),
    }
}

fn movement(fleet: &Fleet, place: usize, to: &str) -> Move {
    let ranges = &fleet.services[SERVICE].ranges;
    Move {
        service: Service::from(SERVICE),
        range: ranges[place % ranges.len()].range,
        to: Target::from(to),
    }
}

fn home(target: &str, node: u64) -> Command {
    Command::Rehome(vec![Rehome {
        target: Target::from(target),
        home: Node(node),
    }])
}

fn lost(target: &str, incarnation: u64) -> Command {
    Command::Lost {
        target: Target::from(target),
        incarnation: Incarnation(incarnation),
    }
}

/// Two entries, targets w-0 to w-3 with homes, and the first range owned by w-0.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    let mut commands = vec![note(FIRST_NOTE), note(POOL_NOTE), up(1), up(2)];
    for (number, zone) in ["a", "a", "b", "b"].iter().enumerate() {
        let name = format!("w-{number}");
        commands.push(admit(&name, zone, 1));
        commands.push(home(&name, 1));
    }
    for command in &commands {
        assert_ne!(apply(&mut fleet, command), Applied::Stale, "{command:?}");
    }
    let first = movement(&fleet, 0, "w-0");
    apply(&mut fleet, &Command::MoveBegin(vec![first]));
    fleet
}

fn first_slot(fleet: &Fleet) -> &Assignment {
    &fleet.services[SERVICE].ranges[0]
}

fn owner(fleet: &Fleet) -> Option<&str> {
    first_slot(fleet).owner.as_ref().map(Target::as_str)
}

#[test]
fn a_moving_range_is_served_by_nobody_until_its_end() {
    let mut fleet = fleet();
    let step = movement(&fleet, 0, "w-1");
    let (hash, fence) = (step.range.first(), first_slot(&fleet).fence);

    apply(&mut fleet, &Command::MoveBegin(vec![step.clone()]));
    let during = fleet.route(SERVICE, hash) == Route::Unserved
        && fleet.grants_of(&"w-0".into()).is_empty()
        && fleet.grants_of(&"w-1".into()).is_empty();
    apply(&mut fleet, &Command::MoveEnd(vec![step.clone()]));
    let again = apply(&mut fleet, &Command::MoveEnd(vec![step]));

    assert!(during, "the range was served while it moved");
    assert_eq!(owner(&fleet), Some("w-1"));
    assert!(first_slot(&fleet).fence > fence);
    assert_eq!(again, Applied::Stale);
}

#[test]
fn a_lost_or_withdrawn_receiver_cancels_the_move() {
    let cancel = [
        lost("w-1", 1),
        admit("w-1", "a", 2),
        note("builds_on: 2\nwithdrawn: {targets: [w-1]}"),
        note("builds_on: 2\nchanged: {zones: {a: out}}"),
    ];
    for command in cancel {
        let mut fleet = fleet();
        let step = movement(&fleet, 0, "w-1");
        apply(&mut fleet, &Command::MoveBegin(vec![step.clone()]));

        apply(&mut fleet, &command);
        let end = apply(&mut fleet, &Command::MoveEnd(vec![step]));

        assert_eq!(end, Applied::Stale, "{command:?}");
        assert_eq!(first_slot(&fleet).next, None, "{command:?}");
        assert_eq!(owner(&fleet), Some("w-0"), "{command:?}");
    }
}

#[test]
fn a_new_life_owns_nothing_and_the_old_one_does_not_come_back() {
    let mut fleet = fleet();

    let cold = apply(&mut fleet, &admit("w-0", "a", 2));
    let stale = [
        apply(&mut fleet, &admit("w-0", "a", 1)),
        apply(&mut fleet, &admit("w-0", "a", 2)),
        apply(&mut fleet, &lost("w-0", 1)),
    ];

    assert_eq!((cold, owner(&fleet)), (Applied::Done, None));
    assert_eq!(fleet.targets["w-0"].home, None);
    assert!(stale.iter().all(|answer| *answer == Applied::Stale));
}

#[test]
fn a_life_that_left_stays_out_and_a_later_one_may_join() {
    let mut fleet = fleet();
    let (target, incarnation) = (Target::from("w-0"), Incarnation(1));
    let drain = Command::Drain {
        target: target.clone(),
        incarnation,
    };
    let remove = Command::Remove {
        target,
        incarnation,
    };

    let early = apply(&mut fleet, &remove);
    apply(&mut fleet, &drain);
    apply(&mut fleet, &lost("w-0", 1));
    let back = apply(&mut fleet, &admit("w-0", "a", 1));
    apply(&mut fleet, &remove);
    let again = apply(&mut fleet, &admit("w-0", "a", 1));
    let later = apply(&mut fleet, &admit("w-0", "a", 2));

    assert_eq!(early, Applied::Stale);
    assert_eq!(
        (back, again, later),
        (Applied::Stale, Applied::Stale, Applied::Done)
    );
}

#[test]
fn a_service_without_a_target_that_may_serve_is_served_by_nobody() {
    let mut fleet = fleet();
    let hash = first_slot(&fleet).range.first();
    let text =
        "builds_on: 2\nchanged: {zones: {a: out, b: out, c: out}}\nallow: [last-zone, no-targets]";

    let before = matches!(fleet.route(SERVICE, hash), Route::Keyed { .. });
    apply(&mut fleet, &note(text));

    assert!(before);
    assert_eq!(fleet.route(SERVICE, hash), Route::Unserved);
    assert!(fleet.grants_of(&"w-0".into()).is_empty());
}

#[test]
fn an_explanation_names_owner_home_zone_and_reason() {
    let mut fleet = fleet();
    let key = (0..)
        .map(|n| format!("family-{n}"))
        .find(|key| first_slot(&fleet).range.contains(KeyHash::of(key)));
    apply(&mut fleet, &lost("w-0", 1));
    let step = movement(&fleet, 0, "w-2");
    apply(&mut fleet, &Command::MoveBegin(vec![step]));

    let text = fleet
        .explain(SERVICE, &key.expect("a key in the first range"))
        .expect("a keyed service")
        .to_string();

    for part in [
        "w-2 in zone b",
        "entry 1, epoch",
        "fence    2",
        "the range had no owner and was granted",
        "index",
    ] {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
    assert!(
        text.lines().all(|line| line.chars().count() <= 48),
        "{text}"
    );
    assert_eq!(fleet.explain("doc-intake", "x"), None);
}

/// One random command; most of them fit the state.
fn any_command(fleet: &Fleet, kind: u8, which: u8, at: u64) -> Command {
    let name = format!("w-{}", which % 5);
    let life = fleet
        .targets
        .get(name.as_str())
        .map_or(1, |t| t.info.incarnation.0);
    let (target, incarnation) = (Target::from(name.as_str()), Incarnation(life));
    let zone = ["a", "b", "c"][usize::from(which % 3)];
    let (node, place) = (u64::from(which % 4), at as usize % 300);
    let service = Service::from(SERVICE);
    match kind % 14 {
        0 => admit(&name, zone, life + u64::from(which / 128)),
        1 => lost(&name, life),
        2 => Command::Drain {
            target,
            incarnation,
        },
        3 => Command::Remove {
            target,
            incarnation,
        },
        4 => up(node),
        5 => Command::EntryLost {
            node: Node(node),
            incarnation: Incarnation(1),
        },
        6 => home(&name, node),
        7 | 8 => Command::MoveBegin(
            (0..9)
                .map(|n| movement(fleet, place + 7 * n, &name))
                .collect(),
        ),
        9 => Command::MoveEnd((0..300).map(|n| movement(fleet, n, &name)).collect()),
        10 => Command::Split {
            service,
            at: KeyHash(at.rotate_left(17)),
        },
        11 => {
            let ranges = &fleet.services[SERVICE].ranges;
            Command::Merge {
                service,
                at: ranges[place % ranges.len()].range.first(),
            }
        }
        12 => {
            let state = if at.is_multiple_of(2) { "in" } else { "out" };
            note(&format!(
                "builds_on: {}\nchanged: {{zones: {{{zone}: {state}}}}}",
                fleet.version
            ))
        }
        _ => note(&format!(
            "builds_on: {}\nwithdrawn: {{targets: [{name}]}}",
            fleet.version
        )),
    }
}

/// Whether each change of owner took a fence never used before, and no fence fell.
fn fences_grow(before: &Fleet, after: &Fleet) -> bool {
    let olds = &before.services[SERVICE].ranges;
    let news = &after.services[SERVICE].ranges;
    news.iter().all(|new| {
        let mut overlapping = olds.iter().filter(|old| old.range.overlaps(&new.range));
        overlapping.all(|old| {
            let same = new.owner.is_none() || new.owner == old.owner;
            new.fence >= old.fence && (same || new.fence > before.last_fence)
        })
    })
}

/// Whether owners and receivers are targets that may be such.
fn holders_fit(fleet: &Fleet) -> bool {
    fleet.services[SERVICE].ranges.iter().all(|slot| {
        let owner = slot.owner.as_ref().map(|owner| fleet.targets.get(owner));
        let lives = owner.is_none_or(|t| t.is_some_and(|t| t.phase != TargetPhase::Lost));
        lives && slot.next.as_ref().is_none_or(|next| fleet.can_serve(next))
    })
}

fn homes_fit(fleet: &Fleet) -> bool {
    let alive = |node: &Node| fleet.entries.get(node).is_some_and(|entry| entry.alive);
    let mut targets = fleet.targets.values();
    targets.all(|t| t.home.iter().chain(&t.former_homes).all(alive))
}

fn broken_rule(before: &Fleet, after: &Fleet) -> Option<&'static str> {
    let ranges = &after.services[SERVICE].ranges;
    let width: u128 = ranges.iter().map(|a| a.range.width()).sum();
    let mut grants: Vec<KeyRange> = (after.targets.keys())
        .flat_map(|target| after.grants_of(target))
        .map(|grant| grant.range)
        .collect();
    grants.sort();
    let rules = [
        (
            width == KeyRange::FULL.width(),
            "the ranges do not cover the hash space",
        ),
        (
            ranges.windows(2).all(|w| w[0].range < w[1].range),
            "the ranges are out of order",
        ),
        (
            grants.windows(2).all(|w| !w[0].overlaps(&w[1])),
            "two targets hold one key",
        ),
        (fences_grow(before, after), "a fence fell or was used again"),
        (
            holders_fit(after),
            "an owner is gone or a receiver may not serve",
        ),
        (homes_fit(after), "a home is not alive"),
        (after.version >= before.version, "the version fell"),
    ];
    rules
        .iter()
        .find(|(holds, _)| !holds)
        .map(|(_, rule)| *rule)
}

crate::properties! {
    fn ownership_holds_under_any_commands(choices: Vec<(u8, u8, u64)>) -> TestResult {
        let mut fleet = fleet();
        for (kind, which, at) in choices {
            let command = any_command(&fleet, kind, which, at);
            let before = fleet.clone();
            let answer = apply(&mut fleet, &command);
            if let Some(rule) = broken_rule(&before, &fleet) {
                return TestResult::error(format!("{rule} after {command:?}"));
            }
            let unchanged = Fleet { index: fleet.index, ..before };
            if answer == Applied::Stale && fleet != unchanged {
                return TestResult::error(format!("{command:?} was stale and changed the state"));
            }
        }
        TestResult::passed()
    }
}
