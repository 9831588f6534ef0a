//! The controller grants leases to entries and ends moves according to their reports.

use crate::model::{FIRST_NOTE, announcement, timing};
use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Node, Service, Target, Version, Zone},
    process::settings::{Assigner, Sending},
    version::{
        command::{Command, Move, Rehome},
        controller::{Controller, ControllerConfig},
        fleet::Fleet,
        report::{EntryReport, GoneTarget},
    },
};

/// A controller and its fleet; the test sends the reports and applies the commands.
struct Harness {
    fleet: Fleet,
    controller: Controller,
    now: Moment,
}

impl Harness {
    /// Two entries that report, and two targets whose home is entry 1; w-0 owns the first range.
    fn new() -> Self {
        let now = Moment::ZERO;
        let config = ControllerConfig::new(timing(), Assigner::Weighted, 1);
        let mut harness = Harness {
            fleet: Fleet::default(),
            controller: Controller::new(config, now),
            now,
        };
        let note = Command::Note {
            author: "ann".to_owned(),
            text: FIRST_NOTE.to_owned(),
        };
        harness.apply(&note);
        for node in 1..=2 {
            harness.apply(&Command::EntryUp {
                node: Node(node),
                zone: Zone::from("a"),
                incarnation: Incarnation(1),
            });
            harness.report(&harness.heartbeat(node, 1));
        }
        for name in ["w-0", "w-1"] {
            harness.apply(&Command::Admit(announcement(name, "a", 1)));
            harness.rehome(name, 1);
        }
        let first = harness.movement("w-0");
        harness.apply(&Command::MoveBegin(vec![first]));
        harness
    }

    fn apply(&mut self, command: &Command) {
        self.fleet.apply(self.fleet.index + 1, command);
    }

    fn rehome(&mut self, name: &str, node: u64) {
        let (target, home) = (Target::from(name), Node(node));
        self.apply(&Command::Rehome(vec![Rehome { target, home }]));
    }

    fn movement(&self, to: &str) -> Move {
        Move {
            service: Service::from("payroll-core"),
            range: self.fleet.services["payroll-core"].ranges[0].range,
            to: Target::from(to),
        }
    }

    fn heartbeat(&self, node: u64, incarnation: u64) -> EntryReport {
        let index = self.fleet.index;
        EntryReport::heartbeat(Node(node), Zone::from("a"), Incarnation(incarnation), index)
    }

    fn report(&mut self, report: &EntryReport) {
        self.controller.on_report(self.now, report);
    }

    /// Runs a tick; returns whether it proposes a command that satisfies the predicate.
    fn proposes(&mut self, predicate: impl Fn(&Command) -> bool) -> bool {
        let commands = self.controller.tick(self.now, &self.fleet);
        commands.iter().any(predicate)
    }

    fn wait(&mut self, millis: u64) {
        self.now = Moment::from_micros(self.now.as_micros() + millis * 1000);
    }
}

fn ends_move(command: &Command) -> bool {
    matches!(command, Command::MoveEnd(_))
}

fn loses_entry(command: &Command) -> bool {
    matches!(command, Command::EntryLost { node: Node(2), .. })
}

fn restores_entry(command: &Command) -> bool {
    matches!(command, Command::EntryUp { node: Node(2), .. })
}

#[test]
fn a_move_ends_only_after_home_and_former_home_have_quiesced() {
    let mut harness = Harness::new();
    harness.rehome("w-0", 2);
    let step = harness.movement("w-1");
    harness.apply(&Command::MoveBegin(vec![step.clone()]));
    let quiesced = EntryReport {
        quiesced: vec![step],
        ..harness.heartbeat(2, 1)
    };
    let busy = EntryReport {
        busy: vec!["w-0".into()],
        ..harness.heartbeat(1, 1)
    };
    let early = EntryReport {
        applied: quiesced.applied - 1,
        ..quiesced.clone()
    };

    harness.report(&early);
    harness.report(&harness.heartbeat(1, 1));
    let from_before = harness.proposes(ends_move);
    harness.report(&quiesced);
    harness.report(&busy);
    let with_former_busy = harness.proposes(ends_move);
    harness.report(&harness.heartbeat(1, 1));
    let after_both_quiesced = harness.proposes(ends_move);

    assert!(!from_before, "a report from before the move ended the move");
    assert!(
        !with_former_busy,
        "the former home still has a request in flight"
    );
    assert!(after_both_quiesced);
}

#[test]
fn a_move_ends_only_after_all_entries_have_quiesced_if_all_send() {
    let mut harness = Harness::new();
    let config = ControllerConfig::new(timing(), Assigner::Weighted, 1);
    let sending = Sending::Direct;
    harness.controller = Controller::new(ControllerConfig { sending, ..config }, harness.now);
    let step = harness.movement("w-1");
    harness.apply(&Command::MoveBegin(vec![step.clone()]));
    let quiesced = |harness: &Harness, node| EntryReport {
        quiesced: vec![step.clone()],
        ..harness.heartbeat(node, 1)
    };

    harness.report(&quiesced(&harness, 1));
    let by_home = harness.proposes(ends_move);
    harness.report(&quiesced(&harness, 2));
    let by_all = harness.proposes(ends_move);

    assert!(!by_home && by_all, "home {by_home}, all {by_all}");
}

#[test]
fn an_entry_is_lost_after_its_lease_expires_and_gets_none_until_it_is_restored() {
    let mut harness = Harness::new();
    harness.proposes(|_| false);
    let leased = harness.controller.lease_for(Node(2));
    harness.wait(420);
    let before = harness.proposes(loses_entry);
    harness.wait(1);
    let after = harness.proposes(loses_entry);
    harness.report(&harness.heartbeat(2, 1));
    let late = harness.controller.lease_for(Node(2));
    let restored_early = harness.proposes(restores_entry);
    harness.apply(&Command::EntryLost {
        node: Node(2),
        incarnation: Incarnation(1),
    });
    harness.report(&harness.heartbeat(2, 1));
    let restored = harness.proposes(restores_entry);

    assert_eq!(leased, Some(timing().entry_lease));
    assert!(!before && after, "lost before {before}, after {after}");
    assert_eq!(
        late, None,
        "a lease was granted after the loss was proposed"
    );
    assert!(
        !restored_early && restored,
        "early {restored_early}, then {restored}"
    );
}

#[test]
fn a_restarted_entry_waits_for_the_lease_of_its_former_incarnation() {
    let mut harness = Harness::new();
    harness.proposes(|_| false);
    harness.wait(100);
    harness.report(&harness.heartbeat(2, 2));
    let at_once = harness.proposes(restores_entry);
    let lease = harness.controller.lease_for(Node(2));
    harness.wait(321);
    harness.report(&harness.heartbeat(2, 2));
    let later = harness.proposes(restores_entry);

    assert!(!at_once, "the former incarnation may still hold its lease");
    assert_eq!(lease, None);
    assert!(later);
}

#[test]
fn a_restored_entry_gets_no_lease_until_its_state_is_current() {
    let mut harness = Harness::new();
    let old = harness.heartbeat(1, 1);
    harness.apply(&Command::EntryLost {
        node: Node(1),
        incarnation: Incarnation(1),
    });
    harness.apply(&Command::EntryUp {
        node: Node(1),
        zone: Zone::from("a"),
        incarnation: Incarnation(1),
    });

    harness.report(&old);
    harness.proposes(|_| false);
    let behind = harness.controller.lease_for(Node(1));
    harness.report(&harness.heartbeat(1, 1));
    let current = harness.controller.lease_for(Node(1));

    assert_eq!((behind, current), (None, Some(timing().entry_lease)));
}

#[test]
fn a_restarted_target_waits_until_its_home_reports_the_former_incarnation_gone() {
    let mut harness = Harness::new();
    let info = announcement("w-0", "a", 2);
    let admits = |command: &Command| matches!(command, Command::Admit(new) if *new == info);
    let answer = harness
        .controller
        .on_announce(harness.now, &harness.fleet, &info);
    let at_once = harness.proposes(admits);
    let gone = EntryReport {
        gone: vec![GoneTarget {
            target: "w-0".into(),
            incarnation: Incarnation(1),
        }],
        ..harness.heartbeat(1, 1)
    };
    harness.report(&gone);
    let later = harness.proposes(admits);

    assert_eq!(answer, Ok(None));
    assert!(!at_once && later, "at once {at_once}, later {later}");
}

#[test]
fn a_target_is_lost_only_when_its_former_home_has_stopped() {
    let mut harness = Harness::new();
    let behind = harness.heartbeat(1, 1);
    harness.rehome("w-0", 2);
    let gone = EntryReport {
        gone: vec![GoneTarget {
            target: "w-0".into(),
            incarnation: Incarnation(1),
        }],
        ..harness.heartbeat(2, 1)
    };
    let loses = |command: &Command| matches!(command, Command::Lost { .. });

    harness.report(&behind);
    harness.report(&gone);
    let early = harness.proposes(loses);
    harness.report(&harness.heartbeat(1, 1));
    let late = harness.proposes(loses);

    assert!(!early && late, "early {early}, late {late}");
}

#[test]
fn a_new_leader_waits_a_whole_lease_before_it_declares_an_entry_lost() {
    let mut harness = Harness::new();
    harness.wait(10_000);
    let config = ControllerConfig::new(timing(), Assigner::Weighted, 1);
    harness.controller = Controller::new(config, harness.now);
    harness.wait(420);
    let early = harness.proposes(loses_entry);
    harness.wait(1);
    let late = harness.proposes(loses_entry);

    assert!(!early && late, "early {early}, late {late}");
}

#[test]
fn the_status_shows_what_each_entry_confirmed() {
    let mut harness = Harness::new();
    let ahead = EntryReport {
        version: Version(1),
        ..harness.heartbeat(1, 1)
    };
    harness.wait(300);
    harness.report(&ahead);
    harness.wait(200);

    let lag = harness.controller.lag(harness.now, &harness.fleet);

    let shown: Vec<_> = (lag.iter())
        .map(|l| (l.node.0, l.version.0, l.fresh))
        .collect();
    assert_eq!(shown, [(1, 1, true), (2, 0, false)]);
    assert_eq!(lag[0].applied, harness.fleet.index);
}
