//! The task that owns the replicated log and its store.
//!
//! Messages, commands and questions come in over one channel and are taken in bursts, so that the
//! commands of one burst share a sync. Batches are written on a blocking thread, one at a time.
//! What the layer above has to do comes out as [`VoterEvent`]s; when it is slow, messages to other
//! voters are dropped, never commits.
//!
//! When a write fails, the voter takes part in nothing until its folder takes writes again. It then
//! starts over from what is on disk, as after a restart of the process. Commits that were handed out
//! before are not handed out again.

pub use super::voter_handle::{ProposeError, VoterConfig, VoterEvent, VoterHandle, VoterStatus};
use super::{
    logging::EventLog,
    store::{Opened, Store, StoreError},
    voter_handle::Request,
};
use cornelrail_lib::{
    moment::Moment,
    process::{
        event::Event,
        raft::{
            Action, Batch, Identity, LeaderInfo, LogEntry, Member, Membership, MembershipError,
            Payload, Raft, RaftConfig,
        },
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
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

/// Pause between two attempts to write to a data folder that has failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// Opens the data folder and starts the voter's task on the present runtime. The task ends when
/// it is told to stop, when all handles are dropped, or when the data folder is damaged.
pub fn start(config: VoterConfig) -> Result<(VoterHandle, mpsc::Receiver<VoterEvent>), StoreError> {
    let opened = Store::open(&config.folder, &config.fleet, config.node).inspect_err(log_damage)?;
    if opened.torn > 0 {
        let folder = config.folder.display();
        Event::TornTail.log(format_args!("folder={folder} bytes={}", opened.torn));
    }
    let (requests, inbox) = mpsc::channel(REQUESTS);
    let (events, receiver) = mpsc::channel(EVENTS);
    let clock = config.clock;
    let raft_config = raft_config(&config, opened.identity);
    let raft = Raft::new(raft_config, opened.restored, clock.now());
    let voter = Voter {
        membership: raft.membership().clone(),
        raft,
        config,
        disk: Disk::Idle(opened.store),
        emitted: 0,
        inbox,
        events,
        outbox: VecDeque::new(),
        proposals: BTreeMap::new(),
        stopping: None,
        batches: 0,
    };
    tokio::spawn(voter.run());
    let handle = VoterHandle { requests, clock };
    Ok((handle, receiver))
}

fn raft_config(config: &VoterConfig, identity: Identity) -> RaftConfig {
    RaftConfig {
        node: config.node,
        identity,
        configured_voters: config.listed.clone(),
        join_policy: config.joining,
        election_timeout: config.election,
        heartbeat_interval: config.heartbeat,
        clock_drift: config.drift,
        min_voters: config.min_voters,
        retained_entries: config.retain,
        rng_seed: rand::random(),
    }
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
    config: VoterConfig,
    disk: Disk,
    /// Index up to which commits were handed out.
    emitted: u64,
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
            if matches!(self.disk, Disk::Failed) && !self.reopen().await {
                self.flush().await;
                return;
            }
            if self.stopping.is_some() {
                return self.stop().await;
            }
            let wakeup = self.config.clock.instant(self.raft.next_wakeup());
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
                () = time::sleep_until(wakeup) => {}
            }
            self.raft.tick(self.now());
        }
    }

    fn now(&self) -> Moment {
        self.config.clock.now()
    }

    /// Waits until the data folder takes writes again, and starts over from its content. Returns false
    /// if the voter is to end.
    async fn reopen(&mut self) -> bool {
        self.step_down();
        let events = self.events.clone();
        let mut retry = time::interval(REOPEN_PAUSE);
        loop {
            tokio::select! {
                request = self.inbox.recv() => match request {
                    Some(Request::Stop(answer)) => {
                        reply(answer, ());
                        return false;
                    }
                    Some(request) => self.reject(request),
                    None => return false,
                },
                permit = events.reserve(), if !self.outbox.is_empty() => {
                    match (permit, self.outbox.pop_front()) {
                        (Ok(permit), Some(event)) => permit.send(event),
                        _ => return false,
                    }
                }
                _ = retry.tick() => match self.open_again().await {
                    Ok(opened) => {
                        let config = raft_config(&self.config, opened.identity);
                        self.raft = Raft::new(config, opened.restored, self.now());
                        self.disk = Disk::Idle(opened.store);
                        self.emit(VoterEvent::Recovered);
                        return true;
                    }
                    Err(StoreError::Io { .. }) => {}
                    Err(error) => {
                        log_damage(&error);
                        return false;
                    }
                },
            }
        }
    }

    async fn open_again(&self) -> Result<Opened, StoreError> {
        let config = self.config.clone();
        let open = move || Store::reopen(&config.folder, &config.fleet, config.node);
        match task::spawn_blocking(open).await {
            Ok(opened) => opened,
            Err(error) => match error.try_into_panic() {
                Ok(panic) => std::panic::resume_unwind(panic),
                Err(_) => std::future::pending().await,
            },
        }
    }

    /// Tells the layer above and those who wait for commits that this voter takes part in nothing.
    fn step_down(&mut self) {
        self.change_role(LeaderInfo {
            leader: None,
            is_ready: false,
            ..self.raft.leader_info()
        });
    }

    /// Answers a request while the data folder takes no writes.
    fn reject(&mut self, request: Request) {
        match request {
            Request::Propose(_, answer) => reply(answer, Err(ProposeError::NotLeader(None))),
            Request::Change(_, answer) => reply(answer, Err(MembershipError::NotLeader(None))),
            Request::Status(answer) => {
                let mut status = self.status(self.now());
                status.lease = None;
                status.role.leader = None;
                status.role.is_ready = false;
                reply(answer, status);
            }
            Request::Receive(..) | Request::Snapshot(..) | Request::Stop(_) => {}
        }
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
                Err(error) => reply(answer, Err(ProposeError::NotLeader(error.leader))),
            },
            Request::Change(change, answer) => {
                reply(answer, self.raft.propose_membership_change(now, change));
            }
            Request::Snapshot(index, state) => self.raft.compact(index, state),
            Request::Status(answer) => reply(answer, self.status(now)),
            Request::Stop(answer) => self.stopping = Some(answer),
        }
    }

    fn status(&self, now: Moment) -> VoterStatus {
        let lease = self.raft.lease_end().filter(|end| now < *end);
        let longest = now + self.config.election;
        VoterStatus {
            member: self.raft.member(),
            role: self.raft.leader_info(),
            commit: self.raft.commit(),
            last: self.raft.last_index(),
            snapshot: self.raft.snapshot_index(),
            membership: self.raft.membership().clone(),
            silent: self.raft.silent_voters(now),
            batches: self.batches,
            lease: lease.map(|end| end.min(longest)),
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
                // Frees the folder, which is locked.
                drop(store);
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
                Action::Apply(entry) => self.commit(entry),
                Action::InstallSnapshot(snapshot) if snapshot.index > self.emitted => {
                    self.emitted = snapshot.index;
                    self.emit(VoterEvent::Install {
                        index: snapshot.index,
                        snapshot: snapshot.data,
                    });
                }
                Action::InstallSnapshot(_) => {}
                Action::LeaderChanged(info) => self.change_role(info),
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

    fn commit(&mut self, entry: LogEntry) {
        let LogEntry {
            index,
            term,
            payload,
        } = entry;
        let command = match payload {
            Payload::Command(command) => command,
            _ => Vec::new(),
        };
        if index > self.emitted {
            self.emitted = index;
            self.emit(VoterEvent::Committed {
                index,
                term,
                command,
            });
        }
        if let Some(proposal) = self.proposals.remove(&index) {
            let outcome = match proposal.term == term {
                true => Ok(index),
                false => Err(ProposeError::Unknown),
            };
            reply(proposal.answer, outcome);
        }
    }

    fn change_role(&mut self, info: LeaderInfo) {
        if !info.is_ready {
            for (_, proposal) in std::mem::take(&mut self.proposals) {
                reply(proposal.answer, Err(ProposeError::Unknown));
            }
        }
        self.emit(VoterEvent::Role {
            leader: info.leader,
            term: info.term,
            ours: info.is_ready,
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
