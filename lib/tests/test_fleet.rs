//! Tests of the replicated fleet state: under any sequence of commands every key has at most one
//! owner and fences never decrease.

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

fn entry_up(node: u64) -> Command {
    Command::EntryUp {
        node: Node(node),
        zone: Zone::from("a"),
        incarnation: Incarnation(1),
    }
}

fn movement(fleet: &Fleet, index: usize, to: &str) -> Move {
    let ranges = &fleet.services[SERVICE].ranges;
    Move {
        service: Service::from(SERVICE),
        range: ranges[index % ranges.len()].range,
        to: Target::from(to),
    }
}

fn rehome(target: &str, node: u64) -> Command {
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
    let mut commands = vec![note(FIRST_NOTE), note(POOL_NOTE), entry_up(1), entry_up(2)];
    for (number, zone) in ["a", "a", "b", "b"].iter().enumerate() {
        let name = format!("w-{number}");
        commands.push(admit(&name, zone, 1));
        commands.push(rehome(&name, 1));
    }
    for command in &commands {
        assert_ne!(apply(&mut fleet, command), Applied::Stale, "{command:?}");
    }
    let first = movement(&fleet, 0, "w-0");
    apply(&mut fleet, &Command::MoveBegin(vec![first]));
    fleet
}

fn first_assignment(fleet: &Fleet) -> &Assignment {
    &fleet.services[SERVICE].ranges[0]
}

fn owner(fleet: &Fleet) -> Option<&str> {
    first_assignment(fleet).owner.as_ref().map(Target::as_str)
}

#[test]
fn a_moving_range_is_unserved_until_the_move_ends() {
    let mut fleet = fleet();
    let range_move = movement(&fleet, 0, "w-1");
    let (hash, fence) = (range_move.range.first(), first_assignment(&fleet).fence);

    apply(&mut fleet, &Command::MoveBegin(vec![range_move.clone()]));
    let unserved = fleet.route(SERVICE, hash) == Route::Unserved
        && fleet.grants_of(&"w-0".into()).is_empty()
        && fleet.grants_of(&"w-1".into()).is_empty();
    apply(&mut fleet, &Command::MoveEnd(vec![range_move.clone()]));
    let again = apply(&mut fleet, &Command::MoveEnd(vec![range_move]));

    assert!(unserved, "the range was served while it moved");
    assert_eq!(owner(&fleet), Some("w-1"));
    assert!(first_assignment(&fleet).fence > fence);
    assert_eq!(again, Applied::Stale);
}

#[test]
fn a_lost_or_withdrawn_destination_cancels_the_move() {
    let cancelling = [
        lost("w-1", 1),
        admit("w-1", "a", 2),
        note("builds_on: 2\nwithdrawn: {targets: [w-1]}"),
        note("builds_on: 2\nchanged: {zones: {a: out}}"),
    ];
    for command in cancelling {
        let mut fleet = fleet();
        let range_move = movement(&fleet, 0, "w-1");
        apply(&mut fleet, &Command::MoveBegin(vec![range_move.clone()]));

        apply(&mut fleet, &command);
        let end = apply(&mut fleet, &Command::MoveEnd(vec![range_move]));

        assert_eq!(end, Applied::Stale, "{command:?}");
        assert_eq!(first_assignment(&fleet).next, None, "{command:?}");
        assert_eq!(owner(&fleet), Some("w-0"), "{command:?}");
    }
}

#[test]
fn a_new_incarnation_owns_nothing_and_the_old_one_cannot_rejoin() {
    let mut fleet = fleet();

    let restarted = apply(&mut fleet, &admit("w-0", "a", 2));
    let stale = [
        apply(&mut fleet, &admit("w-0", "a", 1)),
        apply(&mut fleet, &admit("w-0", "a", 2)),
        apply(&mut fleet, &lost("w-0", 1)),
    ];

    assert_eq!((restarted, owner(&fleet)), (Applied::Done, None));
    assert_eq!(fleet.targets["w-0"].home, None);
    assert!(stale.iter().all(|answer| *answer == Applied::Stale));
}

#[test]
fn an_incarnation_that_left_cannot_rejoin_but_a_later_one_can() {
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

    let before_drain = apply(&mut fleet, &remove);
    apply(&mut fleet, &drain);
    apply(&mut fleet, &lost("w-0", 1));
    let back = apply(&mut fleet, &admit("w-0", "a", 1));
    apply(&mut fleet, &remove);
    let again = apply(&mut fleet, &admit("w-0", "a", 1));
    let later = apply(&mut fleet, &admit("w-0", "a", 2));

    assert_eq!(before_drain, Applied::Stale);
    assert_eq!(
        (back, again, later),
        (Applied::Stale, Applied::Stale, Applied::Done)
    );
}

#[test]
fn a_service_without_serving_targets_is_unserved() {
    let mut fleet = fleet();
    let hash = first_assignment(&fleet).range.first();
    let text =
        "builds_on: 2\nchanged: {zones: {a: out, b: out, c: out}}\nallow: [last-zone, no-targets]";

    let before = matches!(fleet.route(SERVICE, hash), Route::Keyed { .. });
    apply(&mut fleet, &note(text));

    assert!(before);
    assert_eq!(fleet.route(SERVICE, hash), Route::Unserved);
    assert!(fleet.grants_of(&"w-0".into()).is_empty());
}

#[test]
fn an_explanation_states_owner_home_zone_and_reason() {
    let mut fleet = fleet();
    let key = (0..)
        .map(|n| format!("family-{n}"))
        .find(|key| first_assignment(&fleet).range.contains(KeyHash::of(key)));
    apply(&mut fleet, &lost("w-0", 1));
    let range_move = movement(&fleet, 0, "w-2");
    apply(&mut fleet, &Command::MoveBegin(vec![range_move]));

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

/// Makes a command from random numbers; most of them fit the state and change it.
fn any_command(fleet: &Fleet, kind: u8, choice: u8, at: u64) -> Command {
    let name = format!("w-{}", choice % 5);
    let current = fleet
        .targets
        .get(name.as_str())
        .map_or(1, |t| t.announcement.incarnation.0);
    let (target, incarnation) = (Target::from(name.as_str()), Incarnation(current));
    let zone = ["a", "b", "c"][usize::from(choice % 3)];
    let (node, index) = (u64::from(choice % 4), at as usize % 300);
    let service = Service::from(SERVICE);
    match kind % 14 {
        0 => admit(&name, zone, current + u64::from(choice / 128)),
        1 => lost(&name, current),
        2 => Command::Drain {
            target,
            incarnation,
        },
        3 => Command::Remove {
            target,
            incarnation,
        },
        4 => entry_up(node),
        5 => Command::EntryLost {
            node: Node(node),
            incarnation: Incarnation(1),
        },
        6 => rehome(&name, node),
        7 | 8 => Command::MoveBegin(
            (0..9)
                .map(|n| movement(fleet, index + 7 * n, &name))
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
                at: ranges[index % ranges.len()].range.first(),
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

/// Whether each new owner got a fence that was never used before and no fence decreased.
fn fences_increase(before: &Fleet, after: &Fleet) -> bool {
    let old_ranges = &before.services[SERVICE].ranges;
    let new_ranges = &after.services[SERVICE].ranges;
    new_ranges.iter().all(|new| {
        let mut overlapping = old_ranges
            .iter()
            .filter(|old| old.range.overlaps(&new.range));
        overlapping.all(|old| {
            let kept = new.owner.is_none() || new.owner == old.owner;
            new.fence >= old.fence && (kept || new.fence > before.last_fence)
        })
    })
}

/// Whether no owner is lost or removed and all destinations of moves can serve.
fn owners_are_valid(fleet: &Fleet) -> bool {
    fleet.services[SERVICE].ranges.iter().all(|assignment| {
        let owner = assignment
            .owner
            .as_ref()
            .map(|owner| fleet.targets.get(owner));
        let is_present = owner.is_none_or(|t| t.is_some_and(|t| t.phase != TargetPhase::Lost));
        is_present
            && assignment
                .next
                .as_ref()
                .is_none_or(|next| fleet.can_serve(next))
    })
}

/// Whether all homes and former homes are entries that are up.
fn homes_are_up(fleet: &Fleet) -> bool {
    let is_up = |node: &Node| fleet.entries.get(node).is_some_and(|entry| entry.alive);
    let mut targets = fleet.targets.values();
    targets.all(|t| t.home.iter().chain(&t.former_homes).all(is_up))
}

/// Returns the first invariant that a command broke, if any.
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
            "two targets own one key",
        ),
        (
            fences_increase(before, after),
            "a fence decreased or was reused",
        ),
        (
            owners_are_valid(after),
            "an owner is gone or a destination cannot serve",
        ),
        (homes_are_up(after), "a home is not up"),
        (after.version >= before.version, "the version decreased"),
    ];
    rules
        .iter()
        .find(|(holds, _)| !holds)
        .map(|(_, rule)| *rule)
}

crate::properties! {
    fn ownership_holds_under_any_commands(choices: Vec<(u8, u8, u64)>) -> TestResult {
        let mut fleet = fleet();
        for (kind, choice, at) in choices {
            let command = any_command(&fleet, kind, choice, at);
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
