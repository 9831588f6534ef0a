//! The log in memory: the latest snapshot, the entries after it, and some before it for members
//! that lag.
//!
//! Decides which entries go into one message, which membership is in force, and what a truncation,
//! compaction or received snapshot discards.

use super::{
    config::RestoredState,
    membership::{Identity, Membership},
    message::{LogEntry, Payload, Snapshot},
};
use std::collections::{BTreeSet, VecDeque};

/// Limit of the entries in one message; a single larger entry is still sent.
const MAX_APPEND_BYTES: usize = 256 * 1024;
/// Approximate encoded size of an entry without its command, and of one member.
const ENTRY_OVERHEAD_BYTES: usize = 24;

/// Entries with consecutive indices, and the snapshot that replaces earlier ones.
#[derive(Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<LogEntry>,
    snapshot: Option<Snapshot>,
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    /// Log restored from disk.
    pub fn new(restored: RestoredState) -> Self {
        let mut log = Log::default();
        if let Some(snapshot) = restored.snapshot {
            log.reset(snapshot);
        }
        for entry in restored.entries {
            log.push(entry);
        }
        log
    }

    /// Index of the last entry, 0 if there is none.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry, 0 if there is none.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Whether no entry was ever written.
    pub fn is_empty(&self) -> bool {
        self.last_index() == 0
    }

    /// Latest snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Last index that the snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Term of the entry at `index`; `None` if it was discarded or does not exist.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    /// Entry at `index`; `None` if it was discarded or does not exist.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `first` on, as many as fit into one message.
    pub fn batch(&self, first: u64) -> Vec<LogEntry> {
        let mut remaining = MAX_APPEND_BYTES;
        let mut batch = Vec::new();
        for entry in self.entries_from(first) {
            let size = ENTRY_OVERHEAD_BYTES + payload_bytes(&entry.payload);
            if size > remaining && !batch.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(size);
            batch.push(entry.clone());
        }
        batch
    }

    /// All entries from `first` on.
    pub fn entries_from(&self, first: u64) -> impl Iterator<Item = &LogEntry> {
        let skipped = first.saturating_sub(self.base_index + 1) as usize;
        self.entries.iter().skip(skipped)
    }

    /// Membership in force: that of the latest membership entry, committed or not.
    pub fn membership(&self) -> &Membership {
        const NO_MEMBERS: &Membership = &Membership {
            bootstrap_identity: Identity::ANY,
            voters: BTreeSet::new(),
            learners: BTreeSet::new(),
        };
        self.memberships.last().map_or(NO_MEMBERS, |(_, m)| m)
    }

    /// Index of the entry that holds the membership in force.
    pub fn membership_index(&self) -> u64 {
        self.memberships.last().map_or(0, |(i, _)| *i)
    }

    /// Membership that the one in force replaced, unless its entry was discarded.
    pub fn previous_membership(&self) -> Option<&Membership> {
        let previous = self.memberships.len().checked_sub(2)?;
        self.memberships.get(previous).map(|(_, m)| m)
    }

    /// Appends an entry; its index must follow the last one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `first` on.
    pub fn truncate(&mut self, first: u64) {
        self.entries
            .truncate(first.saturating_sub(self.base_index + 1) as usize);
        self.memberships.retain(|(i, _)| *i < first);
    }

    /// First index, among the entries not discarded, of the term of the entry at `index`.
    pub fn term_start(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Sets a snapshot of the applied state and discards all but the last `retained_entries` that
    /// it covers.
    pub fn compact(&mut self, index: u64, data: Vec<u8>, retained_entries: u64) {
        let Some(term) = self.term(index) else {
            return;
        };
        let membership = self.membership_at(index).cloned().unwrap_or_default();
        self.snapshot = Some(Snapshot {
            index,
            term,
            membership,
            data,
        });
        self.discard_through(index.saturating_sub(retained_entries));
    }

    /// Replaces the log with a received snapshot. Entries after it stay if the log holds its last
    /// entry.
    pub fn install(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) != Some(snapshot.term) {
            self.reset(snapshot);
            return;
        }
        let index = snapshot.index;
        self.snapshot = Some(snapshot);
        self.discard_through(index);
    }

    fn membership_at(&self, index: u64) -> Option<&Membership> {
        let membership = self.memberships.iter().rev().find(|(i, _)| *i <= index);
        membership.map(|(_, m)| m)
    }

    fn discard_through(&mut self, base_index: u64) {
        let Some(term) = self.term(base_index) else {
            return;
        };
        let covered_count = self.memberships.partition_point(|(i, _)| *i <= base_index);
        self.memberships.drain(..covered_count.saturating_sub(1));
        self.entries
            .drain(..(base_index - self.base_index) as usize);
        self.base_index = base_index;
        self.base_term = term;
    }

    fn reset(&mut self, snapshot: Snapshot) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.memberships = vec![(snapshot.index, snapshot.membership.clone())];
        self.snapshot = Some(snapshot);
    }
}

fn payload_bytes(payload: &Payload) -> usize {
    match payload {
        Payload::Noop => 0,
        Payload::Membership(membership) => membership.members().count() * ENTRY_OVERHEAD_BYTES,
        Payload::Command(command) => command.len(),
    }
}
