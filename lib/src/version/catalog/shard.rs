//! Who owns which keys of a service whose keys are numbers.
//!
//! The unit of ownership is a span of neighbouring keys, cut where the load needs it.

use super::{SpanGrant, TargetId};
use crate::name::Fence;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Closed interval of keys; never empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeySpan {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
}

impl KeySpan {
    /// All keys.
    pub const FULL: KeySpan = KeySpan {
        first: 0,
        last: u16::MAX,
    };

    /// Span from `first` to `last`, both included; `None` if it would be empty.
    pub fn new(first: u16, last: u16) -> Option<Self> {
        (first <= last).then_some(KeySpan { first, last })
    }

    /// Number of keys.
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Whether the key lies in the span.
    pub fn contains(&self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the spans share a key.
    pub fn overlaps(&self, other: &KeySpan) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether all keys of `other` lie in this span.
    pub fn covers(&self, other: &KeySpan) -> bool {
        self.first <= other.first && other.last <= self.last
    }
}

impl fmt::Display for KeySpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

/// A span with its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// The keys.
    pub span: KeySpan,
    /// Who may hold them.
    pub owner: Option<TargetId>,
    /// Who gets them once the owner has let them go.
    pub next: Option<TargetId>,
    /// Fence of the owner's grant.
    pub fence: Fence,
    /// Proof of the handover from the former owner, empty without one.
    pub handover: String,
}

/// Rows in the order of their keys, without gap or overlap.
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
    /// All rows.
    pub fn rows(&self) -> &[ShardRow] {
        &self.rows
    }

    /// Row of a key.
    pub fn row(&self, key: u16) -> &ShardRow {
        let index = self.rows.partition_point(|row| row.span.last < key);
        &self.rows[index.min(self.rows.len() - 1)]
    }

    /// Owner of all keys of a span; `None` if they have different ones.
    pub fn sole_owner(&self, span: KeySpan) -> Option<Option<TargetId>> {
        let mut rows = self.rows_in(span);
        let first = rows.next()?.owner;
        rows.all(|row| row.owner == first).then_some(first)
    }

    /// Rows that share a key with a span.
    pub fn rows_in(&self, span: KeySpan) -> impl Iterator<Item = &ShardRow> {
        let start = self.rows.partition_point(|row| row.span.last < span.first);
        let rows = self.rows[start..].iter();
        rows.take_while(move |row| row.span.first <= span.last)
    }

    /// Marks a span as about to go to `next`. Refused unless it has one owner other than that.
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

    /// Gives a span to a new owner.
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

    /// Takes all rows from a target, and calls off the moves towards it.
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

    /// Cuts rows so that the span begins and ends at an edge.
    fn split_at_ends(&mut self, span: KeySpan) {
        self.split_before(span.first);
        if let Some(after) = span.last.checked_add(1) {
            self.split_before(after);
        }
    }

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
