//! Leases of entries and the end of moves, as one controller decides them from reports.

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

/// A controller with its fleet, driven by hand.
struct Bench {
    fleet: Fleet,
    controller: Controller,
    now: Moment,
}

impl Bench {
    /// Two entries that report, and two targets whose home is entry 1; w-0 owns the first range.
    fn new() -> Self {
        let now = Moment::ZERO;
        let config = ControllerConfig::new(timing(), Assigner::Weighted, 1);
        let mut bench = Bench {
            fleet: Fleet::default(),
            controller: Controller::new(config, now),
            now,
        };
        let note = Command::Note {
            author: "ann".to_owned(),
            text: FIRST_NOTE.to_owned(),
        };
        bench.apply(&note);
        for node in 1..=2 {
            bench.apply(&Command::EntryUp {
                node: Node(node),
                zone: Zone::from("a"),
                incarnation: Incarnation(1),
            });
            bench.report(&bench.heartbeat(node, 1));
        }
        for name in ["w-0", "w-1"] {
            bench.apply(&Command::Admit(announcement(name, "a", 1)));
            bench.rehome(name, 1);
        }
        let first = bench.movement("w-0");
        bench.apply(&Command::MoveBegin(vec![first]));
        bench
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

    fn heartbeat(&self, node: u64, life: u64) -> EntryReport {
        let index = self.fleet.index;
        EntryReport::heartbeat(Node(node), Zone::from("a"), Incarnation(life), index)
    }

    fn report(&mut self, report: &EntryReport) {
        self.controller.on_report(self.now, report);
    }

    /// Ticks, and whether any command is as asked.
    fn proposes(&mut self, wanted: impl Fn(&Command) -> bool) -> bool {
        let commands = self.controller.tick(self.now, &self.fleet);
        commands.iter().any(wanted)
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

fn raises_entry(command: &Command) -> bool {
    matches!(command, Command::EntryUp { node: Node(2), .. })
}

#[test]
fn a_move_ends_only_when_home_and_former_home_are_quiet() {
    let mut bench = Bench::new();
    bench.rehome("w-0", 2);
    let step = bench.movement("w-1");
    bench.apply(&Command::MoveBegin(vec![step.clone()]));
    let quiet = EntryReport {
        quiesced: vec![step],
        ..bench.heartbeat(2, 1)
    };
    let busy = EntryReport {
        busy: vec!["w-0".into()],
        ..bench.heartbeat(1, 1)
    };
    let early = EntryReport {
        applied: quiet.applied - 1,
        ..quiet.clone()
    };

    bench.report(&early);
    bench.report(&bench.heartbeat(1, 1));
    let from_before = bench.proposes(ends_move);
    bench.report(&quiet);
    bench.report(&busy);
    let with_former_busy = bench.proposes(ends_move);
    bench.report(&bench.heartbeat(1, 1));
    let with_both_quiet = bench.proposes(ends_move);

    assert!(!from_before, "a report from before the move ended it");
    assert!(
        !with_former_busy,
        "the former home still has a request in flight"
    );
    assert!(with_both_quiet);
}

#[test]
fn a_move_ends_only_when_all_entries_are_quiet_if_all_send() {
    let mut bench = Bench::new();
    let config = ControllerConfig::new(timing(), Assigner::Weighted, 1);
    let sending = Sending::Direct;
    bench.controller = Controller::new(ControllerConfig { sending, ..config }, bench.now);
    let step = bench.movement("w-1");
    bench.apply(&Command::MoveBegin(vec![step.clone()]));
    let quiet = |bench: &Bench, node| EntryReport {
        quiesced: vec![step.clone()],
        ..bench.heartbeat(node, 1)
    };

    bench.report(&quiet(&bench, 1));
    let by_home = bench.proposes(ends_move);
    bench.report(&quiet(&bench, 2));
    let by_all = bench.proposes(ends_move);

    assert!(!by_home && by_all, "home {by_home}, all {by_all}");
}

#[test]
fn an_entry_is_lost_after_its_lease_and_earns_none_until_it_is_raised() {
    let mut bench = Bench::new();
    bench.proposes(|_| false);
    let leased = bench.controller.lease_for(Node(2));
    bench.wait(420);
    let before = bench.proposes(loses_entry);
    bench.wait(1);
    let after = bench.proposes(loses_entry);
    bench.report(&bench.heartbeat(2, 1));
    let late = bench.controller.lease_for(Node(2));
    let raised_early = bench.proposes(raises_entry);
    bench.apply(&Command::EntryLost {
        node: Node(2),
        incarnation: Incarnation(1),
    });
    bench.report(&bench.heartbeat(2, 1));
    let raised = bench.proposes(raises_entry);

    assert_eq!(leased, Some(timing().entry_lease));
    assert!(!before && after, "lost before {before}, after {after}");
    assert_eq!(late, None, "a lease was given after the loss was proposed");
    assert!(
        !raised_early && raised,
        "early {raised_early}, then {raised}"
    );
}

#[test]
fn a_new_life_of_an_entry_waits_for_the_lease_of_the_old_one() {
    let mut bench = Bench::new();
    bench.proposes(|_| false);
    bench.wait(100);
    bench.report(&bench.heartbeat(2, 2));
    let at_once = bench.proposes(raises_entry);
    let lease = bench.controller.lease_for(Node(2));
    bench.wait(321);
    bench.report(&bench.heartbeat(2, 2));
    let later = bench.proposes(raises_entry);

    assert!(!at_once, "the old life may still hold its lease");
    assert_eq!(lease, None);
    assert!(later);
}

#[test]
fn an_entry_that_came_back_earns_no_lease_on_its_older_state() {
    let mut bench = Bench::new();
    let old = bench.heartbeat(1, 1);
    bench.apply(&Command::EntryLost {
        node: Node(1),
        incarnation: Incarnation(1),
    });
    bench.apply(&Command::EntryUp {
        node: Node(1),
        zone: Zone::from("a"),
        incarnation: Incarnation(1),
    });

    bench.report(&old);
    bench.proposes(|_| false);
    let behind = bench.controller.lease_for(Node(1));
    bench.report(&bench.heartbeat(1, 1));
    let current = bench.controller.lease_for(Node(1));

    assert_eq!((behind, current), (None, Some(timing().entry_lease)));
}

#[test]
fn a_new_life_of_a_target_waits_until_its_home_says_that_the_old_one_is_gone() {
    let mut bench = Bench::new();
    let info = announcement("w-0", "a", 2);
    let admits = |command: &Command| matches!(command, Command::Admit(new) if *new == info);
    let answer = bench.controller.on_announce(bench.now, &bench.fleet, &info);
    let at_once = bench.proposes(admits);
    let gone = EntryReport {
        gone: vec![GoneTarget {
            target: "w-0".into(),
            incarnation: Incarnation(1),
        }],
        ..bench.heartbeat(1, 1)
    };
    bench.report(&gone);
    let later = bench.proposes(admits);

    assert_eq!(answer, Ok(None));
    assert!(!at_once && later, "at once {at_once}, later {later}");
}

#[test]
fn a_target_is_lost_only_when_its_former_home_has_stopped() {
    let mut bench = Bench::new();
    let behind = bench.heartbeat(1, 1);
    bench.rehome("w-0", 2);
    let gone = EntryReport {
        gone: vec![GoneTarget {
            target: "w-0".into(),
            incarnation: Incarnation(1),
        }],
        ..bench.heartbeat(2, 1)
    };
    let loses = |command: &Command| matches!(command, Command::Lost { .. });

    bench.report(&behind);
    bench.report(&gone);
    let early = bench.proposes(loses);
    bench.report(&bench.heartbeat(1, 1));
    let late = bench.proposes(loses);

    assert!(!early && late, "early {early}, late {late}");
}

#[test]
fn a_new_leader_waits_a_whole_lease_before_it_declares_an_entry_lost() {
    let mut bench = Bench::new();
    bench.wait(10_000);
    let config = ControllerConfig::new(timing(), Assigner::Weighted, 1);
    bench.controller = Controller::new(config, bench.now);
    bench.wait(420);
    let early = bench.proposes(loses_entry);
    bench.wait(1);
    let late = bench.proposes(loses_entry);

    assert!(!early && late, "early {early}, late {late}");
}

#[test]
fn the_status_says_of_each_entry_what_it_confirmed() {
    let mut bench = Bench::new();
    let ahead = EntryReport {
        version: Version(1),
        ..bench.heartbeat(1, 1)
    };
    bench.wait(300);
    bench.report(&ahead);
    bench.wait(200);

    let lag = bench.controller.lag(bench.now, &bench.fleet);

    let told: Vec<_> = (lag.iter())
        .map(|l| (l.node.0, l.version.0, l.fresh))
        .collect();
    assert_eq!(told, [(1, 1, true), (2, 0, false)]);
    assert_eq!(lag[0].applied, bench.fleet.index);
}
