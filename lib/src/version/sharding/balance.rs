//! Moves that even the load out.
//!
//! Load pattern: a few neighbouring keys get a third of the traffic within a second, and targets of
//! one service differ in speed. What counts is demand: the requests that come for a target's keys,
//! turned away or not, times the time that one takes there, over its slots. A target whose demand is
//! high gives some of its busiest keys to those with the most room.
//!
//! During a move its keys are served by nobody from the giver's heartbeat to the taker's, so a
//! giver moves just before its heartbeat is due, and a taker is preferred whose heartbeat follows
//! soon.

use super::{Candidate, Candidates, KeyLoad, MAX_ROWS_PER_TARGET, TargetLoads, load::bucket_range};
use crate::{
    moment::Moment,
    version::catalog::{KeySpan, ShardRow, ShardTable, TargetId},
};
use std::time::Duration;

/// A giver's demand is at least so much of what it can do.
const MIN_SOURCE_DEMAND: f64 = 0.85;
/// A move must lower the higher demand of the two by as much as this.
const MIN_GAIN: f64 = 0.15;
/// A giver's demand exceeds the taker's by at least so much.
const MIN_DEMAND_GAP: f64 = 0.4;
/// A giver's heartbeat is due within this span: longer than the pause between two plans.
const SOURCE_HEARTBEAT_WINDOW: Duration = Duration::from_millis(250);
/// Time between the giver's heartbeat and the one that shows that it let the keys go.
const RELEASE_DELAY: Duration = Duration::from_millis(170);
/// Demand that a second of waiting for the taker's heartbeat weighs.
const DEMAND_PER_WAIT_SECOND: f64 = 1.0;
/// Part of the load that would even the two out, so that a late report does not swing back.
const MOVED_LOAD_SHARE: f64 = 0.85;
/// Time of a request at a target that answered nothing of late, in seconds.
const DEFAULT_SERVICE_SECONDS: f64 = 0.1;
/// Spans under way at one time, for each service.
const MAX_CONCURRENT_MOVES: usize = 12;
/// Spans that one giver gives at one heartbeat.
const MAX_MOVES_PER_SOURCE: usize = 4;

/// A target with what it carries.
#[derive(Debug, Clone, Copy)]
struct TargetDemand {
    id: TargetId,
    candidate: Candidate,
    /// Part of a slot's time that one request a second takes, over all slots.
    cost: f64,
    demand: f64,
    rows: usize,
}

/// Moves that pay for themselves.
pub(super) fn balancing_moves(
    now: Moment,
    table: &ShardTable,
    candidates: &Candidates,
    load: &KeyLoad,
    targets: &TargetLoads,
) -> Vec<(KeySpan, TargetId)> {
    let moving = table.rows().iter().filter(|row| row.next.is_some());
    let mut free_moves = MAX_CONCURRENT_MOVES.saturating_sub(moving.count());
    let mut demands = target_demands(table, candidates, load, targets);
    demands.retain(|target| !is_moving(table, target.id));
    let mut sources = demands.clone();
    sources.retain(|target| {
        target.candidate.next_heartbeat.since(now) <= SOURCE_HEARTBEAT_WINDOW
            && target.demand > MIN_SOURCE_DEMAND
    });
    sources.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    let mut moves = Vec::new();
    for mut source in sources {
        // One that takes keys in this plan gives none.
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

/// Place of the taker, the span and its requests a second, if a move pays.
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
    let (span, rate) = busiest_span(source.id, table, load, even_rate * MOVED_LOAD_SHARE, moved)?;
    let higher_demand =
        (source.demand - rate * source.cost).max(destination.demand + rate * destination.cost);
    (higher_demand + MIN_GAIN < source.demand).then_some((index, span, rate))
}

/// Time from the giver's release to the taker's next heartbeat.
fn destination_wait(source: &TargetDemand, destination: &TargetDemand) -> Duration {
    let released = source.candidate.next_heartbeat + RELEASE_DELAY;
    match destination.candidate.next_heartbeat < released {
        true => Duration::from_secs(1)
            .saturating_sub(released.since(destination.candidate.next_heartbeat)),
        false => destination.candidate.next_heartbeat.since(released),
    }
}

fn target_demands(
    table: &ShardTable,
    candidates: &Candidates,
    load: &KeyLoad,
    targets: &TargetLoads,
) -> Vec<TargetDemand> {
    let movable = candidates
        .iter()
        .filter(|(_, c)| c.accepts_keys && c.may_hold);
    movable
        .map(|(id, candidate)| {
            let slots = f64::from(candidate.slots.max(1));
            let service_seconds = targets
                .service_time(*id, candidate.slots)
                .unwrap_or(DEFAULT_SERVICE_SECONDS);
            let rows = || table.rows().iter().filter(|row| row.owner == Some(*id));
            let rate: f64 = rows().map(|row| load.weight(row.span)).sum();
            TargetDemand {
                id: *id,
                candidate: *candidate,
                cost: service_seconds / slots,
                demand: rate * service_seconds / slots,
                rows: rows().count(),
            }
        })
        .collect()
}

fn is_moving(table: &ShardTable, id: TargetId) -> bool {
    let involved =
        |row: &ShardRow| row.next == Some(id) || (row.owner == Some(id) && row.next.is_some());
    table.rows().iter().any(involved)
}

/// Neighbouring keys of a target with as many requests a second as possible up to `most`, or its
/// busiest bucket if each has more.
fn busiest_span(
    id: TargetId,
    table: &ShardTable,
    load: &KeyLoad,
    max_rate: f64,
    moved: &[KeySpan],
) -> Option<(KeySpan, f64)> {
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
            // Fewer keys that carry the same load change hands at a lower price.
            let is_better = busiest.is_none_or(|(kept, kept_rate)| {
                rate > kept_rate * 1.05 || (rate > kept_rate * 0.95 && span.width() < kept.width())
            });
            if is_better {
                busiest = Some((span, rate));
            }
        }
    }
    busiest
        .filter(|(_, rate)| *rate > max_rate * 0.3)
        .or(lightest)
}
