//! Simulated cluster with clocks, links and disks, for the tests of the replicated log.
//!
//! Time advances in steps of a millisecond. The invariants are checked after each step, and the
//! first violation is kept as text.

mod invariants;

use cornelrail_lib::{
    moment::Moment,
    name::Node,
    process::raft::{
        Action, Batch, Identity, JoinPolicy, LogEntry, Member, Membership, MembershipChange,
        Message, MessageBody, Payload, Raft, RaftConfig, RestoredState,
    },
};
use invariants::Invariants;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

pub const ELECTION_MS: u64 = 150;
const HEARTBEAT_MS: u64 = 30;
/// Drift between the fastest and the slowest clock during an election timeout.
const DRIFT_MS: u64 = 15;
const RETAIN: u64 = 20;

/// Machine with a process that may be down or frozen, and a disk that outlives the process.
pub struct Machine {
    pub raft: Option<Raft>,
    pub disk: RestoredState,
    pub identity: Identity,
    pub frozen: bool,
    /// Whether its disk was emptied and it did not vote since.
    pub emptied: bool,
    /// Machine that replaces this one, which is gone for good.
    pub successor: Option<u64>,
    /// Whether its process ran before; if so, it may not bootstrap a seeded fleet.
    pub started: bool,
    pub applied: u64,
    /// Origin in microseconds, and microseconds per simulated millisecond.
    clock: (u64, u64),
    /// Batches being written, with the time at which each is on disk.
    writes: VecDeque<(u64, Batch)>,
    inbox: Vec<(Node, Message)>,
}

struct InTransitMessage {
    due: u64,
    from: u64,
    to: u64,
    message: Message,
}

pub struct Cluster {
    pub now: u64,
    pub machines: Vec<Machine>,
    pub cut_links: BTreeSet<(u64, u64)>,
    pub loss_percent: u64,
    /// Longest delay of a message.
    pub delay_ms: u64,
    /// Longest time that a sync takes.
    pub sync_ms: u64,
    pub invariants: Invariants,
    pub configured_voters: u64,
    /// Whether the configured voters are seeds, through which any other machine joins.
    pub seeded: bool,
    /// Seeds of the machines that start from now on, if other than the configured voters.
    pub seeds: Option<Vec<u64>>,
    in_transit: Vec<InTransitMessage>,
    rng: ChaCha8Rng,
}

impl Cluster {
    /// Creates machines 1 to `count` and starts the first `configured_voters`, which bootstrap the
    /// fleet.
    pub fn new(count: u64, configured_voters: u64, seed: u64) -> Self {
        let mut cluster = Cluster {
            now: 0,
            machines: Vec::new(),
            cut_links: BTreeSet::new(),
            loss_percent: 0,
            delay_ms: 3,
            sync_ms: 2,
            invariants: Invariants::default(),
            configured_voters,
            seeded: false,
            seeds: None,
            in_transit: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 1..=count {
            let identity = cluster.new_identity();
            let spread = DRIFT_MS * 1000 / ELECTION_MS;
            cluster.machines.push(Machine {
                raft: None,
                disk: RestoredState::default(),
                identity,
                frozen: false,
                emptied: false,
                successor: None,
                started: false,
                applied: 0,
                clock: (node * 777_777, 1000 - spread / 2 + (node * 37) % spread),
                writes: VecDeque::new(),
                inbox: Vec::new(),
            });
        }
        for node in 1..=configured_voters {
            cluster.start(node);
        }
        cluster
    }

    /// Creates machines 1 to `count`, of which the first `seeds` are seeds; starts none.
    pub fn seeded(count: u64, seeds: u64, seed: u64) -> Self {
        let mut cluster = Cluster::new(count, 0, seed);
        cluster.configured_voters = seeds;
        cluster.seeded = true;
        cluster
    }

    pub fn machine(&mut self, node: u64) -> &mut Machine {
        &mut self.machines[node as usize - 1]
    }

    pub fn nodes(&self) -> std::ops::RangeInclusive<u64> {
        1..=self.machines.len() as u64
    }

    /// Local clock of a machine, which runs slightly fast or slow.
    pub fn clock(&self, node: u64) -> Moment {
        let (origin, rate) = self.machines[node as usize - 1].clock;
        Moment::from_micros(origin + self.now * rate)
    }

    pub fn start(&mut self, node: u64) {
        let config = RaftConfig {
            node: Node(node),
            identity: self.machine(node).identity,
            configured_voters: match (&self.seeds, self.seeded) {
                (Some(seeds), _) => seeds.iter().copied().map(Node).collect(),
                (None, true) => (1..=self.configured_voters).map(Node).collect(),
                (None, false) => (1..=self.configured_voters.max(node)).map(Node).collect(),
            },
            join_policy: match self.seeded {
                true => JoinPolicy::Seeded {
                    can_bootstrap: !self.machine(node).started,
                },
                false => JoinPolicy::Configured,
            },
            election_timeout: Duration::from_millis(ELECTION_MS),
            heartbeat_interval: Duration::from_millis(HEARTBEAT_MS),
            clock_drift: Duration::from_millis(DRIFT_MS),
            min_voters: 5,
            retained_entries: RETAIN,
            rng_seed: self.rng.next_u64(),
        };
        let now = self.clock(node);
        let machine = self.machine(node);
        if machine.raft.is_none() {
            machine.frozen = false;
            machine.started = true;
            machine.applied = 0;
            machine.raft = Some(Raft::new(config, machine.disk.clone(), now));
            self.perform_actions(node);
        }
    }

    /// Ends the process. Part of a batch that is not synced may be on disk.
    pub fn crash(&mut self, node: u64) {
        let kept = self.rng.next_u64() as usize % 4;
        let machine = self.machine(node);
        machine.raft = None;
        machine.inbox.clear();
        if let Some((_, mut batch)) = machine.writes.pop_front()
            && kept > 0
            && batch.snapshot.is_none()
        {
            batch.entries.truncate(kept - 1);
            write_batch(&mut machine.disk, &batch);
        }
        machine.writes.clear();
    }

    /// Ends the process and empties its disk.
    pub fn wipe(&mut self, node: u64) {
        self.crash(node);
        let identity = self.new_identity();
        let machine = self.machine(node);
        machine.disk = RestoredState::default();
        machine.identity = identity;
        machine.emptied = true;
    }

    /// Loses a machine for good and starts an empty one in its place, which was not started before.
    pub fn replace(&mut self, node: u64, successor: u64, seeds: Vec<u64>) {
        self.wipe(node);
        self.machine(node).successor = Some(successor);
        self.seeds = Some(seeds);
        // Only the first hosts of a fleet may bootstrap it.
        self.machine(successor).started = true;
        self.start(successor);
    }

    /// Whether a quorum keeps its disks if this one is emptied, under every membership known to a
    /// process, a disk or a message in transit.
    pub fn can_wipe(&self, node: u64) -> bool {
        let rafts = self.machines.iter().filter_map(|m| m.raft.as_ref());
        let disks = self.machines.iter().map(|m| membership_on_disk(&m.disk));
        let inboxes = self.machines.iter().flat_map(|m| &m.inbox);
        let sent = self.in_transit.iter().map(|p| &p.message);
        let sent = sent.chain(inboxes.map(|(_, message)| message));
        let known = rafts.map(|r| r.membership().clone()).chain(disks.flatten());
        let known = known.chain(sent.flat_map(memberships_in));
        let mut latest: Vec<Membership> = known.filter(|m| !m.voters.is_empty()).collect();
        latest.extend(self.invariants.membership.clone());
        let founded = self.invariants.membership.is_some();
        founded && latest.iter().all(|m| self.keeps_quorum(m, node))
    }

    /// Number of other machines whose disk was emptied and that did not vote since. A machine that is
    /// gone for good counts until its successor votes and it is no voter itself.
    pub fn lost_disks(&mut self, node: u64) -> usize {
        let committed = self.invariants.membership.clone().unwrap_or_default();
        let votes = |place: usize, machine: &Machine| {
            committed.is_voter(Member {
                node: Node(place as u64 + 1),
                identity: machine.identity,
            })
        };
        let voting: Vec<bool> = self
            .machines
            .iter()
            .enumerate()
            .map(|(n, m)| votes(n, m))
            .collect();
        let has_voter = |node: u64| committed.voters.iter().any(|m| m.node == Node(node));
        for (place, machine) in self.machines.iter_mut().enumerate() {
            machine.emptied &= match machine.successor {
                None => !voting[place],
                Some(next) => !voting[next as usize - 1] || has_voter(place as u64 + 1),
            };
        }
        let others = self.machines.iter().enumerate();
        let lost = others.filter(|(place, m)| m.emptied && *place as u64 + 1 != node);
        lost.count()
    }

    /// Whether a quorum still has its disks after the leader removes this voter.
    pub fn can_remove(&self, leader: u64, member: Member) -> bool {
        let raft = self.machines[leader as usize - 1].raft.as_ref();
        let changed = raft.map(|r| r.membership().with_change(MembershipChange::Remove(member)));
        matches!(changed, Some(Ok(next)) if self.keeps_quorum(&next, 0))
    }

    fn keeps_quorum(&self, membership: &Membership, lost: u64) -> bool {
        let sound = membership.voters.iter().filter(|m| {
            let machine = &self.machines[m.node.0 as usize - 1];
            m.node.0 != lost && machine.identity == m.identity
        });
        sound.count() >= membership.quorum()
    }

    pub fn isolate(&mut self, node: u64) {
        for other in self.nodes() {
            self.cut_links.insert((node, other));
            self.cut_links.insert((other, node));
        }
    }

    pub fn thaw(&mut self, node: u64) {
        self.machine(node).frozen = false;
    }

    pub fn leader(&self) -> Option<u64> {
        self.nodes().find(|n| self.has_lease(*n))
    }

    pub fn has_lease(&self, node: u64) -> bool {
        let machine = &self.machines[node as usize - 1];
        let raft = machine.raft.as_ref();
        raft.is_some_and(|r| r.has_lease(self.clock(node)))
    }

    pub fn propose(&mut self, node: u64, command: Vec<u8>) -> bool {
        let now = self.clock(node);
        let machine = self.machine(node);
        if machine.frozen {
            return false;
        }
        let raft = machine.raft.as_mut();
        let accepted = raft.is_some_and(|r| r.propose(now, command).is_ok());
        self.perform_actions(node);
        accepted
    }

    pub fn change(&mut self, node: u64, change: MembershipChange) -> String {
        let now = self.clock(node);
        let machine = self.machine(node);
        let Some(raft) = machine.raft.as_mut().filter(|_| !machine.frozen) else {
            return "down".to_owned();
        };
        let outcome = raft.propose_membership_change(now, change);
        self.perform_actions(node);
        match outcome {
            Ok(_) => "ok".to_owned(),
            Err(error) => error.to_string(),
        }
    }

    /// Sends all other nodes a hello from an earlier, lost folder of this node.
    pub fn send_late_hello(&mut self, node: u64) {
        let from = self.new_identity();
        for to in self.nodes().filter(|n| *n != node) {
            let message = Message {
                from,
                to: Identity::ANY,
                term: 0,
                body: MessageBody::Hello { empty: true },
            };
            self.send(node, to, message);
        }
    }

    /// Takes a snapshot of the applied state of a machine.
    pub fn snapshot(&mut self, node: u64) {
        let index = self.machine(node).applied;
        let state = self.invariants.state(index);
        if let Some(raft) = self.machine(node).raft.as_mut() {
            raft.compact(index, state);
        }
        self.perform_actions(node);
    }

    /// Advances the time by `millis`, or until an invariant is violated.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            if self.invariants.violation.is_some() {
                return;
            }
            self.now += 1;
            self.deliver();
            for node in self.nodes() {
                self.step_machine(node);
            }
            invariants::check(self);
        }
    }

    fn new_identity(&mut self) -> Identity {
        Identity(self.rng.next_u64() | 1)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, in_transit) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|p: &InTransitMessage| p.due <= now);
        self.in_transit = in_transit;
        for delivery in due {
            let machine = self.machine(delivery.to);
            if machine.raft.is_some() {
                machine.inbox.push((Node(delivery.from), delivery.message));
            }
        }
    }

    fn step_machine(&mut self, node: u64) {
        let (time, now) = (self.now, self.clock(node));
        let machine = self.machine(node);
        let Some(raft) = machine.raft.as_mut().filter(|_| !machine.frozen) else {
            return;
        };
        for (from, message) in machine.inbox.drain(..) {
            raft.step(now, from, message);
        }
        while let Some((_, batch)) = machine.writes.pop_front_if(|w| w.0 <= time) {
            write_batch(&mut machine.disk, &batch);
            raft.persisted(now, batch.number);
        }
        raft.tick(now);
        self.perform_actions(node);
    }

    fn perform_actions(&mut self, node: u64) {
        let Some(raft) = self.machine(node).raft.as_mut() else {
            return;
        };
        for action in raft.take_actions() {
            match action {
                Action::Send { to, message } => self.send(node, to.0, message),
                Action::Persist(batch) => {
                    let due = self.now + 1 + self.rng.next_u64() % self.sync_ms;
                    self.machine(node).writes.push_back((due, batch));
                }
                Action::Apply(entry) => {
                    let expected = self.machine(node).applied + 1;
                    self.machine(node).applied = entry.index;
                    self.invariants.record_commit(node, expected, &entry);
                }
                Action::InstallSnapshot(snapshot) => {
                    self.machine(node).applied = snapshot.index;
                    self.invariants.check_snapshot(node, &snapshot);
                }
                Action::LeaderChanged(info) if info.is_ready => {
                    let applied = self.machine(node).applied;
                    self.invariants.check_ready_leader(node, applied);
                }
                Action::LeaderChanged(_) => {}
            }
        }
    }

    fn send(&mut self, from: u64, to: u64, message: Message) {
        let sender = Member {
            node: Node(from),
            identity: message.from,
        };
        self.invariants.record_message(sender, Node(to), &message);
        if self.cut_links.contains(&(from, to)) || to > self.machines.len() as u64 {
            return;
        }
        let copies = match self.rng.next_u64() % 100 {
            roll if roll < self.loss_percent => 0,
            roll if roll < self.loss_percent + self.loss_percent / 2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let due = self.now + 1 + self.rng.next_u64() % self.delay_ms;
            let message = message.clone();
            self.in_transit.push(InTransitMessage {
                due,
                from,
                to,
                message,
            });
        }
    }
}

fn membership_of(entry: &LogEntry) -> Option<Membership> {
    match &entry.payload {
        Payload::Membership(membership) => Some(membership.clone()),
        Payload::Noop | Payload::Command(_) => None,
    }
}

/// Memberships in the entries of a message.
fn memberships_in(message: &Message) -> Vec<Membership> {
    match &message.body {
        MessageBody::Append { entries, .. } => entries.iter().filter_map(membership_of).collect(),
        _ => Vec::new(),
    }
}

/// Latest membership on a disk.
fn membership_on_disk(disk: &RestoredState) -> Option<Membership> {
    let entries = disk.entries.iter().rev().find_map(membership_of);
    entries.or_else(|| disk.snapshot.as_ref().map(|s| s.membership.clone()))
}

/// Writes a batch to a simulated disk as the store writes it to a folder.
fn write_batch(disk: &mut RestoredState, batch: &Batch) {
    if let Some(hard_state) = batch.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(snapshot) = &batch.snapshot {
        disk.snapshot = Some(snapshot.clone());
        disk.entries.clear();
    }
    for entry in &batch.entries {
        disk.entries.retain(|e| e.index < entry.index);
        disk.entries.push(entry.clone());
    }
}
