//! How a follower or learner handles entries and snapshots from its leader.
//!
//! Decides from the index and term before a batch whether it fits the log, which entries to
//! replace, and how far the leader's commit index holds here.

use super::{
    Action, Raft,
    membership::Member,
    message::{AppendOutcome, LogEntry, Message, MessageBody, Snapshot},
};
use crate::moment::Moment;

/// Snapshot of which only the first chunks have arrived.
#[derive(Debug)]
pub struct PartialSnapshot {
    index: u64,
    term: u64,
    data: Vec<u8>,
}

impl Raft {
    /// Handles entries or a chunk of a snapshot. A sender of an earlier term is rejected and learns
    /// the current one.
    pub(super) fn handle_leader_message(&mut self, now: Moment, sender: Member, message: Message) {
        if message.term < self.hard_state.term {
            let outcome = AppendOutcome::Mismatch(0);
            let timestamp = 0;
            self.send_when_durable(
                sender,
                self.hard_state.term,
                MessageBody::AppendReply { timestamp, outcome },
            );
            return;
        }
        if self.is_leader() && message.term == self.hard_state.term {
            return;
        }
        self.become_follower(now, message.term, Some(sender.node));
        self.leader_contact = Some(now);
        self.reset_deadline(now);
        let reply = match message.body {
            MessageBody::Append {
                timestamp,
                prev_index,
                prev_term,
                entries,
                commit,
            } => {
                let outcome = self.append_entries((prev_index, prev_term), entries, commit);
                MessageBody::AppendReply { timestamp, outcome }
            }
            body => match self.handle_snapshot_chunk(body) {
                Some(reply) => reply,
                None => return,
            },
        };
        self.send_when_durable(sender, self.hard_state.term, reply);
    }

    fn append_entries(
        &mut self,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<LogEntry>,
        commit: u64,
    ) -> AppendOutcome {
        let expected = prev_index + 1..;
        if !entries
            .iter()
            .map(|e| e.index)
            .eq(expected.take(entries.len()))
        {
            return AppendOutcome::Mismatch(self.commit);
        }
        if !self.has_matching_entry(prev_index, prev_term) {
            return AppendOutcome::Mismatch(self.mismatch_hint(prev_index));
        }
        let matched = prev_index + entries.len() as u64;
        for entry in entries {
            self.append_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        AppendOutcome::Matched(matched)
    }

    /// Whether the log holds the entry before the leader's batch. Committed entries always match.
    fn has_matching_entry(&self, index: u64, term: u64) -> bool {
        index <= self.commit || self.log.term(index) == Some(term)
    }

    /// Index from which the leader should continue: the end of a shorter log, otherwise the entry
    /// before the first one of the conflicting term.
    fn mismatch_hint(&self, prev_index: u64) -> u64 {
        if prev_index > self.log.last_index() {
            return self.log.last_index();
        }
        (self.log.term_start(prev_index) - 1).max(self.commit)
    }

    fn append_entry(&mut self, entry: LogEntry) {
        let is_known = entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term);
        if is_known {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.log.truncate(entry.index);
        }
        self.disk.mark_entries(entry.index);
        self.log.push(entry);
    }

    fn handle_snapshot_chunk(&mut self, body: MessageBody) -> Option<MessageBody> {
        let MessageBody::SnapshotChunk {
            timestamp,
            index,
            last_term,
            membership,
            offset,
            total,
            chunk,
        } = body
        else {
            return None;
        };
        let reply = |offset, done| {
            Some(MessageBody::SnapshotChunkReply {
                timestamp,
                index,
                offset,
                done,
            })
        };
        if index <= self.commit {
            return reply(total, true);
        }
        let mut partial = self
            .partial_snapshot
            .take_if(|p| p.index == index && p.term == last_term)
            .unwrap_or(PartialSnapshot {
                index,
                term: last_term,
                data: Vec::new(),
            });
        if partial.data.len() as u64 == offset {
            partial.data.extend(chunk);
        }
        let received = partial.data.len() as u64;
        if received < total {
            self.partial_snapshot = Some(partial);
            return reply(received, false);
        }
        self.install_snapshot(Snapshot {
            index,
            term: last_term,
            membership,
            data: partial.data,
        });
        reply(total, true)
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.partial_snapshot = None;
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(snapshot.clone());
        self.disk.mark_snapshot(true);
        self.actions.push(Action::InstallSnapshot(snapshot));
    }
}
