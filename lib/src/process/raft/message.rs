//! What voters say to each other and what the log holds.

use super::membership::{Identity, Member, Membership};
use crate::name::Node;
use serde::{Deserialize, Serialize};

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; lets a new leader commit what earlier terms left.
    Noop,
    /// Voters and learners from this entry on.
    Membership(Membership),
    /// A command of the layer above, opaque here.
    Command(Vec<u8>),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that created it.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// State of the layer above, which stands for all entries up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub membership: Membership,
    /// State, opaque here.
    pub data: Vec<u8>,
}

/// What must be on disk before a message that depends on it leaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Who got this voter's vote in that term.
    pub vote: Option<Member>,
}

/// Why a vote is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Whether an election would succeed; binds nobody.
    PreVote,
    /// An election.
    Election,
    /// The first election of a fleet: each listed voter must agree and have an empty log.
    Bootstrap,
}

/// One message between voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Identity of the sender's folder.
    pub from: Identity,
    /// Identity that it is meant for; any other drops it.
    pub to: Identity,
    /// Term of the sender; for a [`VoteKind::PreVote`] the term that it would take.
    pub term: u64,
    /// Content.
    pub body: MessageBody,
}

/// Content of a message. A `timestamp` is the leader's own clock in microseconds; the answer echoes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// A node that hears of no leader makes its identity known.
    Hello {
        /// Whether its log is empty.
        empty: bool,
    },
    /// Asks for a vote.
    VoteRequest {
        /// Why.
        kind: VoteKind,
        /// Last entry of the candidate's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Which request.
        kind: VoteKind,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries from the leader, or a heartbeat if there are none.
    Append {
        /// Time of sending.
        timestamp: u64,
        /// Entry before the first one.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries that follow it.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: u64,
    },
    /// Answers [`MessageBody::Append`].
    AppendReply {
        /// Stamp of the request.
        timestamp: u64,
        /// Last entry known to be equal and on disk, or a hint where the logs may meet.
        outcome: AppendOutcome,
    },
    /// Part of a snapshot from the leader.
    SnapshotChunk {
        /// Time of sending.
        timestamp: u64,
        /// Last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Membership as of that entry.
        membership: Membership,
        /// Position of the part in the data.
        offset: u64,
        /// Length of the whole data.
        total: u64,
        /// The part.
        chunk: Vec<u8>,
    },
    /// Answers [`MessageBody::SnapshotChunk`].
    SnapshotChunkReply {
        /// Stamp of the request.
        timestamp: u64,
        /// Snapshot that is being received.
        index: u64,
        /// Position of the part wanted next.
        offset: u64,
        /// Whether the whole snapshot is on disk.
        done: bool,
    },
    /// Answers the greeting of a stranger: who to greet instead.
    Redirect {
        /// The leader.
        leader: Node,
    },
}

/// What became of an [`MessageBody::Append`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The logs are equal up to this index, and so far it is on disk.
    Matched(u64),
    /// The logs differ; they may meet at this index.
    Mismatch(u64),
}
