//! Placement of ranges on targets, as part of the leader's controller.
//!
//! Builds the assigner's view of each keyed service from the fleet state and the reports, and turns
//! the resulting plan into commands. Between plans it keeps what the fleet state does not hold: the
//! age of targets, the churn budgets and the age of moves. It answers these load patterns: a new
//! service whose targets are still arriving, a cold target after its start, a slow target, and a
//! move that does not end.

use super::{
    assigner::{self, Holder, Plan, RangeView, ServiceView, TargetView},
    command::{Command, Move},
    command_batch::CommandBatch,
    controller::{ControllerConfig, ReceivedReport},
    fleet::{Cause, Fleet, ServiceKind, ServiceState, TargetPhase},
    moves,
};
use crate::{
    key::{KeyHash, KeyRange},
    moment::Moment,
    name::{Incarnation, Node, Service, Target},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Delay before the ranges of a new service are first placed, so that more targets can arrive.
const FIRST_TARGETS_DELAY: Duration = Duration::from_millis(400);
/// Time after the first target of a new service in which its initial churn budget, the whole hash
/// space, is not capped, so that ranges can move freely while further targets arrive.
const STARTUP_WINDOW: Duration = Duration::from_secs(30);
/// Time over which the share of its slots that a new target is counted on for rises to 1.
const SLOW_START_WINDOW: Duration = Duration::from_secs(20);
/// Share of its slots that a target is counted on for when it starts.
const COLD_CAPACITY_SHARE: f64 = 0.1;
/// Moves of owned ranges that may be in progress in one service.
const MAX_CONCURRENT_MOVES: usize = 24;
/// Largest churn budget for balance that a service may accumulate, as a share of the hash space.
const MAX_CHURN_SAVED: f64 = 0.1;
/// Largest budget for moves off slow targets that a service may accumulate, as a share of the hash
/// space.
const MAX_RELIEF_SAVED: f64 = 0.25;
/// Lowest relative speed that a target is counted with, so that even a very slow one keeps enough
/// requests to measure its speed by.
const MIN_SPEED: f64 = 0.05;
/// Time after which a move is cancelled if its old owner has not quiesced, and for which the range
/// then does not move again.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Incarnation of a target and when this leader first saw it.
///
/// Targets that owned ranges when the leader's term began are taken as warm.
#[derive(Debug)]
struct KnownIncarnation {
    incarnation: Incarnation,
    first_seen: Moment,
    slow_start: bool,
}

/// Shares of the hash space that a service may still move for balance (`churn`) and off slow
/// targets (`relief`).
#[derive(Debug)]
struct ChurnBudget {
    churn: f64,
    relief: f64,
    refilled_at: Moment,
}

/// Shares of the hash space that one plan may move; see [`ChurnBudget`].
#[derive(Debug, Clone, Copy)]
struct Allowance {
    churn: f64,
    relief: f64,
}

/// Start of a move in progress: its log index, and when this leader first saw it.
#[derive(Debug)]
struct MoveStart {
    log_index: u64,
    seen_at: Moment,
}

/// A range of a service.
type ServiceRange = (Service, KeyRange);

/// State of the placement between two ticks; see the [module](self).
#[derive(Debug, Default)]
pub(super) struct RangePlacer {
    incarnations: BTreeMap<Target, KnownIncarnation>,
    first_targets: BTreeMap<Service, Moment>,
    budgets: BTreeMap<Service, ChurnBudget>,
    moving: BTreeMap<ServiceRange, MoveStart>,
    cancelled: BTreeMap<ServiceRange, Moment>,
    synced: bool,
}

impl RangePlacer {
    /// Updates the own state from the committed state and drops what is out of date.
    pub(super) fn sync(&mut self, now: Moment, fleet: &Fleet) {
        self.sync_targets(now, fleet);
        for (service, assignment, _) in moves::in_progress(fleet) {
            let start = MoveStart {
                log_index: assignment.change_index,
                seen_at: now,
            };
            let known = self.moving.entry((service.clone(), assignment.range));
            let known = known.or_insert(MoveStart { ..start });
            if known.log_index != assignment.change_index {
                *known = start;
            }
        }
        self.moving.retain(|(service, range), _| {
            let state = fleet.services.get(service);
            state.is_some_and(|s| s.is_moving(range))
        });
        self.cancelled.retain(|_, at| now.since(*at) < MOVE_TIMEOUT);
        self.synced = true;
    }

    fn sync_targets(&mut self, now: Moment, fleet: &Fleet) {
        let owners = if self.synced {
            BTreeSet::new()
        } else {
            owners(fleet)
        };
        self.incarnations
            .retain(|name, _| fleet.targets.contains_key(name));
        for (name, state) in &fleet.targets {
            let incarnation = state.announcement.incarnation;
            let known = self.incarnations.get(name);
            if known.is_none_or(|known| known.incarnation != incarnation) {
                let known = KnownIncarnation {
                    incarnation,
                    first_seen: now,
                    slow_start: !owners.contains(name),
                };
                self.incarnations.insert(name.clone(), known);
            }
            if state.phase == TargetPhase::Serving {
                let service = &state.announcement.service;
                self.first_targets.entry(service.clone()).or_insert(now);
            }
        }
    }

    /// Cancels moves whose old owner has not quiesced within [`MOVE_TIMEOUT`], so that their keys
    /// are served again. Moves off a target that may no longer serve continue.
    pub(super) fn cancel_late_moves(&mut self, now: Moment, batch: &mut CommandBatch<'_>) {
        let fleet = batch.fleet();
        let mut cancelled = Vec::new();
        for (service, assignment, _) in moves::in_progress(fleet) {
            let key = (service.clone(), assignment.range);
            let start = self.moving.get(&key);
            let is_late = start.is_some_and(|s| now.since(s.seen_at) > MOVE_TIMEOUT);
            let Some(owner) = assignment
                .owner
                .as_ref()
                .filter(|o| is_late && fleet.can_serve(o))
            else {
                continue;
            };
            cancelled.push(Move {
                service: service.clone(),
                range: assignment.range,
                to: owner.clone(),
            });
            self.cancelled.insert(key, now);
        }
        if !cancelled.is_empty() {
            batch.push(Command::MoveBegin(cancelled));
        }
    }

    /// Plans the ranges of all keyed services. Without `may_rebalance`, only grants ranges that
    /// have no owner.
    pub(super) fn assign(
        &mut self,
        now: Moment,
        config: &ControllerConfig,
        reports: &BTreeMap<Node, ReceivedReport>,
        may_rebalance: bool,
        batch: &mut CommandBatch<'_>,
    ) {
        let is_keyed = |state: &ServiceState| state.settings.kind == ServiceKind::Keyed;
        let services = batch.fleet().services.iter();
        let names: Vec<Service> = services
            .filter(|(_, state)| is_keyed(state))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let allowance = self.refill_budget(now, config, batch.fleet(), &name);
            let Some(mut view) = self.service_view(now, batch.fleet(), &name, reports) else {
                continue;
            };
            view.ring_salt = config.ring_salt;
            view.max_churn = allowance.churn;
            view.max_relief = allowance.relief;
            if !may_rebalance {
                view.max_moves = 0;
            }
            let plan = assigner::plan(config.assigner, &view);
            if let Some(budget) = self.budgets.get_mut(&name) {
                budget.churn -= plan.churn;
                budget.relief -= plan.relief;
            }
            push_commands(&name, &view, plan, may_rebalance, batch);
        }
    }

    /// Builds the assigner's view of the service, without budgets; `None` if no target may be
    /// assigned ranges yet.
    fn service_view(
        &self,
        now: Moment,
        fleet: &Fleet,
        name: &Service,
        reports: &BTreeMap<Node, ReceivedReport>,
    ) -> Option<ServiceView> {
        let state = fleet.services.get(name)?;
        let targets: Vec<TargetView> = fleet
            .serving_targets(name.as_str())
            .map(|(target, state)| TargetView {
                name: target.clone(),
                zone: state.announcement.zone.clone(),
                slots: state.announcement.slots,
                warmth: self.warmth(now, target, state.announcement.incarnation),
                speed: speed(reports, target, state.home),
            })
            .collect();
        if targets.is_empty() || !self.is_ready(now, name, state) {
            return None;
        }
        let in_progress = state.ranges.iter().filter(|a| a.next.is_some()).count();
        Some(ServiceView {
            ranges: self.range_views(name, state, &targets, reports),
            targets,
            max_moves: MAX_CONCURRENT_MOVES.saturating_sub(in_progress),
            max_churn: 0.0,
            max_relief: 0.0,
            ring_salt: 0,
        })
    }

    /// Whether ranges may be placed: the service had owners before, or its first target arrived
    /// [`FIRST_TARGETS_DELAY`] ago.
    fn is_ready(&self, now: Moment, name: &Service, state: &ServiceState) -> bool {
        let is_new = state.ranges.iter().all(|a| a.cause == Cause::Created);
        let first_seen = self.first_targets.get(name);
        !is_new || first_seen.is_some_and(|at| now.since(*at) >= FIRST_TARGETS_DELAY)
    }

    /// Share of its slots that an incarnation is counted on for; an unknown one has just started.
    fn warmth(&self, now: Moment, target: &Target, incarnation: Incarnation) -> f64 {
        let known = self.incarnations.get(target);
        match known.filter(|known| known.incarnation == incarnation) {
            Some(known) if known.slow_start => {
                let progress =
                    now.since(known.first_seen).as_secs_f64() / SLOW_START_WINDOW.as_secs_f64();
                (COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * progress).min(1.0)
            }
            Some(_) => 1.0,
            None => COLD_CAPACITY_SHARE,
        }
    }

    /// Adds what the service has earned since the last refill to its budgets.
    fn refill_budget(
        &mut self,
        now: Moment,
        config: &ControllerConfig,
        fleet: &Fleet,
        name: &Service,
    ) -> Allowance {
        let ranges = fleet.services.get(name).map(|state| &state.ranges);
        let all_unowned = ranges.is_some_and(|r| r.iter().all(|a| a.owner.is_none()));
        let first_seen = self.first_targets.get(name);
        let in_startup = first_seen.is_none_or(|at| now.since(*at) < STARTUP_WINDOW);
        let budget = self.budgets.entry(name.clone()).or_insert(ChurnBudget {
            churn: if all_unowned { 1.0 } else { MAX_CHURN_SAVED },
            relief: MAX_RELIEF_SAVED,
            refilled_at: now,
        });
        let earned =
            now.since(budget.refilled_at).as_secs_f64() * config.churn_rate / SECONDS_PER_MINUTE;
        if budget.churn < MAX_CHURN_SAVED || !in_startup {
            budget.churn = (budget.churn + earned).min(MAX_CHURN_SAVED);
        }
        budget.relief = (budget.relief + earned).min(MAX_RELIEF_SAVED);
        budget.refilled_at = now;
        Allowance {
            churn: budget.churn,
            relief: budget.relief,
        }
    }

    /// Ranges with their holders and loads. A moving range counts for the target it moves to, and a
    /// recently cancelled move keeps its range from moving again.
    fn range_views(
        &self,
        name: &Service,
        state: &ServiceState,
        targets: &[TargetView],
        reports: &BTreeMap<Node, ReceivedReport>,
    ) -> Vec<RangeView> {
        let holder_of = |name: &Target| {
            let position = targets.binary_search_by(|t| t.name.cmp(name));
            position.map_or(Holder::Leaving, Holder::Target)
        };
        let was_cancelled = |range: KeyRange| {
            !self.cancelled.is_empty() && self.cancelled.contains_key(&(name.clone(), range))
        };
        let mut views: Vec<RangeView> = (state.ranges.iter())
            .map(|assignment| RangeView {
                range: assignment.range,
                holder: match (&assignment.next, &assignment.owner) {
                    (Some(next), _) => holder_of(next),
                    (None, Some(owner)) => holder_of(owner),
                    (None, None) => Holder::Unowned,
                },
                moving: assignment.next.is_some() || was_cancelled(assignment.range),
                rate: 0.0,
                busiest_key: None,
            })
            .collect();
        add_loads(name, reports, &mut views);
        views
    }
}

fn owners(fleet: &Fleet) -> BTreeSet<&Target> {
    let assignments = fleet.services.values().flat_map(|s| &s.ranges);
    assignments
        .filter_map(|assignment| assignment.owner.as_ref())
        .collect()
}

/// Speed of a target relative to its peers, as measured by its home; 1 if it is not slow.
fn speed(reports: &BTreeMap<Node, ReceivedReport>, target: &Target, home: Option<Node>) -> f64 {
    let received = home.and_then(|home| reports.get(&home));
    let mut slow = received
        .into_iter()
        .flat_map(|received| &received.report.slow);
    let found = slow.find(|s| s.target == *target);
    found.map_or(1.0, |s| s.slowdown.max(1.0).recip().max(MIN_SPEED))
}

/// Adds the measured loads to the ranges. The load of a range that was split since the report is
/// divided by width, except for its busiest key, which counts for the range that contains it.
fn add_loads(name: &Service, reports: &BTreeMap<Node, ReceivedReport>, views: &mut [RangeView]) {
    let loads = reports.values().flat_map(|r| &r.report.loads);
    for load in loads.filter(|load| load.service == *name) {
        let start = views.partition_point(|v| v.range.last() < load.range.first());
        let overlapping = views[start..]
            .iter_mut()
            .take_while(|v| v.range.first() <= load.range.last());
        let busiest = load.busiest_key.as_ref();
        let other_rate = load.rate - busiest.map_or(0.0, |k| k.rate.min(load.rate));
        for view in overlapping {
            view.rate += other_rate * overlap_share(&load.range, &view.range);
            if let Some(key) = busiest.filter(|k| view.range.contains(k.hash)) {
                view.rate += key.rate.min(load.rate);
                view.busiest_key = Some(*key);
            }
        }
    }
}

/// Share of `whole` that overlaps with `part`, from 0 to 1.
fn overlap_share(whole: &KeyRange, part: &KeyRange) -> f64 {
    let first: KeyHash = whole.first().max(part.first());
    let last = whole.last().min(part.last());
    let overlap = KeyRange::new(first, last).map_or(0, |range| range.width());
    overlap as f64 / whole.width() as f64
}

/// Adds the commands that carry out the plan; merges and splits only with `may_rebalance`.
fn push_commands(
    name: &Service,
    view: &ServiceView,
    plan: Plan,
    may_rebalance: bool,
    batch: &mut CommandBatch<'_>,
) {
    let placements = plan.grants.iter().chain(&plan.moves);
    let moves: Vec<Move> = placements
        .map(|placement| Move {
            service: name.clone(),
            range: placement.range,
            to: view.targets[placement.to].name.clone(),
        })
        .collect();
    if !moves.is_empty() {
        batch.push(Command::MoveBegin(moves));
    }
    if !may_rebalance {
        return;
    }
    for at in plan.merges {
        let service = name.clone();
        batch.push(Command::Merge { service, at });
    }
    for at in plan.splits {
        let service = name.clone();
        batch.push(Command::Split { service, at });
    }
}
