//! Decides which key spans move between targets to balance their load.
//!
//! Load pattern: a few adjacent keys get a third of the traffic within a second, and the targets of
//! one service differ in speed. Targets are compared by demand: requests per second for the keys of
//! the target, rejected ones included, times its service time, divided by its slots, or divided by
//! the limit that the target has named, if that is more. A target with high demand gives some of its
//! busiest keys to targets with low demand.
//!
//! While keys move, nobody serves them from the heartbeat of the source to the heartbeat of the
//! destination. A move therefore begins just before the heartbeat of the source is due, and prefers
//! a destination whose heartbeat follows soon.
//!
//! After most targets have ended and are back, a few own nearly all keys and serve a small part of
//! the requests. Moving a few spans at a time would take minutes, and requests for keys that move are
//! lost in any case, so such a target gives all keys above the mean demand at one heartbeat.

use super::{Candidate, Candidates, KeyLoad, MAX_ROWS_PER_TARGET, TargetLoads, load::bucket_range};
use crate::{
    moment::Moment,
    version::catalog::{KeySpan, ShardRow, ShardTable, TargetId},
};
use std::{ops::Range, time::Duration};

/// Demand above which a target is a source of moves; 1 is all that its slots can serve.
const MIN_SOURCE_DEMAND: f64 = 0.85;
/// Least reduction of the higher of both demands for which a move is worthwhile.
const MIN_GAIN: f64 = 0.15;
/// Smallest part of the load to be moved that is worth a move.
const MIN_MOVED_SHARE: f64 = 0.3;
/// Least difference between the demands of source and destination.
const MIN_DEMAND_GAP: f64 = 0.4;
/// The heartbeat of a source must be due within this time. Longer than the interval between two
/// plans, so that no heartbeat is missed.
const SOURCE_HEARTBEAT_WINDOW: Duration = Duration::from_millis(250);
/// Time from the heartbeat at which the source is asked for keys to the one that shows their
/// release.
const RELEASE_DELAY: Duration = Duration::from_millis(170);
/// Demand that is equivalent to a second of waiting for the heartbeat of the destination.
const DEMAND_PER_WAIT_SECOND: f64 = 1.0;
/// Share of the load that would equalize both targets that is moved at most. Below 1, because
/// reports lag and a full move could overshoot and be reversed.
const MOVED_LOAD_SHARE: f64 = 0.85;
/// Service time assumed for a target without recent answers, in seconds.
pub(super) const DEFAULT_SERVICE_SECONDS: f64 = 0.1;
/// Largest number of spans of one service that move at the same time.
const MAX_CONCURRENT_MOVES: usize = 12;
/// Largest number of spans that one source gives at one heartbeat.
const MAX_MOVES_PER_SOURCE: usize = 4;

/// Demand above which a target gives all keys above the mean demand at one heartbeat.
const RELIEF_DEMAND: f64 = 1.25;
/// Targets for each one that is nearly idle, at most, for such a relief. With fewer idle ones the load
/// is uneven because some keys are busy, and few moves suffice.
const TARGETS_PER_IDLE: usize = 4;
/// Largest piece that is moved for relief, as a share of the mean demand.
const RELIEF_PIECE: f64 = 0.25;

/// Target with its demand.
#[derive(Debug, Clone, Copy)]
struct TargetDemand {
    id: TargetId,
    candidate: Candidate,
    /// Demand that one request per second adds.
    cost: f64,
    /// Share of the time of all slots that the requests for the target's keys need; may exceed 1.
    demand: f64,
    /// Number of rows that the target owns.
    rows: usize,
}

/// Returns the moves that balance the load, if they are worthwhile.
pub(super) fn load_moves(
    now: Moment,
    table: &ShardTable,
    candidates: &Candidates,
    load: &KeyLoad,
    targets: &TargetLoads,
) -> Vec<(KeySpan, TargetId)> {
    let demands = target_demands(table, candidates, load, targets);
    let relief = relief_moves(table, &demands, load);
    match relief.is_empty() {
        true => balancing_moves(now, table, demands, load),
        false => relief,
    }
}

/// Returns the moves that bring targets far above their slots down to the mean demand. Each
/// destination gets adjacent keys up to the mean.
fn relief_moves(
    table: &ShardTable,
    demands: &[TargetDemand],
    load: &KeyLoad,
) -> Vec<(KeySpan, TargetId)> {
    let total: f64 = demands.iter().map(|target| target.demand).sum();
    let mean = total / demands.len().max(1) as f64;
    let is_source = |target: &TargetDemand| {
        let is_overloaded = target.demand > RELIEF_DEMAND && target.demand > 2.0 * mean;
        is_overloaded && target.candidate.may_hold && !is_moving(table, target.id)
    };
    let is_destination = |target: &TargetDemand| {
        let is_idle = target.demand < mean / 2.0 && target.rows < MAX_ROWS_PER_TARGET;
        is_idle && target.candidate.cold_left.is_zero() && !is_moving(table, target.id)
    };
    let mut destinations: Vec<TargetDemand> = demands.to_vec();
    destinations.retain(is_destination);
    if destinations.len() * TARGETS_PER_IDLE < demands.len() {
        return Vec::new();
    }
    let mut moves = Vec::new();
    for mut source in demands.iter().copied().filter(is_source) {
        let max_weight = mean * RELIEF_PIECE / source.cost;
        let rows = table.rows().iter();
        let rows = rows.filter(|row| row.owner == Some(source.id));
        for span in rows.flat_map(|row| load.split(row.span, max_weight)) {
            let Some(destination) = destinations.last_mut() else {
                return moves;
            };
            let weight = load.weight(span);
            source.demand -= weight * source.cost;
            if source.demand < mean {
                break;
            }
            destination.demand += weight * destination.cost;
            destination.rows += 1;
            moves.push((span, destination.id));
            if destination.demand >= mean || destination.rows >= MAX_ROWS_PER_TARGET {
                destinations.pop();
            }
        }
    }
    moves
}

/// Returns the moves that reduce the demand on overloaded targets enough to be worthwhile.
fn balancing_moves(
    now: Moment,
    table: &ShardTable,
    mut demands: Vec<TargetDemand>,
    load: &KeyLoad,
) -> Vec<(KeySpan, TargetId)> {
    let moving = table.rows().iter().filter(|row| row.next.is_some());
    let mut free_moves = MAX_CONCURRENT_MOVES.saturating_sub(moving.count());
    demands.retain(|target| !is_moving(table, target.id));
    let mut sources = demands.clone();
    sources.retain(|target| {
        target.candidate.may_hold
            && target.candidate.next_heartbeat.since(now) <= SOURCE_HEARTBEAT_WINDOW
            && target.demand > MIN_SOURCE_DEMAND
    });
    sources.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    let mut moves = Vec::new();
    for mut source in sources {
        // A target that gets keys by this plan gives none.
        let is_destination = demands
            .iter()
            .any(|target| target.id == source.id && target.demand != source.demand);
        let mut moved: Vec<KeySpan> = Vec::new();
        while !is_destination && free_moves > 0 && moved.len() < MAX_MOVES_PER_SOURCE {
            let Some((index, span, rate)) = find_move(&source, &demands, &moved, table, load)
            else {
                break;
            };
            source.demand -= rate * source.cost;
            demands[index].demand += rate * demands[index].cost;
            moved.push(span);
            free_moves -= 1;
            demands[index].rows += 1;
            moves.push((span, demands[index].id));
        }
        if !moved.is_empty() {
            demands.retain(|target| target.id != source.id);
        }
    }
    moves
}

/// Finds a worthwhile move off the source: index of the destination in `demands`, the span and its
/// requests per second.
fn find_move(
    source: &TargetDemand,
    demands: &[TargetDemand],
    moved: &[KeySpan],
    table: &ShardTable,
    load: &KeyLoad,
) -> Option<(usize, KeySpan, f64)> {
    let placement_cost = |target: &TargetDemand| {
        target.demand + destination_wait(source, target).as_secs_f64() * DEMAND_PER_WAIT_SECOND
    };
    let eligible = demands.iter().enumerate();
    let eligible =
        eligible.filter(|(_, target)| target.id != source.id && target.rows < MAX_ROWS_PER_TARGET);
    let eligible = eligible.filter(|(_, target)| target.candidate.cold_left.is_zero());
    let (index, destination) =
        eligible.min_by(|a, b| placement_cost(a.1).total_cmp(&placement_cost(b.1)))?;
    let gap = source.demand - destination.demand;
    if gap < MIN_DEMAND_GAP {
        return None;
    }
    let even_rate = gap / (source.cost + destination.cost);
    let max_rate = even_rate * MOVED_LOAD_SHARE;
    // What exceeds a limit is rejected, so each move lets more requests be served.
    let (min_share, min_gain) = match source.candidate.limit {
        Some(_) => (0.0, 0.0),
        None => (MIN_MOVED_SHARE, MIN_GAIN),
    };
    let rates = max_rate * min_share..max_rate;
    let (span, rate) = busiest_span(source.id, table, load, rates, moved)?;
    let higher_demand =
        (source.demand - rate * source.cost).max(destination.demand + rate * destination.cost);
    (higher_demand + min_gain < source.demand).then_some((index, span, rate))
}

/// Time from the release by the source to the next heartbeat of the destination.
fn destination_wait(source: &TargetDemand, destination: &TargetDemand) -> Duration {
    let released = source.candidate.next_heartbeat + RELEASE_DELAY;
    match destination.candidate.next_heartbeat < released {
        true => Duration::from_secs(1)
            .saturating_sub(released.since(destination.candidate.next_heartbeat)),
        false => destination.candidate.next_heartbeat.since(released),
    }
}

/// Demands of the targets that can take part in a move.
fn target_demands(
    table: &ShardTable,
    candidates: &Candidates,
    load: &KeyLoad,
    targets: &TargetLoads,
) -> Vec<TargetDemand> {
    let movable = candidates.iter().filter(|(_, c)| c.accepts_keys);
    movable
        .map(|(id, candidate)| {
            let slots = f64::from(candidate.slots.max(1));
            let service_seconds = targets
                .service_time(*id, candidate.slots)
                .unwrap_or(DEFAULT_SERVICE_SECONDS);
            let rows = || table.rows().iter().filter(|row| row.owner == Some(*id));
            let cost = (service_seconds / slots).max(candidate.limit_seconds());
            let rate: f64 = rows().map(|row| load.weight(row.span)).sum();
            TargetDemand {
                id: *id,
                candidate: *candidate,
                cost,
                demand: rate * cost,
                rows: rows().count(),
            }
        })
        .collect()
}

/// Whether a move from or to the target is under way.
fn is_moving(table: &ShardTable, id: TargetId) -> bool {
    let involved =
        |row: &ShardRow| row.next == Some(id) || (row.owner == Some(id) && row.next.is_some());
    table.rows().iter().any(involved)
}

/// Finds the adjacent keys of a target with the most requests per second within `rates`. If none are,
/// falls back to the lightest bucket above them. Skips the spans in `moved`.
fn busiest_span(
    id: TargetId,
    table: &ShardTable,
    load: &KeyLoad,
    rates: Range<f64>,
    moved: &[KeySpan],
) -> Option<(KeySpan, f64)> {
    let max_rate = rates.end;
    let mut busiest: Option<(KeySpan, f64)> = None;
    let mut lightest: Option<(KeySpan, f64)> = None;
    for row in table.rows().iter().filter(|row| row.owner == Some(id)) {
        let (mut low, mut rate) = (*bucket_range(row.span).start(), 0.0);
        for high in bucket_range(row.span) {
            let part = load.bucket_part(row.span, high);
            if moved.iter().any(|span| span.overlaps(&part)) {
                (low, rate) = (high + 1, 0.0);
                continue;
            }
            let part_rate = load.weight(part);
            if part_rate > max_rate
                && lightest.is_none_or(|(_, lightest_rate)| part_rate < lightest_rate)
            {
                lightest = Some((part, part_rate));
            }
            rate += part_rate;
            while rate > max_rate && low <= high {
                rate -= load.weight(load.bucket_part(row.span, low));
                low += 1;
            }
            if low > high {
                continue;
            }
            let span = KeySpan {
                first: load.bucket_part(row.span, low).first,
                last: part.last,
            };
            // At a similar rate a narrower span is better: fewer keys go unserved during the move.
            let is_better = busiest.is_none_or(|(kept, kept_rate)| {
                rate > kept_rate * 1.05 || (rate > kept_rate * 0.95 && span.width() < kept.width())
            });
            if is_better {
                busiest = Some((span, rate));
            }
        }
    }
    busiest.filter(|(_, rate)| *rate > rates.start).or(lightest)
}
