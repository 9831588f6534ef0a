//! What is not on disk yet, and the messages that wait for it.
//!
//! One batch is written at a time; whatever changes meanwhile goes into the next one, so the number
//! of syncs follows the disk and not the number of commands.

use super::{
    log::Log,
    message::{HardState, LogEntry, Message, Snapshot},
};
use crate::name::Node;

/// What is to be written and synced as one unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number to hand back when the batch is on disk.
    pub number: u64,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot, if there is a new one. Then `hard` is given and `entries` is the whole log after
    /// the snapshot: all that was written before is replaced.
    pub snapshot: Option<Snapshot>,
    /// Entries in order; the first one replaces whatever stood at its index and after.
    pub entries: Vec<LogEntry>,
}

#[derive(Debug)]
struct Flight {
    number: u64,
    last: u64,
}

#[derive(Debug)]
struct Held {
    number: u64,
    to: Node,
    message: Message,
}

/// Bookkeeping of one voter's disk.
#[derive(Debug)]
pub struct Disk {
    number: u64,
    durable: u64,
    first: Option<u64>,
    hard: bool,
    snapshot: bool,
    flight: Option<Flight>,
    held: Vec<Held>,
}

impl Disk {
    /// Disk that holds everything up to `durable`.
    pub fn new(durable: u64) -> Self {
        Disk {
            number: 1,
            durable,
            first: None,
            hard: false,
            snapshot: false,
            flight: None,
            held: Vec::new(),
        }
    }

    /// Last entry that is on disk.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Notes that term or vote changed. Answers of an earlier term are dropped.
    pub fn mark_hard(&mut self, term_changed: bool) {
        self.hard = true;
        if term_changed {
            self.held.clear();
        }
    }

    /// Notes that the entries from `first` on changed.
    pub fn mark_entries(&mut self, first: u64) {
        self.first = Some(self.first.map_or(first, |f| f.min(first)));
        self.durable = self.durable.min(first - 1);
        if let Some(flight) = &mut self.flight {
            flight.last = flight.last.min(first - 1);
        }
    }

    /// Notes a new snapshot. An installed one leaves nothing of the old log on disk.
    pub fn mark_snapshot(&mut self, installed: bool) {
        self.snapshot = true;
        if installed {
            self.durable = 0;
            self.first = None;
            if let Some(flight) = &mut self.flight {
                flight.last = 0;
            }
        }
    }

    /// Message that may leave once everything noted so far is on disk; returned if it already is.
    pub fn hold(&mut self, to: Node, message: Message) -> Option<(Node, Message)> {
        let dirty = self.hard || self.snapshot || self.first.is_some();
        let number = match &self.flight {
            _ if dirty => self.number,
            Some(flight) => flight.number,
            None => return Some((to, message)),
        };
        self.held.push(Held {
            number,
            to,
            message,
        });
        None
    }

    /// Next batch, unless there is nothing to write or one is being written.
    pub fn next_batch(&mut self, hard_state: HardState, log: &Log) -> Option<Batch> {
        let dirty = self.hard || self.snapshot || self.first.is_some();
        if self.flight.is_some() || !dirty {
            return None;
        }
        let snapshot = self.snapshot.then(|| log.snapshot().cloned()).flatten();
        let first = match &snapshot {
            Some(snapshot) => Some(snapshot.index + 1),
            None => self.first,
        };
        let batch = Batch {
            number: self.number,
            hard_state: (self.hard || snapshot.is_some()).then_some(hard_state),
            entries: first.map_or(Vec::new(), |f| log.from(f).cloned().collect()),
            snapshot,
        };
        self.flight = Some(Flight {
            number: self.number,
            last: first.map_or(self.durable, |_| log.last_index()),
        });
        self.number += 1;
        self.hard = false;
        self.snapshot = false;
        self.first = None;
        Some(batch)
    }

    /// Takes note that a batch is on disk; gives the messages that waited for it.
    pub fn persisted(&mut self, number: u64) -> Vec<(Node, Message)> {
        let Some(flight) = self.flight.take_if(|f| f.number == number) else {
            return Vec::new();
        };
        self.durable = self.durable.max(flight.last);
        let (ready, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|h| h.number <= number);
        self.held = held;
        let ready: Vec<Held> = ready;
        ready.into_iter().map(|h| (h.to, h.message)).collect()
    }
}
