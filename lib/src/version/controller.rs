//! The leader's controller: turns the entries' reports into commands.
//!
//! It is made anew by each new leader and keeps nothing that must survive. A new one has heard of
//! nobody, so it waits a whole lease before it declares an entry lost.

use super::{
    assigner::{self, Holder, RangeView, TargetView, View},
    command::{Announcement, Command, Move},
    draft::Draft,
    fleet::{Cause, Fleet, ServiceKind, ServiceState, TargetPhase},
    homes, moves,
    report::Report,
};
use crate::{
    connection::order::Leave,
    key::KeyRange,
    moment::Moment,
    name::{Incarnation, Node, Service, Target, Version, Zone},
    process::settings::{Assigner, Timing},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use thiserror::Error;

/// How long a proposed command may take before it is proposed again.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// How long the first targets of a new service are waited for.
const SETTLE: Duration = Duration::from_millis(400);
/// Time in which a new target is counted on for more and more of its slots.
const RAMP: Duration = Duration::from_secs(20);
/// Part of its slots that a new target is counted on for.
const COLD_PART: f64 = 0.1;
/// Moves of owned ranges that may be under way in one service.
const MOVES_AT_ONCE: usize = 24;
/// Share of the hash space that a service may save up for balance.
const CHURN_BURST: f64 = 0.1;
/// Time in which a new service may move without a budget, while its targets arrive.
const ARRIVAL: Duration = Duration::from_secs(30);
/// Pause between improvements of homes.
const HOME_PAUSE: Duration = Duration::from_secs(1);
/// Units whose home is improved at once.
const HOMES_AT_ONCE: usize = 4;
/// How long a lost target is remembered.
const LOST_KEPT: Duration = Duration::from_secs(600);
/// How long a range waits for its old owner before the move is called off.
const MOVE_PATIENCE: Duration = Duration::from_secs(5);

/// Settings of the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerConfig {
    /// Time spans of the control plane.
    pub timing: Timing,
    /// How ranges are given to targets.
    pub assigner: Assigner,
    /// Salt of the hash ring.
    pub seed: u64,
    /// Share of a service's hash space that may move for balance in a minute.
    pub churn: f64,
}

impl ControllerConfig {
    /// Settings with the usual churn budget.
    pub fn new(timing: Timing, assigner: Assigner, seed: u64) -> Self {
        ControllerConfig {
            timing,
            assigner,
            seed,
            churn: 0.6,
        }
    }
}

/// Why an announcement is turned away.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejected {
    /// No note added the service.
    #[error("service `{0}` is unknown; add it by a release note")]
    UnknownService(Service),
    /// No note added the zone.
    #[error("zone `{0}` is unknown; add it by a release note")]
    UnknownZone(Zone),
    /// Operators withdrew the target.
    #[error("target `{0}` is withdrawn; add it again by a release note")]
    Withdrawn(Target),
    /// This life of the target asked to leave.
    #[error("this life of target `{0}` is leaving; restart it under a higher incarnation")]
    Leaving(Target),
    /// A later life of the target is known.
    #[error("incarnation {known} of target `{target}` is known; announce a higher one")]
    OldIncarnation {
        /// The target.
        target: Target,
        /// Life that is known.
        known: Incarnation,
    },
    /// Another life still holds a lease at another address.
    #[error("another life of target `{0}` holds a lease elsewhere; stop it, or wait until it ends")]
    StillAlive(Target),
    /// It has no slots.
    #[error("target `{0}` announces no slots; announce at least one")]
    NoSlots(Target),
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
    pub(super) report: Report,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fall {
    Proposed,
    Committed,
}

#[derive(Debug)]
struct Life {
    incarnation: Incarnation,
    since: Moment,
    cold: bool,
}

#[derive(Debug)]
struct Budget {
    churn: f64,
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
    admitted: BTreeMap<Node, Incarnation>,
    lives: BTreeMap<Target, Life>,
    lost: BTreeMap<Target, Moment>,
    services: BTreeMap<Service, Moment>,
    budgets: BTreeMap<Service, Budget>,
    moving: BTreeMap<(Service, KeyRange), (u64, Moment)>,
    proposals: Vec<Proposal>,
    improved: Moment,
    ticked: bool,
}

impl Controller {
    /// Controller of a leader that begins now.
    pub fn new(config: ControllerConfig, now: Moment) -> Self {
        Controller {
            config,
            started: now,
            heard: BTreeMap::new(),
            fallen: BTreeMap::new(),
            admitted: BTreeMap::new(),
            lives: BTreeMap::new(),
            lost: BTreeMap::new(),
            services: BTreeMap::new(),
            budgets: BTreeMap::new(),
            moving: BTreeMap::new(),
            proposals: Vec::new(),
            improved: now,
            ticked: false,
        }
    }

    /// Takes an entry's report, which is its heartbeat too.
    pub fn on_report(&mut self, now: Moment, report: &Report) {
        if let Some(old) = self.heard.get_mut(&report.node) {
            let same = old.report.incarnation == report.incarnation;
            if report.incarnation < old.report.incarnation {
                return;
            }
            if same && report.applied < old.report.applied {
                old.at = now;
                return;
            }
        }
        let heard = Heard {
            at: now,
            report: report.clone(),
        };
        self.heard.insert(report.node, heard);
    }

    /// Command that admits the target, `None` if it is in already.
    pub fn on_announce(
        &mut self,
        _now: Moment,
        fleet: &Fleet,
        info: &Announcement,
    ) -> Result<Option<Command>, Rejected> {
        check_announcement(fleet, info)?;
        let known = fleet.targets.get(&info.target);
        let same = known.filter(|old| old.info.incarnation == info.incarnation);
        match same.map(|old| old.phase) {
            Some(TargetPhase::Serving) => Ok(None),
            Some(TargetPhase::Draining) => Err(Rejected::Leaving(info.target.clone())),
            Some(TargetPhase::Lost) | None => Ok(Some(Command::Admit(info.clone()))),
        }
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
    pub fn lease_for(&self, node: Node) -> Option<Duration> {
        let heard = self.heard.get(&node)?;
        let admitted = self.admitted.get(&node) == Some(&heard.report.incarnation);
        (admitted && !self.fallen.contains_key(&node)).then_some(self.config.timing.entry_lease)
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
        self.end_moves(&mut draft);
        self.call_off_moves(now, &mut draft);
        self.choose_homes(now, fleet, &mut draft);
        self.assign(now, fleet, &mut draft);
        self.forget_targets(now, &mut draft);
        self.propose(now, fleet, draft.into_commands())
    }

    fn is_fresh(&self, now: Moment, heard: &Heard) -> bool {
        now.since(heard.at) <= self.config.timing.entry_lease
    }

    /// Brings what the controller remembers into line with the committed state.
    fn observe(&mut self, now: Moment, fleet: &Fleet) {
        self.observe_entries(fleet);
        self.observe_targets(now, fleet);
        for (service, slot, _) in moves::under_way(fleet) {
            let key = (service.clone(), slot.range);
            let begun = self.moving.entry(key).or_insert((slot.since, now));
            if begun.0 != slot.since {
                *begun = (slot.since, now);
            }
        }
        self.moving.retain(|(service, range), _| {
            let state = fleet.services.get(service);
            state.is_some_and(|s| s.moves(range))
        });
        self.proposals.retain(|p| now.since(p.at) < RETRY_AFTER);
        self.ticked = true;
    }

    fn observe_entries(&mut self, fleet: &Fleet) {
        self.admitted.clear();
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
                self.admitted.insert(*node, entry.incarnation);
            }
        }
    }

    fn observe_targets(&mut self, now: Moment, fleet: &Fleet) {
        let owners: BTreeSet<&Target> = (fleet.services.values())
            .flat_map(|service| &service.ranges)
            .filter_map(|slot| slot.owner.as_ref())
            .collect();
        self.lives
            .retain(|name, _| fleet.targets.contains_key(name));
        for (name, state) in &fleet.targets {
            let known = self.lives.get(name);
            if known.is_none_or(|life| life.incarnation != state.info.incarnation) {
                let life = Life {
                    incarnation: state.info.incarnation,
                    since: now,
                    cold: self.ticked || !owners.contains(name),
                };
                self.lives.insert(name.clone(), life);
            }
            if state.phase == TargetPhase::Serving {
                self.services
                    .entry(state.info.service.clone())
                    .or_insert(now);
                self.lost.remove(name);
            }
        }
    }

    fn raise_entries(&mut self, now: Moment, draft: &mut Draft<'_>) {
        for (node, heard) in &self.heard {
            if !self.is_fresh(now, heard) || self.fallen.get(node) == Some(&Fall::Proposed) {
                continue;
            }
            let known = draft.fleet().entries.get(node);
            let up = known.is_some_and(|e| e.alive && e.incarnation >= heard.report.incarnation);
            if !up {
                draft.push(Command::EntryUp {
                    node: *node,
                    zone: heard.report.zone.clone(),
                    incarnation: heard.report.incarnation,
                });
            }
        }
    }

    fn drop_entries(&mut self, now: Moment, draft: &mut Draft<'_>) {
        let wait = self.config.timing.entry_lease + self.config.timing.drift;
        let silent: Vec<(Node, Incarnation)> = (draft.fleet().entries.iter())
            .filter(|(node, entry)| {
                let last = self.heard.get(node).map_or(self.started, |h| h.at);
                entry.alive && now.since(last.max(self.started)) > wait
            })
            .map(|(node, entry)| (*node, entry.incarnation))
            .collect();
        for (node, incarnation) in silent {
            self.fallen.entry(node).or_insert(Fall::Proposed);
            let freed = moves::freed_by(draft.fleet(), node, &self.heard);
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
                    state.home == Some(*node) && heard.report.applied >= state.epoch.0
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

    fn end_moves(&mut self, draft: &mut Draft<'_>) {
        let ended = moves::ended(draft.fleet(), &self.heard);
        if !ended.is_empty() {
            draft.push(Command::MoveEnd(ended));
        }
    }

    /// Calls off moves whose old owner does not become quiet, so that the keys are served again.
    fn call_off_moves(&mut self, now: Moment, draft: &mut Draft<'_>) {
        let late: Vec<Move> = moves::under_way(draft.fleet())
            .filter(|(service, slot, _)| {
                let begun = self.moving.get(&((*service).clone(), slot.range));
                begun.is_some_and(|(_, at)| now.since(*at) > MOVE_PATIENCE)
            })
            .filter_map(|(service, slot, _)| {
                Some(Move {
                    service: service.clone(),
                    range: slot.range,
                    to: slot.owner.clone()?,
                })
            })
            .collect();
        if !late.is_empty() {
            draft.push(Command::MoveBegin(late));
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

    fn choose_homes(&mut self, now: Moment, fleet: &Fleet, draft: &mut Draft<'_>) {
        let due = now.since(self.improved) >= HOME_PAUSE && !self.awaits(fleet);
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

    fn assign(&mut self, now: Moment, fleet: &Fleet, draft: &mut Draft<'_>) {
        let names: Vec<Service> = (draft.fleet().services.iter())
            .filter(|(_, state)| state.settings.kind == ServiceKind::Keyed)
            .map(|(name, _)| name.clone())
            .collect();
        let calm = !self.awaits(fleet);
        for name in names {
            let Some(view) = self.view(now, draft.fleet(), &name, calm) else {
                continue;
            };
            let plan = assigner::plan(self.config.assigner, &view);
            if let Some(budget) = self.budgets.get_mut(&name) {
                budget.churn -= plan.churn;
            }
            self.carry_out(&name, &view, plan, calm, draft);
        }
    }

    fn carry_out(
        &self,
        name: &Service,
        view: &View,
        plan: assigner::Plan,
        calm: bool,
        draft: &mut Draft<'_>,
    ) {
        let placed = plan.grants.iter().chain(&plan.moves);
        let list: Vec<Move> = placed
            .map(|placement| Move {
                service: name.clone(),
                range: placement.range,
                to: view.targets[placement.to].name.clone(),
            })
            .collect();
        if !list.is_empty() {
            draft.push(Command::MoveBegin(list));
        }
        if !calm {
            return;
        }
        for at in plan.merges {
            let service = name.clone();
            draft.push(Command::Merge { service, at });
        }
        for at in plan.splits {
            let service = name.clone();
            draft.push(Command::Split { service, at });
        }
    }

    /// The service as the assigner sees it; `None` if no target may be given ranges yet.
    fn view(&mut self, now: Moment, fleet: &Fleet, name: &Service, calm: bool) -> Option<View> {
        let state = fleet.services.get(name)?;
        let targets: Vec<TargetView> = fleet
            .serving(name)
            .map(|(target, state)| TargetView {
                name: target.clone(),
                zone: state.info.zone.clone(),
                slots: state.info.slots,
                warmth: self.warmth(now, target),
                slow: self.is_slow(target, state.home),
            })
            .collect();
        if targets.is_empty() || !self.is_settled(now, name, state) {
            return None;
        }
        let under_way = state.ranges.iter().filter(|a| a.next.is_some()).count();
        let moves = MOVES_AT_ONCE.saturating_sub(under_way);
        let churn = self.refill(now, name, state);
        let rates = self.rates(name, state);
        let ranges = range_views(state, &targets, &rates);
        Some(View {
            ranges,
            targets,
            moves: if calm { moves } else { 0 },
            churn,
            seed: self.config.seed,
        })
    }

    fn is_settled(&self, now: Moment, name: &Service, state: &ServiceState) -> bool {
        let fresh = state.ranges.iter().all(|a| a.cause == Cause::Created);
        let since = self.services.get(name);
        !fresh || since.is_some_and(|since| now.since(*since) >= SETTLE)
    }

    fn warmth(&self, now: Moment, target: &Target) -> f64 {
        match self.lives.get(target) {
            Some(life) if life.cold => {
                let part = now.since(life.since).as_secs_f64() / RAMP.as_secs_f64();
                (COLD_PART + (1.0 - COLD_PART) * part).min(1.0)
            }
            Some(_) => 1.0,
            None => COLD_PART,
        }
    }

    fn is_slow(&self, target: &Target, home: Option<Node>) -> bool {
        let heard = home.and_then(|home| self.heard.get(&home));
        heard.is_some_and(|h| h.report.slow.contains(target))
    }

    fn refill(&mut self, now: Moment, name: &Service, state: &ServiceState) -> f64 {
        let unowned = state.ranges.iter().all(|a| a.owner.is_none());
        let first = if unowned { 1.0 } else { CHURN_BURST };
        let budget = self.budgets.entry(name.clone()).or_insert(Budget {
            churn: first,
            at: now,
        });
        let earned = now.since(budget.at).as_secs_f64() * self.config.churn / 60.0;
        let arriving = (self.services.get(name)).is_some_and(|at| now.since(*at) < ARRIVAL);
        if budget.churn < CHURN_BURST || !arriving {
            budget.churn = (budget.churn + earned).min(CHURN_BURST);
        }
        budget.at = now;
        budget.churn
    }

    /// Measured load of each range, from the reports of the owners' homes.
    fn rates(&self, name: &Service, state: &ServiceState) -> Vec<f64> {
        let mut rates = vec![0.0; state.ranges.len()];
        let loads = self.heard.values().flat_map(|h| &h.report.loads);
        for load in loads.filter(|load| load.service == *name) {
            let from = state
                .ranges
                .partition_point(|a| a.range.last() < load.range.first());
            for (slot, rate) in state.ranges[from..].iter().zip(&mut rates[from..]) {
                if slot.range.first() > load.range.last() {
                    break;
                }
                *rate += load.rate * shared_part(&load.range, &slot.range);
            }
        }
        rates
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
            if ended && !draft.fleet().holds_ranges(name) {
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

fn check_announcement(fleet: &Fleet, info: &Announcement) -> Result<(), Rejected> {
    let target = info.target.clone();
    if !fleet.services.contains_key(&info.service) {
        return Err(Rejected::UnknownService(info.service.clone()));
    }
    if !fleet.zones.contains_key(&info.zone) {
        return Err(Rejected::UnknownZone(info.zone.clone()));
    }
    if info.slots == 0 {
        return Err(Rejected::NoSlots(target));
    }
    if fleet.withdrawn.contains(&target) {
        return Err(Rejected::Withdrawn(target));
    }
    let left = fleet.departed.get(&target);
    if left.is_some_and(|d| info.incarnation <= d.incarnation) {
        return Err(Rejected::Leaving(target));
    }
    let Some(old) = fleet.targets.get(&target) else {
        return Ok(());
    };
    let known = old.info.incarnation;
    if info.incarnation < known {
        return Err(Rejected::OldIncarnation { target, known });
    }
    let moved = old.info.address != info.address;
    if moved && old.phase != TargetPhase::Lost && info.incarnation > known {
        return Err(Rejected::StillAlive(target));
    }
    Ok(())
}

/// Part of `whole` that lies in `part`, between 0 and 1.
fn shared_part(whole: &KeyRange, part: &KeyRange) -> f64 {
    let first = whole.first().max(part.first());
    let last = whole.last().min(part.last());
    let shared = KeyRange::new(first, last).map_or(0, |range| range.width());
    shared as f64 / whole.width() as f64
}

fn range_views(state: &ServiceState, targets: &[TargetView], rates: &[f64]) -> Vec<RangeView> {
    let place = |name: &Target| {
        let at = targets.binary_search_by(|t| t.name.cmp(name));
        at.map_or(Holder::Leaving, Holder::Target)
    };
    let ranges = state.ranges.iter().zip(rates);
    ranges
        .map(|(slot, rate)| RangeView {
            range: slot.range,
            holder: match (&slot.next, &slot.owner) {
                (Some(next), _) => place(next),
                (None, Some(owner)) => place(owner),
                (None, None) => Holder::Nobody,
            },
            moving: slot.next.is_some(),
            rate: *rate,
        })
        .collect()
}
