//! Weighted assigner: balances the weight of ranges against the capacity of targets.
//!
//! The weight of a range combines its measured load and its width; the capacity of a target follows
//! from its slots, warmth and speed. Ranges without an owner are granted at once, then ranges of
//! leaving targets move. The remaining moves answer imbalance and slow targets: each takes a range
//! from one of the targets furthest above their fair share, the one that removes the most imbalance
//! per share of keys moved, within a budget. Hot ranges are split so that their parts can move
//! separately, and cold neighbouring ranges of one owner are merged.

use super::{Holder, Placement, Plan, RangeView, ServiceView, TargetView};
use crate::{key::KeyHash, name::Zone};
use std::collections::BTreeMap;

/// Share of a range's weight that follows its measured load, if there is any; the rest follows its
/// width.
const MEASURED_LOAD_SHARE: f64 = 0.7;
/// Relative speed below which a target is slow and its ranges move on the relief budget.
const SLOW_TARGET_SPEED: f64 = 0.7;
/// Factor of the zone's utilization in the score that selects a target.
const ZONE_UTILIZATION_FACTOR: f64 = 0.1;
/// Utilization of a target, relative to a mean of 1, from which on the load counts as uneven.
const HIGH_UTILIZATION: f64 = 1.1;
/// Utilization of a target, relative to a mean of 1, up to which the load counts as uneven.
const LOW_UTILIZATION: f64 = 0.9;
/// Number of targets above their fair share that are tried as source of a move for balance.
const MAX_SOURCES_TRIED: usize = 4;
/// Largest number of moves for balance in one plan.
const MAX_BALANCE_MOVES_PER_PLAN: usize = 8;
/// Weight above which a range is split, as a fraction of the mean weight of a target.
const SPLIT_WEIGHT_FACTOR: f64 = 0.2;
/// Share of a range's load from which on its busiest key gets a range of its own.
const ISOLATED_KEY_MIN_SHARE: f64 = 0.5;
/// Total weight below which two neighbours are merged, as a fraction of the mean weight of a
/// target.
const MERGE_WEIGHT_FACTOR: f64 = 0.05;
/// Number of ranges per target above which cold neighbours are merged.
const MERGE_MIN_RANGES_PER_TARGET: usize = 16;
/// Number of ranges of a service up to which none are merged.
const MERGE_MIN_RANGES: usize = 256;
/// Largest number of splits, and of merges, in one plan.
const MAX_RANGE_CHANGES_PER_PLAN: usize = 64;

/// Plans the ranges of one service by weight and capacity.
pub fn plan(view: &ServiceView) -> Plan {
    let mut planner = Planner::new(view);
    let mut plan = Plan::default();
    planner.grant_unowned(&mut plan);
    planner.move_off_leaving(&mut plan);
    planner.balance(&mut plan);
    planner.split_hot(&mut plan);
    planner.merge_cold(&mut plan);
    plan
}

/// Working state of one plan. Weights, loads and fair shares are fractions of the service's total.
struct Planner<'a> {
    view: &'a ServiceView,
    weights: Vec<f64>,
    holders: Vec<Holder>,
    fair_shares: Vec<f64>,
    loads: Vec<f64>,
    zones: BTreeMap<&'a Zone, ZoneLoad>,
}

/// Sums over the targets of a zone.
#[derive(Debug, Default)]
struct ZoneLoad {
    fair_share: f64,
    load: f64,
}

fn weights(ranges: &[RangeView]) -> Vec<f64> {
    let total: f64 = ranges.iter().map(|r| r.rate).sum();
    let measured_share = if total > 0.0 {
        MEASURED_LOAD_SHARE
    } else {
        0.0
    };
    let weight = |r: &RangeView| {
        let load_share = if total > 0.0 { r.rate / total } else { 0.0 };
        measured_share * load_share + (1.0 - measured_share) * r.range.share()
    };
    ranges.iter().map(weight).collect()
}

fn effective_slots(target: &TargetView) -> f64 {
    f64::from(target.slots.max(1)) * target.warmth * target.speed
}

/// Sorts indices of ranges by descending weight.
fn by_weight(weights: &[f64], mut indices: Vec<usize>) -> Vec<usize> {
    indices.sort_by(|a, b| weights[*b].total_cmp(&weights[*a]).then(a.cmp(b)));
    indices
}

impl<'a> Planner<'a> {
    fn new(view: &'a ServiceView) -> Self {
        let total: f64 = view.targets.iter().map(effective_slots).sum();
        let fair_shares: Vec<f64> = view
            .targets
            .iter()
            .map(|t| effective_slots(t) / total)
            .collect();
        let mut zones: BTreeMap<&Zone, ZoneLoad> = BTreeMap::new();
        for (target, share) in view.targets.iter().zip(&fair_shares) {
            zones.entry(&target.zone).or_default().fair_share += share;
        }
        let mut planner = Planner {
            view,
            weights: weights(&view.ranges),
            holders: view.ranges.iter().map(|r| r.holder).collect(),
            loads: vec![0.0; fair_shares.len()],
            fair_shares,
            zones,
        };
        for index in 0..view.ranges.len() {
            if let Holder::Target(holder) = view.ranges[index].holder {
                planner.add_load(holder, planner.weights[index]);
            }
        }
        planner
    }

    fn add_load(&mut self, target: usize, weight: f64) {
        self.loads[target] += weight;
        if let Some(zone) = self.zones.get_mut(&self.view.targets[target].zone) {
            zone.load += weight;
        }
    }

    fn assign(&mut self, index: usize, to: usize) -> Placement {
        let weight = self.weights[index];
        if let Holder::Target(from) = self.holders[index] {
            self.add_load(from, -weight);
        }
        self.add_load(to, weight);
        self.holders[index] = Holder::Target(to);
        Placement {
            range: self.view.ranges[index].range,
            to,
        }
    }

    fn utilization(&self, target: usize) -> f64 {
        self.loads[target] / self.fair_shares[target]
    }

    fn zone_utilization(&self, target: usize) -> f64 {
        let zone = self.zones.get(&self.view.targets[target].zone);
        zone.map_or(0.0, |zone| zone.load / zone.fair_share)
    }

    /// Target that would be least utilized with this weight added, also considering its zone.
    fn least_utilized(&self, weight: f64) -> usize {
        let score = |t: usize| {
            (self.loads[t] + weight) / self.fair_shares[t]
                + ZONE_UTILIZATION_FACTOR * self.zone_utilization(t)
        };
        let targets = 0..self.fair_shares.len();
        targets
            .min_by(|a, b| score(*a).total_cmp(&score(*b)))
            .unwrap_or(0)
    }

    /// Indices of the ranges that match, by descending weight.
    fn ranges_by_weight(&self, predicate: impl Fn(&RangeView) -> bool) -> Vec<usize> {
        let indices = 0..self.view.ranges.len();
        let indices = indices.filter(|index| predicate(&self.view.ranges[*index]));
        by_weight(&self.weights, indices.collect())
    }

    fn grant_unowned(&mut self, plan: &mut Plan) {
        for index in self.ranges_by_weight(|r| r.holder == Holder::Unowned) {
            let to = self.least_utilized(self.weights[index]);
            plan.grants.push(self.assign(index, to));
        }
    }

    fn move_off_leaving(&mut self, plan: &mut Plan) {
        let leaving = self.ranges_by_weight(|r| r.holder == Holder::Leaving && !r.moving);
        for index in leaving.into_iter().take(self.view.max_moves) {
            let to = self.least_utilized(self.weights[index]);
            plan.moves.push(self.assign(index, to));
        }
    }

    fn balance(&mut self, plan: &mut Plan) {
        let max_moves = self.view.max_moves.saturating_sub(plan.moves.len());
        for _ in 0..max_moves.min(MAX_BALANCE_MOVES_PER_PLAN) {
            let Some((index, to)) = self.best_move(plan) else {
                return;
            };
            let share = self.view.ranges[index].range.share();
            match self.is_relief(index) {
                true => plan.relief += share,
                false => plan.churn += share,
            }
            plan.moves.push(self.assign(index, to));
        }
    }

    /// Whether moving the range takes load off a slow target.
    fn is_relief(&self, index: usize) -> bool {
        match self.view.ranges[index].holder {
            Holder::Target(holder) => self.view.targets[holder].speed < SLOW_TARGET_SPEED,
            Holder::Unowned | Holder::Leaving => false,
        }
    }

    /// Selects a range and the target it moves to, from one of the targets that are furthest above
    /// their fair share to the one furthest below; `None` if the load is even.
    fn best_move(&self, plan: &Plan) -> Option<(usize, usize)> {
        let by_utilization =
            |a: &usize, b: &usize| self.utilization(*a).total_cmp(&self.utilization(*b));
        let mut targets: Vec<usize> = (0..self.fair_shares.len()).collect();
        targets.sort_by(by_utilization);
        let (to, from) = (*targets.first()?, *targets.last()?);
        let is_even =
            self.utilization(from) < HIGH_UTILIZATION && self.utilization(to) > LOW_UTILIZATION;
        if is_even {
            return None;
        }
        let sources = targets.iter().rev().take(MAX_SOURCES_TRIED);
        let mut sources = sources.filter(|from| self.utilization(**from) > 1.0 && **from != to);
        sources.find_map(|from| Some((self.best_range(*from, to, plan)?, to)))
    }

    /// Range of `from` that removes the most imbalance per share of the hash space, within
    /// the budget.
    fn best_range(&self, from: usize, to: usize, plan: &Plan) -> Option<usize> {
        let budget = match self.view.targets[from].speed < SLOW_TARGET_SPEED {
            true => self.view.max_relief - plan.relief,
            false => self.view.max_churn - plan.churn,
        };
        let movable = |index: &usize| {
            let range = &self.view.ranges[*index];
            self.holders[*index] == Holder::Target(from)
                && range.holder == Holder::Target(from)
                && !range.moving
                && range.range.share() <= budget
        };
        let gain_per_share = |index: usize| {
            let gain = self.imbalance_removed(from, to, self.weights[index]);
            gain / self.view.ranges[index].range.share()
        };
        let indices = (0..self.view.ranges.len()).filter(movable);
        let best = indices.max_by(|a, b| gain_per_share(*a).total_cmp(&gain_per_share(*b)))?;
        (gain_per_share(best) > 0.0).then_some(best)
    }

    /// Imbalance removed by moving a weight: the decrease of the squared distances from the fair
    /// shares, each relative to the fair share.
    fn imbalance_removed(&self, from: usize, to: usize, weight: f64) -> f64 {
        let cost = |target: usize, change: f64| {
            let distance = self.loads[target] + change - self.fair_shares[target];
            distance * distance / self.fair_shares[target]
        };
        cost(from, 0.0) + cost(to, 0.0) - cost(from, -weight) - cost(to, weight)
    }

    /// Splits hot ranges that do not move already.
    fn split_hot(&self, plan: &mut Plan) {
        let limit = SPLIT_WEIGHT_FACTOR / self.fair_shares.len() as f64;
        let candidates = self.ranges_by_weight(|r| !r.moving && r.range.width() > 1);
        let hot = candidates.into_iter().filter(|index| {
            let range = self.view.ranges[*index].range;
            self.weights[*index] > limit && !plan.moves.iter().any(|m| m.range == range)
        });
        let points = hot.flat_map(|index| split_points(&self.view.ranges[index]));
        plan.splits = points.take(MAX_RANGE_CHANGES_PER_PLAN).collect();
    }

    /// Merges cold neighbours of one holder while there are more ranges than needed.
    fn merge_cold(&self, plan: &mut Plan) {
        let min_ranges = MERGE_MIN_RANGES.max(MERGE_MIN_RANGES_PER_TARGET * self.fair_shares.len());
        let surplus = self.view.ranges.len().saturating_sub(min_ranges);
        let limit = MERGE_WEIGHT_FACTOR / self.fair_shares.len() as f64;
        let is_stable = |index: usize| {
            let range = &self.view.ranges[index];
            !range.moving && self.holders[index] == range.holder
        };
        let mut index = 1;
        while index < self.view.ranges.len()
            && plan.merges.len() < surplus.min(MAX_RANGE_CHANGES_PER_PLAN)
        {
            let same_holder = self.holders[index] == self.holders[index - 1];
            let is_cold = self.weights[index] + self.weights[index - 1] < limit;
            if same_holder && is_cold && is_stable(index) && is_stable(index - 1) {
                plan.merges.push(self.view.ranges[index].range.first());
                index += 1;
            }
            index += 1;
        }
    }
}

/// Hashes at which a hot range is split: around its busiest key if that makes up half of the load,
/// else in the middle.
fn split_points(view: &RangeView) -> Vec<KeyHash> {
    let (first, last) = (view.range.first().0, view.range.last().0);
    let isolated = view
        .busiest_key
        .filter(|key| key.rate >= view.rate * ISOLATED_KEY_MIN_SHARE);
    let Some(key) = isolated else {
        return vec![KeyHash(first + (last - first) / 2 + 1)];
    };
    let above = key.hash.0.checked_add(1).map(KeyHash);
    let points = [Some(key.hash), above];
    points
        .into_iter()
        .flatten()
        .filter(|at| view.range.split(*at).is_some())
        .collect()
}
