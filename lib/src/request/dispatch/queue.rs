//! Bounded queue by importance.

use super::{QueueClass, RequestId};
use std::collections::VecDeque;

/// Number of ranks.
const CLASS_COUNT: usize = 3;

/// Waiting requests: higher ranks first, in order of arrival within a rank.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: [VecDeque<RequestId>; CLASS_COUNT],
}

impl Queue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    /// Number of requests that go before a newcomer of this rank.
    pub(super) fn count_ahead(&self, class: QueueClass) -> usize {
        let ahead = &self.classes[..=class as usize];
        ahead.iter().map(VecDeque::len).sum()
    }

    /// Adds a request behind those of its rank.
    pub(super) fn push(&mut self, class: QueueClass, id: RequestId) {
        self.classes[class as usize].push_back(id);
    }

    /// Puts a request that waited before in front of its rank.
    pub(super) fn push_front(&mut self, class: QueueClass, id: RequestId) {
        self.classes[class as usize].push_front(id);
    }

    /// First request in line.
    pub(super) fn first(&self) -> Option<RequestId> {
        self.classes.iter().find_map(|c| c.front().copied())
    }

    /// Request that is shed first: the newest of the lowest rank.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.classes.iter().rev().find_map(|c| c.back().copied())
    }

    /// Takes a request out; false if it does not wait here.
    pub(super) fn remove(&mut self, class: QueueClass, id: RequestId) -> bool {
        let waiting = &mut self.classes[class as usize];
        let Some(index) = waiting.iter().position(|w| *w == id) else {
            return false;
        };
        waiting.remove(index);
        true
    }

    /// All waiting requests, first in line first.
    pub(super) fn all(&self) -> Vec<RequestId> {
        self.classes.iter().flatten().copied().collect()
    }
}
