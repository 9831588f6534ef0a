//! Table of a keyed service's ranges.
//!
//! The assignments stand in the order of their ranges and cover the hash space without gap or
//! overlap. Every change here keeps that so.

use super::fleet::{Assignment, Cause};
use crate::{
    key::{KeyHash, KeyRange},
    name::Fence,
};

/// Ranges of a new service.
pub(super) const INITIAL_RANGES: u64 = 256;

/// Table of a new service: nobody owns anything.
pub(super) fn new(log_index: u64) -> Vec<Assignment> {
    KeyRange::even(INITIAL_RANGES)
        .into_iter()
        .map(|range| Assignment {
            range,
            owner: None,
            fence: Fence(0),
            next: None,
            since: log_index,
            cause: Cause::Created,
        })
        .collect()
}

/// Position of the assignment whose range contains the hash.
pub(super) fn position(table: &[Assignment], hash: KeyHash) -> usize {
    table.partition_point(|a| a.range.last() < hash)
}

/// The assignment of exactly this range.
pub(super) fn exact<'a>(table: &'a [Assignment], range: &KeyRange) -> Option<&'a Assignment> {
    let at = position(table, range.first());
    table.get(at).filter(|a| a.range == *range)
}

/// The assignment of exactly this range, to be changed.
pub(super) fn exact_mut<'a>(
    table: &'a mut [Assignment],
    range: &KeyRange,
) -> Option<&'a mut Assignment> {
    let at = position(table, range.first());
    table.get_mut(at).filter(|a| a.range == *range)
}

/// Cuts the range that contains `at`; false if it moves or `at` is its first hash already.
pub(super) fn split(table: &mut Vec<Assignment>, at: KeyHash) -> bool {
    let row = position(table, at);
    let Some(assignment) = table.get_mut(row).filter(|a| a.next.is_none()) else {
        return false;
    };
    let Some((below, above)) = assignment.range.split(at) else {
        return false;
    };
    let upper = Assignment {
        range: above,
        ..assignment.clone()
    };
    assignment.range = below;
    table.insert(row + 1, upper);
    true
}

/// Joins the range that starts at `at` to the one below; false if they differ in owner or move.
pub(super) fn merge(table: &mut Vec<Assignment>, at: KeyHash, log_index: u64) -> bool {
    let row = position(table, at);
    let Some([lower, upper]) = row.checked_sub(1).and_then(|below| table.get(below..=row)) else {
        return false;
    };
    let neither_moves = lower.next.is_none() && upper.next.is_none();
    if upper.range.first() != at || lower.owner != upper.owner || !neither_moves {
        return false;
    }
    let Some(range) = KeyRange::new(lower.range.first(), upper.range.last()) else {
        return false;
    };
    let fence = lower.fence.max(upper.fence);
    table.remove(row);
    let merged = &mut table[row - 1];
    merged.range = range;
    merged.fence = fence;
    merged.since = log_index;
    merged.cause = Cause::Merged;
    true
}
