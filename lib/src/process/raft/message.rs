//! Messages between the members of the replicated log, its entries and its durable state.
//!
//! These types are encoded by `postcard`, which writes no names: the order of fields and variants
//! is part of the format on the wire and on disk.

use super::membership::{Identity, Member, Membership};
use crate::name::Node;
use serde::{Deserialize, Serialize};

/// Content of a [`LogEntry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Empty entry of a new leader, which commits the entries of earlier terms along with its own.
    Noop,
    /// Voters and learners from this entry on, whether it is committed or not.
    Membership(Membership),
    /// Command of the state machine above; the log does not interpret it.
    Command(Vec<u8>),
}

/// Entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that created it.
    pub term: u64,
    /// No-op, membership or command.
    pub payload: Payload,
}

/// State of the state machine above, which replaces all entries up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub membership: Membership,
    /// Encoded state; the log does not interpret it.
    pub data: Vec<u8>,
}

/// Term and vote, which must be on disk before a message that depends on them is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Candidate that this voter voted for in that term.
    pub vote: Option<Member>,
}

/// Kind of vote that a candidate requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Asks whether an election would succeed; the answer does not bind the voter.
    PreVote,
    /// Vote in an election, which binds the voter for the term.
    Election,
    /// Vote in the election that bootstraps a fleet: every configured voter must grant it, and does
    /// so only while its log is empty.
    Bootstrap,
}

/// Message between two members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Identity of the sender's data folder.
    pub from: Identity,
    /// Identity of the receiver's folder; a node with another identity drops the message.
    pub to: Identity,
    /// Term of the sender; for a [`VoteKind::PreVote`] the term of the election that would follow.
    pub term: u64,
    /// Request or reply.
    pub body: MessageBody,
}

/// Content of a [`Message`].
///
/// A `timestamp` is the time of sending by the leader's own clock, in microseconds. The reply
/// echoes it, so the leader can tell from when its lease counts without comparing clocks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// A node that knows no leader announces its identity.
    Hello {
        /// Whether its log is empty.
        empty: bool,
    },
    /// Requests a vote.
    VoteRequest {
        /// Kind of vote.
        kind: VoteKind,
        /// Last entry of the candidate's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers [`MessageBody::VoteRequest`].
    VoteReply {
        /// Kind of the request.
        kind: VoteKind,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader; a heartbeat if there are none.
    Append {
        /// Time of sending.
        timestamp: u64,
        /// Index of the entry before the first one.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries after `prev_index`, in order.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: u64,
    },
    /// Answers [`MessageBody::Append`].
    AppendReply {
        /// Stamp of the request.
        timestamp: u64,
        /// Whether the entries fit the follower's log.
        outcome: AppendOutcome,
    },
    /// Chunk of a snapshot from the leader.
    SnapshotChunk {
        /// Time of sending.
        timestamp: u64,
        /// Last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Membership as of that entry.
        membership: Membership,
        /// Position of the chunk in the data, in bytes.
        offset: u64,
        /// Length of the whole data, in bytes.
        total: u64,
        /// Bytes from `offset` on.
        chunk: Vec<u8>,
    },
    /// Answers [`MessageBody::SnapshotChunk`].
    SnapshotChunkReply {
        /// Stamp of the request.
        timestamp: u64,
        /// Last entry that the snapshot covers.
        index: u64,
        /// Position of the chunk to send next, in bytes.
        offset: u64,
        /// Whether the whole snapshot is on disk.
        done: bool,
    },
    /// Answers the [`MessageBody::Hello`] of a node that is not a member: only the leader can admit
    /// it.
    Redirect {
        /// Leader that the node sends its hello to.
        leader: Node,
    },
}

/// Result of a [`MessageBody::Append`] at a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The logs match up to this index, and the follower has these entries on disk.
    Matched(u64),
    /// The logs differ at the entry before the batch. The leader continues after this index, where
    /// they may match.
    Mismatch(u64),
}
