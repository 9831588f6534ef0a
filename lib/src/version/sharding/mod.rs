//! Which target gets which keys of a service whose keys are numbers.
//!
//! [`plan`] looks at the catalog, at who is well, and at the measured load, and proposes updates:
//! owners for keys that nobody may hold, moves off targets that are to be emptied, and moves that
//! even the load out. It is called often; each call proposes little.

mod balance;
mod load;

pub use self::load::{KEYS_PER_BUCKET, KeyLoad, MIN_RELIABLE_RATE, TargetLoad, TargetLoads};

use crate::{
    moment::Moment,
    name::Service,
    version::catalog::{Catalog, KeySpan, ShardRow, ShardTable, SpanGrant, TargetId, Update},
};
use std::{collections::BTreeMap, time::Duration};

/// Cold targets count for so much of their slots when keys without an owner are given out.
const COLD_CAPACITY_SHARE: f64 = 0.5;
/// Keys of a lost target are spread in pieces of at most this share of the mean target's keys.
const MAX_PIECE_SHARE: f64 = 0.5;
/// Stripes of keys that each target gets at first: with 21 targets, 97 keys each, so 200 busy
/// neighbours lie on three targets.
const STRIPES_PER_TARGET: usize = 32;
/// Stripes of all targets together.
const MAX_STRIPES: usize = 2_048;
/// Rows of one target beyond which it gets no more: an answer to a heartbeat has room for 4 KiB, and
/// a row takes up to 28 bytes, or 44 with a handover, which few have.
const MAX_ROWS_PER_TARGET: usize = 80;

/// What the leader knows of a target beside the catalog.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it may get keys.
    pub accepts_keys: bool,
    /// Whether it sends heartbeats, so that it will take the keys that it owns.
    pub responsive: bool,
    /// Whether it may still hold those that it owns.
    pub may_hold: bool,
    /// How much longer it is cold.
    pub cold_left: Duration,
    /// When its next heartbeat is due.
    pub next_heartbeat: Moment,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Candidates of one service.
pub type Candidates = BTreeMap<TargetId, Candidate>;

/// Updates that a keyed service needs now.
pub fn plan(
    now: Moment,
    service: &Service,
    catalog: &Catalog,
    candidates: &Candidates,
    load: &KeyLoad,
    targets: &TargetLoads,
) -> Vec<Update> {
    let unassigned = ShardTable::default();
    let table = catalog.shards.get(service).unwrap_or(&unassigned);
    let accepting_count = candidates.iter().filter(|(_, c)| c.accepts_keys).count();
    if accepting_count == 0 {
        return Vec::new();
    }
    let mut projected = ProjectedLoads::new(table, candidates, load);
    let grants = grant_free_spans(table, candidates, &mut projected, load);
    let mut spans = drain_moves(table, candidates, &mut projected, load);
    if spans.is_empty() && grants.is_empty() {
        spans = balance::balancing_moves(now, table, candidates, load, targets);
    }
    let mut updates = Vec::new();
    if !spans.is_empty() {
        updates.push(Update::Move {
            service: service.clone(),
            spans,
        });
    }
    if !grants.is_empty() {
        updates.push(Update::Assign {
            service: service.clone(),
            grants,
        });
    }
    updates
}

/// Load that each open target has or will have, over what it can carry.
#[derive(Debug)]
struct ProjectedLoads {
    capacities: BTreeMap<TargetId, f64>,
    loads: BTreeMap<TargetId, f64>,
    rows: BTreeMap<TargetId, usize>,
}

impl ProjectedLoads {
    fn new(table: &ShardTable, candidates: &Candidates, load: &KeyLoad) -> Self {
        let capacities = candidates
            .iter()
            .filter(|(_, c)| c.accepts_keys)
            .map(|(id, c)| {
                let share = if c.cold_left.is_zero() {
                    1.0
                } else {
                    COLD_CAPACITY_SHARE
                };
                (*id, f64::from(c.slots.max(1)) * share)
            })
            .collect();
        let mut loads: BTreeMap<TargetId, f64> = BTreeMap::new();
        let mut rows: BTreeMap<TargetId, usize> = BTreeMap::new();
        for row in table.rows() {
            if let Some(owner) = row.next.or(row.owner) {
                *rows.entry(owner).or_default() += 1;
                *loads.entry(owner).or_default() += load.weight(row.span);
            }
        }
        ProjectedLoads {
            capacities,
            loads,
            rows,
        }
    }

    fn total_capacity(&self) -> f64 {
        self.capacities.values().sum()
    }

    /// The target with the most room, which takes the load on.
    fn place(&mut self, weight: f64) -> Option<TargetId> {
        let loads = &self.loads;
        let after = |id: &TargetId, capacity: f64| {
            (loads.get(id).copied().unwrap_or_default() + weight) / capacity
        };
        let rows = |id: &TargetId| self.rows.get(id).copied().unwrap_or_default();
        // Keys must be served by somebody, so a full target is only the last choice.
        let rank =
            |id: &TargetId, capacity: f64| (rows(id) >= MAX_ROWS_PER_TARGET, after(id, capacity));
        let (id, _) = self.capacities.iter().min_by(|a, b| {
            let (one, other) = (rank(a.0, *a.1), rank(b.0, *b.1));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        })?;
        let id = *id;
        *self.rows.entry(id).or_default() += 1;
        *self.loads.entry(id).or_default() += weight;
        Some(id)
    }
}

/// Owners for the keys that nobody may hold.
fn grant_free_spans(
    table: &ShardTable,
    candidates: &Candidates,
    projected: &mut ProjectedLoads,
    load: &KeyLoad,
) -> Vec<SpanGrant> {
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
        return initial_grants(candidates);
    }
    let mut grants = Vec::new();
    for row in free {
        for span in split_span(row.span, projected, load) {
            if let Some(owner) = projected.place(load.weight(span)) {
                grants.push(SpanGrant {
                    span,
                    former: row.owner,
                    owner,
                    handover: String::new(),
                });
            }
        }
    }
    grants
}

/// All keys in stripes that go round the open targets by their slots. Busy keys are neighbours, so
/// whole spans would give the busiest part of the day to one target before any load is known.
fn initial_grants(candidates: &Candidates) -> Vec<SpanGrant> {
    let accepting: Vec<(TargetId, i64)> = candidates
        .iter()
        .filter(|(_, c)| c.accepts_keys)
        .map(|(id, c)| (*id, i64::from(c.slots.max(1))))
        .collect();
    let total: i64 = accepting.iter().map(|(_, slots)| slots).sum();
    let count = (accepting.len() * STRIPES_PER_TARGET)
        .min(MAX_STRIPES)
        .max(accepting.len()) as u64;
    let keys = u64::from(KeySpan::FULL.width());
    let mut credits = vec![0; accepting.len()];
    let mut grants = Vec::new();
    for stripe in 0..count {
        let first = keys * stripe / count;
        let last = keys * (stripe + 1) / count - 1;
        for (credit, (_, slots)) in credits.iter_mut().zip(&accepting) {
            *credit += slots;
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

/// Moves off the targets that may get no keys but still hold some.
fn drain_moves(
    table: &ShardTable,
    candidates: &Candidates,
    projected: &mut ProjectedLoads,
    load: &KeyLoad,
) -> Vec<(KeySpan, TargetId)> {
    let must_drain = |id: TargetId| {
        let candidate = candidates.get(&id);
        candidate.is_some_and(|c| !c.accepts_keys && (c.may_hold || c.responsive))
    };
    let mut spans = Vec::new();
    for row in table.rows() {
        let destination_lost = row
            .next
            .is_some_and(|n| !candidates.get(&n).is_some_and(|c| c.accepts_keys));
        let keeps_move = row.next.is_some() && !destination_lost;
        if keeps_move || !row.owner.is_some_and(must_drain) {
            continue;
        }
        for span in split_span(row.span, projected, load) {
            if let Some(next) = projected.place(load.weight(span)) {
                spans.push((span, next));
            }
        }
    }
    spans
}

/// Cuts a span so that no piece is a large part of what one target carries.
fn split_span(span: KeySpan, projected: &ProjectedLoads, load: &KeyLoad) -> Vec<KeySpan> {
    let mean = load.total() / projected.total_capacity().max(1.0);
    let largest = projected.capacities.values().copied().fold(1.0, f64::max);
    let max_weight = mean * largest * MAX_PIECE_SHARE;
    load.split(span, max_weight)
}
