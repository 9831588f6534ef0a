//! The task that owns the replicated log and its store.
//!
//! Messages, commands and questions come in over one channel and are taken in bursts, so that the
//! commands of one burst share a sync. Batches are written on a blocking thread, one at a time.
//! What the layer above has to do comes out as [`VoterEvent`]s; when it is slow, messages to other
//! voters are dropped, never commits.

use super::{
    logging::EventLog,
    store::{Store, StoreError},
};
use cornelrail_lib::{
    moment::Moment,
    name::Node,
    process::{
        event::Event,
        raft::{
            Action, Batch, ChangeError, Entry, Member, Membership, Message, Payload, Raft,
            RaftConfig, RoleNews, VoterChange,
        },
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    path::PathBuf,
    time::{Duration, Instant},
};
use thiserror::Error;
use tokio::{
    sync::{mpsc, oneshot},
    task::{self, JoinHandle},
    time,
};

/// Requests that wait for the task at most.
const REQUESTS: usize = 4096;
/// Requests taken at once.
const BURST: usize = 256;
/// Events that wait for the layer above.
const EVENTS: usize = 1024;
/// Events kept when those places are full; beyond, messages to other voters are dropped.
const OUTBOX: usize = 4096;

/// Settings of a voter.
#[derive(Debug, Clone)]
pub struct VoterConfig {
    /// Data folder.
    pub folder: PathBuf,
    /// Name of the fleet.
    pub fleet: String,
    /// This node.
    pub node: Node,
    /// Nodes that the settings list as voters, this one included.
    pub listed: Vec<Node>,
    /// Shortest election timeout; the longest is twice that.
    pub election: Duration,
    /// Pause between heartbeats of a leader.
    pub heartbeat: Duration,
    /// How much the clocks of two hosts may run apart during an election timeout.
    pub drift: Duration,
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
    /// The data folder failed; the voter has stopped and the process should too.
    Failed(StoreError),
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
    pub role: RoleNews,
    /// Last committed index.
    pub commit: u64,
    /// Last index of the log.
    pub last: u64,
    /// Index of the latest snapshot.
    pub snapshot: u64,
    /// Membership in force.
    pub membership: Membership,
    /// End of the lease that this voter holds as leader.
    pub lease: Option<Instant>,
    /// Batches synced to disk since the start.
    pub batches: u64,
}

enum Request {
    Receive(Node, Message),
    Propose(Vec<u8>, oneshot::Sender<Result<u64, ProposeError>>),
    Change(VoterChange, oneshot::Sender<Result<u64, ChangeError>>),
    Snapshot(u64, Vec<u8>),
    Status(oneshot::Sender<VoterStatus>),
    Stop(oneshot::Sender<()>),
}

/// Way to talk to the voter's task.
#[derive(Debug, Clone)]
pub struct VoterHandle {
    requests: mpsc::Sender<Request>,
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
        self.lease().await.is_some_and(|end| Instant::now() < end)
    }

    /// End of the lease that this voter holds as leader.
    pub async fn lease(&self) -> Option<Instant> {
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
    pub async fn change_voters(&self, change: VoterChange) -> Result<u64, ChangeError> {
        let (answer, answered) = oneshot::channel();
        self.request(Request::Change(change, answer)).await;
        answered.await.unwrap_or(Err(ChangeError::NotLeader(None)))
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

/// Opens the data folder and starts the voter's task on the present runtime. The task ends when
/// it is told to stop, when all handles are dropped, or when the data folder fails.
pub fn start(config: VoterConfig) -> Result<(VoterHandle, mpsc::Receiver<VoterEvent>), StoreError> {
    let opened = Store::open(&config.folder, &config.fleet, config.node).inspect_err(log_damage)?;
    if opened.torn > 0 {
        let folder = config.folder.display();
        Event::TornTail.log(format_args!("folder={folder} bytes={}", opened.torn));
    }
    let raft_config = RaftConfig {
        node: config.node,
        identity: opened.identity,
        listed: config.listed,
        election: config.election,
        heartbeat: config.heartbeat,
        drift: config.drift,
        retain: config.retain,
        seed: rand::random(),
    };
    let (requests, inbox) = mpsc::channel(REQUESTS);
    let (events, receiver) = mpsc::channel(EVENTS);
    let raft = Raft::new(raft_config, opened.restored, Moment::ZERO);
    let voter = Voter {
        membership: raft.membership().clone(),
        raft,
        origin: Instant::now(),
        election: config.election,
        disk: Disk::Idle(opened.store),
        inbox,
        events,
        outbox: VecDeque::new(),
        proposals: BTreeMap::new(),
        stopping: None,
        batches: 0,
    };
    tokio::spawn(voter.run());
    Ok((VoterHandle { requests }, receiver))
}

/// Writes to the log that a data folder lost what may have been acknowledged.
fn log_damage(error: &StoreError) {
    if matches!(
        error,
        StoreError::Damaged { .. } | StoreError::Missing { .. }
    ) {
        Event::StoreDamaged.log(format_args!("why={error}"));
    }
}

enum Disk {
    Idle(Store),
    Writing(JoinHandle<(Store, u64, Result<(), StoreError>)>),
    Failed,
}

impl Disk {
    /// Waits for the batch that is being written, if there is one.
    async fn written(&mut self) -> (Store, u64, Result<(), StoreError>) {
        match self {
            Disk::Writing(write) => match write.await {
                Ok(done) => done,
                Err(error) => match error.try_into_panic() {
                    Ok(panic) => std::panic::resume_unwind(panic),
                    Err(_) => std::future::pending().await,
                },
            },
            Disk::Idle(_) | Disk::Failed => std::future::pending().await,
        }
    }
}

struct Proposal {
    term: u64,
    answer: oneshot::Sender<Result<u64, ProposeError>>,
}

struct Voter {
    raft: Raft,
    /// Membership that the log of events told of last.
    membership: Membership,
    origin: Instant,
    election: Duration,
    disk: Disk,
    inbox: mpsc::Receiver<Request>,
    events: mpsc::Sender<VoterEvent>,
    outbox: VecDeque<VoterEvent>,
    proposals: BTreeMap<u64, Proposal>,
    stopping: Option<oneshot::Sender<()>>,
    batches: u64,
}

impl Voter {
    async fn run(mut self) {
        let mut burst = Vec::with_capacity(BURST);
        let events = self.events.clone();
        loop {
            self.carry_out();
            if matches!(self.disk, Disk::Failed) {
                self.flush().await;
                return;
            }
            if self.stopping.is_some() {
                return self.stop().await;
            }
            let wakeup = self.origin + self.raft.next_wakeup().since(Moment::ZERO);
            tokio::select! {
                count = self.inbox.recv_many(&mut burst, BURST) => {
                    if count == 0 {
                        return;
                    }
                    for request in burst.drain(..) {
                        self.take(request);
                    }
                }
                (store, number, result) = self.disk.written() => {
                    self.take_written(store, number, result);
                }
                permit = events.reserve(), if !self.outbox.is_empty() => {
                    match (permit, self.outbox.pop_front()) {
                        (Ok(permit), Some(event)) => permit.send(event),
                        _ => return,
                    }
                }
                () = time::sleep_until(wakeup.into()) => {}
            }
            self.raft.tick(self.now());
        }
    }

    fn now(&self) -> Moment {
        Moment::ZERO + self.origin.elapsed()
    }

    fn take(&mut self, request: Request) {
        let now = self.now();
        match request {
            Request::Receive(from, message) => self.raft.step(now, from, message),
            Request::Propose(command, answer) => match self.raft.propose(now, command) {
                Ok(index) => {
                    let term = self.raft.term();
                    self.proposals.insert(index, Proposal { term, answer });
                }
                Err(error) => reply(answer, Err(ProposeError::NotLeader(error.hint))),
            },
            Request::Change(change, answer) => {
                reply(answer, self.raft.propose_voters(now, change));
            }
            Request::Snapshot(index, state) => self.raft.compact(index, state),
            Request::Status(answer) => reply(answer, self.status(now)),
            Request::Stop(answer) => self.stopping = Some(answer),
        }
    }

    fn status(&self, now: Moment) -> VoterStatus {
        let lease = self.raft.lease_end().filter(|end| now < *end);
        let longest = now + self.election;
        VoterStatus {
            member: self.raft.member(),
            role: self.raft.role(),
            commit: self.raft.commit(),
            last: self.raft.last_index(),
            snapshot: self.raft.snapshot_index(),
            membership: self.raft.membership().clone(),
            batches: self.batches,
            lease: lease.map(|end| self.origin + end.min(longest).since(Moment::ZERO)),
        }
    }

    fn take_written(&mut self, store: Store, number: u64, result: Result<(), StoreError>) {
        match result {
            Ok(()) => {
                self.disk = Disk::Idle(store);
                self.batches += 1;
                self.raft.persisted(self.now(), number);
            }
            Err(error) => {
                self.disk = Disk::Failed;
                self.outbox.push_back(VoterEvent::Failed(error));
            }
        }
    }

    fn carry_out(&mut self) {
        for action in self.raft.take_actions() {
            match action {
                Action::Send { to, message } if self.outbox.len() < OUTBOX => {
                    self.emit(VoterEvent::Send { to, message });
                }
                Action::Send { .. } => {}
                Action::Persist(batch) => self.write(batch),
                Action::Commit(entry) => self.commit(entry),
                Action::Install(snapshot) => self.emit(VoterEvent::Install {
                    index: snapshot.index,
                    snapshot: snapshot.data,
                }),
                Action::Role(news) => self.change_role(news),
            }
        }
        if *self.raft.membership() != self.membership {
            self.log_membership();
        }
    }

    /// Writes the new membership to the log, and whether a folder of this node's own is replaced.
    fn log_membership(&mut self) {
        self.membership = self.raft.membership().clone();
        let own = self.raft.member();
        let former = |member: &Member| member.node == own.node && member.identity != own.identity;
        if self.membership.voters.iter().any(former) && !self.membership.voters.contains(&own) {
            Event::DiskReplaced.log(format_args!("member={own}"));
        }
        let names = |members: &BTreeSet<Member>| {
            let names: Vec<_> = members.iter().map(ToString::to_string).collect();
            names.join(",")
        };
        Event::VotersChanged.log(format_args!(
            "voters={} learners={}",
            names(&self.membership.voters),
            names(&self.membership.learners)
        ));
    }

    fn write(&mut self, batch: Batch) {
        match std::mem::replace(&mut self.disk, Disk::Failed) {
            Disk::Idle(mut store) => {
                let write = move || {
                    let result = store.write(&batch);
                    (store, batch.number, result)
                };
                self.disk = Disk::Writing(task::spawn_blocking(write));
            }
            busy => self.disk = busy,
        }
    }

    fn commit(&mut self, entry: Entry) {
        let Entry {
            index,
            term,
            payload,
        } = entry;
        let command = match payload {
            Payload::Command(command) => command,
            _ => Vec::new(),
        };
        self.emit(VoterEvent::Committed {
            index,
            term,
            command,
        });
        if let Some(proposal) = self.proposals.remove(&index) {
            let outcome = match proposal.term == term {
                true => Ok(index),
                false => Err(ProposeError::Unknown),
            };
            reply(proposal.answer, outcome);
        }
    }

    fn change_role(&mut self, news: RoleNews) {
        if !news.ours {
            for (_, proposal) in std::mem::take(&mut self.proposals) {
                reply(proposal.answer, Err(ProposeError::Unknown));
            }
        }
        self.emit(VoterEvent::Role {
            leader: news.leader,
            term: news.term,
            ours: news.ours,
        });
    }

    /// Hands an event out, or keeps it while the layer above is busy.
    fn emit(&mut self, event: VoterEvent) {
        if !self.outbox.is_empty() {
            self.outbox.push_back(event);
            return;
        }
        if let Err(error) = self.events.try_send(event) {
            self.outbox.push_back(error.into_inner());
        }
    }

    /// Ends the batch that is being written and frees the data folder.
    async fn stop(mut self) {
        if matches!(self.disk, Disk::Writing(_)) {
            let _ = self.disk.written().await;
        }
        let stopping = self.stopping.take();
        drop(self);
        if let Some(answer) = stopping {
            reply(answer, ());
        }
    }

    async fn flush(&mut self) {
        for event in std::mem::take(&mut self.outbox) {
            if self.events.send(event).await.is_err() {
                return;
            }
        }
    }
}

/// Answers someone who may have gone away.
fn reply<T>(answer: oneshot::Sender<T>, value: T) {
    let _ = answer.send(value);
}
