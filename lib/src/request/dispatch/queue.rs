//! Priority queue of the requests that wait for a target or for a pool.
//!
//! Serves the first class before the others and, under overload, names the newest request of the
//! last class as the one to shed. The caller bounds its length.

use super::{QueueClass, RequestId};
use std::collections::VecDeque;

/// Number of values of [`QueueClass`].
const CLASS_COUNT: usize = 3;

/// Waiting requests, one FIFO queue for each class.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: [VecDeque<RequestId>; CLASS_COUNT],
}

impl Queue {
    /// Number of waiting requests of all classes.
    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    /// Number of waiting requests that are served before a new one of this class.
    pub(super) fn count_ahead(&self, class: QueueClass) -> usize {
        let ahead = &self.classes[..=class as usize];
        ahead.iter().map(VecDeque::len).sum()
    }

    /// Adds a request behind those of its class.
    pub(super) fn push(&mut self, class: QueueClass, id: RequestId) {
        self.classes[class as usize].push_back(id);
    }

    /// Adds a request ahead of those of its class, such as a retry.
    pub(super) fn push_front(&mut self, class: QueueClass, id: RequestId) {
        self.classes[class as usize].push_front(id);
    }

    /// Request that is served next.
    pub(super) fn first(&self) -> Option<RequestId> {
        self.classes.iter().find_map(|c| c.front().copied())
    }

    /// Request that is shed first: the last one of the last class that has any.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.classes.iter().rev().find_map(|c| c.back().copied())
    }

    /// Removes a request; `false` if it does not wait in this class.
    pub(super) fn remove(&mut self, class: QueueClass, id: RequestId) -> bool {
        let waiting = &mut self.classes[class as usize];
        let Some(index) = waiting.iter().position(|w| *w == id) else {
            return false;
        };
        waiting.remove(index);
        true
    }

    /// All waiting requests in the order in which they are served.
    pub(super) fn all(&self) -> Vec<RequestId> {
        self.classes.iter().flatten().copied().collect()
    }
}
