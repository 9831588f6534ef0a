//! Voters commit over real folders and tasks, alone and as three.

use cornelrail_lib::{name::Node, process::raft::JoinPolicy};
use cornelrail_node::process::{
    clock::Clock,
    voter::{self, ProposeError, VoterConfig, VoterEvent, VoterHandle},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
    process::Command,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, task, time};

const PATIENCE: Duration = Duration::from_secs(30);

/// Settings of one voter of a fleet that lists `count` voters.
fn config(root: &Path, node: u64, count: u64) -> VoterConfig {
    VoterConfig {
        clock: Clock::start(),
        folder: root.join(format!("voter-{node}")),
        fleet: "test".to_owned(),
        node: Node(node),
        listed: (1..=count).map(Node).collect(),
        joining: JoinPolicy::Configured,
        election: Duration::from_millis(150),
        heartbeat: Duration::from_millis(30),
        drift: Duration::from_millis(10),
        min_voters: 1,
        retain: 16,
    }
}

type Handles = Arc<Mutex<Vec<VoterHandle>>>;
/// Some of the voters.
type Voters = Arc<Mutex<BTreeSet<u64>>>;

/// How often the outcome of a command was not known, so that it was proposed again.
type Repeats = Mutex<BTreeMap<Vec<u8>, usize>>;

/// Voters whose messages are handed to one another.
struct Group {
    handles: Handles,
    /// Voters whose latest write has failed.
    failed: Voters,
    /// Voters that are sent no messages.
    deaf: Voters,
    repeats: Repeats,
    commits: Vec<mpsc::UnboundedReceiver<(u64, Vec<u8>)>>,
}

fn start(root: &Path, count: u64) -> Group {
    let handles = Handles::default();
    let [failed, deaf] = [(); 2].map(|()| Voters::default());
    let commits = (1..=count)
        .map(|n| join(root, n, count, &handles, [&failed, &deaf]))
        .collect();
    Group {
        handles,
        failed,
        deaf,
        repeats: Repeats::default(),
        commits,
    }
}

impl Group {
    /// Starts one of three voters again.
    fn rejoin(&self, root: &Path, node: u64) -> mpsc::UnboundedReceiver<(u64, Vec<u8>)> {
        join(root, node, 3, &self.handles, [&self.failed, &self.deaf])
    }
}

/// Starts a voter in its place; gives what it commits and installs.
fn join(
    root: &Path,
    node: u64,
    count: u64,
    handles: &Handles,
    [failed, deaf]: [&Voters; 2],
) -> mpsc::UnboundedReceiver<(u64, Vec<u8>)> {
    let (handle, mut events) = voter::start(config(root, node, count)).unwrap();
    let place = node as usize - 1;
    let mut all = handles.lock().unwrap();
    match all.get_mut(place) {
        Some(old) => *old = handle,
        None => all.push(handle),
    }
    let peers = Arc::clone(handles);
    let [failed, deaf] = [failed, deaf].map(Arc::clone);
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            match event {
                VoterEvent::Send { to, message } => {
                    let peer = peers.lock().unwrap().get(to.0 as usize - 1).cloned();
                    let peer = peer.filter(|_| !deaf.lock().unwrap().contains(&to.0));
                    if let Some(peer) = peer {
                        peer.receive(Node(node), message);
                    }
                }
                VoterEvent::Committed { index, command, .. } => {
                    let _ = sender.send((index, command));
                }
                VoterEvent::Install { index, snapshot } => {
                    let _ = sender.send((index, snapshot));
                }
                VoterEvent::Failed(_) => {
                    failed.lock().unwrap().insert(node);
                }
                VoterEvent::Recovered => {
                    failed.lock().unwrap().remove(&node);
                }
                VoterEvent::Role { .. } => {}
            }
        }
    });
    receiver
}

fn handles(group: &Group) -> Vec<VoterHandle> {
    group.handles.lock().unwrap().clone()
}

/// Proposes to whoever leads until the command is committed.
async fn propose(group: &Group, command: &[u8]) -> u64 {
    let attempt = async {
        loop {
            for handle in handles(group) {
                match handle.propose(command.to_vec()).await {
                    Ok(index) => return index,
                    Err(ProposeError::NotLeader(_)) => {}
                    Err(ProposeError::Unknown) => {
                        let mut repeats = group.repeats.lock().unwrap();
                        *repeats.entry(command.to_vec()).or_default() += 1;
                    }
                }
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(PATIENCE, attempt).await.unwrap()
}

/// Checks that each voter commits the first commands in their order. One whose outcome was not known was
/// proposed again, and may stand in the log once more for each time. Returns how many times one did.
async fn commits_of(group: &mut Group, count: usize) -> usize {
    let mut copies = 0;
    for commits in &mut group.commits {
        let mut repeats = group.repeats.lock().unwrap().clone();
        let mut last = Vec::new();
        for n in 0..count {
            let command = loop {
                let next = time::timeout(PATIENCE, commits.recv()).await.unwrap();
                let (_, command) = next.unwrap();
                // An entry of the log's own use is empty.
                if command.is_empty() {
                    continue;
                }
                match repeats.get_mut(&command) {
                    Some(left) if command == last && *left > 0 => {
                        *left -= 1;
                        copies += 1;
                    }
                    _ => break command,
                }
            };
            assert_eq!(command, vec![n as u8]);
            last = command;
        }
    }
    copies
}

#[tokio::test]
async fn one_voter_commits_and_replays_after_a_restart() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 1);
    for n in 0..10 {
        propose(&group, &[n]).await;
    }
    commits_of(&mut group, 10).await;
    assert!(handles(&group)[0].has_lease().await);
    handles(&group)[0].stop().await;
    let mut group = start(root.path(), 1);
    commits_of(&mut group, 10).await;
}

#[tokio::test]
async fn three_voters_found_a_fleet_and_apply_the_same_commands() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 3);
    for n in 0..10 {
        propose(&group, &[n]).await;
    }
    commits_of(&mut group, 10).await;
    let mut leases = 0;
    for handle in handles(&group) {
        leases += u32::from(handle.has_lease().await);
    }
    assert_eq!(leases, 1);
}

/// The others have the command before their leader, who hears nothing of them, gives it up.
#[tokio::test]
async fn a_command_whose_outcome_is_unknown_stands_twice_if_it_is_proposed_again() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 3);
    propose(&group, &[0]).await;
    let mut leader = 0;
    for (handle, node) in handles(&group).iter().zip(1..) {
        if handle.has_lease().await {
            leader = node;
        }
    }
    group.deaf.lock().unwrap().insert(leader);

    propose(&group, &[1]).await;
    group.deaf.lock().unwrap().clear();
    propose(&group, &[2]).await;

    assert_eq!(commits_of(&mut group, 3).await, 3);
}

#[tokio::test]
async fn commands_of_one_burst_share_a_sync() {
    let root = tempfile::tempdir().unwrap();
    let group = start(root.path(), 1);
    propose(&group, b"first").await;
    let handle = handles(&group)[0].clone();
    let before = handle.status().await.unwrap();
    let started = Instant::now();
    let proposals = (0..2_000u64).map(|n| {
        let handle = handle.clone();
        tokio::spawn(async move { handle.propose(n.to_le_bytes().to_vec()).await })
    });
    for proposal in proposals.collect::<Vec<_>>() {
        proposal.await.unwrap().unwrap();
    }
    let after = handle.status().await.unwrap();
    let (commits, batches) = (after.commit - before.commit, after.batches - before.batches);
    println!(
        "{commits} commits in {batches} syncs, {:?}",
        started.elapsed()
    );
    assert_eq!(commits, 2_000);
    assert!(batches < 200);
}

/// Waits until the voters are just those that run, with the folders of now.
async fn repaired(group: &Group) {
    let attempt = async {
        loop {
            let mut present = BTreeSet::new();
            let mut voters = BTreeSet::new();
            for handle in handles(group) {
                let status = handle.status().await.unwrap();
                present.insert(status.member);
                if status.lease.is_some() && status.commit == status.last {
                    voters = status.membership.voters;
                }
            }
            if present == voters {
                return;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(PATIENCE, attempt).await.unwrap();
}

#[tokio::test]
async fn two_disks_lost_in_turn_with_a_repair_between_lose_nothing() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 3);
    for n in 0..10 {
        propose(&group, &[n]).await;
    }
    commits_of(&mut group, 10).await;
    for node in [1, 2] {
        handles(&group)[node - 1].stop().await;
        fs::remove_dir_all(root.path().join(format!("voter-{node}"))).unwrap();
        group.commits[node - 1] = group.rejoin(root.path(), node as u64);
        repaired(&group).await;
    }
    group.commits.pop();
    commits_of(&mut group, 10).await;
}

#[tokio::test]
async fn voter_that_missed_five_hundred_commits_gets_a_snapshot() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 3);
    propose(&group, &[0]).await;
    handles(&group)[1].stop().await;
    for n in 0..500u64 {
        propose(&group, &n.to_le_bytes()).await;
    }
    for handle in handles(&group) {
        if let Some(status) = handle.status().await {
            handle.snapshot(status.commit, b"state".to_vec()).await;
        }
    }
    let last = propose(&group, b"last").await;
    group.commits[1] = group.rejoin(root.path(), 2);
    let mut seen = Vec::new();
    while seen.last().is_none_or(|(index, _)| *index < last) {
        let next = time::timeout(PATIENCE, group.commits[1].recv()).await;
        seen.push(next.unwrap().unwrap());
    }
    assert_eq!(seen[0].1, b"state");
    assert_eq!(seen.last().unwrap().1, b"last");
}

/// Makes a voter fail to write its next snapshot, and to write its folder anew after that, as a full
/// disk does. Gives what has to be removed for the voter to write again.
fn obstruct(root: &Path, node: u64) -> [PathBuf; 2] {
    let folder = root.join(format!("voter-{node}"));
    let names = fs::read_dir(&folder).unwrap();
    let segments = names.filter_map(|file| {
        let name = file.unwrap().file_name().into_string().unwrap();
        name.strip_prefix("log-")?.parse::<u64>().ok()
    });
    let next = segments.max().unwrap() + 1;
    let names = ["snapshot.tmp".to_owned(), format!("log-{next:020}.tmp")];
    names.map(|name| {
        let path = folder.join(name);
        fs::create_dir(&path).unwrap();
        path
    })
}

#[tokio::test]
async fn voters_whose_disks_were_full_vote_again_once_there_is_room() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 3);
    for n in 0..10 {
        propose(&group, &[n]).await;
    }
    commits_of(&mut group, 10).await;

    // One after the other, so that the leader is among them; a majority is always left.
    for node in 1..=3 {
        let obstacles = obstruct(root.path(), node);
        let handle = handles(&group)[node as usize - 1].clone();
        let index = handle.status().await.unwrap().commit;
        handle.snapshot(index, b"state".to_vec()).await;
        propose(&group, b"full").await;
        // The voter may lead until the write has returned.
        let noticed = async {
            while !group.failed.lock().unwrap().contains(&node) {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        time::timeout(PATIENCE, noticed).await.unwrap();
        propose(&group, &[9 + node as u8]).await;
        let lease = handle.lease().await;
        for obstacle in obstacles {
            fs::remove_dir(obstacle).unwrap();
        }
        assert_eq!(lease, None, "voter {node} leads without a disk");
        let committed = propose(&group, b"later").await;
        let caught_up = async {
            while handle.status().await.is_none_or(|s| s.commit < committed) {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        let caught_up = time::timeout(PATIENCE, caught_up).await;
        assert!(caught_up.is_ok(), "voter {node} does not come back");
    }
    // The other two need the vote of the third.
    handles(&group)[0].stop().await;
    propose(&group, b"last").await;
    let warned = async {
        loop {
            for handle in &handles(&group)[1..] {
                let status = handle.status().await.unwrap();
                if status.silent == 1 {
                    return (status.bearable_losses(), status.tolerated_losses());
                }
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let losses = time::timeout(PATIENCE, warned).await.unwrap();
    assert_eq!(losses, (0, 1), "losses that two of three voters bear");

    for commits in &mut group.commits[1..] {
        let mut seen = Vec::new();
        while seen.last().is_none_or(|(_, command)| command != b"last") {
            seen.push(
                time::timeout(PATIENCE, commits.recv())
                    .await
                    .unwrap()
                    .unwrap(),
            );
        }
        assert!(
            seen.is_sorted_by(|a, b| a.0 < b.0),
            "applied twice: {seen:?}"
        );
    }
}

/// A pipe that nobody reads takes an open for writing without an end, as a stalled disk does.
#[tokio::test]
async fn voters_beside_a_stalled_disk_commit_nothing_or_never_take_it_back() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 3);
    for n in 0..10 {
        propose(&group, &[n]).await;
    }
    commits_of(&mut group, 10).await;

    // One after the other, so that the leader is among them.
    for node in 1..=3_u64 {
        let pipe = root.path().join(format!("voter-{node}/snapshot.tmp"));
        let made = Command::new("mkfifo").arg(&pipe).status().unwrap();
        assert!(made.success());
        let handle = handles(&group)[node as usize - 1].clone();
        let index = handle.status().await.unwrap().commit;
        handle.snapshot(index, b"state".to_vec()).await;
        for n in 0..20 {
            propose(&group, &[n]).await;
        }
        let batches = handle.status().await.unwrap().batches;
        time::sleep(Duration::from_millis(500)).await;
        let is_stalled = handle.status().await.unwrap().batches == batches;
        // Its reader lets the write end, with an error since a pipe cannot be synced.
        let reader = pipe.clone();
        let read = task::spawn_blocking(move || fs::read(reader));
        let ended = time::timeout(PATIENCE, read).await;
        fs::remove_file(&pipe).unwrap();

        assert!(is_stalled, "voter {node} writes beside the pipe");
        assert!(ended.is_ok(), "voter {node} writes no snapshot");
        let committed = propose(&group, b"later").await;
        let caught_up = async {
            while handle.status().await.is_none_or(|s| s.commit < committed) {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        let caught_up = time::timeout(PATIENCE, caught_up).await;
        assert!(caught_up.is_ok(), "voter {node} does not come back");
    }
    // The other two need the vote of the third.
    handles(&group)[0].stop().await;
    propose(&group, b"last").await;
}
