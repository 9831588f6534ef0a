//! Core hosts that are gone for good are replaced by empty ones at other addresses. Once the
//! successors had the time to catch up, the fleet again bears the loss of the disks that it is meant
//! to bear, and of power everywhere.

use crate::raft_cluster::{Cluster, ELECTION_MS};
use cornelrail_lib::process::raft::{Removal, VoterCount};

const CORE_HOSTS: u64 = 5;
const SEEDS: u64 = 3;
/// Hosts that are empty and wait to replace others.
const SPARES: u64 = 4;
/// Time in which the fleet bootstraps and all hosts join.
const JOIN_MS: u64 = 4_000;
/// Time that a successor is given to catch up: 4 s at an election timeout of 450 ms.
const CATCH_UP_MS: u64 = ELECTION_MS * 4_000 / 450;
/// Time in which the fleet has to serve again once all hosts are back.
const RECOVERY_MS: u64 = ELECTION_MS * 15_000 / 450;

/// What happens to the leader while hosts are replaced.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    None,
    Cut,
    Frozen,
    Killed,
}

/// Two hosts that are lost for good, and their successors.
#[derive(Debug, Clone, Copy)]
struct Round {
    /// Time between the two losses.
    gap_ms: u64,
    /// Time from a loss to the start of the successor.
    successor_ms: u64,
    /// Whether the leader is one of the two.
    with_leader: bool,
    disturbance: Disturbance,
}

/// Fleet of which some hosts were replaced.
struct Fleet {
    cluster: Cluster,
    /// Hosts that are not gone for good.
    present: Vec<u64>,
    next_spare: u64,
}

fn joined_fleet(seed: u64) -> Fleet {
    let mut cluster = Cluster::seeded(CORE_HOSTS + SPARES, SEEDS, seed);
    (1..=CORE_HOSTS).for_each(|node| cluster.start(node));
    cluster.run(JOIN_MS);
    Fleet {
        cluster,
        present: (1..=CORE_HOSTS).collect(),
        next_spare: CORE_HOSTS + 1,
    }
}

impl Fleet {
    fn lose_host(&mut self, node: u64) {
        self.cluster.wipe(node);
        self.present.retain(|present| *present != node);
    }

    fn start_successor(&mut self) {
        let node = self.next_spare;
        self.next_spare += 1;
        self.cluster.seeds = Some(self.present[..SEEDS as usize].to_vec());
        // Only the first hosts of a fleet may bootstrap it.
        self.cluster.machine(node).started = true;
        self.cluster.start(node);
        self.present.push(node);
    }

    fn disturb(&mut self, disturbance: Disturbance, leader: u64) {
        match disturbance {
            Disturbance::None => {}
            Disturbance::Cut => self.cluster.isolate(leader),
            Disturbance::Frozen => self.cluster.machine(leader).frozen = true,
            Disturbance::Killed => self.cluster.crash(leader),
        }
    }

    fn end_disturbance(&mut self, leader: u64) {
        self.cluster.cut_links.clear();
        self.cluster.thaw(leader);
        if self.present.contains(&leader) {
            self.cluster.start(leader);
        }
    }

    /// Plays a round up to the moment at which the last successor had the time to catch up.
    fn play(&mut self, round: Round) {
        let leader = self.cluster.leader().expect("a leader");
        let mut others = self.present.clone();
        others.retain(|node| *node != leader);
        let victims = match round.with_leader {
            true => [leader, others[0]],
            false => [others[0], others[1]],
        };
        let disturbed = match round.with_leader {
            true => others[1],
            false => leader,
        };
        let losses = [0, round.gap_ms];
        let starts = losses.map(|loss| loss + round.successor_ms);
        let (begins, ends) = (starts[1] + 10, starts[1] + 10 + 2 * ELECTION_MS);
        for elapsed in 0..=ends {
            let due = |times: [u64; 2]| times.into_iter().filter(move |at| *at == elapsed).count();
            let lost = losses.iter().zip(victims).filter(|(at, _)| **at == elapsed);
            lost.for_each(|(_, node)| self.lose_host(node));
            (0..due(starts)).for_each(|_| self.start_successor());
            if elapsed == begins {
                self.disturb(round.disturbance, disturbed);
            }
            self.cluster.run(1);
        }
        self.end_disturbance(disturbed);
        let quiet = match round.disturbance {
            Disturbance::None => starts[1],
            _ => ends,
        };
        self.cluster.run(quiet + CATCH_UP_MS - ends);
    }

    /// Ends all processes; the hosts named lose their disks as well. Starts all that are present.
    fn lose_power(&mut self, emptied: &[u64]) {
        for node in self.present.clone() {
            match emptied.contains(&node) {
                true => self.cluster.wipe(node),
                false => self.cluster.crash(node),
            }
        }
        let present = self.present.clone();
        present
            .into_iter()
            .for_each(|node| self.cluster.start(node));
    }

    /// Why the fleet does not serve what it acknowledged.
    fn fault(&mut self) -> Option<String> {
        let Some(leader) = self.cluster.leader() else {
            return Some("no leader".to_owned());
        };
        self.cluster.propose(leader, b"last".to_vec());
        self.cluster.run(500);
        let commit = self.cluster.invariants.committed.len() as u64;
        let applied = self.cluster.machine(leader).applied;
        let violation = self.cluster.invariants.violation.clone();
        violation.or((applied != commit).then(|| format!("{applied} of {commit} entries applied")))
    }
}

/// Pairs of the hosts that are present, one after the other.
fn pair(present: &[u64], number: usize) -> [u64; 2] {
    let first = number % present.len();
    let step = 1 + number / present.len() % (present.len() - 1);
    [present[first], present[(first + step) % present.len()]]
}

fn rounds() -> Vec<Round> {
    let mut rounds = Vec::new();
    let disturbances = [
        Disturbance::None,
        Disturbance::Cut,
        Disturbance::Frozen,
        Disturbance::Killed,
    ];
    for disturbance in disturbances {
        for gap_ms in [0, 20, 100, 330] {
            for successor_ms in [60, 100, 200, 330, 660] {
                rounds.extend([false, true].map(|with_leader| Round {
                    gap_ms,
                    successor_ms,
                    with_leader,
                    disturbance,
                }));
            }
        }
    }
    rounds
}

/// Plays the round so many times, loses two disks, and returns what is wrong then.
fn fault_after(number: usize, round: Round, times: usize) -> Option<String> {
    let mut fleet = joined_fleet(number as u64);
    for _ in 0..times {
        if fleet.cluster.leader().is_none() {
            return Some("no leader before the last fault".to_owned());
        }
        fleet.play(round);
    }
    let emptied = pair(&fleet.present, number);
    fleet.lose_power(&emptied);
    fleet.cluster.run(RECOVERY_MS);
    fleet.fault()
}

fn faults(times: usize) -> Vec<String> {
    let rounds = rounds().into_iter().enumerate();
    let faults = rounds.filter_map(|(number, round)| {
        let fault = fault_after(number, round, times)?;
        Some(format!("{round:?}: {fault}"))
    });
    faults.collect()
}

/// Two lost hosts stay voters beside their successors, and two lost disks are a majority for good.
#[test]
fn two_disks_lost_after_two_hosts_were_replaced_are_a_majority() {
    let faults = faults(1);

    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

/// The first pair of lost hosts is still among the voters when the second pair is lost.
#[test]
fn hosts_replaced_in_pairs_one_after_the_other_leave_no_majority() {
    let faults = faults(2);

    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

/// All groups in which a leader has a quorum.
fn led_groups() -> impl Iterator<Item = (VoterCount, usize)> {
    let sizes = (1..=13).flat_map(|voters| (0..=voters).map(move |silent| (voters, silent)));
    let counts = sizes.map(|(voters, silent)| VoterCount { voters, silent });
    let led = counts.filter(|count| count.voters - count.silent >= count.quorum());
    led.flat_map(|count| [3, 5, 7].map(|min_voters| (count, min_voters)))
}

/// A step of the leader makes the group bear fewer losses than before.
#[test]
fn no_step_of_the_leader_lowers_the_losses_that_a_group_bears() {
    for (count, min_voters) in led_groups() {
        let before = count.bearable_losses();

        let promoted = VoterCount {
            voters: count.voters + 1,
            ..count
        };
        let removed = (count.removal(min_voters) != Removal::Never).then(|| VoterCount {
            voters: count.voters - 1,
            silent: count.silent - 1,
        });

        assert!(promoted.bearable_losses() >= before, "{count:?}");
        assert!(
            removed.is_none_or(|after| after.bearable_losses() >= before),
            "{count:?}"
        );
        assert!(removed.is_none_or(|after| after.voters >= min_voters));
    }
}

/// A group with enough voters that answer bears too few losses, as silent ones are kept.
#[test]
fn silent_voters_are_removed_until_the_group_bears_the_tolerated_losses() {
    for (mut count, min_voters) in led_groups() {
        let answering = count.voters - count.silent;

        while count.removal(min_voters) == Removal::Soon {
            count.voters -= 1;
            count.silent -= 1;
        }

        let tolerated = (min_voters - 1) / 2;
        let bears = count.bearable_losses() >= tolerated;
        assert!(bears || answering < min_voters, "{count:?} {min_voters}");
    }
}
