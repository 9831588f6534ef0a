//! Replication by the leader: sends entries and snapshots, commits what a majority holds, maintains
//! the leader lease, and steps down without a quorum.
//!
//! Under load, one batch is in flight per member, and entries proposed meanwhile go into the next
//! one. Heartbeats are sent in either case, so a slow batch does not cost the leader its lease.

use super::{
    Raft, Role,
    membership::Member,
    message::{AppendOutcome, Message, MessageBody},
};
use crate::moment::Moment;
use std::collections::BTreeMap;

/// Size of one chunk of a snapshot.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Heartbeat intervals after which an unanswered batch counts as lost and is sent again.
const RESEND_HEARTBEATS: u32 = 4;

/// Replication progress of one follower or learner.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    matched: u64,
    next_index: u64,
    snapshot_offset: u64,
    batch_sent: Option<Moment>,
    last_acked: Option<Moment>,
}

impl Progress {
    /// Last entry that the member is known to have on disk.
    pub(super) fn matched(&self) -> u64 {
        self.matched
    }

    /// Time at which the latest message that the member answered was sent.
    pub(super) fn last_acked(&self) -> Option<Moment> {
        self.last_acked
    }

    /// Updates the progress from a reply and returns the timestamp that it echoes.
    fn handle_reply(&mut self, body: &MessageBody, last_index: u64) -> u64 {
        match *body {
            MessageBody::AppendReply {
                timestamp,
                outcome: AppendOutcome::Matched(index),
            } => {
                self.advance(index.min(last_index));
                timestamp
            }
            MessageBody::AppendReply {
                timestamp,
                outcome: AppendOutcome::Mismatch(hint),
            } => {
                self.next_index = (hint + 1)
                    .min(self.next_index.saturating_sub(1))
                    .min(last_index);
                self.next_index = self.next_index.max(self.matched + 1);
                self.batch_sent = None;
                timestamp
            }
            MessageBody::SnapshotChunkReply {
                timestamp,
                index,
                offset,
                done,
            } => {
                self.snapshot_offset = offset;
                self.batch_sent = None;
                if done {
                    self.snapshot_offset = 0;
                    self.advance(index.min(last_index));
                }
                timestamp
            }
            MessageBody::Hello { .. }
            | MessageBody::VoteRequest { .. }
            | MessageBody::VoteReply { .. } => 0,
            MessageBody::Append { .. }
            | MessageBody::SnapshotChunk { .. }
            | MessageBody::Redirect { .. } => 0,
        }
    }

    /// Records that the member has all entries up to `index` on disk.
    fn advance(&mut self, index: u64) {
        if index >= self.next_index {
            self.batch_sent = None;
        }
        self.matched = self.matched.max(index);
        self.next_index = self.next_index.max(self.matched + 1);
    }
}

/// State that a voter keeps while it leads.
#[derive(Debug)]
pub struct ReplicationState {
    pub(super) progress: BTreeMap<Member, Progress>,
    pub(super) next_heartbeat: Moment,
    elected_at: Moment,
}

impl ReplicationState {
    pub(super) fn new(now: Moment) -> Self {
        ReplicationState {
            progress: BTreeMap::new(),
            next_heartbeat: now,
            elected_at: now,
        }
    }

    /// Time at which this voter became the leader.
    pub(super) fn elected_at(&self) -> Moment {
        self.elected_at
    }
}

impl Raft {
    /// Whether this voter leads and no other one can at `now`: a majority answered messages sent
    /// within the last shortest election timeout, less the clock drift, and grants no vote until
    /// that timeout is over. An entry of the current term is committed, so the applied state is
    /// current.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// End of the lease; `None` if this voter has none. The lease of a sole voter never expires.
    pub fn lease_end(&self) -> Option<Moment> {
        if !self.is_ready() {
            return None;
        }
        let never = Moment::from_micros(u64::MAX);
        let contact = self.quorum_contact(never)?;
        if contact == never {
            return Some(never);
        }
        let duration = self
            .config
            .election_timeout
            .saturating_sub(self.config.clock_drift);
        Some(contact + duration)
    }

    /// Does the leader's work that is due at `now`: steps down if no quorum answered messages of
    /// the last two shortest election timeouts, otherwise sends heartbeats and proposes the next
    /// change of the membership.
    pub(super) fn tick_leader(&mut self, now: Moment) {
        let Role::Leader(replication) = &self.role else {
            return;
        };
        let contact = self.quorum_contact(now).unwrap_or(Moment::ZERO);
        let last_contact = contact.max(replication.elected_at);
        if now.since(last_contact) >= self.config.election_timeout * 2 {
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        if replication.next_heartbeat <= now {
            self.send_heartbeats(now);
        }
        self.propose_due_change(now);
    }

    /// Sends new entries to all members without an unanswered batch.
    pub(super) fn replicate(&mut self, now: Moment) {
        self.track_members();
        for member in self.other_members() {
            self.send_batch(now, member, false);
        }
        self.advance_commit(now);
    }

    /// Handles the reply of a follower or learner.
    pub(super) fn handle_reply(&mut self, now: Moment, sender: Member, message: Message) {
        if message.term > self.hard_state.term {
            self.become_follower(now, message.term, None);
        }
        let last_index = self.log.last_index();
        let Role::Leader(replication) = &mut self.role else {
            return;
        };
        let Some(progress) = replication.progress.get_mut(&sender) else {
            return;
        };
        if message.term < self.hard_state.term {
            return;
        }
        let timestamp = progress.handle_reply(&message.body, last_index);
        let sent_at = Moment::from_micros(timestamp);
        if sent_at >= replication.elected_at && sent_at <= now {
            progress.last_acked = progress.last_acked.max(Some(sent_at));
        }
        self.send_batch(now, sender, false);
        self.advance_commit(now);
        self.propose_due_change(now);
    }

    /// Commits the entries that a majority has on disk, if the last of them is of the current term.
    /// A leader that was removed steps down once its removal is committed.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let Role::Leader(replication) = &self.role else {
            return;
        };
        let (own, durable) = (self.member(), self.disk.durable_index());
        let matched = self.membership().quorum_value(|m| match m == own {
            true => durable,
            false => replication.progress.get(&m).map_or(0, Progress::matched),
        });
        let Some(index) = matched.filter(|i| *i > self.commit) else {
            return;
        };
        if self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit = index;
        let is_removed = !self.membership().is_voter(own);
        if is_removed && self.log.membership_index() <= index {
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        self.send_heartbeats(now);
    }

    /// All members except this one, voters first.
    pub(super) fn other_members(&self) -> Vec<Member> {
        let own = self.member();
        self.membership().members().filter(|m| *m != own).collect()
    }

    /// Latest time such that a majority answered messages sent then or later. This voter itself
    /// counts with `own_contact`.
    fn quorum_contact(&self, own_contact: Moment) -> Option<Moment> {
        let Role::Leader(replication) = &self.role else {
            return None;
        };
        let member = self.member();
        self.membership().quorum_value(|m| match m == member {
            true => Some(own_contact),
            false => replication.progress.get(&m).and_then(Progress::last_acked),
        })?
    }

    fn send_heartbeats(&mut self, now: Moment) {
        for member in self.other_members() {
            self.send_batch(now, member, true);
        }
        let next = now + self.config.heartbeat_interval;
        if let Role::Leader(replication) = &mut self.role {
            replication.next_heartbeat = next;
        }
    }

    fn track_members(&mut self) {
        let others = self.other_members();
        let next_index = self.log.last_index().max(1);
        let Role::Leader(replication) = &mut self.role else {
            return;
        };
        replication.progress.retain(|m, _| others.contains(m));
        for member in others {
            let new_progress = || Progress {
                next_index,
                ..Progress::default()
            };
            replication
                .progress
                .entry(member)
                .or_insert_with(new_progress);
        }
    }

    /// Sends the next entries or chunk of a snapshot, unless the last batch is unanswered. If
    /// `heartbeat` is set, sends at least an empty message.
    fn send_batch(&mut self, now: Moment, member: Member, heartbeat: bool) {
        let resend_timeout = self.config.heartbeat_interval * RESEND_HEARTBEATS;
        let Role::Leader(replication) = &mut self.role else {
            return;
        };
        let Some(progress) = replication.progress.get_mut(&member) else {
            return;
        };
        let is_lost = progress
            .batch_sent
            .is_some_and(|sent| now.since(sent) >= resend_timeout);
        let in_flight = progress.batch_sent.is_some() && !is_lost;
        let is_behind = progress.next_index <= self.log.last_index();
        if !heartbeat && (in_flight || !is_behind) {
            return;
        }
        if is_lost {
            progress.next_index = progress.matched + 1;
        }
        if is_behind && !in_flight {
            progress.batch_sent = Some(now);
        }
        let progress = progress.clone();
        let body = match in_flight {
            true => self.heartbeat_body(now, &progress),
            false => self.batch_body(now, &progress),
        };
        self.send(member, body);
    }

    fn heartbeat_body(&self, now: Moment, progress: &Progress) -> MessageBody {
        let is_held = self.log.term(progress.matched).is_some();
        let prev_index = if is_held { progress.matched } else { 0 };
        MessageBody::Append {
            timestamp: now.as_micros(),
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries: Vec::new(),
            commit: self.commit,
        }
    }

    fn batch_body(&self, now: Moment, progress: &Progress) -> MessageBody {
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.chunk_body(now, progress);
        };
        MessageBody::Append {
            timestamp: now.as_micros(),
            prev_index,
            prev_term,
            entries: self.log.batch(progress.next_index),
            commit: self.commit,
        }
    }

    fn chunk_body(&self, now: Moment, progress: &Progress) -> MessageBody {
        let Some(snapshot) = self.log.snapshot() else {
            return self.heartbeat_body(now, progress);
        };
        let total = snapshot.data.len();
        let offset = (progress.snapshot_offset as usize).min(total);
        let end = (offset + SNAPSHOT_CHUNK_BYTES).min(total);
        MessageBody::SnapshotChunk {
            timestamp: now.as_micros(),
            index: snapshot.index,
            last_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: offset as u64,
            total: total as u64,
            chunk: snapshot.data[offset..end].to_vec(),
        }
    }
}
