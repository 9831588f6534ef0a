//! Messages between entries.

use crate::request::message::RequestHead;
use cornelrail_lib::{
    connection::order::Leave,
    name::{Node, Version},
    process::{
        operator_api::{InForceAnswer, NoteAnswer},
        raft::Message,
    },
    request::{once, quarantine::Crash},
    version::{
        command::{Announcement, Command},
        report::EntryReport,
    },
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A committed command with its place in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Logged {
    /// Its log index.
    pub index: u64,
    /// The command.
    pub command: Command,
}

/// One-way message, on the stream that a link keeps open.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Control {
    /// Message of the replicated log between voters.
    Raft(Message),
    /// Commands that the leader has seen committed, in order without gaps.
    Commands(Vec<Logged>),
}

/// Message that opens a stream of its own and waits for a [`Reply`]. A forwarded request is answered
/// by [`Forwarded`](crate::request::message::Forwarded) and a body instead.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// Heartbeat and report of an entry to the leader.
    Report(Box<EntryReport>),
    /// A target's announcement, passed on to the leader.
    Announce(Announcement),
    /// A target asks to leave, passed on to the leader.
    Leave(Leave),
    /// A release note that an operator approved, passed on to the leader.
    Note(NoteCall),
    /// Question where a version is in force, passed on to the leader.
    InForce(Version),
    /// Message to a replica of the once-only register.
    Once(once::RegisterRequest),
    /// A request crashed a target, told to the leader.
    Crash(Crash),
    /// A request for a target whose home the callee is.
    Forward(Box<RequestHead>),
}

/// A release note on its way to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteCall {
    /// Operator who approved it.
    pub author: String,
    /// The note's YAML text.
    pub text: String,
}

/// What the leader grants for a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Length of the lease from the sending of the report.
    pub lease: Duration,
    /// Last log index that the leader has applied; the lease counts once the entry has it too.
    pub latest: u64,
    /// State of the fleet, for an entry that lags too far behind.
    pub snapshot: Option<Vec<u8>>,
    /// The commands that the entry lacks.
    pub commands: Vec<Logged>,
}

/// Answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The lease is renewed.
    Lease(LeaseGrant),
    /// The callee does not lead; this entry may.
    NotLeader(Option<Node>),
    /// The announcement, leave or crash was taken in.
    Taken,
    /// The announcement was turned away; the text names the remedy.
    Rejected(String),
    /// What became of a note.
    Note(NoteAnswer),
    /// Where a version is in force.
    InForce(InForceAnswer),
    /// Answer of a replica of the once-only register.
    Once(once::RegisterReply),
}
