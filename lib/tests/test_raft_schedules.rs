//! Random schedules of faults break no invariant, and a healed group commits again.

use crate::raft_cluster::Cluster;
use quickcheck::{Arbitrary, Gen, TestResult};

/// One step of a schedule. Node 0 stands for the leader of that moment.
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
    Snapshot(u64),
    Loss(u64),
    Delay(u64),
    SlowSync(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = u64::arbitrary(g) % 6;
        let other = u64::arbitrary(g) % 6;
        let number = u64::arbitrary(g);
        match number % 21 {
            0..=4 => Step::Run(number / 21 % 600),
            5..=7 => Step::Propose(node, number / 21 % 40),
            8 => Step::CutOff(node),
            9 => Step::CutOneWay(node, other),
            10 => Step::Heal,
            11 => Step::Freeze(node),
            12 => Step::Thaw(node),
            13 => Step::Crash(node),
            14 => Step::Start(node),
            15 => Step::Wipe(node),
            16 => Step::Snapshot(node),
            17 => Step::Loss(number / 21 % 40),
            18 => Step::Delay(1 + number / 21 % 120),
            19 => Step::CutPair(node, other),
            _ => Step::SlowSync(1 + number / 21 % 100),
        }
    }
}

/// A schedule for a group of three or five.
#[derive(Debug, Clone)]
struct Schedule {
    count: u64,
    seed: u64,
    steps: Vec<Step>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Schedule {
            count: *g.choose(&[1, 3, 3, 5]).expect("not empty"),
            seed: u64::arbitrary(g),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let (count, seed) = (self.count, self.seed);
        let shorter = self.steps.shrink();
        Box::new(shorter.map(move |steps| Schedule { count, seed, steps }))
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
        Step::CutOff(node) => cluster.cut_off(pick(node)),
        Step::CutOneWay(from, to) => {
            cluster.cuts.insert((pick(from), pick(to)));
        }
        Step::CutPair(from, to) => {
            cluster.cuts.insert((pick(from), pick(to)));
            cluster.cuts.insert((pick(to), pick(from)));
        }
        Step::Heal => cluster.cuts.clear(),
        Step::Freeze(node) => cluster.machine(pick(node)).frozen = true,
        Step::Thaw(node) => cluster.thaw(pick(node)),
        Step::Crash(node) => cluster.crash(pick(node)),
        Step::Start(node) => cluster.start(pick(node)),
        Step::Wipe(node) => {
            if cluster.spares(pick(node)) {
                cluster.wipe(pick(node));
            }
        }
        Step::Snapshot(node) => cluster.snapshot(pick(node)),
        Step::Loss(percent) => cluster.loss = percent,
        Step::Delay(millis) => cluster.delay = millis,
        Step::SlowSync(millis) => cluster.sync_ms = millis,
    }
    cluster.run(1);
}

fn heal(cluster: &mut Cluster) {
    cluster.cuts.clear();
    (cluster.loss, cluster.delay, cluster.sync_ms) = (0, 3, 2);
    for node in cluster.nodes() {
        cluster.thaw(node);
        cluster.start(node);
    }
    cluster.run(5_000);
}

/// Runs the schedule, heals the group and asks it for one more commit on every machine.
fn holds(schedule: Schedule) -> TestResult {
    let mut cluster = Cluster::new(schedule.count, schedule.count, schedule.seed);
    cluster.run(700);
    for step in &schedule.steps {
        apply(&mut cluster, step);
    }
    heal(&mut cluster);
    if let Some(breach) = cluster.invariants.breach {
        return TestResult::error(breach);
    }
    let Some(leader) = cluster.leader() else {
        return TestResult::error("no leader after the faults were over");
    };
    cluster.propose(leader, b"last".to_vec());
    cluster.run(500);
    let commit = cluster.invariants.committed.len() as u64;
    for node in cluster.nodes() {
        let applied = cluster.machine(node).applied;
        if applied != commit {
            return TestResult::error(format!("node {node} is at {applied} of {commit}"));
        }
    }
    match cluster.invariants.breach {
        Some(breach) => TestResult::error(breach),
        None => TestResult::passed(),
    }
}

#[test]
fn schedules_of_faults_break_no_invariant() {
    let tests = std::env::var("RAFT_SCHEDULES").map_or(150, |n| n.parse().expect("a number"));
    crate::seeded::check()
        .tests(tests)
        .rng(Gen::new(60))
        .quickcheck(holds as fn(Schedule) -> TestResult);
}
