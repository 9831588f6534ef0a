//! Which target gets which keys of a service whose keys are numbers.
//!
//! [`plan`] looks at the catalog, at who is well, and at the measured load, and proposes updates:
//! owners for keys that nobody may hold, moves off targets that are to be emptied, and moves that
//! even the load out. It is called often; each call proposes little.

mod balance;
mod load;

pub use self::load::{BUCKET_KEYS, KNOWN_RATE, KeyLoad, TargetLoad, TargetLoads};

use crate::{
    moment::Moment,
    name::Service,
    version::catalog::{Catalog, Grant, KeySpan, Row, ShardTable, TargetId, Update},
};
use std::{collections::BTreeMap, time::Duration};

/// Cold targets count for so much of their slots when keys without an owner are given out.
const COLD_SHARE: f64 = 0.5;
/// Keys of a lost target are spread in pieces of at most this share of the mean target's keys.
const PIECE_SHARE: f64 = 0.5;
/// Stripes of keys that each target gets at first: with 21 targets, 97 keys each, so 200 busy
/// neighbours lie on three targets.
const STRIPES_EACH: usize = 32;
/// Stripes of all targets together.
const STRIPES_MOST: usize = 2_048;
/// Rows of one target beyond which it gets no more: an answer to a heartbeat has room for 4 KiB, and
/// a row takes up to 28 bytes, or 44 with a handover, which few have.
const ROWS_MOST: usize = 80;

/// What the leader knows of a target beside the catalog.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it may get keys.
    pub open: bool,
    /// Whether it sends heartbeats, so that it will take the keys that it owns.
    pub heard: bool,
    /// Whether it may still hold those that it owns.
    pub holding: bool,
    /// How much longer it is cold.
    pub cold: Duration,
    /// When its next heartbeat is due.
    pub due: Moment,
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
    let fresh = ShardTable::default();
    let table = catalog.shards.get(service).unwrap_or(&fresh);
    let open = candidates.iter().filter(|(_, c)| c.open).count();
    if open == 0 {
        return Vec::new();
    }
    let mut shares = Shares::new(table, candidates, load);
    let grants = adopt(table, candidates, &mut shares, load);
    let mut spans = empty_closed(table, candidates, &mut shares, load);
    if spans.is_empty() && grants.is_empty() {
        spans = balance::moves(now, table, candidates, load, targets);
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
struct Shares {
    weights: BTreeMap<TargetId, f64>,
    loads: BTreeMap<TargetId, f64>,
    rows: BTreeMap<TargetId, usize>,
}

impl Shares {
    fn new(table: &ShardTable, candidates: &Candidates, load: &KeyLoad) -> Self {
        let weights = candidates
            .iter()
            .filter(|(_, c)| c.open)
            .map(|(id, c)| {
                let part = if c.cold.is_zero() { 1.0 } else { COLD_SHARE };
                (*id, f64::from(c.slots.max(1)) * part)
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
        Shares {
            weights,
            loads,
            rows,
        }
    }

    fn total_weight(&self) -> f64 {
        self.weights.values().sum()
    }

    /// The target with the most room, which takes the load on.
    fn take(&mut self, weight: f64) -> Option<TargetId> {
        let loads = &self.loads;
        let after = |id: &TargetId, capacity: f64| {
            (loads.get(id).copied().unwrap_or_default() + weight) / capacity
        };
        let rows = |id: &TargetId| self.rows.get(id).copied().unwrap_or_default();
        // Keys must be served by somebody, so a full target is only the last choice.
        let rank = |id: &TargetId, capacity: f64| (rows(id) >= ROWS_MOST, after(id, capacity));
        let (id, _) = self.weights.iter().min_by(|a, b| {
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
fn adopt(
    table: &ShardTable,
    candidates: &Candidates,
    shares: &mut Shares,
    load: &KeyLoad,
) -> Vec<Grant> {
    let is_free = |row: &&Row| match row.owner {
        None => true,
        Some(owner) => {
            let alive = candidates.get(&owner).is_some_and(|c| c.holding || c.heard);
            row.next.is_none() && !alive
        }
    };
    let free: Vec<&Row> = table.rows().iter().filter(is_free).collect();
    if free.len() == 1 && free[0].span == KeySpan::FULL {
        return divide(candidates);
    }
    let mut grants = Vec::new();
    for row in free {
        for span in pieces(row.span, shares, load) {
            if let Some(owner) = shares.take(load.weight(span)) {
                grants.push(Grant {
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
fn divide(candidates: &Candidates) -> Vec<Grant> {
    let open: Vec<(TargetId, i64)> = candidates
        .iter()
        .filter(|(_, c)| c.open)
        .map(|(id, c)| (*id, i64::from(c.slots.max(1))))
        .collect();
    let total: i64 = open.iter().map(|(_, slots)| slots).sum();
    let count = (open.len() * STRIPES_EACH)
        .min(STRIPES_MOST)
        .max(open.len()) as u64;
    let keys = u64::from(KeySpan::FULL.width());
    let mut credits = vec![0; open.len()];
    let mut grants = Vec::new();
    for stripe in 0..count {
        let first = keys * stripe / count;
        let last = keys * (stripe + 1) / count - 1;
        for (credit, (_, slots)) in credits.iter_mut().zip(&open) {
            *credit += slots;
        }
        let most = (0..open.len()).max_by_key(|at| (credits[*at], std::cmp::Reverse(*at)));
        let Some(at) = most else {
            break;
        };
        credits[at] -= total;
        if let Some(span) = KeySpan::new(first as u16, last as u16) {
            grants.push(Grant {
                span,
                former: None,
                owner: open[at].0,
                handover: String::new(),
            });
        }
    }
    grants
}

/// Moves off the targets that may get no keys but still hold some.
fn empty_closed(
    table: &ShardTable,
    candidates: &Candidates,
    shares: &mut Shares,
    load: &KeyLoad,
) -> Vec<(KeySpan, TargetId)> {
    let closed = |id: TargetId| {
        let candidate = candidates.get(&id);
        candidate.is_some_and(|c| !c.open && (c.holding || c.heard))
    };
    let mut spans = Vec::new();
    for row in table.rows() {
        let lost = row
            .next
            .is_some_and(|n| !candidates.get(&n).is_some_and(|c| c.open));
        let stays = row.next.is_some() && !lost;
        if stays || !row.owner.is_some_and(closed) {
            continue;
        }
        for span in pieces(row.span, shares, load) {
            if let Some(next) = shares.take(load.weight(span)) {
                spans.push((span, next));
            }
        }
    }
    spans
}

/// Cuts a span so that no piece is a large part of what one target carries.
fn pieces(span: KeySpan, shares: &Shares, load: &KeyLoad) -> Vec<KeySpan> {
    let mean = load.total() / shares.total_weight().max(1.0);
    let heaviest = shares.weights.values().copied().fold(1.0, f64::max);
    let most = mean * heaviest * PIECE_SHARE;
    load.cut(span, most)
}
