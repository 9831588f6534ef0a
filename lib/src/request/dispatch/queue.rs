//! Bounded queue by importance.

use super::{Rank, RequestId};
use std::collections::VecDeque;

/// Number of ranks.
const RANKS: usize = 3;

/// Waiting requests: higher ranks first, in order of arrival within a rank.
#[derive(Debug, Default)]
pub(super) struct Queue {
    ranks: [VecDeque<RequestId>; RANKS],
}

impl Queue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.ranks.iter().map(VecDeque::len).sum()
    }

    /// Number of requests that go before a newcomer of this rank.
    pub(super) fn ahead(&self, rank: Rank) -> usize {
        let higher = &self.ranks[..=rank as usize];
        higher.iter().map(VecDeque::len).sum()
    }

    /// Adds a request behind those of its rank.
    pub(super) fn push(&mut self, rank: Rank, id: RequestId) {
        self.ranks[rank as usize].push_back(id);
    }

    /// Puts a request that waited before in front of its rank.
    pub(super) fn push_front(&mut self, rank: Rank, id: RequestId) {
        self.ranks[rank as usize].push_front(id);
    }

    /// First request in line.
    pub(super) fn first(&self) -> Option<RequestId> {
        self.ranks.iter().find_map(|r| r.front().copied())
    }

    /// Request that is shed first: the newest of the lowest rank.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.ranks.iter().rev().find_map(|r| r.back().copied())
    }

    /// Takes a request out; false if it does not wait here.
    pub(super) fn remove(&mut self, rank: Rank, id: RequestId) -> bool {
        let waiting = &mut self.ranks[rank as usize];
        let Some(index) = waiting.iter().position(|w| *w == id) else {
            return false;
        };
        waiting.remove(index);
        true
    }

    /// All waiting requests, first in line first.
    pub(super) fn all(&self) -> Vec<RequestId> {
        self.ranks.iter().flatten().copied().collect()
    }
}
