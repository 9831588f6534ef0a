//! Targets of a pool that one entry prefers.
//!
//! Load pattern: dozens of entries that send few requests each to a pool of a hundred targets. Each
//! hears of the others' requests half a second late, so all choose the targets that were idle then, and
//! each sends to a target so rarely that no connection to it stays open. An entry that prefers a few
//! targets sees most of their load itself and keeps connections to them.
//!
//! The entries of a zone share its targets evenly without messages: both are put in order, and each
//! entry takes the same number of neighbours, from a place that follows its rank.

use crate::version::catalog::TargetId;
use std::collections::BTreeSet;

/// Place of an entry among those of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Number of entries before it, in the order of their addresses.
    pub place: usize,
    /// Number of entries of the zone.
    pub entries: usize,
}

/// Returns the targets that the entry prefers, `count` of those of its zone. All of them if there are
/// no more.
pub fn preferred(rank: Rank, targets: &BTreeSet<TargetId>, count: usize) -> Vec<TargetId> {
    let total = targets.len();
    if total <= count {
        return targets.iter().copied().collect();
    }
    let first = rank.place * total / rank.entries.max(1);
    let ring = targets.iter().chain(targets);
    ring.skip(first % total).take(count).copied().collect()
}
