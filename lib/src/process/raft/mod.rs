//! The replicated log: Raft with pre-vote, check-quorum, leader leases, learners, and membership
//! changes of one member at a time.
//!
//! [`Raft`] is one voter or learner as a state machine without I/O. Its inputs are the time,
//! messages, commands, and the numbers of the [`Batch`]es that are on disk; its outputs are
//! [`Action`]s. A message that promises something, such as a vote or an acknowledgement, is sent
//! only once the promise is on disk.
//!
//! A [`Member`] is a node together with the identity of its data folder, and a message is addressed
//! to one identity. An emptied folder gets a new identity, so the new folder can never contradict a
//! vote or acknowledgement that the lost one gave.
//!
//! `docs/design/replicated-log.md` describes the design and the alternatives considered.

mod admission;
mod config;
mod disk;
mod election;
mod follower;
mod log;
mod membership;
mod message;
mod removal;
mod replication;

pub use self::{
    config::{JoinPolicy, RaftConfig, RestoredState},
    disk::Batch,
    membership::{Identity, Member, Membership, MembershipChange, MembershipError},
    message::{
        AppendOutcome, HardState, LogEntry, Message, MessageBody, Payload, Snapshot, VoteKind,
    },
    removal::{Removal, VoterCount},
};

use self::{
    admission::ReceivedHello, disk::DiskState, election::Campaign, follower::PartialSnapshot,
    log::Log, replication::ReplicationState,
};
use crate::{moment::Moment, name::Node};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{collections::BTreeMap, mem};
use thiserror::Error;

/// Action that the caller of [`Raft`] carries out, in the order in which it is returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a node.
    Send {
        /// Receiver.
        to: Node,
        /// Message, which is addressed to one identity of the node.
        message: Message,
    },
    /// Write and sync a batch, then call [`Raft::persisted`] with its number.
    Persist(Batch),
    /// Apply a committed entry. Its index follows that of the last entry applied or covered by an
    /// installed snapshot.
    Apply(LogEntry),
    /// Replace the applied state with that of a snapshot.
    InstallSnapshot(Snapshot),
    /// The known leader, its readiness or the term changed.
    LeaderChanged(LeaderInfo),
}

/// The leader and term as far as one member knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderInfo {
    /// The leader, if one is known.
    pub leader: Option<Node>,
    /// Current term of this member.
    pub term: u64,
    /// Whether this voter is the leader and an entry of its own term is committed. All entries
    /// committed earlier have been returned as [`Action::Apply`] by then.
    pub is_ready: bool,
}

/// Error of a command proposed to a voter that is not the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("this voter is not the leader; send the command to the leader")]
pub struct NotLeader {
    /// The leader, if one is known.
    pub leader: Option<Node>,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate(Campaign),
    Leader(ReplicationState),
}

/// State machine of one voter or learner.
#[derive(Debug)]
pub struct Raft {
    config: RaftConfig,
    rng: ChaCha8Rng,
    hard_state: HardState,
    log: Log,
    disk: DiskState,
    commit: u64,
    applied: u64,
    role: Role,
    leader: Option<Node>,
    leader_contact: Option<Moment>,
    election_deadline: Moment,
    hellos: BTreeMap<Node, ReceivedHello>,
    partial_snapshot: Option<PartialSnapshot>,
    actions: Vec<Action>,
    reported_info: LeaderInfo,
}

impl Raft {
    /// Starts a member with the state restored from its disk.
    ///
    /// A voter that ran before may have acknowledged a leader just before it stopped, so it grants
    /// no vote within the shortest election timeout from `now`.
    pub fn new(config: RaftConfig, restored: RestoredState, now: Moment) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(config.rng_seed);
        let hard_state = restored.hard_state;
        let log = Log::new(restored);
        let is_fresh = hard_state == HardState::default() && log.is_empty();
        let mut raft = Raft {
            rng,
            hard_state,
            disk: DiskState::new(log.last_index()),
            commit: log.snapshot_index(),
            applied: log.snapshot_index(),
            role: Role::Follower,
            leader: None,
            leader_contact: (!is_fresh).then_some(now),
            election_deadline: now,
            hellos: BTreeMap::new(),
            partial_snapshot: None,
            actions: Vec::new(),
            reported_info: LeaderInfo::default(),
            config,
            log,
        };
        raft.actions
            .extend(raft.log.snapshot().cloned().map(Action::InstallSnapshot));
        raft.reset_deadline(now);
        if raft.log.is_empty() {
            raft.send_hellos();
        }
        raft.tick(now);
        raft
    }

    /// Does the work that is due at `now`: campaigns, or replicates as the leader.
    pub fn tick(&mut self, now: Moment) {
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now);
        } else if self.election_deadline <= now || self.can_bootstrap_alone(now) {
            self.campaign(now);
        }
    }

    /// Time at which [`Raft::tick`] is due next.
    pub fn next_wakeup(&self) -> Moment {
        match &self.role {
            Role::Leader(replication) => replication.next_heartbeat,
            Role::Follower | Role::Candidate(_) => self.election_deadline,
        }
    }

    /// Handles a message. One addressed to another identity is not taken in.
    pub fn step(&mut self, now: Moment, from: Node, message: Message) {
        let is_hello = matches!(message.body, MessageBody::Hello { .. });
        if message.to != self.config.identity && !(is_hello && message.to == Identity::ANY) {
            return self.answer_former_identity(from);
        }
        let sender = Member {
            node: from,
            identity: message.from,
        };
        let term = message.term;
        match message.body {
            MessageBody::Hello { empty } => self.handle_hello(now, sender, empty),
            MessageBody::Redirect { leader } => self.handle_redirect(leader),
            MessageBody::VoteRequest { kind, .. } => {
                self.handle_vote_request(now, sender, kind, &message)
            }
            MessageBody::VoteReply { kind, granted } => {
                self.handle_vote_reply(now, sender, term, kind, granted);
            }
            MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. } => {
                self.handle_leader_message(now, sender, message);
            }
            MessageBody::AppendReply { .. } | MessageBody::SnapshotChunkReply { .. } => {
                self.handle_reply(now, sender, message);
            }
        }
    }

    /// Appends a command to the log if this voter leads. Returns the index that the command has if
    /// it is committed in the current term.
    pub fn propose(&mut self, now: Moment, command: Vec<u8>) -> Result<u64, NotLeader> {
        self.append_as_leader(now, Payload::Command(command))
            .ok_or(NotLeader {
                leader: self.leader,
            })
    }

    /// Records that the batch of this number is on disk, sends the messages that waited for it, and
    /// commits what it completes.
    pub fn persisted(&mut self, now: Moment, number: u64) {
        let ready = self.disk.persisted(number);
        self.actions.extend(
            ready
                .into_iter()
                .map(|(to, message)| Action::Send { to, message }),
        );
        self.advance_commit(now);
    }

    /// Replaces the entries up to `index`, which must have been applied, with a snapshot of the
    /// resulting state. Does nothing if a snapshot already covers `index`.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) {
        if index <= self.log.snapshot_index() || index > self.applied {
            return;
        }
        self.log.compact(index, data, self.config.retained_entries);
        self.disk.mark_snapshot(false);
    }

    /// Returns the actions to carry out now and removes them from the queue.
    pub fn take_actions(&mut self) -> Vec<Action> {
        while self.applied < self.commit {
            self.applied += 1;
            let entry = self.log.entry(self.applied).cloned();
            self.actions.extend(entry.map(Action::Apply));
        }
        let batch = self.disk.next_batch(self.hard_state, &self.log);
        self.actions.extend(batch.map(Action::Persist));
        let info = self.leader_info();
        if info != self.reported_info {
            self.reported_info = info;
            self.actions.push(Action::LeaderChanged(info));
        }
        mem::take(&mut self.actions)
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<Node> {
        self.leader
    }

    /// Whether this voter leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this voter leads and knows all entries committed before. It does once an entry of
    /// its own term is committed.
    pub fn is_ready(&self) -> bool {
        self.is_leader() && self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Index of the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry returned as [`Action::Apply`] or covered by an installed snapshot.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the last entry that the latest snapshot covers, 0 without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot_index()
    }

    /// Membership in force: that of the latest membership entry, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// This node together with the identity of its data folder.
    pub fn member(&self) -> Member {
        self.config.member()
    }

    /// The leader and term as far as this member knows.
    pub fn leader_info(&self) -> LeaderInfo {
        LeaderInfo {
            leader: self.leader,
            term: self.hard_state.term,
            is_ready: self.is_ready(),
        }
    }

    fn send(&mut self, to: Member, body: MessageBody) {
        let message = self.message(to.identity, self.hard_state.term, body);
        self.actions.push(Action::Send {
            to: to.node,
            message,
        });
    }

    /// Sends a message once everything changed so far is on disk.
    fn send_when_durable(&mut self, to: Member, term: u64, body: MessageBody) {
        let message = self.message(to.identity, term, body);
        if let Some((to, message)) = self.disk.defer(to.node, message) {
            self.actions.push(Action::Send { to, message });
        }
    }

    fn message(&self, to: Identity, term: u64, body: MessageBody) -> Message {
        Message {
            from: self.config.identity,
            to,
            term,
            body,
        }
    }

    /// Appends an entry of the current term if this voter leads; returns its index.
    fn append_as_leader(&mut self, now: Moment, payload: Payload) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        let index = self.log.last_index() + 1;
        self.log.push(LogEntry {
            index,
            term: self.hard_state.term,
            payload,
        });
        self.disk.mark_entries(index);
        self.replicate(now);
        Some(index)
    }
}
