//! Moves that even the load out.
//!
//! Load pattern: a few neighbouring keys get a third of the traffic within a second, and targets of
//! one service differ in speed. A target whose requests pile up gives part of its busiest keys to
//! the one with the most room. The load of a target is the number of requests under way there
//! (Little's law), so a slow target counts as loaded without its speed being known.
//!
//! During a move its keys are served by nobody from the giver's heartbeat to the taker's, so a
//! giver moves just before its heartbeat is due, and a taker is preferred whose heartbeat follows
//! soon.

use super::{Candidate, Candidates, KeyLoad, load::bucket_range};
use crate::{
    moment::Moment,
    name::Service,
    version::catalog::{KeySpan, Row, ShardTable, TargetId, Update},
};
use std::time::Duration;

/// A giver has at least so many requests under way for each slot.
const BUSY: f64 = 0.7;
/// A move must lower the giver's requests for each slot by as much as this over the taker's.
const LEAST_GAIN: f64 = 0.25;
/// A giver's heartbeat is due within this span: longer than the pause between two plans.
const DUE_WITHIN: Duration = Duration::from_millis(250);
/// Time between the giver's heartbeat and the one that shows that it let the keys go.
const RELEASE_TIME: Duration = Duration::from_millis(120);
/// Requests for each slot that a second of waiting for the taker's heartbeat weighs.
const WAIT_WEIGHT: f64 = 0.4;
/// Part of the load that would even the two out, so that a late report does not swing back.
const CAUTION: f64 = 0.8;
/// Latency taken for a target that answered nothing of late, in seconds.
const UNKNOWN_LATENCY: f64 = 0.1;
/// Spans under way at one time, for each service.
const MOVES_AT_ONCE: usize = 8;

/// A target with what it carries.
#[derive(Debug, Clone, Copy)]
struct Loaded {
    id: TargetId,
    candidate: Candidate,
    open: f64,
    latency: f64,
}

impl Loaded {
    fn pressure(&self) -> f64 {
        self.open / f64::from(self.candidate.slots.max(1))
    }
}

/// Moves that pay for themselves, at most one for each giver and taker.
pub(super) fn moves(
    now: Moment,
    service: &Service,
    table: &ShardTable,
    candidates: &Candidates,
    load: &KeyLoad,
) -> Vec<Update> {
    let moving = table.rows().iter().filter(|row| row.next.is_some());
    let mut room = MOVES_AT_ONCE.saturating_sub(moving.count());
    let mut loaded = loads(candidates, load);
    loaded.retain(|one| !is_moving(table, one.id));
    loaded.sort_by(|a, b| b.pressure().total_cmp(&a.pressure()));
    let mut taken: Vec<TargetId> = Vec::new();
    let mut updates = Vec::new();
    for giver in &loaded {
        if room == 0 || giver.pressure() < BUSY {
            break;
        }
        if giver.candidate.due.since(now) > DUE_WITHIN || taken.contains(&giver.id) {
            continue;
        }
        let found = best_move(giver, &loaded, &taken, table, load);
        if let Some((taker, span)) = found {
            taken.extend([giver.id, taker]);
            room -= 1;
            updates.push(Update::Move {
                service: service.clone(),
                span,
                next: taker,
            });
        }
    }
    updates
}

/// The taker and the span that serve best, if a move pays.
fn best_move(
    giver: &Loaded,
    loaded: &[Loaded],
    taken: &[TargetId],
    table: &ShardTable,
    load: &KeyLoad,
) -> Option<(TargetId, KeySpan)> {
    let free = loaded.iter().filter(|one| {
        one.id != giver.id && one.candidate.cold.is_zero() && !taken.contains(&one.id)
    });
    let cost = |one: &Loaded| one.pressure() + wait(giver, one).as_secs_f64() * WAIT_WEIGHT;
    let taker = free.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    if giver.pressure() - taker.pressure() < LEAST_GAIN {
        return None;
    }
    let even = (giver.open - taker.open) / (giver.latency + taker.latency);
    let span = busiest_part(giver.id, table, load, even * CAUTION)?;
    Some((taker.id, span))
}

/// Time from the giver's release to the taker's next heartbeat.
fn wait(giver: &Loaded, taker: &Loaded) -> Duration {
    let released = giver.candidate.due + RELEASE_TIME;
    match taker.candidate.due < released {
        true => Duration::from_secs(1).saturating_sub(released.since(taker.candidate.due)),
        false => taker.candidate.due.since(released),
    }
}

fn loads(candidates: &Candidates, load: &KeyLoad) -> Vec<Loaded> {
    let open = candidates.iter().filter(|(_, c)| c.open && c.holding);
    open.map(|(id, candidate)| {
        let seen = load.target(*id);
        Loaded {
            id: *id,
            candidate: *candidate,
            open: seen.open,
            latency: seen.latency().unwrap_or(UNKNOWN_LATENCY),
        }
    })
    .collect()
}

fn is_moving(table: &ShardTable, id: TargetId) -> bool {
    let involved =
        |row: &Row| row.next == Some(id) || (row.owner == Some(id) && row.next.is_some());
    table.rows().iter().any(involved)
}

/// Neighbouring keys of a target's busiest row that make up at most `most` requests a second.
fn busiest_part(id: TargetId, table: &ShardTable, load: &KeyLoad, most: f64) -> Option<KeySpan> {
    let mine = table.rows().iter().filter(|row| row.owner == Some(id));
    let row = mine.max_by(|a, b| load.weight(a.span).total_cmp(&load.weight(b.span)))?;
    let mut best: Option<(f64, KeySpan)> = None;
    let mut low = *bucket_range(row.span).start();
    let mut weight = 0.0;
    for high in bucket_range(row.span) {
        weight += load.weight(load.part(row.span, high));
        while weight > most && low <= high {
            weight -= load.weight(load.part(row.span, low));
            low += 1;
        }
        if low > high {
            continue;
        }
        let span = KeySpan {
            first: load.part(row.span, low).first,
            last: load.part(row.span, high).last,
        };
        // Fewer keys carry the same load at a lower price.
        let better = best.is_none_or(|(found, kept)| {
            weight > found * 1.05 || (weight > found * 0.95 && span.width() < kept.width())
        });
        if better {
            best = Some((weight, span));
        }
    }
    best.filter(|(weight, _)| *weight > most * 0.2)
        .map(|(_, span)| span)
}
