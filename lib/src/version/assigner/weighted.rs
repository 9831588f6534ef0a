//! Assignment by weight: the load of a range, measured and by width, against the slots of targets.
//!
//! Ranges without an owner are granted at once. Ranges of targets that leave move next. What is
//! left of the moves goes to balance: each takes from the target that is furthest above its share
//! the range that removes most imbalance for the keys moved, under a churn budget. Hot ranges are
//! split so that they can move alone, cold neighbours of one owner are joined.

use super::{Holder, Placement, Plan, RangeView, TargetView, View};
use crate::{key::KeyHash, name::Zone};
use std::collections::BTreeMap;

/// Part of a range's weight that follows its measured load, where there is any.
const MEASURED_PART: f64 = 0.7;
/// Speed beside that of its peers below which a target is relieved.
const SLOW: f64 = 0.7;
/// Part of the zone's utilization in the choice of a target.
const ZONE_PART: f64 = 0.1;
/// Utilization, over a mean of 1, above which a target gives ranges away.
const HIGH_UTILIZATION: f64 = 1.1;
/// Utilization, over a mean of 1, below which a target is given ranges.
const LOW_UTILIZATION: f64 = 0.9;
/// Targets above their goals from which a move for balance is sought.
const DONORS_TRIED: usize = 4;
/// Moves for balance in one plan.
const BALANCE_MOVES: usize = 8;
/// Weight above which a range is split, as a part of the mean weight of a target.
const SPLIT_ABOVE: f64 = 0.2;
/// Part of a range's load from which on its busiest key is cut out.
const PEAK_PART: f64 = 0.5;
/// Weight of two neighbours below which they are joined, as a part of the mean weight of a target.
const MERGE_BELOW: f64 = 0.05;
/// Ranges for each target, above which cold neighbours are joined.
const MANY_RANGES: usize = 16;
/// Ranges of a service, up to which none are joined.
const FEW_RANGES: usize = 256;
/// Splits, and joins, in one plan.
const CUTS_PER_PLAN: usize = 64;

/// Plans by weight.
pub fn plan(view: &View) -> Plan {
    let mut state = State::new(view);
    let mut plan = Plan::default();
    state.grant_ownerless(&mut plan);
    state.empty_leaving(&mut plan);
    state.balance(&mut plan);
    state.split_hot(&mut plan);
    state.merge_cold(&mut plan);
    plan
}

struct State<'a> {
    view: &'a View,
    weights: Vec<f64>,
    holders: Vec<Holder>,
    goals: Vec<f64>,
    loads: Vec<f64>,
    zones: BTreeMap<&'a Zone, ZoneLoad>,
}

#[derive(Debug, Default)]
struct ZoneLoad {
    goal: f64,
    load: f64,
}

fn weights(ranges: &[RangeView]) -> Vec<f64> {
    let total: f64 = ranges.iter().map(|r| r.rate).sum();
    let measured = if total > 0.0 { MEASURED_PART } else { 0.0 };
    let weight = |r: &RangeView| {
        let part = if total > 0.0 { r.rate / total } else { 0.0 };
        measured * part + (1.0 - measured) * r.range.share()
    };
    ranges.iter().map(weight).collect()
}

fn capacity(target: &TargetView) -> f64 {
    f64::from(target.slots.max(1)) * target.warmth * target.speed
}

fn by_weight(weights: &[f64], mut places: Vec<usize>) -> Vec<usize> {
    places.sort_by(|a, b| weights[*b].total_cmp(&weights[*a]).then(a.cmp(b)));
    places
}

impl<'a> State<'a> {
    fn new(view: &'a View) -> Self {
        let total: f64 = view.targets.iter().map(capacity).sum();
        let goals: Vec<f64> = view.targets.iter().map(|t| capacity(t) / total).collect();
        let mut zones: BTreeMap<&Zone, ZoneLoad> = BTreeMap::new();
        for (target, goal) in view.targets.iter().zip(&goals) {
            zones.entry(&target.zone).or_default().goal += goal;
        }
        let mut state = State {
            view,
            weights: weights(&view.ranges),
            holders: view.ranges.iter().map(|r| r.holder).collect(),
            loads: vec![0.0; goals.len()],
            goals,
            zones,
        };
        for place in 0..view.ranges.len() {
            if let Holder::Target(at) = view.ranges[place].holder {
                state.add_load(at, state.weights[place]);
            }
        }
        state
    }

    fn add_load(&mut self, target: usize, weight: f64) {
        self.loads[target] += weight;
        if let Some(zone) = self.zones.get_mut(&self.view.targets[target].zone) {
            zone.load += weight;
        }
    }

    fn give(&mut self, place: usize, to: usize) -> Placement {
        let weight = self.weights[place];
        if let Holder::Target(from) = self.holders[place] {
            self.add_load(from, -weight);
        }
        self.add_load(to, weight);
        self.holders[place] = Holder::Target(to);
        Placement {
            range: self.view.ranges[place].range,
            to,
        }
    }

    fn utilization(&self, target: usize) -> f64 {
        self.loads[target] / self.goals[target]
    }

    fn zone_utilization(&self, target: usize) -> f64 {
        let zone = self.zones.get(&self.view.targets[target].zone);
        zone.map_or(0.0, |zone| zone.load / zone.goal)
    }

    /// Target that would be least utilized with this weight added.
    fn roomiest(&self, weight: f64) -> usize {
        let score = |t: usize| {
            (self.loads[t] + weight) / self.goals[t] + ZONE_PART * self.zone_utilization(t)
        };
        let places = 0..self.goals.len();
        places
            .min_by(|a, b| score(*a).total_cmp(&score(*b)))
            .unwrap_or(0)
    }

    fn places(&self, wanted: impl Fn(&RangeView) -> bool) -> Vec<usize> {
        let places = 0..self.view.ranges.len();
        let places = places.filter(|place| wanted(&self.view.ranges[*place]));
        by_weight(&self.weights, places.collect())
    }

    fn grant_ownerless(&mut self, plan: &mut Plan) {
        for place in self.places(|r| r.holder == Holder::Nobody) {
            let to = self.roomiest(self.weights[place]);
            plan.grants.push(self.give(place, to));
        }
    }

    fn empty_leaving(&mut self, plan: &mut Plan) {
        let leaving = self.places(|r| r.holder == Holder::Leaving && !r.moving);
        for place in leaving.into_iter().take(self.view.moves) {
            let to = self.roomiest(self.weights[place]);
            plan.moves.push(self.give(place, to));
        }
    }

    fn balance(&mut self, plan: &mut Plan) {
        let free = self.view.moves.saturating_sub(plan.moves.len());
        for _ in 0..free.min(BALANCE_MOVES) {
            let Some((place, to)) = self.best_move(plan) else {
                return;
            };
            let share = self.view.ranges[place].range.share();
            match self.is_relief(place) {
                true => plan.relief += share,
                false => plan.churn += share,
            }
            plan.moves.push(self.give(place, to));
        }
    }

    /// Whether moving the range takes load off a slow target.
    fn is_relief(&self, place: usize) -> bool {
        match self.view.ranges[place].holder {
            Holder::Target(at) => self.view.targets[at].speed < SLOW,
            Holder::Nobody | Holder::Leaving => false,
        }
    }

    /// The move that removes most imbalance for the keys moved, from one of the targets that are
    /// furthest above their goals to the one that is furthest below.
    fn best_move(&self, plan: &Plan) -> Option<(usize, usize)> {
        let order = |a: &usize, b: &usize| self.utilization(*a).total_cmp(&self.utilization(*b));
        let mut targets: Vec<usize> = (0..self.goals.len()).collect();
        targets.sort_by(order);
        let (to, from) = (*targets.first()?, *targets.last()?);
        let even =
            self.utilization(from) < HIGH_UTILIZATION && self.utilization(to) > LOW_UTILIZATION;
        if even {
            return None;
        }
        let donors = targets.iter().rev().take(DONORS_TRIED);
        let mut donors = donors.filter(|from| self.utilization(**from) > 1.0 && **from != to);
        donors.find_map(|from| Some((self.best_range(*from, to, plan)?, to)))
    }

    fn best_range(&self, from: usize, to: usize, plan: &Plan) -> Option<usize> {
        let left = match self.view.targets[from].speed < SLOW {
            true => self.view.relief - plan.relief,
            false => self.view.churn - plan.churn,
        };
        let movable = |place: &usize| {
            let range = &self.view.ranges[*place];
            self.holders[*place] == Holder::Target(from)
                && range.holder == Holder::Target(from)
                && !range.moving
                && range.range.share() <= left
        };
        let value = |place: usize| {
            let gain = self.gain(from, to, self.weights[place]);
            gain / self.view.ranges[place].range.share()
        };
        let places = (0..self.view.ranges.len()).filter(movable);
        let best = places.max_by(|a, b| value(*a).total_cmp(&value(*b)))?;
        (value(best) > 0.0).then_some(best)
    }

    /// Imbalance removed by moving a weight: the fall of the squared distances from the goals.
    fn gain(&self, from: usize, to: usize, weight: f64) -> f64 {
        let cost = |target: usize, change: f64| {
            let distance = self.loads[target] + change - self.goals[target];
            distance * distance / self.goals[target]
        };
        cost(from, 0.0) + cost(to, 0.0) - cost(from, -weight) - cost(to, weight)
    }

    fn split_hot(&self, plan: &mut Plan) {
        let limit = SPLIT_ABOVE / self.goals.len() as f64;
        let hot = self.places(|r| !r.moving && r.range.width() > 1);
        let hot = hot.into_iter().filter(|place| {
            let range = self.view.ranges[*place].range;
            self.weights[*place] > limit && !plan.moves.iter().any(|m| m.range == range)
        });
        let cuts = hot.flat_map(|place| cuts(&self.view.ranges[place]));
        plan.splits = cuts.take(CUTS_PER_PLAN).collect();
    }

    fn merge_cold(&self, plan: &mut Plan) {
        let many = FEW_RANGES.max(MANY_RANGES * self.goals.len());
        let surplus = self.view.ranges.len().saturating_sub(many);
        let limit = MERGE_BELOW / self.goals.len() as f64;
        let still = |place: usize| {
            let range = &self.view.ranges[place];
            !range.moving && self.holders[place] == range.holder
        };
        let mut place = 1;
        while place < self.view.ranges.len() && plan.merges.len() < surplus.min(CUTS_PER_PLAN) {
            let same = self.holders[place] == self.holders[place - 1];
            let cold = self.weights[place] + self.weights[place - 1] < limit;
            if same && cold && still(place) && still(place - 1) {
                plan.merges.push(self.view.ranges[place].range.first());
                place += 1;
            }
            place += 1;
        }
    }
}

/// Where to cut a hot range: around a key that makes up half of its load, else in the middle.
fn cuts(view: &RangeView) -> Vec<KeyHash> {
    let (first, last) = (view.range.first().0, view.range.last().0);
    let alone = view.peak.filter(|peak| peak.rate >= view.rate * PEAK_PART);
    let Some(peak) = alone else {
        return vec![KeyHash(first + (last - first) / 2 + 1)];
    };
    let above = peak.hash.0.checked_add(1).map(KeyHash);
    let around = [Some(peak.hash), above];
    around
        .into_iter()
        .flatten()
        .filter(|at| view.range.split(*at).is_some())
        .collect()
}
