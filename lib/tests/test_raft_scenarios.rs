//! Scripted faults of a cluster, in `scenarios/raft`.
//!
//! `REWRITE=1 cargo test` updates the expected output.

use crate::raft_cluster::Cluster;
use cornelrail_lib::{
    name::Node,
    process::raft::{Member, MembershipChange},
};
use datadriven::{TestCase, walk};
use std::fmt::Write;

/// Running scenario; `last` is the node that the last command named.
struct Scenario {
    cluster: Cluster,
    last: u64,
}

fn argument(case: &TestCase, name: &str) -> Option<String> {
    let values = case.args.get(name)?;
    values.first().cloned()
}

fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    argument(case, name).map_or(default, |n| n.parse().expect("a number"))
}

impl Scenario {
    fn node(&mut self, case: &TestCase) -> u64 {
        let name = argument(case, "node").unwrap_or_else(|| "leader".to_owned());
        self.last = match name.as_str() {
            "leader" => self.cluster.leader().expect("a leader"),
            "last" => self.last,
            number => number.parse().expect("a node"),
        };
        self.last
    }

    fn execute(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "run" => self.cluster.run(number(case, "ms", 1_000)),
            "list" => self.cluster.configured_voters = number(case, "voters", 3),
            "heal" => self.cluster.cut_links.clear(),
            "status" => return self.status(),
            "propose" => return self.propose(case),
            "change" => return self.change(case),
            "restart" => self.restart(case),
            "faulty" => {
                self.cluster.loss_percent = number(case, "loss", 0);
                self.cluster.delay_ms = number(case, "delay", 3);
            }
            _ => {
                let node = self.node(case);
                self.inject_fault(case.directive.as_str(), node);
            }
        }
        self.invariant_result()
    }

    fn inject_fault(&mut self, fault: &str, node: u64) {
        match fault {
            "start" => self.cluster.start(node),
            "crash" => self.cluster.crash(node),
            "wipe" => self.cluster.wipe(node),
            "cut" => self.cluster.isolate(node),
            "cut-from-leader" => {
                let leader = self.cluster.leader().expect("a leader");
                self.cluster
                    .cut_links
                    .extend([(node, leader), (leader, node)]);
            }
            "freeze" => self.cluster.machine(node).frozen = true,
            "thaw" => self.cluster.thaw(node),
            "snapshot" => self.cluster.snapshot(node),
            "greet-late" => self.cluster.send_late_hello(node),
            other => panic!("unknown scenario command: {other}"),
        }
    }

    /// Crashes and starts a process repeatedly.
    fn restart(&mut self, case: &TestCase) {
        let node = self.node(case);
        for _ in 0..number(case, "times", 1) {
            self.cluster.crash(node);
            self.cluster.start(node);
            self.cluster.run(number(case, "every", 1));
        }
    }

    fn propose(&mut self, case: &TestCase) -> String {
        let node = self.node(case);
        let count = number(case, "count", 1);
        let accepted = (0..count).filter(|n| {
            let accepted = self.cluster.propose(node, n.to_le_bytes().to_vec());
            self.cluster.run(1);
            accepted
        });
        format!("taken {}\n", accepted.count())
    }

    fn change(&mut self, case: &TestCase) -> String {
        let leader = self.cluster.leader().expect("a leader");
        let node = self.node(case);
        let member = Member {
            node: Node(node),
            identity: self.cluster.machine(node).identity,
        };
        let change = match argument(case, "to").as_deref() {
            Some("learner") => MembershipChange::AddLearner(member),
            Some("voter") => MembershipChange::Promote(member),
            _ => MembershipChange::Remove(member),
        };
        format!("{}\n", self.cluster.change(leader, change))
    }

    fn invariant_result(&self) -> String {
        match &self.cluster.invariants.violation {
            Some(violation) => format!("VIOLATED: {violation}\n"),
            None => "ok\n".to_owned(),
        }
    }

    fn status(&self) -> String {
        let mut out = String::new();
        for node in self.cluster.nodes() {
            let machine = &self.cluster.machines[node as usize - 1];
            let Some(raft) = &machine.raft else {
                let _ = writeln!(out, "{node} down");
                continue;
            };
            let role = match (raft.is_leader(), self.cluster.has_lease(node)) {
                (true, true) => "leads",
                (true, false) => "leads without lease",
                (false, _) => "follows",
            };
            let name = |m: &Member| {
                let lost = self.cluster.machines[m.node.0 as usize - 1].identity != m.identity;
                format!("{}{}", m.node, if lost { "(lost)" } else { "" })
            };
            let voters: Vec<String> = raft.membership().voters.iter().map(name).collect();
            let learners: Vec<String> = raft.membership().learners.iter().map(name).collect();
            let _ = writeln!(
                out,
                "{node} {role} term={} applied={} voters={} learners={}",
                raft.term(),
                machine.applied,
                voters.join(","),
                learners.join(",")
            );
        }
        out + &self.invariant_result()
    }
}

#[test]
fn scripted_faults_produce_expected_output() {
    walk("tests/scenarios/raft", |file| {
        let mut scenario = None;
        file.run(|case| {
            if case.directive == "cluster" {
                let voters = number(case, "voters", 3);
                let machines = number(case, "machines", voters);
                let cluster = Cluster::new(machines, voters, number(case, "seed", 1));
                scenario = Some(Scenario { cluster, last: 1 });
                return "ok\n".to_owned();
            }
            scenario
                .as_mut()
                .expect("`cluster` is the first command")
                .execute(case)
        });
    });
}
