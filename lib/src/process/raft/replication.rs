//! What a leader does: replicate, commit, hold its lease, step down without a quorum.

use super::{
    Raft, Role,
    membership::Member,
    message::{AppendOutcome, Message, MessageBody},
};
use crate::moment::Moment;
use std::collections::BTreeMap;

/// Size of one part of a snapshot, in bytes.
const PART_BYTES: usize = 256 * 1024;
/// Heartbeats after which an unanswered batch counts as lost.
const RESEND_BEATS: u32 = 4;

/// How far one follower or learner is.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    matched: u64,
    next: u64,
    offset: u64,
    waiting: Option<Moment>,
    acked: Option<Moment>,
}

impl Progress {
    /// Last entry that it is known to have on disk.
    pub(super) fn matched(&self) -> u64 {
        self.matched
    }

    /// Time of sending of the latest message that it answered.
    pub(super) fn acked(&self) -> Option<Moment> {
        self.acked
    }

    /// Takes an answer in; gives the stamp that it echoes.
    fn take(&mut self, body: &MessageBody, last: u64) -> u64 {
        match *body {
            MessageBody::AppendReply {
                timestamp,
                outcome: AppendOutcome::Matched(index),
            } => {
                self.settle(index.min(last));
                timestamp
            }
            MessageBody::AppendReply {
                timestamp,
                outcome: AppendOutcome::Mismatch(hint),
            } => {
                self.next = (hint + 1).min(self.next.saturating_sub(1)).min(last);
                self.next = self.next.max(self.matched + 1);
                self.waiting = None;
                timestamp
            }
            MessageBody::SnapshotChunkReply {
                timestamp,
                index,
                offset,
                done,
            } => {
                self.offset = offset;
                self.waiting = None;
                if done {
                    self.offset = 0;
                    self.settle(index.min(last));
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

    fn settle(&mut self, index: u64) {
        if index >= self.next {
            self.waiting = None;
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
    }
}

/// State of a leader.
#[derive(Debug)]
pub struct Leading {
    pub(super) progress: BTreeMap<Member, Progress>,
    pub(super) beat: Moment,
    since: Moment,
}

impl Leading {
    pub(super) fn new(now: Moment) -> Self {
        Leading {
            progress: BTreeMap::new(),
            beat: now,
            since: now,
        }
    }

    /// Time since which this voter leads.
    pub(super) fn since(&self) -> Moment {
        self.since
    }
}

impl Raft {
    /// Whether this voter leads and no other can at `now`: a majority answered messages sent within
    /// the shortest election timeout, less the drift of the clocks, and gives no vote until it is
    /// over. An entry of the present term is committed, so the applied state is current.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// End of the lease; `None` without one. A sole voter's lease is always a whole one from the
    /// time of asking and ends never.
    pub fn lease_end(&self) -> Option<Moment> {
        if !self.is_ready() {
            return None;
        }
        let end = Moment::from_micros(u64::MAX);
        let contact = self.quorum_contact(end)?;
        if contact == end {
            return Some(end);
        }
        let span = self
            .config
            .election_timeout
            .saturating_sub(self.config.clock_drift);
        Some(contact + span)
    }

    /// Does the leader's work that is due at `now`.
    pub(super) fn lead(&mut self, now: Moment) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let contact = self.quorum_contact(now).unwrap_or(Moment::ZERO);
        let last = contact.max(leading.since);
        if now.since(last) >= self.config.election_timeout * 2 {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        if leading.beat <= now {
            self.beat(now);
        }
        self.admit(now);
    }

    /// Sends new entries to everyone who does not have an unanswered batch.
    pub(super) fn replicate(&mut self, now: Moment) {
        self.track_members();
        for member in self.others() {
            self.send_batch(now, member, false);
        }
        self.advance_commit(now);
    }

    /// Takes the answer of a follower or learner.
    pub(super) fn take_reply(&mut self, now: Moment, sender: Member, message: Message) {
        if message.term > self.hard.term {
            self.become_follower(now, message.term, None);
        }
        let last = self.log.last_index();
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(&sender) else {
            return;
        };
        if message.term < self.hard.term {
            return;
        }
        let timestamp = progress.take(&message.body, last);
        let sent = Moment::from_micros(timestamp);
        if sent >= leading.since && sent <= now {
            progress.acked = progress.acked.max(Some(sent));
        }
        self.send_batch(now, sender, false);
        self.advance_commit(now);
        self.admit(now);
    }

    /// Commits what a majority has on disk, if it is of the present term.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let (own, durable) = (self.member(), self.disk.durable());
        let matched = self.membership().quorum_value(|m| match m == own {
            true => durable,
            false => leading.progress.get(&m).map_or(0, Progress::matched),
        });
        let Some(index) = matched.filter(|i| *i > self.commit) else {
            return;
        };
        if self.log.term(index) != Some(self.hard.term) {
            return;
        }
        self.commit = index;
        let removed = !self.membership().is_voter(own);
        if removed && self.log.membership_index() <= index {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        self.beat(now);
    }

    /// Others than this voter, voters first.
    pub(super) fn others(&self) -> Vec<Member> {
        let own = self.member();
        self.membership().members().filter(|m| *m != own).collect()
    }

    /// Latest time such that a majority answered messages sent then or later; `own` stands for this
    /// voter itself.
    fn quorum_contact(&self, own: Moment) -> Option<Moment> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let member = self.member();
        self.membership().quorum_value(|m| match m == member {
            true => Some(own),
            false => leading.progress.get(&m).and_then(Progress::acked),
        })?
    }

    fn beat(&mut self, now: Moment) {
        for member in self.others() {
            self.send_batch(now, member, true);
        }
        let next = now + self.config.heartbeat_interval;
        if let Role::Leader(leading) = &mut self.role {
            leading.beat = next;
        }
    }

    fn track_members(&mut self) {
        let others = self.others();
        let next = self.log.last_index().max(1);
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        leading.progress.retain(|m, _| others.contains(m));
        for member in others {
            let fresh = || Progress {
                next,
                ..Progress::default()
            };
            leading.progress.entry(member).or_insert_with(fresh);
        }
    }

    /// Sends the next entries or part of a snapshot, unless the last ones are unanswered; with
    /// `beat`, at least an empty message.
    fn send_batch(&mut self, now: Moment, member: Member, beat: bool) {
        let patience = self.config.heartbeat_interval * RESEND_BEATS;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(&member) else {
            return;
        };
        let lost = progress.waiting.is_some_and(|w| now.since(w) >= patience);
        let busy = progress.waiting.is_some() && !lost;
        let behind = progress.next <= self.log.last_index();
        if !beat && (busy || !behind) {
            return;
        }
        if lost {
            progress.next = progress.matched + 1;
        }
        if behind && !busy {
            progress.waiting = Some(now);
        }
        let progress = progress.clone();
        let body = match busy {
            true => self.heartbeat_body(now, &progress),
            false => self.batch_body(now, &progress),
        };
        self.send(member, body);
    }

    fn heartbeat_body(&self, now: Moment, progress: &Progress) -> MessageBody {
        let known = self.log.term(progress.matched).is_some();
        let prev_index = if known { progress.matched } else { 0 };
        MessageBody::Append {
            timestamp: now.as_micros(),
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries: Vec::new(),
            commit: self.commit,
        }
    }

    fn batch_body(&self, now: Moment, progress: &Progress) -> MessageBody {
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.part_body(now, progress);
        };
        MessageBody::Append {
            timestamp: now.as_micros(),
            prev_index,
            prev_term,
            entries: self.log.batch(progress.next),
            commit: self.commit,
        }
    }

    fn part_body(&self, now: Moment, progress: &Progress) -> MessageBody {
        let Some(snapshot) = self.log.snapshot() else {
            return self.heartbeat_body(now, progress);
        };
        let total = snapshot.data.len();
        let offset = (progress.offset as usize).min(total);
        let end = (offset + PART_BYTES).min(total);
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
