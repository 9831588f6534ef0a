//! The replicated log: Raft with pre-vote, check-quorum, leader leases, learners and changes of one
//! voter at a time.
//!
//! [`Raft`] is one voter as a pure state machine. It is given the time, messages, commands and the
//! news that a [`Batch`] is on disk, and hands out [`Action`]s. No message that promises something
//! leaves before what it promises is on disk.
//!
//! A voter is a node together with the identity of its data folder ([`Member`]), and a message is
//! meant for one identity. An emptied folder has a new identity, so a vote or acknowledgement that
//! the lost one gave cannot be contradicted by the new one.
//!
//! The design and the ways weighed stand in `docs/design/replicated-log.md`.

mod admission;
mod config;
mod disk;
mod election;
mod follower;
mod log;
mod membership;
mod message;
mod replication;

pub use self::{
    config::{JoinPolicy, RaftConfig, RestoredState},
    disk::Batch,
    membership::{Identity, Member, Membership, MembershipChange, MembershipError},
    message::{
        AppendOutcome, HardState, LogEntry, Message, MessageBody, Payload, Snapshot, VoteKind,
    },
};

use self::{
    admission::ReceivedHello, disk::DiskState, election::Campaign, follower::PartialSnapshot,
    log::Log, replication::ReplicationState,
};
use crate::{moment::Moment, name::Node};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{collections::BTreeMap, mem};
use thiserror::Error;

/// What the caller of [`Raft`] has to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a node.
    Send {
        /// The node.
        to: Node,
        /// The message.
        message: Message,
    },
    /// Write and sync a batch, then call [`Raft::persisted`] with its number.
    Persist(Batch),
    /// Apply a committed entry. Indices grow by one from the last one applied or installed.
    Apply(LogEntry),
    /// Replace the applied state by that of a snapshot.
    InstallSnapshot(Snapshot),
    /// The leader that this voter knows of, or its term, changed.
    LeaderChanged(LeaderInfo),
}

/// Who leads, as far as one voter knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderInfo {
    /// The leader, if one is known.
    pub leader: Option<Node>,
    /// Term of this voter.
    pub term: u64,
    /// Whether this voter is the leader and an entry of its own term is committed. All that was
    /// committed before it has been handed out by then.
    pub is_ready: bool,
}

/// A command was offered to a voter that does not lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("this voter does not lead; send the command to the leader")]
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

/// One voter or learner.
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
    /// Voter that starts with what its disk holds.
    ///
    /// A voter that has run before may have acknowledged a leader just before it stopped, so it
    /// gives no vote within the shortest election timeout from `now`.
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

    /// Does what is due at `now`.
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

    /// Takes a message in. One that is meant for another identity is dropped.
    pub fn step(&mut self, now: Moment, from: Node, message: Message) {
        let is_hello = matches!(message.body, MessageBody::Hello { .. });
        if message.to != self.config.identity && !(is_hello && message.to == Identity::ANY) {
            return;
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

    /// Offers a command to the log. Gives the index at which it will stand if it is committed under
    /// the present term.
    pub fn propose(&mut self, now: Moment, command: Vec<u8>) -> Result<u64, NotLeader> {
        self.append_as_leader(now, Payload::Command(command))
            .ok_or(NotLeader {
                leader: self.leader,
            })
    }

    /// Takes note that the batch of this number is on disk.
    pub fn persisted(&mut self, now: Moment, number: u64) {
        let ready = self.disk.persisted(number);
        self.actions.extend(
            ready
                .into_iter()
                .map(|(to, message)| Action::Send { to, message }),
        );
        self.advance_commit(now);
    }

    /// Replaces all entries up to `index`, which must have been applied, by a snapshot of the state
    /// that they led to.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) {
        if index <= self.log.snapshot_index() || index > self.applied {
            return;
        }
        self.log.compact(index, data, self.config.retained_entries);
        self.disk.mark_snapshot(false);
    }

    /// Takes what is to be done now.
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

    /// Whether this voter leads and knows all that was committed before.
    pub fn is_ready(&self) -> bool {
        self.is_leader() && self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Present term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Last committed index known here.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Last index handed out for application.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Last index of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the latest snapshot, 0 if there is none.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot_index()
    }

    /// Membership in force.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// This node with its folder.
    pub fn member(&self) -> Member {
        self.config.member()
    }

    /// Who leads, as far as this voter knows.
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

    /// Sends a message that promises what is not on disk yet.
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

    /// Appends an entry of the present term if this voter leads; gives its index.
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
