//! At most one target runs requests for a key, while entries freeze, are cut off, lag and restart.
//!
//! Every entry acts on its own copy of the fleet. Targets check nothing but their lease: a request
//! ends at the latest when the lease of the entry that sent it does.

use crate::model::{FIRST_NOTE, SERVICE, announcement, timing, zone_of};
use cornelrail_lib::{
    connection::order::Leave,
    key::{KeyHash, KeyRange},
    moment::Moment,
    name::{Incarnation, Node, Target},
    process::settings::Assigner,
    version::{
        command::{Announcement, Command, Move},
        controller::{Controller, ControllerConfig},
        fleet::{Fleet, Route, TargetPhase},
        report::{EntryReport, GoneTarget},
    },
};
use quickcheck::TestResult;
use std::{collections::BTreeMap, time::Duration};

const STEP: Duration = Duration::from_millis(20);
const RUN: Duration = Duration::from_millis(70);
const KEYS: u64 = 24;
const SCHEDULES: u64 = 30;

#[derive(Debug, Default)]
struct Host {
    view: Fleet,
    life: u64,
    lease: Moment,
    frozen: bool,
    cut: bool,
    lagging: bool,
    gone: Vec<GoneTarget>,
}

#[derive(Debug)]
struct Run {
    node: Node,
    target: Target,
    life: Incarnation,
    key: KeyHash,
    end: Moment,
}

struct World {
    now: Moment,
    log: Vec<Command>,
    fleet: Fleet,
    controller: Controller,
    hosts: BTreeMap<Node, Host>,
    machines: BTreeMap<Target, Announcement>,
    runs: Vec<Run>,
    started: usize,
    waiting: Vec<Command>,
}

fn controller(now: Moment) -> Controller {
    Controller::new(ControllerConfig::new(timing(), Assigner::Weighted, 1), now)
}

impl World {
    fn new() -> Self {
        let (author, text) = ("ann".to_owned(), FIRST_NOTE.to_owned());
        let mut world = World {
            now: Moment::ZERO,
            log: Vec::new(),
            fleet: Fleet::default(),
            controller: controller(Moment::ZERO),
            hosts: (1..=4).map(|n| (Node(n), Host::default())).collect(),
            machines: BTreeMap::new(),
            runs: Vec::new(),
            started: 0,
            waiting: vec![Command::Note { author, text }],
        };
        (0..5).for_each(|number| world.start(number, 1));
        world
    }

    fn start(&mut self, number: u64, life: u64) {
        let name = format!("w-{number}");
        let info = announcement(&name, zone_of(number).as_str(), life);
        self.machines.insert(info.target.clone(), info);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for command in std::mem::take(&mut self.waiting) {
            self.fleet.apply(self.fleet.index + 1, &command);
            self.log.push(command);
        }
        for info in self.machines.values() {
            let answer = self.controller.on_announce(self.now, &self.fleet, info);
            self.waiting.extend(answer.ok().flatten());
        }
        self.end_runs();
        for node in self.hosts.keys().copied().collect::<Vec<_>>() {
            self.step_host(node);
        }
        let commands = self.controller.tick(self.now, &self.fleet);
        self.waiting.extend(commands);
    }

    fn end_runs(&mut self) {
        let (now, hosts, machines) = (self.now, &self.hosts, &self.machines);
        self.runs.retain(|run| {
            let machine = machines.get(&run.target);
            let lives = machine.is_some_and(|info| info.incarnation == run.life);
            lives && now < run.end && now < hosts[&run.node].lease
        });
    }

    fn step_host(&mut self, node: Node) {
        let Some(host) = self.hosts.get_mut(&node).filter(|h| !h.frozen) else {
            return;
        };
        if !host.cut {
            if !host.lagging {
                let from = host.view.index as usize;
                for command in &self.log[from..] {
                    host.view.apply(host.view.index + 1, command);
                }
            }
            host.notice_gone(node, &self.machines);
            let report = host.report(node, &self.runs);
            self.controller.on_report(self.now, &report);
            if let Some(lease) = self.controller.lease_for(node) {
                host.lease = self.now + lease;
            }
        }
        if self.now < host.lease {
            let fresh = host.send(node, self.now, &self.machines, &self.runs);
            self.started += fresh.len();
            self.runs.extend(fresh);
        }
    }

    /// Key that two targets run requests for.
    fn doubly_owned(&self) -> Option<(&Run, &Run)> {
        self.runs.iter().enumerate().find_map(|(at, one)| {
            let other = self.runs[at..]
                .iter()
                .find(|other| other.key == one.key && other.target != one.target);
            Some((one, other?))
        })
    }

    fn disturb(&mut self, kind: u8, which: u8) {
        let (number, node) = (u64::from(which % 5), Node(u64::from(which % 4) + 1));
        let target = Target(format!("w-{number}"));
        let host = self.hosts.entry(node).or_default();
        match kind % 10 {
            0 => host.frozen = !host.frozen,
            1 => host.cut = !host.cut,
            2 | 3 => host.lagging = !host.lagging,
            4 => drop(self.machines.remove(&target)),
            5 | 6 => self.start(number, self.log.len() as u64 + 2),
            7 => self.toggle_zone(zone_of(number).as_str()),
            8 => {
                self.controller = controller(self.now);
                self.waiting.clear();
            }
            _ => self.leave(target),
        }
    }

    fn leave(&mut self, target: Target) {
        if let Some(info) = self.machines.get(&target) {
            let incarnation = info.incarnation;
            let leave = Leave {
                target,
                incarnation,
            };
            let command = self.controller.on_leave(&self.fleet, &leave);
            self.waiting.extend(command);
        }
    }

    fn toggle_zone(&mut self, zone: &str) {
        let serves = self.fleet.is_zone_in_service(&zone.into());
        let state = if serves { "out" } else { "in" };
        let version = self.fleet.version;
        let text = format!("builds_on: {version}\nchanged: {{zones: {{{zone}: {state}}}}}");
        let author = "ann".to_owned();
        self.waiting.push(Command::Note { author, text });
    }
}

impl Host {
    fn notice_gone(&mut self, node: Node, machines: &BTreeMap<Target, Announcement>) {
        for (name, state) in self.view.targets_of_home(node) {
            let incarnation = state.announcement.incarnation;
            let machine = machines.get(name);
            let gone = GoneTarget {
                target: name.clone(),
                incarnation,
            };
            if machine.is_none_or(|m| m.incarnation != incarnation) && !self.gone.contains(&gone) {
                self.gone.push(gone);
            }
        }
    }

    fn report(&self, node: Node, runs: &[Run]) -> EntryReport {
        let (zone, life) = (zone_of(node.0), Incarnation(self.life));
        let mut report = EntryReport::heartbeat(node, zone, life, self.view.index);
        let own = || runs.iter().filter(move |run| run.node == node);
        let free = |owner: &Target, range: &KeyRange| {
            !own().any(|run| run.target == *owner && range.contains(run.key))
        };
        let gone = self
            .gone
            .iter()
            .filter(|gone| free(&gone.target, &KeyRange::FULL));
        report.gone.extend(gone.cloned());
        for (name, state) in self.view.targets_of_home(node) {
            if state.phase == TargetPhase::Draining && free(name, &KeyRange::FULL) {
                report.idle.push(name.clone());
            }
        }
        let homed = |name: &Target| {
            let state = self.view.targets.get(name);
            state.is_some_and(|state| state.home == Some(node))
        };
        let busy = own().filter(|run| !homed(&run.target));
        report.busy.extend(busy.map(|run| run.target.clone()));
        let slots = self.view.services.get(SERVICE).map(|s| s.ranges.iter());
        for slot in slots.into_iter().flatten() {
            let (Some(owner), Some(next)) = (&slot.owner, &slot.next) else {
                continue;
            };
            if homed(owner) && free(owner, &slot.range) {
                report.quiesced.push(Move {
                    service: SERVICE.into(),
                    range: slot.range,
                    to: next.clone(),
                });
            }
        }
        report
    }

    /// Requests that the entry starts now, one for each key that it may send and does not yet.
    fn send(
        &self,
        node: Node,
        now: Moment,
        machines: &BTreeMap<Target, Announcement>,
        runs: &[Run],
    ) -> Vec<Run> {
        let keys = (0..KEYS).map(|number| KeyHash(u64::MAX / KEYS * number));
        let idle = keys.filter(|key| !runs.iter().any(|r| r.node == node && r.key == *key));
        idle.filter_map(|key| {
            let Route::Keyed { target, home, .. } = self.view.route(SERVICE, key) else {
                return None;
            };
            let known = self.view.targets[target].announcement.incarnation;
            let gone = |g: &GoneTarget| g.target == *target && g.incarnation == known;
            if home != node || self.gone.iter().any(gone) {
                return None;
            }
            Some(Run {
                node,
                target: target.clone(),
                life: machines.get(target)?.incarnation,
                key,
                end: now + RUN,
            })
        })
        .collect()
    }
}

/// A target restarts while its home is cut off, and the home sends to the new life unawares.
const RESTART_BESIDE_CUT: [(u8, u8, u8); 5] =
    [(0, 0, 0), (0, 5, 23), (1, 95, 0), (255, 6, 1), (1, 59, 2)];

fn run_schedule(faults: Vec<(u8, u8, u8)>) -> TestResult {
    let mut world = World::new();
    (0..100).for_each(|_| world.step());
    if world.started < 100 {
        return TestResult::error("nothing ran");
    }
    for (kind, which, steps) in faults {
        world.disturb(kind, which);
        for _ in 0..steps % 40 {
            world.step();
            if let Some((one, other)) = world.doubly_owned() {
                return TestResult::error(format!("{one:?} beside {other:?}"));
            }
        }
    }
    TestResult::passed()
}

#[test]
fn no_key_is_run_by_two_targets_at_once() {
    let schedule: fn(Vec<(u8, u8, u8)>) -> TestResult = run_schedule;
    crate::property::checker()
        .tests(SCHEDULES)
        .quickcheck(schedule);
}

#[test]
fn a_restart_beside_a_cut_home_makes_no_second_owner() {
    let result = run_schedule(RESTART_BESIDE_CUT.to_vec());

    assert!(!result.is_failure(), "{result:?}");
}
