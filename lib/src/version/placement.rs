//! Placement of ranges: what the controller remembers between plans of the assigner.

use super::{
    assigner::{self, Holder, Plan, RangeView, ServiceView, TargetView},
    command::{Command, Move},
    controller::{ControllerConfig, Heard},
    draft::Draft,
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

/// How long the first targets of a new service are waited for.
const SETTLE: Duration = Duration::from_millis(400);
/// Time in which a new service may move without a budget, while its targets arrive.
const ARRIVAL: Duration = Duration::from_secs(30);
/// Time in which a new target is counted on for more and more of its slots.
const RAMP: Duration = Duration::from_secs(20);
/// Part of its slots that a new target is counted on for.
const COLD_PART: f64 = 0.1;
/// Moves of owned ranges that may be under way in one service.
const MOVES_AT_ONCE: usize = 24;
/// Share of the hash space that a service may save up for balance.
const CHURN_BURST: f64 = 0.1;
/// Share of the hash space that a service may save up for the relief of slow targets.
const RELIEF_BURST: f64 = 0.25;
/// Speed below which no target is counted, so that it keeps enough work to be judged by.
const LEAST_SPEED: f64 = 0.05;
/// How long a range waits for its old owner before the move is called off, and how long it then
/// stays where it is.
const MOVE_PATIENCE: Duration = Duration::from_secs(5);
const SECONDS_PER_MINUTE: f64 = 60.0;

/// One life of a target, as long as it has been known.
#[derive(Debug)]
struct Life {
    incarnation: Incarnation,
    since: Moment,
    cold: bool,
}

/// Churn that a service may still spend on balance.
#[derive(Debug)]
struct Budget {
    churn: f64,
    relief: f64,
    at: Moment,
}

/// What a plan may spend.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    churn: f64,
    relief: f64,
}

/// A move under way.
#[derive(Debug)]
struct Begun {
    since: u64,
    at: Moment,
}

type RangeName = (Service, KeyRange);

/// Memory of the placement of ranges.
#[derive(Debug, Default)]
pub(super) struct Placer {
    lives: BTreeMap<Target, Life>,
    arrivals: BTreeMap<Service, Moment>,
    budgets: BTreeMap<Service, Budget>,
    moving: BTreeMap<RangeName, Begun>,
    resting: BTreeMap<RangeName, Moment>,
    observed: bool,
}

impl Placer {
    /// Brings the memory into line with the committed state.
    pub(super) fn observe(&mut self, now: Moment, fleet: &Fleet) {
        self.observe_targets(now, fleet);
        for (service, slot, _) in moves::under_way(fleet) {
            let begun = Begun {
                since: slot.since,
                at: now,
            };
            let known = self.moving.entry((service.clone(), slot.range));
            let known = known.or_insert(Begun { ..begun });
            if known.since != slot.since {
                *known = begun;
            }
        }
        self.moving.retain(|(service, range), _| {
            let state = fleet.services.get(service);
            state.is_some_and(|s| s.moves(range))
        });
        self.resting.retain(|_, at| now.since(*at) < MOVE_PATIENCE);
        self.observed = true;
    }

    fn observe_targets(&mut self, now: Moment, fleet: &Fleet) {
        let owners = if self.observed {
            BTreeSet::new()
        } else {
            owners(fleet)
        };
        self.lives
            .retain(|name, _| fleet.targets.contains_key(name));
        for (name, state) in &fleet.targets {
            let incarnation = state.info.incarnation;
            let known = self.lives.get(name);
            if known.is_none_or(|life| life.incarnation != incarnation) {
                let life = Life {
                    incarnation,
                    since: now,
                    cold: !owners.contains(name),
                };
                self.lives.insert(name.clone(), life);
            }
            if state.phase == TargetPhase::Serving {
                let service = &state.info.service;
                self.arrivals.entry(service.clone()).or_insert(now);
            }
        }
    }

    /// Calls off moves for balance whose old owner does not become quiet, so that their keys are
    /// served again. Moves off a target that has to be emptied go on.
    pub(super) fn call_off(&mut self, now: Moment, draft: &mut Draft<'_>) {
        let fleet = draft.fleet();
        let mut list = Vec::new();
        for (service, slot, _) in moves::under_way(fleet) {
            let name = (service.clone(), slot.range);
            let begun = self.moving.get(&name);
            let late = begun.is_some_and(|b| now.since(b.at) > MOVE_PATIENCE);
            let Some(owner) = slot.owner.as_ref().filter(|o| late && fleet.may_serve(o)) else {
                continue;
            };
            list.push(Move {
                service: service.clone(),
                range: slot.range,
                to: owner.clone(),
            });
            self.resting.insert(name, now);
        }
        if !list.is_empty() {
            draft.push(Command::MoveBegin(list));
        }
    }

    /// Plans the ranges of every keyed service; without `calm` only ranges without an owner.
    pub(super) fn assign(
        &mut self,
        now: Moment,
        config: &ControllerConfig,
        heard: &BTreeMap<Node, Heard>,
        calm: bool,
        draft: &mut Draft<'_>,
    ) {
        let keyed = |state: &ServiceState| state.settings.kind == ServiceKind::Keyed;
        let services = draft.fleet().services.iter();
        let names: Vec<Service> = services
            .filter(|(_, state)| keyed(state))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let allowance = self.refill(now, config, draft.fleet(), &name);
            let Some(mut view) = self.view(now, draft.fleet(), &name, heard) else {
                continue;
            };
            view.ring_salt = config.ring_salt;
            view.max_churn = allowance.churn;
            view.max_relief = allowance.relief;
            if !calm {
                view.max_moves = 0;
            }
            let plan = assigner::plan(config.assigner, &view);
            if let Some(budget) = self.budgets.get_mut(&name) {
                budget.churn -= plan.churn;
                budget.relief -= plan.relief;
            }
            carry_out(&name, &view, plan, calm, draft);
        }
    }

    /// The service as the assigner sees it; `None` if no target may be given ranges yet.
    fn view(
        &self,
        now: Moment,
        fleet: &Fleet,
        name: &Service,
        heard: &BTreeMap<Node, Heard>,
    ) -> Option<ServiceView> {
        let state = fleet.services.get(name)?;
        let targets: Vec<TargetView> = fleet
            .serving(name.as_str())
            .map(|(target, state)| TargetView {
                name: target.clone(),
                zone: state.info.zone.clone(),
                slots: state.info.slots,
                warmth: self.warmth(now, target, state.info.incarnation),
                speed: speed(heard, target, state.home),
            })
            .collect();
        if targets.is_empty() || !self.is_settled(now, name, state) {
            return None;
        }
        let under_way = state.ranges.iter().filter(|a| a.next.is_some()).count();
        Some(ServiceView {
            ranges: self.range_views(name, state, &targets, heard),
            targets,
            max_moves: MOVES_AT_ONCE.saturating_sub(under_way),
            max_churn: 0.0,
            max_relief: 0.0,
            ring_salt: 0,
        })
    }

    fn is_settled(&self, now: Moment, name: &Service, state: &ServiceState) -> bool {
        let untouched = state.ranges.iter().all(|a| a.cause == Cause::Created);
        let first = self.arrivals.get(name);
        !untouched || first.is_some_and(|at| now.since(*at) >= SETTLE)
    }

    /// Part of its slots that a life is counted on for; one not observed yet has just begun.
    fn warmth(&self, now: Moment, target: &Target, incarnation: Incarnation) -> f64 {
        let life = self.lives.get(target);
        match life.filter(|life| life.incarnation == incarnation) {
            Some(life) if life.cold => {
                let part = now.since(life.since).as_secs_f64() / RAMP.as_secs_f64();
                (COLD_PART + (1.0 - COLD_PART) * part).min(1.0)
            }
            Some(_) => 1.0,
            None => COLD_PART,
        }
    }

    fn refill(
        &mut self,
        now: Moment,
        config: &ControllerConfig,
        fleet: &Fleet,
        name: &Service,
    ) -> Allowance {
        let ranges = fleet.services.get(name).map(|state| &state.ranges);
        let unowned = ranges.is_some_and(|r| r.iter().all(|a| a.owner.is_none()));
        let arrival = self.arrivals.get(name);
        let arriving = arrival.is_none_or(|at| now.since(*at) < ARRIVAL);
        let budget = self.budgets.entry(name.clone()).or_insert(Budget {
            churn: if unowned { 1.0 } else { CHURN_BURST },
            relief: RELIEF_BURST,
            at: now,
        });
        let earned = now.since(budget.at).as_secs_f64() * config.churn_rate / SECONDS_PER_MINUTE;
        if budget.churn < CHURN_BURST || !arriving {
            budget.churn = (budget.churn + earned).min(CHURN_BURST);
        }
        budget.relief = (budget.relief + earned).min(RELIEF_BURST);
        budget.at = now;
        Allowance {
            churn: budget.churn,
            relief: budget.relief,
        }
    }

    fn range_views(
        &self,
        name: &Service,
        state: &ServiceState,
        targets: &[TargetView],
        heard: &BTreeMap<Node, Heard>,
    ) -> Vec<RangeView> {
        let place = |name: &Target| {
            let at = targets.binary_search_by(|t| t.name.cmp(name));
            at.map_or(Holder::Leaving, Holder::Target)
        };
        let rests = |range: KeyRange| {
            !self.resting.is_empty() && self.resting.contains_key(&(name.clone(), range))
        };
        let mut views: Vec<RangeView> = (state.ranges.iter())
            .map(|slot| RangeView {
                range: slot.range,
                holder: match (&slot.next, &slot.owner) {
                    (Some(next), _) => place(next),
                    (None, Some(owner)) => place(owner),
                    (None, None) => Holder::Unowned,
                },
                moving: slot.next.is_some() || rests(slot.range),
                rate: 0.0,
                busiest_key: None,
            })
            .collect();
        add_loads(name, heard, &mut views);
        views
    }
}

fn owners(fleet: &Fleet) -> BTreeSet<&Target> {
    let slots = fleet.services.values().flat_map(|s| &s.ranges);
    slots.filter_map(|slot| slot.owner.as_ref()).collect()
}

/// Speed of a target beside that of its peers, as its home finds it.
fn speed(heard: &BTreeMap<Node, Heard>, target: &Target, home: Option<Node>) -> f64 {
    let told = home.and_then(|home| heard.get(&home));
    let mut slow = told.into_iter().flat_map(|heard| &heard.report.slow);
    let found = slow.find(|slow| slow.target == *target);
    found.map_or(1.0, |slow| slow.slowdown.max(1.0).recip().max(LEAST_SPEED))
}

/// Adds the measured loads to the ranges; a range cut since the report gets its part by width.
fn add_loads(name: &Service, heard: &BTreeMap<Node, Heard>, views: &mut [RangeView]) {
    let loads = heard.values().flat_map(|h| &h.report.loads);
    for load in loads.filter(|load| load.service == *name) {
        let from = views.partition_point(|v| v.range.last() < load.range.first());
        let shared = views[from..]
            .iter_mut()
            .take_while(|v| v.range.first() <= load.range.last());
        let peak = load.busiest_key.as_ref();
        let rest = load.rate - peak.map_or(0.0, |p| p.rate.min(load.rate));
        for view in shared {
            view.rate += rest * shared_part(&load.range, &view.range);
            if let Some(peak) = peak.filter(|p| view.range.contains(p.hash)) {
                view.rate += peak.rate.min(load.rate);
                view.busiest_key = Some(*peak);
            }
        }
    }
}

/// Part of `whole` that lies in `part`, between 0 and 1.
fn shared_part(whole: &KeyRange, part: &KeyRange) -> f64 {
    let first: KeyHash = whole.first().max(part.first());
    let last = whole.last().min(part.last());
    let shared = KeyRange::new(first, last).map_or(0, |range| range.width());
    shared as f64 / whole.width() as f64
}

fn carry_out(name: &Service, view: &ServiceView, plan: Plan, calm: bool, draft: &mut Draft<'_>) {
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
