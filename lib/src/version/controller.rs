//! The leader's controller: turns the entries' reports into commands.
//!
//! It is made anew by each new leader and keeps nothing that must survive. A new one has heard of
//! nobody, so it waits a whole lease before it declares an entry lost.

use super::{
    admission::{self, Rejected},
    command::{Announcement, Command},
    draft::Draft,
    fleet::{Fleet, TargetPhase, TargetState},
    homes, moves,
    placement::Placer,
    report::EntryReport,
};
use crate::{
    connection::order::Leave,
    moment::Moment,
    name::{Incarnation, Node, Target, Version, Zone},
    process::settings::{Assigner, Sending, Timing},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Usual share of a service's hash space that may move for balance in a minute.
const CHURN_PER_MINUTE: f64 = 0.6;
/// How long a proposed command may take before it is proposed again.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Pause between improvements of homes.
const HOME_PAUSE: Duration = Duration::from_secs(1);
/// Units whose home is improved at once.
const HOMES_AT_ONCE: usize = 4;
/// How long a new life of a target waits for the end of the old one before it has to announce
/// itself again.
const WAITING_KEPT: Duration = Duration::from_secs(10);
/// How long a lost target is remembered.
const LOST_KEPT: Duration = Duration::from_secs(600);

/// Settings of the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerConfig {
    /// Time spans of the control plane.
    pub timing: Timing,
    /// How ranges are given to targets.
    pub assigner: Assigner,
    /// Salt of the hash ring.
    pub ring_salt: u64,
    /// Share of a service's hash space that may move for balance in a minute.
    pub churn_rate: f64,
    /// Who sends to a target, and so has to be quiet before a move ends.
    pub sending: Sending,
}

impl ControllerConfig {
    /// Settings with the usual churn budget, for targets that their homes send to.
    pub fn new(timing: Timing, assigner: Assigner, ring_salt: u64) -> Self {
        ControllerConfig {
            timing,
            assigner,
            ring_salt,
            churn_rate: CHURN_PER_MINUTE,
            sending: Sending::Home,
        }
    }
}

/// How far an entry is, by its own reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLag {
    /// The entry.
    pub node: Node,
    /// Its zone.
    pub zone: Zone,
    /// Log index that it has applied, by its latest report; 0 if it never reported.
    pub applied: u64,
    /// Version in force there, by its latest report.
    pub version: Version,
    /// Whether that report is younger than a lease.
    pub fresh: bool,
}

/// Latest report of an entry.
#[derive(Debug)]
pub(super) struct Heard {
    pub(super) at: Moment,
    pub(super) report: EntryReport,
    /// When an earlier life of the entry was last heard of.
    pub(super) replaced: Option<Moment>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fall {
    Proposed,
    Committed,
}

/// Life of an entry that may earn leases, and the log index from which on it may.
#[derive(Debug)]
struct Raised {
    incarnation: Incarnation,
    index: u64,
}

/// New life of a target that waits for the end of the old one.
#[derive(Debug)]
struct Waiting {
    info: Announcement,
    at: Moment,
}

#[derive(Debug)]
struct Proposal {
    command: Command,
    at: Moment,
    index: u64,
}

/// Controller of one leader's term.
#[derive(Debug)]
pub struct Controller {
    config: ControllerConfig,
    started: Moment,
    heard: BTreeMap<Node, Heard>,
    fallen: BTreeMap<Node, Fall>,
    raised: BTreeMap<Node, Raised>,
    waiting: BTreeMap<Target, Waiting>,
    placer: Placer,
    lost: BTreeMap<Target, Moment>,
    proposals: Vec<Proposal>,
    improved: Moment,
}

impl Controller {
    /// Controller of a leader that begins now.
    pub fn new(config: ControllerConfig, now: Moment) -> Self {
        Controller {
            config,
            started: now,
            heard: BTreeMap::new(),
            fallen: BTreeMap::new(),
            raised: BTreeMap::new(),
            waiting: BTreeMap::new(),
            placer: Placer::default(),
            lost: BTreeMap::new(),
            proposals: Vec::new(),
            improved: now,
        }
    }

    /// Takes an entry's report, which is its heartbeat too.
    pub fn on_report(&mut self, now: Moment, report: &EntryReport) {
        let mut replaced = None;
        if let Some(old) = self.heard.get_mut(&report.node) {
            if report.incarnation < old.report.incarnation {
                return;
            }
            replaced = old.replaced;
            if report.incarnation > old.report.incarnation {
                replaced = Some(old.at);
            } else if report.applied < old.report.applied {
                old.at = now;
                return;
            }
        }
        let heard = Heard {
            at: now,
            report: report.clone(),
            replaced,
        };
        self.heard.insert(report.node, heard);
    }

    /// Command that admits the target, `None` if it is in already or about to be.
    ///
    /// A new life waits until the home of the old one reports that one as gone; a later tick then
    /// admits it.
    pub fn on_announce(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        info: &Announcement,
    ) -> Result<Option<Command>, Rejected> {
        let command = admission::admit(fleet, info)?;
        if command.is_some() && admission::has_old_life(fleet, info) {
            let info = info.clone();
            let name = info.target.clone();
            self.waiting.insert(name, Waiting { info, at: now });
            return Ok(None);
        }
        let list = command.into_iter().collect();
        Ok(self.propose(now, fleet, list).pop())
    }

    /// Command that lets the target leave, `None` if that life is not in service.
    pub fn on_leave(&mut self, fleet: &Fleet, leave: &Leave) -> Option<Command> {
        let state = fleet.targets.get(&leave.target)?;
        let serves = state.phase == TargetPhase::Serving;
        (serves && state.info.incarnation == leave.incarnation).then(|| Command::Drain {
            target: leave.target.clone(),
            incarnation: leave.incarnation,
        })
    }

    /// Lease that a heartbeat of the entry earns, from the time at which the entry sent it.
    ///
    /// An entry that came back earns none until it has applied the command that raised it, since
    /// in its older state it may still be the home of targets that others command now.
    pub fn lease_for(&self, node: Node) -> Option<Duration> {
        let report = &self.heard.get(&node)?.report;
        let raised = self.raised.get(&node)?;
        let current = raised.incarnation == report.incarnation && report.applied >= raised.index;
        let held = current && !self.fallen.contains_key(&node);
        held.then_some(self.config.timing.entry_lease)
    }

    /// How far each entry of the fleet is, by its own reports.
    pub fn lag(&self, now: Moment, fleet: &Fleet) -> Vec<EntryLag> {
        let entries = fleet.entries.iter();
        entries
            .map(|(node, entry)| {
                let heard = self.heard.get(node);
                EntryLag {
                    node: *node,
                    zone: entry.zone.clone(),
                    applied: heard.map_or(0, |h| h.report.applied),
                    version: heard.map_or(Version(0), |h| h.report.version),
                    fresh: heard.is_some_and(|h| self.is_fresh(now, h)),
                }
            })
            .collect()
    }

    /// Commands that the state of the fleet calls for now.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) -> Vec<Command> {
        self.observe(now, fleet);
        let mut draft = Draft::new(fleet);
        self.raise_entries(now, &mut draft);
        self.drop_entries(now, &mut draft);
        self.drop_targets(&mut draft);
        self.admit_waiting(now, &mut draft);
        self.end_moves(&mut draft);
        self.placer.call_off(now, &mut draft);
        let calm = !self.awaits(fleet);
        self.choose_homes(now, calm, &mut draft);
        self.placer
            .assign(now, &self.config, &self.heard, calm, &mut draft);
        self.forget_targets(now, &mut draft);
        self.propose(now, fleet, draft.into_commands())
    }

    fn is_fresh(&self, now: Moment, heard: &Heard) -> bool {
        now.since(heard.at) <= self.config.timing.entry_lease
    }

    /// Brings what the controller remembers into line with the committed state.
    fn observe(&mut self, now: Moment, fleet: &Fleet) {
        self.observe_entries(now, fleet);
        self.placer.observe(now, fleet);
        self.lost.retain(|name, _| {
            let state = fleet.targets.get(name);
            state.is_some_and(|s| s.phase == TargetPhase::Lost)
        });
        self.proposals.retain(|p| now.since(p.at) < RETRY_AFTER);
    }

    fn observe_entries(&mut self, now: Moment, fleet: &Fleet) {
        let span = self.config.timing.entry_lease;
        self.raised.clear();
        for (node, entry) in &fleet.entries {
            match (self.fallen.get(node), entry.alive) {
                (Some(Fall::Proposed), false) => {
                    self.fallen.insert(*node, Fall::Committed);
                }
                (Some(Fall::Committed), true) => {
                    self.fallen.remove(node);
                }
                _ => {}
            }
            if entry.alive {
                let raised = Raised {
                    incarnation: entry.incarnation,
                    index: entry.since,
                };
                self.raised.insert(*node, raised);
            } else if self.heard.get(node).is_some_and(|h| now.since(h.at) > span) {
                self.heard.remove(node);
            }
        }
    }

    /// Time after which a lease given to an entry is over on every clock.
    fn lease_end(&self) -> Duration {
        self.config.timing.entry_lease + self.config.timing.drift
    }

    /// Raises entries that report. A new life waits until the lease of the one before is over,
    /// since that one may run on elsewhere.
    fn raise_entries(&mut self, now: Moment, draft: &mut Draft<'_>) {
        let sending = self.config.sending;
        for (node, heard) in &self.heard {
            if !self.is_fresh(now, heard) || self.fallen.get(node) == Some(&Fall::Proposed) {
                continue;
            }
            let incarnation = heard.report.incarnation;
            let known = draft.fleet().entries.get(node).filter(|e| e.alive);
            let before = heard.replaced.unwrap_or(self.started).max(self.started);
            let up = known.is_some_and(|e| e.incarnation >= incarnation);
            if up || (known.is_some() && now.since(before) <= self.lease_end()) {
                continue;
            }
            let freed = moves::freed_by(draft.fleet(), *node, &self.heard, sending);
            draft.push(Command::EntryUp {
                node: *node,
                zone: heard.report.zone.clone(),
                incarnation,
            });
            if !freed.is_empty() {
                draft.push(Command::MoveEnd(freed));
            }
        }
    }

    fn drop_entries(&mut self, now: Moment, draft: &mut Draft<'_>) {
        let sending = self.config.sending;
        let wait = self.lease_end();
        let silent: Vec<(Node, Incarnation)> = (draft.fleet().entries.iter())
            .filter(|(node, entry)| {
                let last = self.heard.get(node).map_or(self.started, |h| h.at);
                entry.alive && now.since(last.max(self.started)) > wait
            })
            .map(|(node, entry)| (*node, entry.incarnation))
            .collect();
        for (node, incarnation) in silent {
            self.fallen.entry(node).or_insert(Fall::Proposed);
            let freed = moves::freed_by(draft.fleet(), node, &self.heard, sending);
            draft.push(Command::EntryLost { node, incarnation });
            if !freed.is_empty() {
                draft.push(Command::MoveEnd(freed));
            }
        }
    }

    fn drop_targets(&mut self, draft: &mut Draft<'_>) {
        for (node, heard) in &self.heard {
            for gone in &heard.report.gone {
                let state = draft.fleet().targets.get(&gone.target);
                let told = state.is_some_and(|state| {
                    state.home == Some(*node)
                        && heard.report.applied >= state.epoch.0
                        && moves::formers_quiet(&gone.target, state, &self.heard)
                });
                if told {
                    draft.push(Command::Lost {
                        target: gone.target.clone(),
                        incarnation: gone.incarnation,
                    });
                }
            }
        }
    }

    fn admit_waiting(&mut self, now: Moment, draft: &mut Draft<'_>) {
        self.waiting
            .retain(|_, waiting| now.since(waiting.at) < WAITING_KEPT);
        let mut admitted = Vec::new();
        for (name, waiting) in &self.waiting {
            if admission::has_old_life(draft.fleet(), &waiting.info) {
                continue;
            }
            if let Ok(Some(command)) = admission::admit(draft.fleet(), &waiting.info) {
                draft.push(command);
            } else {
                admitted.push(name.clone());
            }
        }
        self.waiting.retain(|name, _| !admitted.contains(name));
    }

    fn end_moves(&mut self, draft: &mut Draft<'_>) {
        let ended = moves::ended(draft.fleet(), &self.heard, self.config.sending);
        if !ended.is_empty() {
            draft.push(Command::MoveEnd(ended));
        }
    }

    /// Whether a proposal may still be on its way to being committed.
    fn awaits(&self, fleet: &Fleet) -> bool {
        self.proposals.iter().any(|p| p.index >= fleet.index)
    }

    /// Entries that shut down and still hold their lease.
    fn leaving(&self) -> BTreeSet<Node> {
        let reports = self.heard.iter();
        let leaving = reports.filter(|(_, heard)| heard.report.leaving);
        leaving.map(|(node, _)| *node).collect()
    }

    fn choose_homes(&mut self, now: Moment, calm: bool, draft: &mut Draft<'_>) {
        let due = calm && now.since(self.improved) >= HOME_PAUSE;
        let free = if due { HOMES_AT_ONCE } else { 0 };
        let leaving = self.leaving();
        let list = homes::plan(draft.fleet(), &leaving, free);
        if due {
            self.improved = now;
        }
        if !list.is_empty() {
            draft.push(Command::Rehome(list));
        }
    }

    fn forget_targets(&mut self, now: Moment, draft: &mut Draft<'_>) {
        let mut over = Vec::new();
        for (name, state) in &draft.fleet().targets {
            let ended = match state.phase {
                TargetPhase::Serving => false,
                TargetPhase::Draining => self.is_idle(name, state.home, state.epoch.0),
                TargetPhase::Lost => {
                    let since = *self.lost.entry(name.clone()).or_insert(now);
                    now.since(since) >= LOST_KEPT
                }
            };
            if ended && is_free(draft.fleet(), name, state) {
                over.push((name.clone(), state.info.incarnation));
            }
        }
        for (target, incarnation) in over {
            draft.push(Command::Remove {
                target,
                incarnation,
            });
        }
    }

    fn is_idle(&self, target: &Target, home: Option<Node>, epoch: u64) -> bool {
        let heard = home.and_then(|home| self.heard.get(&home));
        let idle =
            heard.is_some_and(|h| h.report.applied >= epoch && h.report.idle.contains(target));
        let busy = self.heard.values().any(|h| h.report.busy.contains(target));
        idle && !busy
    }

    /// Leaves out what was proposed a moment ago and may still be committed.
    fn propose(&mut self, now: Moment, fleet: &Fleet, commands: Vec<Command>) -> Vec<Command> {
        let fresh: Vec<Command> = commands
            .into_iter()
            .filter(|c| !self.proposals.iter().any(|p| p.command == *c))
            .collect();
        self.proposals.extend(fresh.iter().map(|command| Proposal {
            command: command.clone(),
            at: now,
            index: fleet.index,
        }));
        fresh
    }
}

/// Whether the target owns nothing, or nobody is left to take its ranges over.
fn is_free(fleet: &Fleet, name: &Target, state: &TargetState) -> bool {
    let service = state.info.service.as_str();
    !fleet.holds_ranges(name) || fleet.serving(service).next().is_none()
}
