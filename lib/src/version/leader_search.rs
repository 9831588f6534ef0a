//! One search of an entry for the leader among all core hosts that it knows.
//!
//! A search that finds no leader proves that there is none in reach only if it heard from each host
//! that it knows no leader, or could not connect to it. A host that takes the connection and does not
//! answer in time may lead, and so may one that is named by another.
//!
//! Load pattern: the leader is cut off, dead, slow, or changes, and so do the hosts that know of it.

use crate::{moment::Moment, name::Node};
use std::collections::BTreeSet;

/// What a core host shows to an entry that looks for the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// No connection was made.
    Unreachable,
    /// It answered that it knows no leader.
    Leaderless,
    /// It answered that this host leads.
    Leader(Node),
    /// It took the connection and gave no answer.
    Unanswered,
}

/// Findings of one search.
#[derive(Debug)]
pub struct LeaderSearch {
    started: Moment,
    asked: BTreeSet<Node>,
    waiting: usize,
    may_lead: bool,
}

impl LeaderSearch {
    /// Search that asks no host yet.
    pub fn new(now: Moment) -> Self {
        LeaderSearch {
            started: now,
            asked: BTreeSet::new(),
            waiting: 0,
            may_lead: false,
        }
    }

    /// Adds a host to ask. Returns false if it was asked already.
    pub fn ask(&mut self, host: Node) -> bool {
        let is_new = self.asked.insert(host);
        self.waiting += usize::from(is_new);
        is_new
    }

    /// Records what a host showed.
    pub fn record(&mut self, finding: Finding) {
        self.waiting = self.waiting.saturating_sub(1);
        self.may_lead |= matches!(finding, Finding::Leader(_) | Finding::Unanswered);
    }

    /// Time since which no leader was in reach, once all hosts have shown that; see
    /// [`Freshness`](crate::request::balance::Freshness).
    pub fn leaderless_since(&self) -> Option<Moment> {
        let is_complete = self.waiting == 0 && !self.asked.is_empty();
        (is_complete && !self.may_lead).then_some(self.started)
    }
}
