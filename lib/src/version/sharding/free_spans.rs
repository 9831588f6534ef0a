//! Assigns keys that no target may hold, and keeps the number of rows within what leases can carry.
//!
//! The catalog assigns a span only if all its keys have the same former owner, and the stripes of one
//! target are not adjacent. A wide span over several rows is therefore assigned row by row first, and
//! merged by a second assignment to the same owner.

use super::{Candidates, KeyLoad, ProjectedLoads, max_piece_weight};
use crate::version::{
    catalog::{KeySpan, ShardRow, ShardTable, SpanGrant, TargetId},
    sharding::MAX_ROWS_PER_TARGET,
};

/// Stripes of keys per target in the first assignment. With 21 targets a stripe has 97 keys, so 200
/// adjacent busy keys are spread over three targets.
const STRIPES_PER_TARGET: usize = 32;
/// Largest number of stripes of all targets together.
const MAX_STRIPES: usize = 2_048;

/// Share of the first assignment that one slot of the usual speed gets.
const SHARE_UNIT: f64 = 1_000.0;

/// Owners for keys that no target may hold.
#[derive(Debug, Default)]
pub(super) struct FreeSpans {
    /// Assignments of spans that each lie within one row.
    pub(super) grants: Vec<SpanGrant>,
    /// Assignments that merge adjacent rows, to be applied after `grants`.
    pub(super) merges: Vec<SpanGrant>,
}

/// Assigns owners to the keys that no target may hold. Keys for which the targets have no more room
/// stay free until others join.
pub(super) fn grant_free_spans(
    table: &ShardTable,
    candidates: &Candidates,
    projected: &mut ProjectedLoads,
    load: &KeyLoad,
) -> FreeSpans {
    let is_free = |row: &&ShardRow| match row.owner {
        None => true,
        Some(owner) => {
            let is_active = candidates
                .get(&owner)
                .is_some_and(|c| c.may_hold || c.responsive);
            row.next.is_none() && !is_active
        }
    };
    let free: Vec<&ShardRow> = table.rows().iter().filter(is_free).collect();
    if free.len() == 1 && free[0].span == KeySpan::FULL {
        return FreeSpans {
            grants: initial_grants(candidates),
            merges: Vec::new(),
        };
    }
    let max_weight = max_piece_weight(projected, load);
    let single = |row: &&ShardRow| load.split(row.span, max_weight);
    let pieces: Vec<KeySpan> = free.iter().flat_map(single).collect();
    let room = projected.free_rows();
    let pieces = match pieces.len() <= room {
        true => pieces,
        false => wide_pieces(&free, room, max_weight, load),
    };
    let mut assigned = FreeSpans::default();
    for span in pieces {
        if let Some(owner) = projected.place(load.weight(span)) {
            assigned.assign(span, owner, table);
        }
    }
    assigned
}

impl FreeSpans {
    /// Adds the assignments of a free span to its owner.
    fn assign(&mut self, span: KeySpan, owner: TargetId, table: &ShardTable) {
        let grant = |span, former| SpanGrant {
            span,
            former,
            owner,
            handover: String::new(),
        };
        if let Some(former) = table.sole_owner(span) {
            self.grants.push(grant(span, former));
            return;
        }
        for row in table.rows_in(span) {
            let first = row.span.first.max(span.first);
            let last = row.span.last.min(span.last);
            self.grants.push(grant(KeySpan { first, last }, row.owner));
        }
        self.merges.push(grant(span, Some(owner)));
    }
}

/// Joins adjacent free rows and splits them by weight into at most `room` pieces, if there are not
/// more gaps between them than that.
fn wide_pieces(free: &[&ShardRow], room: usize, max_weight: f64, load: &KeyLoad) -> Vec<KeySpan> {
    let mut runs: Vec<KeySpan> = Vec::new();
    for row in free {
        match runs.last_mut() {
            Some(run) if u32::from(run.last) + 1 == u32::from(row.span.first) => {
                run.last = row.span.last;
            }
            _ => runs.push(row.span),
        }
    }
    let weight: f64 = runs.iter().map(|run| load.weight(*run)).sum();
    // Two neighbouring pieces of a run weigh more than `max_weight` together.
    let extra = room.saturating_sub(runs.len()).max(1) as f64;
    let max_weight = max_weight.max(2.0 * weight / extra);
    let pieces = runs.iter().flat_map(|run| load.split(*run, max_weight));
    pieces.collect()
}

/// Merges adjacent rows of targets that own so many rows that no more can be added.
pub(super) fn merge_owned_rows(table: &ShardTable, projected: &ProjectedLoads) -> Vec<SpanGrant> {
    let is_full = |id: &TargetId| projected.rows.get(id).copied() >= Some(MAX_ROWS_PER_TARGET);
    let rows = table.rows().iter().filter(|row| row.next.is_none());
    let rows: Vec<&ShardRow> = rows.collect();
    let is_mergeable = |one: &ShardRow, other: &ShardRow| {
        one.owner == other.owner && u32::from(one.span.last) + 1 == u32::from(other.span.first)
    };
    let runs = rows.chunk_by(|one, other| is_mergeable(one, other));
    let merge = |run: &[&ShardRow]| {
        let owner = run[0].owner.filter(is_full)?;
        let (first, last) = (run[0].span.first, run[run.len() - 1].span.last);
        (run.len() > 1).then(|| SpanGrant {
            span: KeySpan { first, last },
            former: Some(owner),
            owner,
            handover: String::new(),
        })
    };
    runs.filter_map(merge).collect()
}

/// Assigns all keys in stripes to the targets that accept keys, by smooth weighted round robin over
/// their slots and speed. Busy keys are adjacent and no load is known yet, so with one wide span per
/// target a single target could own all busy keys.
fn initial_grants(candidates: &Candidates) -> Vec<SpanGrant> {
    let accepting: Vec<(TargetId, i64)> = candidates
        .iter()
        .filter(|(_, c)| c.accepts_keys)
        .map(|(id, c)| {
            let share = f64::from(c.slots.max(1)) * SHARE_UNIT / c.slowness;
            (*id, share.max(1.0) as i64)
        })
        .collect();
    let total: i64 = accepting.iter().map(|(_, share)| share).sum();
    let count = (accepting.len() * STRIPES_PER_TARGET)
        .min(MAX_STRIPES)
        .max(accepting.len()) as u64;
    let keys = u64::from(KeySpan::FULL.width());
    let mut credits = vec![0; accepting.len()];
    let mut grants = Vec::new();
    for stripe in 0..count {
        let first = keys * stripe / count;
        let last = keys * (stripe + 1) / count - 1;
        for (credit, (_, share)) in credits.iter_mut().zip(&accepting) {
            *credit += share;
        }
        let next =
            (0..accepting.len()).max_by_key(|index| (credits[*index], std::cmp::Reverse(*index)));
        let Some(index) = next else {
            break;
        };
        credits[index] -= total;
        if let Some(span) = KeySpan::new(first as u16, last as u16) {
            grants.push(SpanGrant {
                span,
                former: None,
                owner: accepting[index].0,
                handover: String::new(),
            });
        }
    }
    grants
}
