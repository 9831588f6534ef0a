//! Runs raft voters in one process: messages are delivered immediately, and the caller supplies the
//! disks and the function that writes to them.

use cornelrail_lib::{
    moment::Moment,
    name::Node,
    process::raft::{Action, Batch, Identity, JoinPolicy, Raft, RaftConfig, RestoredState},
};
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Raft voters, numbered from 1, with a disk of type `D` each.
pub struct Voters<D> {
    rafts: Vec<Raft>,
    disks: Vec<D>,
    now: Moment,
    write: fn(&mut D, &Batch),
    /// Number of log entries applied at the leader.
    pub commits: usize,
}

impl<D> Voters<D> {
    /// Starts one voter per disk and returns once one of them is the leader.
    pub fn new(
        disks: Vec<D>,
        identity: impl Fn(&D) -> Identity,
        write: fn(&mut D, &Batch),
    ) -> Self {
        let configured_voters: Vec<Node> = (1..=disks.len() as u64).map(Node).collect();
        let new_raft = |(index, disk): (usize, &D)| {
            let config = RaftConfig {
                node: configured_voters[index],
                identity: identity(disk),
                configured_voters: configured_voters.clone(),
                join_policy: JoinPolicy::Configured,
                election_timeout: Duration::from_millis(250),
                heartbeat_interval: HEARTBEAT_INTERVAL,
                clock_drift: Duration::from_millis(20),
                min_voters: 3,
                retained_entries: 1_000,
                rng_seed: index as u64,
            };
            Raft::new(config, RestoredState::default(), Moment::ZERO)
        };
        let mut voters = Voters {
            rafts: disks.iter().enumerate().map(new_raft).collect(),
            disks,
            now: Moment::ZERO,
            write,
            commits: 0,
        };
        while voters.leader().is_none() {
            voters.now = voters.now + HEARTBEAT_INTERVAL / 10;
            for raft in &mut voters.rafts {
                raft.tick(voters.now);
            }
            voters.run_until_idle();
        }
        voters
    }

    fn leader(&self) -> Option<usize> {
        self.rafts.iter().position(Raft::is_leader)
    }

    /// Proposes `batch` copies of `command` and runs until the leader has committed them.
    pub fn commit(&mut self, batch: usize, command: &[u8]) {
        self.now = self.now + Duration::from_micros(10);
        let Some(leader) = self.leader() else {
            return;
        };
        for _ in 0..batch {
            // Cannot fail: `leader` is the leader, and no message or tick runs in between.
            let _ = self.rafts[leader].propose(self.now, command.to_vec());
        }
        self.run_until_idle();
    }

    /// Compacts the log of each voter up to its last applied entry, with an empty snapshot.
    pub fn compact(&mut self) {
        for raft in &mut self.rafts {
            raft.compact(raft.applied(), Vec::new());
        }
        self.run_until_idle();
    }

    /// Carries out the actions of all voters until none is left.
    fn run_until_idle(&mut self) {
        while (0..self.rafts.len()).any(|index| self.process_actions(index)) {}
    }

    /// Carries out the pending actions of one voter and returns whether there were any.
    fn process_actions(&mut self, index: usize) -> bool {
        let actions = self.rafts[index].take_actions();
        let progressed = !actions.is_empty();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let from = Node(index as u64 + 1);
                    self.rafts[to.0 as usize - 1].step(self.now, from, message);
                }
                Action::Persist(batch) => {
                    (self.write)(&mut self.disks[index], &batch);
                    self.rafts[index].persisted(self.now, batch.number);
                }
                Action::Apply(_) => self.commits += usize::from(self.rafts[index].is_leader()),
                Action::InstallSnapshot(_) | Action::LeaderChanged(_) => {}
            }
        }
        progressed
    }
}
