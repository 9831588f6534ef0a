//! Table of the owners of a keyed service's numeric keys.
//!
//! The unit of ownership is a span of adjacent keys. A move or an assignment splits rows wherever
//! its span begins or ends, so the load decides where rows end.

use super::{SpanGrant, TargetId};
use crate::name::Fence;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Span of numeric keys, both ends included; never empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeySpan {
    /// Lowest key of the span.
    pub first: u16,
    /// Highest key of the span.
    pub last: u16,
}

impl KeySpan {
    /// Span of all keys.
    pub const FULL: KeySpan = KeySpan {
        first: 0,
        last: u16::MAX,
    };

    /// Span from `first` to `last`, both included; `None` if it would be empty.
    pub fn new(first: u16, last: u16) -> Option<Self> {
        (first <= last).then_some(KeySpan { first, last })
    }

    /// Number of keys in the span.
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Whether the span contains the key.
    pub fn contains(&self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether both spans have a key in common.
    pub fn overlaps(&self, other: &KeySpan) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether this span contains all keys of `other`.
    pub fn covers(&self, other: &KeySpan) -> bool {
        self.first <= other.first && other.last <= self.last
    }
}

impl fmt::Display for KeySpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

/// Row of a [`ShardTable`]: a key span with its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Keys of the row.
    pub span: KeySpan,
    /// Target that may hold the keys, if any.
    pub owner: Option<TargetId>,
    /// Target that gets the keys once the owner has released them, while they move.
    pub next: Option<TargetId>,
    /// Fencing token of the owner's grant.
    pub fence: Fence,
    /// Former owner's proof that it handed the keys over; empty without one.
    pub handover: String,
}

/// Rows in key order that cover all keys without gap or overlap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardTable {
    rows: Vec<ShardRow>,
}

impl Default for ShardTable {
    fn default() -> Self {
        ShardTable {
            rows: vec![ShardRow {
                span: KeySpan::FULL,
                owner: None,
                next: None,
                fence: Fence(0),
                handover: String::new(),
            }],
        }
    }
}

impl ShardTable {
    /// All rows in key order.
    pub fn rows(&self) -> &[ShardRow] {
        &self.rows
    }

    /// Row that contains a key.
    pub fn row(&self, key: u16) -> &ShardRow {
        let index = self.rows.partition_point(|row| row.span.last < key);
        &self.rows[index.min(self.rows.len() - 1)]
    }

    /// Common owner of all keys of a span: `Some(None)` if no key has an owner, `None` if the
    /// owners differ.
    pub fn sole_owner(&self, span: KeySpan) -> Option<Option<TargetId>> {
        let mut rows = self.rows_in(span);
        let first = rows.next()?.owner;
        rows.all(|row| row.owner == first).then_some(first)
    }

    /// Rows that have a key in common with a span.
    pub fn rows_in(&self, span: KeySpan) -> impl Iterator<Item = &ShardRow> {
        let start = self.rows.partition_point(|row| row.span.last < span.first);
        let rows = self.rows[start..].iter();
        rows.take_while(move |row| row.span.first <= span.last)
    }

    /// Marks a span as moving to `next`. Returns false and changes nothing unless the span has a
    /// single owner, and this is another target than `next`.
    pub(super) fn begin_move(&mut self, span: KeySpan, next: TargetId) -> bool {
        let owner = self.sole_owner(span).flatten();
        if owner.is_none_or(|owner| owner == next) {
            return false;
        }
        self.split_at_ends(span);
        for row in self.rows.iter_mut().filter(|row| span.covers(&row.span)) {
            row.next = Some(next);
        }
        true
    }

    /// Assigns a span to a new owner, as one row.
    pub(super) fn assign(&mut self, grant: &SpanGrant, fence: Fence) {
        self.split_at_ends(grant.span);
        let row = ShardRow {
            span: grant.span,
            owner: Some(grant.owner),
            next: None,
            fence,
            handover: grant.handover.clone(),
        };
        let start = self
            .rows
            .partition_point(|r| r.span.last < grant.span.first);
        let end = self
            .rows
            .partition_point(|r| r.span.first <= grant.span.last);
        self.rows.splice(start..end, [row]);
    }

    /// Clears a target as owner, and cancels the moves from it and to it.
    pub(super) fn remove_target(&mut self, id: TargetId) {
        for row in &mut self.rows {
            if row.owner == Some(id) {
                row.owner = None;
                row.next = None;
            }
            if row.next == Some(id) {
                row.next = None;
            }
        }
    }

    /// Splits rows so that one begins where the span begins and one ends where it ends.
    fn split_at_ends(&mut self, span: KeySpan) {
        self.split_before(span.first);
        if let Some(after) = span.last.checked_add(1) {
            self.split_before(after);
        }
    }

    /// Splits the row that contains `key` so that a row begins at `key`.
    fn split_before(&mut self, key: u16) {
        let index = self.rows.partition_point(|row| row.span.last < key);
        let row = &mut self.rows[index];
        if row.span.first == key {
            return;
        }
        let mut upper = row.clone();
        row.span.last = key - 1;
        upper.span.first = key;
        self.rows.insert(index + 1, upper);
    }
}
