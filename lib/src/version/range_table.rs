//! Operations on the range table of a keyed service.
//!
//! The assignments are sorted by range and cover the hash space without gaps or overlaps. Every
//! operation preserves this invariant.

use super::fleet::{Assignment, Cause};
use crate::{
    key::{KeyHash, KeyRange},
    name::Fence,
};

/// Number of equal ranges that a new service starts with.
pub(super) const INITIAL_RANGES: u64 = 256;

/// Creates the table of a new service; no range has an owner.
pub(super) fn new(log_index: u64) -> Vec<Assignment> {
    KeyRange::partition(INITIAL_RANGES)
        .into_iter()
        .map(|range| Assignment {
            range,
            owner: None,
            fence: Fence(0),
            next: None,
            change_index: log_index,
            cause: Cause::Created,
        })
        .collect()
}

/// Index of the assignment whose range contains the hash.
pub(super) fn position(table: &[Assignment], hash: KeyHash) -> usize {
    table.partition_point(|a| a.range.last() < hash)
}

/// Assignment of exactly this range, or `None` if the range was split or merged.
pub(super) fn exact<'a>(table: &'a [Assignment], range: &KeyRange) -> Option<&'a Assignment> {
    let at = position(table, range.first());
    table.get(at).filter(|a| a.range == *range)
}

/// Mutable variant of [`exact`].
pub(super) fn exact_mut<'a>(
    table: &'a mut [Assignment],
    range: &KeyRange,
) -> Option<&'a mut Assignment> {
    let at = position(table, range.first());
    table.get_mut(at).filter(|a| a.range == *range)
}

/// Splits the range that contains `at` so that `at` becomes the first hash of the upper part.
///
/// Returns false and changes nothing if the range is moving or already starts at `at`.
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

/// Merges the range that starts at `at` into the one below it.
///
/// Returns false and changes nothing if no range starts there, the owners differ or one of the two
/// ranges is moving.
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
    merged.change_index = log_index;
    merged.cause = Cause::Merged;
    true
}
