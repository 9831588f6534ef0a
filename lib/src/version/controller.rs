//! The leader's controller of a configured fleet: turns the reports of the entries into commands.
//!
//! From the committed fleet state, the latest report of each entry and the clock it decides which
//! entries and targets are live or lost, which targets are admitted or removed, which entry is the
//! home of each target, and when moves of ranges begin and end. By the placement of ranges it
//! answers imbalance between targets, hot ranges and slow targets.
//!
//! Each new leader creates its own controller, and none of its state has to survive the term. A new
//! controller has no reports yet, so it waits for a whole lease before it declares an entry lost.

use super::{
    admission::{self, AnnouncementError},
    command::{Announcement, Command},
    command_batch::CommandBatch,
    fleet::{Fleet, TargetPhase, TargetState},
    homes, moves,
    placement::RangePlacer,
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

/// Default share of a service's hash space that may move for balance per minute.
const DEFAULT_CHURN_PER_MINUTE: f64 = 0.6;
/// Time after which a command that has not been committed is proposed again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two rounds of rehomes that only improve the distribution of homes.
const HOME_IMPROVEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Home groups that change their home in one such round.
const MAX_HOME_IMPROVEMENTS: usize = 4;
/// How long a new incarnation of a target waits for the end of the previous one. After that it has
/// to announce itself again.
const PENDING_ADMISSION_MAX_AGE: Duration = Duration::from_secs(10);
/// How long a lost target stays in the fleet state before it is removed.
const LOST_TARGET_RETENTION: Duration = Duration::from_secs(600);

/// Settings of the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerConfig {
    /// Intervals, timeouts and leases of the control plane.
    pub timing: Timing,
    /// Algorithm that assigns ranges to targets.
    pub assigner: Assigner,
    /// Salt of the hash ring of [`Assigner::Consistent`].
    pub ring_salt: u64,
    /// Share of a service's hash space that may move for balance per minute.
    pub churn_rate: f64,
    /// Which entries send to a target, and so must have no request in flight before a move ends.
    pub sending: Sending,
}

impl ControllerConfig {
    /// Configuration with the default churn rate, for a fleet in which only homes send to targets.
    pub fn new(timing: Timing, assigner: Assigner, ring_salt: u64) -> Self {
        ControllerConfig {
            timing,
            assigner,
            ring_salt,
            churn_rate: DEFAULT_CHURN_PER_MINUTE,
            sending: Sending::Home,
        }
    }
}

/// How far an entry has applied the log, according to its latest report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLag {
    /// Number of the entry.
    pub node: Node,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Index of the last log entry that it has applied; 0 if this leader has no report from it.
    pub applied: u64,
    /// Version of the configuration in force on the entry.
    pub version: Version,
    /// Whether the report is no older than a lease.
    pub fresh: bool,
}

/// Latest report of an entry.
#[derive(Debug)]
pub(super) struct ReceivedReport {
    pub(super) received_at: Moment,
    pub(super) report: EntryReport,
    /// When the previous incarnation of the entry last reported.
    pub(super) predecessor_seen: Option<Moment>,
}

/// How far the loss of an entry has come; the entry earns no lease meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryLoss {
    /// `Command::EntryLost` is proposed.
    Proposed,
    /// `Command::EntryLost` is applied; ends with the next `Command::EntryUp`.
    Committed,
}

/// Incarnation of a live entry, and the log index that it has to apply before it earns leases.
#[derive(Debug)]
struct LiveEntry {
    incarnation: Incarnation,
    up_index: u64,
}

/// Announcement of a target whose previous incarnation has not ended yet.
#[derive(Debug)]
struct PendingAdmission {
    announcement: Announcement,
    announced_at: Moment,
}

/// Command that was proposed recently, with the index of the fleet state that called for it.
#[derive(Debug)]
struct Proposal {
    command: Command,
    proposed_at: Moment,
    fleet_index: u64,
}

/// Controller for one term of a leader; see the [module](self).
#[derive(Debug)]
pub struct Controller {
    config: ControllerConfig,
    started: Moment,
    reports: BTreeMap<Node, ReceivedReport>,
    lost_entries: BTreeMap<Node, EntryLoss>,
    live_entries: BTreeMap<Node, LiveEntry>,
    pending_admissions: BTreeMap<Target, PendingAdmission>,
    placer: RangePlacer,
    lost_since: BTreeMap<Target, Moment>,
    proposals: Vec<Proposal>,
    last_improvement: Moment,
}

impl Controller {
    /// Creates the controller of a leader whose term begins at `now`.
    pub fn new(config: ControllerConfig, now: Moment) -> Self {
        Controller {
            config,
            started: now,
            reports: BTreeMap::new(),
            lost_entries: BTreeMap::new(),
            live_entries: BTreeMap::new(),
            pending_admissions: BTreeMap::new(),
            placer: RangePlacer::default(),
            lost_since: BTreeMap::new(),
            proposals: Vec::new(),
            last_improvement: now,
        }
    }

    /// Records the report of an entry, which is also its heartbeat. Ignores reports of earlier
    /// incarnations; one that is older than the latest report counts as a heartbeat only.
    pub fn on_report(&mut self, now: Moment, report: &EntryReport) {
        let mut predecessor_seen = None;
        if let Some(old) = self.reports.get_mut(&report.node) {
            if report.incarnation < old.report.incarnation {
                return;
            }
            predecessor_seen = old.predecessor_seen;
            if report.incarnation > old.report.incarnation {
                predecessor_seen = Some(old.received_at);
            } else if report.applied < old.report.applied {
                old.received_at = now;
                return;
            }
        }
        let received = ReceivedReport {
            received_at: now,
            report: report.clone(),
            predecessor_seen,
        };
        self.reports.insert(report.node, received);
    }

    /// Returns the command that admits the target, or `None` if it is admitted already or will be.
    ///
    /// A new incarnation waits until the home of the previous one reports that one as gone; a later
    /// tick then admits it.
    pub fn on_announce(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        announcement: &Announcement,
    ) -> Result<Option<Command>, AnnouncementError> {
        let command = admission::admit(fleet, announcement)?;
        if command.is_some() && admission::has_older_incarnation(fleet, announcement) {
            let announcement = announcement.clone();
            let name = announcement.target.clone();
            self.pending_admissions.insert(
                name,
                PendingAdmission {
                    announcement,
                    announced_at: now,
                },
            );
            return Ok(None);
        }
        let commands = command.into_iter().collect();
        Ok(self.propose(now, fleet, commands).pop())
    }

    /// Returns the command that drains the target, or `None` if this incarnation does not serve.
    pub fn on_leave(&mut self, fleet: &Fleet, leave: &Leave) -> Option<Command> {
        let state = fleet.targets.get(&leave.target)?;
        let serves = state.phase == TargetPhase::Serving;
        (serves && state.announcement.incarnation == leave.incarnation).then(|| Command::Drain {
            target: leave.target.clone(),
            incarnation: leave.incarnation,
        })
    }

    /// Lease that a heartbeat of the entry earns, counted from when the entry sent the heartbeat.
    ///
    /// An entry that came back earns no lease before it has applied its `EntryUp` command: by its
    /// older state it may still be the home of targets that have another home by now.
    pub fn lease_for(&self, node: Node) -> Option<Duration> {
        let report = &self.reports.get(&node)?.report;
        let live = self.live_entries.get(&node)?;
        let current = live.incarnation == report.incarnation && report.applied >= live.up_index;
        let eligible = current && !self.lost_entries.contains_key(&node);
        eligible.then_some(self.config.timing.entry_lease)
    }

    /// Progress of each entry of the fleet, according to its latest report.
    pub fn lag(&self, now: Moment, fleet: &Fleet) -> Vec<EntryLag> {
        let entries = fleet.entries.iter();
        entries
            .map(|(node, entry)| {
                let received = self.reports.get(node);
                EntryLag {
                    node: *node,
                    zone: entry.zone.clone(),
                    applied: received.map_or(0, |r| r.report.applied),
                    version: received.map_or(Version(0), |r| r.report.version),
                    fresh: received.is_some_and(|r| self.is_fresh(now, r)),
                }
            })
            .collect()
    }

    /// Returns the commands to propose now, given the committed state and the reports.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) -> Vec<Command> {
        self.sync(now, fleet);
        let mut batch = CommandBatch::new(fleet);
        self.bring_up_entries(now, &mut batch);
        self.declare_lost_entries(now, &mut batch);
        self.declare_lost_targets(&mut batch);
        self.admit_pending(now, &mut batch);
        self.end_moves(&mut batch);
        self.placer.cancel_late_moves(now, &mut batch);
        let may_rebalance = !self.has_outstanding(fleet);
        self.choose_homes(now, may_rebalance, &mut batch);
        self.placer
            .assign(now, &self.config, &self.reports, may_rebalance, &mut batch);
        self.remove_targets(now, &mut batch);
        self.propose(now, fleet, batch.into_commands())
    }

    fn is_fresh(&self, now: Moment, received: &ReceivedReport) -> bool {
        now.since(received.received_at) <= self.config.timing.entry_lease
    }

    /// Updates the controller's own state from the committed state and drops what is out of date.
    fn sync(&mut self, now: Moment, fleet: &Fleet) {
        self.sync_entries(now, fleet);
        self.placer.sync(now, fleet);
        self.lost_since.retain(|name, _| {
            let state = fleet.targets.get(name);
            state.is_some_and(|s| s.phase == TargetPhase::Lost)
        });
        self.proposals
            .retain(|p| now.since(p.proposed_at) < PROPOSAL_TIMEOUT);
    }

    fn sync_entries(&mut self, now: Moment, fleet: &Fleet) {
        let lease = self.config.timing.entry_lease;
        self.live_entries.clear();
        for (node, entry) in &fleet.entries {
            match (self.lost_entries.get(node), entry.alive) {
                (Some(EntryLoss::Proposed), false) => {
                    self.lost_entries.insert(*node, EntryLoss::Committed);
                }
                (Some(EntryLoss::Committed), true) => {
                    self.lost_entries.remove(node);
                }
                _ => {}
            }
            if entry.alive {
                let live = LiveEntry {
                    incarnation: entry.incarnation,
                    up_index: entry.up_index,
                };
                self.live_entries.insert(*node, live);
            } else if self
                .reports
                .get(node)
                .is_some_and(|r| now.since(r.received_at) > lease)
            {
                self.reports.remove(node);
            }
        }
    }

    /// Time after which a lease granted to an entry has expired on the clock of every host.
    fn lease_timeout(&self) -> Duration {
        self.config.timing.entry_lease + self.config.timing.drift
    }

    /// Brings up the entries that report. A new incarnation waits until the lease of the previous
    /// one has expired, since that one may still run on another host.
    fn bring_up_entries(&mut self, now: Moment, batch: &mut CommandBatch<'_>) {
        let sending = self.config.sending;
        for (node, received) in &self.reports {
            if !self.is_fresh(now, received)
                || self.lost_entries.get(node) == Some(&EntryLoss::Proposed)
            {
                continue;
            }
            let incarnation = received.report.incarnation;
            let live = batch.fleet().entries.get(node).filter(|e| e.alive);
            let last_seen = received
                .predecessor_seen
                .unwrap_or(self.started)
                .max(self.started);
            let up = live.is_some_and(|e| e.incarnation >= incarnation);
            if up || (live.is_some() && now.since(last_seen) <= self.lease_timeout()) {
                continue;
            }
            let released = moves::released_by(batch.fleet(), *node, &self.reports, sending);
            batch.push(Command::EntryUp {
                node: *node,
                zone: received.report.zone.clone(),
                incarnation,
            });
            if !released.is_empty() {
                batch.push(Command::MoveEnd(released));
            }
        }
    }

    /// Declares entries lost whose lease has expired without a new report.
    fn declare_lost_entries(&mut self, now: Moment, batch: &mut CommandBatch<'_>) {
        let sending = self.config.sending;
        let timeout = self.lease_timeout();
        let expired: Vec<(Node, Incarnation)> = (batch.fleet().entries.iter())
            .filter(|(node, entry)| {
                let last = self
                    .reports
                    .get(node)
                    .map_or(self.started, |r| r.received_at);
                entry.alive && now.since(last.max(self.started)) > timeout
            })
            .map(|(node, entry)| (*node, entry.incarnation))
            .collect();
        for (node, incarnation) in expired {
            self.lost_entries.entry(node).or_insert(EntryLoss::Proposed);
            let released = moves::released_by(batch.fleet(), node, &self.reports, sending);
            batch.push(Command::EntryLost { node, incarnation });
            if !released.is_empty() {
                batch.push(Command::MoveEnd(released));
            }
        }
    }

    /// Declares targets lost that their home reports as gone and no former home still sends to.
    fn declare_lost_targets(&mut self, batch: &mut CommandBatch<'_>) {
        for (node, received) in &self.reports {
            for gone in &received.report.gone {
                let state = batch.fleet().targets.get(&gone.target);
                let confirmed = state.is_some_and(|state| {
                    state.home == Some(*node)
                        && received.report.applied >= state.epoch.0
                        && moves::former_homes_quiesced(&gone.target, state, &self.reports)
                });
                if confirmed {
                    batch.push(Command::Lost {
                        target: gone.target.clone(),
                        incarnation: gone.incarnation,
                    });
                }
            }
        }
    }

    fn admit_pending(&mut self, now: Moment, batch: &mut CommandBatch<'_>) {
        self.pending_admissions
            .retain(|_, pending| now.since(pending.announced_at) < PENDING_ADMISSION_MAX_AGE);
        let mut resolved = Vec::new();
        for (name, pending) in &self.pending_admissions {
            if admission::has_older_incarnation(batch.fleet(), &pending.announcement) {
                continue;
            }
            if let Ok(Some(command)) = admission::admit(batch.fleet(), &pending.announcement) {
                batch.push(command);
            } else {
                resolved.push(name.clone());
            }
        }
        self.pending_admissions
            .retain(|name, _| !resolved.contains(name));
    }

    fn end_moves(&mut self, batch: &mut CommandBatch<'_>) {
        let quiesced = moves::quiesced(batch.fleet(), &self.reports, self.config.sending);
        if !quiesced.is_empty() {
            batch.push(Command::MoveEnd(quiesced));
        }
    }

    /// Whether a recent proposal may still be committed; rebalancing waits for its effect.
    fn has_outstanding(&self, fleet: &Fleet) -> bool {
        self.proposals.iter().any(|p| p.fleet_index >= fleet.index)
    }

    /// Entries that report that they are shutting down.
    fn leaving_entries(&self) -> BTreeSet<Node> {
        let reports = self.reports.iter();
        let leaving = reports.filter(|(_, received)| received.report.leaving);
        leaving.map(|(node, _)| *node).collect()
    }

    fn choose_homes(&mut self, now: Moment, may_rebalance: bool, batch: &mut CommandBatch<'_>) {
        let due = may_rebalance && now.since(self.last_improvement) >= HOME_IMPROVEMENT_INTERVAL;
        let max_improvements = if due { MAX_HOME_IMPROVEMENTS } else { 0 };
        let leaving = self.leaving_entries();
        let rehomes = homes::plan_homes(batch.fleet(), &leaving, max_improvements);
        if due {
            self.last_improvement = now;
        }
        if !rehomes.is_empty() {
            batch.push(Command::Rehome(rehomes));
        }
    }

    fn remove_targets(&mut self, now: Moment, batch: &mut CommandBatch<'_>) {
        let mut removable = Vec::new();
        for (name, state) in &batch.fleet().targets {
            let finished = match state.phase {
                TargetPhase::Serving => false,
                TargetPhase::Draining => self.is_drained(name, state.home, state.epoch.0),
                TargetPhase::Lost => {
                    let since = *self.lost_since.entry(name.clone()).or_insert(now);
                    now.since(since) >= LOST_TARGET_RETENTION
                }
            };
            if finished && can_remove(batch.fleet(), name, state) {
                removable.push((name.clone(), state.announcement.incarnation));
            }
        }
        for (target, incarnation) in removable {
            batch.push(Command::Remove {
                target,
                incarnation,
            });
        }
    }

    /// Whether the home has no request in flight for the target and no entry reports one.
    fn is_drained(&self, target: &Target, home: Option<Node>, epoch: u64) -> bool {
        let received = home.and_then(|home| self.reports.get(&home));
        let idle =
            received.is_some_and(|r| r.report.applied >= epoch && r.report.idle.contains(target));
        let busy = self
            .reports
            .values()
            .any(|r| r.report.busy.contains(target));
        idle && !busy
    }

    /// Drops commands that were proposed recently and may still be committed; records the others.
    fn propose(&mut self, now: Moment, fleet: &Fleet, commands: Vec<Command>) -> Vec<Command> {
        let fresh: Vec<Command> = commands
            .into_iter()
            .filter(|c| !self.proposals.iter().any(|p| p.command == *c))
            .collect();
        self.proposals.extend(fresh.iter().map(|command| Proposal {
            command: command.clone(),
            proposed_at: now,
            fleet_index: fleet.index,
        }));
        fresh
    }
}

/// Whether the target owns no ranges, or no serving target is left to take them over.
fn can_remove(fleet: &Fleet, name: &Target, state: &TargetState) -> bool {
    let service = state.announcement.service.as_str();
    !fleet.has_ranges(name) || fleet.serving_targets(service).next().is_none()
}
