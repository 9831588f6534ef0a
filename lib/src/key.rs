//! Keys, their hashes and ranges of hashes.
//!
//! A [`KeyRange`] of the 64-bit hash space is the unit of ownership, so the size of the fleet's
//! state grows with the number of targets and hot spots, not with the number of keys.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Position of a key in the hash space of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hash of a key: the first eight bytes of its BLAKE3 digest.
    pub fn of(key: &str) -> Self {
        let digest = blake3::hash(key.as_bytes());
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest.as_bytes()[..8]);
        KeyHash(u64::from_be_bytes(prefix))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Interval of key hashes that includes both ends; never empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    first: KeyHash,
    last: KeyHash,
}

impl KeyRange {
    /// The whole hash space.
    pub const FULL: KeyRange = KeyRange {
        first: KeyHash(0),
        last: KeyHash(u64::MAX),
    };

    /// Range from `first` to `last`, both included; `None` if `first` is greater than `last`.
    pub fn new(first: KeyHash, last: KeyHash) -> Option<Self> {
        (first <= last).then_some(KeyRange { first, last })
    }

    /// Lowest hash of the range.
    pub fn first(&self) -> KeyHash {
        self.first
    }

    /// Highest hash of the range.
    pub fn last(&self) -> KeyHash {
        self.last
    }

    /// Whether the range includes `hash`.
    pub fn contains(&self, hash: KeyHash) -> bool {
        self.first <= hash && hash <= self.last
    }

    /// Whether the two ranges have a hash in common.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Number of hashes in the range.
    pub fn width(&self) -> u128 {
        u128::from(self.last.0) - u128::from(self.first.0) + 1
    }

    /// Share of the hash space that the range covers, between 0 and 1.
    pub fn share(&self) -> f64 {
        self.width() as f64 / (u128::from(u64::MAX) + 1) as f64
    }

    /// Splits the range so that the second part begins at `at`; `None` if a part would be empty.
    pub fn split(&self, at: KeyHash) -> Option<(KeyRange, KeyRange)> {
        if at <= self.first || at > self.last {
            return None;
        }
        let below = KeyRange {
            first: self.first,
            last: KeyHash(at.0 - 1),
        };
        let above = KeyRange {
            first: at,
            last: self.last,
        };
        Some((below, above))
    }

    /// Divides the hash space into `count` ranges whose widths differ by at most one, in order. A
    /// `count` of zero gives one range.
    pub fn partition(count: u64) -> Vec<KeyRange> {
        let count = u128::from(count.max(1));
        let space_width = u128::from(u64::MAX) + 1;
        (0..count)
            .map(|i| KeyRange {
                first: KeyHash((space_width * i / count) as u64),
                last: KeyHash((space_width * (i + 1) / count - 1) as u64),
            })
            .collect()
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}
