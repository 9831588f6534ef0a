//! Which target gets which keys of a service whose keys are numbers.
//!
//! [`plan`] looks at the catalog, at who is well, and at the measured load, and proposes updates:
//! owners for keys that nobody may hold, moves off targets that are to be emptied, and moves that
//! even the load out. It is called often; each call proposes little.

mod balance;
mod load;

pub use self::load::{BUCKET_KEYS, KeyLoad, TargetLoad};

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
) -> Vec<Update> {
    let fresh = ShardTable::default();
    let table = catalog.shards.get(service).unwrap_or(&fresh);
    let open = candidates.iter().filter(|(_, c)| c.open).count();
    if open == 0 {
        return Vec::new();
    }
    let mut shares = Shares::new(table, candidates, load);
    let grants = adopt(table, candidates, &mut shares, load);
    let mut updates = empty_closed(service, table, candidates, &mut shares, load);
    if !grants.is_empty() {
        updates.push(Update::Assign {
            service: service.clone(),
            grants,
        });
    }
    if updates.is_empty() {
        updates.extend(balance::moves(now, service, table, candidates, load));
    }
    updates
}

/// Load that each open target has or will have, over what it can carry.
#[derive(Debug)]
struct Shares {
    weights: BTreeMap<TargetId, f64>,
    loads: BTreeMap<TargetId, f64>,
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
        for row in table.rows() {
            if let Some(owner) = row.next.or(row.owner) {
                *loads.entry(owner).or_default() += load.weight(row.span);
            }
        }
        Shares { weights, loads }
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
        let (id, _) = self
            .weights
            .iter()
            .min_by(|a, b| after(a.0, *a.1).total_cmp(&after(b.0, *b.1)))?;
        let id = *id;
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

/// All keys in spans that follow the slots, one for each open target.
fn divide(candidates: &Candidates) -> Vec<Grant> {
    let open: Vec<(TargetId, u64)> = candidates
        .iter()
        .filter(|(_, c)| c.open)
        .map(|(id, c)| (*id, u64::from(c.slots.max(1))))
        .collect();
    let total: u64 = open.iter().map(|(_, slots)| slots).sum();
    let keys = u64::from(KeySpan::FULL.width());
    let mut before = 0;
    let mut grants = Vec::new();
    for (owner, slots) in open {
        let first = keys * before / total;
        before += slots;
        let last = keys * before / total;
        if let Some(span) = KeySpan::new(first as u16, (last.max(1) - 1) as u16) {
            grants.push(Grant {
                span,
                former: None,
                owner,
                handover: String::new(),
            });
        }
    }
    grants
}

/// Moves off the targets that may get no keys but still hold some.
fn empty_closed(
    service: &Service,
    table: &ShardTable,
    candidates: &Candidates,
    shares: &mut Shares,
    load: &KeyLoad,
) -> Vec<Update> {
    let closed = |id: TargetId| {
        let candidate = candidates.get(&id);
        candidate.is_some_and(|c| !c.open && (c.holding || c.heard))
    };
    let mut updates = Vec::new();
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
                updates.push(Update::Move {
                    service: service.clone(),
                    span,
                    next,
                });
            }
        }
    }
    updates
}

/// Cuts a span so that no piece is a large part of what one target carries.
fn pieces(span: KeySpan, shares: &Shares, load: &KeyLoad) -> Vec<KeySpan> {
    let mean = load.total() / shares.total_weight().max(1.0);
    let heaviest = shares.weights.values().copied().fold(1.0, f64::max);
    let most = mean * heaviest * PIECE_SHARE;
    load.cut(span, most)
}
