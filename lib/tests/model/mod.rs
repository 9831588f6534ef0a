//! Simulates a controller, a fleet and entries in discrete steps of simulated time.
//!
//! The entries are ideal: their reports are always correct and arrive in every step. Commands are
//! committed one step after they are proposed. A home detects that a target is dead when the
//! target's lease has expired.

use cornelrail_lib::{
    connection::order::Leave,
    key::{KeyHash, KeyRange},
    moment::Moment,
    name::{Incarnation, Node, Service, Target, Version, Zone},
    process::settings::{Assigner, Timing},
    version::{
        command::{Announcement, Command, Move},
        controller::{Controller, ControllerConfig},
        fleet::{Applied, Fleet, TargetPhase},
        report::{BusiestKey, EntryReport, GoneTarget, RangeLoad, SlowTarget},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Service that all simulated targets run.
pub const SERVICE: &str = "payroll-core";
/// Simulated time between two steps.
pub const STEP: Duration = Duration::from_millis(50);

/// Simulated entry, which reports to the controller in every step while it is alive.
#[derive(Debug)]
pub struct Entry {
    pub zone: Zone,
    pub incarnation: Incarnation,
    pub alive: bool,
    /// Index of the last log entry that it has applied.
    pub applied: u64,
}

/// Simulated process of a target.
#[derive(Debug)]
pub struct TargetProcess {
    pub announcement: Announcement,
    /// When the process was killed; `None` while it runs.
    pub died_at: Option<Moment>,
}

/// Simulated fleet with its controller, its entries and the processes of its targets.
#[derive(Debug)]
pub struct Model {
    pub now: Moment,
    pub fleet: Fleet,
    pub controller: Controller,
    pub entries: BTreeMap<Node, Entry>,
    pub processes: BTreeMap<Target, TargetProcess>,
    /// Targets whose requests never finish, so that no move away from them is reported quiesced.
    pub stuck: BTreeSet<Target>,
    /// Requests per second by key hash; empty if the test simulates no load.
    pub key_rates: BTreeMap<KeyHash, f64>,
    /// Targets that their homes report as ten times slower than their peers.
    pub slow: BTreeSet<Target>,
    pub assigner: Assigner,
    /// Integral over time of the share of the hash space without a serving owner, in seconds.
    pub unserved_seconds: f64,
    /// Sum of the shares of the hash space that were given a new owner; can exceed 1, since each
    /// move of a key counts.
    pub churn: f64,
    /// Applied commands, oldest first.
    pub commands: Vec<Command>,
    /// Commands that the next step commits.
    proposed: Vec<Command>,
}

/// Heartbeat interval, leases and timeouts of the simulated fleet.
pub fn timing() -> Timing {
    Timing {
        heartbeat: STEP,
        entry_lease: Duration::from_millis(400),
        target_lease: Duration::from_millis(300),
        election: Duration::from_millis(300),
        drift: Duration::from_millis(20),
    }
}

/// Announcement of a target with four slots.
pub fn announcement(name: &str, zone: &str, incarnation: u64) -> Announcement {
    Announcement {
        target: name.into(),
        service: SERVICE.into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], 9000).into(),
        slots: 4,
        incarnation: Incarnation(incarnation),
    }
}

/// Release note that creates three zones and the service [`SERVICE`].
pub const FIRST_NOTE: &str = "\
builds_on: 0
added:
  zones: [a, b, c]
  services:
    payroll-core: {kind: keyed, once: ['POST /pay'], deadline: 2s}
";

impl Model {
    /// Creates a model of nine entries in three zones, without targets.
    pub fn new(assigner: Assigner) -> Self {
        let config = ControllerConfig::new(timing(), assigner, 1);
        let mut model = Model {
            now: Moment::ZERO,
            fleet: Fleet::default(),
            controller: Controller::new(config, Moment::ZERO),
            entries: BTreeMap::new(),
            processes: BTreeMap::new(),
            stuck: BTreeSet::new(),
            key_rates: BTreeMap::new(),
            slow: BTreeSet::new(),
            assigner,
            unserved_seconds: 0.0,
            churn: 0.0,
            commands: Vec::new(),
            proposed: Vec::new(),
        };
        for number in 1..=9 {
            let entry = Entry {
                zone: zone_of(number),
                incarnation: Incarnation(1),
                alive: true,
                applied: 0,
            };
            model.entries.insert(Node(number), entry);
        }
        model.commit_note(FIRST_NOTE);
        model
    }

    /// Creates a model with `count` targets and runs it for 40 seconds, so that it settles.
    pub fn with_targets(assigner: Assigner, count: u64) -> Self {
        let mut model = Model::new(assigner);
        for number in 1..=count {
            model.start_target(&format!("w-{number:02}"), zone_of(number).as_str(), 1);
        }
        model.run(Duration::from_secs(40));
        model
    }

    /// Commits a release note immediately, without waiting for the next step.
    pub fn commit_note(&mut self, text: &str) -> Applied {
        let command = Command::Note {
            author: "ann".to_owned(),
            text: text.to_owned(),
        };
        self.commit(command)
    }

    /// Starts a target, or a new incarnation of one that ran before.
    pub fn start_target(&mut self, name: &str, zone: &str, incarnation: u64) {
        let announcement = announcement(name, zone, incarnation);
        self.processes.insert(
            announcement.target.clone(),
            TargetProcess {
                announcement,
                died_at: None,
            },
        );
    }

    /// Kills the process of a target; its home detects that when the lease expires.
    pub fn kill_target(&mut self, name: &str) {
        if let Some(process) = self.processes.get_mut(name) {
            process.died_at.get_or_insert(self.now);
        }
    }

    /// Crashes an entry, which then neither reports nor applies commands.
    pub fn crash_entry(&mut self, number: u64) {
        if let Some(entry) = self.entries.get_mut(&Node(number)) {
            entry.alive = false;
        }
    }

    /// Restarts a crashed entry as a new incarnation that has applied the whole log.
    pub fn restart_entry(&mut self, number: u64) {
        let index = self.fleet.index;
        if let Some(entry) = self.entries.get_mut(&Node(number)).filter(|e| !e.alive) {
            entry.alive = true;
            entry.incarnation = entry.incarnation.next();
            entry.applied = index;
        }
    }

    /// Takes a zone out of service or back in, even if no zone or no target is left in service.
    pub fn toggle_zone(&mut self, zone: &str) {
        let in_service = self.fleet.is_zone_in_service(&Zone::from(zone));
        let state = if in_service { "out" } else { "in" };
        let version = self.fleet.version;
        self.commit_note(&format!(
            "builds_on: {version}\nchanged: {{zones: {{{zone}: {state}}}}}\nallow: [last-zone, no-targets]"
        ));
    }

    /// Sends the leave message of a target.
    pub fn leave(&mut self, name: &str) {
        let Some(process) = self.processes.get(name) else {
            return;
        };
        let leave = Leave {
            target: process.announcement.target.clone(),
            incarnation: process.announcement.incarnation,
        };
        let command = self.controller.on_leave(&self.fleet, &leave);
        self.proposed.extend(command);
    }

    /// Replaces the controller, as a change of leader does, and drops the proposed commands.
    pub fn change_leader(&mut self) {
        let config = ControllerConfig::new(timing(), self.assigner, 1);
        self.controller = Controller::new(config, self.now);
        self.proposed.clear();
    }

    /// Runs the model for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs the model until `condition` is true. Returns the time that took, or `None` if it took
    /// longer than `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Model) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) > limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    /// Advances the time by [`STEP`]: commits proposed commands, sends the announcements of targets
    /// and the reports of entries to the controller, and collects the commands it proposes.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for command in std::mem::take(&mut self.proposed) {
            self.commit(command);
        }
        self.announce();
        for node in self.entries.keys().copied().collect::<Vec<_>>() {
            if let Some(report) = self.report(node) {
                self.controller.on_report(self.now, &report);
            }
        }
        let commands = self.controller.tick(self.now, &self.fleet);
        self.proposed.extend(commands);
        self.unserved_seconds += (1.0 - self.served_share()) * STEP.as_secs_f64();
    }

    /// Applies a command to the fleet and on every entry that is alive.
    pub fn commit(&mut self, command: Command) -> Applied {
        let before = self.owners();
        let applied = self.fleet.apply(self.fleet.index + 1, &command);
        self.churn += self.changed_share(&before);
        self.commands.push(command);
        for entry in self.entries.values_mut().filter(|e| e.alive) {
            entry.applied = self.fleet.index;
        }
        applied
    }

    fn announce(&mut self) {
        for process in self.processes.values().filter(|p| p.died_at.is_none()) {
            let answer = self
                .controller
                .on_announce(self.now, &self.fleet, &process.announcement);
            if let Ok(Some(command)) = answer
                && !self.proposed.contains(&command)
            {
                self.proposed.push(command);
            }
        }
    }

    fn is_dead(&self, target: &Target, incarnation: Incarnation) -> bool {
        let Some(process) = self.processes.get(target) else {
            return true;
        };
        let lease_expired = process
            .died_at
            .is_some_and(|at| self.now.since(at) >= timing().target_lease);
        lease_expired || process.announcement.incarnation != incarnation
    }

    fn report(&self, node: Node) -> Option<EntryReport> {
        let entry = self.entries.get(&node).filter(|e| e.alive)?;
        let mut report =
            EntryReport::heartbeat(node, entry.zone.clone(), entry.incarnation, entry.applied);
        report.version = self.fleet.version;
        for (name, state) in self.fleet.targets_of_home(node) {
            let incarnation = state.announcement.incarnation;
            if self.is_dead(name, incarnation) {
                let target = name.clone();
                report.gone.push(GoneTarget {
                    target,
                    incarnation,
                });
            }
            if self.slow.contains(name) {
                report.slow.push(SlowTarget {
                    target: name.clone(),
                    slowdown: 10.0,
                });
            }
            if state.phase == TargetPhase::Draining {
                report.idle.push(name.clone());
            }
            if !self.stuck.contains(name) {
                report.quiesced.extend(self.moves_from(name));
            }
            report.loads.extend(self.loads_of(name));
        }
        Some(report)
    }

    fn moves_from(&self, owner: &Target) -> Vec<Move> {
        let assignments = self.fleet.services.iter().flat_map(|(service, state)| {
            let assignments = state.ranges.iter();
            assignments.map(move |assignment| (service, assignment))
        });
        assignments
            .filter(|(_, assignment)| assignment.owner.as_ref() == Some(owner))
            .filter_map(|(service, assignment)| {
                Some(Move {
                    service: service.clone(),
                    range: assignment.range,
                    to: assignment.next.clone()?,
                })
            })
            .collect()
    }

    fn loads_of(&self, owner: &Target) -> Vec<RangeLoad> {
        let grants = self.fleet.grants_of(owner).into_iter();
        grants
            .map(|grant| RangeLoad {
                service: Service::from(SERVICE),
                range: grant.range,
                rate: self.rate_of(&grant.range),
                p95_ms: 10.0,
                busiest_key: self.busiest_key_of(&grant.range),
            })
            .collect()
    }

    fn rate_of(&self, range: &KeyRange) -> f64 {
        let keys = self.key_rates.range(range.first()..=range.last());
        keys.map(|(_, rate)| rate).sum()
    }

    fn busiest_key_of(&self, range: &KeyRange) -> Option<BusiestKey> {
        let keys = self.key_rates.range(range.first()..=range.last());
        let candidates = keys.map(|(hash, rate)| BusiestKey {
            hash: *hash,
            rate: *rate,
        });
        candidates.max_by(|a, b| a.rate.total_cmp(&b.rate))
    }

    /// Returns each range with its owner.
    pub fn owners(&self) -> Vec<(KeyRange, Option<Target>)> {
        let assignments = self.fleet.services.values().flat_map(|s| &s.ranges);
        assignments
            .map(|assignment| (assignment.range, assignment.owner.clone()))
            .collect()
    }

    fn changed_share(&self, before: &[(KeyRange, Option<Target>)]) -> f64 {
        let after = self.owners();
        if before.len() != after.len() {
            return 0.0;
        }
        let owner_pairs = before.iter().zip(&after);
        owner_pairs
            .filter(|(old, new)| old.1 != new.1 && new.1.is_some())
            .map(|(_, new)| new.0.share())
            .sum()
    }

    /// Share of the hash space that is not moving and whose owner and the owner's home are alive.
    pub fn served_share(&self) -> f64 {
        let assignments = self.fleet.services.values().flat_map(|s| &s.ranges);
        assignments
            .filter(|assignment| assignment.next.is_none())
            .filter(|assignment| {
                assignment
                    .owner
                    .as_ref()
                    .is_some_and(|owner| self.is_serving(owner))
            })
            .map(|assignment| assignment.range.share())
            .sum()
    }

    fn is_serving(&self, owner: &Target) -> bool {
        let home = self.fleet.targets.get(owner).and_then(|t| t.home);
        let home_alive = home.is_some_and(|home| self.entries.get(&home).is_some_and(|e| e.alive));
        let process = self.processes.get(owner);
        home_alive && process.is_some_and(|p| p.died_at.is_none())
    }

    /// Whether the whole hash space is served, apart from rounding errors.
    pub fn is_fully_served(&self) -> bool {
        self.served_share() > 1.0 - 1e-9
    }

    /// Load of the most loaded serving target, divided by the mean load of serving targets.
    pub fn imbalance(&self) -> f64 {
        let serving: Vec<f64> = self
            .fleet
            .serving_targets(SERVICE)
            .map(|(name, _)| self.load_of(name))
            .collect();
        let mean = serving.iter().sum::<f64>() / serving.len().max(1) as f64;
        serving.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Requests per second for the keys of a target, or its share of the hash space if no load is
    /// simulated.
    pub fn load_of(&self, target: &Target) -> f64 {
        let grants = self.fleet.grants_of(target).into_iter();
        let weight = |range: &KeyRange| match self.key_rates.is_empty() {
            true => range.share(),
            false => self.rate_of(range),
        };
        grants.map(|grant| weight(&grant.range)).sum()
    }

    /// Share of the hash space that a target owns.
    pub fn target_share(&self, target: &str) -> f64 {
        let grants = self.fleet.grants_of(&target.into()).into_iter();
        grants.map(|grant| grant.range.share()).sum()
    }

    /// Incarnation of a target that the fleet has admitted; 0 if it does not know the target.
    pub fn incarnation_of(&self, target: &str) -> u64 {
        let state = self.fleet.targets.get(target);
        state.map_or(0, |state| state.announcement.incarnation.0)
    }

    /// Share of the hash space that the targets in a zone own.
    pub fn zone_share(&self, zone: &str) -> f64 {
        let owned = self.owners().into_iter().filter(|(_, owner)| {
            let state = owner.as_ref().and_then(|o| self.fleet.targets.get(o));
            state.is_some_and(|state| state.announcement.zone.as_str() == zone)
        });
        owned.map(|(range, _)| range.share()).sum()
    }

    /// Number of targets whose home is an entry in this zone.
    pub fn targets_homed_in(&self, zone: &str) -> usize {
        let homes = self.fleet.targets.values().filter_map(|t| t.home);
        let zones = homes.filter_map(|home| self.entries.get(&home));
        zones.filter(|entry| entry.zone.as_str() == zone).count()
    }

    /// Whether any range is being moved to another owner.
    pub fn is_moving(&self) -> bool {
        let mut assignments = self.fleet.services.values().flat_map(|s| &s.ranges);
        assignments.any(|assignment| assignment.next.is_some())
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Version {
        self.fleet.version
    }
}

/// Zone of the entry or target with this number; numbers cycle through the three zones.
pub fn zone_of(number: u64) -> Zone {
    let zones = ["a", "b", "c"];
    Zone::from(zones[(number % 3) as usize])
}
