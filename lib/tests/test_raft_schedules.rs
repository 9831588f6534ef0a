//! Random faults violate no invariant, and a cluster without faults commits again.

use crate::raft_cluster::{Cluster, ELECTION_MS};
use cornelrail_lib::{
    name::Node,
    process::raft::{Member, MembershipChange},
};
use quickcheck::{Arbitrary, Gen, TestResult};

/// Disks that the fleet may lose at a time.
const TOLERATED_LOSSES: usize = 2;

/// Step of a schedule. Node 0 stands for the leader at that time.
#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Propose(u64, u64),
    CutOff(u64),
    CutOneWay(u64, u64),
    CutPair(u64, u64),
    Heal,
    Freeze(u64),
    Thaw(u64),
    Crash(u64),
    Start(u64),
    Wipe(u64),
    Replace(u64),
    Snapshot(u64),
    Change(u64, u64),
    Loss(u64),
    Delay(u64),
    SlowSync(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = u64::arbitrary(g) % 8;
        let other = u64::arbitrary(g) % 8;
        let number = u64::arbitrary(g);
        match number % 23 {
            0..=4 => Step::Run(number / 23 % 600),
            5..=7 => Step::Propose(node, number / 23 % 40),
            8 => Step::CutOff(node),
            9 => Step::CutOneWay(node, other),
            10 => Step::Heal,
            11 => Step::Freeze(node),
            12 => Step::Thaw(node),
            13 => Step::Crash(node),
            14 => Step::Start(node),
            15 => Step::Wipe(node),
            16 => Step::Snapshot(node),
            17 => Step::Loss(number / 23 % 40),
            18 => Step::Delay(1 + number / 23 % 120),
            19 => Step::CutPair(node, other),
            20 => Step::Replace(node),
            21 => Step::Change(node, number / 23 % 3),
            _ => Step::SlowSync(1 + number / 23 % 100),
        }
    }
}

/// Schedule of faults that start `settle_ms` milliseconds after the cluster, which may be before it
/// is bootstrapped.
#[derive(Debug, Clone)]
struct Schedule {
    count: u64,
    settle_ms: u64,
    seed: u64,
    steps: Vec<Step>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Schedule {
            count: *g.choose(&[1, 3, 3, 5]).expect("not empty"),
            settle_ms: *g.choose(&[0, 5, 150, 200, 700]).expect("not empty"),
            seed: u64::arbitrary(g),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let shorter = self.steps.shrink();
        Box::new(shorter.map(move |steps| Schedule {
            steps,
            ..whole.clone()
        }))
    }
}

/// Starts a machine, unless it is gone for good or does not belong to the fleet yet.
fn start(cluster: &mut Cluster, node: u64) {
    if present(cluster).contains(&node) {
        cluster.start(node);
    }
}

fn apply(cluster: &mut Cluster, step: &Step) {
    let count = cluster.machines.len() as u64;
    let leader = cluster.leader().unwrap_or(1);
    let pick = |n: u64| match n {
        0 => leader,
        n => 1 + (n - 1) % count,
    };
    match *step {
        Step::Run(millis) => cluster.run(millis),
        Step::Propose(node, times) => {
            for n in 0..times {
                cluster.propose(pick(node), vec![n as u8; 40]);
            }
        }
        Step::CutOff(node) => cluster.isolate(pick(node)),
        Step::CutOneWay(from, to) => {
            cluster.cut_links.insert((pick(from), pick(to)));
        }
        Step::CutPair(from, to) => {
            cluster.cut_links.insert((pick(from), pick(to)));
            cluster.cut_links.insert((pick(to), pick(from)));
        }
        Step::Heal => cluster.cut_links.clear(),
        Step::Freeze(node) => cluster.machine(pick(node)).frozen = true,
        Step::Thaw(node) => cluster.thaw(pick(node)),
        Step::Crash(node) => cluster.crash(pick(node)),
        Step::Start(node) => start(cluster, pick(node)),
        Step::Wipe(node) => {
            if cluster.can_wipe(pick(node)) {
                cluster.wipe(pick(node));
            }
        }
        // Configured fleets have a fixed set of hosts.
        Step::Replace(_) => {}
        Step::Snapshot(node) => cluster.snapshot(pick(node)),
        Step::Change(node, kind) => {
            let node = pick(node);
            let member = Member {
                node: Node(node),
                identity: cluster.machine(node).identity,
            };
            let change = match kind {
                0 => MembershipChange::AddLearner(member),
                1 => MembershipChange::Promote(member),
                _ => MembershipChange::Remove(member),
            };
            if kind < 2 || cluster.can_remove(leader, member) {
                cluster.change(leader, change);
            }
        }
        Step::Loss(percent) => cluster.loss_percent = percent,
        Step::Delay(millis) => cluster.delay_ms = millis,
        Step::SlowSync(millis) => cluster.sync_ms = millis,
    }
    cluster.run(1);
}

/// Machines that were started and are not gone for good.
fn present(cluster: &Cluster) -> Vec<u64> {
    let machines = cluster.nodes().zip(&cluster.machines);
    let present = machines.filter(|(_, m)| m.started && m.successor.is_none());
    present.map(|(node, _)| node).collect()
}

/// Replaces a host by one that was not started yet, if one is left and the fleet may lose a disk.
fn replace_host(cluster: &mut Cluster, choice: u64) {
    let present = present(cluster);
    let node = present[choice as usize % present.len()];
    let spare = cluster
        .nodes()
        .find(|n| !cluster.machines[*n as usize - 1].started);
    let mut seeds = present;
    seeds.retain(|seed| *seed != node);
    seeds.truncate(3);
    if let (Some(spare), true) = (spare, cluster.lost_disks(node) < TOLERATED_LOSSES) {
        cluster.replace(node, spare, seeds);
    }
}

fn heal(cluster: &mut Cluster) {
    cluster.cut_links.clear();
    (cluster.loss_percent, cluster.delay_ms, cluster.sync_ms) = (0, 3, 2);
    for node in present(cluster) {
        cluster.thaw(node);
        cluster.start(node);
    }
    cluster.run(5_000);
}

/// Runs the schedule, ends all faults and checks that every machine applies one more command.
fn check_schedule(schedule: Schedule) -> TestResult {
    let mut cluster = Cluster::new(schedule.count, schedule.count, schedule.seed);
    cluster.run(schedule.settle_ms);
    for step in &schedule.steps {
        apply(&mut cluster, step);
    }
    heal(&mut cluster);
    check_progress(cluster)
}

/// The same in a fleet whose group of voters follows its hosts, which may lose as many disks at a time
/// as it tolerates, whatever else happens meanwhile.
fn check_tolerated_losses(schedule: Schedule) -> TestResult {
    let mut cluster = Cluster::seeded(9, 3, schedule.seed);
    for node in 1..=5 {
        cluster.start(node);
    }
    cluster.run(4_000);
    for step in &schedule.steps {
        match *step {
            // Long enough for hosts that are away to be given up.
            Step::Run(millis) => cluster.run(10 * millis),
            Step::Replace(node) => replace_host(&mut cluster, node),
            Step::Wipe(node) => {
                let present = present(&cluster);
                let node = present[node as usize % present.len()];
                if cluster.lost_disks(node) < TOLERATED_LOSSES {
                    cluster.wipe(node);
                    cluster.start(node);
                }
            }
            // An operator does not change the group by hand.
            Step::Change(..) => {}
            _ => apply(&mut cluster, step),
        }
    }
    heal(&mut cluster);
    check_progress(cluster)
}

/// Checks that every machine applies all that was committed and one more command.
fn check_progress(mut cluster: Cluster) -> TestResult {
    if let Some(violation) = cluster.invariants.violation {
        return TestResult::error(violation);
    }
    let Some(leader) = cluster.leader() else {
        return TestResult::error("no leader after all faults ended");
    };
    cluster.propose(leader, b"last".to_vec());
    cluster.run(500);
    let commit = cluster.invariants.committed.len() as u64;
    for node in present(&cluster) {
        let applied = cluster.machine(node).applied;
        if applied != commit {
            return TestResult::error(format!("node {node} applied {applied} of {commit} entries"));
        }
    }
    match cluster.invariants.violation {
        Some(violation) => TestResult::error(violation),
        None => TestResult::passed(),
    }
}

/// Simulated time from the crash of a leader to the lease of the next one, in milliseconds.
fn failover_ms(count: u64, seed: u64) -> u64 {
    let mut cluster = Cluster::new(count, count, seed);
    cluster.run(1_000);
    let leader = cluster
        .leader()
        .expect("a leader after one second without faults");
    cluster.crash(leader);
    let lost = cluster.now;
    while cluster.leader().is_none() && cluster.now < lost + 10_000 {
        cluster.run(1);
    }
    cluster.now - lost
}

#[test]
fn lost_leader_is_replaced_within_four_election_timeouts() {
    for count in [3, 5] {
        let mut times: Vec<u64> = (0..200).map(|seed| failover_ms(count, seed)).collect();
        times.sort_unstable();
        let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "{count} voters: median {median} ms, worst {worst} ms of {}",
            times.len()
        );
        assert!(worst <= 4 * ELECTION_MS, "worst is {worst} ms");
    }
}

#[test]
fn the_loss_of_tolerated_disks_beside_random_faults_stops_no_fleet() {
    let tests = std::env::var("RAFT_SCHEDULES").map_or(60, |n| n.parse().expect("a number"));
    crate::property::checker()
        .tests(tests)
        .rng(Gen::new(60))
        .quickcheck(check_tolerated_losses as fn(Schedule) -> TestResult);
}

#[test]
fn random_faults_violate_no_invariant() {
    let tests = std::env::var("RAFT_SCHEDULES").map_or(150, |n| n.parse().expect("a number"));
    crate::property::checker()
        .tests(tests)
        .rng(Gen::new(60))
        .quickcheck(check_schedule as fn(Schedule) -> TestResult);
}
