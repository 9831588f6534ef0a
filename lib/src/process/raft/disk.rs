//! Tracks which state is not on disk yet, and the messages that wait for it.
//!
//! One batch is written at a time, and all changes made meanwhile go into the next one. Under many
//! commands the number of syncs is therefore bounded by the speed of the disk, not by the number of
//! commands.

use super::{
    log::Log,
    message::{HardState, LogEntry, Message, Snapshot},
};
use crate::name::Node;

/// Changes to write and sync as one unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number to pass to [`Raft::persisted`](super::Raft::persisted) once the batch is on disk.
    pub number: u64,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot, if there is a new one. `hard_state` is then present and `entries` holds the whole
    /// log after the snapshot: the batch replaces everything written before.
    pub snapshot: Option<Snapshot>,
    /// Entries in order; the first one replaces any entries at its index and after.
    pub entries: Vec<LogEntry>,
}

#[derive(Debug)]
struct InFlightBatch {
    number: u64,
    last_index: u64,
}

#[derive(Debug)]
struct WaitingMessage {
    number: u64,
    to: Node,
    message: Message,
}

/// State of one member's disk: what is durable, what is not, and what waits for it.
#[derive(Debug)]
pub struct DiskState {
    next_number: u64,
    durable_index: u64,
    first_dirty: Option<u64>,
    hard_dirty: bool,
    snapshot_dirty: bool,
    in_flight: Option<InFlightBatch>,
    waiting: Vec<WaitingMessage>,
}

impl DiskState {
    /// State of a disk that holds all entries up to `durable_index`.
    pub fn new(durable_index: u64) -> Self {
        DiskState {
            next_number: 1,
            durable_index,
            first_dirty: None,
            hard_dirty: false,
            snapshot_dirty: false,
            in_flight: None,
            waiting: Vec::new(),
        }
    }

    /// Index of the last entry that is on disk.
    pub fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Marks the term and vote as changed. Waiting messages of an earlier term are dropped.
    pub fn mark_hard_state(&mut self, term_changed: bool) {
        self.hard_dirty = true;
        if term_changed {
            self.waiting.clear();
        }
    }

    /// Marks the entries from `first` on as changed.
    pub fn mark_entries(&mut self, first: u64) {
        self.first_dirty = Some(self.first_dirty.map_or(first, |f| f.min(first)));
        self.durable_index = self.durable_index.min(first - 1);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last_index = in_flight.last_index.min(first - 1);
        }
    }

    /// Marks the snapshot as changed. An installed one, unlike one taken here, replaces the log on
    /// disk.
    pub fn mark_snapshot(&mut self, installed: bool) {
        self.snapshot_dirty = true;
        if installed {
            self.durable_index = 0;
            self.first_dirty = None;
            if let Some(in_flight) = &mut self.in_flight {
                in_flight.last_index = 0;
            }
        }
    }

    /// Keeps a message until everything marked so far is on disk; returns it if everything already
    /// is.
    pub fn defer(&mut self, to: Node, message: Message) -> Option<(Node, Message)> {
        let is_dirty = self.hard_dirty || self.snapshot_dirty || self.first_dirty.is_some();
        let number = match &self.in_flight {
            _ if is_dirty => self.next_number,
            Some(in_flight) => in_flight.number,
            None => return Some((to, message)),
        };
        self.waiting.push(WaitingMessage {
            number,
            to,
            message,
        });
        None
    }

    /// Next batch to write; `None` while another one is being written or if nothing changed.
    pub fn next_batch(&mut self, hard_state: HardState, log: &Log) -> Option<Batch> {
        let is_dirty = self.hard_dirty || self.snapshot_dirty || self.first_dirty.is_some();
        if self.in_flight.is_some() || !is_dirty {
            return None;
        }
        let snapshot = self
            .snapshot_dirty
            .then(|| log.snapshot().cloned())
            .flatten();
        let first = match &snapshot {
            Some(snapshot) => Some(snapshot.index + 1),
            None => self.first_dirty,
        };
        let batch = Batch {
            number: self.next_number,
            hard_state: (self.hard_dirty || snapshot.is_some()).then_some(hard_state),
            entries: first.map_or(Vec::new(), |f| log.entries_from(f).cloned().collect()),
            snapshot,
        };
        self.in_flight = Some(InFlightBatch {
            number: self.next_number,
            last_index: first.map_or(self.durable_index, |_| log.last_index()),
        });
        self.next_number += 1;
        self.hard_dirty = false;
        self.snapshot_dirty = false;
        self.first_dirty = None;
        Some(batch)
    }

    /// Records that a batch is on disk and returns the messages that waited for it.
    pub fn persisted(&mut self, number: u64) -> Vec<(Node, Message)> {
        let Some(in_flight) = self.in_flight.take_if(|f| f.number == number) else {
            return Vec::new();
        };
        self.durable_index = self.durable_index.max(in_flight.last_index);
        let (ready, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| w.number <= number);
        self.waiting = waiting;
        let ready: Vec<WaitingMessage> = ready;
        ready.into_iter().map(|w| (w.to, w.message)).collect()
    }
}
