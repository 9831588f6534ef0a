//! Core hosts of a seeded fleet find each other through seeds, and the set of voters follows the
//! hosts that are present.

use crate::raft_cluster::Cluster;

const CORE_HOSTS: u64 = 5;
const SEEDS: u64 = 3;
/// Time in which the fleet bootstraps and all other hosts join, in simulated milliseconds.
const JOIN_MS: u64 = 4_000;

fn voters(cluster: &Cluster) -> Vec<u64> {
    let Some(leader) = cluster.leader() else {
        return Vec::new();
    };
    let raft = cluster.machines[leader as usize - 1].raft.as_ref().unwrap();
    let voters = raft.membership().voters.iter();
    voters.map(|member| member.node.0).collect()
}

fn joined_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::seeded(CORE_HOSTS, SEEDS, seed);
    for node in 1..=CORE_HOSTS {
        cluster.start(node);
    }
    cluster.run(JOIN_MS);
    cluster
}

fn propose(cluster: &mut Cluster, command: u8) {
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.propose(leader, vec![command]));
    cluster.run(500);
}

#[test]
fn all_core_hosts_vote_whatever_order_they_start_in() {
    let orders = [
        [1, 2, 3, 4, 5],
        [5, 4, 3, 2, 1],
        [4, 1, 5, 3, 2],
        [2, 5, 1, 4, 3],
    ];
    for (seed, order) in orders.into_iter().enumerate() {
        let mut cluster = Cluster::seeded(CORE_HOSTS, SEEDS, seed as u64);
        for node in order {
            cluster.start(node);
            cluster.run(90);
        }
        cluster.run(JOIN_MS);

        assert_eq!(voters(&cluster), [1, 2, 3, 4, 5], "{order:?}");
    }
}

#[test]
fn no_fleet_is_bootstrapped_while_a_seed_is_absent() {
    let mut cluster = Cluster::seeded(CORE_HOSTS, SEEDS, 1);
    for node in [1, 2, 4, 5] {
        cluster.start(node);
    }
    cluster.run(JOIN_MS);
    let before = cluster.leader();

    cluster.start(3);
    cluster.run(JOIN_MS);

    assert_eq!(before, None);
    assert_eq!(voters(&cluster), [1, 2, 3, 4, 5]);
}

#[test]
fn a_seed_whose_disk_was_emptied_rejoins_and_keeps_committed_entries() {
    let mut cluster = joined_cluster(2);
    propose(&mut cluster, 7);

    cluster.crash(1);
    cluster.wipe(1);
    cluster.start(1);
    cluster.run(JOIN_MS);
    propose(&mut cluster, 8);

    assert_eq!(voters(&cluster), [1, 2, 3, 4, 5]);
    assert!(cluster.machine(1).applied >= cluster.machine(2).applied);
}

#[test]
fn emptied_seeds_do_not_bootstrap_a_second_fleet() {
    let mut cluster = joined_cluster(3);
    for node in 1..=CORE_HOSTS {
        cluster.crash(node);
    }
    // More disks are lost than the quorum tolerates: no leader may be elected, least of all that of
    // a new fleet.
    for node in 1..=SEEDS {
        cluster.wipe(node);
    }
    for node in 1..=SEEDS {
        cluster.start(node);
    }

    cluster.run(JOIN_MS);

    assert_eq!(cluster.leader(), None);
}

#[test]
fn a_host_that_is_replaced_leaves_the_quorum() {
    let mut cluster = Cluster::seeded(CORE_HOSTS + 1, SEEDS, 4);
    for node in 1..=CORE_HOSTS {
        cluster.start(node);
    }
    cluster.run(JOIN_MS);

    cluster.crash(1);
    cluster.start(CORE_HOSTS + 1);
    cluster.run(2 * JOIN_MS);

    assert_eq!(voters(&cluster), [2, 3, 4, 5, 6]);
}

#[test]
fn two_disks_may_be_lost_after_two_other_hosts_were_away_for_long() {
    let mut cluster = joined_cluster(6);
    for node in [1, 2] {
        cluster.isolate(node);
    }
    cluster.run(2 * JOIN_MS);
    propose(&mut cluster, 7);
    let committed = cluster.invariants.committed.len();

    for node in [3, 4] {
        cluster.wipe(node);
    }
    cluster.cut_links.clear();
    for node in [3, 4] {
        cluster.start(node);
    }
    cluster.run(2 * JOIN_MS);

    let leader = cluster.leader().expect("a leader of the whole disks");
    assert!(cluster.machine(leader).applied >= committed as u64);
    assert_eq!(voters(&cluster), [1, 2, 3, 4, 5]);
}

#[test]
fn a_host_whose_disk_was_emptied_rejoins_after_all_its_seeds_are_gone() {
    let mut cluster = Cluster::seeded(CORE_HOSTS + SEEDS, SEEDS, 7);
    for node in 1..=CORE_HOSTS {
        cluster.start(node);
    }
    cluster.run(JOIN_MS);
    for seed in 1..=SEEDS {
        // The next host joins by the seeds that are left.
        cluster.start(CORE_HOSTS + seed);
        cluster.run(JOIN_MS);
        cluster.crash(seed);
        cluster.run(JOIN_MS);
    }
    let before = voters(&cluster);

    cluster.wipe(4);
    cluster.start(4);
    cluster.run(2 * JOIN_MS);

    assert_eq!(before, [4, 5, 6, 7, 8]);
    assert_eq!(voters(&cluster), [4, 5, 6, 7, 8]);
    assert!(cluster.machine(4).applied > 0);
}

#[test]
fn two_hosts_may_fail_after_a_replacement() {
    let mut cluster = Cluster::seeded(CORE_HOSTS + 1, SEEDS, 5);
    for node in 1..=CORE_HOSTS {
        cluster.start(node);
    }
    cluster.run(JOIN_MS);
    cluster.crash(2);
    cluster.start(CORE_HOSTS + 1);
    cluster.run(2 * JOIN_MS);

    cluster.crash(3);
    cluster.crash(4);
    cluster.run(JOIN_MS);

    assert!(cluster.leader().is_some());
}
