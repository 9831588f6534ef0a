//! Decides which target owns which keys of a keyed service in a seeded fleet.
//!
//! From the catalog, the state of the targets and the measured load, [`plan`] proposes updates:
//! owners for keys that no target may hold, moves off targets that must be drained, and moves that
//! balance the load. It is called often, and each call proposes only a few changes.
//!
//! Load pattern: busy keys are adjacent, so keys are assigned in narrow stripes at first and split
//! by their load later. When many targets end together, the few that are left cannot get the stripes
//! of all others as single rows, since the answer to a heartbeat has room for some rows only. Adjacent
//! free rows are then assigned as wide spans.
//!
//! Targets differ in speed. A target with a queue releases keys only when the requests for them have
//! ended, so moves come too late for an uneven first assignment, and a target gets keys in
//! proportion to its speed.

mod balance;
mod free_spans;
mod load;

pub use self::load::{KEYS_PER_BUCKET, KeyLoad, MIN_RELIABLE_RATE, TargetLoad, TargetLoads};

use self::free_spans::FreeSpans;
use crate::{
    connection::pull_lease::MAX_LEASE_ROWS,
    moment::Moment,
    name::Service,
    version::{
        catalog::{Catalog, KeySpan, ShardTable, TargetId, Update},
        permits::RateLimit,
    },
};
use std::{collections::BTreeMap, time::Duration};

/// Share of its slots that counts for a cold target when keys are assigned.
const COLD_CAPACITY_SHARE: f64 = 0.5;
/// Largest share of a mean target's load that one piece of a split span may have, so that the keys
/// of a lost target go to several others.
const MAX_PIECE_SHARE: f64 = 0.5;
/// Number of rows from which a target gets no more by moves that balance the load. Below
/// [`MAX_LEASE_ROWS`], to leave room for the keys of lost targets.
const MAX_ROWS_PER_TARGET: usize = 80;

/// State of a target that the leader knows beyond the catalog.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether the target may get keys.
    pub accepts_keys: bool,
    /// Whether the target sends heartbeats, so that its next one fetches the keys that it owns.
    pub responsive: bool,
    /// Whether the target may still hold a lease on the keys that it owns.
    pub may_hold: bool,
    /// Time until the target is warm; zero if it is.
    pub cold_left: Duration,
    /// When the next heartbeat of the target is due.
    pub next_heartbeat: Moment,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// How long work takes at the target, as a multiple of the usual time.
    pub slowness: f64,
    /// Limit on the rate of its requests that the target has named.
    pub limit: Option<RateLimit>,
}

impl Candidate {
    /// Shortest time between two requests under the limit, in seconds.
    fn limit_seconds(&self) -> f64 {
        self.limit.map_or(0.0, |limit| 1.0 / limit.pace())
    }
}

/// All targets of one service with their state.
pub type Candidates = BTreeMap<TargetId, Candidate>;

/// Returns the updates that a keyed service needs now. Moves that balance the load wait until no
/// keys need an owner and no target needs to be drained.
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
    let FreeSpans { grants, mut merges } =
        free_spans::grant_free_spans(table, candidates, &mut projected, load);
    let mut spans = drain_moves(table, candidates, &mut projected, load);
    if spans.is_empty() && grants.is_empty() {
        spans = balance::load_moves(now, table, candidates, load, targets);
    }
    if spans.is_empty() && grants.is_empty() {
        merges = free_spans::merge_owned_rows(table, &projected);
    }
    let mut updates = Vec::new();
    if !spans.is_empty() {
        updates.push(Update::Move {
            service: service.clone(),
            spans,
        });
    }
    // The merges rely on the owners that the grants name, so they are applied after them.
    for grants in [grants, merges] {
        if !grants.is_empty() {
            updates.push(Update::Assign {
                service: service.clone(),
                grants,
            });
        }
    }
    updates
}

/// Load and rows that each target will have after the moves under way and the planned changes.
#[derive(Debug)]
struct ProjectedLoads {
    /// Slots of the targets that accept keys, reduced for those that are slow, cold or have a limit.
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
                let slots = f64::from(c.slots.max(1)) * share / c.slowness;
                let seconds = balance::DEFAULT_SERVICE_SECONDS / slots;
                (*id, slots * seconds / seconds.max(c.limit_seconds()))
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

    /// Number of rows for which the leases of all targets together still have room.
    fn free_rows(&self) -> usize {
        let rows = |id| self.rows.get(id).copied().unwrap_or_default();
        let room = self.capacities.keys();
        room.map(|id| MAX_LEASE_ROWS.saturating_sub(rows(id))).sum()
    }

    /// Picks the target whose load relative to its capacity is the lowest with the added weight,
    /// and adds one row of this weight to it. `None` if no target has room for another row.
    fn place(&mut self, weight: f64) -> Option<TargetId> {
        let loads = &self.loads;
        let after = |id: &TargetId, capacity: f64| {
            (loads.get(id).copied().unwrap_or_default() + weight) / capacity
        };
        let rows = |id: &TargetId| self.rows.get(id).copied().unwrap_or_default();
        let rank =
            |id: &TargetId, capacity: f64| (rows(id) >= MAX_ROWS_PER_TARGET, after(id, capacity));
        let with_room = self.capacities.iter();
        let with_room = with_room.filter(|(id, _)| rows(id) < MAX_LEASE_ROWS);
        let (id, _) = with_room.min_by(|a, b| {
            let (one, other) = (rank(a.0, *a.1), rank(b.0, *b.1));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        })?;
        let id = *id;
        *self.rows.entry(id).or_default() += 1;
        *self.loads.entry(id).or_default() += weight;
        Some(id)
    }
}

/// Moves the keys off targets that may get no keys but still own some.
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

/// Splits a span so that no piece has a large share of one target's load.
fn split_span(span: KeySpan, projected: &ProjectedLoads, load: &KeyLoad) -> Vec<KeySpan> {
    load.split(span, max_piece_weight(projected, load))
}

/// Largest weight of a piece of a split span.
fn max_piece_weight(projected: &ProjectedLoads, load: &KeyLoad) -> f64 {
    let mean = load.total() / projected.total_capacity().max(1.0);
    let largest = projected.capacities.values().copied().fold(1.0, f64::max);
    mean * largest * MAX_PIECE_SHARE
}
