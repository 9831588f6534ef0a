//! Settings, messages and handle of the voter's task.

use super::{clock::Clock, store::StoreError};
use cornelrail_lib::{
    moment::Moment,
    name::Node,
    process::raft::{
        JoinPolicy, LeaderInfo, Member, Membership, MembershipChange, MembershipError, Message,
        VoterCount,
    },
};
use std::{path::PathBuf, time::Duration};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Settings of a voter.
#[derive(Debug, Clone)]
pub struct VoterConfig {
    /// Clock of the process.
    pub clock: Clock,
    /// Data folder.
    pub folder: PathBuf,
    /// Name of the fleet.
    pub fleet: String,
    /// This node.
    pub node: Node,
    /// Nodes that the settings list as voters, this one included.
    pub listed: Vec<Node>,
    /// Who may join the log, and who may found it.
    pub joining: JoinPolicy,
    /// Shortest election timeout; the longest is twice that.
    pub election: Duration,
    /// Pause between heartbeats of a leader.
    pub heartbeat: Duration,
    /// How much the clocks of two hosts may run apart during an election timeout.
    pub drift: Duration,
    /// Number of voters below which a seeded fleet does not shrink by itself.
    pub min_voters: usize,
    /// Entries kept behind a snapshot, so that a voter slightly behind needs no snapshot.
    pub retain: u64,
}

/// What the layer above has to do or know.
#[derive(Debug)]
pub enum VoterEvent {
    /// Send a message to another voter.
    Send {
        /// The voter.
        to: Node,
        /// The message.
        message: Message,
    },
    /// Apply a committed command. Indices grow by one; an entry of the log's own use is empty.
    Committed {
        /// Its index.
        index: u64,
        /// Term of the leader that took it in.
        term: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Replace the applied state by this one.
    Install {
        /// Last index that it covers.
        index: u64,
        /// The state, as once given to [`VoterHandle::snapshot`].
        snapshot: Vec<u8>,
    },
    /// The known leader or the term changed.
    Role {
        /// The leader, if one is known.
        leader: Option<Node>,
        /// Term of this voter.
        term: u64,
        /// Whether this voter is the leader and everything committed before its term came out as
        /// an event before this one. Act on it only within [`VoterHandle::lease`].
        ours: bool,
    },
    /// The data folder failed. The voter takes part in nothing until [`VoterEvent::Recovered`], which
    /// never comes if the folder is damaged.
    Failed(StoreError),
    /// The data folder takes writes again, and the voter takes part.
    Recovered,
}

/// Why a command is not known to be committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This voter does not lead; nothing was done.
    #[error("this voter does not lead; send the command to the leader")]
    NotLeader(Option<Node>),
    /// The voter stopped to lead or stopped altogether; the command may be committed yet.
    #[error("the outcome is not known; read the state before sending the command again")]
    Unknown,
}

/// State of a voter, for operators.
#[derive(Debug, Clone)]
pub struct VoterStatus {
    /// This node with the identity of its data folder.
    pub member: Member,
    /// The known leader, the term, and whether this voter leads.
    pub role: LeaderInfo,
    /// Last committed index.
    pub commit: u64,
    /// Last index of the log.
    pub last: u64,
    /// Index of the latest snapshot.
    pub snapshot: u64,
    /// Membership in force.
    pub membership: Membership,
    /// End of the lease that this voter holds as leader.
    pub lease: Option<Moment>,
    /// Voters that have not answered for a while, if this voter leads.
    pub silent: usize,
    /// Batches synced to disk since the start.
    pub batches: u64,
}

impl VoterStatus {
    /// Number of further voters that the group can lose and still commit.
    pub fn bearable_losses(&self) -> usize {
        let count = VoterCount {
            voters: self.membership.voters.len(),
            silent: self.silent,
        };
        count.bearable_losses()
    }

    /// Number of voters that a whole group of this size can lose.
    pub fn tolerated_losses(&self) -> usize {
        self.membership
            .voters
            .len()
            .saturating_sub(self.membership.quorum())
    }
}

/// What the voter's task is asked.
pub(super) enum Request {
    Receive(Node, Message),
    Propose(Vec<u8>, oneshot::Sender<Result<u64, ProposeError>>),
    Change(
        MembershipChange,
        oneshot::Sender<Result<u64, MembershipError>>,
    ),
    Snapshot(u64, Vec<u8>),
    Status(oneshot::Sender<VoterStatus>),
    Stop(oneshot::Sender<()>),
}

/// Way to talk to the voter's task.
#[derive(Debug, Clone)]
pub struct VoterHandle {
    pub(super) requests: mpsc::Sender<Request>,
    pub(super) clock: Clock,
}

impl VoterHandle {
    /// Hands in a message from another voter. It is dropped if the task is too busy.
    pub fn receive(&self, from: Node, message: Message) {
        let _ = self.requests.try_send(Request::Receive(from, message));
    }

    /// Offers a command; gives its index once it is committed.
    pub async fn propose(&self, command: Vec<u8>) -> Result<u64, ProposeError> {
        let (answer, answered) = oneshot::channel();
        self.request(Request::Propose(command, answer)).await;
        answered.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Whether this voter leads and no other can, at the time of the answer.
    pub async fn has_lease(&self) -> bool {
        self.lease().await.is_some_and(|end| self.clock.now() < end)
    }

    /// End of the lease that this voter holds as leader.
    pub async fn lease(&self) -> Option<Moment> {
        self.status().await?.lease
    }

    /// Hands in the applied state up to `index`, so that the log before it can go.
    pub async fn snapshot(&self, index: u64, state: Vec<u8>) {
        self.request(Request::Snapshot(index, state)).await;
    }

    /// State of the voter; `None` if it has stopped.
    pub async fn status(&self) -> Option<VoterStatus> {
        let (answer, answered) = oneshot::channel();
        self.request(Request::Status(answer)).await;
        answered.await.ok()
    }

    /// Changes the membership by one member; gives the index of the entry that holds the change.
    pub async fn change_voters(&self, change: MembershipChange) -> Result<u64, MembershipError> {
        let (answer, answered) = oneshot::channel();
        self.request(Request::Change(change, answer)).await;
        answered
            .await
            .unwrap_or(Err(MembershipError::NotLeader(None)))
    }

    /// Ends the task; returns when the data folder is free again.
    pub async fn stop(&self) {
        let (answer, answered) = oneshot::channel();
        self.request(Request::Stop(answer)).await;
        // The way to answer is dropped with the task or before it.
        let _ = answered.await;
    }

    async fn request(&self, request: Request) {
        // A stopped task drops the request, and with it the way to answer.
        let _ = self.requests.send(request).await;
    }
}
