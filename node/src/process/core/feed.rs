//! Feed of one entry: what waits for it, and in which order it is sent.
//!
//! Updates and confirmations are sent in order and before any status. Of the statuses an entry gets
//! the latest: a status that waits for a slow link is replaced by the next one, so none of them
//! delays an update. Loads come with some statuses only, so the latest status with loads is kept
//! besides.

use bytes::Bytes;
use cornelrail_lib::version::{feed::Peer, wire_level::WireLevel};
use tokio::sync::{mpsc, watch};

/// Updates and confirmations that wait for one entry; one that is further behind has to follow anew.
const UPDATES_HELD: usize = 256;
/// Messages that may wait for an entry that still gets replies in time.
const PROMPT_MESSAGES: usize = 64;
/// Updates and confirmations sent in one go.
const BURST: usize = 64;

/// Encoded status with its number in order.
#[derive(Debug, Clone)]
struct Numbered {
    number: u64,
    bytes: Bytes,
}

/// Latest statuses of a leader, for all entries.
#[derive(Debug, Default)]
pub struct LatestStatuses {
    number: u64,
    with_loads: Option<Numbered>,
    plain: Option<Numbered>,
}

impl LatestStatuses {
    /// Adds a status, which replaces those that tell no more than it does.
    pub fn push(&mut self, bytes: Bytes, has_loads: bool) {
        self.number += 1;
        let status = Numbered {
            number: self.number,
            bytes,
        };
        match has_loads {
            true => {
                self.with_loads = Some(status);
                self.plain = None;
            }
            false => self.plain = Some(status),
        }
    }

    /// Statuses after the one with this number, in order.
    fn after(&self, number: u64) -> impl Iterator<Item = Bytes> {
        let kept = self.with_loads.iter().chain(&self.plain);
        kept.filter(move |status| status.number > number)
            .map(|status| status.bytes.clone())
    }
}

/// An entry that follows this host.
#[derive(Debug)]
pub struct Subscriber {
    /// Name in logs.
    pub name: String,
    /// Level of the messages that it knows.
    pub level: WireLevel,
    /// Updates and confirmations for the entry.
    pub updates: mpsc::Sender<Bytes>,
    /// How other entries reach it, once it has told.
    pub peer: Option<Peer>,
}

impl Subscriber {
    /// Queues a message, unless the entry does not know its kind. Returns whether it goes on.
    pub fn send(&self, level: WireLevel, bytes: &Bytes) -> bool {
        self.level < level || self.updates.try_send(bytes.clone()).is_ok()
    }

    /// Whether few messages wait for the entry.
    pub fn is_prompt(&self) -> bool {
        self.waiting() < PROMPT_MESSAGES
    }

    /// Number of messages that wait for the entry.
    pub fn waiting(&self) -> usize {
        self.updates.max_capacity() - self.updates.capacity()
    }
}

/// Messages for one entry.
#[derive(Debug)]
pub struct Feed {
    updates: mpsc::Receiver<Bytes>,
    statuses: watch::Receiver<LatestStatuses>,
    /// Number of the latest status that was taken.
    taken: u64,
}

impl Feed {
    /// Feed of an entry, with the subscriber that fills it. Earlier statuses are not for it.
    pub fn new(
        name: String,
        level: WireLevel,
        mut statuses: watch::Receiver<LatestStatuses>,
    ) -> (Subscriber, Feed) {
        let (tx, rx) = mpsc::channel(UPDATES_HELD);
        let taken = statuses.borrow_and_update().number;
        let feed = Feed {
            updates: rx,
            statuses,
            taken,
        };
        let subscriber = Subscriber {
            name,
            level,
            updates: tx,
            peer: None,
        };
        (subscriber, feed)
    }

    /// Waits for the next messages to send; `None` once the host leads no more. Nothing is lost if
    /// the wait is cancelled.
    pub async fn next(&mut self) -> Option<Vec<Bytes>> {
        let mut burst = Vec::new();
        tokio::select! {
            biased;
            count = self.updates.recv_many(&mut burst, BURST) => (count > 0).then_some(burst),
            changed = self.statuses.changed() => {
                changed.ok()?;
                let latest = self.statuses.borrow_and_update();
                burst.extend(latest.after(self.taken));
                self.taken = latest.number;
                Some(burst)
            }
        }
    }
}
