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

use super::{Candidate, Candidates, KeyLoad, ROWS_MOST, TargetLoads, load::bucket_range};
use crate::{
    moment::Moment,
    version::catalog::{KeySpan, Row, ShardTable, TargetId},
};
use std::time::Duration;

/// A giver's demand is at least so much of what it can do.
const BUSY: f64 = 0.85;
/// A move must lower the higher demand of the two by as much as this.
const LEAST_GAIN: f64 = 0.15;
/// A giver's demand exceeds the taker's by at least so much.
const LEAST_GAP: f64 = 0.4;
/// A giver's heartbeat is due within this span: longer than the pause between two plans.
const DUE_WITHIN: Duration = Duration::from_millis(250);
/// Time between the giver's heartbeat and the one that shows that it let the keys go.
const RELEASE_TIME: Duration = Duration::from_millis(170);
/// Demand that a second of waiting for the taker's heartbeat weighs.
const WAIT_WEIGHT: f64 = 1.0;
/// Part of the load that would even the two out, so that a late report does not swing back.
const CAUTION: f64 = 0.85;
/// Time of a request at a target that answered nothing of late, in seconds.
const UNKNOWN_WORK: f64 = 0.1;
/// Spans under way at one time, for each service.
const MOVES_AT_ONCE: usize = 12;
/// Spans that one giver gives at one heartbeat.
const MOVES_OF_ONE: usize = 4;

/// A target with what it carries.
#[derive(Debug, Clone, Copy)]
struct Loaded {
    id: TargetId,
    candidate: Candidate,
    /// Part of a slot's time that one request a second takes, over all slots.
    cost: f64,
    demand: f64,
    rows: usize,
}

/// Moves that pay for themselves.
pub(super) fn moves(
    now: Moment,
    table: &ShardTable,
    candidates: &Candidates,
    load: &KeyLoad,
    targets: &TargetLoads,
) -> Vec<(KeySpan, TargetId)> {
    let moving = table.rows().iter().filter(|row| row.next.is_some());
    let mut room = MOVES_AT_ONCE.saturating_sub(moving.count());
    let mut loaded = loads(table, candidates, load, targets);
    loaded.retain(|one| !is_moving(table, one.id));
    let mut givers = loaded.clone();
    givers.retain(|one| one.candidate.due.since(now) <= DUE_WITHIN && one.demand > BUSY);
    givers.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    let mut moves = Vec::new();
    for mut giver in givers {
        // One that takes keys in this plan gives none.
        let changed = loaded
            .iter()
            .any(|l| l.id == giver.id && l.demand != giver.demand);
        let mut given: Vec<KeySpan> = Vec::new();
        while !changed && room > 0 && given.len() < MOVES_OF_ONE {
            let Some((at, span, rate)) = best_move(&giver, &loaded, &given, table, load) else {
                break;
            };
            giver.demand -= rate * giver.cost;
            loaded[at].demand += rate * loaded[at].cost;
            given.push(span);
            room -= 1;
            loaded[at].rows += 1;
            moves.push((span, loaded[at].id));
        }
        if !given.is_empty() {
            loaded.retain(|one| one.id != giver.id);
        }
    }
    moves
}

/// Place of the taker, the span and its requests a second, if a move pays.
fn best_move(
    giver: &Loaded,
    loaded: &[Loaded],
    given: &[KeySpan],
    table: &ShardTable,
    load: &KeyLoad,
) -> Option<(usize, KeySpan, f64)> {
    let cost = |one: &Loaded| one.demand + wait(giver, one).as_secs_f64() * WAIT_WEIGHT;
    let free = loaded.iter().enumerate();
    let free = free.filter(|(_, one)| one.id != giver.id && one.rows < ROWS_MOST);
    let free = free.filter(|(_, one)| one.candidate.cold.is_zero());
    let (at, taker) = free.min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))?;
    let gap = giver.demand - taker.demand;
    if gap < LEAST_GAP {
        return None;
    }
    let even = gap / (giver.cost + taker.cost);
    let (span, rate) = busiest_part(giver.id, table, load, even * CAUTION, given)?;
    let after = (giver.demand - rate * giver.cost).max(taker.demand + rate * taker.cost);
    (after + LEAST_GAIN < giver.demand).then_some((at, span, rate))
}

/// Time from the giver's release to the taker's next heartbeat.
fn wait(giver: &Loaded, taker: &Loaded) -> Duration {
    let released = giver.candidate.due + RELEASE_TIME;
    match taker.candidate.due < released {
        true => Duration::from_secs(1).saturating_sub(released.since(taker.candidate.due)),
        false => taker.candidate.due.since(released),
    }
}

fn loads(
    table: &ShardTable,
    candidates: &Candidates,
    load: &KeyLoad,
    targets: &TargetLoads,
) -> Vec<Loaded> {
    let open = candidates.iter().filter(|(_, c)| c.open && c.holding);
    open.map(|(id, candidate)| {
        let slots = f64::from(candidate.slots.max(1));
        let work = targets.work(*id, candidate.slots).unwrap_or(UNKNOWN_WORK);
        let mine = || table.rows().iter().filter(|row| row.owner == Some(*id));
        let rate: f64 = mine().map(|row| load.weight(row.span)).sum();
        Loaded {
            id: *id,
            candidate: *candidate,
            cost: work / slots,
            demand: rate * work / slots,
            rows: mine().count(),
        }
    })
    .collect()
}

fn is_moving(table: &ShardTable, id: TargetId) -> bool {
    let involved =
        |row: &Row| row.next == Some(id) || (row.owner == Some(id) && row.next.is_some());
    table.rows().iter().any(involved)
}

/// Neighbouring keys of a target with as many requests a second as possible up to `most`, or its
/// busiest bucket if each has more.
fn busiest_part(
    id: TargetId,
    table: &ShardTable,
    load: &KeyLoad,
    most: f64,
    given: &[KeySpan],
) -> Option<(KeySpan, f64)> {
    let mut best: Option<(KeySpan, f64)> = None;
    let mut least: Option<(KeySpan, f64)> = None;
    for row in table.rows().iter().filter(|row| row.owner == Some(id)) {
        let (mut low, mut weight) = (*bucket_range(row.span).start(), 0.0);
        for high in bucket_range(row.span) {
            let part = load.part(row.span, high);
            if given.iter().any(|span| span.overlaps(&part)) {
                (low, weight) = (high + 1, 0.0);
                continue;
            }
            let own = load.weight(part);
            if own > most && least.is_none_or(|(_, found)| own < found) {
                least = Some((part, own));
            }
            weight += own;
            while weight > most && low <= high {
                weight -= load.weight(load.part(row.span, low));
                low += 1;
            }
            if low > high {
                continue;
            }
            let span = KeySpan {
                first: load.part(row.span, low).first,
                last: part.last,
            };
            // Fewer keys that carry the same load change hands at a lower price.
            let better = best.is_none_or(|(kept, found)| {
                weight > found * 1.05 || (weight > found * 0.95 && span.width() < kept.width())
            });
            if better {
                best = Some((span, weight));
            }
        }
    }
    best.filter(|(_, weight)| *weight > most * 0.3).or(least)
}
